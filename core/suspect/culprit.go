package suspect

// This file defines culprits, and how their crashes are counted. search.go finds them.

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
	// requestGap is the same for equal requests, one of which may be resent at once, outside of bursts.
	requestGap = 50 * time.Millisecond
	// lossSpan is how long the loss of a failure domain may take to show: nodes notice it one after the
	// other. Within it, at most lossGroups groups of the domain's crashes count.
	lossSpan   = 3 * time.Second
	lossGroups = 2
	// poisonRetryAfter is the Retry-After of a request that is refused for a culprit.
	poisonRetryAfter = 10 * time.Second
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
	burst       bool   // a request that has too few groups, but enough crashes in bursts
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

// add adds a crash of a group. Burst says that it is certainly no part of the loss of its failure domain.
func (t *tally) add(group int, x *crash, burst bool) {
	t.crashes++
	if t.group == group {
		return
	}
	t.group = group
	if t.mayBeLoss(x) && !burst {
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
