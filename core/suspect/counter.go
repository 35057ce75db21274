package suspect

// This file defines how requests that crash servers are found where a request cannot run
// exclusively on a server: one that was on several servers when they crashed, and did not
// succeed in between, does not run again.

import (
	"slices"
	"sync"
	"time"
)

const (
	// poisonThreshold is the number of servers that must have crashed with a request before
	// it counts as poison.
	poisonThreshold = 3
	// crashTTL is how long the crashes of a request count after the last one or, once it
	// is poison, after the last resend.
	crashTTL = time.Minute
	// maxCounted bounds the requests that are counted; the oldest are evicted first.
	maxCounted = 4096
)

// Counter counts the crashes of each request, by its fingerprint. The zero value is ready
// to use, with a clock that stands still. It is safe for concurrent use.
type Counter struct {
	Now func() time.Time

	mu      sync.Mutex
	records map[uint64]*crashRecord
}

type crashRecord struct {
	servers []string
	updated time.Time
}

func (c *Counter) now() time.Time {
	if c.Now == nil {
		return time.Time{}
	}
	return c.Now()
}

// ObserveCrash records that a request was on a server when it crashed.
func (c *Counter) ObserveCrash(fingerprint uint64, server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.records == nil {
		c.records = map[uint64]*crashRecord{}
	}
	x := c.records[fingerprint]
	if x == nil || c.now().Sub(x.updated) > crashTTL {
		c.evict()
		x = &crashRecord{}
		c.records[fingerprint] = x
	}
	x.updated = c.now()
	if !slices.Contains(x.servers, server) {
		x.servers = append(x.servers, server)
	}
}

// evict makes space for one request if the counter is full: it deletes all expired
// records, or else the oldest one. The lock is held.
func (c *Counter) evict() {
	if len(c.records) < maxCounted {
		return
	}
	var oldest uint64
	at := c.now()
	for f, x := range c.records {
		if c.now().Sub(x.updated) > crashTTL {
			delete(c.records, f)
		} else if !x.updated.After(at) {
			oldest, at = f, x.updated
		}
	}
	if len(c.records) >= maxCounted {
		delete(c.records, oldest)
	}
}

// ObserveSuccess clears the crashes of a request that succeeded and reports whether there
// were any.
func (c *Counter) ObserveSuccess(fingerprint uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.records[fingerprint] == nil {
		return false
	}
	delete(c.records, fingerprint)
	return true
}

// IsPoison reports whether a request must not run. Each call that returns true counts as a
// resend and keeps the record for another crashTTL.
func (c *Counter) IsPoison(fingerprint uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.records[fingerprint]
	if x == nil || len(x.servers) < poisonThreshold || c.now().Sub(x.updated) > crashTTL {
		return false
	}
	x.updated = c.now()
	return true
}
