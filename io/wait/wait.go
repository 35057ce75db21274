// Package wait provides waits that end with a context.
package wait

import (
	"context"
	"time"
)

// Sleep waits for d or the end of ctx, and reports whether ctx is still active.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Every calls f at an interval of d until ctx ends. Like a ticker, it calls f once for all the times that passed during a call.
//
// It uses no ticker, whose channel may hold a tick when it is read: in a bubble of testing/synctest, the race detector of Go
// 1.26.8 crashes on that.
func Every(ctx context.Context, d time.Duration, f func()) {
	next := time.Now().Add(d)
	for Sleep(ctx, time.Until(next)) {
		f()
		next = next.Add(d)
		if late := time.Since(next); late > 0 {
			next = next.Add(late.Truncate(d)) // the last one that passed
		}
	}
}
