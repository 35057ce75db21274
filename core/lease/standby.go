package lease

import "time"

// GrantPromise promises holder, at epoch, not to take over, and returns the term of the
// promise. It refuses if holder is dead, if this node has a transaction pending or knows
// a later epoch, as after it took over, or if it knows another holder of this epoch.
// tableDown says that neither the holder nor this node has reached the table for a
// while; the promise then has the term Outage.
func (m *Machine) GrantPromise(now Time, holder Instance, epoch uint64, tableDown bool) (time.Duration, bool) {
	other := m.rec.Epoch == epoch && m.rec.Holder != holder
	if m.pending != nil || m.rec.Epoch > epoch || other || m.dead(holder) {
		return 0, false
	}
	t := m.Terms.orDefault()
	d := t.Promise
	if tableDown {
		d = t.Outage
	}
	m.promisedUntil = max(m.promisedUntil, now.Slow+extendForDrift(d))
	return d, true
}

// TakeOver takes over from a dead holder at once, without the table. A promise does
// not prevent it, since a dead holder grants nothing.
func (m *Machine) TakeOver(now Time, token string) bool {
	if m.Next(now) != ActionTakeDead {
		return false
	}
	m.becomeHolder(Record{Group: m.Group, Holder: m.Self, Epoch: m.rec.Epoch + 1, Token: token})
	return true
}

// becomeHolder makes r, which names this node as holder, the record in force without
// the table.
func (m *Machine) becomeHolder(r Record) {
	m.adopt(r)
	m.rowFresh = false // read again before it is recorded
}

// Accept handles a Handover: this node becomes lease holder or standby, resigns, or responds
// to an ownership query. A record for other nodes makes it resign, too. An error of type
// *RefusedError means no consent. registered says whether the table holds the row of this
// node: without it other nodes cannot know of this node, so it must hold no right.
func (m *Machine) Accept(h Handover, registered bool) error {
	r := h.Record
	switch {
	case m.pending != nil:
		return m.refusal("a transaction on the group is open")
	case r.Token == "":
		return m.answerOwnershipQuery(r)
	case r.Holder == m.rec.Holder && r.Epoch == m.rec.Epoch && r.Standby == (Instance{}):
		m.resignedEpoch = max(m.resignedEpoch, r.Epoch)
		return nil
	case r.Epoch < m.minEpoch || r.Epoch < m.rec.Epoch:
		return m.refusal("the record is out of date")
	case !registered:
		return m.refusal("this node is not in the table")
	case r.Holder == m.Self:
		return m.acceptRelease(r)
	case r.Standby == m.Self:
		return m.acceptStandby(r)
	case r.Holder.Node == m.Self.Node || r.Standby.Node == m.Self.Node:
		return m.refusal("it is for another incarnation")
	}
	m.resignedEpoch = max(m.resignedEpoch, r.Epoch)
	return nil
}

// acceptRelease takes over from a holder that released the group.
func (m *Machine) acceptRelease(r Record) error {
	switch {
	case m.IsHolder():
		return nil // a retry of a handover accepted before
	case m.IsStandby() && r.Epoch == m.rec.Epoch+1:
		m.becomeHolder(r)
		return nil
	}
	m.rowFresh = false // the table may have this record already, or it is not for this node
	return m.refusal("this node is not the deputy")
}

// acceptStandby makes this node the standby, which the table may not yet show.
func (m *Machine) acceptStandby(r Record) error {
	if r.Epoch <= m.resignedEpoch {
		return m.refusal("this node has resigned")
	}
	if r.Epoch == m.rec.Epoch && r.Holder != m.rec.Holder {
		return m.refusal("another home has this epoch")
	}
	m.adopt(r)
	return nil
}

// answerOwnershipQuery refuses if this node has a right to the group. Otherwise, this
// node accepts no handover below the epoch of the query from now on.
func (m *Machine) answerOwnershipQuery(r Record) error {
	if m.IsHolder() || m.IsStandby() {
		return m.refusal("this node has a right to it")
	}
	m.minEpoch = max(m.minEpoch, r.Epoch)
	return nil
}

// refusal returns the error for a handover to which this node does not consent.
func (m *Machine) refusal(reason string) error {
	return &RefusedError{Group: m.Group, Reason: reason}
}
