package relay

// This file defines the marks of servers that stated in a response that they are leaving.
// The store may report that later, or never.

import (
	"errors"
	"maps"
	"time"
)

// leavingTTL is how long a mark is kept for a process whose entry is not known: its entry
// may have expired while the store was unreachable, and come back. It is also how long a node remembers that
// an entry is gone, for grants of a coordinator that does not know it.
const leavingTTL = time.Minute

// ErrLeaving says that a request was not sent because its server is leaving.
var ErrLeaving = errors.New("server is leaving")

// Process identifies one process of a server.
type Process struct {
	ID        string
	StartedAt int64 // Unix milliseconds of its start, 0: unknown
}

// Process returns the process of a server's entry.
func (s *Server) Process() Process { return Process{ID: s.ID, StartedAt: s.StartedAt} }

// leavingMark marks one process of a server as leaving.
type leavingMark struct {
	startedAt int64     // of the process, 0: unknown
	statedAt  time.Time // when the statement came
	removedAt time.Time // when its entry was removed, or it was marked without one; zero: the entry is known
	// presumed says that the statement came while the entry was that of an earlier process. It is from one of the two,
	// and the mark holds for leavingTTL at most.
	presumed bool
}

func (m leavingMark) expired(now time.Time) bool {
	if m.presumed && now.Sub(m.statedAt) > leavingTTL {
		return true
	}
	return !m.removedAt.IsZero() && now.Sub(m.removedAt) > leavingTTL
}

// mayBe returns the mark for the next process of a server, and whether it may have made the statement: it had started by
// then, by the clocks of the two machines.
func (m leavingMark) mayBe(x *Server) (leavingMark, bool) {
	if m.startedAt == 0 || x.StartedAt == 0 || x.StartedAt > m.statedAt.UnixMilli() {
		return leavingMark{}, false
	}
	return leavingMark{startedAt: x.StartedAt, statedAt: m.statedAt, presumed: true}, true
}

// MarkLeaving records that a process is leaving, and reports whether this is new. From then
// on, the views do not contain its server, whatever the entry says, until another process has
// the ID that started later. A response does not tell which process of its server sent it: one that had started by then
// stays out of the views for leavingTTL. If no start is known, that is when the entry is removed, gets another address, or is
// no longer that of a leaving server.
func (s *Cache) MarkLeaving(p Process) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := leavingMark{startedAt: p.StartedAt, statedAt: s.now()}
	switch x := s.servers[p.ID]; {
	case x == nil:
		m.removedAt = s.now()
	case p.StartedAt == 0: // the entry came after the request was sent
		m.startedAt = x.StartedAt
	case x.StartedAt != p.StartedAt:
		return false // the entry is that of its successor
	}
	if old, ok := s.leaving[p.ID]; ok && old.startedAt == m.startedAt && !old.presumed && !old.expired(s.now()) {
		return false
	}
	if s.leaving == nil {
		s.leaving = map[string]leavingMark{}
	}
	s.leaving[p.ID] = m
	s.view = nil
	s.expireMarks()
	return true
}

// Withdrawn reports whether this node knows that a process must get nothing new: it stated that it is
// leaving, its entry says so or is gone, or its failure domain is taken out. A server that is not known
// here is not withdrawn; another node may have read its entry first.
func (s *Cache) Withdrawn(p Process) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m, ok := s.leaving[p.ID]; ok && m.startedAt == p.StartedAt && !m.expired(s.now()) {
		return true
	}
	if x := s.servers[p.ID]; x != nil {
		return x.Leaving || s.isTakenOut(x.Domain)
	}
	g, gone := s.gone[p.ID]
	return gone && s.now().Sub(g.at) <= leavingTTL
}

// Process returns the process of a server as this node knows it. A grant of another node does
// not tell its start: it is then that of the server's entry.
func (s *Cache) Process(t *Server) Process {
	p := t.Process()
	if p.StartedAt != 0 {
		return p
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if x := s.servers[t.ID]; x != nil {
		return x.Process()
	}
	return p
}

// currentServers returns all entries, with Leaving set if the process stated so, and the IDs of the
// latter by service. The lock is held.
func (s *Cache) currentServers() (l []*Server, departing map[string][]string) {
	departing = map[string][]string{}
	for id, x := range s.servers {
		if _, ok := s.leaving[id]; ok {
			c := *x
			c.Leaving = true
			x = &c
			departing[x.Service] = append(departing[x.Service], id)
		}
		l = append(l, x)
	}
	return l, departing
}

// unmark updates the mark of a server that gets a new entry; old is the previous one, or nil.
// The lock is held.
func (s *Cache) unmark(old, x *Server) {
	m, ok := s.leaving[x.ID]
	if !ok {
		return
	}
	same := m.startedAt == x.StartedAt
	switch {
	case m.expired(s.now()):
		same = false
	case x.StartedAt == 0 && old != nil:
		same = same && old.Address == x.Address && (x.Leaving || !old.Leaving)
	case m.startedAt == 0 && old == nil: // the first entry that this node reads of it
		same = x.StartedAt <= m.removedAt.UnixMilli()
	}
	if next, ok := m.mayBe(x); ok && !same && !m.expired(s.now()) {
		s.leaving[x.ID] = next
		if s.presumed == nil {
			s.presumed = map[string]bool{}
		}
		s.presumed[x.ID] = true
		return
	}
	if !same {
		delete(s.leaving, x.ID)
		return
	}
	m.startedAt, m.removedAt = x.StartedAt, time.Time{}
	s.leaving[x.ID] = m
}

// markRemoved updates the mark of a server whose entry was removed. Without a known start,
// nothing would tell the next process from this one. The lock is held.
func (s *Cache) markRemoved(id string) {
	m, ok := s.leaving[id]
	if !ok {
		return
	}
	if m.startedAt == 0 {
		delete(s.leaving, id)
		return
	}
	m.removedAt = s.now()
	s.leaving[id] = m
}

// expirePresumed removes the marks that hold for a time only and have expired. The lock is held.
func (s *Cache) expirePresumed() {
	if len(s.presumed) == 0 {
		return
	}
	now := s.now()
	for id := range s.presumed {
		m, ok := s.leaving[id]
		if ok && m.presumed && !m.expired(now) {
			continue
		}
		delete(s.presumed, id)
		if ok && m.presumed {
			delete(s.leaving, id)
			s.view = nil
		}
	}
}

// expireMarks removes the marks of processes whose entries have been unknown for leavingTTL, and
// forgets entries that have been gone for as long. Views are asked for far more often than these change, so
// it is called with each change. The lock is held.
func (s *Cache) expireMarks() {
	now := s.now()
	maps.DeleteFunc(s.leaving, func(_ string, m leavingMark) bool { return m.expired(now) })
	maps.DeleteFunc(s.gone, func(_ string, g removedServer) bool { return now.Sub(g.at) > leavingTTL })
}
