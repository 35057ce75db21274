package placement

// This file defines the pools: the servers of one stage service, the tasks queued for
// them, and how queued tasks are collected into batches.

import (
	"maps"
	"slices"
	"time"

	"bergamotspring/core/load"
	"bergamotspring/core/relay"
)

const (
	// overtakeDivisor sets the share of a server's capacity, 1/overtakeDivisor, up to
	// which the queued tasks of one stage (taskGroup) may overtake more urgent ones that
	// wait for capacity.
	overtakeDivisor = 50
	// The timeout of a batch is batchTimeoutFactor times its expected time plus
	// batchTimeoutSlack.
	batchTimeoutFactor = 3
	batchTimeoutSlack  = 600 * time.Millisecond
	// maxRefusals bounds the groups of which a rollout does not admit all tasks to a server, for one batch: others are
	// hardly admitted then, and there may be hundreds.
	maxRefusals = 4
)

// stagePool holds the servers of one stage service and the tasks queued for them.
type stagePool struct {
	service      string
	queue        taskQueue
	stageServers map[string]*stageServer
	heldUntil    time.Time // end of the last hold-off of its servers
	ratio        load.Work // measured over configured time of batches, in seconds

	nearest     []*stageServer // the result of nearestStageServers for nearestView
	nearestView *relay.View    // nil: to be computed
}

// stageServer is the scheduler's state of one server of a stage.
type stageServer struct {
	server         *relay.Server
	batches        int       // in progress
	busyUntil      time.Time // expected end of the last batch
	reserved       int64     // bytes of stored results and of results of batches in progress
	releasable     []unusedResult
	releasing      bool      // a ReleaseResults is in flight
	releaseAfter   time.Time // earliest time of the next ReleaseResults
	untrackedBytes int64     // bytes of results that this scheduler has not reserved
	untrackedUntil time.Time // when the TTL of those results has passed
	expectedBytes  int64     // bytes that batches of the previous coordinator will still store
	expectedUntil  time.Time // when they are taken to have ended
	querying       bool      // a CapacityQuery is in flight
	queried        bool      // a response to a CapacityQuery has arrived
	backoffUntil   time.Time
	backoff        time.Duration
	heldUntil      time.Time            // end of the hold-off that the server asked for
	load           load.Server          // its speed; batches counts what it runs
	slow           float64              // its slowness as of the last available
	lost           bool                 // its process ended and its results with it
	unregistered   bool                 // its entry is gone; kept to tell whether the same process returns
	outdated       *int64               // start in an entry that is older than what the process itself told; nil: none
	readers        map[reader]time.Time // of its results, and until when they may read
	process        string               // that got its batches, see OnProcess; empty: none did yet
}

// unusedResult is a stored result that is no longer needed.
type unusedResult struct {
	handle string
	bytes  int64
	since  time.Time
}

// batch is the scheduler's state of a batch that was started and has not ended.
type batch struct {
	stageServer *stageServer
	pool        *stagePool
	tasks       []*task
	started     time.Time
	nominal     time.Duration // that the configuration states for it
	reads       reads         // of the inputs of its tasks
}

// pendingRelease is a ReleaseResults in flight.
type pendingRelease struct {
	stageServer *stageServer
	results     []unusedResult
}

func (h *Scheduler) pool(service string) *stagePool {
	q := h.pools[service]
	if q == nil {
		q = &stagePool{service: service, stageServers: map[string]*stageServer{}, ratio: load.Work{Default: time.Second, Prior: configuredPrior}}
		h.pools[service] = q
	}
	return q
}

// sortedPools returns the pools sorted by service name.
func (h *Scheduler) sortedPools() []*stagePool {
	l := make([]*stagePool, 0, len(h.pools))
	for _, n := range slices.Sorted(maps.Keys(h.pools)) {
		l = append(l, h.pools[n])
	}
	return l
}

