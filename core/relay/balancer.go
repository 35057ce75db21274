package relay

// This file defines how a node picks a server of a plain service, from the latencies,
// failures and load that it has observed on each.

import (
	"slices"
	"sync"
	"time"
)

const (
	// averageWeight is the weight of the newest response in a server's moving averages.
	averageWeight = 0.2
	// failurePenalty raises the cost of a server: one that always fails costs
	// 1+failurePenalty times as much.
	failurePenalty = 8
	// statsTTL is how long a server's averages are used without a new response.
	statsTTL = 4 * time.Second
	// backoffMin and backoffMax bound the backoff of a server that broke off a request.
	backoffMin = 400 * time.Millisecond
	backoffMax = 4 * time.Second
	// crossDomainCost and crossRegionCost are added for a server in another failure
	// domain or region.
	crossDomainCost = 8 * time.Millisecond
	crossRegionCost = 60 * time.Millisecond
	// limitDecrease is the share of its requests in flight that a server may have after it has asked for a
	// pause. From the end of the pause on, the limit grows by limitGrowth of it each second, or by
	// minLimitGrowth requests if that is more.
	limitDecrease  = 0.7
	limitGrowth    = 0.1
	minLimitGrowth = 0.5
	// defaultLatency is assumed for a server without a recent measurement.
	defaultLatency = 20 * time.Millisecond
)

// Balancer holds the statistics of servers that a node has used. The zero value is ready
// to use. It is safe for concurrent use.
type Balancer struct {
	// ColdShare, if set, returns how many requests a second this node may send to a cold server that can take rate from
	// all nodes together.
	ColdShare func(server string, rate float64) int

	mu    sync.Mutex
	stats map[string]*serverStats
}

type serverStats struct {
	inFlight     int
	latency      time.Duration // moving average
	failureRate  float64       // moving average of the share of failed requests
	updated      time.Time     // time of the last response
	backoff      time.Duration
	backoffUntil time.Time
	limit        float64 // of inFlight at the end of the last pause; 0: there was none
	pausedUntil  time.Time
	coldSends    []time.Time // to the server while it is cold, those of the last coldWindow
	coldShare    int         // see Balancer.ColdShare
	coldShareAt  time.Time   // when it was computed
}

// Pick returns the server of a service with the lowest cost among those that are allowed,
// not tried yet, below their limit and not too cold, or nil. Servers in backoff are used only if there is no other.
func (b *Balancer) Pick(v *View, service, domain, region string, now time.Time, allowed func(*Server) bool, tried []string) *Server {
	b.mu.Lock()
	defer b.mu.Unlock()
	var best *Server
	var cost time.Duration
	bestInBackoff := false
	for _, s := range v.Servers[service] {
		if !allowed(s) || slices.Contains(tried, s.ID) || b.full(s.ID, now) || !b.mayTakeCold(v, s, now) {
			continue
		}
		p := b.inBackoff(s.ID, now)
		c := b.cost(s, domain, region, now)
		if best == nil || bestInBackoff && !p || p == bestInBackoff && c < cost {
			best, cost, bestInBackoff = s, c, p
		}
	}
	return best
}

func (b *Balancer) inBackoff(id string, now time.Time) bool {
	x := b.stats[id]
	return x != nil && now.Before(x.backoffUntil)
}

// full reports whether a server has as many requests in flight as its limit allows.
func (b *Balancer) full(id string, now time.Time) bool {
	x := b.stats[id]
	if x == nil || x.limit == 0 {
		return false
	}
	growth := max(minLimitGrowth, limitGrowth*x.limit) * max(0, now.Sub(x.pausedUntil).Seconds())
	return x.inFlight >= int(x.limit+growth)
}

// Pause lowers the limit of a server that rejected a request and asked to get nothing for a duration. Without a
// limit, as many requests as before would come at the end of the pause, and be rejected again.
func (b *Balancer) Pause(id string, now time.Time, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	x := b.stats[id]
	if x == nil || now.Before(x.pausedUntil) {
		return
	}
	x.limit = max(1, limitDecrease*float64(x.inFlight))
	x.pausedUntil = now.Add(d)
}

// cost returns the expected time of a request, weighted by failures, load and distance.
func (b *Balancer) cost(s *Server, domain, region string, now time.Time) time.Duration {
	d := defaultLatency
	x := b.stats[s.ID]
	if x != nil {
		if now.Sub(x.updated) < statsTTL && x.latency > 0 {
			d = x.latency
		}
		busy := float64(x.inFlight) / float64(max(1, s.Slots))
		fail := x.failureRate
		if now.Sub(x.updated) >= statsTTL {
			fail = 0
		}
		d = time.Duration(float64(d) * (1 + busy) * (1 + failurePenalty*fail))
	}
	switch {
	case s.Region != region:
		d += crossRegionCost
	case s.Domain != domain:
		d += crossDomainCost
	}
	return d
}

// Begin counts a request to a server as in flight. The function it returns must be called
// once, when the request ends. Ignored says that the end is no evidence about the server.
func (b *Balancer) Begin(id string, start time.Time) func(now time.Time, failed, ignored bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	x := b.of(id)
	x.inFlight++
	return func(now time.Time, failed, ignored bool) {
		b.mu.Lock()
		defer b.mu.Unlock()
		x.inFlight--
		if ignored {
			return
		}
		x.observe(now, now.Sub(start), failed)
	}
}

// of returns the statistics of a server. The lock is held.
func (b *Balancer) of(id string) *serverStats {
	if b.stats == nil {
		b.stats = map[string]*serverStats{}
	}
	x := b.stats[id]
	if x == nil {
		x = &serverStats{}
		b.stats[id] = x
	}
	return x
}

// Backoff starts or doubles the backoff of a server that broke off a request or could not
// be reached.
func (b *Balancer) Backoff(id string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if x := b.stats[id]; x != nil {
		x.backoff = min(max(2*x.backoff, backoffMin), backoffMax)
		x.backoffUntil = now.Add(x.backoff)
	}
}

func (x *serverStats) observe(now time.Time, took time.Duration, failed bool) {
	f := 0.0
	if failed {
		f = 1
	} else {
		x.backoff = 0
	}
	if now.Sub(x.updated) >= statsTTL {
		x.latency, x.failureRate = took, f
	}
	x.updated = now
	x.latency += time.Duration(averageWeight * float64(took-x.latency))
	x.failureRate += averageWeight * (f - x.failureRate)
}
