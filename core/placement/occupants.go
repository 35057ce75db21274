package placement

// This file defines what happens when a stage server's process ends and another one takes its place. The next process
// may give out the handles of the one before again. So it gets no batch while a result of the one before may still
// be read: whoever reads it late would get that of another request.

import (
	"maps"
	"slices"
	"time"

	"bergamotspring/core/relay"
)

// reader is who reads results: the run of a granted request, or a batch.
type reader struct {
	run   Key
	batch uint64
}

// reads holds the servers whose results a reader was told to read. The zero value is empty.
type reads []*stageServer

// add records that a reader may read the results of a stage until a deadline.
func (l *reads) add(s *jobStage, r reader, deadline time.Time) {
	for _, p := range s.tasks {
		m := p.stageServer
		if m == nil {
			continue
		}
		if m.readers == nil {
			m.readers = map[reader]time.Time{}
		}
		if deadline.After(m.readers[r]) {
			m.readers[r] = deadline
		}
		if !slices.Contains(*l, m) {
			*l = append(*l, m)
		}
	}
}

// end records that a reader has read its results, or never will.
func (l *reads) end(r reader) {
	for _, m := range *l {
		delete(m.readers, r)
	}
	*l = nil
}

// isRead reports whether the results of a process may still be read or released.
func (m *stageServer) isRead(now time.Time) bool {
	return m.releasing || m.hasReader(now)
}

// hasReader reports whether a batch or a run may still read results of a process.
func (m *stageServer) hasReader(now time.Time) bool {
	for _, t := range m.readers {
		if now.Before(t) {
			return true
		}
	}
	return false
}

// holds reports whether results of a server are stored or being made, as far as the scheduler knows, or still read.
func (h *Scheduler) holds(m *stageServer) bool {
	return m.reserved > 0 || m.batches > 0 || m.isRead(h.Now()) || h.usesResults(m)
}

// ObserveProcess records which process answered at an address, with start 0 if only its server is known. Other
// processes that were known to listen there have ended.
func (h *Scheduler) ObserveProcess(address string, p relay.Process) {
	h.init()
	for _, m := range slices.Clone(h.occupants[address]) {
		same := m.server.ID == p.ID && (p.StartedAt == 0 || m.server.StartedAt == p.StartedAt)
		if h.isCurrent(m) && !same {
			h.observeReplacement(h.pool(m.server.Service), m, p)
		}
	}
	h.dispatch()
}

// observeReplacement replaces the state of a server that p has taken the place of. Its entry may tell so later.
func (h *Scheduler) observeReplacement(q *stagePool, m *stageServer, p relay.Process) {
	s := *m.server
	if s.ID != p.ID {
		h.replaceStageServer(q, m, &s)
		return
	}
	outdated := m.outdated
	if outdated == nil {
		outdated = &m.server.StartedAt
	}
	s.StartedAt = p.StartedAt
	h.replaceStageServer(q, m, &s).outdated = outdated
}

// isOutdated reports whether an entry is that of a process which is known to have ended.
func (m *stageServer) isOutdated(s *relay.Server) bool {
	return m.outdated != nil && *m.outdated == s.StartedAt && m.server.Address == s.Address
}

// replaceStageServer drops the results of a server whose process has ended, queues their
// tasks again, and returns the state of the next process under the same ID, with its entry.
func (h *Scheduler) replaceStageServer(q *stagePool, m *stageServer, s *relay.Server) *stageServer {
	m.lost = true
	fresh := &stageServer{server: s, backoffUntil: m.backoffUntil, backoff: m.backoff}
	h.setStageServer(q, fresh)
	for _, j := range h.jobs {
		if j.granted != nil {
			continue
		}
		for _, s := range j.stages {
			if s.request.Service == q.service && !s.released {
				h.requeueLost(q, s, m)
			}
		}
	}
	return fresh
}

// mayStore reports whether a server may get a batch: no result of another process at its address is in use.
func (h *Scheduler) mayStore(m *stageServer) bool {
	if !h.isProven(m.maker()) {
		return false
	}
	now := h.Now()
	return !slices.ContainsFunc(h.occupants[m.server.Address], func(o *stageServer) bool {
		return o != m && (o.isRead(now) || !o.lost && h.usesResults(o))
	})
}

// pruneOccupants forgets processes that have ended and whose results are not read any more.
func (h *Scheduler) pruneOccupants() {
	now := h.Now()
	for a := range h.occupants {
		h.endDisplaced(a)
		l := slices.DeleteFunc(h.occupants[a], func(m *stageServer) bool {
			maps.DeleteFunc(m.readers, func(_ reader, t time.Time) bool { return !now.Before(t) })
			return !h.isCurrent(m) && !m.isRead(now)
		})
		if len(l) == 0 {
			delete(h.occupants, a)
			continue
		}
		h.occupants[a] = l
	}
}

// endDisplaced takes servers for ended that have no entry any more while another server has one with their address.
func (h *Scheduler) endDisplaced(address string) {
	l := h.occupants[address]
	if len(l) < 2 {
		return
	}
	for _, m := range slices.Clone(l) {
		displaced := slices.ContainsFunc(l, func(o *stageServer) bool {
			return o.server.ID != m.server.ID && h.isCurrent(o) && !o.unregistered
		})
		if displaced && m.unregistered && h.isCurrent(m) {
			h.replaceStageServer(h.pool(m.server.Service), m, m.server)
		}
	}
}

// isCurrent reports whether a state is that of its server, and not of an earlier process or of a server that was pruned.
func (h *Scheduler) isCurrent(m *stageServer) bool {
	return h.pool(m.server.Service).stageServers[m.server.ID] == m
}
