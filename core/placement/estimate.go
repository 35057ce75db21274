package placement

// This file defines what the home expects of time: how long the stages of a job take,
// whether it can be in time, and in which order pieces are taken.

import (
	"cmp"
	"slices"
	"time"
)

const (
	// firstEvent is the usual time from a grant to the first event of a model server.
	firstEvent = 120 * time.Millisecond
	// readPerToken is the time in which a model server reads one token of a prompt.
	readPerToken = 30 * time.Microsecond
	// admitShare of the time limit is what the stages and the first event may take
	// for a request to be admitted; the rest is for the answer.
	admitShare = 0.9
	// retryMin and retryMax bound when a refused request may come back.
	retryMin = 200 * time.Millisecond
	retryMax = 3 * time.Second
)

// batchTime returns the time of a call with some pieces of a service.
func (h *Scheduler) batchTime(service string, pieces int) time.Duration {
	v := h.View()
	if v.Config == nil {
		return 0
	}
	s := v.Config.Services[service]
	if s == nil || s.Batching == nil || pieces == 0 {
		return 0
	}
	w := s.Batching
	servers := max(1, len(h.usableStageServers(h.pool(service))))
	each := (pieces + servers - 1) / servers
	calls := (each + w.MaxBatch - 1) / max(1, w.MaxBatch)
	return time.Duration(calls)*w.BatchTime + time.Duration(min(each, w.MaxBatch))*w.TaskTime
}

// wait returns how long the pieces that wait for a service take to be served, as far
// as they go before those of a rank.
func (h *Scheduler) wait(service string, rank int) time.Duration {
	v := h.View()
	q := h.pools[service]
	if v.Config == nil || q == nil {
		return 0
	}
	s := v.Config.Services[service]
	if s == nil || s.Batching == nil {
		return 0
	}
	w := s.Batching
	full := w.BatchTime + time.Duration(w.MaxBatch)*w.TaskTime
	rate := float64(w.MaxBatch) / float64(full) // pieces per nanosecond of one server
	n := max(1, len(h.usableStageServers(q)))
	before := 0
	for _, p := range q.waiting {
		if p.job.priority <= rank {
			before++
		}
	}
	return time.Duration(float64(before) / rate / float64(n))
}

// through returns the longest time through the stages of a job that are not made yet, from
// those that are picked on.
func (j *job) through(pick func(*jobStage) bool, cost func(*jobStage) time.Duration) time.Duration {
	var d time.Duration
	for _, s := range j.stages {
		if s.remaining > 0 && pick(s) {
			d = max(d, cost(s)+j.following(s, cost))
		}
	}
	return d
}

// following returns the longest time through the stages that follow one.
func (j *job) following(s *jobStage, cost func(*jobStage) time.Duration) time.Duration {
	return j.through(func(f *jobStage) bool { return slices.Contains(f.request.After, s.index) }, cost)
}

// model returns the time from a grant to the first event.
func (j *job) model() time.Duration {
	return firstEvent + time.Duration(j.request.Tokens)*readPerToken
}

// single is the cost of a stage of which one piece is left.
func (h *Scheduler) single(s *jobStage) time.Duration { return h.batchTime(s.request.Service, 1) }

// remainingTime is the cost of what is remainingTime of a stage, without waiting.
func (h *Scheduler) remainingTime(s *jobStage) time.Duration {
	return h.batchTime(s.request.Service, s.remaining)
}

// queued returns the cost of whole stages of a job with the waits for their services.
func (h *Scheduler) queued(j *job) func(*jobStage) time.Duration {
	return func(s *jobStage) time.Duration {
		return h.wait(s.request.Service, j.priority) + h.batchTime(s.request.Service, s.request.Tasks)
	}
}

// least returns the least time in which a job can have its first event.
func (h *Scheduler) least(j *job) time.Duration {
	return max(grantSlack, j.through(func(*jobStage) bool { return true }, h.single))
}

// backlog returns the longest wait of a job's services, as the time after which it is
// worth coming back.
func (h *Scheduler) backlog(j *job) time.Duration {
	d := retryMin
	for i := range j.request.Stages {
		d = max(d, h.wait(j.request.Stages[i].Service, j.priority))
	}
	return min(d, retryMax)
}

// admit reports whether a new job can have its first event within its time limit, and
// otherwise after which time it is worth coming back.
func (h *Scheduler) admit(j *job) (time.Duration, bool) {
	if float64(h.need(j)) <= admitShare*float64(j.request.Remaining) {
		return 0, true
	}
	return h.backlog(j), false
}

// missesLimit reports whether a job that waits is expected to miss its time limit, even if
// half of what waits for its services goes behind it.
func (h *Scheduler) missesLimit(j *job, now time.Time) bool {
	d := j.through(j.ready, func(s *jobStage) time.Duration {
		w := h.wait(s.request.Service, j.priority)
		if j.ready(s) {
			w /= 2
		}
		return w + h.batchTime(s.request.Service, s.request.Tasks)
	})
	return now.Add(d + firstEvent).After(j.limit)
}

// need returns the expected time until a new job's first event.
func (h *Scheduler) need(j *job) time.Duration {
	first := func(s *jobStage) bool { return len(s.request.After) == 0 }
	return j.through(first, h.queued(j)) + j.model()
}

// path returns the expected time from now through a stage and those that follow it.
func (h *Scheduler) path(j *job, s *jobStage) time.Duration {
	cost := h.queued(j)
	return cost(s) + j.following(s, cost)
}

// order says which of two pieces goes first: the more urgent rank; within it the one that
// can still meet its goal, then the one with the least time to spare.
type order struct {
	priority int
	late     int // 1: cannot meet its goal any more
	slack    time.Duration
}

// order returns the order of a piece.
func (h *Scheduler) order(p *task, now time.Time) order {
	j := p.job
	need := h.batchTime(p.stage.request.Service, len(p.stage.tasks)) + j.following(p.stage, h.remainingTime) + j.model()
	o := order{priority: j.priority, slack: j.goal.Sub(now) - need}
	if o.slack < 0 {
		o.late = 1
		o.slack = j.limit.Sub(now)
	}
	return o
}

func (a order) compare(b order) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.late, b.late), cmp.Compare(a.slack, b.slack))
}
