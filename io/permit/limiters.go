package permit

// This file runs the limiters of the groups whose lease holder is this node.

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
	tickInterval = 25 * time.Millisecond
	// loadInterval and loadTimeout add up to a second, within which a limiter observes
	// that a warm server turned cold, even if another server's poll times out.
	loadInterval = 500 * time.Millisecond
	loadTimeout  = 500 * time.Millisecond
	// unreportedNodes is a placeholder in place of a node name: the limiter of a new lease
	// holder waits for the report of this one node, and OnAllReported ends that wait once
	// all nodes have reported or are dead.
	unreportedNodes = "held reports"
)

// Limiters holds the limiters of the groups whose lease holder is this node. All
// function fields but Load must be set. Its lock has the level "leases" in the lock order
// given at limit.Limiter.
type Limiters struct {
	Authority func(fleet.GroupID) (epoch uint64, remaining time.Duration)
	VM        func(name string) member.VMState
	Deliver   func([]limit.Decision)
	Suspects  *suspect.Set
	// OnSuspects receives updates on requests that may crash servers.
	OnSuspects func([]member.SuspectUpdate)
	// Load queries a server for its load, nil: loads are not polled.
	Load func(ctx context.Context, address string) (backend.LoadReport, error)

	once sync.Once
	done chan struct{}

	configureMu sync.Mutex // taken before mu

	mu       sync.Mutex
	view     *fleet.View
	leaving  []string
	limiters map[fleet.GroupID]*limit.Limiter
	running  map[string]order.State // as last reported by the servers
}

func (g *Limiters) init() {
	g.once.Do(func() {
		g.done = make(chan struct{})
		g.limiters = map[fleet.GroupID]*limit.Limiter{}
	})
}

// Done is closed when Run has returned.
func (g *Limiters) Done() <-chan struct{} {
	g.init()
	return g.done
}

// OnGained starts the limiter of a group. It grants no permits until OnAllReported, or until
// the calls of earlier lease holders must have ended.
func (g *Limiters) OnGained(id fleet.GroupID, epoch uint64) {
	g.init()
	h := &limit.Limiter{
		Now: time.Now, Authority: func() (uint64, time.Duration) { return g.Authority(id) },
		Prefixes: limit.Prefixes{
			State: g.Suspects.CheckPrefix, OnCrash: g.Suspects.ObservePrefixCrash, OnSuccess: g.Suspects.ObservePrefixSuccess,
		},
	}
	g.mu.Lock()
	g.limiters[id] = h
	v, l := g.view, g.leaving
	g.mu.Unlock()
	if v != nil {
		g.Deliver(h.Configure(v, id, l))
	}
	g.Deliver(h.Begin(epoch, []string{unreportedNodes}))
}

// OnLost removes the limiter of a group; waiting requests are refused.
func (g *Limiters) OnLost(id fleet.GroupID) {
	g.init()
	g.mu.Lock()
	h := g.limiters[id]
	delete(g.limiters, id)
	if g.view != nil && g.view.Groups[id] != nil {
		for _, s := range g.view.Groups[id].Servers {
			delete(g.running, s.Name) // from now on another lease holder may send orders
		}
	}
	g.mu.Unlock()
	if h == nil {
		return
	}
	g.Deliver(h.Tick()) // without authority it refuses the waiting requests
}

// OnHeldReport adopts the permits that a node holds of a group.
func (g *Limiters) OnHeldReport(id fleet.GroupID, _ uint64, r limit.HeldReport) {
	if h := g.limiter(id); h != nil {
		g.Deliver(h.Adopt(r))
	}
}

// OnAllReported lets the limiter of a group grant permits: all nodes have reported or are
// dead.
func (g *Limiters) OnAllReported(id fleet.GroupID, _ uint64) {
	if h := g.limiter(id); h != nil {
		g.Deliver(h.StopAwaiting(unreportedNodes))
	}
}

func (g *Limiters) limiter(id fleet.GroupID) *limit.Limiter {
	g.init()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limiters[id]
}

// Local returns the limiter of a group, for Broker.
func (g *Limiters) Local(id fleet.GroupID) (LocalLimiter, bool) {
	h := g.limiter(id)
	if h == nil {
		return LocalLimiter{}, false
	}
	return LocalLimiter{
		Submit:  h.Submit,
		Summary: h.Summary, Withdraw: h.Withdraw,
		Release: func(r limit.Release) []limit.Decision {
			d, e := h.Release(r)
			g.observe(e)
			return d
		},
	}, true
}

