package suspect

// This file defines crashes that have another cause than the requests on the server.

import (
	"maps"
	"time"
)

// excusedFor is how long the crash of a server is excused: nodes report it when they notice it, which may be as
// late as its entry is replaced.
const excusedFor = 6 * time.Second

// Excuse records that the present crash of a server, reported or not, has another cause than its requests, as the
// want of memory. What was found by it alone is released.
func (c *Counter) Excuse(server string) {
	c.mu.Lock()
	now := c.now()
	maps.DeleteFunc(c.excused, func(_ string, t time.Time) bool { return now.Sub(t) >= excusedFor })
	if c.excused == nil {
		c.excused = map[string]time.Time{}
	}
	c.excused[server] = now
	for i := len(c.crashes) - 1; i >= 0; i-- {
		if c.crashes[i].is(server, now) {
			c.remove(i)
			c.revision.Cleared++
		}
	}
	notify := c.search()
	c.mu.Unlock()
	notify()
}

// isExcused reports whether the present crash of a server is excused. The lock is held.
func (c *Counter) isExcused(server string) bool {
	t, ok := c.excused[server]
	return ok && c.now().Sub(t) < excusedFor
}
