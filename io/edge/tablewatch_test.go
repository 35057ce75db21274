package edge

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// A pause of zero uses no timer. In a bubble of testing/synctest, the channel of one whose time has come lets the race detector
// of Go 1.26.8 corrupt its state: SIGSEGV or a failed check of ThreadSanitizer, later and elsewhere. Guards against runs of CI
// that end so.
func TestSleepUntilWithoutPause(t *testing.T) {
	for range 60 {
		synctest.Test(t, func(t *testing.T) {
			var g sync.WaitGroup
			for range 40 {
				g.Go(func() {
					start := time.Now()
					for range 200 {
						sleepUntil(context.Background(), 0, nil)
						sleepUntil(context.Background(), -time.Second, nil)
					}
					if took := time.Since(start); took != 0 {
						t.Errorf("pauses of zero took %v", took)
					}
				})
			}
			g.Wait()
		})
	}
}
