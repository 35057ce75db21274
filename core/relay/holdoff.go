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

	mu  sync.RWMutex
	all map[string]holdOff // by the server's ID, without those that ended before the last Begin
}

// holdOff is what a process asked for.
type holdOff struct {
	process Process
	asked   time.Time
	until   time.Time
}

// binds reports whether the hold-off is that of a process. A response does not tell which process of its
// server sent it: it may be that of a later one, if this had started by then.
func (o *holdOff) binds(p Process) bool {
	if o.process.StartedAt == 0 || p.StartedAt == 0 {
		return true
	}
	return p.StartedAt <= max(o.process.StartedAt, o.asked.UnixMilli())
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
	maps.DeleteFunc(h.all, func(_ string, o holdOff) bool { return !now.Before(o.until) })
	if h.all == nil {
		h.all = map[string]holdOff{}
	}
	x := holdOff{process: p, asked: now, until: now.Add(min(d, MaxHoldOff))}
	old, ok := h.all[p.ID]
	if ok = ok && old.binds(p); ok {
		x.process.StartedAt = max(p.StartedAt, old.process.StartedAt)
		x.until = later(x.until, old.until)
	}
	if x.until.After(now) {
		h.all[p.ID] = x
	}
	return !ok
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Remaining returns how long a hold-off still lasts, 0 if there is none.
func (h *HoldOffs) Remaining(p Process) time.Duration {
	h.mu.RLock()
	defer h.mu.RUnlock()
	o, ok := h.all[p.ID]
	if !ok || !o.binds(p) {
		return 0
	}
	return max(0, o.until.Sub(h.now()))
}
