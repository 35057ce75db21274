package limit

import "time"

// This file keeps a cold server from getting more work than it can handle:
// ramp.currentLimit is the only source of a server's current limit, and
// Limiter.hasFreeSlot compares it with the calls in flight before every grant but those
// to suspects, which get a server without calls. See docs/decisions/002-cold-start-ramp.md.

// rampStep is the time in which a limit at most doubles. Servers fill caches and
// compile kernels over seconds, so a limit that depends on fast responses alone would
// rise faster than their capacity.
const rampStep = 500 * time.Millisecond

// maxColdStart is how long a slow server is treated as being in a cold start. After
// that it is a straggler and may be ejected.
const maxColdStart = 30 * time.Second

// ramp is the cold-start state of one server. The zero value is a cold server with a
// limit of one call.
//
// Invariant: currentLimit() <= max(1, warmLimit); while ramping, the limit rises by one once
// as many good responses came as the limit allows calls, and at most doubles in each
// rampStep. A new declaration may also raise it, to the cold limit.
type ramp struct {
	warmLimit, coldLimit int           // declared limits
	limit                int           // current limit while ramping
	done                 bool          // ramp finished: the warm limit holds
	probing              bool          // crashed or unreachable, and no response since
	good                 int           // good responses since the limit last rose or the ramp restarted
	stepAt               time.Duration // start of the present step, see rampStep
	stepBase             int           // limit at stepAt
	restartedAt          time.Duration // last restart of the ramp
	startAt              time.Duration // when the server was first marked cold since it was last warm
}

// currentLimit returns how many calls may be in flight on the server now. For a server
// that may still be down it is one, so that only one call at a time can hit the fault.
func (r *ramp) currentLimit() int {
	if r.probing {
		return 1
	}
	if r.done {
		return max(1, r.warmLimit)
	}
	return max(1, min(r.limit, r.warmLimit))
}

// setLimits sets the declared limits. It does not end a ramp.
func (r *ramp) setLimits(warm, cold int) {
	r.warmLimit = max(1, warm)
	r.coldLimit = min(max(1, cold), r.warmLimit)
	r.limit = min(max(r.limit, r.coldLimit), r.warmLimit)
}

// markCold restarts the ramp at the cold limit.
func (r *ramp) markCold(now time.Duration) {
	if r.done || r.startAt == 0 {
		r.startAt = now
	}
	r.done = false
	r.limit = max(1, r.coldLimit)
	r.good = 0
	r.restartedAt = now
	r.stepAt, r.stepBase = now, r.limit
}

// markWarm ends the ramp because a node observed the server warm.
func (r *ramp) markWarm() {
	r.done = true
	r.probing = false
}

// onFailure returns a ramping server to its cold limit. A warm server stays warm;
// ejectIfOutlier decides whether its failures eject it.
func (r *ramp) onFailure(now time.Duration) {
	if !r.done {
		r.markCold(now)
	}
}

// onGoodResponse counts a response at warm speed to a call granted at since. Calls
// granted before the server was marked cold are no evidence of its state after that.
func (r *ramp) onGoodResponse(now, since time.Duration) {
	if since < r.restartedAt {
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
	r.done = r.limit >= r.warmLimit
}

// coldByTime reports whether a service time indicates a cold server. factor 0 disables
// the check; median 0 means that no service time was measured yet.
func coldByTime(service, median time.Duration, factor float64) bool {
	if factor <= 0 || median <= 0 {
		return false
	}
	return float64(service) > factor*float64(median)
}
