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

// The periods of Homes. Promises are asked each tick, so that a deputy notices a
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

// Homes holds the lease machines of all groups and acts on what they want. The zero
// value of each function field but those of Table, Peers and Groups is usable.
type Homes struct {
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

	// Open is called when this node becomes home of a group, Close when it no longer
	// is; both in order and without a lock held. Grants stay subject to Authority.
	Open  func(g fleet.GroupID, epoch uint64)
	Close func(g fleet.GroupID)
	// Report hands over what a node holds of a group that was opened; Complete says
	// that every node has answered or is proven dead.
	Report   func(g fleet.GroupID, epoch uint64, r limit.HeldReport)
	Complete func(g fleet.GroupID, epoch uint64)
	MaxCall  func() time.Duration // bound of the search for held permits
	// Spread is called with each record by which this node becomes home, and with
	// those that the table does not hold yet.
	Spread func(lease.Record)
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
	dead     map[lease.Holder]bool
	live     []member.Node // of this region, as of the last round
	reg      lease.Registration
	regFresh bool
	opened   map[fleet.GroupID]uint64
	asked    map[lease.Holder]time.Duration // Time.Slow of a home's last promise ask
	asking   map[lease.Holder]bool          // promise asks under way
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

func (h *Homes) init() {
	h.once.Do(func() {
		h.done = make(chan struct{})
		h.wake = make(chan struct{}, 1)
		h.rand = rand.New(rand.NewPCG(h.Seed, 1))
		h.machines = map[fleet.GroupID]*lease.Machine{}
		h.dead = map[lease.Holder]bool{}
		h.opened = map[fleet.GroupID]uint64{}
		h.asked = map[lease.Holder]time.Duration{}
		h.asking = map[lease.Holder]bool{}
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
		for _, x := range h.Members.hear(func(x lease.Holder, _ member.Proof) { h.Died(x) }) {
			h.dead[x] = true // proven before this part was there to hear it
		}
	})
}

// Done is closed when Run has returned.
func (h *Homes) Done() <-chan struct{} {
	h.init()
	return h.done
}

// now reads the clock; mu is held.
func (h *Homes) now() lease.Time { return h.clock.Advance(h.Clock()) }

// machine returns the machine of g; mu is held.
func (h *Homes) machine(g fleet.GroupID) *lease.Machine {
	m := h.machines[g]
	if m == nil {
		m = &lease.Machine{Self: h.Self.Holder, Group: g, Terms: h.Terms,
			Dead: func(x lease.Holder) bool { return h.dead[x] }}
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
func (h *Homes) Authority(g fleet.GroupID) (epoch uint64, left time.Duration) {
	h.init()
	h.mu.Lock()
	defer h.mu.Unlock()
	m := h.machines[g]
	if m == nil || h.ended {
		return 0, 0
	}
	return m.Authority(h.now())
}

// HomeOf returns the record of g as known here; Epoch is 0 if none is known.
func (h *Homes) HomeOf(g fleet.GroupID) lease.Record {
	h.init()
	h.mu.Lock()
	defer h.mu.Unlock()
	m := h.machines[g]
	if m == nil {
		return lease.Record{}
	}
	return m.Record()
}

// Mine returns the groups that this node is home of, with the epoch, and for each
// whether the table holds the record.
func (h *Homes) Mine() map[fleet.GroupID]lease.Record {
	h.init()
	h.mu.Lock()
	defer h.mu.Unlock()
	l := map[fleet.GroupID]lease.Record{}
	for g, m := range h.machines {
		if m.Home() && !h.ended {
			l[g] = m.Record()
		}
	}
	return l
}

// Recorded reports whether the table holds the record of g that is in force here.
func (h *Homes) Recorded(g fleet.GroupID) bool {
	h.init()
	h.mu.Lock()
	defer h.mu.Unlock()
	m := h.machines[g]
	return m != nil && m.Recorded()
}

// Rows takes the rows under home/ that changed, up to a table sequence. The first
// call covers all rows, so that groups without one have none.
func (h *Homes) Rows(rows []store.Row, sequence uint64) {
	h.init()
	h.mu.Lock()
	defer h.unlock()
	h.seq = max(h.seq, sequence)
	named := h.rows(rows, (*lease.Machine).Observe)
	h.absent()
	h.calls = append(h.calls, func() { h.Members.Named(sequence, named...) })
}

// rows gives home rows to their machines by f and returns the holders named.
func (h *Homes) rows(rows []store.Row, f func(*lease.Machine, store.Row, lease.Record)) (named []lease.Holder) {
	for _, r := range rows {
		c, err := lease.DecodeRecord(r.Value)
		if r.Version == 0 || err != nil || lease.HomeKey(c.Group) != r.Key {
			continue
		}
		f(h.machine(c.Group), r, c)
		named = append(named, c.Home, c.Deputy)
	}
	return named
}

// absent notes that groups of which nothing is known have no row.
func (h *Homes) absent() {
	for g := range h.groups() {
		m := h.machine(g)
		if v, _ := m.Row(); v == 0 && m.Record().Epoch == 0 {
			m.Observe(store.Row{Key: lease.HomeKey(g)}, lease.Record{})
		}
	}
}

// Ready notes that the watch has read the whole table once.
func (h *Homes) Ready() {
	h.init()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ready = true
}

func (h *Homes) groups() map[fleet.GroupID]string {
	if h.Groups == nil {
		return nil
	}
	return h.Groups()
}

// Died takes a proof of death.
func (h *Homes) Died(x lease.Holder) {
	h.init()
	h.mu.Lock()
	h.dead[x] = true
	h.local()
	h.unlock()
	h.poke()
}

// Learn takes records that a digest brought.
func (h *Homes) Learn(l []lease.Record) {
	h.init()
	h.mu.Lock()
	defer h.unlock()
	for _, r := range l {
		h.machine(r.Group).Learn(r)
	}
}

// OnPromiseAsk answers a home that asks this node, its deputy, for promises.
func (h *Homes) OnPromiseAsk(a lease.PromiseAsk) lease.Promise {
	h.init()
	// A deputy that was itself away, and has not read the table since, must not promise
	// for long to a home that reaches it: it could then not take over for a minute.
	down := a.Outage && h.Health.Down() > outageAfter
	h.mu.Lock()
	defer h.unlock()
	now := h.now()
	h.asked[a.Home] = now.Slow
	p := lease.Promise{Deputy: h.Self.Holder}
	for i, g := range a.Groups {
		if h.ended || i >= len(a.Epochs) {
			break
		}
		if d, ok := h.machine(g).GivePromise(now, a.Home, a.Epochs[i], down); ok {
			p.Groups = append(p.Groups, g)
			p.Term = d
		}
	}
	return p
}

// OnHandover takes a handover; the error says why this node does not consent.
func (h *Homes) OnHandover(x lease.Handover) error {
	h.init()
	h.mu.Lock()
	g := x.Record.Group
	registered := h.reg.Version > 0 && !h.stopping && !h.ended
	err := h.machine(g).Accept(x, registered)
	mine := x.Record.Home == h.Self.Holder && x.Record.Token != ""
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
func (h *Homes) local() {
	now := h.now()
	for _, m := range h.order {
		m.Tick(now)
		if h.stopping || h.ended || !m.Seize(now, h.token()) {
			continue
		}
		h.poked[m.Group] = true
	}
}

func (h *Homes) spread(r lease.Record) {
	if h.Spread != nil {
		h.calls = append(h.calls, func() { h.Spread(r) })
	}
}

func (h *Homes) token() string {
	return fmt.Sprintf("%s/%016x%016x", h.Self.Holder.Incarnation, h.rand.Uint64(), h.rand.Uint64())
}
