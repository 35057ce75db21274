// Package control keeps the state of the fleet as a node knows it: the nodes, the lease
// holders of groups, the configuration and the orders to servers. It follows the table
// and exchanges messages with the other nodes.
//
// Locks are taken in this order: configuration, membership, leases. No lock is held
// during I/O. Function fields are called without a lock that other methods wait for,
// except Clock and Groups of Leases, Running of Reconciler, and Decode, OnInstall, OnAlarm
// and Record of Watch: they must not call a method that takes the same lock.
//
// This file defines the membership.
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

// Peers are the calls to other nodes. Each call ends with its context. Leases uses Promise,
// Handover and Held; Gossip and Watch have fields of their own for the other two.
type Peers struct {
	Promise     func(ctx context.Context, to member.Node, a lease.PromiseRequest) (lease.Promise, error)
	Handover    func(ctx context.Context, to member.Node, h lease.Handover) error
	Held        func(ctx context.Context, to member.Node, g fleet.GroupID) (limit.HeldReport, error)
	SendDigest  func(ctx context.Context, to member.Node, d member.Digest) error
	FetchConfig func(ctx context.Context, to member.Node) (ConfigResponse, error)
}

// ConfigResponse is the configuration that a peer has in force. Head is the value of the
// row config/head, empty if the peer has none.
type ConfigResponse struct {
	Head      []byte
	Confirmed bool // against the table within the last 5 s
}

// Members is the membership of the fleet, shared by the components of a node.
type Members struct {
	// OnDeath is called for each new proof of death, without a lock held. Leases sets it
	// to its OnDeath if it is nil; any other function has to call that.
	OnDeath func(lease.Instance, member.Proof)

	mu            sync.Mutex
	membership    member.Membership
	pendingDeaths []death
	live          map[string][]member.Node // cache by region, cleared by each change
}

type death struct {
	instance lease.Instance
	proof    member.Proof
}

// update runs f on the membership and then calls OnDeath for the deaths that f proved.
func (m *Members) update(f func(*member.Membership)) {
	m.mu.Lock()
	m.membership.OnDeath = func(h lease.Instance, p member.Proof) { m.pendingDeaths = append(m.pendingDeaths, death{h, p}) }
	f(&m.membership)
	clear(m.live)
	l, onDeath := m.pendingDeaths, m.OnDeath
	m.pendingDeaths = nil
	m.mu.Unlock()
	if onDeath == nil {
		return
	}
	for _, d := range l {
		onDeath(d.instance, d.proof)
	}
}

// followDeaths sets OnDeath unless it is set, and returns the instances proven dead so
// far.
func (m *Members) followDeaths(f func(lease.Instance, member.Proof)) []lease.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.OnDeath == nil {
		m.OnDeath = f
	}
	return m.membership.Deaths()
}

// Apply applies the rows under node/ that changed up to a table sequence, and returns the
// number of rows that cannot be decoded.
func (m *Members) Apply(rows []store.Row, sequence uint64) (undecodable int) {
	if len(rows) == 0 {
		m.mu.Lock()
		idle := m.membership.Advance(sequence)
		m.mu.Unlock()
		if idle {
			return 0
		}
	}
	m.update(func(t *member.Membership) { undecodable = t.Apply(rows, sequence) })
	return undecodable
}

// SetVMs replaces the VM list.
func (m *Members) SetVMs(l map[string]member.VMState) {
	m.update(func(t *member.Membership) { t.SetVMs(l) })
}

// ObserveHello records that instance h responds at a peer address.
func (m *Members) ObserveHello(address string, h lease.Instance) {
	m.update(func(t *member.Membership) { t.ObserveInstance(address, h) })
}

// ObserveRefused records that the peer address of h refused a connection after the link to it
// closed.
func (m *Members) ObserveRefused(h lease.Instance, now time.Duration) {
	m.update(func(t *member.Membership) { t.ObserveRefusal(h, now) })
}

// MarkDead records a proof of death.
func (m *Members) MarkDead(h lease.Instance, p member.Proof) {
	m.update(func(t *member.Membership) { t.MarkDead(h, p) })
}

// ObserveHolder records that a row home/<group>, read at a table sequence, names the
// instances.
func (m *Members) ObserveHolder(sequence uint64, l ...lease.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range l {
		m.membership.ObserveHolder(h, sequence)
	}
}

// Live returns the nodes of a region that are not proven dead, or of all regions if
// region is empty.
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

// VM returns the state of a VM, empty if the VM list does not have it.
func (m *Members) VM(name string) member.VMState {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.membership.VM(name)
}

// deadRows returns the keys and versions of the rows of dead nodes.
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
