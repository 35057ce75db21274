package place

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

// room returns the bytes that new results may take at a server.
func (m *worker) room(w *relay.PieceWork, now time.Time) int64 {
	n := w.RoomBytes - m.reserved
	if now.Before(m.othersTo) {
		n -= m.others
	}
	return n
}

// drop queues a handle to be freed. Its room counts until the server confirms.
func (m *worker) drop(handle string, bytes int64, now time.Time) {
	if !m.dead {
		m.freeable = append(m.freeable, result{handle: handle, bytes: bytes, since: now})
	}
}

// adopt counts a result of another home as this one's.
func (m *worker) adopt(bytes int64, now time.Time) {
	m.reserved += bytes
	if now.Before(m.othersTo) {
		m.others = max(0, m.others-bytes)
	}
}

// free sends what can be freed, one message to a server at a time.
func (h *Home) free() {
	now := h.Now()
	for _, q := range h.sorted() {
		for _, id := range slices.Sorted(maps.Keys(q.workers)) {
			m := q.workers[id]
			if m.freeing || len(m.freeable) == 0 || now.Before(m.freeAt) {
				continue
			}
			n := min(len(m.freeable), mostHandles)
			f := &freeing{worker: m, results: slices.Clone(m.freeable[:n])}
			m.freeable = m.freeable[n:]
			m.freeing = true
			h.number++
			h.frees[h.number] = f
			h.work.Frees = append(h.work.Frees, Free{Number: h.number, Server: *m.server, Handles: f.handles()})
		}
	}
}

func (f *freeing) handles() []string {
	l := make([]string, 0, len(f.results))
	for _, r := range f.results {
		l = append(l, r.handle)
	}
	return l
}

// lapse forgets results that their servers have dropped by themselves.
func (q *pool) lapse(w *relay.PieceWork, now time.Time) {
	for _, m := range q.workers {
		for len(m.freeable) > 0 && w.Keep > 0 && now.Sub(m.freeable[0].since) > w.Keep {
			m.reserved -= m.freeable[0].bytes
			m.freeable = m.freeable[1:]
		}
	}
}

// Freed takes the end of a Free.
func (h *Home) Freed(number uint64, end MessageEnd) {
	h.init()
	f := h.frees[number]
	if f == nil {
		return
	}
	delete(h.frees, number)
	m := f.worker
	m.freeing = false
	switch {
	case m.dead:
	case end == MessageDone:
		for _, r := range f.results {
			m.reserved -= r.bytes
		}
	case end == MessageRefused:
		h.ended(m)
	default:
		m.freeable = append(f.results, m.freeable...)
		m.freeAt = h.Now().Add(freePause)
	}
	h.dispatch()
}

// ended notes that the process of a server has ended.
func (h *Home) ended(m *worker) {
	for _, q := range h.sorted() {
		if q.workers[m.server.ID] == m {
			h.pause(m)
			h.lose(q, m)
		}
	}
}

// look asks a server for its room, and shows whether its process runs.
func (h *Home) look(m *worker) {
	if m.looking {
		return
	}
	m.looking = true
	h.number++
	h.looks[h.number] = m
	h.work.Looks = append(h.work.Looks, Look{Number: h.number, Server: *m.server})
}

// Looked takes the answer to a Look: the bytes that may be free. It counts the first
// time only: the server's figures are late, so that later ones miss what was freed
// or made a moment ago.
func (h *Home) Looked(number uint64, end MessageEnd, free int64) {
	h.init()
	m := h.looks[number]
	if m == nil {
		return
	}
	delete(h.looks, number)
	m.looking = false
	s := h.View().Config.Services[m.server.Service]
	if end == MessageDone && !m.seen && s != nil && s.Pieces != nil {
		m.others = max(0, s.Pieces.RoomBytes-free-m.reserved)
		m.othersTo = h.Now().Add(s.Pieces.Keep)
	}
	m.seen = true
	if end == MessageRefused && !m.dead {
		h.ended(m)
	}
	h.dispatch()
}
