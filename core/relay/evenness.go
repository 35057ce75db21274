package relay

// This file defines what an operator sees of the choice among plain servers.

import "time"

// wrongFactor is the factor over the predicted time from which a choice counts as wrong.
const wrongFactor = 2

// Evenness says how evenly the servers of a service are loaded, as far as the node knows.
type Evenness struct {
	Busiest, Mean float64       // requests at a server, of all nodes
	Age           time.Duration // of the reports on average
	Reporting     int           // servers that report their load
}

// Evenness returns the evenness of a service.
func (b *Balancer) Evenness(v *View, service string, now time.Time) Evenness {
	b.mu.Lock()
	defer b.mu.Unlock()
	var e Evenness
	for _, s := range v.Servers[service] {
		x := b.stats[s.ID]
		if x == nil || !x.load.Reports() {
			continue
		}
		l := x.load.Expect(now)
		e.Reporting++
		e.Busiest = max(e.Busiest, l.Requests)
		e.Mean += l.Requests
		e.Age += min(l.Age, time.Minute)
	}
	if e.Reporting > 0 {
		e.Mean /= float64(e.Reporting)
		e.Age /= time.Duration(e.Reporting)
	}
	return e
}

// Choices returns how many requests ended at the servers chosen, and how many of them took more than wrongFactor times
// as long as was predicted.
func (b *Balancer) Choices() (all, wrong int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.choices, b.wrong
}

// judge counts a choice. The lock is held.
func (b *Balancer) judge(predicted, took time.Duration) {
	b.choices++
	if took > wrongFactor*predicted {
		b.wrong++
	}
}

// pruneAfter is how long what is known of a server is kept after its entry is gone: an outage of the store may hide
// entries for some seconds.
const pruneAfter = time.Minute

// Prune forgets servers that have had no entry and no request for a while.
func (b *Balancer) Prune(v *View, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, l := range v.Servers {
		for _, s := range l {
			if x := b.stats[s.ID]; x != nil {
				x.seen = now
			}
		}
	}
	for id, x := range b.stats {
		if x.seen.IsZero() {
			x.seen = now
		}
		if x.load.InFlight() == 0 && now.Sub(x.seen) >= pruneAfter {
			delete(b.stats, id)
		}
	}
}
