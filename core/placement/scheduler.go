package placement

// This file defines the home and the life of a job: an ask from its admission until
// its run has ended.

import (
	"maps"
	"slices"
	"time"

	"bergamotspring/core/relay"
)

const (
	// grantSlack is the time left below which a request is not worth granting.
	grantSlack = 30 * time.Millisecond
	// mostRemakes bounds how often pieces of one request are made again.
	mostRemakes = 4
	// startAhead is how much sooner than needed a large result is made that only the
	// model server needs.
	startAhead = 400 * time.Millisecond
	// keepGranted is how long a granted job is kept beyond its time limit, for a
	// node that never reports its end.
	keepGranted = 2 * time.Second
)

// Scheduler places the model requests of a region. Set the fields before first use. It is
// not safe for concurrent use.
//
// Invariants: the bytes that a stageServer has reserved are those of its pieces in calls
// and of its results that it has not confirmed as freed; a piece is in one pool's
// queue or in one call, not both.
type Scheduler struct {
	Now    func() time.Time
	View   func() *relay.View
	Region string
	// CountFirst counts a piece that is made for the first time at a service, TakeRetry takes
	// the right to make one again; nil: always.
	CountFirst func(service string)
	TakeRetry  func(service string) bool

	jobs         map[string]*job
	pools        map[string]*pool
	modelServers map[string]*modelServer
	batches      map[uint64]*batch
	releases     map[uint64]*releasing
	queries      map[uint64]*stageServer
	prompts      prompts
	fair         fair
	number       uint64
	work         Work
}

// job is a request from its ask until its run has ended.
type job struct {
	request     Request
	arrived     time.Time
	goal        time.Time
	limit       time.Time
	stages      []*jobStage
	domain      string // of the model server it is meant for
	remakes     int
	priority    int          // the ask's, or a more urgent one if its owners are starved
	counted     bool         // as served
	handingOver bool         // it moves to the next home once none of its pieces is in a call
	granted     *modelServer // set once granted
}

// jobStage is the progress of one stage of a job.
type jobStage struct {
	index     int
	request   *StageRequest
	tasks     []*task
	remaining int // pieces not made yet
	released  bool
	started   bool // its pieces are queued
}

// task is one task of one stage of a job.
type task struct {
	job         *job
	stage       *jobStage
	index       int // in its stage
	queued      time.Time
	stageServer *stageServer // in a call to it, or holding the result
	handle      string
}

// Take drains what has to be done since the last Take.
func (h *Scheduler) Take() Work {
	w := h.work
	h.work = Work{}
	return w
}

// Submit admits a request or refuses it.
func (h *Scheduler) Submit(a Request) {
	h.init()
	now := h.Now()
	if a.Retry && !a.InputLost && h.retry(a) {
		h.dispatch()
		return
	}
	h.forget(a.ID)
	j := &job{request: a, arrived: now, goal: now.Add(a.Goal), limit: now.Add(a.Remaining), priority: a.Priority}
	if h.fair.starved(a.owners()) {
		j.priority = starvedPriority
	}
	e := h.chooseModelServer(j)
	if e.modelServer == nil {
		h.refuse(j, ReasonNoServer, retryNoServer)
		return
	}
	j.domain = e.server.Domain
	for i := range a.Stages {
		j.stages = append(j.stages, &jobStage{index: i, request: &j.request.Stages[i], remaining: a.Stages[i].Tasks})
	}
	h.jobs[a.ID] = j
	h.adopt(j)
	if a.HasFallback && h.need(j) > a.Goal {
		h.refuse(j, ReasonBusy, 0)
		return
	}
	if w, ok := h.admit(j); !ok {
		h.refuse(j, ReasonLate, w)
		return
	}
	if a.Retry {
		j.remakes = 1
	}
	h.advance(j)
	h.dispatch()
}

