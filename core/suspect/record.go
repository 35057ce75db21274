package suspect

// This file defines the record: what a Counter has learned in a form that is kept outside of the nodes, so
// that it outlives them all. recorder.go decides when it is written.
//
// A record is read at the start of a node, and before one is written over it that does not follow from it. It
// only adds to what a node knows: what responses have cleared is left out of the next record instead.

import (
	"slices"
	"time"
)

// maxRecorded bounds the requests and segments in a record. The oldest crashes are left out first, those of
// culprits last.
const maxRecorded = 4096

// Record is what a Counter knows. Times are those of its clock.
type Record struct {
	Crashes []RecordedCrash // oldest first
	Notices []Notice        // of all culprits; From does not count
}

// RecordedCrash is one crash of a server.
type RecordedCrash struct {
	Server   string
	Domain   string    // failure domain, empty: unknown
	At       time.Time // first report
	UsedAt   time.Time // last time that a request was refused for it, or At
	Requests []Request // in flight, without what responses have cleared
}

// Revision counts the changes of what a Counter knows.
type Revision struct {
	Learned int // crashes, and culprits of other nodes
	Cleared int // what is not blamed any more
}

// Revision returns the present revision.
func (c *Counter) Revision() Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision
}

// Record returns what the Counter knows, and the revision that this is.
func (c *Counter) Record() (Record, Revision) {
	c.mu.Lock()
	c.evict()
	notify := func() {}
	if c.stale {
		notify = c.search()
	}
	r := Record{Notices: c.notices.fresh(c.now())}
	for _, x := range c.mostWorthKeeping() {
		k := RecordedCrash{Server: x.server, Domain: x.domain, At: x.at, UsedAt: x.usedAt}
		for _, q := range x.requests {
			k.Requests = append(k.Requests, Request{Fingerprint: q.Fingerprint, Segments: slices.Clone(q.Segments)})
		}
		r.Crashes = append(r.Crashes, k)
	}
	v := c.revision
	c.mu.Unlock()
	notify()
	return r, v
}

// mostWorthKeeping returns the crashes with something in them that fit into a record, oldest first. The lock is held.
func (c *Counter) mostWorthKeeping() []*crash {
	var kept []*crash
	left := maxRecorded
	for _, explained := range []bool{true, false} {
		for _, x := range slices.Backward(c.crashes) {
			n := x.size()
			if n == 0 || n > left || c.explained(x) != explained {
				continue
			}
			kept = append(kept, x)
			left -= n
		}
	}
	slices.SortStableFunc(kept, func(x, y *crash) int { return x.at.Compare(y.at) })
	return kept
}

// Restore adds what a record holds and this node does not know, from says where it was kept. It returns how many
// crashes were new or had requests that were.
func (c *Counter) Restore(from string, r Record) (added int) {
	c.mu.Lock()
	for _, k := range r.Crashes {
		if c.restoreCrash(k) {
			added++
		}
	}
	c.evict()
	notify := c.search()
	c.mu.Unlock()
	notify()
	c.Adopt(from, r.Notices)
	return added
}

// restoreCrash adds a crash of a record, and reports whether there was anything new in it. The lock is held.
func (c *Counter) restoreCrash(k RecordedCrash) bool {
	now := c.now()
	if k.UsedAt.Before(k.At) {
		k.UsedAt = k.At
	}
	if k.UsedAt.After(now) || hasExpired(k.At, k.UsedAt, now) || len(k.Requests) == 0 {
		return false
	}
	l := c.notices.clearances.uncleared(k.Requests, k.At)
	x := c.find(k.Server, k.At)
	if x == nil && (len(l) == 0 || now.Sub(k.At) < sameCrash && c.isExcused(k.Server)) {
		return false
	}
	if x == nil {
		x = &crash{server: k.Server, domain: k.Domain, at: k.At, usedAt: k.UsedAt}
		i, _ := slices.BinarySearchFunc(c.crashes, k.At, func(y *crash, at time.Time) int { return y.at.Compare(at) })
		c.crashes = slices.Insert(c.crashes, i, x)
	}
	if x.usedAt.Before(k.UsedAt) {
		x.usedAt = k.UsedAt
	}
	return c.addRequests(x, l)
}

// Lacks reports whether a record lacks a crash, or a request in one, that the next record of this node would hold.
func (c *Counter) Lacks(r Record) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.mostWorthKeeping() {
		i := slices.IndexFunc(r.Crashes, func(k RecordedCrash) bool { return x.is(k.Server, k.At) })
		if i < 0 {
			return true
		}
		for _, q := range x.requests {
			if !slices.ContainsFunc(r.Crashes[i].Requests, q.isPartOf) {
				return true
			}
		}
	}
	return slices.ContainsFunc(c.notices.fresh(c.now()), func(n Notice) bool {
		return n.From != "" && !slices.ContainsFunc(r.Notices, func(o Notice) bool { return o.same(n.Culprit) })
	})
}

// isPartOf reports whether r is o, with no segments that o lacks.
func (r Request) isPartOf(o Request) bool {
	return r.Fingerprint == o.Fingerprint && !slices.ContainsFunc(r.Segments, func(s uint64) bool { return !slices.Contains(o.Segments, s) })
}
