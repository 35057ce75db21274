package limit

import (
	"slices"
	"time"

	"bergamotspring/core/fleet"
)

// loadHalfWeightAge is the age at which a load report counts half. Reports lag by about a
// second, while the limiter's count of its own calls is exact.
const loadHalfWeightAge = time.Second

// server is the state of one backend server. It is kept while permits are held on it,
// even if it is no longer declared, so that a server removed and added again keeps its
// count.
type server struct {
	name        string
	address     string
	declared    bool
	out         bool // taken out, or its failure domain
	leaving     bool
	wasEligible bool // before the change of view in progress
	ramp        ramp
	health      health

	inFlight    int
	exclusive   int           // exclusive calls in flight
	reserved    *call         // suspect that waits until the server has no calls
	mayRunUntil time.Duration // a call whose end is not known may still run until then
	lastGrant   time.Duration
	warmAt      time.Duration // last observed warm
	coldAt      time.Duration // last observed cold
	grantOrder  uint64        // sequence number of the last grant

	otherLoad   float64 // calls that this limiter did not grant, as last reported
	otherLoadAt time.Duration
}

// eligible reports whether the server may take new work: it is declared, operators have
// not taken it out, and its VM is not about to stop.
func (s *server) eligible() bool { return s.declared && !s.out && !s.leaving }

func (s *server) markCold(now time.Duration) {
	s.coldAt = now
	s.ramp.markCold(now)
}

func (h *Limiter) usable(s *server) bool {
	return s.eligible() && !s.health.ejected(h.now) && !s.health.down(h.now)
}

// hasFreeSlot reports whether s takes one more call that is not exclusive.
func (h *Limiter) hasFreeSlot(s *server) bool {
	return h.usable(s) && s.exclusive == 0 && s.reserved == nil && s.inFlight < s.ramp.currentLimit()
}

func (h *Limiter) anyFreeSlot() bool {
	if !h.mayGrant() {
		return false
	}
	return slices.ContainsFunc(h.servers, h.hasFreeSlot)
}

// anyUsable reports whether a server takes work now. If none does, calls are refused
// rather than queued: they would miss their deadlines while other groups have free slots.
func (h *Limiter) anyUsable() bool { return slices.ContainsFunc(h.servers, h.usable) }

// anyWarm reports whether a warm server takes work now.
func (h *Limiter) anyWarm() bool {
	return slices.ContainsFunc(h.servers, func(s *server) bool { return s.ramp.done && h.usable(s) })
}

// anyEligibleFor reports whether an eligible server exists that is not in c's Avoid list.
func (h *Limiter) anyEligibleFor(c *call) bool {
	for _, s := range h.servers {
		if s.eligible() && !slices.Contains(c.request.Avoid, s.name) {
			return true
		}
	}
	return false
}

// addServer adds server b of the installed view. A server that is new or whose address
// changed is cold, and so is one that was undeclared, out or leaving when it takes work again.
func (h *Limiter) addServer(b *fleet.BackendServer, leaving []string) {
	s := h.serversByName[b.Name]
	if s == nil {
		// coldAt stays 0: a node may still report to a new lease holder that the
		// server is warm.
		s = &server{name: b.Name, wasEligible: true}
		s.ramp.markCold(h.now)
		h.serversByName[b.Name] = s
	}
	moved := s.address != "" && s.address != b.Address
	s.address, s.declared = b.Address, true
	s.out = h.view.ServerOut(b)
	s.leaving = slices.Contains(leaving, b.Name)
	s.ramp.setLimits(h.view.LimitOf(b), h.pool.ColdLimit)
	if moved || !s.wasEligible && s.eligible() {
		s.markCold(h.now)
	}
	h.servers = append(h.servers, s)
}

// choose returns the server for c, nil if none is free for it now.
func (h *Limiter) choose(c *call) *server {
	if !h.mayGrant() {
		return nil
	}
	if c.exclusive() {
		return h.chooseExclusive(c)
	}
	if s := h.serversByName[c.request.Preferred]; s != nil && h.hasFreeSlot(s) && !slices.Contains(c.request.Avoid, s.name) {
		return s
	}
	var b *server
	var m float64
	for _, s := range h.servers {
		if !h.hasFreeSlot(s) || len(c.request.Avoid) > 0 && slices.Contains(c.request.Avoid, s.name) {
			continue
		}
		x := h.score(s, c)
		if b == nil || x < m || x == m && s.grantOrder < b.grantOrder {
			b, m = s, x
		}
	}
	return b
}

// score is the utilisation of s after one more call, as a share of its current limit;
// the lowest score is chosen. Thus a cold server gets work once the warm ones use the same
// share of their limits. Before that it gets one call each rampStep, otherwise it would never
// become warm under light load; calls with little remaining time are not used for this while
// a warm server takes work.
func (h *Limiter) score(s *server, c *call) float64 {
	if !s.ramp.done && s.inFlight == 0 && h.now-s.lastGrant >= rampStep {
		if c.deadline-h.now > 4*h.median() || !h.anyWarm() {
			return 0
		}
	}
	return (float64(s.inFlight+1) + s.discountedLoad(h.now)) / float64(s.ramp.currentLimit())
}

// discountedLoad returns the reported calls that this limiter did not grant, discounted
// by age.
func (s *server) discountedLoad(now time.Duration) float64 {
	if s.otherLoad == 0 {
		return 0
	}
	a := float64(now-s.otherLoadAt) / float64(loadHalfWeightAge)
	return s.otherLoad / (1 + a*a)
}

// chooseExclusive returns a server without calls for a suspect. If there is none, it
// reserves a server, which then gets no other calls until it is empty.
func (h *Limiter) chooseExclusive(c *call) *server {
	if s := c.reserved; s != nil {
		if h.usable(s) && !slices.Contains(c.request.Avoid, s.name) {
			if s.inFlight == 0 {
				return s
			}
			return nil
		}
		c.unreserve()
	}
	var b *server
	n := 0
	for _, s := range h.servers {
		if s.eligible() && (s.exclusive > 0 || s.reserved != nil) {
			n++
		} else if h.usable(s) && !slices.Contains(c.request.Avoid, s.name) && h.betterForSuspect(s, b) {
			b = s
		}
	}
	// Suspects together occupy or reserve at most a third of the group's eligible servers,
	// or one if a third is less than one, so that the rest serves other calls.
	if b == nil || n >= max(1, h.eligibleCount()/3) {
		return nil
	}
	if b.inFlight == 0 {
		return b
	}
	b.reserved, c.reserved = c, b
	return nil
}

// betterForSuspect reports whether s suits a suspect better than b. Servers that neither
// crashed recently nor may still run a call whose end is not known come first, then those
// with the fewest calls in flight.
func (h *Limiter) betterForSuspect(s, b *server) bool {
	if b == nil {
		return true
	}
	x, y := s.ramp.probing || s.mayRunUntil > h.now, b.ramp.probing || b.mayRunUntil > h.now
	if x != y {
		return y
	}
	return s.inFlight < b.inFlight || s.inFlight == b.inFlight && s.grantOrder < b.grantOrder
}

func (c *call) unreserve() {
	if c.reserved != nil {
		c.reserved.reserved = nil
		c.reserved = nil
	}
}