func (h *Scheduler) init() {
	if h.jobs == nil {
		h.jobs = map[string]*job{}
		h.pools = map[string]*pool{}
		h.modelServers = map[string]*modelServer{}
		h.batches = map[uint64]*batch{}
		h.releases = map[uint64]*releasing{}
		h.queries = map[uint64]*stageServer{}
	}
}

// retry places a job whose model server did not run it at another one, with the results
// that it has, and reports whether it still had them.
func (h *Scheduler) retry(a Request) bool {
	j := h.jobs[a.ID]
	if j == nil || j.granted == nil {
		return false
	}
	for _, s := range j.stages {
		if s.released && len(s.tasks) > 0 && !j.followed(s.index) {
			return false
		}
	}
	j.request.Avoid, j.request.Attempt = a.Avoid, a.Attempt
	j.granted.running--
	j.granted.tokens -= j.request.Tokens
	j.granted = nil
	h.grant(j)
	return true
}

// Withdraw forgets a request that nobody waits for, unless it was asked for again.
func (h *Scheduler) Withdraw(id string, try int) {
	h.init()
	if j := h.jobs[id]; j != nil && j.request.Attempt <= try {
		if j.granted == nil {
			h.fair.count(j.request.owners(), false)
		}
		h.forget(id)
	}
	h.dispatch()
}

// forget drops a job and frees what it holds.
func (h *Scheduler) forget(id string) {
	j := h.jobs[id]
	if j == nil {
		return
	}
	delete(h.jobs, id)
	for _, s := range j.stages {
		h.release(s)
	}
	if j.granted != nil {
		j.granted.running--
		j.granted.tokens -= j.request.Tokens
	}
}

// release drops the queued pieces of a stage and frees its results.
func (h *Scheduler) release(s *jobStage) {
	if s.released {
		return
	}
	s.released = true
	for _, p := range s.tasks {
		h.pool(s.request.Service).remove(p)
		if p.handle != "" {
			p.stageServer.drop(p.handle, s.request.ResultBytes, h.Now())
		}
	}
}

// refuse answers an ask that gets no place.
func (h *Scheduler) refuse(j *job, reason string, after time.Duration) {
	if reason == ReasonLate || reason == ReasonFailed {
		h.fair.count(j.request.owners(), false)
	}
	h.work.Decisions = append(h.work.Decisions, Decision{ID: j.request.ID, Attempt: j.request.Attempt, Reason: reason, RetryAfter: after, Waited: h.Now().Sub(j.arrived)})
	h.forget(j.request.ID)
}

// advance queues the stages whose inputs are complete, and grants a job when all are.
func (h *Scheduler) advance(j *job) {
	for _, s := range j.stages {
		if !s.started && s.remaining > 0 && j.ready(s) && !h.early(j, s) {
			h.start(j, s)
		}
	}
	h.releaseInner(j)
	if j.complete() {
		h.grant(j)
	}
}

// complete reports whether all stages of a job are made.
func (j *job) complete() bool {
	return !slices.ContainsFunc(j.stages, func(s *jobStage) bool { return s.remaining > 0 })
}

// ready reports whether all results that a stage needs exist.
func (j *job) ready(s *jobStage) bool {
	for _, n := range s.request.After {
		if n >= 0 && n < len(j.stages) && j.stages[n].remaining > 0 {
			return false
		}
	}
	return true
}

// early reports whether the results of a stage would only wait for those of a longer
// chain of stages, taking room meanwhile.
func (h *Scheduler) early(j *job, s *jobStage) bool {
	if s.request.ResultBytes < localBytes || len(s.request.After) > 0 || j.followed(s.index) {
		return false
	}
	var chain time.Duration
	for _, f := range j.stages {
		if f != s && f.remaining > 0 {
			chain = max(chain, h.path(j, f))
		}
	}
	return chain > h.path(j, s)+startAhead
}

