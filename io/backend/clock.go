package backend

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock measures elapsed time such that a paused process, a suspended VM or a clock
// step never makes it appear shorter than it was. The zero value reads the system
// clocks.
type Clock struct {
	Now  func() time.Time     // wall and monotonic clock reading
	Boot func() time.Duration // time since boot, including suspension
}

// Mark is an instant of a Clock.
type Mark struct {
	at   time.Time
	boot time.Duration
}

// Mark returns the current instant.
func (c Clock) Mark() Mark { return Mark{at: c.now(), boot: c.bootTime()} }

// Elapsed returns the time since m: the maximum over the monotonic, wall and boot clocks.
func (c Clock) Elapsed(m Mark) time.Duration {
	n := c.now()
	mono := n.Sub(m.at)
	wall := n.Round(0).Sub(m.at.Round(0))
	return max(mono, wall, c.bootTime()-m.boot)
}

func (c Clock) now() time.Time {
	if c.Now != nil {
		return c.Now()
	}
	return time.Now()
}

func (c Clock) bootTime() time.Duration {
	if c.Boot != nil {
		return c.Boot()
	}
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
