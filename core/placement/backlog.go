package placement

// This file defines the backlog of the stage services: the tasks that admitted jobs still need, and
// how long the servers take for them. Admission goes by it.
//
// It answers a wave of requests that exceeds what the stages can do. If all of them were let in,
// all would miss their goals one after the other, and the work on those that are given up at last
// would be wasted. So a job is admitted as timely only if it meets its goal behind the timely work
// that was admitted before it. Others use what timely work leaves over, and are refused at once if
// that is too little.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// shortInflow and longInflow are the time constants of the averages of the inflow of timely
	// tasks. The lower one counts: a moment's burst does not last, and the end of a wave
	// shows in the short one first.
	shortInflow = time.Second
	longInflow  = 4 * time.Second
	// A job is expected to meet its goal if its first event is expected within goalFraction of
	// the time until then. Above 1, as estimates assume that no batch has room left.
	goalFraction = 1.1
	// inflowErrors is the number of standard errors by which an average inflow must exceed a
	// bound.
	inflowErrors = 2
	// A service is overloaded if the long average of the inflow of all tasks exceeds
	// overloadShare of its rate, or if the short one does and the long one exceeds fullShare.
	overloadShare = 1.25
	fullShare     = 0.8
	// minSpareShare is the least share of a service's rate that jobs that are late are expected
	// to get.
	minSpareShare = 0.05
)

// rank is the class of a job in the order of work: the more urgent priority goes first, within it jobs
// within the share of their owner, and within those jobs that can meet their goal.
type rank struct {
	priority int
	over     bool // beyond the share of its organisation or route, see shares.go
	late     bool
}

