package control

// This file notifies other components of leases gained and lost, in order and without
// the lock of Leases.

import (
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/core/lease"
	"bergamotspring/core/record"
)

// unlock queues the callbacks for leases gained and lost, releases mu and runs them.
func (h *Leases) unlock() {
	for _, m := range h.sorted {
		h.queueChange(m.Group, m)
	}
	h.mu.Unlock()
	h.flush()
}

func (h *Leases) queueChange(g fleet.GroupID, m *lease.Machine) {
	epoch := uint64(0)
	if m.IsHolder() && !h.ended {
		epoch = m.Record().Epoch
	}
	old := h.notified[g]
	if old == epoch {
		return
	}
	if old > 0 {
		delete(h.notified, g)
		delete(h.appointments, g)
		h.callbacks = append(h.callbacks, func() { h.notifyLost(g, old) })
	}
	if epoch > 0 {
		h.notified[g] = epoch
		h.callbacks = append(h.callbacks, func() { h.notifyGained(g, epoch) })
		h.queueRecord(m.Record())
	}
}

// flush runs the queued callbacks in order. If another goroutine is running them, flush
// leaves the rest to it or to the next unlock.
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
	l := h.callbacks
	h.callbacks = nil
	h.mu.Unlock()
	for _, f := range l {
		f()
	}
	return len(l)
}

func (h *Leases) notifyLost(g fleet.GroupID, epoch uint64) {
	h.event(record.Event{Kind: record.LeaseLost, Epoch: epoch, Domain: g.Domain, Group: g.String()})
	if h.OnLost != nil {
		h.OnLost(g)
	}
}

func (h *Leases) notifyGained(g fleet.GroupID, epoch uint64) {
	h.event(record.Event{Kind: record.LeaseGained, Epoch: epoch, Domain: g.Domain, Group: g.String()})
	if h.OnGained != nil {
		h.OnGained(g, epoch)
	}
	h.startHeldSearch(g, epoch)
}

func (h *Leases) event(e record.Event) {
	if h.Record == nil {
		return
	}
	e.At, e.Actor = time.Now(), h.Self.Instance.Node
	h.Record(e)
}

func (h *Leases) wakeTableLoop() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}
