package lease

import "time"

// GrantPromise promises home, at epoch, not to take over, and returns the term of the
// promise. It refuses if this node is taking or has taken over, or knows a later
// home. tableDown says that this node has not reached the table for a while.
func (m *Machine) GrantPromise(now Time, home Instance, epoch uint64, tableDown bool) (time.Duration, bool) {
	other := m.rec.Epoch == epoch && m.rec.Holder != home
	if m.next != nil || m.rec.Epoch > epoch || other || m.dead(home) {
		return 0, false
	}
	t := m.Terms.orDefault()
	d := t.Promise
	if tableDown {
		d = t.Outage
	}
	m.given = max(m.given, now.Slow+waiterShare(d))
	return d, true
}

// TakeOver takes over from a dead home at once: rule (e). No promise stands against
// it, since a dead home grants nothing.
func (m *Machine) TakeOver(now Time, token string) bool {
	if m.Next(now) != ActionTakeDead {
		return false
	}
	m.become(Record{Group: m.Group, Holder: m.Self, Epoch: m.rec.Epoch + 1, Token: token})
	return true
}

// become makes r, of which this node is home, the record in force without the table.
func (m *Machine) become(r Record) {
	m.adopt(r)
	m.rowFresh = false // read again before it is recorded
}

// Accept takes a handover. An error of type *RefusedError means no consent.
// registered says that the table holds the row of this node: a node that others
// cannot know of must hold no right.
func (m *Machine) Accept(h Handover, registered bool) error {
	r := h.Record
	switch {
	case m.next != nil:
		return m.refuse("a transaction on the group is open")
	case r.Token == "":
		return m.answerOwnershipQuery(r)
	case r.Holder == m.rec.Holder && r.Epoch == m.rec.Epoch && r.Standby == (Instance{}):
		m.resigned = max(m.resigned, r.Epoch)
		return nil
	case r.Epoch < m.floor || r.Epoch < m.rec.Epoch:
		return m.refuse("the record is out of date")
	case !registered:
		return m.refuse("this node is not in the table")
	case r.Holder == m.Self:
		return m.inherit(r)
	case r.Standby == m.Self:
		return m.named(r)
	case r.Holder.Node == m.Self.Node || r.Standby.Node == m.Self.Node:
		return m.refuse("it is for another incarnation")
	}
	m.resigned = max(m.resigned, r.Epoch)
	return nil
}

// inherit takes over from a home that gave the group up.
func (m *Machine) inherit(r Record) error {
	switch {
	case m.IsHolder():
		return nil // a repeat
	case m.IsStandby() && r.Epoch == m.rec.Epoch+1:
		m.become(r)
		return nil
	}
	m.rowFresh = false // recorded in the table, or not for this node
	return m.refuse("this node is not the deputy")
}

// named takes the deputy's role, which the table may not yet show.
func (m *Machine) named(r Record) error {
	if r.Epoch <= m.resigned {
		return m.refuse("this node has resigned")
	}
	if r.Epoch == m.rec.Epoch && r.Holder != m.rec.Holder {
		return m.refuse("another home has this epoch")
	}
	m.adopt(r)
	return nil
}

// answerOwnershipQuery answers whether this node has a right to the group; if it has none, it
// accepts none below the epoch of the question from now on.
func (m *Machine) answerOwnershipQuery(r Record) error {
	if m.IsHolder() || m.IsStandby() {
		return m.refuse("this node has a right to it")
	}
	m.floor = max(m.floor, r.Epoch)
	return nil
}

func (m *Machine) refuse(reason string) error {
	return &RefusedError{Group: m.Group, Reason: reason}
}
