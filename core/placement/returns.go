package placement

// This file defines when refused requests are to return.

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minRetryAfter is the least RetryAfter of a refused request that can still wait.
	minRetryAfter = 200 * time.Millisecond
	// returnFraction is the part of the remaining time after which a request is to return at the latest.
	// Callers wait no longer.
	returnFraction = 1.0 / 3
	// returnSpread is the part of a RetryAfter over which callers who were refused together are spread.
	returnSpread = 0.5
	// patience is the remaining time from which on it makes little difference to the order of returns.
	patience = 6 * time.Second
)

// retryAfter returns the RetryAfter of a refused job: the time that the queues of its services take, or
// the latest that helps if that is sooner. If the queues take longer than the job can wait at all, none
// helps, and it is the time of the queues. Callers who were refused together are spread in the order of
// what an early return is worth to them.
func (h *Scheduler) retryAfter(j *job) time.Duration {
	now := h.Now()
	queues, part := h.queuesTime(j), j.returnOrder(now)
	d := queues + time.Duration(part*returnSpread*float64(queues))
	last := h.lastReturn(j, now)
	if latest := h.latestReturn(j, now); d > latest && queues < last {
		return latest - time.Duration((1-part)*returnSpread*float64(latest))
	}
	return d
}

// returnOrder returns the place of a job among those that were refused together, in [0, 1). Those that have
// little time left and those for which work was done tend to the front. Equals are told apart by their IDs.
func (j *job) returnOrder(now time.Time) float64 {
	power := 1 + patience.Seconds()/(patience+max(0, j.deadline.Sub(now))).Seconds()
	if j.begun() {
		power *= 2
	}
	return math.Pow(float64(xxhash.Sum64String(j.request.ID)>>11)/(1<<53), power)
}

// begun reports whether work was done for a job.
func (j *job) begun() bool {
	return slices.ContainsFunc(j.stages, func(s *jobStage) bool { return s.remaining < s.request.Tasks || s.inBatch > 0 })
}

// lastReturn returns the time after which a refused job could not meet its deadline even without queues.
func (h *Scheduler) lastReturn(j *job, now time.Time) time.Duration {
	return max(0, j.deadline.Sub(now)-h.returnTime(j))
}

// latestReturn returns the time after which it does not help a refused job any more to return: its caller
// does not wait so long, or it would miss its goal, or its deadline if the goal is missed anyway.
func (h *Scheduler) latestReturn(j *job, now time.Time) time.Duration {
	latest := min(time.Duration(returnFraction*float64(j.deadline.Sub(now))), h.lastReturn(j, now))
	if d := j.goal.Sub(now) - h.returnTime(j); d >= minRetryAfter {
		latest = min(latest, d)
	}
	return latest
}

// returnTime returns the time that a job needs when it returns, without queues.
func (h *Scheduler) returnTime(j *job) time.Duration {
	need := j.longestPath(j.ready, h.remainingTime) + j.grantToFirstEvent()
	return time.Duration(float64(need) / admitFraction)
}

// queuesTime returns the longest time that the queues of a job's services take.
func (h *Scheduler) queuesTime(j *job) time.Duration {
	d := minRetryAfter
	for _, s := range j.stages {
		d = max(d, h.queueTime(s.request.Service, j.rank.priority))
	}
	return d
}
