package placement

// This file defines the pools: the servers of one stage service, the pieces that wait
// for them, and the room for results.

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bergamotspring/core/relay"
)

const (
	// localBytes is the size from which a result is made in the failure domain of
	// its model server where possible; smaller ones go to whichever server is free.
	localBytes = 32 << 10
	// smallShare is the part of a server's room up to which pieces overtake more urgent
	// ones that wait for room.
	smallShare = 50
	// awayCost is how much later a piece with as many bytes counts at a server elsewhere.
	awayCost = 500 * time.Millisecond
	// spillAfter is how long a piece waits for a server in its own failure domain.
	spillAfter = 250 * time.Millisecond
	// batchPatience and batchSlack bound the time of a call over the expected.
	batchPatience = 3
	batchSlack    = 600 * time.Millisecond
)

// pool holds the servers of one stage service and the pieces that wait for them.
type pool struct {
	service      string
	waiting      []*task
	stageServers map[string]*stageServer
}

// stageServer is a server of a stage.
type stageServer struct {
	server     *relay.Server
	batches    int   // in progress
	reserved   int64 // bytes of results, made or in the making
	releasable []result
	releasing  bool      // a free is on its way
	releaseAt  time.Time // no free before
	others     int64     // bytes of results that this home does not know of
	othersTo   time.Time // when the last of those has lapsed
	querying   bool      // it was asked for its room
	seen       bool      // it was asked before
	until      time.Time
	backoff    time.Duration
	pace       float64 // time of its calls relative to the expected, 0: not seen
	dead       bool    // its results are lost
}

// result is a result that is not needed any more.
type result struct {
	handle string
	bytes  int64
	since  time.Time
}

// batch is a batch in progress.
type batch struct {
	stageServer *stageServer
	pool        *pool
	tasks       []*task
	started     time.Time
	expected    time.Duration
}

// releasing is a release of results in progress.
type releasing struct {
	stageServer *stageServer
	results     []result
}

func (h *Scheduler) pool(service string) *pool {
	q := h.pools[service]
	if q == nil {
		q = &pool{service: service, stageServers: map[string]*stageServer{}}
		h.pools[service] = q
	}
	return q
}

// sorted returns the pools in the order of their names.
func (h *Scheduler) sorted() []*pool {
	l := make([]*pool, 0, len(h.pools))
	for _, n := range slices.Sorted(maps.Keys(h.pools)) {
		l = append(l, h.pools[n])
	}
	return l
}

// prune forgets servers that are not registered any more.
func (h *Scheduler) prune() {
	v := h.View()
	known := map[string]bool{}
	for _, l := range v.Servers {
		for _, s := range l {
			known[s.ID] = true
		}
	}
	for id, e := range h.modelServers {
		if !known[id] && e.running == 0 {
			delete(h.modelServers, id)
		}
	}
	for _, q := range h.pools {
		for id, m := range q.stageServers {
			if !known[id] && m.batches == 0 {
				delete(q.stageServers, id)
			}
		}
	}
}

func (q *pool) remove(p *task) {
	if n := slices.Index(q.waiting, p); n >= 0 {
		q.waiting = slices.Delete(q.waiting, n, n+1)
	}
}

// slowness orders servers by their pace; one not seen yet counts as usual.
func (m *stageServer) slowness() float64 {
	if m.pace == 0 {
		return 1
	}
	return m.pace
}

// usable returns those of some servers that may get a call now, the best first.
func usable(all []*stageServer, w *relay.BatchSpec, now time.Time) []*stageServer {
	var l []*stageServer
	for _, m := range all {
		if m.batches < w.Concurrency && !m.querying && !now.Before(m.until) {
			l = append(l, m)
		}
	}
	slices.SortStableFunc(l, func(a, b *stageServer) int {
		return cmp.Or(cmp.Compare(a.batches, b.batches), cmp.Compare(a.slowness(), b.slowness()))
	})
	return l
}

// usableStageServers returns the servers of a pool that the home uses: those of its region, or
// of others if there is none.
func (h *Scheduler) usableStageServers(q *pool) []*stageServer {
	var l []*stageServer
	for _, s := range h.View().Servers[q.service] {
		m := q.stageServers[s.ID]
		if m == nil {
			m = &stageServer{server: s}
			q.stageServers[s.ID] = m
			h.queryCapacity(m)
		}
		if m.server.StartedAt != s.StartedAt {
			m = h.lose(q, m)
		}
		m.server = s
		l = append(l, m)
	}
	return nearest(l, func(m *stageServer) bool { return m.server.Region == h.Region })
}

// nearest keeps the servers that are near, or all if none is.
func nearest[T any](l []T, near func(T) bool) []T {
	if !slices.ContainsFunc(l, near) {
		return l
	}
	return slices.DeleteFunc(l, func(x T) bool { return !near(x) })
}

// dispatch fills the calls of all servers that can take one.
func (h *Scheduler) dispatch() {
	v := h.View()
	if v.Config == nil {
		return
	}
	for _, q := range h.sorted() {
		s := v.Config.Services[q.service]
		if s == nil || s.Batching == nil {
			continue
		}
		q.lapse(s.Batching, h.Now())
		h.fill(q, s.Batching)
	}
	h.releaseResults()
}

