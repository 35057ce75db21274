package permit

// This file runs the permit tables of the groups whose home is this node.

import (
	"context"
	"slices"
	"sync"
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/core/limit"
	"bergamotspring/core/member"
	"bergamotspring/core/order"
	"bergamotspring/core/suspect"
	"bergamotspring/io/backend"
	"bergamotspring/io/wait"
)

const (
	grantTick = 25 * time.Millisecond
	// loadPeriod lets a home learn within a second that a warm server turned cold,
	// even where another server lets its poll wait for loadTimeout.
	loadPeriod  = 500 * time.Millisecond
	loadTimeout = 500 * time.Millisecond
	// search stands for the nodes that have not told a new home what they hold.
	search = "held reports"
)

// Grants holds the permit tables of the groups whose home is this node. All
// function fields but Load must be set. Its lock is of the level "homes".
type Grants struct {
	Authority func(fleet.GroupID) (epoch uint64, left time.Duration)
	VM        func(name string) member.VMState
	Deliver   func([]limit.Decision)
	Suspects  *suspect.Set
	// Spread passes on what crashes told of requests.
	Spread func([]member.SuspectUpdate)
	// Load asks a server for its load, nil: not asked.
	Load func(ctx context.Context, address string) (backend.LoadReport, error)

	once sync.Once
	done chan struct{}

	configuring sync.Mutex // taken before mu

	mu      sync.Mutex
	view    *fleet.View
	leaving []string
	homes   map[fleet.GroupID]*limit.Home
	running map[string]order.State // as servers last reported
}

func (g *Grants) init() {
	g.once.Do(func() {
		g.done = make(chan struct{})
		g.homes = map[fleet.GroupID]*limit.Home{}
	})
}

// Done is closed when Run has returned.
func (g *Grants) Done() <-chan struct{} {
	g.init()
	return g.done
}

// Open makes a permit table for a group. Its servers stay closed until Complete.
func (g *Grants) Open(id fleet.GroupID, epoch uint64) {
	g.init()
	h := &limit.Home{Now: time.Now, Authority: func() (uint64, time.Duration) { return g.Authority(id) }}
	g.mu.Lock()
	g.homes[id] = h
	v, l := g.view, g.leaving
	g.mu.Unlock()
	if v != nil {
		g.Deliver(h.Configure(v, id, l))
	}
	g.Deliver(h.Begin(epoch, []string{search}))
}

// Close drops the permit table of a group; waiting asks are refused.
func (g *Grants) Close(id fleet.GroupID) {
	g.init()
	g.mu.Lock()
	h := g.homes[id]
	delete(g.homes, id)
	if g.view != nil && g.view.Groups[id] != nil {
		for _, s := range g.view.Groups[id].Servers {
			delete(g.running, s.Name) // another home may order from now on
		}
	}
	g.mu.Unlock()
	if h == nil {
		return
	}
	g.Deliver(h.Tick()) // without authority it refuses what waits
}

// Report takes over what a node holds of a group.
func (g *Grants) Report(id fleet.GroupID, _ uint64, r limit.HeldReport) {
	if h := g.home(id); h != nil {
		g.Deliver(h.Adopt(r))
	}
}

// Complete opens the servers of a group: all nodes have reported or are dead.
func (g *Grants) Complete(id fleet.GroupID, _ uint64) {
	if h := g.home(id); h != nil {
		g.Deliver(h.Gone(search))
	}
}

func (g *Grants) home(id fleet.GroupID) *limit.Home {
	g.init()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.homes[id]
}

// Local returns the permit table of a group, for Permits.
func (g *Grants) Local(id fleet.GroupID) (LocalHome, bool) {
	h := g.home(id)
	if h == nil {
		return LocalHome{}, false
	}
	return LocalHome{
		Ask:     h.Ask,
		Summary: h.Summary, Withdraw: h.Withdraw,
		Release: func(r limit.Release) []limit.Decision {
			d, e := h.Release(r)
			g.learn(e)
			return d
		},
	}, true
}

