package relay

// This file defines how a node picks a server of a plain service, from what it has
// seen of each.

import (
	"slices"
	"sync"
	"time"
)

const (
	// newShare is the weight of the newest answer in a server's averages.
	newShare = 0.2
	// failureCost is how many times dearer a server is that fails always.
	failureCost = 8
	// forgetAfter is how long a server's averages are believed without a new answer.
	forgetAfter = 4 * time.Second
	// pauseMin and pauseMax bound the pause of a server that broke off a request.
	pauseMin = 400 * time.Millisecond
	pauseMax = 4 * time.Second
	// crossDomain and crossRegion are the cost of distance.
	crossDomain = 8 * time.Millisecond
	crossRegion = 60 * time.Millisecond
	// usualTime is taken for a server that was not seen yet.
	usualTime = 20 * time.Millisecond
)

// Balancer holds what a node has seen of servers. The zero value is ready to use. It is
// safe for concurrent use.
type Balancer struct {
	mu   sync.Mutex
	seen map[string]*seen
}

type seen struct {
	running  int
	took     time.Duration // average
	failures float64       // average share
	at       time.Time     // of the last answer
	backoff  time.Duration
	until    time.Time
}

// Pick returns the best server of a service that is allowed and not tried yet, or nil.
func (b *Balancer) Pick(v *View, service, domain, region string, now time.Time, allowed func(*Server) bool, tried []string) *Server {
	b.mu.Lock()
	defer b.mu.Unlock()
	var best *Server
	var cost time.Duration
	paused := false
	for _, s := range v.Servers[service] {
		if !allowed(s) || slices.Contains(tried, s.ID) {
			continue
		}
		p := b.paused(s.ID, now)
		c := b.cost(s, domain, region, now)
		if best == nil || paused && !p || p == paused && c < cost {
			best, cost, paused = s, c, p
		}
	}
	return best
}

func (b *Balancer) paused(id string, now time.Time) bool {
	x := b.seen[id]
	return x != nil && now.Before(x.until)
}

// cost returns the expected time of a request, raised by failures and load.
func (b *Balancer) cost(s *Server, domain, region string, now time.Time) time.Duration {
	d := usualTime
	x := b.seen[s.ID]
	if x != nil {
		if now.Sub(x.at) < forgetAfter && x.took > 0 {
			d = x.took
		}
		busy := float64(x.running) / float64(max(1, s.Slots))
		fail := x.failures
		if now.Sub(x.at) >= forgetAfter {
			fail = 0
		}
		d = time.Duration(float64(d) * (1 + busy) * (1 + failureCost*fail))
	}
	switch {
	case s.Region != region:
		d += crossRegion
	case s.Domain != domain:
		d += crossDomain
	}
	return d
}

// Begin counts a request to a server. The function it returns is to be called once with
// its end; ignored ends tell nothing about the server.
func (b *Balancer) Begin(id string, start time.Time) func(now time.Time, failed, ignored bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.seen == nil {
		b.seen = map[string]*seen{}
	}
	x := b.seen[id]
	if x == nil {
		x = &seen{}
		b.seen[id] = x
	}
	x.running++
	return func(now time.Time, failed, ignored bool) {
		b.mu.Lock()
		defer b.mu.Unlock()
		x.running--
		if ignored {
			return
		}
		x.end(now, now.Sub(start), failed)
	}
}

// Backoff notes that a server broke off a request or could not be reached.
func (b *Balancer) Backoff(id string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if x := b.seen[id]; x != nil {
		x.backoff = min(max(2*x.backoff, pauseMin), pauseMax)
		x.until = now.Add(x.backoff)
	}
}

func (x *seen) end(now time.Time, took time.Duration, failed bool) {
	f := 0.0
	if failed {
		f = 1
	} else {
		x.backoff = 0
	}
	if now.Sub(x.at) >= forgetAfter {
		x.took, x.failures = took, f
	}
	x.at = now
	x.took += time.Duration(newShare * float64(took-x.took))
	x.failures += newShare * (f - x.failures)
}
