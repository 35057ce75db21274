package control

import (
	"context"
	"sync"
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/core/lease"
	"bergamotspring/core/limit"
	"bergamotspring/core/member"
	"bergamotspring/io/wait"
)

// peerLoop asks for promises and names deputies each tick.
func (h *Leases) peerLoop(ctx context.Context, w *sync.WaitGroup) {
	t := time.NewTicker(tick)
	defer t.Stop()
	for ctx.Err() == nil {
		h.refresh()
		h.mu.Lock()
		h.local()
		h.unlock()
		h.promises(ctx, w)
		h.names(ctx, w)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
}

// promises asks each deputy for its groups, one ask under way at a time.
func (h *Leases) promises(ctx context.Context, w *sync.WaitGroup) {
	h.mu.Lock()
	defer h.mu.Unlock()
	asks := map[lease.Instance]*lease.PromiseRequest{}
	for _, m := range h.order {
		if !m.IsHolder() || h.ended {
			continue
		}
		for _, d := range m.Standbys() {
			h.addRequest(asks, d, m)
		}
	}
	for _, n := range h.live {
		a := asks[n.Instance]
		if a == nil || h.asking[n.Instance] {
			continue
		}
		h.asking[n.Instance] = true
		w.Go(func() { h.ask(ctx, n, *a) })
	}
}

func (h *Leases) addRequest(asks map[lease.Instance]*lease.PromiseRequest, d lease.Instance, m *lease.Machine) {
	a := asks[d]
	if a == nil {
		a = &lease.PromiseRequest{Holder: h.Self.Instance, Outage: h.Health.Down() > outageAfter}
		asks[d] = a
	}
	a.Groups = append(a.Groups, m.Group)
	a.Epochs = append(a.Epochs, m.Record().Epoch)
}

// ask sends one promise ask and reports whether the deputy answered.
func (h *Leases) ask(ctx context.Context, n member.Node, a lease.PromiseRequest) bool {
	c, cancel := context.WithTimeout(ctx, PeerTimeout)
	defer cancel()
	h.mu.Lock()
	sent := h.now()
	h.mu.Unlock()
	p, err := h.Peers.Promise(c, n, a)
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.asking, n.Instance)
	if err != nil || p.Standby != n.Instance {
		return false // an answer of another incarnation is no promise of the deputy
	}
	for _, g := range p.Groups {
		h.machine(g).ObservePromise(n.Instance, sent, p.Term)
	}
	return true
}

// names gives groups whose deputy is gone a new one by peer message while the table
// is down, and repeats the message until it is acknowledged.
func (h *Leases) names(ctx context.Context, w *sync.WaitGroup) {
	if h.Health.Down() < time.Second {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.candidates()
	for _, m := range h.order {
		if h.stopping || h.ended || !m.IsHolder() {
			continue
		}
		if x, ok := h.naming[m.Group]; ok {
			w.Go(func() { h.name(ctx, x) })
			continue
		}
		d := lease.PickStandby(m.Group, h.Self.Instance, l)
		if m.Next(h.now()) != lease.ActionAppointStandby || d == (lease.Instance{}) {
			continue
		}
		a := lease.PromiseRequest{Holder: h.Self.Instance, Outage: h.Health.Down() > outageAfter, Groups: []fleet.GroupID{m.Group}, Epochs: []uint64{m.Record().Epoch}}
		w.Go(func() { h.choose(ctx, m, d, a) })
	}
}

// choose makes d the deputy, after it has promised: from then on authority depends
// on its promises.
func (h *Leases) choose(ctx context.Context, m *lease.Machine, d lease.Instance, a lease.PromiseRequest) {
	n, _ := h.Members.Get(d.Node)
	if n.Instance != d || !h.ask(ctx, n, a) {
		return
	}
	h.mu.Lock()
	defer h.unlock()
	x, ok := m.AppointStandby(h.now(), d, h.token())
	if !ok {
		return
	}
	h.naming[m.Group] = x
	h.spread(x.Record)
}

// name sends a naming once.
func (h *Leases) name(ctx context.Context, x lease.Handover) {
	n, _ := h.Members.Get(x.Record.Standby.Node)
	if n.Instance != x.Record.Standby {
		return
	}
	c, cancel := context.WithTimeout(ctx, PeerTimeout)
	defer cancel()
	if h.Peers.Handover(c, n, x) != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.naming[x.Record.Group] == x {
		delete(h.naming, x.Record.Group)
	}
}

// search asks every known node which permits of a group it holds, until all have
// answered or are dead, or the longest call would have ended.
func (h *Leases) search(g fleet.GroupID, epoch uint64) {
	if h.Peers.Held == nil || h.OnHeldReport == nil {
		return
	}
	d := defaultMaxAsk
	if h.MaxCall != nil {
		d = h.MaxCall()
	}
	ctx, cancel := context.WithTimeout(h.context(), d)
	h.held.Go(func() {
		defer cancel()
		h.collect(ctx, g, epoch)
	})
}

func (h *Leases) collect(ctx context.Context, g fleet.GroupID, epoch uint64) {
	left := h.Members.Live("")
	for len(left) > 0 {
		left = h.round(ctx, left, g, epoch)
		if ctx.Err() != nil || !h.still(g, epoch) {
			return
		}
		if len(left) > 0 && !wait.Sleep(ctx, heldRetry) {
			return
		}
	}
	if h.OnAllReported != nil {
		h.OnAllReported(g, epoch)
	}
}

// round asks the nodes once, this one too, and returns those without an answer.
func (h *Leases) round(ctx context.Context, l []member.Node, g fleet.GroupID, epoch uint64) (left []member.Node) {
	var w sync.WaitGroup
	var mu sync.Mutex
	slots := make(chan struct{}, asksAtOnce)
	for _, n := range l {
		slots <- struct{}{}
		w.Go(func() {
			defer func() { <-slots }()
			c, cancel := context.WithTimeout(ctx, PeerTimeout)
			defer cancel()
			r, err := h.Peers.Held(c, n, g)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				h.report(g, epoch, r)
			} else if !h.Members.Dead(n.Instance) {
				left = append(left, n)
			}
		})
	}
	w.Wait()
	return left
}

func (h *Leases) report(g fleet.GroupID, epoch uint64, r limit.HeldReport) {
	if h.still(g, epoch) {
		h.OnHeldReport(g, epoch, r)
	}
}

// still reports whether this node is home of g under epoch.
func (h *Leases) still(g fleet.GroupID, epoch uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.opened[g] == epoch
}

// context returns the context of Run, or one that has ended outside of it.
func (h *Leases) context() context.Context {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.running == nil {
		c, cancel := context.WithCancel(context.Background())
		cancel()
		return c
	}
	return h.running
}
