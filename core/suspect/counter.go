package suspect

// This file defines the record of crashes on servers on which a request cannot run
// exclusively. culprit.go decides which requests caused them.

import (
	"slices"
	"sync"
	"time"
)

const (
	// crashTTL is how long a culprit's crashes count after it was last resent.
	crashTTL = time.Hour
	// countedFor is how long a crash counts in any case: as long as poisonThreshold crashes
	// take that are up to crashTTL apart.
	countedFor = (poisonThreshold - 1) * crashTTL
	// sameCrash is the time after the first report of a crash for which reports on the same
	// server are about it. It is shorter than a restart takes.
	sameCrash = 2500 * time.Millisecond
	// searchInterval is the minimum time between two searches for culprits while only
	// reports arrive.
	searchInterval = 50 * time.Millisecond
	// expireInterval is the minimum time between two passes that delete what has expired.
	expireInterval = time.Second
	// maxCounted bounds the requests and segments in all recorded crashes together; the
	// oldest crashes are evicted first, those of culprits last.
	maxCounted = 8192
)

// Counter finds what crashes servers: a request, by its fingerprint, or a prompt segment that
// several requests share. All nodes get the same reports, and each decides by itself; it adopts
// what others found before it started or while it was out of reach. The zero value is ready to
// use, with a clock that stands still. It is safe for concurrent use.
type Counter struct {
	Now func() time.Time
	// Domain, if set, returns the failure domain of a server, empty if it is not known.
	Domain func(server string) string
	// OnFound, if set, is called when a culprit is found, OnReleased when it is none any more.
	OnFound, OnReleased func(Culprit)

	mu         sync.Mutex
	crashes    []*crash // oldest first
	counted    int      // requests and segments in crashes
	index      index    // of crashes
	stale      bool     // crashes changed since the last search
	searchedAt time.Time
	expiredAt  time.Time
	culprits   []Culprit // found in crashes, then those adopted
	notices    notices   // of all culprits
	trials     trials
	watchers   map[*watcher]struct{}
	excused    map[string]time.Time // servers, by when Excuse was called
	revision   Revision
}

// watcher waits for a request to become poison.
type watcher struct {
	request Request
	f       func()
}

func (c *Counter) now() time.Time {
	if c.Now == nil {
		return time.Time{}
	}
	return c.Now()
}

// ObserveCrash records that requests were on a server when it crashed. A request whose
// response had begun is to be passed without segments.
func (c *Counter) ObserveCrash(server string, requests []Request) {
	c.ObserveCrashAt(server, c.now(), requests)
}

// ObserveCrashAt is ObserveCrash for a crash that became known later than it happened.
func (c *Counter) ObserveCrashAt(server string, at time.Time, requests []Request) {
	c.mu.Lock()
	if c.isExcused(server) {
		c.mu.Unlock()
		return
	}
	if now := c.now(); at.After(now) {
		at = now
	}
	if c.addRequests(c.crashOf(server, at), requests) {
		c.revision.Learned++
	}
	c.evict()
	notify := func() {}
	if c.now().Sub(c.searchedAt) >= searchInterval {
		notify = c.search()
	}
	c.mu.Unlock()
	notify()
}

// ObserveSuccess clears a request that succeeded, and its segments. It reports whether
// crashes were counted for any of them.
func (c *Counter) ObserveSuccess(r Request) bool {
	return c.clear(r, true)
}

// ObserveResponse clears the segments of a request whose response has begun, and reports
// whether crashes were counted for any of them.
func (c *Counter) ObserveResponse(r Request) bool {
	return c.clear(r, false)
}

func (c *Counter) clear(r Request, whole bool) bool {
	c.mu.Lock()
	if len(c.crashes) == 0 && len(c.culprits) == 0 {
		c.mu.Unlock()
		return false
	}
	if !whole {
		r.Fingerprint = 0
	}
	cleared := c.notices.clear(r)
	if c.index.take(r, whole) {
		cleared = c.clearCrashes(r, whole) || cleared
	}
	notify := func() {}
	if cleared {
		c.revision.Cleared++
		c.notices.clearances.add(r, c.now())
		notify = c.search()
	}
	c.mu.Unlock()
	notify()
	return cleared
}

// clearCrashes takes what is cleared out of the recorded crashes, and reports whether there was any. The lock is held.
func (c *Counter) clearCrashes(r Request, whole bool) bool {
	before := c.counted
	for _, x := range c.crashes {
		x.requests = slices.DeleteFunc(x.requests, func(y Request) bool {
			if !whole || y.Fingerprint != r.Fingerprint {
				return false
			}
			c.counted -= y.size()
			return true
		})
		for i := range x.requests {
			y := &x.requests[i]
			n := len(y.Segments)
			y.Segments = slices.DeleteFunc(y.Segments, func(s uint64) bool { return slices.Contains(r.Segments, s) })
			c.counted -= n - len(y.Segments)
		}
	}
	return c.counted < before
}

