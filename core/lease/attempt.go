package lease

import (
	"errors"

	"bergamotspring/core/store"
)

// Action says what a node should do about a group next.
type Action uint8

// The wants. All but ActionTakeDead need the table.
const (
	ActionNone           Action = iota
	ActionInsert                // the group has no row: insert one
	ActionTakeExpired           // rule (d): take over by compare-and-set
	ActionTakeDead              // rule (e): take over at once
	ActionTakeResigned          // a deputy that had resigned takes over from a dead home by compare-and-set
	ActionTakeOrphan            // home and deputy are dead: ask all nodes, then take over
	ActionRecord                // write the record in force into the table
	ActionAppointStandby        // name a deputy
)

// Attempt is a transaction on the home row. Until its result is known, it is sent
// again unchanged; Record.Token tells whether it took effect.
type Attempt struct {
	Record Record
	Tx     store.Tx
	base   uint64 // version of the home row that it replaces
	sent   Time
	starts bool // also writes lease/<self>, so success starts rule (a)

	flying  bool // sent, and not answered yet
	open    bool // an earlier sending may have taken or take effect
	refused bool // a later sending met a conflict
}

// Registration is the row of this node, on which every transaction is conditional:
// once another incarnation has overwritten it, this one can write nothing more.
type Registration struct {
	Version uint64 // of row node/<self>
}

// Next returns what to do at now.
func (m *Machine) Next(now Time) Action {
	switch {
	case m.next != nil:
		return ActionNone
	case m.IsHolder():
		return m.nextAsHolder()
	case m.IsStandby():
		return m.nextAsStandby(now)
	case !m.rowFresh:
		return ActionNone
	case m.row.Version == 0 && m.rec.Epoch == 0:
		return ActionInsert
	case m.inRow.Standby == m.Self && m.Recorded() && m.dead(m.rec.Holder):
		return ActionTakeResigned
	case m.orphan():
		return ActionTakeOrphan
	}
	return ActionNone
}

func (m *Machine) nextAsHolder() Action {
	switch {
	case !m.Recorded() && m.rowFresh:
		return ActionRecord
	case m.rec.Standby == (Instance{}) || m.deadStandbys[m.rec.Standby]:
		return ActionAppointStandby
	}
	return ActionNone
}

func (m *Machine) nextAsStandby(now Time) Action {
	switch {
	case m.dead(m.rec.Holder):
		return ActionTakeDead
	case m.rowFresh && m.row.Version > 0 && m.lapsed(now) && now.Slow >= m.given:
		return ActionTakeExpired
	}
	return ActionNone
}

// orphan reports whether nobody named in the row or in a known later record is alive.
func (m *Machine) orphan() bool {
	return m.row.Version > 0 && m.gone(m.inRow.Holder) && m.gone(m.inRow.Standby) &&
		m.gone(m.rec.Holder) && m.gone(m.rec.Standby)
}

// Pending returns the transaction whose result is open, nil if there is none.
func (m *Machine) Pending() *Attempt { return m.next }

// Send returns the open transaction to be sent again, nil if there is none or its
// answer is still awaited.
func (m *Machine) Send() *Attempt {
	if m.next == nil || m.next.flying {
		return nil
	}
	m.next.flying = true
	m.answers++
	return m.next
}

// Answers counts sendings and answers, see Readback.
func (m *Machine) Answers() int { return m.answers }

// Begin starts the transaction for w, with the deputy to name (may be nobody) and a
// token unique to it. It returns nil if w needs none or is not wanted now.
func (m *Machine) Begin(now Time, w Action, deputy Instance, token string, self Registration) *Attempt {
	if w == ActionNone || w == ActionTakeDead || m.Next(now) != w || !m.rowFresh || self.Version == 0 {
		return nil
	}
	r := Record{Group: m.Group, Holder: m.Self, Standby: deputy, Epoch: max(m.rec.Epoch, m.inRow.Epoch) + 1, Token: token}
	switch w {
	case ActionTakeOrphan:
		r.Epoch = m.OrphanEpoch()
	case ActionRecord:
		r.Epoch = m.rec.Epoch
		if d := m.rec.Standby; d != (Instance{}) && !m.deadStandbys[d] {
			r.Standby = d
		}
	case ActionAppointStandby:
		r.Epoch = m.rec.Epoch
	}
	a := m.attempt(now, r, self, true)
	if w == ActionTakeExpired {
		a.Tx.Conditions = append(a.Tx.Conditions, store.Condition{Key: Key(m.rec.Holder.Node), Version: m.seen.version})
	}
	return a
}

// OrphanEpoch returns the epoch at which a node that is neither home nor deputy
// takes over.
func (m *Machine) OrphanEpoch() uint64 { return max(m.rec.Epoch, m.inRow.Epoch) + OrphanEpochStep }

func (m *Machine) attempt(now Time, r Record, self Registration, starts bool) *Attempt {
	k := HomeKey(m.Group)
	a := &Attempt{Record: r, base: m.row.Version, sent: now, starts: starts, flying: true}
	a.Tx.Conditions = []store.Condition{
		{Key: k, Version: m.row.Version},
		{Key: NodeKey(m.Self.Node), Version: self.Version},
	}
	a.Tx.Writes = []store.Write{{Key: k, Value: EncodeRecord(r)}}
	if starts {
		a.Tx.Writes = append(a.Tx.Writes, store.Write{Key: Key(m.Self.Node), Value: []byte(m.Self.Incarnation)})
	}
	m.next = a
	return a
}

// Done takes the table's answer to the open transaction. After any answer the row
// has to be read again; while the effect is open, with Readback.
func (m *Machine) Done(err error) {
	a := m.next
	if a == nil {
		return
	}
	m.rowFresh = false
	m.answers++
	a.flying = false
	var c *store.ConflictError
	var u *store.UnsentError
	switch {
	case err == nil:
		m.took(a)
	case errors.As(err, &c):
		a.refused = true
	case errors.As(err, &u):
	default:
		a.open = true
		return
	}
	if m.next != nil && !a.open {
		m.next = nil // nothing took effect, now or earlier
	}
}

// Readback is Observe for a read that was sent when Answers returned mark. It settles
// the open transaction if nothing was sent or answered since.
func (m *Machine) Readback(mark int, r store.Row, content Record) {
	a := m.next
	switch {
	case a == nil || a.flying || mark != m.answers:
	case content.Token == a.Record.Token:
		m.took(a)
	case r.Version != a.base:
		m.next = nil
	case a.refused:
		// The row is unchanged, so another condition failed. Versions only rise:
		// no copy of the transaction still under way can take effect.
		m.next = nil
	}
	m.Observe(r, content)
}

// took makes the record of a transaction that took effect the one in force.
func (m *Machine) took(a *Attempt) {
	m.next = nil
	m.adopt(a.Record)
	m.inRow, m.rowFresh = a.Record, false
	m.row.Version = max(m.row.Version, a.base+1)
	if a.starts {
		m.lease = max(m.lease, a.sent.Fast+holderShare(m.Terms.orDefault().Lease))
	}
}
