package limit

import "time"

// This file decides that a cold server gets no more work than it bears: ramp.bound
// is the only source of a server's current limit, and Limiter.free compares it with
// the calls in flight before every grant. See docs/decisions/002-cold-start-ramp.md.

// rampStep is the time in which a limit at most doubles. Servers fill caches and
// compile kernels over seconds, so a limit that follows fast answers alone would
// outrun them.
const rampStep = 500 * time.Millisecond

// coldLongest is how long a server may be slow and still count as being in a cold
// start. After that it is a straggler and may be ejected.
const coldLongest = 30 * time.Second

// ramp is the cold-start state of one server. The zero value is a cold server that
// bears one call.
//
// Invariant: bound() <= max(1, warm); while ramping, the limit rises by at most one
// for each full round of good answers and at most doubles in each rampStep.
type ramp struct {
	warm, cold int  // declared limits
	limit      int  // current limit while ramping
	done       bool // ramp finished: the warm limit holds
	probing    bool // crashed or unreachable, and no answer since
	good       int  // good answers in this round
	stepAt     time.Duration
	stepBase   int           // limit at stepAt
	coldAt     time.Duration // last seen cold
	startAt    time.Duration // start of this ramp
}

// bound returns the calls in flight that the server takes now. A server that may
// still be down takes one, so that one call at a time meets the fault.
func (r *ramp) bound() int {
	if r.probing {
		return 1
	}
	if r.done {
		return max(1, r.warm)
	}
	return max(1, min(r.limit, r.warm))
}

// declare sets the declared limits. A server in a ramp stays in it.
func (r *ramp) declare(warm, cold int) {
	r.warm = max(1, warm)
	r.cold = min(max(1, cold), r.warm)
	r.limit = min(max(r.limit, r.cold), r.warm)
}

// turnCold puts the server at the start of its ramp.
func (r *ramp) turnCold(now time.Duration) {
	if r.done || r.startAt == 0 {
		r.startAt = now
	}
	r.done = false
	r.limit = max(1, r.cold)
	r.good = 0
	r.coldAt = now
	r.stepAt, r.stepBase = now, r.limit
}

// turnWarm ends the ramp on the word of a node that saw the server warm.
func (r *ramp) turnWarm() {
	r.done = true
	r.probing = false
}

// failed returns a ramping server to its cold limit. A warm server stays warm;
// ejection judges its failures.
func (r *ramp) failed(now time.Duration) {
	if !r.done {
		r.turnCold(now)
	}
}

// goodAnswer counts an answer at warm speed to a call granted at since. Calls
// granted before the server turned cold say nothing about its state after it.
func (r *ramp) goodAnswer(now, since time.Duration) {
	if since < r.coldAt {
		return
	}
	r.probing = false
	if r.done {
		return
	}
	r.good++
	if r.good < r.limit {
		return
	}
	if now-r.stepAt >= rampStep {
		r.stepAt, r.stepBase = now, r.limit
	}
	if r.limit >= 2*r.stepBase {
		return
	}
	r.limit++
	r.good = 0
	r.done = r.limit >= r.warm
}

// coldByTime reports whether a service time shows a cold server. factor 0 turns
// the check off; median 0 means that no answer was measured yet.
func coldByTime(service, median time.Duration, factor float64) bool {
	if factor <= 0 || median <= 0 {
		return false
	}
	return float64(service) > factor*float64(median)
}
