package control

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/core/lease"
	"bergamotspring/core/limit"
	"bergamotspring/core/member"
	"bergamotspring/core/record"
	"bergamotspring/core/store"
)

// The parameters of Leases. A holder requests promises each tickPeriod, so that a standby
// notices a silent holder after 300 ms and begins to read its lease row; while requests
// arrive no lease row is read at all.
const (
	tickPeriod      = 250 * time.Millisecond
	silentAfter     = 300 * time.Millisecond
	TableTimeout    = time.Second            // time limit of a call to the table
	PeerTimeout     = 400 * time.Millisecond // time limit of a call to another node
	balancePeriod   = 2 * time.Second        // between planned changes by one node
	settleTime      = 2 * time.Second        // after the start, so that nodes that start together know each other first
	rankDelay       = 3 * time.Second        // the next candidate for a group without a holder waits this much longer
	outageAfter     = 3 * time.Second        // time without the table after which promises of Terms.Outage are requested and granted
	attemptsPerTick = 8                      // transactions in flight at once
	maxPeerCalls    = 32                     // peer calls in flight at once for one query of all nodes
	heldRetryPause  = 500 * time.Millisecond
	defaultMaxCall  = 10 * time.Second // for collecting held permits, if MaxCall is nil
)

// Leases holds the lease machines of all groups and carries out their actions. The zero
// value of each function field but those of Table, Peers and Groups is usable.
type Leases struct {
	Self    member.Node
	Table   store.Table
	Peers   Peers
	Members *Members
	Health  *Health
	// Groups returns every group with its region; this node may hold the leases only of
	// groups of its own region.
	Groups func() map[fleet.GroupID]string
	Clock  func() lease.Reading
	Seed   uint64
	Terms  lease.Terms

	// OnGained is called when this node becomes the lease holder of a group, OnLost when it
	// no longer is; both in order and without a lock held. Grants still need Authority.
	OnGained func(g fleet.GroupID, epoch uint64)
	OnLost   func(g fleet.GroupID)
	// OnHeldReport is called with the permits of a gained group that a node holds,
	// OnAllReported once every node has reported or is proven dead.
	OnHeldReport  func(g fleet.GroupID, epoch uint64, r limit.HeldReport)
	OnAllReported func(g fleet.GroupID, epoch uint64)
	MaxCall       func() time.Duration // time limit for collecting held permits
	// OnRecord is called with each record by which this node becomes the lease holder, and
	// with those that the table does not have yet.
	OnRecord func(lease.Record)
	// OnSuperseded is called when this node's row was removed by another node or belongs to
	// another incarnation.
	OnSuperseded func()
	Record       func(record.Event)

	once sync.Once
	done chan struct{}
	wake chan struct{}

	mu            sync.Mutex
	running       context.Context // context of Run; its end ends the collection of held permits
	clock         lease.Clock
	rand          *rand.Rand
	machines      map[fleet.GroupID]*lease.Machine
	sorted        []*lease.Machine // by group, so that runs with equal seeds are equal
	dead          map[lease.Instance]bool
	live          []member.Node // nodes of this region, as of the last round
	reg           lease.Registration
	regFresh      bool
	notified      map[fleet.GroupID]uint64         // epochs of the groups gained, as the callbacks report them
	lastRequest   map[lease.Instance]time.Duration // Time.Slow of a holder's last promise request
	requesting    map[lease.Instance]bool          // promise requests in flight, by standby
	appointments  map[fleet.GroupID]lease.Handover // by peer message, not yet acknowledged
	takeableSince map[fleet.GroupID]time.Duration  // Time.Slow since which a group could be taken
	reread        map[fleet.GroupID]bool           // groups whose row is read at the next tick
	seq           uint64
	tableRead     bool // the table has been read once
	startedAt     time.Duration
	renewedAt     time.Duration // Time.Fast when the last renewal was sent
	balancedAt    time.Duration
	stopping      bool
	ended         bool // superseded, or Stop has come to the removal of its row
	callbacks     []func()
	flushing      sync.Mutex
	searches      sync.WaitGroup
}

