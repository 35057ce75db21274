package suspect

// This file defines the memory of what responses have cleared, which wins over notices of nodes that were not
// told of it.

import (
	"slices"
	"time"
)

// maxClearances bounds the clearances that are remembered.
const maxClearances = 256

// clearance is what a response has cleared.
type clearance struct {
	request Request // fingerprint 0: only the segments
	at      time.Time
}

// clearances holds the clearances of the last crashTTL, oldest first.
type clearances []clearance

func (l *clearances) expire(now time.Time) {
	*l = slices.DeleteFunc(*l, func(x clearance) bool { return now.Sub(x.at) > crashTTL })
}

func (l *clearances) add(r Request, now time.Time) {
	r.Segments = slices.Clone(r.Segments)
	*l = append(*l, clearance{r, now})
	if len(*l) > maxClearances {
		*l = slices.Delete(*l, 0, 1)
	}
}

// apply returns what remains of a notice after the clearances since its last crash, and what they took.
func (l clearances) apply(n Notice) (left Notice, taken []Request) {
	for _, x := range l {
		if !x.at.After(n.CrashedAt) || !n.shares(x.request) {
			continue
		}
		rest := n.without(x.request)
		r := Request{Fingerprint: n.Fingerprint}
		r.Segments = slices.DeleteFunc(slices.Clone(n.Segments), func(s uint64) bool { return slices.Contains(rest.Segments, s) })
		taken = append(taken, r)
		n.Culprit = rest
	}
	return n, taken
}

// uncleared returns what remains of requests that were in a crash after the clearances since then.
func (l clearances) uncleared(requests []Request, crashedAt time.Time) []Request {
	var left []Request
	for _, r := range requests {
		r.Segments = slices.Clone(r.Segments)
		cleared := false
		for _, x := range l {
			if !x.at.After(crashedAt) {
				continue
			}
			cleared = cleared || x.request.Fingerprint != 0 && x.request.Fingerprint == r.Fingerprint
			r.Segments = slices.DeleteFunc(r.Segments, func(s uint64) bool { return slices.Contains(x.request.Segments, s) })
		}
		if !cleared {
			left = append(left, r)
		}
	}
	return left
}
