package wait

import (
	"context"
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
