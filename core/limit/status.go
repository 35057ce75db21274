package limit

import (
	"time"

	"bergamotspring/core/fleet"
)

// Load is a load report of a server. Running and Queued count calls, Age is the
// time since the server measured them.
type Load struct {
	Server          string
	Running, Queued int
	Age             time.Duration
	Cold            bool // the server says that it is in a cold start
}

// Load corrects the choice of servers by calls that the home did not grant. It
// never raises a limit. A server that says that it is cold is so at once: by service
// times alone, servers that were never seen warm pass for warm while they stay under
// cold_factor times the expected time.
func (h *Limiter) Load(l Load) {
	h.enter()
	defer h.leave()
	s := h.known[l.Server]
	if s == nil || h.now-l.Age < s.extraAt {
		return
	}
	s.extra = float64(max(0, l.Running+l.Queued-s.inFlight))
	s.extraAt = h.now - l.Age
	if l.Cold {
		s.sawCold(h.now)
	}
}

// Summary tells what a new call would meet.
func (h *Limiter) Summary() Summary {
	h.enter()
	defer h.leave()
	r := Summary{Queued: h.queue.n + len(h.parked), MedianService: h.median()}
	if h.until <= h.now {
		return r
	}
	if !h.open() {
		r.Wait = h.opensAt() - h.now
		return r
	}
	for _, s := range h.servers {
		if h.usable(s) {
			r.Usable = true
			r.Slots += s.ramp.bound()
		}
		if h.hasFree(s) {
			r.Free += s.ramp.bound() - s.inFlight
		}
	}
	if r.Free == 0 || h.queue.n > 0 {
		r.Wait = h.waitOf(h.queue.n)
	}
	return r
}

// Status is the state of a home, for operators.
type Status struct {
	Group         fleet.GroupID
	Epoch         uint64
	Home          bool // may grant by its authority
	Open          bool // knows the permits of earlier homes
	Waiting       int  // nodes that have not reported their permits
	Queued        int
	Flows         int // organisations and classes with waiting calls
	MedianService time.Duration
	Servers       []ServerStatus
}

// ServerStatus is the state of one server at its home.
type ServerStatus struct {
	Name      string
	InFlight  int
	Limit     int // current
	Warm      int // limit when warm
	Cold      bool
	Out       bool // taken out by operators
	Leaving   bool
	Ejected   time.Duration // left of an ejection, 0: none
	Down      time.Duration // left until the next try of a crashed server, 0: none
	Exclusive bool          // runs, or is emptied for, a suspect
}

// Status returns a snapshot.
func (h *Limiter) Status() Status {
	h.enter()
	defer h.leave()
	r := Status{
		Group: h.group, Epoch: h.term.epoch, Home: h.until > h.now, Open: h.open(),
		Waiting: len(h.term.waiting), Queued: h.queue.n + len(h.parked),
		Flows: len(h.queue.active), MedianService: h.median(),
	}
	for _, s := range h.servers {
		r.Servers = append(r.Servers, ServerStatus{
			Name: s.name, InFlight: s.inFlight, Limit: s.ramp.bound(), Warm: s.ramp.warm,
			Cold: !s.ramp.done, Out: s.out, Leaving: s.leaving,
			Ejected: max(0, s.health.outUntil-h.now), Down: max(0, s.health.downUntil-h.now),
			Exclusive: s.exclusive > 0 || s.reserved != nil,
		})
	}
	return r
}
