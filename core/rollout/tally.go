package rollout

// This file defines what a node counts of an order, and its allowance.

import (
	"slices"
	"strings"
	"time"
)

// AllowanceLife is how long after its report was sent an allowance may be used. It bounds for how long
// a node that is cut off goes on sending to a bad version.
const AllowanceLife = time.Second

// stratumKey identifies a stratum.
type stratumKey struct {
	route, domain, server string
	isNew                 bool
}

// counted is a stratum, with the number of the first report that has its last change.
type counted struct {
	Stratum
	changed uint64
}

// tally is what a node knows and counts of an order. The lock of its service protects it.
type tally struct {
	order   Order
	since   time.Time // when the node learned of the order
	current bool      // the version was the established one before: nothing is to be tested
	state   State
	known   bool // a decider or the store told the state
	written bool // the store has the state, which is final
	ceiling int64
	opened  time.Duration

	// The allowance, from the last reply.
	share     float64
	allowance int64
	step      int
	focus     []string
	wanted    []string
	until     time.Time
	grant     uint64 // number of the report that it answers

	requests, exposed int64
	credit            int64 // requests that were counted, but returned
	turns             map[string]*float64
	strata            map[stratumKey]*counted

	seq     uint64 // of the last report
	sent    time.Time
	ackedBy string
	acked   uint64 // last report that the decider ackedBy has
}

func newTally(now time.Time, current bool) *tally {
	return &tally{since: now, current: current, turns: map[string]*float64{}, strata: map[stratumKey]*counted{}}
}

// countRequest counts a request, unless it or another one was counted and returned.
func (t *tally) countRequest() {
	if t.credit > 0 {
		t.credit--
		return
	}
	t.requests++
}

// takes reports whether a request of a route goes to the new version under the allowance, and uses it up.
func (t *tally) takes(route string, now time.Time) bool {
	if t.current || t.state.Final() || t.allowance <= 0 || !now.Before(t.until) {
		return false
	}
	turn := t.turns[route]
	if turn == nil {
		turn = new(float64)
		*turn = 0.5
		t.turns[route] = turn
	}
	*turn += t.share
	switch {
	case *turn >= 1:
		*turn--
	case slices.Contains(t.wanted, route):
	default:
		return false
	}
	t.allowance--
	return true
}

// granted reports whether the allowance that a rule used up is still the node's. After a report it may
// have been counted as used.
func (t *tally) granted(r Rule) bool { return r.grant != 0 && r.grant == t.grant && t.seq == t.grant }

// observe counts a response.
func (t *tally) observe(isNew bool, o Observation) {
	if t.written {
		return
	}
	k := stratumKey{route: o.Route, domain: o.Domain, isNew: isNew}
	if isNew {
		k.server = o.Server
	}
	c := t.strata[k]
	if c == nil {
		c = &counted{Stratum: Stratum{Route: k.route, Domain: k.domain, New: isNew, Server: k.server}}
		t.strata[k] = c
	}
	c.changed = t.seq + 1
	c.Responses++
	if o.Failed {
		c.Failed++
		return
	}
	c.Took.Add(o.Took)
	if o.Pace > 0 {
		c.Pace.Add(o.Pace)
	}
}

// report returns the next report. What is left of an allowance in numbers ends with it; that of
// Moving has no number and ends by time alone.
func (t *tally) report(seq uint64, now time.Time) Report {
	r := Report{
		Seq: seq, Order: t.order, Age: now.Sub(t.since), Requests: t.requests, Exposed: t.exposed,
		State: t.state, Ceiling: t.ceiling, Opened: t.opened, Known: t.known, Current: t.current,
	}
	if now.Before(t.until) {
		r.Step = t.step
	}
	for _, c := range t.strata {
		if c.changed > t.acked {
			r.Strata = append(r.Strata, c.Stratum)
		}
	}
	slices.SortFunc(r.Strata, compareStrata)
	// The allowance of this report may still answer it: changes from now on are in the next one.
	t.seq, t.sent = seq, now
	if t.state == Testing {
		t.allowance = 0
	}
	return r
}

func compareStrata(a, b Stratum) int {
	for _, c := range []int{
		strings.Compare(a.Route, b.Route), strings.Compare(a.Domain, b.Domain), strings.Compare(a.Server, b.Server),
	} {
		if c != 0 {
			return c
		}
	}
	if a.New == b.New {
		return 0
	}
	if b.New {
		return -1
	}
	return 1
}

// onReply takes the answer to the last report.
func (t *tally) onReply(r Reply) {
	if t.ackedBy != r.Decider {
		t.ackedBy, t.acked = r.Decider, 0 // the next report has everything
	} else {
		t.acked = r.Seq
	}
	t.known = true
	t.ceiling = max(t.ceiling, r.Ceiling)
	t.opened = r.Opened
	if t.state.Final() {
		return
	}
	t.state = r.State
	t.share, t.allowance, t.step, t.focus, t.wanted = r.Share, r.Allowance, r.Step, r.Focus, r.Wanted
	t.until, t.grant = t.sent.Add(AllowanceLife), r.Seq
}