func (h *Leases) init() {
	h.once.Do(func() {
		h.done = make(chan struct{})
		h.wake = make(chan struct{}, 1)
		h.rand = rand.New(rand.NewPCG(h.Seed, 1))
		h.machines = map[fleet.GroupID]*lease.Machine{}
		h.dead = map[lease.Instance]bool{}
		h.notified = map[fleet.GroupID]uint64{}
		h.lastRequest = map[lease.Instance]time.Duration{}
		h.requesting = map[lease.Instance]bool{}
		h.appointments = map[fleet.GroupID]lease.Handover{}
		h.takeableSince = map[fleet.GroupID]time.Duration{}
		h.reread = map[fleet.GroupID]bool{}
		if h.Clock == nil {
			h.Clock = SystemClock()
		}
		if h.Health == nil {
			h.Health = &Health{}
		}
		if h.Members == nil {
			h.Members = &Members{}
		}
		for _, x := range h.Members.followDeaths(func(x lease.Instance, _ member.Proof) { h.OnDeath(x) }) {
			h.dead[x] = true // proven dead before OnDeath was set
		}
	})
}

// Done is closed when Run has returned.
func (h *Leases) Done() <-chan struct{} {
	h.init()
	return h.done
}

// now reads the clock; mu is held.
func (h *Leases) now() lease.Time { return h.clock.Advance(h.Clock()) }

// machine returns the machine of g; mu is held.
func (h *Leases) machine(g fleet.GroupID) *lease.Machine {
	m := h.machines[g]
	if m == nil {
		m = &lease.Machine{Self: h.Self.Instance, Group: g, Terms: h.Terms,
			Dead: func(x lease.Instance) bool { return h.dead[x] }}
		h.machines[g] = m
		h.sorted = append(h.sorted, m)
		slices.SortFunc(h.sorted, func(a, b *lease.Machine) int {
			return cmp.Compare(a.Group.String(), b.Group.String())
		})
	}
	return m
}

// Authority returns the epoch under which this node may grant permits of g and the
// remaining time, 0 if it may not.
func (h *Leases) Authority(g fleet.GroupID) (epoch uint64, remaining time.Duration) {
	h.init()
	h.mu.Lock()
	defer h.mu.Unlock()
	m := h.machines[g]
	if m == nil || h.ended {
		return 0, 0
	}
	return m.Authority(h.now())
}

// RecordOf returns the record of g as known here; Epoch is 0 if none is known.
func (h *Leases) RecordOf(g fleet.GroupID) lease.Record {
	h.init()
	h.mu.Lock()
	defer h.mu.Unlock()
	m := h.machines[g]
	if m == nil {
		return lease.Record{}
	}
	return m.Record()
}

// Held returns the groups whose lease this node holds, with their records.
func (h *Leases) Held() map[fleet.GroupID]lease.Record {
	h.init()
	h.mu.Lock()
	defer h.mu.Unlock()
	l := map[fleet.GroupID]lease.Record{}
	for g, m := range h.machines {
		if m.IsHolder() && !h.ended {
			l[g] = m.Record()
		}
	}
	return l
}

// Recorded reports whether the table has the record of g that is in force here.
func (h *Leases) Recorded(g fleet.GroupID) bool {
	h.init()
	h.mu.Lock()
	defer h.mu.Unlock()
	m := h.machines[g]
	return m != nil && m.Recorded()
}

// Apply applies the rows under home/ that changed up to a table sequence. The first call
// covers all rows, so a group that it leaves out has no row.
func (h *Leases) Apply(rows []store.Row, sequence uint64) {
	h.init()
	h.mu.Lock()
	defer h.unlock()
	h.seq = max(h.seq, sequence)
	named := h.applyRows(rows, (*lease.Machine).Observe)
	h.observeAbsent()
	h.callbacks = append(h.callbacks, func() { h.Members.ObserveHolder(sequence, named...) })
}

