package edge

// This file defines how a node finds the coordinator that schedules its requests.

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"bergamotspring/core/placement"
	"bergamotspring/core/roster"
	"bergamotspring/io/peer"
)

const (
	// maxCoordinators bounds the coordinators of a region that are tried before this node's
	// own scheduler.
	maxCoordinators = 3
	// responseSlack is how long a node waits for a coordinator's response after the
	// request's deadline.
	responseSlack = 200 * time.Millisecond
)

// schedulerClient submits requests to region coordinators. It remembers the coordinator of each
// request, which gets the reports on it.
type schedulerClient struct {
	self string // peer address of this node
	// stopping reports whether this node is stopping; it then coordinates for itself only.
	stopping  func() bool
	region    string
	roster    *roster.Roster
	mesh      func() *peer.Mesh // nil until the key of the fleet is known
	scheduler *scheduler
	log       *zap.Logger
	readings  placement.Readings // what granted requests read

	mu            sync.Mutex
	coordinatorOf map[placement.Key]string // peer address by request in progress
}

// place requests placement in the region that regionFor returns. If the latency goal would be
// missed there, it tries the other regions, and if none of them accepts the request either, it
// returns to the first one, which then may miss the goal. A retry is submitted in the first region
// only.
func (p *schedulerClient) place(ctx context.Context, a placement.Request) (placement.Decision, error) {
	own := p.regionFor(a)
	start := time.Now()
	regions := []string{own}
	for _, r := range p.roster.Regions() {
		if r != own && (len(a.Regions) == 0 || slices.Contains(a.Regions, r)) {
			regions = append(regions, r)
		}
	}
	if len(regions) > 1 && !a.Retry {
		b := a
		b.HasFallback = true
		for _, r := range regions {
			b.Remaining, b.Goal = a.Remaining-time.Since(start), a.Goal-time.Since(start)
			g, err := p.placeIn(ctx, r, b)
			if err != nil || g.Granted() || g.Reason != placement.ReasonBusy {
				if r != own {
					p.log.Info("placed_elsewhere", zap.String("request", a.ID), zap.String("region", r))
				}
				return g, err
			}
		}
		a.Remaining, a.Goal = b.Remaining, b.Goal
	}
	return p.placeIn(ctx, own, a)
}

// placeIn requests placement from the coordinator of a region, or from its successors, and at last
// from this node's own scheduler. A coordinator that stops sends queued requests back with their
// progress.
func (p *schedulerClient) placeIn(ctx context.Context, region string, a placement.Request) (placement.Decision, error) {
	start, remaining, goal := time.Now(), a.Remaining, a.Goal
	submit := func(n string) (placement.Decision, error) {
		a.Remaining, a.Goal = remaining-time.Since(start), goal-time.Since(start)
		return p.request(ctx, n, a)
	}
	for _, n := range p.coordinators(region) {
		g, err := submit(n)
		if ctx.Err() != nil || err == nil && g.Reason != placement.ReasonMoved {
			return g, err
		}
		p.roster.MarkSilent(n)
		if err != nil {
			p.log.Warn("home_silent", zap.String("request", a.ID), zap.String("home", n), zap.Int("made", g.ResultCount()), zap.Error(err))
			if len(g.Progress) > 0 {
				a.Progress = g.Progress
			}
			continue
		}
		a.Progress, a.InBatches, a.HasFallback = g.Progress, g.InBatches, false
		p.log.Info("home_moved", zap.String("request", a.ID), zap.String("home", n), zap.Int("made", g.ResultCount()))
	}
	g, err := submit(p.self)
	if err == nil && g.Reason == placement.ReasonMoved { // this node was the coordinator and is stopping
		a.Remaining, a.Goal, a.HasFallback = remaining-time.Since(start), goal-time.Since(start), false
		a.Progress, a.InBatches = g.Progress, g.InBatches
		return p.placeIn(ctx, region, a)
	}
	return g, err
}

// coordinators returns the peer addresses of the coordinators to try before this node's own
// scheduler.
func (p *schedulerClient) coordinators(region string) []string {
	var l []string
	for _, n := range p.roster.Coordinators(region) {
		if n.Peer == p.self && p.stopping() {
			continue
		}
		if n.Peer == p.self || len(l) == maxCoordinators {
			break
		}
		l = append(l, n.Peer)
	}
	return l
}

// regionFor returns the region whose coordinator is tried first for a request.
func (p *schedulerClient) regionFor(a placement.Request) string {
	for _, r := range a.Regions {
		if r == p.region {
			return r
		}
	}
	for _, r := range a.Regions {
		if len(p.roster.Coordinators(r)) > 0 {
			return r
		}
	}
	return p.region
}

// request submits a request to one coordinator and waits for its decision. With an error, the
// decision holds the progress that the coordinator reported before, if any.
func (p *schedulerClient) request(ctx context.Context, coordinator string, a placement.Request) (placement.Decision, error) {
	type result struct {
		decision placement.Decision
		err      error
	}
	c := make(chan result, 1)
	var progress atomic.Pointer[[]placement.StageProgress]
	p.remember(a.Key, coordinator)
	if coordinator == p.self {
		p.scheduler.submit(a, waiter{deliver: func(g placement.Decision) { c <- result{decision: g} }})
	} else {
		m := p.mesh()
		if m == nil {
			return placement.Decision{}, peer.ErrNoKey
		}
		err := m.RequestPlacement(coordinator, a, a.Remaining+responseSlack,
			func(l []placement.StageProgress) { progress.Store(&l) },
			func(g placement.Decision, err error) { c <- result{g, err} })
		if err != nil {
			return placement.Decision{}, err
		}
	}
	select {
	case r := <-c:
		if r.err == nil && !r.decision.Granted() {
			p.forget(a.Key)
		}
		if l := progress.Load(); r.err != nil && l != nil {
			r.decision.Progress = *l
		}
		if r.err == nil && r.decision.Granted() {
			r.decision.Outdated = !p.readings.Begin(a.Key, a.Attempt, r.decision.Makers, time.Now().Add(a.Remaining))
		}
		return r.decision, r.err
	case <-ctx.Done():
		p.report(placement.Report{Key: a.Key, Attempt: a.Attempt, Status: placement.RunAbandoned})
		return placement.Decision{}, context.Cause(ctx)
	}
}

// report tells the coordinator of a request how its run goes on, or, if the report has no server,
// that the request is withdrawn.
func (p *schedulerClient) report(r placement.Report) {
	p.mu.Lock()
	coordinator := p.coordinatorOf[r.Key]
	p.mu.Unlock()
	if r.Status != placement.RunConnectionLost && r.Status != placement.RunAbandoned {
		p.readings.End(r.Key, r.Attempt)
	}
	switch r.Status {
	case placement.RunStarted, placement.RunRejected, placement.RunNotSent:
	default:
		p.forget(r.Key)
	}
	switch coordinator {
	case "":
	case p.self:
		p.scheduler.report(r)
	default:
		var err error = peer.ErrNoKey
		if m := p.mesh(); m != nil {
			err = m.SendReport(coordinator, r)
		}
		if err != nil {
			// The coordinator forgets the request some time after its deadline.
			p.log.Warn("note_lost", zap.String("request", r.ID), zap.String("home", coordinator), zap.Error(err))
		}
	}
}

func (p *schedulerClient) remember(k placement.Key, coordinator string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.coordinatorOf == nil {
		p.coordinatorOf = map[placement.Key]string{}
	}
	p.coordinatorOf[k] = coordinator
}

func (p *schedulerClient) forget(k placement.Key) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.coordinatorOf, k)
}
