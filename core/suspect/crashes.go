package suspect

// This file defines the recorded crashes of a Counter: how reports add to them, and when they are forgotten.

import (
	"slices"
	"time"
)

// crash is one crash of a server.
type crash struct {
	server   string
	domain   string    // failure domain, empty: unknown
	at       time.Time // first report
	usedAt   time.Time // last resend of its culprit
	requests []Request // in flight, their segments sorted and without those that were cleared
}

// size returns the number of requests and segments in a crash.
func (x *crash) size() int {
	n := 0
	for _, r := range x.requests {
		n += r.size()
	}
	return n
}

// is reports whether a report at a time of a server's crash is about this one.
func (x *crash) is(server string, at time.Time) bool {
	return x.server == server && at.Sub(x.at).Abs() < sameCrash
}

// addRequests adds requests to a crash, and reports whether there was anything new in them. The lock is held.
func (c *Counter) addRequests(x *crash, requests []Request) bool {
	added := false
	for _, r := range requests {
		i := slices.IndexFunc(x.requests, func(y Request) bool { return y.Fingerprint == r.Fingerprint })
		if i >= 0 && len(x.requests[i].Segments) >= len(r.Segments) {
			continue
		}
		if i >= 0 {
			c.counted -= x.requests[i].size()
			x.requests = slices.Delete(x.requests, i, i+1)
		}
		r.Segments = slices.Compact(slices.Sorted(slices.Values(r.Segments))) // a copy, as cleared ones are deleted
		x.requests = append(x.requests, r)
		c.counted += r.size()
		c.index.add(r)
		added = true
	}
	c.stale = true
	if c.index.size() > 2*max(c.counted, maxCounted) {
		c.index = newIndex(c.crashes)
	}
	return added
}

// crashOf returns the crash of a server that is being reported, and happened at a time. The lock is held.
func (c *Counter) crashOf(server string, at time.Time) *crash {
	if x := c.find(server, at); x != nil {
		return x
	}
	x := &crash{server: server, at: at, usedAt: c.now()}
	if c.Domain != nil {
		x.domain = c.Domain(server)
	}
	i := len(c.crashes)
	for i > 0 && c.crashes[i-1].at.After(at) {
		i--
	}
	c.crashes = slices.Insert(c.crashes, i, x)
	return x
}

// find returns the crash of a server that a report at a time is about, or nil. The lock is held.
func (c *Counter) find(server string, at time.Time) *crash {
	for _, x := range c.crashes {
		if x.is(server, at) {
			return x
		}
	}
	return nil
}

// evict deletes what has expired, and the oldest crashes if too much is counted. The lock is held.
func (c *Counter) evict() {
	if now := c.now(); now.Sub(c.expiredAt) >= expireInterval {
		c.expiredAt = now
		c.expire(now)
	}
	for c.counted > maxCounted && len(c.crashes) > 1 {
		c.remove(c.oldest())
	}
}

// expire deletes expired crashes and notices. The lock is held.
func (c *Counter) expire(now time.Time) {
	if c.notices.expire(now) {
		c.stale = true
	}
	for i := len(c.crashes) - 1; i >= 0; i-- {
		if x := c.crashes[i]; hasExpired(x.at, x.usedAt, now) {
			c.remove(i)
		}
	}
}

// hasExpired reports whether a crash does not count any more.
func hasExpired(at, usedAt, now time.Time) bool {
	return now.Sub(at) > countedFor && now.Sub(usedAt) > crashTTL
}

// remove deletes a crash. The lock is held.
func (c *Counter) remove(i int) {
	c.counted -= c.crashes[i].size()
	c.crashes = slices.Delete(c.crashes, i, i+1)
	c.stale = true
}

// oldest returns the index of the crash whose culprit was resent longest ago, of those without a
// culprit if there are any. The newest crash does not count, as there was no search yet. The lock is held.
func (c *Counter) oldest() int {
	l := c.crashes[:len(c.crashes)-1]
	for _, explained := range []bool{false, true} {
		oldest := -1
		for i, x := range l {
			if c.explained(x) == explained && (oldest < 0 || x.usedAt.Before(l[oldest].usedAt)) {
				oldest = i
			}
		}
		if oldest >= 0 {
			return oldest
		}
	}
	return 0
}

// explained reports whether a culprit was on the server. The lock is held.
func (c *Counter) explained(x *crash) bool {
	return slices.ContainsFunc(c.culprits, func(k Culprit) bool { return slices.ContainsFunc(x.requests, k.matches) })
}
