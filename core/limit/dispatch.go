package limit

import "time"

// This file decides on asks: refused at once, granted, or queued until a slot is
// free, their time is up or the group stops taking work.

// admit returns why c is refused at once, 0 if it is not, with the expected wait.
func (h *Limiter) admit(c *call) (Refusal, time.Duration) {
	if h.until <= h.now || c.request.Group != h.group {
		return RefusedNotHome, 0
	}
	if h.marks[c.request.Fingerprint].condemned {
		return RefusedPoison, 0
	}
	if !h.anyFor(c) {
		return RefusedNoServer, 0
	}
	if h.open() && !h.anyUsable() {
		return RefusedMoved, 0 // other groups may serve it now
	}
	w := h.expectedWait(c)
	if c.request.Deadline <= 0 || w+h.samples.least(h.now) > c.request.Deadline {
		return RefusedDeadline, w
	}
	return 0, 0
}

// dispatch grants waiting calls as long as servers have free slots, and ends the
// wait of those that cannot be served any more.
func (h *Limiter) dispatch() {
	if h.until <= h.now {
		h.drain(RefusedNotHome)
		return
	}
	if h.eligibleCount() == 0 || h.open() && !h.anyUsable() {
		h.drain(RefusedMoved)
		return
	}
	h.dispatchParked()
	for h.queue.n > 0 && h.anyFree() {
		if c := h.queue.expireHead(h.now + h.samples.least(h.now)); c != nil {
			h.refuse(c, RefusedDeadline, 0)
			continue
		}
		c := h.queue.pop()
		if h.decide(c) {
			continue
		}
		if len(h.parked) == maxParked {
			h.refuse(c, RefusedFull, h.waitOf(h.queue.n))
			continue
		}
		h.parked = append(h.parked, c)
	}
}

func (h *Limiter) dispatchParked() {
	k := h.parked[:0]
	for _, c := range h.parked {
		if !h.decide(c) {
			k = append(k, c)
		}
	}
	clear(h.parked[len(k):])
	h.parked = k
}

// decide grants or refuses a waiting call, and reports whether it could.
func (h *Limiter) decide(c *call) bool {
	if c.deadline < h.now+h.samples.least(h.now) {
		h.refuse(c, RefusedDeadline, 0)
		return true
	}
	m, marked := h.marks[c.request.Fingerprint]
	c.request.Suspect = c.request.Suspect || marked
	if m.condemned {
		h.refuse(c, RefusedPoison, 0)
		return true
	}
	if !h.anyFor(c) {
		h.refuse(c, RefusedNoServer, 0)
		return true
	}
	s := h.choose(c)
	if s != nil {
		h.grant(c, s)
	}
	return s != nil
}

// drain ends the wait of all calls.
func (h *Limiter) drain(r Refusal) {
	for _, c := range h.parked {
		h.refuse(c, r, 0)
	}
	clear(h.parked)
	h.parked = h.parked[:0]
	for _, c := range h.queue.drain() {
		h.refuse(c, r, 0)
	}
}

func (h *Limiter) refuse(c *call, r Refusal, wait time.Duration) {
	c.unreserve()
	e := &RefusedError{Group: c.request.Group, Reason: r, Wait: wait}
	h.out = append(h.out, Decision{Request: c.request, Err: e})
}

func (h *Limiter) grant(c *call, s *server) {
	c.unreserve()
	h.nextID++
	h.granted++
	waited := h.now - c.received
	p := h.newPermit()
	p.server, p.node, p.print = s, c.request.Node, c.request.Fingerprint
	p.since, p.holdUntil = h.now, c.deadline+holdGrace
	p.granted = Permit{
		ID: h.nextID, Epoch: h.term.epoch, RequestID: c.request.ID, Group: h.group,
		Server: s.name, Address: s.address,
		SendBy:    waited + min(sendWithin, h.until-h.now, c.deadline-h.now),
		HoldUntil: c.request.Deadline + holdGrace,
		Cold:      !s.ramp.done, Exclusive: c.request.Suspect,
	}
	h.hold(p)
	s.lastGrant, s.order = h.now, h.granted
	h.out = append(h.out, Decision{Request: c.request, Permit: p.granted})
}
