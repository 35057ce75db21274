package control

import (
	"time"

	"golang.org/x/sys/unix"

	"bergamotspring/core/lease"
)

// SystemClock reads the monotonic, wall and boot clocks of the machine.
func SystemClock() func() lease.Reading {
	start := time.Now()
	return func() lease.Reading {
		n := time.Now()
		r := lease.Reading{Mono: n.Sub(start), Wall: time.Duration(n.UnixNano())}
		var t unix.Timespec
		if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
			r.Boot = r.Mono // without a boot clock; the other two remain
			return r
		}
		r.Boot = time.Duration(t.Nano())
		return r
	}
}

// RuntimeClock reads only the clock of the Go runtime, which tests can replace.
func RuntimeClock() func() lease.Reading {
	start := time.Now()
	return func() lease.Reading {
		d := time.Since(start)
		return lease.Reading{Mono: d, Wall: d, Boot: d}
	}
}
