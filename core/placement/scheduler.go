package placement

// This file defines the scheduler and the life cycle of a job: a request from its
// submission until its run has ended.

import (
	"maps"
	"slices"
	"time"

	"bergamotspring/core/relay"
)

const (
	// minGrantTime is the remaining time below which a request is not granted.
	minGrantTime = 30 * time.Millisecond
	// maxTaskRetries bounds the retries of a job: tasks run again and restarts of its
	// stages.
	maxTaskRetries = 4
	// earlyStartMargin is how much earlier than needed a large result that only the model
	// server uses is computed.
	earlyStartMargin = 400 * time.Millisecond
	// grantRetention is how long a granted job is kept beyond its deadline, for a node
	// that never reports its end.
	grantRetention = 2 * time.Second
)

// Scheduler places the model requests of a region. Set the fields before first use. It is
// not safe for concurrent use.
//
// Invariants: the bytes reserved at a stageServer are those of its tasks in batches and
// of its results whose release is neither confirmed nor past its TTL; a task is in one
// pool's queue or in one batch, not both.
type Scheduler struct {
	Now    func() time.Time
	View   func() *relay.View
	Region string
	// Absent reports whether a service without servers is known to get none back soon; nil: never.
	Absent func(service string) bool
	// CountFirst counts a task that is queued for the first time at a service; TakeRetry
	// takes one retry from the budget of a service and reports whether it was allowed.
	// Nil: not counted, and always allowed.
	CountFirst func(service string)
	TakeRetry  func(service string) bool
	// Rollouts restricts the versions of stage servers; nil: any version gets tasks.
	Rollouts *Rollouts
	// StartedLately reports whether a process of a stage server may have started less than ReadTime ago. Such a one gets its
	// first batch after an Inquiry. Nil: there are no other coordinators, and no inquiries. Coordinates, needed with it, reports
	// whether this is the coordinator of its region.
	StartedLately func(p relay.Process) bool
	Coordinates   func() bool
	// Shares says that organisations and routes have shares of contended services, see shares.go.
	Shares bool
	// Weight returns the weight of an organisation in the shares of a contended service, or that of one
	// of its routes among them if route is not empty. Nil: all have the same.
	Weight func(organisation, route string) float64

	jobs         map[Key]*job
	pools        map[string]*stagePool
	occupants    map[string][]*stageServer // by address: processes of stage servers, also ended ones; see occupants.go
	modelServers map[string]*modelServer
	models       map[string]*model // by service
	waiting      []*job            // for the memory of a model server; some may have ended
	batches      map[uint64]*batch
	releases     map[uint64]*pendingRelease
	queries      map[uint64]*stageServer
	inquiries    map[uint64][]Maker
	proofs       map[Maker]*proof
	proven       scope               // in which no process needs a proof
	states       int                 // number of stageServers that were created
	backlogs     map[string]*backlog // by service
	segments     segmentIndex
	fairness     fairness
	early        []earlyRequest  // in the order in which they came
	costs        []time.Duration // of the last choice, to be used again
	lastNumber   uint64
	work         Work
}

// Take returns the work collected since the last Take and clears it.
func (h *Scheduler) Take() Work {
	w := h.work
	h.work = Work{}
	return w
}

// Submit admits a request or refuses it.
func (h *Scheduler) Submit(a Request) {
	h.init()
	now := h.Now()
	if h.View().Config == nil {
		h.submitBeforeConfiguration(a)
		return
	}
	if a.Retry && h.resubmit(a) {
		h.dispatch()
		return
	}
	h.forget(a.Key)
	j := &job{request: a, arrived: now, goal: now.Add(a.Goal), deadline: now.Add(a.Remaining), rank: rank{priority: a.Priority}}
	if a.lacksInputs() {
		h.refuse(j, ReasonNoInputs, 0)
		return
	}
	if h.fairness.starved(a.fairnessKeys(), fairMinRatio) {
		j.rank.priority = starvedPriority
	}
	e := h.chooseModelServer(j, false)
	if e.modelServer == nil {
		h.refuse(j, ReasonNoServer, noServerRetryAfter)
		return
	}
	j.domain = e.server.Domain
	for i := range a.Stages {
		j.stages = append(j.stages, &jobStage{index: i, request: &j.request.Stages[i], remaining: a.Stages[i].Tasks})
	}
	h.jobs[a.Key] = j
	h.adoptProgress(j)
	h.adoptInBatches(j)
	if h.lacksStageServers(j) {
		h.refuse(j, ReasonNoServer, noServerRetryAfter)
		return
	}
	if a.HasFallback && h.timeToFirstEvent(j) > a.Goal {
		h.refuse(j, ReasonBusy, 0)
		return
	}
	h.offer(j, now) // not before: it is submitted again if no other region takes it
	h.judge(j, 0, now)
	if w, ok := h.admit(j); !ok {
		h.refuse(j, j.lateReason(), w)
		return
	}
	if h.lacksMemory(j) {
		return
	}
	if a.Retry {
		j.taskRetries = 1 // its tasks were queued before: they are not counted by CountFirst
	}
	h.commit(j, now)
	h.advance(j)
	h.dispatch()
}

