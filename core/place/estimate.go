package place

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

// callTime returns the time of a call with some pieces of a service.
func (h *Home) callTime(service string, pieces int) time.Duration {
	v := h.View()
	if v.Config == nil {
		return 0
	}
	s := v.Config.Services[service]
	if s == nil || s.Pieces == nil || pieces == 0 {
		return 0
	}
	w := s.Pieces
	servers := max(1, len(h.workers(h.pool(service))))
	each := (pieces + servers - 1) / servers
	calls := (each + w.Batch - 1) / max(1, w.Batch)
	return time.Duration(calls)*w.CallTime + time.Duration(min(each, w.Batch))*w.PieceTime
}

// wait returns how long the pieces that wait for a service take to be served, as far
// as they go before those of a rank.
func (h *Home) wait(service string, rank int) time.Duration {
	v := h.View()
	q := h.pools[service]
	if v.Config == nil || q == nil {
		return 0
	}
	s := v.Config.Services[service]
	if s == nil || s.Pieces == nil {
		return 0
	}
	w := s.Pieces
	full := w.CallTime + time.Duration(w.Batch)*w.PieceTime
	rate := float64(w.Batch) / float64(full) // pieces per nanosecond of one server
	n := max(1, len(h.workers(q)))
	before := 0
	for _, p := range q.waiting {
		if p.job.rank <= rank {
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
		if s.left > 0 && pick(s) {
			d = max(d, cost(s)+j.following(s, cost))
		}
	}
	return d
}

// following returns the longest time through the stages that follow one.
func (j *job) following(s *jobStage, cost func(*jobStage) time.Duration) time.Duration {
	return j.through(func(f *jobStage) bool { return slices.Contains(f.ask.After, s.index) }, cost)
}

// model returns the time from a grant to the first event.
func (j *job) model() time.Duration {
	return firstEvent + time.Duration(j.ask.Tokens)*readPerToken
}

// single is the cost of a stage of which one piece is left.
func (h *Home) single(s *jobStage) time.Duration { return h.callTime(s.ask.Service, 1) }

// left is the cost of what is left of a stage, without waiting.
func (h *Home) left(s *jobStage) time.Duration { return h.callTime(s.ask.Service, s.left) }

// queued returns the cost of whole stages of a job with the waits for their services.
func (h *Home) queued(j *job) func(*jobStage) time.Duration {
	return func(s *jobStage) time.Duration {
		return h.wait(s.ask.Service, j.rank) + h.callTime(s.ask.Service, s.ask.Pieces)
	}
}

// least returns the least time in which a job can have its first event.
func (h *Home) least(j *job) time.Duration {
	return max(grantSlack, j.through(func(*jobStage) bool { return true }, h.single))
}

// backlog returns the longest wait of a job's services, as the time after which it is
// worth coming back.
func (h *Home) backlog(j *job) time.Duration {
	d := retryMin
	for i := range j.ask.Stages {
		d = max(d, h.wait(j.ask.Stages[i].Service, j.rank))
	}
	return min(d, retryMax)
}

// admit reports whether a new job can have its first event within its time limit, and
// otherwise after which time it is worth coming back.
func (h *Home) admit(j *job) (time.Duration, bool) {
	if float64(h.need(j)) <= admitShare*float64(j.ask.Left) {
		return 0, true
	}
	return h.backlog(j), false
}

// missesLimit reports whether a job that waits is expected to miss its time limit, even if
// half of what waits for its services goes behind it.
func (h *Home) missesLimit(j *job, now time.Time) bool {
	d := j.through(j.ready, func(s *jobStage) time.Duration {
		w := h.wait(s.ask.Service, j.rank)
		if j.ready(s) {
			w /= 2
		}
		return w + h.callTime(s.ask.Service, s.ask.Pieces)
	})
	return now.Add(d + firstEvent).After(j.limit)
}

// need returns the expected time until a new job's first event.
func (h *Home) need(j *job) time.Duration {
	first := func(s *jobStage) bool { return len(s.ask.After) == 0 }
	return j.through(first, h.queued(j)) + j.model()
}

// path returns the expected time from now through a stage and those that follow it.
func (h *Home) path(j *job, s *jobStage) time.Duration {
	cost := h.queued(j)
	return cost(s) + j.following(s, cost)
}

// order says which of two pieces goes first: the more urgent rank; within it the one that
// can still meet its goal, then the one with the least time to spare.
type order struct {
	rank  int
	late  int // 1: cannot meet its goal any more
	slack time.Duration
}

// order returns the order of a piece.
func (h *Home) order(p *piece, now time.Time) order {
	j := p.job
	need := h.callTime(p.stage.ask.Service, len(p.stage.pieces)) + j.following(p.stage, h.left) + j.model()
	o := order{rank: j.rank, slack: j.goal.Sub(now) - need}
	if o.slack < 0 {
		o.late = 1
		o.slack = j.limit.Sub(now)
	}
	return o
}

func (a order) compare(b order) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.late, b.late), cmp.Compare(a.slack, b.slack))
}
