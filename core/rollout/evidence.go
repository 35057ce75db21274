package rollout

// This file defines the evidence of a decider: the responses of all nodes, by second.

import (
	"math"
	"slices"
)

// slowFactor is the multiple of the old version's median time from which a response counts as slow.
// Versions that are several times slower are bad; servers of one version may differ by 2.5.
const slowFactor = 3

// minMedian is how many old responses a route needs before its median counts.
const minMedian = 20

// kind is a kind of failure that is compared.
type kind int

const (
	failed   kind = iota // responses that failed
	slow                 // responses slower than slowFactor
	slowPace             // streams whose events came slower than slowFactor
	kinds
)

var kindNames = [kinds]string{"failures", "slow responses", "slow streams"}

// count is how many responses there were, and how many of them were bad. Parts of a histogram's bucket
// make fractions.
type count struct{ all, bad float64 }

func (c *count) add(o count) { c.all += o.all; c.bad += o.bad }

// slot holds the responses that were reported in one second.
type slot struct {
	second int
	counts [kinds]count
}

// series holds the slots of one group of servers, in the order of time.
type series []slot

// add adds responses of a second, which is not before the last one.
func (s *series) add(second int, c [kinds]count) {
	if n := len(*s); n == 0 || (*s)[n-1].second < second {
		*s = append(*s, slot{second: second})
	}
	x := &(*s)[len(*s)-1].counts
	for k := range c {
		x[k].add(c[k])
	}
}

// from returns the slots from a second on.
func (s series) from(second int) series {
	i, _ := slices.BinarySearchFunc(s, second, func(x slot, second int) int { return x.second - second })
	return s[i:]
}

// cell holds the responses of a route in a failure domain.
type cell struct {
	old, new series
	servers  map[string]*series // of the new version
}

// routeEvidence holds the evidence of one route.
type routeEvidence struct {
	took, pace     Histogram // of the old version
	oldAll, newAll float64
	cells          map[string]*cell // by failure domain
	ordered        []*cell          // in the order of their first response, so that sums are the same each time
}

// evidence holds the responses since the order.
type evidence struct {
	routes map[string]*routeEvidence
}

// add adds what a stratum gained. The failure domain is left out where only one of the versions has
// servers, as there is nothing to compare inside it.
func (e *evidence) add(s Stratum, domain string, second int) {
	if e.routes == nil {
		e.routes = map[string]*routeEvidence{}
	}
	r := e.routes[s.Route]
	if r == nil {
		r = &routeEvidence{cells: map[string]*cell{}}
		e.routes[s.Route] = r
	}
	c := r.cells[domain]
	if c == nil {
		c = &cell{servers: map[string]*series{}}
		r.cells[domain] = c
		r.ordered = append(r.ordered, c)
	}
	if !s.New {
		r.oldAll += float64(s.Responses)
		r.took.addAll(s.Took)
		r.pace.addAll(s.Pace)
		c.old.add(second, r.counts(s))
		return
	}
	r.newAll += float64(s.Responses)
	if c.servers[s.Server] == nil {
		c.servers[s.Server] = &series{}
	}
	x := r.counts(s)
	c.new.add(second, x)
	c.servers[s.Server].add(second, x)
}

// counts returns the responses of a stratum by kind of failure.
func (r *routeEvidence) counts(s Stratum) [kinds]count {
	return [kinds]count{
		failed:   {float64(s.Responses), float64(s.Failed)},
		slow:     slowOf(&s.Took, &r.took),
		slowPace: slowOf(&s.Pace, &r.pace),
	}
}

// slowOf counts the slow ones of some durations, compared with those of the old version so far.
func slowOf(h, old *Histogram) count {
	if old.total() < minMedian {
		return count{}
	}
	limit := old.quantile(0.5) + math.Log(slowFactor)/logFactor
	return count{float64(h.total()), h.above(limit)}
}

// newResponses returns how many responses of the new version there are.
func (e *evidence) newResponses() float64 {
	n := 0.0
	for _, r := range e.routes {
		n += r.newAll
	}
	return n
}

// Bounds of the responses that a route needs from the new version. With 20 the chance to miss a fault of
// a fifth of the responses is 1%.
const (
	minEvidence  = 3
	maxEvidence  = 20
	evidenceRate = 0.05 // of the responses of the old version
)

// wanted returns the routes that lack evidence, sorted.
func (e *evidence) wanted() []string {
	var l []string
	for name, r := range e.routes {
		if need := min(evidenceRate*r.oldAll, maxEvidence); r.oldAll >= minMedian && r.newAll < max(need, minEvidence) {
			l = append(l, name)
		}
	}
	slices.Sort(l)
	return l
}

// byServer adds up the responses of each new server of some routes, from a second on.
func byServer(routes []*routeEvidence, k kind, from int) map[string]count {
	m := map[string]count{}
	for _, r := range routes {
		for _, c := range r.ordered {
			for server, s := range c.servers {
				x := m[server]
				for _, slot := range s.from(from) {
					x.add(slot.counts[k])
				}
				if x.all > 0 {
					m[server] = x
				}
			}
		}
	}
	return m
}
