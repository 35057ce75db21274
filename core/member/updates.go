package member

import (
	"cmp"
	"slices"
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/core/lease"
)

// How long a change is put into digests and remembered. In 10 s at 3 digests a
// second a change reaches 320 nodes many times over; it is remembered for longer
// than a suspect lives, so that a late digest does not start it again.
const (
	spreadFor   = 10 * time.Second
	rememberFor = 2 * time.Hour
	maxSuspects = 4096 // remembered
	maxUpdates  = 32   // in one digest, of each kind
)

// Updates is the changes that a node passes on in digests. Times are on one monotonic
// time line. The zero value is ready to use.
type Updates struct {
	suspects map[uint64]noted
	records  map[fleet.GroupID]homed
}

type noted struct {
	note SuspectUpdate
	at   time.Duration
}

type homed struct {
	record lease.Record
	at     time.Duration
}

// AddSuspect takes a change of a suspect and reports whether it was new.
func (s *Updates) AddSuspect(now time.Duration, n SuspectUpdate) bool {
	if s.suspects == nil {
		s.suspects = map[uint64]noted{}
	}
	if o, ok := s.suspects[n.Fingerprint]; ok && o.note.Stamp >= n.Stamp {
		return false
	}
	if len(s.suspects) >= maxSuspects {
		s.forget(now)
	}
	s.suspects[n.Fingerprint] = noted{note: n, at: now}
	return true
}

// forget drops what is over age, or else the oldest note.
func (s *Updates) forget(now time.Duration) {
	oldest, at := uint64(0), now+1
	for f, n := range s.suspects {
		if now-n.at > rememberFor {
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
		s.records = map[fleet.GroupID]homed{}
	}
	if o, ok := s.records[r.Group]; ok && (o.record.Epoch > r.Epoch || o.record == r) {
		return false
	}
	s.records[r.Group] = homed{record: r, at: now}
	return true
}

// Fill puts recent changes into d, the newest first.
func (s *Updates) Fill(now time.Duration, d *Digest) {
	var l []noted
	for _, n := range s.suspects {
		if now-n.at < spreadFor {
			l = append(l, n)
		}
	}
	slices.SortFunc(l, func(a, b noted) int {
		return cmp.Or(cmp.Compare(b.at, a.at), cmp.Compare(a.note.Fingerprint, b.note.Fingerprint))
	})
	for _, n := range l[:min(len(l), maxUpdates)] {
		d.Suspects = append(d.Suspects, n.note)
	}
	var h []homed
	for _, r := range s.records {
		if now-r.at < spreadFor {
			h = append(h, r)
		}
	}
	slices.SortFunc(h, func(a, b homed) int {
		return cmp.Or(cmp.Compare(b.at, a.at), cmp.Compare(a.record.Group.String(), b.record.Group.String()))
	})
	for _, r := range h[:min(len(h), maxUpdates)] {
		d.Records = append(d.Records, r.record)
	}
}

// Merge takes a peer's digest and returns what was new in it.
func (s *Updates) Merge(now time.Duration, d Digest) (suspects []SuspectUpdate, homes []lease.Record) {
	for _, n := range d.Suspects {
		if s.AddSuspect(now, n) {
			suspects = append(suspects, n)
		}
	}
	for _, r := range d.Records {
		if s.AddRecord(now, r) {
			homes = append(homes, r)
		}
	}
	return suspects, homes
}
