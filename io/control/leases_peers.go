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

// peerLoop requests promises and appoints standbys each tick.
func (h *Leases) peerLoop(ctx context.Context, w *sync.WaitGroup) {
	t := time.NewTicker(tickPeriod)
	defer t.Stop()
	for ctx.Err() == nil {
		h.refreshLive()
		h.mu.Lock()
		h.tickMachines()
		h.unlock()
		h.requestPromises(ctx, w)
		h.appointStandbys(ctx, w)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
}

// requestPromises requests promises from each standby, for all its groups in one request
// and with one request in flight at a time.
func (h *Leases) requestPromises(ctx context.Context, w *sync.WaitGroup) {
	h.mu.Lock()
	defer h.mu.Unlock()
	requests := map[lease.Instance]*lease.PromiseRequest{}
	for _, m := range h.sorted {
		if !m.IsHolder() || h.ended {
			continue
		}
		for _, d := range m.Standbys() {
			h.addRequest(requests, d, m)
		}
	}
	for _, n := range h.live {
		a := requests[n.Instance]
		if a == nil || h.requesting[n.Instance] {
			continue
		}
		h.requesting[n.Instance] = true
		w.Go(func() { h.requestPromise(ctx, n, *a) })
	}
}

func (h *Leases) addRequest(requests map[lease.Instance]*lease.PromiseRequest, d lease.Instance, m *lease.Machine) {
	a := requests[d]
	if a == nil {
		a = &lease.PromiseRequest{Holder: h.Self.Instance, Outage: h.Health.Down() > outageAfter}
		requests[d] = a
	}
	a.Groups = append(a.Groups, m.Group)
	a.Epochs = append(a.Epochs, m.Record().Epoch)
}

// requestPromise sends one promise request and reports whether the standby responded.
func (h *Leases) requestPromise(ctx context.Context, n member.Node, a lease.PromiseRequest) bool {
	c, cancel := context.WithTimeout(ctx, PeerTimeout)
	defer cancel()
	h.mu.Lock()
	sent := h.now()
	h.mu.Unlock()
	p, err := h.Peers.Promise(c, n, a)
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.requesting, n.Instance)
	if err != nil || p.Standby != n.Instance {
		return false // a response of another incarnation is no promise of the standby
	}
	for _, g := range p.Groups {
		h.machine(g).ObservePromise(n.Instance, sent, p.Term)
	}
	return true
}

// appointStandbys appoints a new standby by peer message for groups whose standby is dead
// while the table is down, and sends the message until it is acknowledged.
func (h *Leases) appointStandbys(ctx context.Context, w *sync.WaitGroup) {
	if h.Health.Down() < time.Second {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.candidates()
	for _, m := range h.sorted {
		if h.stopping || h.ended || !m.IsHolder() {
			continue
		}
		if x, ok := h.appointments[m.Group]; ok {
			w.Go(func() { h.sendAppointment(ctx, x) })
			continue
		}
		d := lease.PickStandby(m.Group, h.Self.Instance, l)
		if m.Next(h.now()) != lease.ActionAppointStandby || d == (lease.Instance{}) {
			continue
		}
		a := lease.PromiseRequest{Holder: h.Self.Instance, Outage: h.Health.Down() > outageAfter, Groups: []fleet.GroupID{m.Group}, Epochs: []uint64{m.Record().Epoch}}
		w.Go(func() { h.appointStandby(ctx, m, d, a) })
	}
}

// appointStandby makes d the standby if it responds to a promise request: from then on
// authority depends on its promises.
func (h *Leases) appointStandby(ctx context.Context, m *lease.Machine, d lease.Instance, a lease.PromiseRequest) {
	n, _ := h.Members.Get(d.Node)
	if n.Instance != d || !h.requestPromise(ctx, n, a) {
		return
	}
	h.mu.Lock()
	defer h.unlock()
	x, ok := m.AppointStandby(h.now(), d, h.token())
	if !ok {
		return
	}
	h.appointments[m.Group] = x
	h.queueRecord(x.Record)
}

// sendAppointment sends an appointment once.
func (h *Leases) sendAppointment(ctx context.Context, x lease.Handover) {
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
	if h.appointments[x.Record.Group] == x {
		delete(h.appointments, x.Record.Group)
	}
}

// startHeldSearch starts to query every live node for the permits of a group that it
// holds, until all have reported or are dead, or MaxCall has passed: then no call of an
// earlier holder runs any more.
func (h *Leases) startHeldSearch(g fleet.GroupID, epoch uint64) {
	if h.Peers.Held == nil || h.OnHeldReport == nil {
		return
	}
	d := defaultMaxCall
	if h.MaxCall != nil {
		d = h.MaxCall()
	}
	ctx, cancel := context.WithTimeout(h.context(), d)
	h.searches.Go(func() {
		defer cancel()
		h.collectHeld(ctx, g, epoch)
	})
}

func (h *Leases) collectHeld(ctx context.Context, g fleet.GroupID, epoch uint64) {
	unanswered := h.Members.Live("")
	for len(unanswered) > 0 {
		unanswered = h.queryHeld(ctx, unanswered, g, epoch)
		if ctx.Err() != nil || !h.holdsUnder(g, epoch) {
			return
		}
		if len(unanswered) > 0 && !wait.Sleep(ctx, heldRetryPause) {
			return
		}
	}
	if h.OnAllReported != nil {
		h.OnAllReported(g, epoch)
	}
}

// queryHeld queries the nodes once, including this one, and returns those that did not
// respond and are not dead.
func (h *Leases) queryHeld(ctx context.Context, l []member.Node, g fleet.GroupID, epoch uint64) (unanswered []member.Node) {
	var w sync.WaitGroup
	var mu sync.Mutex
	slots := make(chan struct{}, maxPeerCalls)
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
				h.reportHeld(g, epoch, r)
			} else if !h.Members.Dead(n.Instance) {
				unanswered = append(unanswered, n)
			}
		})
	}
	w.Wait()
	return unanswered
}

func (h *Leases) reportHeld(g fleet.GroupID, epoch uint64, r limit.HeldReport) {
	if h.holdsUnder(g, epoch) {
		h.OnHeldReport(g, epoch, r)
	}
}

// holdsUnder reports whether this node holds the lease of g under epoch.
func (h *Leases) holdsUnder(g fleet.GroupID, epoch uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.notified[g] == epoch
}

// context returns the context of Run, or a cancelled one if Run has not started.
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