// learn notes and spreads what a release told of requests that crash servers.
func (g *Grants) learn(e limit.Evidence) {
	if len(e.Crashed) == 0 && e.Cleared == 0 {
		return
	}
	if len(e.Crashed) > 0 {
		g.Suspects.ObserveCrash(e.Crashed, e.Alone)
	}
	if e.Cleared != 0 {
		g.Suspects.ObserveSuccess(e.Cleared)
	}
	if g.Spread != nil {
		g.Spread(g.Suspects.Updates(max(1, len(e.Crashed))))
	}
}

// Install puts a view in force at all permit tables.
func (g *Grants) Install(v *fleet.View) {
	g.init()
	g.mu.Lock()
	g.view = v
	g.mu.Unlock()
	g.configure()
}

// configure hands the newest view and list to every table, one run at a time, so
// that an older list is never applied last.
func (g *Grants) configure() {
	g.configuring.Lock()
	defer g.configuring.Unlock()
	g.mu.Lock()
	v, l := g.view, g.leaving
	homes := make(map[fleet.GroupID]*limit.Home, len(g.homes))
	for id, h := range g.homes {
		homes[id] = h
	}
	g.mu.Unlock()
	if v == nil {
		return
	}
	for id, h := range homes {
		g.Deliver(h.Configure(v, id, l))
	}
}

// Status returns the state of each permit table.
func (g *Grants) Status() []limit.Status {
	var l []limit.Status
	for _, h := range g.all() {
		l = append(l, h.Status())
	}
	return l
}

func (g *Grants) all() []*limit.Home {
	g.init()
	g.mu.Lock()
	defer g.mu.Unlock()
	l := make([]*limit.Home, 0, len(g.homes))
	for _, h := range g.homes {
		l = append(l, h)
	}
	return l
}

// Run ticks the permit tables, follows the VM list and polls loads until ctx ends.
func (g *Grants) Run(ctx context.Context) error {
	g.init()
	defer close(g.done)
	var w sync.WaitGroup
	w.Go(func() { g.poll(ctx) })
	for wait.Sleep(ctx, grantTick) {
		g.follow()
		for _, h := range g.all() {
			g.Deliver(h.Tick())
		}
	}
	w.Wait()
	return nil
}

// follow configures the tables again when the set of leaving servers changed.
func (g *Grants) follow() {
	g.mu.Lock()
	v, old := g.view, g.leaving
	g.mu.Unlock()
	if v == nil || g.VM == nil {
		return
	}
	var l []string
	for _, s := range v.Declaration.Servers {
		if x := g.VM(s.VM); x == member.VMLeaving || x == member.VMGone {
			l = append(l, s.Name)
		}
	}
	if slices.Equal(l, old) {
		return
	}
	g.mu.Lock()
	g.leaving = l
	g.mu.Unlock()
	g.configure()
}

// poll asks the servers of the tables for their loads. Only homes ask, so that a
// server is asked twice a second whatever the number of nodes.
func (g *Grants) poll(ctx context.Context) {
	for g.Load != nil && wait.Sleep(ctx, loadPeriod) {
		var w sync.WaitGroup
		for id, h := range g.reporting() {
			for _, s := range id.Servers {
				w.Go(func() { g.load(ctx, h, s) })
			}
		}
		w.Wait()
	}
}

// reporting returns the groups of this node whose servers report load.
func (g *Grants) reporting() map[*fleet.Group]*limit.Home {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := map[*fleet.Group]*limit.Home{}
	if g.view == nil {
		return m
	}
	for id, h := range g.homes {
		if x := g.view.Groups[id]; x != nil && x.Pool.ReportsLoad {
			m[x] = h
		}
	}
	return m
}

func (g *Grants) load(ctx context.Context, h *limit.Home, s *fleet.BackendServer) {
	c, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	t := time.Now()
	r, err := g.Load(c, s.Address)
	if err != nil {
		return // a server that is down shows in its answers
	}
	h.Load(limit.Load{Server: s.Name, Running: r.Inflight, Age: time.Since(t), Cold: r.Cold})
	x := r.Running
	g.mu.Lock()
	defer g.mu.Unlock()
	put(&g.running, s.Name, order.State{Model: x.Model, Adapter: x.Adapter, Version: x.Version, Role: x.Role})
}

// Running returns what a server last reported that it runs.
func (g *Grants) Running(server string) (order.State, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	x, ok := g.running[server]
	return x, ok
}
