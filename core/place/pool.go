package place

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
	// callPatience and callSlack bound the time of a call over the expected.
	callPatience = 3
	callSlack    = 600 * time.Millisecond
)

// pool holds the servers of one stage service and the pieces that wait for them.
type pool struct {
	service string
	waiting []*piece
	workers map[string]*worker
}

// worker is a server of a stage.
type worker struct {
	server   *relay.Server
	calls    int   // in progress
	reserved int64 // bytes of results, made or in the making
	freeable []result
	freeing  bool      // a free is on its way
	freeAt   time.Time // no free before
	others   int64     // bytes of results that this home does not know of
	othersTo time.Time // when the last of those has lapsed
	looking  bool      // it was asked for its room
	seen     bool      // it was asked before
	until    time.Time
	backoff  time.Duration
	pace     float64 // time of its calls relative to the expected, 0: not seen
	dead     bool    // its results are lost
}

// result is a result that is not needed any more.
type result struct {
	handle string
	bytes  int64
	since  time.Time
}

// call is a call in progress.
type call struct {
	worker   *worker
	pool     *pool
	pieces   []*piece
	started  time.Time
	expected time.Duration
}

// freeing is a release of results in progress.
type freeing struct {
	worker  *worker
	results []result
}

func (h *Home) pool(service string) *pool {
	q := h.pools[service]
	if q == nil {
		q = &pool{service: service, workers: map[string]*worker{}}
		h.pools[service] = q
	}
	return q
}

// sorted returns the pools in the order of their names.
func (h *Home) sorted() []*pool {
	l := make([]*pool, 0, len(h.pools))
	for _, n := range slices.Sorted(maps.Keys(h.pools)) {
		l = append(l, h.pools[n])
	}
	return l
}

// prune forgets servers that are not registered any more.
func (h *Home) prune() {
	v := h.View()
	known := map[string]bool{}
	for _, l := range v.Servers {
		for _, s := range l {
			known[s.ID] = true
		}
	}
	for id, e := range h.engines {
		if !known[id] && e.running == 0 {
			delete(h.engines, id)
		}
	}
	for _, q := range h.pools {
		for id, m := range q.workers {
			if !known[id] && m.calls == 0 {
				delete(q.workers, id)
			}
		}
	}
}

func (q *pool) remove(p *piece) {
	if n := slices.Index(q.waiting, p); n >= 0 {
		q.waiting = slices.Delete(q.waiting, n, n+1)
	}
}

// slowness orders servers by their pace; one not seen yet counts as usual.
func (m *worker) slowness() float64 {
	if m.pace == 0 {
		return 1
	}
	return m.pace
}

// usable returns those of some servers that may get a call now, the best first.
func usable(all []*worker, w *relay.PieceWork, now time.Time) []*worker {
	var l []*worker
	for _, m := range all {
		if m.calls < w.Calls && !m.looking && !now.Before(m.until) {
			l = append(l, m)
		}
	}
	slices.SortStableFunc(l, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(a.calls, b.calls), cmp.Compare(a.slowness(), b.slowness()))
	})
	return l
}

// workers returns the servers of a pool that the home uses: those of its region, or
// of others if there is none.
func (h *Home) workers(q *pool) []*worker {
	var l []*worker
	for _, s := range h.View().Servers[q.service] {
		m := q.workers[s.ID]
		if m == nil {
			m = &worker{server: s}
			q.workers[s.ID] = m
			h.look(m)
		}
		if m.server.Born != s.Born {
			m = h.lose(q, m)
		}
		m.server = s
		l = append(l, m)
	}
	return nearest(l, func(m *worker) bool { return m.server.Region == h.Region })
}

// nearest keeps the servers that are near, or all if none is.
func nearest[T any](l []T, near func(T) bool) []T {
	if !slices.ContainsFunc(l, near) {
		return l
	}
	return slices.DeleteFunc(l, func(x T) bool { return !near(x) })
}

