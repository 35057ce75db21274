package edge

// This file defines how a node finds the home that places its requests.

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotspring/core/placement"
	"bergamotspring/core/roster"
	"bergamotspring/io/peer"
)

const (
	// mostCoordinators bounds the homes that are asked for one request.
	mostCoordinators = 3
	// answerSlack is how long after the time limit a home's answer is waited for.
	answerSlack = 200 * time.Millisecond
)

// schedulerClient asks homes for places. It remembers who placed each request, for the notes.
type schedulerClient struct {
	self string // peer address of this node
	// stopping reports whether this node is home for itself only.
	stopping  func() bool
	region    string
	roster    *roster.Roster
	mesh      func() *peer.Mesh // nil until the key of the fleet is known
	scheduler *scheduler
	log       *zap.Logger

	mu     sync.Mutex
	placed map[string]string // peer address of the home of each request in progress
}

// place asks for a place in the region; if its goal would be missed there, in the others;
// and if they do not take it either, in the region after all.
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

// placeIn asks for a place at the home of a region, or at its successor. A home that stops
// passes on what waits there.
func (p *schedulerClient) placeIn(ctx context.Context, region string, a placement.Request) (placement.Decision, error) {
	start, left, goal := time.Now(), a.Remaining, a.Goal
	ask := func(n string) (placement.Decision, error) {
		a.Remaining, a.Goal = left-time.Since(start), goal-time.Since(start)
		return p.request(ctx, n, a)
	}
	for _, n := range p.coordinators(region) {
		g, err := ask(n)
		if ctx.Err() != nil || err == nil && g.Reason != placement.ReasonMoved {
			return g, err
		}
		p.roster.MarkSilent(n)
		if err != nil {
			p.log.Warn("home_silent", zap.String("request", a.ID), zap.String("home", n), zap.Error(err))
			continue
		}
		a.Progress, a.HasFallback = g.Progress, false
		p.log.Info("home_moved", zap.String("request", a.ID), zap.String("home", n), zap.Int("made", g.ResultCount()))
	}
	g, err := ask(p.self)
	if err == nil && g.Reason == placement.ReasonMoved { // this node was home and stops
		a.Remaining, a.Goal, a.Progress, a.HasFallback = left-time.Since(start), goal-time.Since(start), g.Progress, false
		return p.placeIn(ctx, region, a)
	}
	return g, err
}

// coordinators returns the peer addresses of the coordinators to ask, before this node itself.
func (p *schedulerClient) coordinators(region string) []string {
	var l []string
	for _, n := range p.roster.Coordinators(region) {
		if n.Peer == p.self && p.stopping() {
			continue
		}
		if n.Peer == p.self || len(l) == mostCoordinators {
			break
		}
		l = append(l, n.Peer)
	}
	return l
}

// regionFor returns the region whose home places a request.
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

// request asks one home and waits for its answer.
func (p *schedulerClient) request(ctx context.Context, home string, a placement.Request) (placement.Decision, error) {
	type result struct {
		answer placement.Decision
		err    error
	}
	c := make(chan result, 1)
	p.remember(a.ID, home)
	if home == p.self {
		p.scheduler.submit(a, func(g placement.Decision) { c <- result{answer: g} })
	} else {
		m := p.mesh()
		if m == nil {
			return placement.Decision{}, peer.ErrNoKey
		}
		err := m.RequestPlacement(home, a, a.Remaining+answerSlack, func(g placement.Decision, err error) { c <- result{g, err} })
		if err != nil {
			return placement.Decision{}, err
		}
	}
	select {
	case r := <-c:
		if r.err == nil && !r.answer.Granted() {
			p.forget(a.ID)
		}
		return r.answer, r.err
	case <-ctx.Done():
		p.report(placement.Report{ID: a.ID, Attempt: a.Attempt, Status: placement.RunAbandoned})
		return placement.Decision{}, context.Cause(ctx)
	}
}

// report tells the home of a request how it goes on, or without a server that it needs no
// place any more.
func (p *schedulerClient) report(r placement.Report) {
	p.mu.Lock()
	home := p.placed[r.ID]
	p.mu.Unlock()
	switch r.Status {
	case placement.RunStarted, placement.RunRejected, placement.RunNotSent:
	default:
		p.forget(r.ID)
	}
	switch home {
	case "":
	case p.self:
		p.scheduler.report(r)
	default:
		if err := p.mesh().SendReport(home, r); err != nil {
			// The home forgets the request some time after its time limit.
			p.log.Warn("note_lost", zap.String("request", r.ID), zap.String("home", home), zap.Error(err))
		}
	}
}

func (p *schedulerClient) remember(id, home string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.placed == nil {
		p.placed = map[string]string{}
	}
	p.placed[id] = home
}

func (p *schedulerClient) forget(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.placed, id)
}
