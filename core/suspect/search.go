package suspect

// This file defines how the culprits are found in recorded crashes.
//
// A prompt segment is a culprit if it was in too many crashes and no response to a request
// with it began in between. Other requests that were on the crashed servers share these
// crashes, so each culprit explains its crashes: they do not count against anything else.

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// findCulprits returns the culprits of crashes, which are sorted by time. Segments come
// first, since a request that is sent several times has few crashes that its segments lack.
func findCulprits(crashes []*crash) []Culprit {
	s := newSearch(crashes, crashGap, func(r Request) []uint64 { return r.Segments })
	l := s.run(s.segmentCulprit, s.bestSegments)
	s = newSearch(s.rest(), requestGap, func(r Request) []uint64 { return []uint64{r.Fingerprint} })
	return append(l, s.run(s.requestCulprit, bestRequest)...)
}

// search looks for culprits in crashes. What was in few crashes is looked at again only if some of these
// were explained, so that the work grows with what is recorded and not with its product with the culprits.
type search struct {
	crashes   []*crash
	groups    []int       // of crashes, see grouped
	sizes     map[int]int // of groups, in crashes
	explained []bool      // crashes that a culprit explains
	ids       func(Request) []uint64
	sightings map[uint64][]sighting // by segment or fingerprint, in the order of crashes
}

// sighting says that a request was in a crash.
type sighting struct{ crash, request int }

// newSearch returns a search for what ids returns of each request.
func newSearch(crashes []*crash, gap time.Duration, ids func(Request) []uint64) *search {
	s := &search{crashes: crashes, explained: make([]bool, len(crashes)), sizes: map[int]int{}, ids: ids, sightings: map[uint64][]sighting{}}
	for group, x := range grouped(crashes, gap) {
		for i, r := range x.requests {
			for _, id := range ids(r) {
				s.sightings[id] = append(s.sightings[id], sighting{len(s.groups), i})
			}
		}
		s.groups = append(s.groups, group)
		s.sizes[group]++
	}
	return s
}

// run returns the culprits: of the candidates, again and again the best one. Best may change its argument.
func (s *search) run(candidate func(id uint64) (Culprit, bool), best func([]Culprit) Culprit) []Culprit {
	candidates := map[uint64]Culprit{}
	update := func(id uint64) {
		delete(candidates, id)
		if k, ok := candidate(id); ok {
			candidates[id] = k
		}
	}
	for id := range s.sightings {
		update(id)
	}
	var found, l []Culprit
	for len(candidates) > 0 {
		l = slices.AppendSeq(l[:0], maps.Values(candidates))
		k := best(l)
		found = append(found, k)
		for id := range s.explain(k) {
			update(id)
		}
	}
	return found
}

// explain marks the crashes of a culprit as explained, and returns what was in them.
func (s *search) explain(k Culprit) map[uint64]bool {
	ids := map[uint64]bool{}
	for i := range s.crashesOf(k) {
		s.explained[i] = true
		for _, r := range s.crashes[i].requests {
			for _, id := range s.ids(r) {
				ids[id] = true
			}
		}
	}
	return ids
}

// crashesOf returns the indices of the crashes of a culprit that are not explained.
func (s *search) crashesOf(k Culprit) map[int]bool {
	id := k.Fingerprint
	if len(k.Segments) > 0 {
		id = k.Segments[0]
	}
	m := map[int]bool{}
	for _, x := range s.sightings[id] {
		if !s.explained[x.crash] && k.matches(s.crashes[x.crash].requests[x.request]) {
			m[x.crash] = true
		}
	}
	return m
}

// rest returns the crashes that are not explained.
func (s *search) rest() []*crash {
	var l []*crash
	for i, x := range s.crashes {
		if !s.explained[i] {
			l = append(l, x)
		}
	}
	return l
}

// tally counts the crashes that a segment or a request was in and that are not explained.
func (s *search) tally(id uint64) tally {
	return s.tallyBy(id, func(crash int) (int, bool) { return s.groups[crash], false })
}

// tallyBy is tally with other groups: groupOf returns the number, from 1 on, of that of a crash, and whether it is a
// burst; see tally.add.
func (s *search) tallyBy(id uint64, groupOf func(crash int) (group int, burst bool)) tally {
	t := tally{byRequest: map[uint64]int{}}
	last := -1
	for _, x := range s.sightings[id] {
		if s.explained[x.crash] {
			continue
		}
		t.byRequest[s.crashes[x.crash].requests[x.request].Fingerprint]++
		if x.crash != last {
			group, burst := groupOf(x.crash)
			t.add(group, s.crashes[x.crash], burst)
			last = x.crash
		}
	}
	return t
}

// segmentCulprit returns the culprit that a segment is part of, if it was in too many crashes. A single
// request that was in all of them explains them.
func (s *search) segmentCulprit(id uint64) (Culprit, bool) {
	if len(s.sightings[id]) < poisonThreshold {
		return Culprit{}, false
	}
	t := s.tally(id)
	if t.groups < poisonThreshold || t.oneRequest() {
		return Culprit{}, false
	}
	return Culprit{Segments: s.together(id), Crashes: t.crashes, groups: t.groups}, true
}

// together returns the segments, sorted, that all requests with a segment have in common.
func (s *search) together(id uint64) []uint64 {
	var l []uint64
	for _, x := range s.sightings[id] {
		if s.explained[x.crash] {
			continue
		}
		r := s.crashes[x.crash].requests[x.request]
		if l == nil {
			l = slices.Clone(r.Segments)
		}
		l = intersect(l, r.Segments)
	}
	return l
}

// intersect returns what is in both l, which it overwrites, and o. Both are sorted.
func intersect(l, o []uint64) []uint64 {
	n := 0
	for _, x := range l {
		for len(o) > 0 && o[0] < x {
			o = o[1:]
		}
		if len(o) > 0 && o[0] == x {
			l[n] = x
			n++
		}
	}
	return l[:n]
}

// bestSegments returns the most likely culprit among segments.
func (s *search) bestSegments(l []Culprit) Culprit {
	best := slices.MinFunc(l, compareCulprits)
	l = slices.DeleteFunc(l, func(k Culprit) bool { return k.groups < best.groups+otherCompany })
	slices.SortFunc(l, compareCulprits)
	for _, k := range l {
		if s.explains(k, best) {
			best = k
		}
	}
	return best
}

// explains reports whether k is enough to explain the crashes of o: it was in all of them, and its
// segments went on to crash servers without o's.
func (s *search) explains(k, o Culprit) bool {
	if k.groups < o.groups+otherCompany {
		return false
	}
	for i := range s.crashesOf(o) {
		if !slices.ContainsFunc(s.crashes[i].requests, k.matches) {
			return false
		}
	}
	return true
}

// requestCulprit returns the culprit that a request is, if it was in too many crashes.
func (s *search) requestCulprit(fingerprint uint64) (Culprit, bool) {
	if len(s.sightings[fingerprint]) < poisonThreshold {
		return Culprit{}, false
	}
	t := s.tally(fingerprint)
	k := Culprit{Fingerprint: fingerprint, Crashes: t.crashes, groups: t.groups}
	if t.groups >= poisonThreshold {
		return k, true
	}
	k.burst = s.burstTally(fingerprint).groups >= poisonThreshold
	return k, k.burst
}

// bestRequest returns the request with the most crashes.
func bestRequest(l []Culprit) Culprit {
	return slices.MinFunc(l, func(k, o Culprit) int {
		return cmp.Or(cmp.Compare(o.Crashes, k.Crashes), cmp.Compare(k.Fingerprint, o.Fingerprint))
	})
}
