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

// The periods of Leases. Promises are asked each tick, so that a deputy notices a
// silent home after 300 ms and begins to watch its lease row; while promises flow no
// lease row is read at all.
const (
	tick          = 250 * time.Millisecond
	silentAfter   = 300 * time.Millisecond
	TableTimeout  = time.Second            // bounds a call to the table
	PeerTimeout   = 400 * time.Millisecond // bounds a call to another node
	rebalance     = 2 * time.Second        // between planned moves of one home
	settle        = 2 * time.Second        // after the start, so that nodes that start together know each other
	rankDelay     = 3 * time.Second        // the next candidate for a free group waits this much longer
	outageAfter   = 3 * time.Second        // without the table, promises get the long term
	takesPerTick  = 8                      // transactions under way at once
	asksAtOnce    = 32                     // peer calls under way at once for one question
	heldRetry     = 500 * time.Millisecond
	defaultMaxAsk = 10 * time.Second // for held reports, if MaxCall is nil
)

// Leases holds the lease machines of all groups and acts on what they want. The zero
// value of each function field but those of Table, Peers and Groups is usable.
type Leases struct {
	Self    member.Node
	Table   store.Table
	Peers   Peers
	Members *Members
	Health  *Health
	// Groups returns every group with its region; this node may be home only of
	// groups of its own region.
	Groups func() map[fleet.GroupID]string
	Clock  func() lease.Reading
	Seed   uint64
	Terms  lease.Terms

	// OnGained is called when this node becomes home of a group, OnLost when it no longer
	// is; both in order and without a lock held. Grants stay subject to Authority.
	OnGained func(g fleet.GroupID, epoch uint64)
	OnLost   func(g fleet.GroupID)
	// OnHeldReport hands over what a node holds of a group that was opened; OnAllReported says
	// that every node has answered or is proven dead.
	OnHeldReport  func(g fleet.GroupID, epoch uint64, r limit.HeldReport)
	OnAllReported func(g fleet.GroupID, epoch uint64)
	MaxCall       func() time.Duration // bound of the search for held permits
	// OnRecord is called with each record by which this node becomes home, and with
	// those that the table does not hold yet.
	OnRecord func(lease.Record)
	// Superseded is called when another incarnation has taken this node's row.
	Superseded func()
	Record     func(record.Event)

	once sync.Once
	done chan struct{}
	wake chan struct{}

	mu       sync.Mutex
	running  context.Context // of Run; ends searches for held permits
	clock    lease.Clock
	rand     *rand.Rand
	machines map[fleet.GroupID]*lease.Machine
	order    []*lease.Machine // by group, so that a seed gives the same session
	dead     map[lease.Instance]bool
	live     []member.Node // of this region, as of the last round
	reg      lease.Registration
	regFresh bool
	opened   map[fleet.GroupID]uint64
	asked    map[lease.Instance]time.Duration // Time.Slow of a home's last promise ask
	asking   map[lease.Instance]bool          // promise asks under way
	naming   map[fleet.GroupID]lease.Handover
	wanted   map[fleet.GroupID]time.Duration // Time.Slow since which a group could be taken
	poked    map[fleet.GroupID]bool          // rows to read at the next tick
	seq      uint64
	ready    bool // the table has been read once
	started  time.Duration
	renewed  time.Duration // Time.Fast when the last renewal was sent
	moved    time.Duration
	stopping bool
	ended    bool // superseded or left
	calls    []func()
	flushing sync.Mutex
	held     sync.WaitGroup
}