// prune removes the state of servers that are no longer registered, run nothing and hold nothing.
func (h *Scheduler) prune() {
	v := h.View()
	known := map[string]bool{}
	for _, l := range v.Servers {
		for _, s := range l {
			known[s.ID] = true
		}
	}
	for id, e := range h.modelServers {
		if !known[id] && e.load.InFlight() == 0 {
			delete(h.modelServers, id)
		}
	}
	for _, q := range h.pools {
		for id, m := range q.stageServers {
			m.unregistered = !known[id]
			if m.unregistered && m.batches == 0 && m.reserved == 0 && !h.usesResults(m) {
				delete(q.stageServers, id)
				q.nearestView = nil
			}
		}
	}
	h.pruneOccupants()
	h.pruneProofs()
}

// usesResults reports whether a job uses a result at a server; results may take no bytes.
func (h *Scheduler) usesResults(m *stageServer) bool {
	for _, j := range h.jobs {
		for _, s := range j.stages {
			if !s.released && slices.ContainsFunc(s.tasks, func(p *task) bool { return p.stageServer == m }) {
				return true
			}
		}
	}
	return false
}

// nearestStageServers returns the servers of a pool in the scheduler's region, or those of
// all regions if it has none. It creates the state of new servers and replaces that of
// restarted ones. The result must not be changed.
func (h *Scheduler) nearestStageServers(q *stagePool) []*stageServer {
	v := h.View()
	if v == q.nearestView {
		return q.nearest
	}
	var l []*stageServer
	for _, s := range v.Servers[q.service] {
		l = append(l, h.stageServer(q, s))
	}
	q.nearest, q.nearestView = nearest(l, func(m *stageServer) bool { return m.server.Region == h.Region }), v
	return q.nearest
}

// stageServer returns the state of the server of an entry.
func (h *Scheduler) stageServer(q *stagePool, s *relay.Server) *stageServer {
	m := q.stageServers[s.ID]
	if m == nil {
		m = &stageServer{server: s}
		h.setStageServer(q, m)
		h.queryCapacity(m)
		return m
	}
	if m.isOutdated(s) {
		c := *s
		c.StartedAt = m.server.StartedAt
		m.server = &c
		return m
	}
	if m.server.StartedAt != s.StartedAt || m.server.Address != s.Address {
		m = h.replaceStageServer(q, m, s)
	}
	m.server, m.outdated = s, nil
	return m
}

// setStageServer stores the state of a server in place of an earlier one.
func (h *Scheduler) setStageServer(q *stagePool, m *stageServer) {
	h.states++
	q.stageServers[m.server.ID] = m
	q.nearestView = nil
	h.occupants[m.server.Address] = append(h.occupants[m.server.Address], m)
}

// lacksStageServers reports whether a stage of a job has tasks that are in no batch, and no server that may run them:
// those that there are have stated that they are leaving, or there are none and none will be back soon.
func (h *Scheduler) lacksStageServers(j *job) bool {
	return slices.ContainsFunc(j.stages, func(s *jobStage) bool {
		if s.remaining <= s.inBatch {
			return false
		}
		n := s.request.Service
		if slices.ContainsFunc(h.nearestStageServers(h.pool(n)), func(m *stageServer) bool { return j.allows(m.server.Region) }) {
			return false
		}
		return len(h.View().Departing[n]) > 0 || h.Absent != nil && h.Absent(n)
	})
}

// nearest keeps the elements for which near holds, or all if there are none.
func nearest[T any](l []T, near func(T) bool) []T {
	if !slices.ContainsFunc(l, near) {
		return l
	}
	return slices.DeleteFunc(l, func(x T) bool { return !near(x) })
}

// dispatch adds to the work a batch for each server that can take one, and the queued
// releases. It also drops unused results whose TTL has passed.
func (h *Scheduler) dispatch() {
	v := h.View()
	if v.Config == nil {
		return
	}
	for _, q := range h.sortedPools() {
		s := v.Config.Services[q.service]
		if s == nil || s.Batching == nil {
			continue
		}
		q.expireResults(s.Batching, h.Now())
		h.fill(q, s.Batching)
	}
	h.releaseResults()
	h.inquire()
}

