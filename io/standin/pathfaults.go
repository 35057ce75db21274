package standin

// This file defines random faults of the paths between hosts.

import (
	"math/rand/v2"
	"time"
)

// PathFaults injects random faults into the paths of a network: it cuts one in both directions or one, slows
// it down, or resets or silences its connections. The fields must be set.
type PathFaults struct {
	Network *Network
	Rand    *rand.Rand
	// A path leads from one of the hosts From to one of To.
	From, To []string
	// MaxTime bounds how long a fault lasts, MaxLatency the one-way delay of a slow path.
	MaxTime, MaxLatency time.Duration
}

// Inject injects one fault, which ends by itself.
func (f *PathFaults) Inject() {
	r, n := f.Rand, f.Network
	a, b := f.From[r.IntN(len(f.From))], f.To[r.IntN(len(f.To))]
	if r.IntN(2) == 0 {
		a, b = b, a
	}
	end := func() {}
	switch r.IntN(5) {
	case 0:
		n.SetCut(a, b, true)
		end = func() { n.SetCut(a, b, false) }
	case 1:
		n.SetCutOneWay(a, b, true)
		end = func() { n.SetCutOneWay(a, b, false) }
	case 2:
		n.SetDelay(a, b, time.Duration(r.Int64N(int64(f.MaxLatency))))
		end = func() { n.SetDelay(a, b, 0) }
	case 3:
		n.Break(Between(a, b))
	case 4:
		n.Silence(Between(a, b))
	}
	time.AfterFunc(time.Duration(r.Int64N(int64(f.MaxTime))), end)
}