// fill fills calls of all servers of a pool that can take one. It also notes servers that
// are new or have started anew.
func (h *Scheduler) fill(q *pool, w *relay.BatchSpec) {
	now := h.Now()
	all := h.usableStageServers(q)
	l := usable(all, w, now)
	if len(l) == 0 || len(q.waiting) == 0 {
		return
	}
	groups := h.groups(q)
	near := map[string]bool{} // failure domains with a server that does not rest
	for _, m := range all {
		if !now.Before(m.until) {
			near[m.server.Domain] = true
		}
	}
	for _, m := range l {
		if b := h.batch(q, m, w, h.fitting(m, groups, near)); len(b) > 0 {
			h.send(q, m, b, w)
		}
	}
}

// batch takes the pieces for the next call of a server out of the queue, from groups in
// their order, as far as its room goes. The pieces of one stage of a request stay
// together where they fit into a call: results take room until all of them exist.
func (h *Scheduler) batch(q *pool, m *stageServer, w *relay.BatchSpec, groups []*group) []*task {
	now := h.Now()
	var taken []*task
	blocked := false // a more urgent group waits for room
	room := m.capacity(w, now)
	for _, g := range groups {
		n := len(g.tasks)
		if len(taken)+n > w.MaxBatch {
			if len(taken) > 0 {
				continue
			}
			n = w.MaxBatch
		}
		b := g.tasks[0].stage.request.ResultBytes
		fit := n
		if b > 0 {
			fit = int(min(int64(n), max(0, room/b)))
		}
		if blocked && int64(n)*b > w.CapacityBytes/smallShare {
			continue
		}
		if fit < n && len(g.tasks[0].stage.tasks) == n && int64(n)*b <= w.CapacityBytes {
			blocked = true
			continue
		}
		taken = append(taken, g.tasks[:fit]...)
		g.tasks = g.tasks[fit:]
		room -= int64(fit) * b
		blocked = blocked || fit < n
	}
	for _, p := range taken {
		q.remove(p)
	}
	return taken
}

// group is the pieces of one stage of a request that wait.
type group struct {
	tasks []*task
	order order
	moved int64 // bytes that cross to another failure domain if they are made elsewhere
}

// groups returns what waits for a pool.
func (h *Scheduler) groups(q *pool) []*group {
	now := h.Now()
	of := map[*jobStage]*group{}
	var l []*group
	for _, p := range q.waiting {
		g := of[p.stage]
		if g == nil {
			g = &group{order: h.order(p, now), moved: p.moved()}
			of[p.stage] = g
			l = append(l, g)
		}
		g.tasks = append(g.tasks, p)
	}
	return l
}

// fitting returns the groups that may go to a server, the most urgent first.
func (h *Scheduler) fitting(m *stageServer, groups []*group, near map[string]bool) []*group {
	type ranked struct {
		*group
		order order
	}
	var l []ranked
	for _, g := range groups {
		if len(g.tasks) == 0 || !h.fits(m, g.tasks[0], near) {
			continue
		}
		x := ranked{group: g, order: g.order}
		if m.server.Domain != g.tasks[0].job.domain && g.moved >= localBytes {
			x.order.slack += awayCost
		}
		l = append(l, x)
	}
	slices.SortStableFunc(l, func(a, b ranked) int { return a.order.compare(b.order) })
	r := make([]*group, 0, len(l))
	for _, x := range l {
		r = append(r, x.group)
	}
	return r
}

// fits reports whether a piece may go to a server: large results are made next to
// their model server, unless no server there can make them soon.
func (h *Scheduler) fits(m *stageServer, p *task, near map[string]bool) bool {
	if !p.job.allows(m.server.Region) {
		return false
	}
	if p.stage.request.ResultBytes < localBytes || m.server.Domain == p.job.domain {
		return true
	}
	return !near[p.job.domain] || h.Now().Sub(p.queued) >= spillAfter
}

// moved returns the bytes that cross to another failure domain if a piece is made away
// from its model server: its result and those that it is made from.
func (p *task) moved() int64 {
	n := p.stage.request.ResultBytes
	for _, a := range p.stage.request.After {
		s := p.job.stages[a]
		n += int64(len(s.tasks)) * s.request.ResultBytes
	}
	return n
}

// send makes a call.
func (h *Scheduler) send(q *pool, m *stageServer, l []*task, w *relay.BatchSpec) {
	h.number++
	expected := time.Duration(float64(w.BatchTime+time.Duration(len(l))*w.TaskTime) * max(1, m.pace))
	c := &batch{stageServer: m, pool: q, tasks: l, started: h.Now(), expected: expected}
	h.batches[h.number] = c
	m.batches++
	k := Batch{Number: h.number, Server: *m.server, Queued: len(q.waiting), Timeout: batchPatience*expected + batchSlack}
	for _, p := range l {
		p.stageServer = m
		m.reserved += p.stage.request.ResultBytes
		k.Tasks = append(k.Tasks, p.item(c.started))
	}
	h.work.Batches = append(h.work.Batches, k)
}

func (p *task) item(now time.Time) Task {
	i := Task{
		Request: p.job.request.ID, Stage: p.stage.index, Index: p.index, Remaining: p.job.limit.Sub(now),
	}
	if len(p.stage.request.After) == 0 {
		i.InputKey = p.job.request.InputKey
		return i
	}
	for _, n := range p.stage.request.After {
		i.Inputs = append(i.Inputs, p.job.stages[n].handles()...)
	}
	return i
}
