package lease

import "time"

// Reading is one sample of the clocks of a machine, each since an arbitrary origin.
// A monotonic clock stops while a VM is suspended, a wall clock can be
// set, and a boot clock counts suspension; none of them is safe alone.
type Reading struct {
	Mono, Wall, Boot time.Duration
}

// Time is a point on two time lines. Fast never runs behind any clock of the
// machine: authority that this node holds expires by it. Slow never runs ahead of
// any clock: waiting for another node's authority to expire is counted by it.
type Time struct {
	Fast, Slow time.Duration
}

// Clock converts readings to times. The zero value is ready to use.
type Clock struct {
	last    Reading
	now     Time
	started bool
}

// Advance returns the time of reading r. A clock that went backwards counts as
// stopped.
func (c *Clock) Advance(r Reading) Time {
	if !c.started {
		c.last, c.started = r, true
		return c.now
	}
	l := c.last
	c.last = r
	c.now.Fast += Elapsed(l, r)
	c.now.Slow += max(0, min(r.Mono-l.Mono, r.Wall-l.Wall, r.Boot-l.Boot))
	return c.now
}

// Elapsed returns the largest time that any clock measured from a to b.
func Elapsed(a, b Reading) time.Duration {
	return max(0, b.Mono-a.Mono, b.Wall-a.Wall, b.Boot-a.Boot)
}

// Terms are the durations of the protocol. Zero fields take the defaults.
type Terms struct {
	Lease   time.Duration // term of lease/<node>, 3 s
	Renew   time.Duration // between renewals, 1 s
	Promise time.Duration // term of a standby's promise, 1.5 s
	// Outage is the term of a promise while holder and standby both cannot reach
	// the table, 60 s. Such a standby could not take over an expired lease anyway,
	// and the long term lets the holder keep its authority until the VM list
	// reports that the VM of a failed standby is gone.
	Outage time.Duration
}

func (t Terms) orDefault() Terms {
	def := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	def(&t.Lease, 3*time.Second)
	def(&t.Renew, time.Second)
	def(&t.Promise, 1500*time.Millisecond)
	def(&t.Outage, time.Minute)
	return t
}

// TermOf returns the lease term of t, or the default.
func TermOf(t Terms) time.Duration { return t.orDefault().Lease }

// shortenForDrift and extendForDrift apply the margin for clock drift: a holder stops
// 10% early and a successor waits 10% longer, so clocks may differ in rate by 5% each
// way.
func shortenForDrift(d time.Duration) time.Duration { return d - d/10 }
func extendForDrift(d time.Duration) time.Duration  { return d + d/10 }
