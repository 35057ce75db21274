package suspect

// This file defines how the culprits are found in recorded crashes.
//
// A prompt segment is a culprit if it was in too many crashes and no response to a request
// with it began in between. Other requests that were on the crashed servers share these
// crashes, so each culprit explains its crashes: they do not count against anything else.

import (
	"cmp"
	"iter"
	"slices"
	"strconv"
	"time"
)

const (
	// poisonThreshold is the number of crashes that make a culprit.
	poisonThreshold = 3
	// crashGap is the time within which crashes count once for a segment: servers that
	// crash together, as in the loss of a failure domain, had popular segments in common.
	crashGap = 300 * time.Millisecond
	// requestGap is the same for equal requests, one of which may be resent at once.
	requestGap = 50 * time.Millisecond
	// lossSpan is how long the loss of a failure domain may take to show: nodes notice it one after the
	// other. Within it, at most lossGroups groups of the domain's crashes count.
	lossSpan   = 3 * time.Second
	lossGroups = 2
	// otherCompany is the number of crashes, crashGap apart, without a culprit's segments that show
	// that others, which were in its crashes too, are enough.
	otherCompany = 2
)

// Request names what of a request may crash servers.
type Request struct {
	Fingerprint uint64   // of its whole content
	Segments    []uint64 // ids of the prompt segments that other requests may share
}

func (r Request) size() int { return 1 + len(r.Segments) }

// Culprit is what crashes servers: a request or, if Segments is set, all requests that have
// these segments. There are several if they were together in all crashes so far, so that any of
// them may be the cause.
type Culprit struct {
	Fingerprint uint64
	Segments    []uint64 // sorted
	Crashes     int
	From        string // the node that it was adopted from; empty: found in the recorded crashes
	groups      int    // crashes that are crashGap apart, of a request requestGap
}

// matches reports whether a request must not run because of the culprit.
func (k Culprit) matches(r Request) bool {
	if len(k.Segments) == 0 {
		return r.Fingerprint == k.Fingerprint
	}
	for _, s := range k.Segments {
		if !slices.Contains(r.Segments, s) {
			return false
		}
	}
	return true
}

// SegmentNames returns the ids of the segments as callers write them, in hexadecimal.
func (k Culprit) SegmentNames() []string {
	l := make([]string, 0, len(k.Segments))
	for _, s := range k.Segments {
		l = append(l, strconv.FormatUint(s, 16))
	}
	return l
}

func (k Culprit) same(o Culprit) bool {
	return k.Fingerprint == o.Fingerprint && slices.Equal(k.Segments, o.Segments)
}

// includes reports whether all requests that must not run because of o must not because of k either.
func (k Culprit) includes(o Culprit) bool {
	return k.matches(Request{Fingerprint: o.Fingerprint, Segments: o.Segments})
}

// shares reports whether r, which was cleared, is k or has some of its segments.
func (k Culprit) shares(r Request) bool {
	if len(k.Segments) == 0 {
		return r.Fingerprint == k.Fingerprint
	}
	return slices.ContainsFunc(k.Segments, func(s uint64) bool { return slices.Contains(r.Segments, s) })
}

// without returns what remains of k after r, which shares something with it, was cleared.
func (k Culprit) without(r Request) Culprit {
	k.Fingerprint = 0
	k.Segments = slices.DeleteFunc(slices.Clone(k.Segments), func(s uint64) bool { return slices.Contains(r.Segments, s) })
	return k
}

func (k Culprit) empty() bool { return k.Fingerprint == 0 && len(k.Segments) == 0 }

// compareCulprits orders culprits: first those that refuse fewer requests, then those with more
// crashes.
func compareCulprits(k, o Culprit) int {
	return cmp.Or(cmp.Compare(len(o.Segments), len(k.Segments)), cmp.Compare(o.Crashes, k.Crashes), slices.Compare(k.Segments, o.Segments))
}

// explains reports whether k is enough to explain the crashes of o: it was in all of them, and its
// segments went on to crash servers without o's.
func (k Culprit) explains(o Culprit, crashes []*crash) bool {
	if k.groups < o.groups+otherCompany {
		return false
	}
	return !slices.ContainsFunc(crashes, func(x *crash) bool {
		return slices.ContainsFunc(x.requests, o.matches) && !slices.ContainsFunc(x.requests, k.matches)
	})
}

// findCulprits returns the culprits of crashes, which are sorted by time. Segments come
// first, since a request that is sent several times has few crashes that its segments lack.
func findCulprits(crashes []*crash) []Culprit {
	var l []Culprit
	rest := slices.Clone(crashes)
	for _, find := range []func([]*crash) (Culprit, bool){findSegments, findRequest} {
		for len(rest) >= poisonThreshold {
			k, ok := find(rest)
			if !ok {
				break
			}
			l = append(l, k)
			rest = slices.DeleteFunc(rest, func(x *crash) bool { return slices.ContainsFunc(x.requests, k.matches) })
		}
	}
	return l
}

