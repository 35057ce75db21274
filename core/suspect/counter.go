package suspect

// This file defines how requests that crash servers are found where a request cannot be
// run alone: one that was on several servers as they crashed, and never ended well in
// between, does not run again.

import (
	"slices"
	"sync"
	"time"
)

const (
	// condemnedBy is the number of servers that a request must have been on as they crashed.
	condemnedBy = 3
	// remembered is how long a crash counts after the last one or the last resend.
	remembered = time.Minute
	// mostCounted bounds the requests that are remembered; the oldest go first.
	mostCounted = 4096
)

// Counter counts the crashes of each request, by its fingerprint. The zero value is ready
// to use, with a clock that stands still. It is safe for concurrent use.
type Counter struct {
	Now func() time.Time

	mu   sync.Mutex
	seen map[uint64]*crashes
}

type crashes struct {
	servers []string
	at      time.Time
}

func (c *Counter) now() time.Time {
	if c.Now == nil {
		return time.Time{}
	}
	return c.Now()
}

// ObserveCrash notes that a request was on a server as it crashed.
func (c *Counter) ObserveCrash(fingerprint uint64, server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.seen == nil {
		c.seen = map[uint64]*crashes{}
	}
	x := c.seen[fingerprint]
	if x == nil || c.now().Sub(x.at) > remembered {
		c.makeRoom()
		x = &crashes{}
		c.seen[fingerprint] = x
	}
	x.at = c.now()
	if !slices.Contains(x.servers, server) {
		x.servers = append(x.servers, server)
	}
}

// makeRoom drops what is old, or else the oldest. The lock is held.
func (c *Counter) makeRoom() {
	if len(c.seen) < mostCounted {
		return
	}
	var oldest uint64
	at := c.now()
	for f, x := range c.seen {
		if c.now().Sub(x.at) > remembered {
			delete(c.seen, f)
		} else if !x.at.After(at) {
			oldest, at = f, x.at
		}
	}
	if len(c.seen) >= mostCounted {
		delete(c.seen, oldest)
	}
}

// ObserveSuccess notes that a request ended well and reports whether crashes were counted for it.
func (c *Counter) ObserveSuccess(fingerprint uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.seen[fingerprint] == nil {
		return false
	}
	delete(c.seen, fingerprint)
	return true
}

// IsPoison reports whether a request must not run. Asking counts as a resend.
func (c *Counter) IsPoison(fingerprint uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.seen[fingerprint]
	if x == nil || len(x.servers) < condemnedBy || c.now().Sub(x.at) > remembered {
		return false
	}
	x.at = c.now()
	return true
}
