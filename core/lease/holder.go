package lease

import (
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/core/store"
)

// ObservePromise takes a deputy's promise not to take over, which it gave for term in
// answer to an ask sent at sent: rule (b).
func (m *Machine) ObservePromise(deputy Instance, sent Time, term time.Duration) {
	if !m.IsHolder() || term <= 0 {
		return
	}
	if m.promises == nil {
		m.promises = map[Instance]time.Duration{}
	}
	m.promises[deputy] = max(m.promises[deputy], sent.Fast+holderShare(term))
}

// ObserveResignation notes that the deputy gave up its right to take over without the
// table, in answer to ResignRequest.
func (m *Machine) ObserveResignation(deputy Instance) { m.consent = deputy }

// ResignRequest returns the message that asks the deputy to resign, which has to come
// before the home replaces it or gives the group away.
func (m *Machine) ResignRequest() (to Instance, h Handover) {
	r := m.rec
	r.Standby = Instance{}
	return m.rec.Standby, Handover{Record: r}
}

// CanChange reports whether the record may be changed without the deputy's taking over
// from the old one.
func (m *Machine) CanChange() bool {
	d := m.rec.Standby
	return d == (Instance{}) || m.deadStandbys[d] || m.consent == d
}

func (m *Machine) changeable(now Time, self Registration) bool {
	_, left := m.Authority(now)
	return left > 0 && self.Version > 0 && m.next == nil && m.Recorded() && m.rowFresh && m.CanChange()
}

// Replace starts the transaction that names another deputy. It returns nil if the
// record cannot be changed now, which includes a deputy that has not consented.
func (m *Machine) Replace(now Time, deputy Instance, token string, self Registration) *Attempt {
	if !m.changeable(now, self) {
		return nil
	}
	r := m.rec
	r.Standby, r.Token = deputy, token
	return m.attempt(now, r, self, false)
}

// Transfer starts the transaction that makes another node home. The home grants
// nothing from now on, unless the transaction is known to have failed.
func (m *Machine) Transfer(now Time, to, deputy Instance, token string, self Registration) *Attempt {
	if !m.changeable(now, self) {
		return nil
	}
	r := Record{Group: m.Group, Holder: to, Standby: deputy, Epoch: m.rec.Epoch + 1, Token: token}
	return m.attempt(now, r, self, false)
}

// Release gives the group up for good and returns the message that makes the deputy
// home, if there is exactly one. It needs no table; a planned stop uses it.
func (m *Machine) Release() (to Instance, h Handover, ok bool) {
	l := m.Standbys()
	if !m.IsHolder() || m.next != nil || len(l) != 1 || m.gone(l[0]) || m.consent == l[0] {
		return Instance{}, Handover{}, false
	}
	m.released = true
	r := Record{Group: m.Group, Holder: l[0], Epoch: m.rec.Epoch + 1, Token: m.rec.Token + "+"}
	return l[0], Handover{Record: r}, true
}

// AppointStandby makes deputy the deputy by peer message, while the table is down, and
// returns the message to send until it is acknowledged. The caller holds a promise
// of the new deputy, so that authority lasts until the next one.
func (m *Machine) AppointStandby(now Time, deputy Instance, token string) (Handover, bool) {
	_, left := m.Authority(now)
	d := m.rec.Standby
	if left <= 0 || m.next != nil || d != (Instance{}) && !m.deadStandbys[d] || m.promises[deputy] <= now.Fast {
		return Handover{}, false
	}
	m.rec.Standby, m.rec.Token = deputy, token
	return Handover{Record: m.rec}, true
}

// Renewal is the transaction that renews lease/<node> for all groups of a node at
// once, with the condition that every home row is as recorded.
func Renewal(self Instance, r Registration, held []*Machine) (store.Tx, []*Machine) {
	t := store.Tx{Conditions: []store.Condition{{Key: NodeKey(self.Node), Version: r.Version}}}
	var in []*Machine
	for _, m := range held {
		if !m.IsHolder() || !m.Recorded() || !m.rowFresh || m.next != nil {
			continue
		}
		in = append(in, m)
		t.Conditions = append(t.Conditions, store.Condition{Key: HomeKey(m.Group), Version: m.row.Version})
	}
	t.Writes = []store.Write{{Key: Key(self.Node), Value: []byte(self.Incarnation)}}
	return t, in
}

// Supersede ends all roles: the row of this node belongs to another incarnation.
func (m *Machine) Supersede() {
	m.released = true
	m.next = nil
	m.resigned = ^uint64(0)
}

// OwnershipQuery is the question to every node of the region whether it has a right to the
// group, before a takeover of an orphan.
func (m *Machine) OwnershipQuery() Handover {
	return Handover{Record: Record{Group: m.Group, Holder: m.Self, Epoch: m.OrphanEpoch()}}
}

// RefusedError says why a node does not consent to a handover.
type RefusedError struct {
	Group  fleet.GroupID
	Reason string
}

func (e *RefusedError) Error() string {
	return "lease: handover of " + e.Group.String() + " refused: " + e.Reason
}
