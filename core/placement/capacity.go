package placement

// This file defines the room for results at a server: what this home has reserved, what
// others hold there, and how room is freed.

import (
	"maps"
	"slices"
	"time"

	"bergamotspring/core/relay"
)

const (
	// freePause is the pause after a server did not confirm a free.
	freePause = 200 * time.Millisecond
	// mostHandles bounds the results that one message frees.
	mostHandles = 200
)

// capacity returns the bytes that new results may take at a server.
func (m *stageServer) capacity(w *relay.BatchSpec, now time.Time) int64 {
	n := w.CapacityBytes - m.reserved
	if now.Before(m.othersTo) {
		n -= m.others
	}
	return n
}

// drop queues a handle to be freed. Its room counts until the server confirms.
func (m *stageServer) drop(handle string, bytes int64, now time.Time) {
	if !m.dead {
		m.releasable = append(m.releasable, result{handle: handle, bytes: bytes, since: now})
	}
}

// adopt counts a result of another home as this one's.
func (m *stageServer) adopt(bytes int64, now time.Time) {
	m.reserved += bytes
	if now.Before(m.othersTo) {
		m.others = max(0, m.others-bytes)
	}
}

// releaseResults sends what can be freed, one message to a server at a time.
func (h *Scheduler) releaseResults() {
	now := h.Now()
	for _, q := range h.sorted() {
		for _, id := range slices.Sorted(maps.Keys(q.stageServers)) {
			m := q.stageServers[id]
			if m.releasing || len(m.releasable) == 0 || now.Before(m.releaseAt) {
				continue
			}
			n := min(len(m.releasable), mostHandles)
			f := &releasing{stageServer: m, results: slices.Clone(m.releasable[:n])}
			m.releasable = m.releasable[n:]
			m.releasing = true
			h.number++
			h.releases[h.number] = f
			h.work.Releases = append(h.work.Releases, ReleaseResults{Number: h.number, Server: *m.server, Handles: f.handles()})
		}
	}
}

func (f *releasing) handles() []string {
	l := make([]string, 0, len(f.results))
	for _, r := range f.results {
		l = append(l, r.handle)
	}
	return l
}

// lapse forgets results that their servers have dropped by themselves.
func (q *pool) lapse(w *relay.BatchSpec, now time.Time) {
	for _, m := range q.stageServers {
		for len(m.releasable) > 0 && w.TTL > 0 && now.Sub(m.releasable[0].since) > w.TTL {
			m.reserved -= m.releasable[0].bytes
			m.releasable = m.releasable[1:]
		}
	}
}

// OnRelease takes the end of a ReleaseResults.
func (h *Scheduler) OnRelease(number uint64, end MessageStatus) {
	h.init()
	f := h.releases[number]
	if f == nil {
		return
	}
	delete(h.releases, number)
	m := f.stageServer
	m.releasing = false
	switch {
	case m.dead:
	case end == MessageDone:
		for _, r := range f.results {
			m.reserved -= r.bytes
		}
	case end == MessageRefused:
		h.ended(m)
	default:
		m.releasable = append(f.results, m.releasable...)
		m.releaseAt = h.Now().Add(freePause)
	}
	h.dispatch()
}

// ended notes that the process of a server has ended.
func (h *Scheduler) ended(m *stageServer) {
	for _, q := range h.sorted() {
		if q.stageServers[m.server.ID] == m {
			h.pause(m)
			h.lose(q, m)
		}
	}
}

// queryCapacity asks a server for its room, and shows whether its process runs.
func (h *Scheduler) queryCapacity(m *stageServer) {
	if m.querying {
		return
	}
	m.querying = true
	h.number++
	h.queries[h.number] = m
	h.work.Queries = append(h.work.Queries, CapacityQuery{Number: h.number, Server: *m.server})
}

// OnCapacity takes the answer to a CapacityQuery: the bytes that may be free. It counts the first
// time only: the server's figures are late, so that later ones miss what was freed
// or made a moment ago.
func (h *Scheduler) OnCapacity(number uint64, end MessageStatus, free int64) {
	h.init()
	m := h.queries[number]
	if m == nil {
		return
	}
	delete(h.queries, number)
	m.querying = false
	s := h.View().Config.Services[m.server.Service]
	if end == MessageDone && !m.seen && s != nil && s.Batching != nil {
		m.others = max(0, s.Batching.CapacityBytes-free-m.reserved)
		m.othersTo = h.Now().Add(s.Batching.TTL)
	}
	m.seen = true
	if end == MessageRefused && !m.dead {
		h.ended(m)
	}
	h.dispatch()
}
