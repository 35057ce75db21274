package lease

import (
	"errors"

	"bergamotspring/core/store"
)

// Action is what a node should do next for a group.
type Action uint8

// The actions. All but ActionNone and ActionTakeDead are transactions on the table;
// without the table, AppointStandby replaces ActionAppointStandby.
const (
	ActionNone           Action = iota
	ActionInsert                // the group has no row: insert one
	ActionTakeExpired           // the lease expired: the standby takes over by compare-and-set
	ActionTakeDead              // the holder is dead: the standby takes over at once, without the table
	ActionTakeResigned          // a standby that had resigned takes over from a dead holder by compare-and-set
	ActionTakeOrphan            // holder and standby are dead: ask all nodes, then take over
	ActionRecord                // write the record in force into the table
	ActionAppointStandby        // appoint a standby
)

// Attempt is a transaction on row home/<group>. Until its result is known, it is
// retried unchanged; Record.Token shows whether it took effect.
type Attempt struct {
	Record      Record
	Tx          store.Tx
	baseVersion uint64 // version of row home/<group> that it replaces
	sent        Time
	renewsLease bool // also writes lease/<self>, so success renews the table lease

	inFlight   bool // sent, and no response yet
	uncertain  bool // an earlier send may have taken effect, or may still do so
	conflicted bool // a later send met a conflict
}

// Registration is the row of this node, on which every transaction is conditional.
// Once another incarnation has overwritten it, this one can write nothing more.
type Registration struct {
	Version uint64 // of row node/<self>
}

// Next returns what to do at now.
func (m *Machine) Next(now Time) Action {
	switch {
	case m.pending != nil:
		return ActionNone
	case m.IsHolder():
		return m.nextAsHolder()
	case m.IsStandby():
		return m.nextAsStandby(now)
	case !m.rowFresh:
		return ActionNone
	case m.row.Version == 0 && m.rec.Epoch == 0:
		return ActionInsert
	case m.rowRecord.Standby == m.Self && m.Recorded() && m.dead(m.rec.Holder):
		return ActionTakeResigned
	case m.isOrphan():
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
	case m.rowFresh && m.row.Version > 0 && m.leaseExpired(now) && now.Slow >= m.promisedUntil:
		return ActionTakeExpired
	}
	return ActionNone
}

// isOrphan reports whether every node named in the row or in a known later record is
// dead.
func (m *Machine) isOrphan() bool {
	return m.row.Version > 0 && m.noneOrDead(m.rowRecord.Holder) && m.noneOrDead(m.rowRecord.Standby) &&
		m.noneOrDead(m.rec.Holder) && m.noneOrDead(m.rec.Standby)
}

// Pending returns the transaction whose result is unknown, nil if there is none.
func (m *Machine) Pending() *Attempt { return m.pending }

// Send returns the pending transaction to be retried, nil if there is none or its
// response is still awaited.
func (m *Machine) Send() *Attempt {
	if m.pending == nil || m.pending.inFlight {
		return nil
	}
	m.pending.inFlight = true
	m.txEvents++
	return m.pending
}

// TxEvents returns the mark for Readback: the number of transaction resends and responses so
// far.
func (m *Machine) TxEvents() int { return m.txEvents }

// Begin starts the transaction for action, with a token unique to it. standby is the one
// to appoint (may be zero); ActionRecord keeps a standby that is not dead. It returns nil
// if action needs no transaction or is not the next one at now, the row has to be read
// again, or this node is not registered.
func (m *Machine) Begin(now Time, action Action, standby Instance, token string, self Registration) *Attempt {
	if action == ActionNone || action == ActionTakeDead || m.Next(now) != action || !m.rowFresh || self.Version == 0 {
		return nil
	}
	r := Record{Group: m.Group, Holder: m.Self, Standby: standby, Epoch: max(m.rec.Epoch, m.rowRecord.Epoch) + 1, Token: token}
	switch action {
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
	if action == ActionTakeExpired {
		a.Tx.Conditions = append(a.Tx.Conditions, store.Condition{Key: Key(m.rec.Holder.Node), Version: m.observed.version})
	}
	return a
}

// OrphanEpoch returns the epoch at which a node that is neither holder nor standby
// takes over.
func (m *Machine) OrphanEpoch() uint64 { return max(m.rec.Epoch, m.rowRecord.Epoch) + OrphanEpochStep }

func (m *Machine) attempt(now Time, r Record, self Registration, renewsLease bool) *Attempt {
	k := HomeKey(m.Group)
	a := &Attempt{Record: r, baseVersion: m.row.Version, sent: now, renewsLease: renewsLease, inFlight: true}
	a.Tx.Conditions = []store.Condition{
		{Key: k, Version: m.row.Version},
		{Key: NodeKey(m.Self.Node), Version: self.Version},
	}
	a.Tx.Writes = []store.Write{{Key: k, Value: EncodeRecord(r)}}
	if renewsLease {
		a.Tx.Writes = append(a.Tx.Writes, store.Write{Key: Key(m.Self.Node), Value: []byte(m.Self.Incarnation)})
	}
	m.pending = a
	return a
}

// OnResult takes the table's response to the pending transaction. After any response the
// row has to be read again; while the transaction is pending, with Readback.
func (m *Machine) OnResult(err error) {
	a := m.pending
	if a == nil {
		return
	}
	m.rowFresh = false
	m.txEvents++
	a.inFlight = false
	var c *store.ConflictError
	var u *store.UnsentError
	switch {
	case err == nil:
		m.onCommit(a)
	case errors.As(err, &c):
		a.conflicted = true
	case errors.As(err, &u):
	default:
		a.uncertain = true
		return
	}
	if m.pending != nil && !a.uncertain {
		m.pending = nil // neither this send nor an earlier one took effect
	}
}

// Readback is Observe for a read that was sent when TxEvents returned mark. It resolves
// the pending transaction if there was no resend or response since.
func (m *Machine) Readback(mark int, r store.Row, content Record) {
	a := m.pending
	switch {
	case a == nil || a.inFlight || mark != m.txEvents:
	case content.Token == a.Record.Token:
		m.onCommit(a)
	case r.Version != a.baseVersion:
		m.pending = nil
	case a.conflicted:
		// The row is unchanged, so another condition failed. Versions only rise, so
		// no copy of the transaction still in flight can take effect.
		m.pending = nil
	}
	m.Observe(r, content)
}

// onCommit makes the record of a transaction that took effect the one in force.
func (m *Machine) onCommit(a *Attempt) {
	m.pending = nil
	m.adopt(a.Record)
	m.rowRecord, m.rowFresh = a.Record, false
	m.row.Version = max(m.row.Version, a.baseVersion+1)
	if a.renewsLease {
		m.leaseUntil = max(m.leaseUntil, a.sent.Fast+shortenForDrift(m.Terms.orDefault().Lease))
	}
}