// tally counts the crashes that a segment or a request was in.
type tally struct {
	crashes   int
	groups    int // crashes that are a gap apart
	group     int // the last one
	byRequest map[uint64]int
	domains   []domainTally
}

// domainTally counts the groups of crashes of a failure domain within lossSpan.
type domainTally struct {
	domain string
	since  time.Time
	groups int
}

// add adds a crash of a group.
func (t *tally) add(group int, x *crash) {
	t.crashes++
	if t.group == group {
		return
	}
	t.group = group
	if t.mayBeLoss(x) {
		return
	}
	t.groups++
}

// mayBeLoss reports whether the crash that begins a group may be part of the loss of its failure domain, of
// which enough has been counted.
func (t *tally) mayBeLoss(x *crash) bool {
	if x.domain == "" {
		return false
	}
	i := slices.IndexFunc(t.domains, func(d domainTally) bool { return d.domain == x.domain })
	if i < 0 {
		i = len(t.domains)
		t.domains = append(t.domains, domainTally{domain: x.domain, since: x.at})
	}
	d := &t.domains[i]
	if x.at.Sub(d.since) >= lossSpan {
		d.since, d.groups = x.at, 0
	}
	d.groups++
	return d.groups > lossGroups
}

// grouped returns the crashes, each with the number, from 1 on, of its group. Groups begin at least gap
// apart.
func grouped(crashes []*crash, gap time.Duration) iter.Seq2[int, *crash] {
	return func(yield func(int, *crash) bool) {
		group, start := 0, time.Time{}
		for _, x := range crashes {
			if group == 0 || x.at.Sub(start) >= gap {
				group, start = group+1, x.at
			}
			if !yield(group, x) {
				return
			}
		}
	}
}

// oneRequest reports whether a single request was in all crashes, and so explains them.
func (t *tally) oneRequest() bool {
	for _, n := range t.byRequest {
		if n == t.crashes {
			return true
		}
	}
	return false
}

// findSegments returns the most likely culprit among the segments.
func findSegments(crashes []*crash) (Culprit, bool) {
	var l []Culprit
	for s, t := range tallySegments(crashes) {
		if t.groups >= poisonThreshold && !t.oneRequest() {
			l = append(l, Culprit{Segments: together(s, crashes), Crashes: t.crashes, groups: t.groups})
		}
	}
	if len(l) == 0 {
		return Culprit{}, false
	}
	slices.SortFunc(l, compareCulprits)
	best := l[0]
	for _, k := range l[1:] {
		if k.explains(best, crashes) {
			best = k
		}
	}
	return best, true
}

func tallySegments(crashes []*crash) map[uint64]*tally {
	n := map[uint64]int{} // requests with the segment; most have too few
	for _, x := range crashes {
		for _, r := range x.requests {
			for _, s := range r.Segments {
				n[s]++
			}
		}
	}
	m := map[uint64]*tally{}
	for group, x := range grouped(crashes, crashGap) {
		seen := map[uint64]bool{} // segments of this crash
		for _, r := range x.requests {
			for _, s := range r.Segments {
				if n[s] < poisonThreshold {
					continue
				}
				t := m[s]
				if t == nil {
					t = &tally{byRequest: map[uint64]int{}}
					m[s] = t
				}
				t.byRequest[r.Fingerprint]++
				if seen[s] {
					continue
				}
				seen[s] = true
				t.add(group, x)
			}
		}
	}
	return m
}

// together returns the segments, sorted, that all requests with segment s have in common.
func together(s uint64, crashes []*crash) []uint64 {
	var l []uint64
	for _, x := range crashes {
		for _, r := range x.requests {
			if !slices.Contains(r.Segments, s) {
				continue
			}
			if l == nil {
				l = slices.Clone(r.Segments)
			}
			l = slices.DeleteFunc(l, func(o uint64) bool { return !slices.Contains(r.Segments, o) })
		}
	}
	slices.Sort(l)
	return slices.Compact(l)
}

// findRequest returns the request with the most crashes.
func findRequest(crashes []*crash) (Culprit, bool) {
	m := map[uint64]*tally{}
	for group, x := range grouped(crashes, requestGap) {
		for _, r := range x.requests {
			if m[r.Fingerprint] == nil {
				m[r.Fingerprint] = &tally{}
			}
			m[r.Fingerprint].add(group, x)
		}
	}
	var best Culprit
	for f, t := range m {
		if t.groups >= poisonThreshold && (t.crashes > best.Crashes || t.crashes == best.Crashes && f < best.Fingerprint) {
			best = Culprit{Fingerprint: f, Crashes: t.crashes, groups: t.groups}
		}
	}
	return best, best.Crashes > 0
}
