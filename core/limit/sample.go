package limit

import (
	"slices"
	"time"
)

// samples holds the latest service times of a group. The zero value is empty.
//
// Of the responses that are cold by their service time, only one in eight is added.
// With all of them, a group whose servers are all cold would soon treat the cold speed
// as normal and raise their limits; with none, a group that became slower for good would
// be treated as cold forever.
type samples struct {
	ring      [64]time.Duration
	n         int // number of samples ever added
	slowCount int
	p10       time.Duration // 10th percentile
	p50       time.Duration // median
	dirty     int           // samples since p10 and p50 were computed
	lastAt    time.Duration // instant of the last sample
}

// shortServiceTTL is how long shortService stays valid without a new sample. If a slow
// period raised it above all deadlines, every request would be refused and no sample
// could lower it again.
const shortServiceTTL = 2 * time.Second

func (s *samples) add(now, d time.Duration, cold bool) {
	s.lastAt = now
	if cold {
		s.slowCount++
		if s.slowCount%8 != 0 {
			return
		}
	}
	s.ring[s.n%len(s.ring)] = d
	s.n++
	s.dirty++
	if s.n <= 8 || s.dirty >= 8 {
		s.compute()
	}
}

func (s *samples) compute() {
	var b [64]time.Duration
	k := copy(b[:], s.ring[:min(s.n, len(s.ring))])
	slices.Sort(b[:k])
	s.p10, s.p50 = b[k/10], b[k/2]
	s.dirty = 0
}

// median returns the median service time, or expect, unless it is 0, before there are eight
// samples.
func (s *samples) median(expect time.Duration) time.Duration {
	if s.n < 8 && expect > 0 {
		return expect
	}
	return s.p50
}

// shortService returns the 10th percentile of the service times, 0 if it is not known.
func (s *samples) shortService(now time.Duration) time.Duration {
	if s.n < 8 || now-s.lastAt > shortServiceTTL {
		return 0
	}
	return s.p10
}