// start queues all pieces of a stage.
func (h *Scheduler) start(j *job, s *jobStage) {
	s.started = true
	q := h.pool(s.request.Service)
	for n := range s.request.Tasks {
		p := &task{job: j, stage: s, index: n, queued: h.Now()}
		s.tasks = append(s.tasks, p)
		if h.CountFirst != nil && j.remakes == 0 {
			h.CountFirst(s.request.Service)
		}
		q.waiting = append(q.waiting, p)
	}
}

// releaseInner frees the results of stages whose followers are all made.
func (h *Scheduler) releaseInner(j *job) {
	for n, s := range j.stages {
		if s.remaining > 0 || s.released {
			continue
		}
		last, followed := true, false
		for _, f := range j.stages {
			if slices.Contains(f.request.After, n) {
				followed = true
				last = last && f.remaining == 0
			}
		}
		if followed && last {
			h.release(s)
		}
	}
}

// leaves returns the handles of the stages that no other stage follows.
func (j *job) leaves() []string {
	var l []string
	for n, s := range j.stages {
		if !j.followed(n) {
			l = append(l, s.handles()...)
		}
	}
	return l
}

// followed reports whether another stage needs the results of a stage.
func (j *job) followed(n int) bool {
	return slices.ContainsFunc(j.stages, func(f *jobStage) bool { return slices.Contains(f.request.After, n) })
}

func (s *jobStage) handles() []string {
	l := make([]string, 0, len(s.tasks))
	for _, p := range s.tasks {
		l = append(l, p.handle)
	}
	return l
}

// grant answers a job whose stages are complete.
func (h *Scheduler) grant(j *job) {
	if j.granted != nil {
		return
	}
	if h.Now().Add(grantSlack).After(j.limit) {
		h.refuse(j, ReasonLate, h.backlog(j))
		return
	}
	e := h.chooseModelServer(j)
	if e.modelServer == nil {
		h.refuse(j, ReasonNoServer, retryNoServer)
		return
	}
	j.granted = e.modelServer
	if !j.counted {
		j.counted = true
		h.fair.count(j.request.owners(), true)
	}
	h.work.Decisions = append(h.work.Decisions, Decision{
		ID: j.request.ID, Attempt: j.request.Attempt, Server: *e.server, Inputs: j.leaves(), KVSource: h.fetch(j, e.modelServer), Waited: h.Now().Sub(j.arrived),
		Running: e.running, Candidates: e.candidates, Load: e.load(), Mean: e.mean,
	})
	e.take(h.Now(), j.request.Tokens)
}

// OnReport takes a node's report on a granted request.
func (h *Scheduler) OnReport(r Report) {
	h.init()
	if e := h.modelServers[r.Server]; e != nil {
		e.saw(h.Now(), r.Status)
	}
	j := h.jobs[r.ID]
	if j == nil || j.request.Attempt != r.Attempt {
		return
	}
	switch r.Status {
	case RunStarted:
		h.prompts.read(j.request.Segments, r.Server, h.Now())
		for _, s := range j.stages {
			h.release(s)
		}
	case RunRejected, RunNotSent:
		// The node asks again, or withdraws.
	default:
		h.forget(r.ID)
	}
	h.dispatch()
}

// Tick refuses what cannot be in time any more, ends what was forgotten by its node,
// and fills calls. It is to be called every few tens of milliseconds.
func (h *Scheduler) Tick() {
	h.init()
	now := h.Now()
	for _, id := range slices.Sorted(maps.Keys(h.jobs)) {
		j := h.jobs[id]
		switch {
		case j.granted != nil && now.After(j.limit.Add(keepGranted)):
			h.forget(id)
		case j.granted == nil && (now.Add(h.least(j)).After(j.limit) || h.missesLimit(j, now)):
			h.refuse(j, ReasonLate, h.backlog(j))
		case j.granted == nil && !j.handingOver:
			h.advance(j)
		}
	}
	h.prune()
	h.prompts.prune(now)
	h.fair.decay(now)
	h.dispatch()
}
