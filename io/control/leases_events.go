package control

// This file tells the other parts of what Leases gained and lost, in order and without its lock.

import (
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/core/lease"
	"bergamotspring/core/record"
)

// unlock notes gained and lost homes, releases mu and makes the calls that follow.
func (h *Leases) unlock() {
	for _, m := range h.order {
		h.compare(m.Group, m)
	}
	h.mu.Unlock()
	h.flush()
}

func (h *Leases) compare(g fleet.GroupID, m *lease.Machine) {
	epoch := uint64(0)
	if m.IsHolder() && !h.ended {
		epoch = m.Record().Epoch
	}
	old := h.opened[g]
	if old == epoch {
		return
	}
	if old > 0 {
		delete(h.opened, g)
		delete(h.naming, g)
		h.calls = append(h.calls, func() { h.lost(g, old) })
	}
	if epoch > 0 {
		h.opened[g] = epoch
		h.calls = append(h.calls, func() { h.gained(g, epoch) })
		h.spread(m.Record())
	}
}

// flush makes the queued calls in order. If a call is being made already, whoever
// makes it goes on with the rest.
func (h *Leases) flush() {
	for h.flushing.TryLock() {
		n := h.drain()
		h.flushing.Unlock()
		if n == 0 {
			return
		}
	}
}

func (h *Leases) drain() int {
	h.mu.Lock()
	l := h.calls
	h.calls = nil
	h.mu.Unlock()
	for _, f := range l {
		f()
	}
	return len(l)
}

func (h *Leases) lost(g fleet.GroupID, epoch uint64) {
	h.event(record.Event{Kind: record.HomeLost, Epoch: epoch, Domain: g.Domain, Group: g.String()})
	if h.OnLost != nil {
		h.OnLost(g)
	}
}

func (h *Leases) gained(g fleet.GroupID, epoch uint64) {
	h.event(record.Event{Kind: record.HomeGained, Epoch: epoch, Domain: g.Domain, Group: g.String()})
	if h.OnGained != nil {
		h.OnGained(g, epoch)
	}
	h.search(g, epoch)
}

func (h *Leases) event(e record.Event) {
	if h.Record == nil {
		return
	}
	e.At, e.Actor = time.Now(), h.Self.Instance.Node
	h.Record(e)
}

func (h *Leases) poke() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}
