package member

import (
	"cmp"
	"slices"
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/core/lease"
)

const (
	// gossipDuration is how long a change is sent in digests. In 10 s at 3 digests a second
	// a change reaches 320 nodes many times over.
	gossipDuration = 10 * time.Second
	// retentionPeriod is the age above which updates of suspects are evicted first, once
	// there are maxSuspects. It is longer than a suspect is kept, so that a late digest does
	// not start the gossip again. Records are not evicted.
	retentionPeriod = 2 * time.Hour
	maxSuspects     = 4096 // kept
	maxUpdates      = 32   // in one digest, of each kind
)

// Updates buffers the changes that a node gossips in digests. Times are on one monotonic
// time line. The zero value is ready to use.
type Updates struct {
	suspects map[uint64]suspectEntry
	records  map[fleet.GroupID]recordEntry
}

type suspectEntry struct {
	update SuspectUpdate
	at     time.Duration
}

type recordEntry struct {
	record lease.Record
	at     time.Duration
}

// AddSuspect takes a change of a suspect and reports whether it was new.
func (s *Updates) AddSuspect(now time.Duration, n SuspectUpdate) bool {
	if s.suspects == nil {
		s.suspects = map[uint64]suspectEntry{}
	}
	if o, ok := s.suspects[n.Fingerprint]; ok && o.update.Stamp >= n.Stamp {
		return false
	}
	if len(s.suspects) >= maxSuspects {
		s.evict(now)
	}
	s.suspects[n.Fingerprint] = suspectEntry{update: n, at: now}
	return true
}

// evict deletes the updates past retentionPeriod, or the oldest one if that does not
// suffice.
func (s *Updates) evict(now time.Duration) {
	oldest, at := uint64(0), now+1
	for f, n := range s.suspects {
		if now-n.at > retentionPeriod {
			delete(s.suspects, f)
		} else if n.at < at || n.at == at && f < oldest {
			oldest, at = f, n.at
		}
	}
	if len(s.suspects) >= maxSuspects {
		delete(s.suspects, oldest)
	}
}

// AddRecord takes a record that is not in the table and reports whether it was new.
func (s *Updates) AddRecord(now time.Duration, r lease.Record) bool {
	if s.records == nil {
		s.records = map[fleet.GroupID]recordEntry{}
	}
	if o, ok := s.records[r.Group]; ok && (o.record.Epoch > r.Epoch || o.record == r) {
		return false
	}
	s.records[r.Group] = recordEntry{record: r, at: now}
	return true
}

// Fill adds recent changes to d, the newest first.
func (s *Updates) Fill(now time.Duration, d *Digest) {
	var l []suspectEntry
	for _, n := range s.suspects {
		if now-n.at < gossipDuration {
			l = append(l, n)
		}
	}
	slices.SortFunc(l, func(a, b suspectEntry) int {
		return cmp.Or(cmp.Compare(b.at, a.at), cmp.Compare(a.update.Fingerprint, b.update.Fingerprint))
	})
	for _, n := range l[:min(len(l), maxUpdates)] {
		d.Suspects = append(d.Suspects, n.update)
	}
	var h []recordEntry
	for _, r := range s.records {
		if now-r.at < gossipDuration {
			h = append(h, r)
		}
	}
	slices.SortFunc(h, func(a, b recordEntry) int {
		return cmp.Or(cmp.Compare(b.at, a.at), cmp.Compare(a.record.Group.String(), b.record.Group.String()))
	})
	for _, r := range h[:min(len(h), maxUpdates)] {
		d.Records = append(d.Records, r.record)
	}
}

// Merge takes a peer's digest and returns what was new in it.
func (s *Updates) Merge(now time.Duration, d Digest) (suspects []SuspectUpdate, records []lease.Record) {
	for _, n := range d.Suspects {
		if s.AddSuspect(now, n) {
			suspects = append(suspects, n)
		}
	}
	for _, r := range d.Records {
		if s.AddRecord(now, r) {
			records = append(records, r)
		}
	}
	return suspects, records
}