// fill starts a batch for each server of a pool that can take one. It also records new and
// restarted servers, even if nothing is queued.
func (h *Scheduler) fill(q *stagePool, w *relay.BatchSpec) {
	now := h.Now()
	all := h.nearestStageServers(q)
	l := available(all, w, now)
	if len(l) == 0 || q.queue.tasks == 0 {
		return
	}
	main := h.main(q.service)
	l = h.restrict(slices.DeleteFunc(l, func(m *stageServer) bool { return !h.mayStore(m) }), main)
	groups := h.taskGroups(q)
	near := domainRoom(all, groups, w, now, main)
	alone := !slices.ContainsFunc(all, func(m *stageServer) bool { return !m.resting(now) && main.Admits(m.server.Version) })
	// While half of the servers are available, a task is left to one of its own domain at first, whatever
	// its size; what that server cannot take then goes to any other. Beyond that, full batches count more.
	reserved := map[string]bool{}
	if half := 2*countAdmitted(l, main) >= countAdmitted(all, main); half {
		for _, m := range l {
			reserved[m.server.Domain] = reserved[m.server.Domain] || main.Admits(m.server.Version)
		}
	}
	for _, r := range []map[string]bool{reserved, nil} {
		l = slices.DeleteFunc(l, func(m *stageServer) bool {
			left := r
			if !main.Admits(m.server.Version) {
				left = nil // it gets few tasks, which may all be of other domains
			}
			b := h.nextBatch(q, m, w, h.eligibleGroups(m, groups, near, left), alone)
			if len(b) > 0 {
				h.startBatch(q, m, b, w)
			}
			return len(b) > 0
		})
	}
}

// nextBatch takes the tasks of the next batch of a server out of the queue, from groups in
// the given order, as far as the server's capacity allows. The tasks of one stage of a
// request stay together if they fit into a batch, since results occupy capacity until
// all of them exist.
func (h *Scheduler) nextBatch(q *stagePool, m *stageServer, w *relay.BatchSpec, groups []*taskGroup, alone bool) []*task {
	now := h.Now()
	var taken []*task
	blocked := false // a more urgent group waits for capacity
	free := m.capacity(w, now)
	most := q.maxBatch(m, w)
	refusals := 0
	for _, g := range groups {
		if refusals >= maxRefusals {
			break
		}
		n := len(g.tasks)
		if len(taken)+n > most {
			if len(taken) > 0 {
				continue
			}
			n = most
		}
		b := g.tasks[0].stage.request.ResultBytes
		fit := n
		if b > 0 {
			fit = int(min(int64(n), max(0, free/b)))
		}
		if blocked && int64(n)*b > w.CapacityBytes/overtakeDivisor {
			continue
		}
		if fit < n && len(g.tasks[0].stage.tasks) == n && int64(n)*b <= w.CapacityBytes {
			blocked = true
			continue
		}
		ruled := h.takeRules(m, g, fit, alone)
		if ruled < fit {
			refusals++
		}
		taken = append(taken, q.queue.take(g, ruled)...)
		free -= int64(ruled) * b
		blocked = blocked || fit < n
	}
	return taken
}

// startBatch reserves capacity for the results of a batch and adds the batch to the work.
func (h *Scheduler) startBatch(q *stagePool, m *stageServer, l []*task, w *relay.BatchSpec) {
	h.lastNumber++
	nominal := expectedTime(w, len(l))
	expected := q.expectedTime(m, nominal, h.Now())
	if !h.holds(m) {
		m.process = ""
	}
	c := &batch{stageServer: m, pool: q, tasks: l, started: h.Now(), nominal: nominal}
	h.batches[h.lastNumber] = c
	m.batches++
	m.busyUntil = c.started.Add(expected)
	k := Batch{Number: h.lastNumber, Server: *m.server, Process: m.process, Queued: q.queue.tasks, Timeout: batchTimeoutFactor*expected + batchTimeoutSlack}
	k.Weight = float64(nominal) / float64(max(1, expectedTime(w, 1)))
	for _, p := range l {
		p.stageServer = m
		p.stage.inBatch++
		m.reserved += p.stage.request.ResultBytes
		k.Tasks = append(k.Tasks, p.toTask(c.started))
		for _, n := range p.stage.request.After {
			c.reads.add(p.job.stages[n], reader{batch: k.Number}, p.job.deadline)
		}
	}
	h.work.Batches = append(h.work.Batches, k)
}
