package limit

import (
	"slices"
	"time"

	"bergamotspring/core/fleet"
)

// loadHalf is the time in which a load report loses half of its weight. Reports
// lag by about a second, and the home's own count is exact for its own calls.
const loadHalf = time.Second

// server is the state of one backend server. It outlives its declaration while
// permits are held on it, so that a server taken off and put back keeps its count.
type server struct {
	name     string
	address  string
	declared bool
	out      bool // taken out, or its failure domain
	leaving  bool
	served   bool // was eligible before the change of view in progress
	ramp     ramp
	health   health

	inFlight    int
	exclusive   int           // calls in flight that must run alone
	reserved    *call         // suspect that waits for the server to be empty
	unsureUntil time.Duration // a call given up may still run until then
	lastGrant   time.Duration
	seenWarm    time.Duration // last known to be warm
	seenCold    time.Duration // last known to be cold
	order       uint64        // of the last grant

	extra   float64 // load that the home does not know of, in calls
	extraAt time.Duration
}

// eligible reports whether operators and platform let the server take new work.
func (s *server) eligible() bool { return s.declared && !s.out && !s.leaving }

func (s *server) sawCold(now time.Duration) {
	s.seenCold = now
	s.ramp.turnCold(now)
}

func (h *Limiter) usable(s *server) bool {
	return s.eligible() && !s.health.ejected(h.now) && !s.health.down(h.now)
}

// hasFree reports whether s takes one more call that need not run alone.
func (h *Limiter) hasFree(s *server) bool {
	return h.usable(s) && s.exclusive == 0 && s.reserved == nil && s.inFlight < s.ramp.bound()
}

func (h *Limiter) anyFree() bool {
	if !h.mayGrant() {
		return false
	}
	return slices.ContainsFunc(h.servers, h.hasFree)
}

// anyUsable reports whether a server takes work now. When all are down, calls that
// waited for them would miss their deadlines beside free groups elsewhere.
func (h *Limiter) anyUsable() bool { return slices.ContainsFunc(h.servers, h.usable) }

// anyWarm reports whether a warm server takes work now.
func (h *Limiter) anyWarm() bool {
	return slices.ContainsFunc(h.servers, func(s *server) bool { return s.ramp.done && h.usable(s) })
}

// anyFor reports whether c may ever run on a server of the group as it is.
func (h *Limiter) anyFor(c *call) bool {
	for _, s := range h.servers {
		if s.eligible() && !slices.Contains(c.request.Avoid, s.name) {
			return true
		}
	}
	return false
}

// declare puts server b of the view in force. A server that was out, leaving or
// unknown is cold when it takes work again.
func (h *Limiter) declare(b *fleet.BackendServer, leaving []string) {
	s := h.known[b.Name]
	if s == nil {
		// A new home may learn yet that the server is warm, so no time is noted.
		s = &server{name: b.Name, served: true}
		s.ramp.turnCold(h.now)
		h.known[b.Name] = s
	}
	moved := s.address != "" && s.address != b.Address
	s.address, s.declared = b.Address, true
	s.out = h.view.ServerOut(b)
	s.leaving = slices.Contains(leaving, b.Name)
	s.ramp.declare(h.view.LimitOf(b), h.pool.ColdLimit)
	if moved || !s.served && s.eligible() {
		s.sawCold(h.now)
	}
	h.servers = append(h.servers, s)
}

// choose returns the server for c, nil if none is free for it now.
func (h *Limiter) choose(c *call) *server {
	if !h.mayGrant() {
		return nil
	}
	if c.request.Suspect {
		return h.chooseExclusive(c)
	}
	if s := h.known[c.request.Preferred]; s != nil && h.hasFree(s) && !slices.Contains(c.request.Avoid, s.name) {
		return s
	}
	var b *server
	var m float64
	for _, s := range h.servers {
		if !h.hasFree(s) || len(c.request.Avoid) > 0 && slices.Contains(c.request.Avoid, s.name) {
			continue
		}
		x := h.score(s, c)
		if b == nil || x < m || x == m && s.order < b.order {
			b, m = s, x
		}
	}
	return b
}

// score is the use of s after one more call, as a share of its current limit. A
// cold server so gets work when the warm ones are as full, and one call each
// rampStep before, or it would never become warm under light load. Calls with
// little time left are not used for that while a warm server takes them.
func (h *Limiter) score(s *server, c *call) float64 {
	if !s.ramp.done && s.inFlight == 0 && h.now-s.lastGrant >= rampStep {
		if c.deadline-h.now > 4*h.median() || !h.anyWarm() {
			return 0
		}
	}
	return (float64(s.inFlight+1) + s.load(h.now)) / float64(s.ramp.bound())
}

// load returns the reported calls that the home did not grant, discounted by age.
func (s *server) load(now time.Duration) float64 {
	if s.extra == 0 {
		return 0
	}
	a := float64(now-s.extraAt) / float64(loadHalf)
	return s.extra / (1 + a*a)
}

// chooseExclusive returns an empty server for a suspect. If none is empty it reserves
// one, which then gets no other call and so becomes empty.
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
		} else if h.usable(s) && !slices.Contains(c.request.Avoid, s.name) && h.quieter(s, b) {
			b = s
		}
	}
	// Suspects together keep at most a third of the group from other calls.
	if b == nil || n >= max(1, h.eligibleCount()/3) {
		return nil
	}
	if b.inFlight == 0 {
		return b
	}
	b.reserved, c.reserved = c, b
	return nil
}

// quieter reports whether s suits a suspect better than b: first a server that did
// not just crash and runs no call that a node gave up, then the fewest in flight.
func (h *Limiter) quieter(s, b *server) bool {
	if b == nil {
		return true
	}
	x, y := s.ramp.probing || s.unsureUntil > h.now, b.ramp.probing || b.unsureUntil > h.now
	if x != y {
		return y
	}
	return s.inFlight < b.inFlight || s.inFlight == b.inFlight && s.order < b.order
}

func (c *call) unreserve() {
	if c.reserved != nil {
		c.reserved.reserved = nil
		c.reserved = nil
	}
}
