package wait

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Sleep lasts as long as requested, or ends with its context.
func TestSleep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		short, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		for _, c := range []struct {
			d, took time.Duration
			on      bool
		}{{0, 0, true}, {-time.Second, 0, true}, {400 * time.Millisecond, 400 * time.Millisecond, true}, {time.Minute, 600 * time.Millisecond, false}, {0, 0, false}} {
			start := time.Now()
			if on := Sleep(short, c.d); on != c.on || time.Since(start) != c.took {
				t.Errorf("sleep of %v: active %v after %v, want %v after %v", c.d, on, time.Since(start), c.on, c.took)
			}
		}
	})
}

// Every calls its function at the interval until the context ends.
func TestEvery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), 1050*time.Millisecond)
		defer cancel()
		n := 0
		Every(ctx, 100*time.Millisecond, func() { n++ })
		if n != 10 {
			t.Errorf("got %d calls in 1.05 s, want 10", n)
		}
	})
}

// After a call that took longer than the interval, one call makes up for all that were missed, and the next ones come at their
// times. No timer is due when it is waited for: with the race detector, calls that take longer crash it otherwise.
func TestEveryAfterLongCalls(t *testing.T) {
	const d = 100 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), 8*d+d/2)
		defer cancel()
		start := time.Now()
		var got []time.Duration
		Every(ctx, d, func() {
			got = append(got, time.Since(start)/(d/10))
			if len(got) == 2 {
				time.Sleep(2*d + d/2)
			}
		})
		if want := []time.Duration{10, 20, 45, 50, 60, 70, 80}; !slices.Equal(got, want) {
			t.Errorf("got calls at %v tenths of the interval, want %v", got, want)
		}
	})
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			var g sync.WaitGroup
			for range 40 {
				g.Go(func() { Every(ctx, time.Millisecond, func() { time.Sleep(3 * time.Millisecond) }) })
			}
			g.Wait()
		})
	}
}
