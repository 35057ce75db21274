package rollout

// This file defines Moving: all new requests go to the new version in steps, until nothing is in flight
// at old servers.

import (
	"fmt"
	"time"
)

const (
	// unlimited is an allowance that only time ends.
	unlimited = 1 << 40
	// enoughCapacity is the capacity of the new servers, relative to that of the old ones, with which they
	// may get everything; lastCapacity is that when no time is left to wait for more servers.
	enoughCapacity = 0.99
	lastCapacity   = 0.7
)

// startMoving begins the first step once the store has the state, so that the next decider goes on.
func (r *rollout) startMoving(now time.Time) {
	if r.rec.State == Moving && r.row.stored != nil && r.row.stored.State == Moving && r.step == 0 {
		r.step, r.stepSince = max(r.rec.Step, 1), now
	}
}

// move goes on with Moving.
func (r *rollout) move(now time.Time, s schedule) {
	at := r.storeTime(now)
	late := at >= s.limit
	switch {
	case r.step == 0:
	case r.step < allSteps:
		r.advance(now, at, s)
	case r.drained(now, late) && !r.verdict.unclear && (late || len(r.evidence.wanted()) == 0):
		r.end(Completed, "", now)
	}
}

// advance begins the next step when it is due. A suspect version is held back as long as the test may be: for
// one step in all.
func (r *rollout) advance(now time.Time, at time.Duration, s schedule) {
	late := at >= s.limit
	capacity := r.capacity()
	enough := capacity >= enoughCapacity || capacity >= lastCapacity && at >= s.limit-s.step-minDrain
	switch {
	case late && !enough:
		r.end(RolledBack, fmt.Sprintf("at the time limit the new servers have %.2f of the old ones' capacity", capacity), now)
		return
	case late && r.verdict.unclear:
		r.end(RolledBack, "at the time limit too few new servers have evidence to judge a suspected fault", now)
		return
	}
	held := r.verdict.unclear || r.verdict.suspect && at < s.testEnd+time.Duration(r.step+1)*s.step
	if held || !late && now.Sub(r.stepSince) < s.step || !r.followed(now) || r.step+1 == allSteps && !enough {
		return
	}
	r.step, r.stepSince = r.step+1, now
	r.rec.Step = r.step
	r.row.dirty = true
	r.log(fmt.Sprintf("moving: step %d of %d", r.step, allSteps))
}

// moveShare returns the share of the new version in the present step.
func (r *rollout) moveShare() float64 {
	if r.step == allSteps {
		return 1
	}
	return min(stepShares[r.step-1], r.capacity())
}

// capacity returns that of the warm new servers relative to that of the old ones.
func (r *rollout) capacity() float64 {
	old, warm := 0.0, 0.0
	for _, s := range r.servers {
		c := s.Capacity
		if c <= 0 {
			c = 1
		}
		switch {
		case s.Version != r.order.To:
			old += c
		case !s.Cold:
			warm += c
		}
	}
	if old == 0 && warm > 0 {
		return 1
	}
	return warm / max(old, 1e-9)
}

// followed reports whether all nodes that respond follow the present step.
func (r *rollout) followed(now time.Time) bool {
	for _, m := range r.latest() {
		if !r.silent(m, now) && m.step < r.step {
			return false
		}
	}
	return true
}

// drained reports whether nothing is in flight at old servers, and nothing can begin there. Silent nodes
// are waited for until it is late.
func (r *rollout) drained(now time.Time, late bool) bool {
	l := r.latest()
	responding := 0
	for _, m := range l {
		if r.silent(m, now) {
			continue
		}
		responding++
		if m.step < allSteps || m.oldInFlight > 0 {
			return false
		}
	}
	if responding == 0 {
		return false
	}
	return late || responding == len(l) && r.silentNodes(now) == 0
}