// compare returns a negative number if work of rank r goes first, a positive one if that of rank o
// does, and 0 if they go together.
func (r rank) compare(o rank) int {
	return cmp.Or(cmp.Compare(r.priority, o.priority), compareBool(r.over, o.over), compareBool(r.late, o.late))
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// backlog counts the tasks of one service that admitted jobs still need and that are in no batch.
type backlog struct {
	tasks       map[rank]int
	short, long inflow // of timely tasks within the shares
	over        inflow // of timely tasks beyond them, over shortInflow
	// Of the tasks of all jobs, also of refused ones.
	offeredShort, offeredLong inflow
	shares                    shares
}

// add adds the tasks of an admitted job.
func (b *backlog) add(r rank, tasks int, now time.Time) {
	if b.tasks == nil {
		b.tasks = map[rank]int{}
	}
	b.tasks[r] += tasks
	switch {
	case r.late:
	case r.over:
		b.over.add(tasks, now, shortInflow)
	default:
		b.short.add(tasks, now, shortInflow)
		b.long.add(tasks, now, longInflow)
	}
}

// inflow counts the tasks of jobs, each weighted by its age.
type inflow struct {
	tasks     float64
	squares   float64 // of the numbers of tasks of the jobs
	decayedAt time.Time
}

func (i *inflow) add(tasks int, now time.Time, window time.Duration) {
	i.decay(now, window)
	i.tasks += float64(tasks)
	i.squares += float64(tasks * tasks)
}

// decay reduces the weight of earlier tasks.
func (i *inflow) decay(now time.Time, window time.Duration) {
	if d := now.Sub(i.decayedAt); d > 0 {
		w := math.Exp(-d.Seconds() / window.Seconds())
		i.tasks *= w
		i.squares *= w
		i.decayedAt = now
	}
}

// rate returns the average inflow in tasks a second.
func (i *inflow) rate(now time.Time, window time.Duration) float64 {
	i.decay(now, window)
	return i.tasks / window.Seconds()
}

// ahead returns the number of tasks that go before work of a rank.
func (b *backlog) ahead(r rank) int {
	n := 0
	for o, k := range b.tasks {
		if o.compare(r) <= 0 {
			n += k
		}
	}
	return n
}

// share returns the share of a service's rate, in tasks a second, that work of a rank gets beside
// the timely tasks that arrive meanwhile.
func (b *backlog) share(r rank, rate float64, now time.Time) float64 {
	if !r.late && !r.over {
		return 1
	}
	timely := b.short.rate(now, shortInflow)
	if !r.over {
		timely = min(timely, b.long.rate(now, longInflow))
	} else if r.late {
		timely += b.over.rate(now, shortInflow)
	}
	return max(minSpareShare, 1-timely/rate)
}

// certainRate returns the average inflow less its statistical error, which is large if few jobs
// arrive in a window.
func (i *inflow) certainRate(now time.Time, window time.Duration) float64 {
	r := i.rate(now, window)
	if i.tasks == 0 {
		return 0
	}
	variance := i.squares / i.tasks * r / (2 * window.Seconds())
	return r - inflowErrors*math.Sqrt(variance)
}

// backlog returns the backlog of a service.
func (h *Scheduler) backlog(service string) *backlog {
	b := h.backlogs[service]
	if b == nil {
		b = &backlog{}
		h.backlogs[service] = b
	}
	return b
}

// recount counts the backlogs anew.
func (h *Scheduler) recount() {
	for _, b := range h.backlogs {
		clear(b.tasks)
	}
	for _, j := range h.jobs {
		if j.granted != nil {
			continue
		}
		for _, s := range j.stages {
			if n := s.remaining - s.inBatch; n > 0 {
				b := h.backlog(s.request.Service)
				if b.tasks == nil {
					b.tasks = map[rank]int{}
				}
				b.tasks[j.rank] += n
			}
		}
	}
}

// offer counts the tasks of a job that was submitted, admitted or not.
func (h *Scheduler) offer(j *job, now time.Time) {
	for _, s := range j.stages {
		b := h.backlog(s.request.Service)
		b.offeredShort.add(s.remaining, now, shortInflow)
		b.offeredLong.add(s.remaining, now, longInflow)
		b.shares.offer(j.shareKey(), s.remaining, now)
	}
}

// overloaded reports whether clearly more is asked of one of the stages of a job than its servers
// can do. A short excess of a little is left to the queues, which order it better.
func (h *Scheduler) overloaded(j *job, now time.Time) bool {
	return slices.ContainsFunc(j.stages, func(s *jobStage) bool {
		short, long := h.offeredShares(s.request.Service, now)
		return long > overloadShare || short > overloadShare && long > fullShare
	})
}

// exceeded reports whether more is asked of a service than its servers can do, and the work that waits
// for it takes longer than shareQueue.
func (h *Scheduler) exceeded(service string, now time.Time) bool {
	short, long := h.offeredShares(service, now)
	if short <= 1 && long <= 1 {
		return false
	}
	rate, _ := h.rate(service)
	n := 0
	for _, k := range h.backlog(service).tasks {
		n += k
	}
	return float64(n) > rate*shareQueue.Seconds()
}

// offeredShares returns the averages of what is asked of a service over shortInflow and longInflow, as
// shares of its rate and less their errors.
func (h *Scheduler) offeredShares(service string, now time.Time) (short, long float64) {
	rate, _ := h.rate(service)
	if rate == 0 {
		return 0, 0
	}
	b := h.backlog(service)
	return b.offeredShort.certainRate(now, shortInflow) / rate, b.offeredLong.certainRate(now, longInflow) / rate
}

// commit adds an admitted job to the backlogs.
func (h *Scheduler) commit(j *job, now time.Time) {
	for _, s := range j.stages {
		h.backlog(s.request.Service).add(j.rank, s.remaining, now)
	}
}

// rate returns how many tasks a second the servers of a service do in full batches, 0 if the
// service runs no stages, and the time until one of them takes batches.
func (h *Scheduler) rate(service string) (rate float64, wait time.Duration) {
	v := h.View()
	if v.Config == nil {
		return 0, 0
	}
	s := v.Config.Services[service]
	if s == nil || s.Batching == nil {
		return 0, 0
	}
	w := s.Batching
	full := w.BatchTime + time.Duration(w.MaxBatch)*w.TaskTime
	n, wait := h.serving(service)
	return float64(n*w.MaxBatch) / full.Seconds(), wait
}

// backlogTime returns how long the servers of a service take for the backlog that goes before work
// of a rank, from when one of them takes batches.
func (h *Scheduler) backlogTime(service string, r rank) time.Duration {
	rate, wait := h.rate(service)
	if rate == 0 {
		return 0
	}
	b := h.backlog(service)
	n := float64(b.ahead(r))
	return wait + time.Duration(n/(rate*b.share(r, rate, h.Now()))*float64(time.Second))
}

// timeBehindBacklog returns the expected time until the first event of a waiting job behind the
// backlog that goes before a rank.
func (h *Scheduler) timeBehindBacklog(j *job, r rank) time.Duration {
	return j.grantToFirstEvent() + j.longestPath(j.ready, func(s *jobStage) time.Duration {
		return h.backlogTime(s.request.Service, r) + h.batchTime(s.request.Service, s.request.Tasks)
	})
}

// meetsGoal reports whether a waiting job is expected to meet its goal behind the timely backlog.
func (h *Scheduler) meetsGoal(j *job, now time.Time) bool {
	d := h.timeBehindBacklog(j, rank{priority: j.rank.priority, over: j.rank.over})
	return float64(d) <= goalFraction*float64(j.goal.Sub(now))
}

// behindGoal reports whether a waiting job has to go behind the timely ones.
func (h *Scheduler) behindGoal(j *job, now time.Time) bool {
	return (j.rank.over || h.overloaded(j, now)) && !h.meetsGoal(j, now)
}
