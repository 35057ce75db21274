package placement

// This file defines time estimates: how long the stages of a job take, whether a job can
// meet its deadline, and in which order queued tasks run.

import (
	"cmp"
	"slices"
	"time"
)

const (
	// firstEventBase is the assumed time from a grant to the first event of a model server,
	// without the time to read the prompt.
	firstEventBase = 120 * time.Millisecond
	// prefillPerToken is the time until the first event that is assumed for each token of a
	// request, of prompt and response.
	prefillPerToken = 30 * time.Microsecond
	// A request is admitted if its first event is expected within admitFraction of its
	// remaining time; the rest is for the response.
	admitFraction = 0.9
)

// batchTime returns the time that the servers of a service take for some tasks, without
// queueing.
func (h *Scheduler) batchTime(service string, tasks int) time.Duration {
	v := h.View()
	if v.Config == nil {
		return 0
	}
	s := v.Config.Services[service]
	if s == nil || s.Batching == nil || tasks == 0 {
		return 0
	}
	w := s.Batching
	servers, _ := h.serving(service)
	each := (tasks + servers - 1) / servers
	batches := (each + w.MaxBatch - 1) / max(1, w.MaxBatch)
	return time.Duration(batches)*w.BatchTime + time.Duration(min(each, w.MaxBatch))*w.TaskTime
}

// queueTime returns how long the servers of a service take for the queued tasks that are
// at least as urgent as a priority, from when one of them takes batches.
func (h *Scheduler) queueTime(service string, priority int) time.Duration {
	rate, wait := h.rate(service)
	q := h.pools[service]
	if rate == 0 || q == nil {
		return 0
	}
	return wait + time.Duration(float64(q.queue.ahead(priority))/rate*float64(time.Second))
}

// longestPath returns the longest time through the incomplete stages of a job, starting at
// those that pick accepts.
func (j *job) longestPath(pick func(*jobStage) bool, cost func(*jobStage) time.Duration) time.Duration {
	var d time.Duration
	for _, s := range j.stages {
		if s.remaining > 0 && pick(s) {
			d = max(d, cost(s)+j.longestPathAfter(s, cost))
		}
	}
	return d
}

// longestPathAfter returns the longest time through the stages that follow s.
func (j *job) longestPathAfter(s *jobStage, cost func(*jobStage) time.Duration) time.Duration {
	return j.longestPath(func(f *jobStage) bool { return slices.Contains(f.request.After, s.index) }, cost)
}

// grantToFirstEvent returns the expected time from a job's grant to its first event.
func (j *job) grantToFirstEvent() time.Duration {
	return firstEventBase + time.Duration(j.request.Tokens)*prefillPerToken
}

// singleTaskTime returns the time for one task of a stage, without queueing.
func (h *Scheduler) singleTaskTime(s *jobStage) time.Duration {
	return h.batchTime(s.request.Service, 1)
}

// remainingTime returns the time for the remaining tasks of a stage, without queueing.
func (h *Scheduler) remainingTime(s *jobStage) time.Duration {
	return h.batchTime(s.request.Service, s.remaining)
}

// queuedStageTime returns a function that gives the time for all tasks of a stage of j,
// including queueing.
func (h *Scheduler) queuedStageTime(j *job) func(*jobStage) time.Duration {
	return func(s *jobStage) time.Duration {
		return h.queueTime(s.request.Service, j.rank.priority) + h.batchTime(s.request.Service, s.request.Tasks)
	}
}

// minTime returns the remaining time below which a waiting job is refused: that of its
// longest chain of incomplete stages with one task each, or minGrantTime if that is longer.
func (h *Scheduler) minTime(j *job) time.Duration {
	return max(minGrantTime, j.longestPath(func(*jobStage) bool { return true }, h.singleTaskTime))
}

// admit sets the rank of a new job and reports whether its first event is expected in time;
// otherwise it returns the time after which a retry is worthwhile. Under overload, a job that would
// miss its goal is admitted as late if it is still expected to meet its deadline.
func (h *Scheduler) admit(j *job) (time.Duration, bool) {
	j.admittedLate = h.behindGoal(j, j.arrived)
	j.rank.late = j.admittedLate
	need := h.timeToFirstEvent(j)
	if j.admittedLate || j.judged {
		need = h.timeBehindBacklog(j, j.rank)
	}
	if float64(need) <= admitFraction*float64(j.request.Remaining) {
		return 0, true
	}
	return h.retryAfter(j), false
}

// missesDeadline reports whether a waiting job is expected to miss its deadline, even if only
// half of the tasks queued ahead of its ready stages run first, or half of the backlog of a job
// that was admitted as late or while shares were in force. For later stages all of them
// count.
func (h *Scheduler) missesDeadline(j *job, now time.Time) bool {
	if j.admittedLate {
		return now.Add(h.timeBehindBacklog(j, j.rank) / 2).After(j.deadline)
	}
	d := j.longestPath(j.ready, func(s *jobStage) time.Duration {
		w := h.queueTime(s.request.Service, j.rank.priority)
		if j.ready(s) {
			w /= 2
		}
		return w + h.batchTime(s.request.Service, s.request.Tasks)
	})
	d += firstEventBase
	if j.judged {
		d = min(d, h.timeBehindBacklog(j, j.rank)/2) // less urgent tasks may be queued ahead
	}
	return now.Add(d).After(j.deadline)
}

// timeToFirstEvent returns the expected time until a new job's first event.
func (h *Scheduler) timeToFirstEvent(j *job) time.Duration {
	first := func(s *jobStage) bool { return len(s.request.After) == 0 }
	return j.longestPath(first, h.queuedStageTime(j)) + j.grantToFirstEvent()
}

// pathTime returns the expected time through a stage and those that follow it.
func (h *Scheduler) pathTime(j *job, s *jobStage) time.Duration {
	cost := h.queuedStageTime(j)
	return cost(s) + j.longestPathAfter(s, cost)
}

// order is the position of a task in the queue: by rank, and within a rank the one with the least
// slack goes first.
type order struct {
	rank  rank
	slack time.Duration // time to spare until the goal; if late, time until the deadline
}

// lateReason returns the reason for which a job that cannot be in time is refused.
func (j *job) lateReason() string {
	if j.rank.over {
		return ReasonShare
	}
	return ReasonLate
}

// order returns the position of a task, and sets the rank of its job: it is late if it was admitted
// so, or cannot meet its goal any more even if nothing is ahead of it.
func (h *Scheduler) order(p *task, now time.Time) order {
	j := p.job
	need := h.batchTime(p.stage.request.Service, len(p.stage.tasks)) + j.longestPathAfter(p.stage, h.remainingTime) + j.grantToFirstEvent()
	slack := j.goal.Sub(now) - need
	j.rank.late = j.admittedLate || slack < 0
	if j.rank.late {
		slack = j.deadline.Sub(now)
	}
	return order{rank: j.rank, slack: slack}
}

func (a order) compare(b order) int {
	return cmp.Or(a.rank.compare(b.rank), cmp.Compare(a.slack, b.slack))
}
