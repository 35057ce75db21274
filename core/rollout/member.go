package rollout

// This file defines what a decider knows of a node.

import (
	"math"
	"time"
)

// total is what a stratum of a node has so far. Nodes, routes, failure domains and servers make many of them.
type total struct {
	responses, failed int64
	took              [Buckets]int32
	pace              *Histogram // nil without streams
}

// member is an incarnation of a node that has reported.
type member struct {
	node              string
	seq               uint64
	seen              time.Time
	requests, exposed int64
	rate              float64 // requests per second, lately
	grant             int64   // allowance of the last reply
	oldInFlight       int64
	step              int
	current           bool
	state             State
	strata            map[stratumKey]total
	reply             Reply // to the report seq
}

// expected returns how many requests the node gets until its next allowance.
func (m *member) expected(interval time.Duration) float64 {
	return m.rate * (interval + interval/4).Seconds()
}

// demand returns which allowance uses a share of the expected requests. A node that expects less than one
// request mostly returns an allowance unused, so more nodes need one at a time than will use it.
func demand(share, expected float64) float64 {
	if expected < 0.01 {
		return share
	}
	return share * expected / -math.Expm1(-expected)
}

// update takes in a report that is newer than the last one.
func (m *member) update(r Report, now time.Time) {
	if !m.seen.IsZero() && now.After(m.seen) {
		rate := float64(r.Requests-m.requests) / now.Sub(m.seen).Seconds()
		if m.rate == 0 {
			m.rate = rate
		}
		m.rate = (m.rate + rate) / 2
	}
	m.seq, m.seen = r.Seq, now
	m.requests, m.exposed = max(m.requests, r.Requests), max(m.exposed, r.Exposed)
	m.oldInFlight, m.step, m.state, m.current = r.OldInFlight, r.Step, r.State, r.Current
}

// gained returns what a stratum gained since the last report that had it, and remembers it.
func (m *member) gained(s Stratum) Stratum {
	k := stratumKey{s.Route, s.Domain, s.Server, s.New}
	old := m.strata[k]
	next := total{responses: s.Responses, failed: s.Failed, pace: old.pace}
	gained := s
	gained.Responses -= old.responses
	gained.Failed -= old.failed
	for i := range s.Took {
		next.took[i] = int32(s.Took[i])
		gained.Took[i] -= int64(old.took[i])
	}
	if s.Pace != (Histogram{}) {
		next.pace = &s.Pace
	}
	if old.pace != nil {
		for i := range gained.Pace {
			gained.Pace[i] -= old.pace[i]
		}
	}
	m.strata[k] = next
	return gained
}