// resubmit takes account of a retry, and reports whether it was granted to another server with the results that exist.
func (h *Scheduler) resubmit(a Request) bool {
	if j := h.jobs[a.Key]; j != nil {
		j.reads.end(reader{run: a.Key})
	}
	return !a.InputLost && h.regrant(a)
}

func (h *Scheduler) init() {
	if h.jobs == nil {
		h.backlogs = map[string]*backlog{}
		h.jobs = map[Key]*job{}
		h.pools = map[string]*stagePool{}
		h.occupants = map[string][]*stageServer{}
		h.modelServers = map[string]*modelServer{}
		h.models = map[string]*model{}
		h.batches = map[uint64]*batch{}
		h.releases = map[uint64]*pendingRelease{}
		h.queries = map[uint64]*stageServer{}
		h.inquiries = map[uint64][]Maker{}
		h.proofs = map[Maker]*proof{}
	}
}

// regrant grants a job that its model server did not run to another one, with the stored
// results, and reports whether the job and its results still exist.
func (h *Scheduler) regrant(a Request) bool {
	j := h.jobs[a.Key]
	if j == nil || j.granted == nil || !j.request.isRetriedBy(&a) {
		return false
	}
	for _, s := range j.stages {
		if !j.hasFollower(s.index) && (s.released && len(s.tasks) > 0 || s.lost()) {
			return false
		}
	}
	j.request.Avoid, j.request.Attempt = a.Avoid, a.Attempt
	j.request.Rule, j.request.AnyVersion = a.Rule, a.AnyVersion
	h.endGrant(j)
	h.grant(j)
	return true
}

// Withdraw drops a request whose caller no longer waits, unless a later attempt of it was
// submitted.
func (h *Scheduler) Withdraw(k Key, attempt int) {
	h.init()
	h.dropEarly(k, attempt)
	if j := h.jobs[k]; j != nil && j.request.Attempt <= attempt {
		if j.granted == nil {
			h.fairness.count(j.request.fairnessKeys(), false)
		}
		h.forget(k)
	}
	h.dispatch()
}

// forget removes a job and releases what it holds.
func (h *Scheduler) forget(k Key) {
	j := h.jobs[k]
	if j == nil {
		return
	}
	delete(h.jobs, k)
	for _, s := range j.stages {
		h.release(s)
	}
	h.endGrant(j)
}

// release removes the tasks of a stage from the queue and releases its results.
func (h *Scheduler) release(s *jobStage) {
	if s.released {
		return
	}
	s.released = true
	for _, p := range s.tasks {
		h.pool(s.request.Service).queue.remove(p)
		if p.handle != "" {
			p.stageServer.queueRelease(p.handle, s.request.ResultBytes, h.Now())
		}
	}
}

// refuse ends a job with a refusal.
func (h *Scheduler) refuse(j *job, reason string, after time.Duration) {
	if reason == ReasonLate || reason == ReasonShare || reason == ReasonFailed {
		h.fairness.count(j.request.fairnessKeys(), false)
	}
	h.work.Decisions = append(h.work.Decisions, Decision{Key: j.request.Key, Attempt: j.request.Attempt, Reason: reason, RetryAfter: after, Waited: h.Now().Sub(j.arrived), OverShare: j.rank.over})
	h.forget(j.request.Key)
}

