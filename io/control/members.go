// Package control keeps what a node knows of its fleet: the nodes, the homes of groups, the
// configuration and the orders to servers. It follows the table and the other nodes.
//
// Locks are taken in this order: configuration, membership, homes. No lock is held
// during I/O or while a function field is called. This file defines the table of nodes.
package control

import (
	"context"
	"sync"
	"time"

	"bergamotspring/core/lease"
	"bergamotspring/core/limit"
	"bergamotspring/core/member"
	"bergamotspring/core/store"

	"bergamotspring/core/fleet"
)

// Peers is how a node reaches another one. Each call ends with its context.
type Peers struct {
	Promise     func(ctx context.Context, to member.Node, a lease.PromiseRequest) (lease.Promise, error)
	Handover    func(ctx context.Context, to member.Node, h lease.Handover) error
	Held        func(ctx context.Context, to member.Node, g fleet.GroupID) (limit.HeldReport, error)
	SendDigest  func(ctx context.Context, to member.Node, d member.Digest) error
	FetchConfig func(ctx context.Context, to member.Node) (ConfigResponse, error)
}

// ConfigResponse is the configuration that a peer has in force. Head is the value of
// row config/head, empty if the peer has none.
type ConfigResponse struct {
	Head      []byte
	Confirmed bool // against the table within the last 5 s
}

// Members is the table of nodes, shared by the parts of a node.
type Members struct {
	// OnDeath is called for each new proof of death, without a lock held. Leases sets it
	// to its OnDeath if it is nil; any other function has to call that.
	OnDeath func(lease.Instance, member.Proof)

	mu         sync.Mutex
	membership member.Membership
	news       []death
	live       map[string][]member.Node // by region, until the table changes
}

type death struct {
	holder lease.Instance
	proof  member.Proof
}

// change runs f on the table and then reports the deaths that it proved.
func (m *Members) change(f func(*member.Membership)) {
	m.mu.Lock()
	m.membership.OnDeath = func(h lease.Instance, p member.Proof) { m.news = append(m.news, death{h, p}) }
	f(&m.membership)
	clear(m.live)
	l, tell := m.news, m.OnDeath
	m.news = nil
	m.mu.Unlock()
	if tell == nil {
		return
	}
	for _, d := range l {
		tell(d.holder, d.proof)
	}
}

// hear sets OnDeath unless it is set, and returns the holders proven dead so far.
func (m *Members) hear(f func(lease.Instance, member.Proof)) []lease.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.OnDeath == nil {
		m.OnDeath = f
	}
	return m.membership.Deaths()
}

// Apply takes changed rows under node/.
func (m *Members) Apply(rows []store.Row, sequence uint64) (bad int) {
	if len(rows) == 0 {
		m.mu.Lock()
		idle := m.membership.Idle(sequence)
		m.mu.Unlock()
		if idle {
			return 0
		}
	}
	m.change(func(t *member.Membership) { bad = t.Apply(rows, sequence) })
	return bad
}

// SetVMs takes the VM list.
func (m *Members) SetVMs(l map[string]member.VMState) {
	m.change(func(t *member.Membership) { t.SetVMs(l) })
}

// Hello notes that h answers at a peer address.
func (m *Members) Hello(address string, h lease.Instance) {
	m.change(func(t *member.Membership) { t.Hello(address, h) })
}

// Refused notes a refused connection to the peer address of h after its link closed.
func (m *Members) Refused(h lease.Instance, now time.Duration) {
	m.change(func(t *member.Membership) { t.Refused(h, now) })
}

// MarkDead records a proof of death.
func (m *Members) MarkDead(h lease.Instance, p member.Proof) {
	m.change(func(t *member.Membership) { t.MarkDead(h, p) })
}

// ObserveHolder notes that a home row names the holders.
func (m *Members) ObserveHolder(sequence uint64, l ...lease.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range l {
		m.membership.ObserveHolder(h, sequence)
	}
}

// Live returns the nodes of a region that are not proven dead, of all if it is empty.
// The slice is shared and must not be changed.
func (m *Members) Live(region string) []member.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l, ok := m.live[region]; ok {
		return l
	}
	if m.live == nil {
		m.live = map[string][]member.Node{}
	}
	l := m.membership.Live(region)
	m.live[region] = l
	return l
}

// Get returns a node and the version of its row, 0 if it is unknown.
func (m *Members) Get(id string) (member.Node, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.membership.Get(id)
}

// Dead reports whether h is proven dead.
func (m *Members) Dead(h lease.Instance) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.membership.Dead(h)
}

// VM returns the state of a VM, empty if the list does not have it.
func (m *Members) VM(name string) member.VMState {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.membership.VM(name)
}

// deadRows returns the rows of dead nodes.
func (m *Members) deadRows() []store.Condition {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.membership.DeadRows()
}

// sequence returns the table sequence up to which node rows are known.
func (m *Members) sequence() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.membership.Sequence()
}
