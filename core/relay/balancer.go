package relay

// This file defines how a node picks a server of a plain service, from the load model and the
// failures that it has observed on each.

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"bergamotspring/core/load"
)

const (
	// averageWeight is the weight of the newest response in a server's failure rate.
	averageWeight = 0.2
	// failurePenalty raises the cost of a server: one that always fails costs
	// 1+failurePenalty times as much.
	failurePenalty = 8
	// statsTTL is how long a server's failure rate is used without a new response.
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
	// transitTime is how recently a request was sent that a server's report may not have counted yet.
	transitTime = 2 * time.Millisecond
	// maxWorks is the number of routes whose times are kept. Beyond it all are forgotten.
	maxWorks = 4096
)

// Balancer holds the statistics of servers that a node has used. The zero value is ready
// to use. It is safe for concurrent use.
type Balancer struct {
	// ColdShare, if set, returns how many requests a second this node may send to a cold server that can take rate from
	// all nodes together.
	ColdShare func(server string, rate float64) int
	// Nodes, if set, returns the number of nodes that choose servers.
	Nodes func() int
	// Random is the source of random numbers; nil: the global one.
	Random *rand.Rand

	mu         sync.Mutex
	stats      map[string]*serverStats
	works      map[string]*load.Work // by route
	candidates []candidate           // of the last Pick, to be used again
	count      int                   // of nodes
	countedAt  time.Time

	choices, wrong int64 // see Choices
}

type serverStats struct {
	load         load.Server
	startedAt    int64       // of the process that reported its load, 0: unknown
	sent         []time.Time // of the requests within transitTime
	seen         time.Time   // when its entry was last seen by Prune
	failureRate  float64     // moving average of the share of failed requests
	updated      time.Time   // time of the last response
	backoff      time.Duration
	backoffUntil time.Time
	limit        float64 // on the requests in flight at the end of the last pause; 0: there was none
	pausedUntil  time.Time
	coldSends    []time.Time // to the server while it is cold, those of the last coldWindow
	coldShare    int         // see Balancer.ColdShare
	coldShareAt  time.Time   // when it was computed
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
	return x.load.InFlight() >= int(x.limit+growth)
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
	x.limit = max(1, limitDecrease*float64(x.load.InFlight()))
	x.pausedUntil = now.Add(d)
}

// work returns the typical time of a route's requests. The lock is held.
func (b *Balancer) work(route string) *load.Work {
	if w := b.works[route]; w != nil {
		return w
	}
	if b.works == nil || len(b.works) >= maxWorks {
		b.works = map[string]*load.Work{}
	}
	w := &load.Work{}
	b.works[route] = w
	return w
}

// ObserveLoad takes the load that a process reported at a time, as in a response. The requests of this node that
// were sent shortly before or later are taken as not counted in it.
func (b *Balancer) ObserveLoad(p Process, r load.Report, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	x := b.of(p.ID)
	if p.StartedAt != 0 && x.startedAt != 0 && p.StartedAt != x.startedAt {
		x.load.Restart()
	}
	x.startedAt = p.StartedAt
	x.forgetSent(now)
	r.At, r.Counted = now, max(0, x.load.InFlight()-len(x.sent))
	x.load.Observe(r, now)
}

func (x *serverStats) forgetSent(now time.Time) {
	x.sent = slices.DeleteFunc(x.sent, func(t time.Time) bool { return now.Sub(t) >= transitTime })
}

// Begin counts a request of a route to a server as in flight. The function it returns must be called
// once, when the request ends. Ignored says that the end is no evidence about the server.
func (b *Balancer) Begin(id, route string, start time.Time) func(now time.Time, failed, ignored bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	x := b.of(id)
	w := b.work(route)
	predicted := x.load.Expect(start).Time(w, 0)
	send := x.load.Send(w, start)
	x.forgetSent(start)
	x.sent = append(x.sent, start)
	return func(now time.Time, failed, ignored bool) {
		b.mu.Lock()
		defer b.mu.Unlock()
		send.End(now, !failed && !ignored) // a failure may be fast
		if !ignored {
			x.observe(now, failed)
			b.judge(predicted, now.Sub(start))
		}
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

func (x *serverStats) observe(now time.Time, failed bool) {
	f := 0.0
	if failed {
		f = 1
	} else {
		x.backoff = 0
	}
	if now.Sub(x.updated) >= statsTTL {
		x.failureRate = f
	}
	x.updated = now
	x.failureRate += averageWeight * (f - x.failureRate)
}
