package placement

// This file defines hold-offs of stage servers: a server that rejected a call asked to get
// nothing from this node for a time. Model servers that hold nodes off are in the Avoid list of
// the nodes' requests.

import (
	"time"

	"bergamotspring/core/relay"
)

// HoldOff keeps batches and releases from a stage server for a duration. Its results stay, and
// expire there by themselves if they are not released in time.
func (h *Scheduler) HoldOff(p relay.Process, d time.Duration) {
	h.init()
	for _, q := range h.pools {
		if m := q.stageServers[p.ID]; m != nil && m.server.Process() == p {
			m.heldUntil = h.Now().Add(d)
			if m.heldUntil.After(q.heldUntil) {
				q.heldUntil = m.heldUntil
			}
		}
	}
}

// resting reports whether a server gets no batch for now, as it backs off or holds this node off.
func (m *stageServer) resting(now time.Time) bool {
	return now.Before(m.backoffUntil) || now.Before(m.heldUntil)
}

// serving returns the number of servers of a stage service that do not hold this node off, at
// least 1. If all do, it returns the number of all and the time until the first does not.
func (h *Scheduler) serving(service string) (servers int, wait time.Duration) {
	q := h.pool(service)
	all := admitted(h.nearestStageServers(q), h.main(service))
	if q.heldUntil.IsZero() {
		return max(1, len(all)), 0
	}
	now := h.Now()
	if !now.Before(q.heldUntil) {
		q.heldUntil = time.Time{}
		return max(1, len(all)), 0
	}
	for _, m := range all {
		w := m.heldUntil.Sub(now)
		if w <= 0 {
			servers++
		} else if wait == 0 || w < wait {
			wait = w
		}
	}
	if servers > 0 {
		return servers, 0
	}
	return max(1, len(all)), wait
}