// advance queues the stages whose inputs exist, unless it is too early for them, releases
// results that are no longer needed, and grants the job once all its results exist. If one has to be
// made from released results, all stages are run again.
func (h *Scheduler) advance(j *job) {
	if j.needsReleased() {
		h.restartStages(j)
		return
	}
	for _, s := range j.stages {
		if !s.started && s.remaining > 0 && j.ready(s) && !h.tooEarly(j, s) {
			h.start(j, s)
		}
	}
	h.releaseConsumed(j)
	if j.complete() {
		h.grant(j)
	}
}

// tooEarly reports whether the results of a stage would only wait for those of a longer
// chain of stages and occupy capacity meanwhile.
func (h *Scheduler) tooEarly(j *job, s *jobStage) bool {
	if s.request.ResultBytes < localResultBytes || len(s.request.After) > 0 || j.hasFollower(s.index) {
		return false
	}
	var chain time.Duration
	for _, f := range j.stages {
		if f != s && f.remaining > 0 {
			chain = max(chain, h.pathTime(j, f))
		}
	}
	return chain > h.pathTime(j, s)+earlyStartMargin
}

// start queues all tasks of a stage.
func (h *Scheduler) start(j *job, s *jobStage) {
	s.started = true
	q := h.pool(s.request.Service)
	for n := range s.request.Tasks {
		p := &task{job: j, stage: s, index: n, queuedAt: h.Now()}
		s.tasks = append(s.tasks, p)
		if h.CountFirst != nil && j.taskRetries == 0 {
			h.CountFirst(s.request.Service)
		}
		q.queue.push(p)
	}
}

// releaseConsumed releases the results of stages whose followers are all complete.
func (h *Scheduler) releaseConsumed(j *job) {
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

// OnReport handles a node's report on a request. One that names a server that was not granted is about another request.
func (h *Scheduler) OnReport(r Report) {
	h.init()
	if e := h.modelServers[r.Server]; e != nil {
		e.observe(h.Now(), r)
	}
	j := h.jobs[r.Key]
	if j == nil || j.request.Attempt != r.Attempt || r.Server != "" && !j.isGranted(r.Server) {
		return
	}
	if r.Status != RunConnectionLost && r.Status != RunAbandoned {
		j.reads.end(reader{run: r.Key}) // it has read its inputs, or never will
	}
	if j.granted != nil {
		h.observeRun(j, r)
	}
	switch r.Status {
	case RunStarted:
		h.segments.add(j.request.Segments, r.Server, h.Now())
		if len(j.request.Regions) == 0 {
			h.segments.announce(j.request.Segments, r.Server, h.Now())
		}
		for _, s := range j.stages {
			h.release(s)
		}
	case RunRejected, RunNotSent:
		// The node submits the request again, or withdraws it.
	default:
		h.forget(r.Key)
	}
	h.grantWaiting()
	h.dispatch()
}

// Tick refuses requests that cannot meet their deadline any more, drops granted jobs whose
// end was never reported, starts stages that were too early before, grants complete jobs,
// and dispatches batches. It must be called every few tens of milliseconds.
func (h *Scheduler) Tick() {
	h.init()
	now := h.Now()
	h.submitEarly(now)
	h.recount()
	h.recountMemory()
	for _, k := range slices.SortedFunc(maps.Keys(h.jobs), Key.compare) {
		j := h.jobs[k]
		switch {
		case j.granted != nil && now.After(j.deadline.Add(grantRetention)):
			h.forget(k)
		case j.granted == nil && (now.Add(h.minTime(j)).After(j.deadline) || h.missesDeadline(j, now)):
			h.refuse(j, j.lateReason(), h.retryAfter(j))
		case j.granted == nil && h.lacksStageServers(j):
			h.refuse(j, ReasonNoServer, noServerRetryAfter)
		case j.granted == nil && !j.handingOver:
			h.rejudge(j, now)
			j.admittedLate = j.admittedLate && h.behindGoal(j, now)
			h.advance(j)
		}
	}
	h.grantWaiting()
	h.prune()
	h.segments.prune(now)
	h.fairness.decay(now)
	h.dispatch()
}
