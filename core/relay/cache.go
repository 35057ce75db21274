package relay

// This file defines the stock of servers: how registrations come, change and lapse.

import (
	"sync"
	"time"
)

// lapseGrace is how long an entry that vanished around an outage of the store may
// take to come back before its server counts as gone.
const lapseGrace = 2200 * time.Millisecond

// Cache collects what the store says and makes views of it. The zero value is ready
// to use, with a clock that stands still. It is safe for concurrent use.
//
// Invariant: the version of the configuration never falls.
type Cache struct {
	Now func() time.Time

	mu      sync.Mutex
	config  *Configuration
	servers map[string]*Server
	out     map[string]bool
	lapsed  map[string]time.Time // vanished entries and when they count as gone
	back    time.Time            // when the store was last reached after an outage
	view    *View
}

func (s *Cache) now() time.Time {
	if s.Now == nil {
		return time.Time{}
	}
	return s.Now()
}

// View returns the present view, never nil.
func (s *Cache) View() *View {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if s.view == nil {
		l := make([]*Server, 0, len(s.servers))
		for _, x := range s.servers {
			l = append(l, x)
		}
		s.view = NewView(s.config, l, s.out)
	}
	return s.view
}

// Install takes a configuration unless a newer one is known, and reports whether it
// changed anything.
func (s *Cache) Install(c *Configuration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c == nil || s.config != nil && c.Version <= s.config.Version {
		return false
	}
	s.config = c
	s.view = nil
	return true
}

// TakeOut replaces the set of failure domains that get nothing.
func (s *Cache) TakeOut(out map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.out = out
	s.view = nil
}

// Reconnected notes that the store answers again after an outage.
func (s *Cache) Reconnected() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.back = s.now()
}

// Replace takes a whole list of servers.
func (s *Cache) Replace(l []*Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	keep := map[string]bool{}
	for _, x := range l {
		keep[x.ID] = true
		s.put(x)
	}
	for id := range s.servers {
		if !keep[id] {
			s.delete(id)
		}
	}
	s.view = nil
}

// Put takes the entry of one server and returns the one before, nil if there was none.
func (s *Cache) Put(x *Server) *Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.servers[x.ID]
	s.put(x)
	s.view = nil
	return old
}

func (s *Cache) put(x *Server) {
	if s.servers == nil {
		s.servers = map[string]*Server{}
	}
	s.servers[x.ID] = x
	delete(s.lapsed, x.ID)
}

// Delete notes that an entry vanished.
func (s *Cache) Delete(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(id)
	s.view = nil
}

// delete removes an entry, at once or after the grace of an outage. The lock is held.
func (s *Cache) delete(id string) {
	if s.servers[id] == nil {
		return
	}
	until := s.back.Add(lapseGrace)
	if s.back.IsZero() || !s.now().Before(until) {
		delete(s.servers, id)
		delete(s.lapsed, id)
		return
	}
	if s.lapsed == nil {
		s.lapsed = map[string]time.Time{}
	}
	s.lapsed[id] = until
}

// expire removes entries whose grace has passed. The lock is held.
func (s *Cache) expire() {
	for id, t := range s.lapsed {
		if !s.now().Before(t) {
			delete(s.servers, id)
			delete(s.lapsed, id)
			s.view = nil
		}
	}
}
