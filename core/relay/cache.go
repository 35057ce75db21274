package relay

// This file defines the cache of configuration and servers: how registrations are added,
// changed and expired.

import (
	"sync"
	"time"
)

// reconnectGrace is how long after an outage of the store a server is kept whose entry
// was removed. Its registration may have expired only because the store was unreachable,
// and is then renewed within this time.
const reconnectGrace = 2200 * time.Millisecond

// Cache holds the configuration and the servers read from the store and builds views of
// them. The zero value is ready to use, with a clock that stands still. It is safe for
// concurrent use.
//
// Invariant: the version of the configuration never decreases.
type Cache struct {
	Now func() time.Time

	mu            sync.Mutex
	config        *Configuration
	servers       map[string]*Server
	seenSince     map[string]time.Time // of the present process of each server, see age.go
	takenOut      map[string]bool
	keptOut       map[string]time.Time // domains that a restored store lacks, and until when they stay taken out
	former        map[string]formerEntry
	restoredAt    time.Time            // when this node learned of the last restore
	expiring      map[string]time.Time // removed entries and when they expire
	reconnectedAt time.Time            // when the last outage of the store ended
	leaving       map[string]leavingMark
	presumed      map[string]bool          // servers with a mark that holds for a time only
	gone          map[string]removedServer // for leavingTTL
	confirmedAt   time.Time                // when the store last confirmed the entries
	emptySince    map[string]time.Time     // when each service without usable servers was first seen so
	view          *View
}

func (s *Cache) now() time.Time {
	if s.Now == nil {
		return time.Time{}
	}
	return s.Now()
}

// View returns the current view, never nil.
func (s *Cache) View() *View {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if s.view == nil {
		l, departing := s.currentServers()
		s.view = NewView(s.config, l, s.allTakenOut())
		s.view.Departing = departing
		s.findEmpty()
	}
	return s.view
}

// findEmpty updates which services have no usable servers in the view. The lock is held.
func (s *Cache) findEmpty() {
	old := s.emptySince
	s.emptySince = map[string]time.Time{}
	if s.config == nil {
		return
	}
	for n := range s.config.Services {
		if len(s.view.Servers[n]) > 0 {
			continue
		}
		t, ok := old[n]
		if !ok {
			t = s.now()
		}
		s.emptySince[n] = t
	}
}

// Absent reports whether a service has had no usable server for longer than entries that expired in an
// outage take to return, and the store has responded since then.
func (s *Cache) Absent(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.emptySince[service]
	return ok && s.confirmedAt.Sub(later(t, s.reconnectedAt)) > reconnectGrace
}

// Confirmed records that the store confirmed the entries.
func (s *Cache) Confirmed(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmedAt = later(at, s.confirmedAt)
}

// Domain returns the failure domain of a server, empty if it is not known.
func (s *Cache) Domain(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if x := s.servers[id]; x != nil {
		return x.Domain
	}
	return ""
}

// Install stores a configuration unless the known one is as new or newer, and reports
// whether it did.
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

// TakeOut replaces the set of failure domains that are taken out: their servers get no
// requests.
func (s *Cache) TakeOut(takenOut map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.takenOut = takenOut
	for d := range takenOut {
		delete(s.keptOut, d)
	}
	s.view = nil
}

// Reconnected records when the store responded again after an outage.
func (s *Cache) Reconnected(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.reconnectedAt) {
		s.reconnectedAt = at
	}
}

// Put stores the entry of one server and returns the previous one, nil if there was none. An entry that is from
// a snapshot and older than what is known of its process has no effect, see IsFormer.
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
	delete(s.expiring, x.ID)
	if s.isFormer(x) {
		return
	}
	s.unmark(s.servers[x.ID], x)
	s.see(s.servers[x.ID], x)
	s.servers[x.ID] = x
	delete(s.gone, x.ID)
}

// Delete records that an entry was removed from the store.
func (s *Cache) Delete(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(id)
	s.view = nil
}

// delete removes an entry, at once or when the grace period after an outage ends. The
// lock is held.
func (s *Cache) delete(id string) {
	delete(s.former, id)
	if s.servers[id] == nil {
		return
	}
	until := s.reconnectedAt.Add(reconnectGrace)
	if s.reconnectedAt.IsZero() || !s.now().Before(until) {
		s.remove(id)
		return
	}
	if s.expiring == nil {
		s.expiring = map[string]time.Time{}
	}
	s.expiring[id] = until
}

// expire removes entries whose grace period has ended, and marks whose time has. The lock is held.
func (s *Cache) expire() {
	s.expirePresumed()
	s.expireTakenOut()
	s.expireFormer()
	if len(s.expiring) == 0 {
		return
	}
	now := s.now()
	for id, t := range s.expiring {
		if !now.Before(t) {
			s.remove(id)
			s.view = nil
		}
	}
}

// remove removes an entry. The lock is held.
func (s *Cache) remove(id string) {
	last := s.servers[id]
	delete(s.servers, id)
	delete(s.seenSince, id)
	delete(s.expiring, id)
	if s.gone == nil {
		s.gone = map[string]removedServer{}
	}
	s.gone[id] = removedServer{at: s.now(), last: last}
	s.markRemoved(id)
	s.expireMarks()
}
