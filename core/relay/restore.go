package relay

// This file defines what the cache keeps when the store was restored from a snapshot, which lacks what was
// written last.

import "time"

// takenOutGrace is how long a failure domain stays taken out whose row a restored store lacks, for the operator
// to write it again.
const takenOutGrace = 10 * time.Second

// snapshotWindow is how long after a restore nodes may still pass on entries of the snapshot.
const snapshotWindow = 10 * time.Second

// removedServer is a server whose entry was removed.
type removedServer struct {
	at   time.Time
	last *Server
}

// formerEntry says that the entry of a server in the store is from a snapshot, and is not used.
type formerEntry struct {
	era       uint64
	startedAt int64
	sequence  int64 // that the process has to exceed
	entry     *Server
	at        time.Time // when it was first read
}

// known returns the last entry of a server, and whether it was removed; nil if there was none. The lock is held.
func (s *Cache) known(id string) (last *Server, removed bool) {
	if x := s.servers[id]; x != nil {
		return x, false
	}
	if g, ok := s.gone[id]; ok && s.now().Sub(g.at) <= leavingTTL {
		return g.last, true
	}
	return nil, false
}

// Restored records that the entries that follow are those of a restored store.
func (s *Cache) Restored() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restoredAt = s.now()
	s.reconnectedAt = later(s.restoredAt, s.reconnectedAt)
}

// isFormer reports whether an entry is older than what is known of its server, and notes it: the entry is the first
// one of a new era, and is of an earlier process, or of the same process with a lower sequence or after its entry
// was removed. An entry without a sequence tells nothing. What a process writes in the new era has a higher sequence. The lock is held.
func (s *Cache) isFormer(x *Server) bool {
	k, removed := s.known(x.ID)
	f, held := s.former[x.ID]
	delete(s.former, x.ID)
	if !k.mayBeNewer(x) {
		return false
	}
	if !held || f.era != x.Era || f.startedAt != x.StartedAt {
		if s.now().Sub(s.restoredAt) >= snapshotWindow || k.sameProcess(x) && !removed && x.Sequence >= k.Sequence {
			return false
		}
		f = formerEntry{era: x.Era, startedAt: x.StartedAt, sequence: x.Sequence, at: s.now()}
		if k.sameProcess(x) && x.StartedAt != 0 { // without a start, a next process may count from 1 again
			f.sequence = max(f.sequence, k.Sequence)
		}
	}
	if x.Sequence > f.sequence {
		return false
	}
	if s.former == nil {
		s.former = map[string]formerEntry{}
	}
	f.entry = x
	s.former[x.ID] = f
	return true
}

// expireFormer takes up the entries of servers that were removed so long ago that this is forgotten. Such an entry is
// still in the store, and the node from which this one gets the tables does not pass on that its process writes it.
// The lock is held.
func (s *Cache) expireFormer() {
	for id, f := range s.former {
		if s.servers[id] == nil && s.now().Sub(f.at) > leavingTTL {
			s.put(f.entry)
			s.view = nil
		}
	}
}

// mayBeNewer reports whether this entry, which may be nil, may be newer than x, which was read later: x is of a newer
// era, and of the same process or an earlier one.
func (s *Server) mayBeNewer(x *Server) bool {
	return s != nil && x.Era > s.Era && x.Sequence != 0 && (s.sameProcess(x) || s.startedAfter(x))
}

// sameProcess reports whether two entries of one ID are of the same process, as far as they tell.
func (s *Server) sameProcess(x *Server) bool {
	return s.StartedAt == x.StartedAt && (s.StartedAt != 0 || s.Address == x.Address)
}

// startedAfter reports whether an entry is of an earlier process.
func (s *Server) startedAfter(x *Server) bool { return x.StartedAt != 0 && x.StartedAt < s.StartedAt }

// IsFormer reports whether the entry of a server in the store is not used, as it is from a snapshot and older
// than what is known of the server.
func (s *Cache) IsFormer(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.former[id]
	return ok
}

// KeepTakenOut keeps the failure domains that are taken out for takenOutGrace, or until TakeOut names them. It is
// called before TakeOut if the store was restored.
func (s *Cache) KeepTakenOut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keptOut == nil {
		s.keptOut = map[string]time.Time{}
	}
	for d := range s.takenOut {
		s.keptOut[d] = s.now().Add(takenOutGrace)
	}
}

// isTakenOut reports whether a failure domain is taken out. The lock is held.
func (s *Cache) isTakenOut(domain string) bool {
	t, ok := s.keptOut[domain]
	return s.takenOut[domain] || ok && s.now().Before(t)
}

// allTakenOut returns the failure domains that are taken out. The lock is held.
func (s *Cache) allTakenOut() map[string]bool {
	if len(s.keptOut) == 0 {
		return s.takenOut
	}
	all := map[string]bool{}
	for d := range s.takenOut {
		all[d] = true
	}
	for d := range s.keptOut {
		all[d] = true
	}
	return all
}

// expireTakenOut ends the time for which failure domains are kept taken out. The lock is held.
func (s *Cache) expireTakenOut() {
	for d, t := range s.keptOut {
		if !s.now().Before(t) {
			delete(s.keptOut, d)
			s.view = nil
		}
	}
}