// IsPoison reports whether a request must not run, and the culprit that says so. Each call
// that returns true counts as a resend and keeps the culprit for another crashTTL.
func (c *Counter) IsPoison(r Request) (Culprit, bool) {
	c.mu.Lock()
	c.evict()
	notify := func() {}
	if c.stale {
		notify = c.search()
	}
	k, ok := c.culpritOf(r)
	if ok {
		c.notices.renew(k, c.now())
		c.keepCrashes(k, c.now())
	}
	c.mu.Unlock()
	notify()
	return k, ok
}

// MayBePoison reports whether a request has one of the segments of a culprit, any of which may be the cause of
// its crashes.
func (c *Counter) MayBePoison(r Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.culprits, func(k Culprit) bool { return k.shares(r) })
}

// Known returns the number of recorded crashes and that of culprits.
func (c *Counter) Known() (crashes, culprits int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.crashes), len(c.culprits)
}

// keepCrashes records when a request was refused for a culprit, on this node or another. The lock is held.
func (c *Counter) keepCrashes(k Culprit, usedAt time.Time) {
	for _, x := range c.crashes {
		if x.usedAt.Before(usedAt) && slices.ContainsFunc(x.requests, k.matches) {
			x.usedAt = usedAt
		}
	}
}

// Notices returns the notices that other nodes are to get.
func (c *Counter) Notices() []Notice {
	c.mu.Lock()
	c.evict()
	notify := func() {}
	if c.stale {
		notify = c.search()
	}
	l := c.notices.fresh(c.now())
	c.mu.Unlock()
	notify()
	return l
}

// Adopt merges the notices of a node, whose name must not be empty. It returns what was cleared
// without that node's knowledge.
func (c *Counter) Adopt(from string, l []Notice) (cleared []Request) {
	c.mu.Lock()
	c.evict()
	for _, n := range l[:min(len(l), maxNotices)] {
		n, ok := n.validate(c.now())
		if !ok {
			continue
		}
		n, taken := c.notices.clearances.apply(n)
		cleared = append(cleared, taken...)
		if n.empty() {
			continue
		}
		n.From = from
		renewedAt, adopted := c.notices.merge(n)
		c.keepCrashes(n.Culprit, renewedAt)
		if adopted {
			c.stale = true
			c.revision.Learned++
		}
	}
	notify := func() {}
	if c.stale {
		notify = c.search()
	}
	c.mu.Unlock()
	notify()
	return cleared
}

func (c *Counter) culpritOf(r Request) (Culprit, bool) {
	i := slices.IndexFunc(c.culprits, func(k Culprit) bool { return k.matches(r) })
	if i < 0 {
		return Culprit{}, false
	}
	return c.culprits[i], true
}

// Watch calls f once if a request becomes poison before stop is called.
func (c *Counter) Watch(r Request, f func()) (stop func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.watchers == nil {
		c.watchers = map[*watcher]struct{}{}
	}
	w := &watcher{request: r, f: f}
	c.watchers[w] = struct{}{}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.watchers, w)
	}
}

// search finds the culprits anew and returns a function that calls the hooks and watchers;
// it is to be called without the lock. The lock is held.
func (c *Counter) search() (notify func()) {
	c.stale, c.searchedAt = false, c.now()
	old := c.culprits
	own := findCulprits(c.crashes)
	c.notices.setOwn(own, c.crashes)
	c.culprits = append(own, c.notices.adopted(own)...)
	c.trials.retain(c.culprits)
	found, released := missing(old, c.culprits), missing(c.culprits, old)
	if len(found)+len(released) == 0 {
		return func() {}
	}
	var l []func()
	for w := range c.watchers {
		if _, ok := c.culpritOf(w.request); ok {
			l = append(l, w.f)
			delete(c.watchers, w)
		}
	}
	return func() {
		for _, f := range l {
			f()
		}
		call(c.OnReleased, released)
		call(c.OnFound, found)
	}
}

func call(f func(Culprit), l []Culprit) {
	if f == nil {
		return
	}
	for _, k := range l {
		f(k)
	}
}

// missing returns the culprits of l that are not in from.
func missing(from, l []Culprit) []Culprit {
	var o []Culprit
	for _, k := range l {
		if !slices.ContainsFunc(from, k.same) {
			o = append(o, k)
		}
	}
	return o
}
