package limit

import "time"

// This file decides requests: each is refused at once, granted, or queued. A queued one ends
// when a slot is free, when its deadline cannot be met, or when the group stops taking work.

// admit returns why c is refused at once, 0 if it is not, and the expected wait.
func (h *Limiter) admit(c *call) (Refusal, time.Duration) {
	if h.authorityEnd <= h.now || c.request.Group != h.group {
		return RefusedNotHolder, 0
	}
	if c.poison {
		return RefusedPoison, 0
	}
	if !h.anyEligibleFor(c) {
		return RefusedNoServer, 0
	}
	if h.ready() && !h.anyUsable() {
		return RefusedMoved, 0 // other groups may serve the call now
	}
	w := h.expectedWait(c)
	if c.request.Deadline <= 0 || w+h.samples.shortService(h.now) > c.request.Deadline {
		return RefusedDeadline, w
	}
	return 0, 0
}

// dispatch grants waiting calls while servers have free slots, and refuses those that
// can no longer be served.
func (h *Limiter) dispatch() {
	if h.authorityEnd <= h.now {
		h.drain(RefusedNotHolder)
		return
	}
	if h.eligibleCount() == 0 || h.ready() && !h.anyUsable() {
		h.drain(RefusedMoved)
		return
	}
	h.dispatchParked()
	for h.queue.n > 0 && h.anyFreeSlot() {
		if c := h.queue.expireHead(h.now + h.samples.shortService(h.now)); c != nil {
			h.refuse(c, RefusedDeadline, 0)
			continue
		}
		c := h.queue.pop()
		if h.decide(c) {
			continue
		}
		if len(h.parked) == maxParked {
			h.refuse(c, RefusedFull, h.waitBehind(h.queue.n))
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

// decide grants or refuses a waiting call. It returns false if the call has to
// keep waiting.
func (h *Limiter) decide(c *call) bool {
	if c.deadline < h.now+h.samples.shortService(h.now) {
		h.refuse(c, RefusedDeadline, 0)
		return true
	}
	h.judge(c)
	if c.poison {
		h.refuse(c, RefusedPoison, 0)
		return true
	}
	if !h.anyEligibleFor(c) {
		h.refuse(c, RefusedNoServer, 0)
		return true
	}
	s := h.choose(c)
	if s != nil {
		h.grant(c, s)
	}
	return s != nil
}

// drain refuses all waiting calls.
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
	h.decisions = append(h.decisions, Decision{Request: c.request, Err: e})
}

func (h *Limiter) grant(c *call, s *server) {
	c.unreserve()
	h.nextID++
	h.grantCount++
	waited := h.now - c.received
	p := h.newPermit()
	p.server, p.node, p.fingerprint, p.prefix = s, c.request.Node, c.request.Fingerprint, c.request.Prefix
	p.prefixSuspect = c.prefixSuspect
	p.grantedAt, p.holdUntil = h.now, c.deadline+holdGrace
	p.granted = Permit{
		ID: h.nextID, Epoch: h.term.epoch, RequestID: c.request.ID, Group: h.group,
		Server: s.name, Address: s.address,
		SendBy:    waited + min(maxSendDelay, h.authorityEnd-h.now, c.deadline-h.now),
		HoldUntil: c.request.Deadline + holdGrace,
		Cold:      !s.ramp.done, Exclusive: c.exclusive(),
	}
	h.addPermit(p)
	s.lastGrant, s.grantOrder = h.now, h.grantCount
	h.decisions = append(h.decisions, Decision{Request: c.request, Permit: p.granted})
}
