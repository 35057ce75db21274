package limit

import (
	"time"

	"bergamotspring/core/fleet"
)

// LoadReport is what a server says of its load. Running and Queued count calls, Age is the
// time since the server measured them.
type LoadReport struct {
	Server          string
	Running, Queued int
	Age             time.Duration
	Cold            bool // the server reports a cold start
}

// OnLoadReport makes the choice of servers account for calls that this limiter did not grant.
// It never raises a limit. A server that reports that it is cold is marked cold at once:
// service times alone do not show this for a server that was never observed warm, which
// passes as warm up to cold_factor times the expected time.
func (h *Limiter) OnLoadReport(l LoadReport) {
	h.lock()
	defer h.unlock()
	s := h.serversByName[l.Server]
	if s == nil || h.now-l.Age < s.otherLoadAt {
		return
	}
	s.otherLoad = float64(max(0, l.Running+l.Queued-s.inFlight))
	s.otherLoadAt = h.now - l.Age
	if l.Cold {
		s.markCold(h.now)
	}
}

// Summary returns the free capacity and expected wait for a new call.
func (h *Limiter) Summary() Summary {
	h.lock()
	defer h.unlock()
	r := Summary{Queued: h.queue.n + len(h.parked), MedianService: h.median()}
	if h.authorityEnd <= h.now {
		return r
	}
	if !h.ready() {
		r.Wait = h.readyAt() - h.now
		return r
	}
	for _, s := range h.servers {
		if h.usable(s) {
			r.Usable = true
			r.Slots += s.ramp.currentLimit()
		}
		if h.hasFreeSlot(s) {
			r.Free += s.ramp.currentLimit() - s.inFlight
		}
	}
	if r.Free == 0 || h.queue.n > 0 {
		r.Wait = h.waitBehind(h.queue.n)
	}
	return r
}

// Status is the state of a limiter, for operators.
type Status struct {
	Group         fleet.GroupID
	Epoch         uint64
	IsHolder      bool // this node holds the lease and has authority to grant
	Ready         bool // the permits of previous lease holders are known or expired
	Waiting       int  // entries of Begin's list still awaited
	Queued        int
	Flows         int // organisations and classes with waiting calls
	MedianService time.Duration
	Servers       []ServerStatus
}

// ServerStatus is the state of one server in its group's limiter.
type ServerStatus struct {
	Name      string
	InFlight  int
	Limit     int // current
	Warm      int // limit when warm
	Cold      bool
	Out       bool // taken out by operators
	Leaving   bool
	Ejected   time.Duration // remaining time of an ejection, 0: none
	Down      time.Duration // remaining time until a crashed server is retried, 0: not down
	Exclusive bool          // runs, or is reserved for, a suspect
}

// Status returns a snapshot.
func (h *Limiter) Status() Status {
	h.lock()
	defer h.unlock()
	r := Status{
		Group: h.group, Epoch: h.term.epoch, IsHolder: h.authorityEnd > h.now, Ready: h.ready(),
		Waiting: len(h.term.pending), Queued: h.queue.n + len(h.parked),
		Flows: len(h.queue.active), MedianService: h.median(),
	}
	for _, s := range h.servers {
		r.Servers = append(r.Servers, ServerStatus{
			Name: s.name, InFlight: s.inFlight, Limit: s.ramp.currentLimit(), Warm: s.ramp.warmLimit,
			Cold: !s.ramp.done, Out: s.out, Leaving: s.leaving,
			Ejected: max(0, s.health.ejectedUntil-h.now), Down: max(0, s.health.downUntil-h.now),
			Exclusive: s.exclusive > 0 || s.reserved != nil,
		})
	}
	return r
}