func (h *Leases) init() {
	h.once.Do(func() {
		h.done = make(chan struct{})
		h.wake = make(chan struct{}, 1)
		h.rand = rand.New(rand.NewPCG(h.Seed, 1))
		h.machines = map[fleet.GroupID]*lease.Machine{}
		h.dead = map[lease.Instance]bool{}
		h.opened = map[fleet.GroupID]uint64{}
		h.asked = map[lease.Instance]time.Duration{}
		h.asking = map[lease.Instance]bool{}
		h.naming = map[fleet.GroupID]lease.Handover{}
		h.wanted = map[fleet.GroupID]time.Duration{}
		h.poked = map[fleet.GroupID]bool{}
		if h.Clock == nil {
			h.Clock = SystemClock()
		}
		if h.Health == nil {
			h.Health = &Health{}
		}
		if h.Members == nil {
			h.Members = &Members{}
		}
		for _, x := range h.Members.hear(func(x lease.Instance, _ member.Proof) { h.OnDeath(x) }) {
			h.dead[x] = true // proven before this part was there to hear it
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
		h.order = append(h.order, m)
		slices.SortFunc(h.order, func(a, b *lease.Machine) int {
			return cmp.Compare(a.Group.String(), b.Group.String())
		})
	}
	return m
}

// Authority returns the epoch under which this node may grant permits of g and how
// much longer, 0 if it may not.
func (h *Leases) Authority(g fleet.GroupID) (epoch uint64, left time.Duration) {
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

// Held returns the groups that this node is home of, with the epoch, and for each
// whether the table holds the record.
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

// Recorded reports whether the table holds the record of g that is in force here.
func (h *Leases) Recorded(g fleet.GroupID) bool {
	h.init()
	h.mu.Lock()
	defer h.mu.Unlock()
	m := h.machines[g]
	return m != nil && m.Recorded()
}

// Apply takes the rows under home/ that changed, up to a table sequence. The first
// call covers all rows, so that groups without one have none.
func (h *Leases) Apply(rows []store.Row, sequence uint64) {
	h.init()
	h.mu.Lock()
	defer h.unlock()
	h.seq = max(h.seq, sequence)
	named := h.rows(rows, (*lease.Machine).Observe)
	h.absent()
	h.calls = append(h.calls, func() { h.Members.ObserveHolder(sequence, named...) })
}

// rows gives home rows to their machines by f and returns the holders named.
func (h *Leases) rows(rows []store.Row, f func(*lease.Machine, store.Row, lease.Record)) (named []lease.Instance) {
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

// absent notes that groups of which nothing is known have no row.
func (h *Leases) absent() {
	for g := range h.groups() {
		m := h.machine(g)
		if v, _ := m.Row(); v == 0 && m.Record().Epoch == 0 {
			m.Observe(store.Row{Key: lease.HomeKey(g)}, lease.Record{})
		}
	}
}

// Ready notes that the watch has read the whole table once.
func (h *Leases) Ready() {
	h.init()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ready = true
}

func (h *Leases) groups() map[fleet.GroupID]string {
	if h.Groups == nil {
		return nil
	}
	return h.Groups()
}

// OnDeath takes a proof of death.
func (h *Leases) OnDeath(x lease.Instance) {
	h.init()
	h.mu.Lock()
	h.dead[x] = true
	h.local()
	h.unlock()
	h.poke()
}

// Merge takes records that a digest brought.
func (h *Leases) Merge(l []lease.Record) {
	h.init()
	h.mu.Lock()
	defer h.unlock()
	for _, r := range l {
		h.machine(r.Group).Merge(r)
	}
}

// OnPromiseRequest answers a home that asks this node, its deputy, for promises.
func (h *Leases) OnPromiseRequest(a lease.PromiseRequest) lease.Promise {
	h.init()
	// A deputy that was itself away, and has not read the table since, must not promise
	// for long to a home that reaches it: it could then not take over for a minute.
	down := a.Outage && h.Health.Down() > outageAfter
	h.mu.Lock()
	defer h.unlock()
	now := h.now()
	h.asked[a.Holder] = now.Slow
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

// OnHandover takes a handover; the error says why this node does not consent.
func (h *Leases) OnHandover(x lease.Handover) error {
	h.init()
	h.mu.Lock()
	g := x.Record.Group
	registered := h.reg.Version > 0 && !h.stopping && !h.ended
	err := h.machine(g).Accept(x, registered)
	mine := x.Record.Holder == h.Self.Instance && x.Record.Token != ""
	if mine {
		h.poked[g] = true
	}
	h.unlock()
	if mine {
		h.poke() // questions of others must not make this node ask in turn
	}
	return err
}

// local does what needs no table: notes deaths, seizes groups of dead homes. mu is held.
func (h *Leases) local() {
	now := h.now()
	for _, m := range h.order {
		m.Tick(now)
		if h.stopping || h.ended || !m.TakeOver(now, h.token()) {
			continue
		}
		h.poked[m.Group] = true
	}
}

func (h *Leases) spread(r lease.Record) {
	if h.OnRecord != nil {
		h.calls = append(h.calls, func() { h.OnRecord(r) })
	}
}

func (h *Leases) token() string {
	return fmt.Sprintf("%s/%016x%016x", h.Self.Instance.Incarnation, h.rand.Uint64(), h.rand.Uint64())
}
