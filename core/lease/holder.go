package lease

import (
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/core/store"
)

// ObservePromise takes a standby's promise not to take over, given for term in
// response to a request sent at sentAt. The holder counts the term, less the drift
// margin, from sentAt.
func (m *Machine) ObservePromise(standby Instance, sentAt Time, term time.Duration) {
	if !m.IsHolder() || term <= 0 {
		return
	}
	if m.promises == nil {
		m.promises = map[Instance]time.Duration{}
	}
	m.promises[standby] = max(m.promises[standby], sentAt.Fast+shortenForDrift(term))
}

// ObserveResignation records that the standby gave up its right to take over without
// the table, in response to ResignRequest.
func (m *Machine) ObserveResignation(standby Instance) { m.resignedStandby = standby }

// ResignRequest returns the message that asks the standby to resign, which it has to
// do before the holder replaces it or transfers the group.
func (m *Machine) ResignRequest() (to Instance, h Handover) {
	r := m.rec
	r.Standby = Instance{}
	return m.rec.Standby, Handover{Record: r}
}

// CanChange reports whether the record may be changed without the risk that the
// standby takes over from the old one.
func (m *Machine) CanChange() bool {
	d := m.rec.Standby
	return d == (Instance{}) || m.deadStandbys[d] || m.resignedStandby == d
}

func (m *Machine) changeable(now Time, self Registration) bool {
	_, remaining := m.Authority(now)
	return remaining > 0 && self.Version > 0 && m.pending == nil && m.Recorded() && m.rowFresh && m.CanChange()
}

// Replace starts the transaction that appoints another standby. It returns nil if the
// record cannot be changed now, for example because the standby has not resigned.
func (m *Machine) Replace(now Time, standby Instance, token string, self Registration) *Attempt {
	if !m.changeable(now, self) {
		return nil
	}
	r := m.rec
	r.Standby, r.Token = standby, token
	return m.attempt(now, r, self, false)
}

// Transfer starts the transaction that makes another node the lease holder. This node
// grants nothing until the transaction is known to have failed.
func (m *Machine) Transfer(now Time, to, standby Instance, token string, self Registration) *Attempt {
	if !m.changeable(now, self) {
		return nil
	}
	r := Record{Group: m.Group, Holder: to, Standby: standby, Epoch: m.rec.Epoch + 1, Token: token}
	return m.attempt(now, r, self, false)
}

// Release gives up the lease and returns the message that makes the standby the lease
// holder. ok is false, and the lease is kept, unless there is exactly one standby, it can
// take over, and no transaction is pending. Release needs no table; a planned stop uses
// it.
func (m *Machine) Release() (to Instance, h Handover, ok bool) {
	l := m.Standbys()
	if !m.IsHolder() || m.pending != nil || len(l) != 1 || m.noneOrDead(l[0]) || m.resignedStandby == l[0] {
		return Instance{}, Handover{}, false
	}
	m.released = true
	r := Record{Group: m.Group, Holder: l[0], Epoch: m.rec.Epoch + 1, Token: m.rec.Token + "+"}
	return l[0], Handover{Record: r}, true
}

// AppointStandby appoints a standby by peer message, while the table is down, and
// returns the message to send until it is acknowledged. It returns false unless this
// node has authority, no transaction is pending, there is no living standby, and the new
// one's promise (ObservePromise) is in force, so that authority lasts until the promise
// ends or is renewed.
func (m *Machine) AppointStandby(now Time, standby Instance, token string) (Handover, bool) {
	_, remaining := m.Authority(now)
	d := m.rec.Standby
	if remaining <= 0 || m.pending != nil || d != (Instance{}) && !m.deadStandbys[d] || m.promises[standby] <= now.Fast {
		return Handover{}, false
	}
	m.rec.Standby, m.rec.Token = standby, token
	return Handover{Record: m.rec}, true
}

// Renewal returns the transaction that renews lease/<node> for the groups of a node at once,
// and the machines that it covers: those held whose record is in the table, as freshly
// read, and that have no transaction pending. The transaction is conditional on their rows
// home/<group> being as recorded.
func Renewal(self Instance, r Registration, held []*Machine) (store.Tx, []*Machine) {
	t := store.Tx{Conditions: []store.Condition{{Key: NodeKey(self.Node), Version: r.Version}}}
	var in []*Machine
	for _, m := range held {
		if !m.IsHolder() || !m.Recorded() || !m.rowFresh || m.pending != nil {
			continue
		}
		in = append(in, m)
		t.Conditions = append(t.Conditions, store.Condition{Key: HomeKey(m.Group), Version: m.row.Version})
	}
	t.Writes = []store.Write{{Key: Key(self.Node), Value: []byte(self.Incarnation)}}
	return t, in
}

// Supersede ends all roles, because the row of this node belongs to another
// incarnation.
func (m *Machine) Supersede() {
	m.released = true
	m.pending = nil
	m.resignedEpoch = ^uint64(0)
}

// OwnershipQuery returns the message that asks every node of the region whether it has
// a right to the group, before a takeover of an orphan.
func (m *Machine) OwnershipQuery() Handover {
	return Handover{Record: Record{Group: m.Group, Holder: m.Self, Epoch: m.OrphanEpoch()}}
}

// RefusedError reports why a node does not consent to a handover.
type RefusedError struct {
	Group  fleet.GroupID
	Reason string
}

func (e *RefusedError) Error() string {
	return "lease: handover of " + e.Group.String() + " refused: " + e.Reason
}
