package relay

// This file defines the choice among the servers of a plain service.
//
// Many nodes choose at the same time and by information that is out of date. If each took the best
// server, all would take the same one until they hear that it is full. So a node compares only a few
// servers, drawn at random by their capacity: without information, each server gets what it can do, and
// no server ever gets more than a few times that. The draw is larger if little is sent to a server
// unseen: if the node knows its load well, or has few others beside it.

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"bergamotspring/core/load"
)

const (
	// minDraw is the least number of servers that are compared. Two are enough to keep load even where
	// their load is known, and one server then gets at most twice its share where it is not.
	minDraw = 2
	// unseenSends is the number of requests that the nodes may send unseen to one server that looks best.
	unseenSends = 1
	// leastCertainty is the mean certainty of reports below which they are ignored.
	leastCertainty = 0.1
	// nodeCountTTL is how long the number of nodes is used.
	nodeCountTTL = time.Second
)

// candidate is a server that a request may be sent to.
type candidate struct {
	server   *Server
	stats    *serverStats
	expected load.Expectation
	distance time.Duration
	backoff  bool
	draw     float64 // the least ones of each distance are compared
}

// Pick returns a server of a service for a request of a route, among those that are allowed, not tried yet, below
// their limit and not too cold, or nil. Servers in backoff are used only if there is no other.
func (b *Balancer) Pick(v *View, service, route, domain, region string, now time.Time, allowed func(*Server) bool, tried []string) *Server {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.candidates[:0]
	for _, s := range v.Servers[service] {
		if allowed(s) && !slices.Contains(tried, s.ID) && !b.full(s.ID, now) && b.mayTakeCold(v, s, now) {
			l = append(l, b.candidate(s, domain, region, now))
		}
	}
	b.candidates = l
	if len(l) == 0 {
		return nil
	}
	ignoreStale(l)
	for i := range l {
		l[i].draw = b.exponential() / l[i].expected.Capacity()
	}
	slices.SortFunc(l, func(x, y candidate) int {
		return cmp.Or(compareBool(x.backoff, y.backoff), cmp.Compare(x.distance, y.distance), cmp.Compare(x.draw, y.draw))
	})
	return b.best(l, b.work(route), now)
}

// ignoreStale takes the servers for ones that report nothing if most of what they reported is out of date, as at
// a node that sends little: what their responses took then tells more.
func ignoreStale(l []candidate) {
	certainty := 0.0
	for i := range l {
		certainty += l[i].expected.Certainty
	}
	if certainty >= leastCertainty*float64(len(l)) {
		return
	}
	for i := range l {
		l[i].expected = l[i].expected.Unreported()
	}
}

// best returns the server with the least cost of those drawn. The list is sorted.
func (b *Balancer) best(l []candidate, w *load.Work, now time.Time) *Server {
	var best *Server
	var least time.Duration
	nodes := b.nodeCount(now)
	for i := 0; i < len(l) && l[i].backoff == l[0].backoff; {
		n := i
		for n < len(l) && l[n].backoff == l[i].backoff && l[n].distance == l[i].distance {
			n++
		}
		for _, x := range l[i : i+draw(l[i:n], w, nodes)] {
			if c := b.cost(&x, w, now); best == nil || c < least {
				best, least = x.server, c
			}
		}
		i = n
	}
	return best
}

// draw returns how many of some servers are compared. Those that report no load are compared in proportion
// to this node's share of the choices.
func draw(l []candidate, w *load.Work, nodes int) int {
	unseen, reporting := 0.0, 0
	for i := range l {
		if l[i].expected.Reports {
			unseen += l[i].expected.Sends(w)
			reporting++
		}
	}
	n := float64(len(l)) / float64(max(1, nodes))
	if reporting > 0 {
		n = unseenSends * float64(reporting) / max(unseen, 1e-9)
	}
	return min(len(l), max(minDraw, int(min(n, float64(len(l))))))
}

func (b *Balancer) candidate(s *Server, domain, region string, now time.Time) candidate {
	c := candidate{server: s, stats: b.stats[s.ID], backoff: b.inBackoff(s.ID, now)}
	if c.stats == nil {
		c.stats = &serverStats{}
	}
	c.stats.load.SetSlots(s.Slots)
	c.expected = c.stats.load.Expect(now)
	switch {
	case s.Region != region:
		c.distance = crossRegionCost
	case s.Domain != domain:
		c.distance = crossDomainCost
	}
	return c
}

// cost returns the expected time of a request, weighted by failures and distance. The load of the server is
// drawn from what it may be.
func (b *Balancer) cost(c *candidate, w *load.Work, now time.Time) time.Duration {
	z := 0.0
	if c.expected.Deviation > 0 {
		z = b.normal()
	}
	d := c.expected.Time(w, z)
	if now.Sub(c.stats.updated) < statsTTL {
		d = time.Duration(float64(d) * (1 + failurePenalty*c.stats.failureRate))
	}
	return d + c.distance
}

// nodeCount returns the number of nodes that choose servers. The lock is held.
func (b *Balancer) nodeCount(now time.Time) int {
	if b.Nodes == nil {
		return 1
	}
	if d := now.Sub(b.countedAt); d < 0 || d >= nodeCountTTL {
		b.count, b.countedAt = b.Nodes(), now
	}
	return b.count
}

func (b *Balancer) normal() float64 {
	if b.Random == nil {
		return rand.NormFloat64()
	}
	return b.Random.NormFloat64()
}

func (b *Balancer) exponential() float64 {
	if b.Random == nil {
		return rand.ExpFloat64()
	}
	return b.Random.ExpFloat64()
}

func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case y:
		return -1
	}
	return 1
}
