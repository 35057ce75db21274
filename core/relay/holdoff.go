package relay

// This file defines hold-offs: the times for which servers that rejected a request asked to
// get nothing from this node.

import (
	"errors"
	"maps"
	"sync"
	"time"
)

// MaxHoldOff bounds how long a server may hold off a node.
const MaxHoldOff = 5 * time.Minute

// ErrHeldOff says that a request was not sent because its server asked for a pause.
var ErrHeldOff = errors.New("server asked for a pause")

// HoldOffs holds the hold-offs of a node. Unlike the backoff of a Balancer, a hold-off also
// binds if there is no other server. The zero value is ready to use, with a clock that stands
// still. It is safe for concurrent use.
type HoldOffs struct {
	Now func() time.Time

	mu    sync.RWMutex
	until map[Process]time.Time // without those that ended before the last Begin
}

func (h *HoldOffs) now() time.Time {
	if h.Now == nil {
		return time.Time{}
	}
	return h.Now()
}

// Begin starts a hold-off of a duration, at most MaxHoldOff, and reports whether there was
// none. One that ends later stays.
func (h *HoldOffs) Begin(p Process, d time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	maps.DeleteFunc(h.until, func(_ Process, t time.Time) bool { return !now.Before(t) })
	if h.until == nil {
		h.until = map[Process]time.Time{}
	}
	old, ok := h.until[p]
	if t := now.Add(min(d, MaxHoldOff)); t.After(now) && t.After(old) {
		h.until[p] = t
	}
	return !ok
}

// Remaining returns how long a hold-off still lasts, 0 if there is none.
func (h *HoldOffs) Remaining(p Process) time.Duration {
	h.mu.RLock()
	defer h.mu.RUnlock()
	t, ok := h.until[p]
	if !ok {
		return 0
	}
	return max(0, t.Sub(h.now()))
}
