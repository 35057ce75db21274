package control

import (
	"math/rand/v2"
	"sync"
	"time"
)

// maxBackoff bounds the pause between attempts while the table is down. With full jitter
// up to 5 s, 320 nodes reconnect spread over 5 s: 64 reads/s, of the 2,000 reads/s that
// the table serves.
const (
	minBackoff = 250 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// backoff computes exponential pauses after failures, with full jitter.
type backoff struct {
	failures int
}

// next returns the pause after one more failure.
func (b *backoff) next(r *rand.Rand) time.Duration {
	d := min(minBackoff<<min(b.failures, 10), maxBackoff)
	b.failures++
	return 1 + time.Duration(r.Int64N(int64(d)))
}

func (b *backoff) reset() { b.failures = 0 }

// Health records whether calls of this node to the table succeed. The components of a
// node share it.
type Health struct {
	mu      sync.Mutex
	failing bool
	since   time.Time
}

// observe records whether a call to the table succeeded.
func (h *Health) observe(ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !ok && !h.failing {
		h.since = time.Now()
	}
	h.failing = !ok
}

// Down returns the time since the first of the calls that have failed in a row, 0 if the
// last call succeeded.
func (h *Health) Down() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.failing {
		return 0
	}
	return time.Since(h.since)
}
