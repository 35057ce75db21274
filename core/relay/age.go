package relay

// This file defines how long processes of servers have run, as far as this node knows.

import "time"

// clockTolerance is how much the clocks of servers and nodes may differ when the start that a server states is compared.
const clockTolerance = 10 * time.Second

// StartedWithin reports whether a process may have started less than d ago: its entry came later than that, and the start that
// it states is not earlier either.
func (s *Cache) StartedWithin(p Process, d time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if p.StartedAt > 0 && now.Sub(time.UnixMilli(p.StartedAt)) > d+clockTolerance {
		return false
	}
	x := s.servers[p.ID]
	return x == nil || x.Process() != p || now.Sub(s.seenSince[p.ID]) < d
}

// see records since when the present process of a server is known. The lock is held.
func (s *Cache) see(old, x *Server) {
	if old != nil && old.Process() == x.Process() && old.Address == x.Address {
		return
	}
	if s.seenSince == nil {
		s.seenSince = map[string]time.Time{}
	}
	s.seenSince[x.ID] = s.now()
}
