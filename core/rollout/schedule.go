package rollout

// This file defines when the phases of a rollout begin and end, by the clock of the store.

import "time"

const (
	// Before the time limit there is a margin of a tenth of the duration within these bounds: a decider
	// learns of an order, and the operator of its end, by reading the store.
	minMargin = time.Second
	maxMargin = 3 * time.Second
	// minStep is the least time of a step of Moving: reports of both versions under the new load.
	minStep = 600 * time.Millisecond
	// minDrain is the least time that is planned for requests in flight at old servers.
	minDrain = 500 * time.Millisecond
	// minTest is the least time in which reports, allowances and responses give any evidence.
	minTest = time.Second
	// writeTime is planned for each write to the store.
	writeTime = 150 * time.Millisecond
)

// stepShares are the shares of the new version in the steps of Moving. All but the last leave a control
// group on the old version.
var stepShares = [...]float64{0.25, 0.85, 1}

const allSteps = len(stepShares)

// schedule is when the phases of an order end.
type schedule struct {
	testEnd time.Duration // Moving begins
	step    time.Duration // of Moving, at least
	limit   time.Duration // the last time to complete
	short   bool          // there is no time for a test
}

// plan makes the schedule of an order that was opened at a time. slowest is how long old requests take.
func plan(opened, duration, interval, slowest time.Duration) schedule {
	s := schedule{limit: opened + duration - min(max(duration/10, minMargin), maxMargin)}
	s.step = min(max(duration/15, minStep, interval*5/2), 5*time.Second)
	drain := min(max(slowest, minDrain), max(duration/3, minDrain)) + 2*interval
	s.testEnd = s.limit - time.Duration(allSteps-1)*s.step - drain - 2*writeTime
	s.short = s.testEnd-opened < minTest
	return s
}