// applyRows passes rows under home/ to their machines by f and returns the holders and
// standbys that they name.
func (h *Leases) applyRows(rows []store.Row, f func(*lease.Machine, store.Row, lease.Record)) (named []lease.Instance) {
	for _, r := range rows {
		c, err := lease.DecodeRecord(r.Value)
		if r.Version == 0 || err != nil || lease.HomeKey(c.Group) != r.Key {
			continue
		}
		f(h.machine(c.Group), r, c)
		named = append(named, c.Holder, c.Standby)
	}
	return named
}

// observeAbsent records that groups of which nothing is known have no row.
func (h *Leases) observeAbsent() {
	for g := range h.groups() {
		m := h.machine(g)
		if v, _ := m.Row(); v == 0 && m.Record().Epoch == 0 {
			m.Observe(store.Row{Key: lease.HomeKey(g)}, lease.Record{})
		}
	}
}

// SetTableRead records that the watch has read the whole table once.
func (h *Leases) SetTableRead() {
	h.init()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tableRead = true
}

func (h *Leases) groups() map[fleet.GroupID]string {
	if h.Groups == nil {
		return nil
	}
	return h.Groups()
}

// OnDeath records that x is proven dead.
func (h *Leases) OnDeath(x lease.Instance) {
	h.init()
	h.mu.Lock()
	h.dead[x] = true
	h.tickMachines()
	h.unlock()
	h.wakeTableLoop()
}

// Merge merges records from a digest.
func (h *Leases) Merge(l []lease.Record) {
	h.init()
	h.mu.Lock()
	defer h.unlock()
	for _, r := range l {
		h.machine(r.Group).Merge(r)
	}
}

// OnPromiseRequest responds to a lease holder that requests promises from this node, its
// standby.
func (h *Leases) OnPromiseRequest(a lease.PromiseRequest) lease.Promise {
	h.init()
	// Terms.Outage is granted only if both nodes have lost the table. A standby that was
	// itself paused or disconnected, and has not read the table since, would otherwise be
	// unable for a minute to take over from a holder that reaches the table.
	down := a.Outage && h.Health.Down() > outageAfter
	h.mu.Lock()
	defer h.unlock()
	now := h.now()
	h.lastRequest[a.Holder] = now.Slow
	p := lease.Promise{Standby: h.Self.Instance}
	for i, g := range a.Groups {
		if h.ended || i >= len(a.Epochs) {
			break
		}
		if d, ok := h.machine(g).GrantPromise(now, a.Holder, a.Epochs[i], down); ok {
			p.Groups = append(p.Groups, g)
			p.Term = d
		}
	}
	return p
}

// OnHandover accepts a handover; the error says why this node does not consent.
func (h *Leases) OnHandover(x lease.Handover) error {
	h.init()
	h.mu.Lock()
	g := x.Record.Group
	registered := h.reg.Version > 0 && !h.stopping && !h.ended
	err := h.machine(g).Accept(x, registered)
	// An ownership query has no token: it must not cause reads here.
	mine := x.Record.Holder == h.Self.Instance && x.Record.Token != ""
	if mine {
		h.reread[g] = true
	}
	h.unlock()
	if mine {
		h.wakeTableLoop()
	}
	return err
}

// tickMachines does what needs no table: it records deaths and takes over groups of dead
// holders. mu is held.
func (h *Leases) tickMachines() {
	now := h.now()
	for _, m := range h.sorted {
		m.Tick(now)
		if h.stopping || h.ended || !m.TakeOver(now, h.token()) {
			continue
		}
		h.reread[m.Group] = true
	}
}

func (h *Leases) queueRecord(r lease.Record) {
	if h.OnRecord != nil {
		h.callbacks = append(h.callbacks, func() { h.OnRecord(r) })
	}
}

func (h *Leases) token() string {
	return fmt.Sprintf("%s/%016x%016x", h.Self.Instance.Incarnation, h.rand.Uint64(), h.rand.Uint64())
}