// dispatch fills the calls of all servers that can take one.
func (h *Home) dispatch() {
	v := h.View()
	if v.Config == nil {
		return
	}
	for _, q := range h.sorted() {
		s := v.Config.Services[q.service]
		if s == nil || s.Pieces == nil {
			continue
		}
		q.lapse(s.Pieces, h.Now())
		h.fill(q, s.Pieces)
	}
	h.free()
}

// fill fills calls of all servers of a pool that can take one. It also notes servers that
// are new or have started anew.
func (h *Home) fill(q *pool, w *relay.PieceWork) {
	now := h.Now()
	all := h.workers(q)
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
func (h *Home) batch(q *pool, m *worker, w *relay.PieceWork, groups []*group) []*piece {
	now := h.Now()
	var taken []*piece
	blocked := false // a more urgent group waits for room
	room := m.room(w, now)
	for _, g := range groups {
		n := len(g.pieces)
		if len(taken)+n > w.Batch {
			if len(taken) > 0 {
				continue
			}
			n = w.Batch
		}
		b := g.pieces[0].stage.ask.ResultBytes
		fit := n
		if b > 0 {
			fit = int(min(int64(n), max(0, room/b)))
		}
		if blocked && int64(n)*b > w.RoomBytes/smallShare {
			continue
		}
		if fit < n && len(g.pieces[0].stage.pieces) == n && int64(n)*b <= w.RoomBytes {
			blocked = true
			continue
		}
		taken = append(taken, g.pieces[:fit]...)
		g.pieces = g.pieces[fit:]
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
	pieces []*piece
	order  order
	moved  int64 // bytes that cross to another failure domain if they are made elsewhere
}

// groups returns what waits for a pool.
func (h *Home) groups(q *pool) []*group {
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
		g.pieces = append(g.pieces, p)
	}
	return l
}

// fitting returns the groups that may go to a server, the most urgent first.
func (h *Home) fitting(m *worker, groups []*group, near map[string]bool) []*group {
	type ranked struct {
		*group
		order order
	}
	var l []ranked
	for _, g := range groups {
		if len(g.pieces) == 0 || !h.fits(m, g.pieces[0], near) {
			continue
		}
		x := ranked{group: g, order: g.order}
		if m.server.Domain != g.pieces[0].job.domain && g.moved >= localBytes {
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
func (h *Home) fits(m *worker, p *piece, near map[string]bool) bool {
	if !p.job.allows(m.server.Region) {
		return false
	}
	if p.stage.ask.ResultBytes < localBytes || m.server.Domain == p.job.domain {
		return true
	}
	return !near[p.job.domain] || h.Now().Sub(p.queued) >= spillAfter
}

// moved returns the bytes that cross to another failure domain if a piece is made away
// from its model server: its result and those that it is made from.
func (p *piece) moved() int64 {
	n := p.stage.ask.ResultBytes
	for _, a := range p.stage.ask.After {
		s := p.job.stages[a]
		n += int64(len(s.pieces)) * s.ask.ResultBytes
	}
	return n
}

// send makes a call.
func (h *Home) send(q *pool, m *worker, l []*piece, w *relay.PieceWork) {
	h.number++
	expected := time.Duration(float64(w.CallTime+time.Duration(len(l))*w.PieceTime) * max(1, m.pace))
	c := &call{worker: m, pool: q, pieces: l, started: h.Now(), expected: expected}
	h.calls[h.number] = c
	m.calls++
	k := Call{Number: h.number, Server: *m.server, Waiting: len(q.waiting), Timeout: callPatience*expected + callSlack}
	for _, p := range l {
		p.worker = m
		m.reserved += p.stage.ask.ResultBytes
		k.Pieces = append(k.Pieces, p.item(c.started))
	}
	h.work.Calls = append(h.work.Calls, k)
}

func (p *piece) item(now time.Time) Piece {
	i := Piece{
		Request: p.job.ask.ID, Stage: p.stage.index, Index: p.index, Left: p.job.limit.Sub(now),
	}
	if len(p.stage.ask.After) == 0 {
		i.Key = p.job.ask.Key
		return i
	}
	for _, n := range p.stage.ask.After {
		i.Inputs = append(i.Inputs, p.job.stages[n].handles()...)
	}
	return i
}
