package suspect

import (
	"testing"
	"time"
)

// The first node writes soon after news and rarely else; the others follow one after the other while it does not.
func TestRecorder(t *testing.T) {
	start := time.Unix(1e9, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	first := func(rank int, v Revision, failed time.Duration) time.Duration {
		var r Recorder
		r.Done(start.Add(-time.Minute), Revision{})
		for d := time.Duration(0); d < time.Minute; d += 50 * time.Millisecond {
			if r.Due(at(d), v, rank) {
				if d >= failed {
					return d
				}
				r.Failed(at(d))
			}
		}
		return -1
	}
	for _, c := range []struct {
		name   string
		rank   int
		v      Revision
		failed time.Duration // until when all attempts fail
		want   time.Duration // of the attempt that succeeds; -1: there is none
	}{
		{"no news", 0, Revision{}, 0, -1},
		{"a crash", 0, Revision{Learned: 1}, 0, learnedDelay},
		{"a crash, at the second node", 1, Revision{Learned: 1}, 0, learnedDelay + rankDelay},
		{"a crash, at a node that does not look after it", recorders, Revision{Learned: 1}, 0, -1},
		{"a clearance", 0, Revision{Cleared: 1}, 0, clearedDelay},
		{"a clearance, at the second node", 1, Revision{Cleared: 1}, 0, -1},
		{"the store is down for a second", 0, Revision{Learned: 1}, time.Second, time.Second},
	} {
		if got := first(c.rank, c.v, c.failed); got != c.want {
			t.Errorf("%s: written after %v, want %v", c.name, got, c.want)
		}
	}
	var r Recorder
	r.Done(start, Revision{Learned: 1})
	r.Lost()
	if !r.Due(at(time.Second), Revision{Learned: 1}, 0) && !r.Due(at(2*time.Second), Revision{Learned: 1}, 0) {
		t.Error("not written again to a restored store")
	}
	r.Done(start, Revision{})
	if r.Refresh(at(recordRefresh-1), 0) || !r.Refresh(at(recordRefresh), 0) || r.Refresh(at(recordRefresh), 1) {
		t.Error("not refreshed by the first node when it is due")
	}
}
