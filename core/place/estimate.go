package place

// This file defines what the home expects of time: how long the stages of a job take,
// whether it can be in time, and in which order pieces are taken.

import (
	"cmp"
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
		if p.job.ask.Rank <= rank {
			before++
		}
	}
	return time.Duration(float64(before) / rate / float64(n))
}

// after returns the time that a job needs from the end of a stage on.
func (h *Home) after(j *job, n int) time.Duration {
	var d time.Duration
	for i, s := range j.stages {
		for _, a := range s.ask.After {
			if a == n && s.left > 0 {
				d = max(d, h.callTime(s.ask.Service, s.left)+h.after(j, i))
			}
		}
	}
	if d > 0 {
		return d
	}
	return j.model()
}

// model returns the time from a grant to the first event.
func (j *job) model() time.Duration {
	return firstEvent + time.Duration(j.ask.Tokens)*readPerToken
}

// least returns the least time in which a job can have its first event.
func (h *Home) least(j *job) time.Duration {
	d := grantSlack
	for i, s := range j.stages {
		if s.left > 0 {
			d = max(d, h.callTime(s.ask.Service, 1)+h.leastAfter(j, i))
		}
	}
	return d
}

// leastAfter is after with single pieces and without the model's time.
func (h *Home) leastAfter(j *job, n int) time.Duration {
	var d time.Duration
	for i, s := range j.stages {
		for _, a := range s.ask.After {
			if a == n && s.left > 0 {
				d = max(d, h.callTime(s.ask.Service, 1)+h.leastAfter(j, i))
			}
		}
	}
	return d
}

// backlog returns the longest wait of a job's services, as the time after which it is
// worth coming back.
func (h *Home) backlog(j *job) time.Duration {
	d := retryMin
	for i := range j.ask.Stages {
		d = max(d, h.wait(j.ask.Stages[i].Service, j.ask.Rank))
	}
	return min(d, retryMax)
}

// admit reports whether a job can have its first event within its time limit, and
// otherwise after which time it is worth coming back.
func (h *Home) admit(j *job) (time.Duration, bool) {
	if d := h.need(j); float64(d) <= admitShare*float64(j.ask.Left) {
		return 0, true
	}
	return h.backlog(j), false
}

// missesLimit reports whether a job that waits is expected to miss its time limit, even if
// half of what waits for its services goes behind it.
func (h *Home) missesLimit(j *job, now time.Time) bool {
	var d time.Duration
	for i, s := range j.stages {
		if s.left > 0 && j.ready(s) {
			d = max(d, h.path(j, i)-h.wait(s.ask.Service, j.ask.Rank)/2)
		}
	}
	return now.Add(d + firstEvent).After(j.limit)
}

// need returns the expected time until a new job's first event.
func (h *Home) need(j *job) time.Duration {
	var d time.Duration
	for i, s := range j.stages {
		if len(s.ask.After) == 0 && s.left > 0 {
			d = max(d, h.path(j, i))
		}
	}
	return d + j.model()
}

// path returns the expected time from now through a stage and the longest chain of
// stages that follow it.
func (h *Home) path(j *job, n int) time.Duration {
	s := j.stages[n]
	d := h.wait(s.ask.Service, j.ask.Rank) + h.callTime(s.ask.Service, s.ask.Pieces)
	var f time.Duration
	for i, t := range j.stages {
		for _, a := range t.ask.After {
			if a == n && t.left > 0 {
				f = max(f, h.path(j, i))
			}
		}
	}
	return d + f
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
	need := h.callTime(p.stage.ask.Service, len(p.stage.pieces)) + h.after(j, p.stage.index)
	o := order{rank: j.ask.Rank, slack: j.goal.Sub(now) - need}
	if o.slack < 0 {
		o.late = 1
		o.slack = j.limit.Sub(now)
	}
	return o
}

func (a order) compare(b order) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.late, b.late), cmp.Compare(a.slack, b.slack))
}