// observe records the evidence of a release on requests that crash servers, and passes
// it on to OnSuspects.
func (g *Limiters) observe(e limit.Evidence) {
	n := len(e.Crashed) // entries that may change
	if n > 0 {
		g.Suspects.ObserveCrash(e.Crashed, e.Exclusive)
	}
	if e.Cleared != 0 {
		g.Suspects.ObserveSuccess(e.Cleared)
		n++
	}
	if e.Prefix != 0 || e.Served != 0 {
		n++ // the limiter has recorded it
	}
	if n > 0 && g.OnSuspects != nil {
		g.OnSuspects(g.Suspects.Updates(n))
	}
}

// Install puts a view into force at all limiters.
func (g *Limiters) Install(v *fleet.View) {
	g.init()
	g.mu.Lock()
	g.view = v
	g.mu.Unlock()
	g.configure()
}

// configure applies the newest view and list of leaving servers to all limiters, one run
// at a time, so that an older list is never applied last.
func (g *Limiters) configure() {
	g.configureMu.Lock()
	defer g.configureMu.Unlock()
	g.mu.Lock()
	v, l := g.view, g.leaving
	limiters := make(map[fleet.GroupID]*limit.Limiter, len(g.limiters))
	for id, h := range g.limiters {
		limiters[id] = h
	}
	g.mu.Unlock()
	if v == nil {
		return
	}
	for id, h := range limiters {
		g.Deliver(h.Configure(v, id, l))
	}
}

// Status returns the state of each limiter.
func (g *Limiters) Status() []limit.Status {
	var l []limit.Status
	for _, h := range g.all() {
		l = append(l, h.Status())
	}
	return l
}

func (g *Limiters) all() []*limit.Limiter {
	g.init()
	g.mu.Lock()
	defer g.mu.Unlock()
	l := make([]*limit.Limiter, 0, len(g.limiters))
	for _, h := range g.limiters {
		l = append(l, h)
	}
	return l
}

// Run ticks the limiters, follows the VM list and polls loads until ctx ends.
func (g *Limiters) Run(ctx context.Context) error {
	g.init()
	defer close(g.done)
	var w sync.WaitGroup
	w.Go(func() { g.pollLoads(ctx) })
	for wait.Sleep(ctx, tickInterval) {
		g.updateLeaving()
		for _, h := range g.all() {
			g.Deliver(h.Tick())
		}
	}
	w.Wait()
	return nil
}

// updateLeaving reconfigures the limiters when the set of leaving servers changed.
func (g *Limiters) updateLeaving() {
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

// pollLoads queries the servers of the limiters for their loads. Only lease holders do
// so: a server gets two queries a second, whatever the number of nodes.
func (g *Limiters) pollLoads(ctx context.Context) {
	for g.Load != nil && wait.Sleep(ctx, loadInterval) {
		var w sync.WaitGroup
		for group, h := range g.reporting() {
			for _, s := range group.Servers {
				w.Go(func() { g.pollLoad(ctx, h, s) })
			}
		}
		w.Wait()
	}
}

// reporting returns the groups with a limiter here whose servers report load.
func (g *Limiters) reporting() map[*fleet.Group]*limit.Limiter {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := map[*fleet.Group]*limit.Limiter{}
	if g.view == nil {
		return m
	}
	for id, h := range g.limiters {
		if x := g.view.Groups[id]; x != nil && x.Pool.ReportsLoad {
			m[x] = h
		}
	}
	return m
}

func (g *Limiters) pollLoad(ctx context.Context, h *limit.Limiter, s *fleet.BackendServer) {
	c, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	t := time.Now()
	r, err := g.Load(c, s.Address)
	if err != nil {
		return // calls to a server that is down report it
	}
	h.OnLoadReport(limit.LoadReport{Server: s.Name, Running: r.Inflight, Age: time.Since(t), Cold: r.Cold})
	x := r.Running
	g.mu.Lock()
	defer g.mu.Unlock()
	put(&g.running, s.Name, order.State{Model: x.Model, Adapter: x.Adapter, Version: x.Version, Role: x.Role})
}

// Running returns the state that a server last reported.
func (g *Limiters) Running(server string) (order.State, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	x, ok := g.running[server]
	return x, ok
}
