package suspect

// This file defines how recorded crashes are found by what was in them, so that requests and searches need not walk
// through all of them.

import "slices"

// index says what may be in recorded crashes. A response that clears nothing, as nearly all do, looks no further. It
// also holds some of what was in evicted crashes. The zero value is empty. It is not safe
// for concurrent use.
type index struct {
	fingerprints, segments map[uint64]struct{}
}

// newIndex returns the index of crashes.
func newIndex(crashes []*crash) index {
	var x index
	for _, c := range crashes {
		for _, r := range c.requests {
			x.add(r)
		}
	}
	return x
}

func (x *index) size() int { return len(x.fingerprints) + len(x.segments) }

// add adds a request and its segments.
func (x *index) add(r Request) {
	if x.fingerprints == nil {
		x.fingerprints, x.segments = map[uint64]struct{}{}, map[uint64]struct{}{}
	}
	x.fingerprints[r.Fingerprint] = struct{}{}
	for _, s := range r.Segments {
		x.segments[s] = struct{}{}
	}
}

// take removes the segments of a request, and the request itself if it is cleared as a whole. It reports
// whether any of them was there.
func (x *index) take(r Request, whole bool) bool {
	before := x.size()
	if whole {
		delete(x.fingerprints, r.Fingerprint)
	}
	for _, s := range r.Segments {
		delete(x.segments, s)
	}
	return x.size() < before
}

// crashSightings lists the crashes, oldest first, that a request or segment was in.
type crashSightings struct {
	fingerprints, segments map[uint64][]*crash
}

// sightCrashes returns the sightings in crashes.
func sightCrashes(crashes []*crash) crashSightings {
	s := crashSightings{map[uint64][]*crash{}, map[uint64][]*crash{}}
	add := func(m map[uint64][]*crash, id uint64, x *crash) {
		if l := m[id]; len(l) == 0 || l[len(l)-1] != x {
			m[id] = append(l, x)
		}
	}
	for _, x := range crashes {
		for _, r := range x.requests {
			add(s.fingerprints, r.Fingerprint, x)
			for _, id := range r.Segments {
				add(s.segments, id, x)
			}
		}
	}
	return s
}

// of returns the crashes of a culprit.
func (s *crashSightings) of(k Culprit) []*crash {
	l := s.fingerprints[k.Fingerprint]
	if len(k.Segments) > 0 {
		l = s.segments[k.Segments[0]]
	}
	return slices.DeleteFunc(slices.Clone(l), func(x *crash) bool { return !slices.ContainsFunc(x.requests, k.matches) })
}
