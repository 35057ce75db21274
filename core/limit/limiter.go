package limit

import (
	"slices"
	"sync"
	"time"

	"bergamotspring/core/fleet"
)

// This file holds the state of a home and what its callers do with it. The other
// files decide one thing each: dispatch.go what becomes of an ask, coldstart.go how
// much a server takes, eject.go which servers get nothing, server.go which server a
// call gets, queue.go which call is next, learn.go what an answer shows, adopt.go
// what a new home has to learn before it grants.

const (
	sendWithin = 500 * time.Millisecond // a later first byte needs a new permit
	// holdGrace covers the end of a call at its deadline: cancelling it and
	// reporting the release.
	holdGrace = 250 * time.Millisecond
	// defaultMaxCall applies while the declaration names no longest deadline.
	defaultMaxCall = 10 * time.Second
	// longestAuthority keeps sums in range: a home without a deputy has no end.
	longestAuthority = time.Hour
	// maxParked bounds the calls that are passed over in every dispatch because
	// they must avoid the free servers or wait to run alone.
	maxParked = 64
	// epochStart keeps instants above 0, which stands for "never".
	epochStart = time.Hour
)

// Limiter grants all permits for the servers of one group. The zero value works: it
// refuses everything as not home until Authority is set.
//
// Limiter is safe for concurrent use. It has one lock, of the level "group" in the
// lock order (config, membership, homes, group, server, request): Now and Authority
// are called before it is taken and nothing is called under it.
//
// Invariants, at every return:
//   - a server's calls in flight rise only while under its current limit;
//   - a permit counts until its release or HoldUntil, whichever is first;
//   - each ask gets exactly one Decision;
//   - a call that runs alone is the only one on its server.
type Limiter struct {
	// Now returns the time, with a monotonic reading. nil: the clock stands still.
	Now func() time.Time
	// Authority returns the epoch of the home's record and for how long it may
	// still grant. nil or left <= 0: not home.
	Authority func() (epoch uint64, left time.Duration)
	// MaxQueue bounds the waiting calls. 0: eight times the warm limits, at least 64.
	MaxQueue int

	mu      sync.Mutex
	base    time.Time
	now     time.Duration // instant of the call in progress
	until   time.Duration // end of authority
	out     []Decision    // of the call in progress
	view    *fleet.View
	group   fleet.GroupID
	pool    fleet.Pool
	servers []*server // declared, in declared order
	known   map[string]*server
	permits map[permitKey]*permit
	free    []*permit
	nextID  uint64
	granted uint64
	queue   fairQueue
	parked  []*call
	samples samples
	marks   map[uint64]mark
	term    term
}

type permitKey struct{ epoch, id uint64 }

// permit is a slot in use.
type permit struct {
	granted   Permit
	server    *server
	node      string
	print     uint64 // fingerprint
	since     time.Duration
	holdUntil time.Duration
	adopted   bool // granted by an earlier home
	crashed   bool // was in flight at a crash that is already reported
	released  bool // given up by its node, see lingers
}

// mark is what this home itself saw of a fingerprint. It covers the time until the
// table of suspects has the evidence.
type mark struct {
	condemned bool
	until     time.Duration
}

// Evidence is what a release says about requests that may crash servers.
type Evidence struct {
	Crashed   []uint64 // fingerprints in flight on a server that crashed
	Exclusive bool     // the one in Crashed ran alone from its start
	Cleared   uint64   // ran alone to its end, 0: none
}

// enter takes the lock and sets the instant and the authority.
func (h *Limiter) enter() {
	var n time.Time
	var epoch uint64
	var left time.Duration
	if h.Now != nil {
		n = h.Now()
	}
	if h.Authority != nil {
		epoch, left = h.Authority()
	}
	h.mu.Lock()
	if h.known == nil {
		h.base = n
		h.known = map[string]*server{}
		h.permits = map[permitKey]*permit{}
		h.marks = map[uint64]mark{}
	}
	t := n.Sub(h.base) + epochStart
	// A caller that read the clock earlier may get the lock later.
	h.now = max(h.now, t)
	h.until = t + min(left, longestAuthority)
	if left <= 0 || epoch < h.term.epoch {
		h.until = 0
	} else if epoch > h.term.epoch || !h.term.started {
		h.startTerm(epoch, nil, false)
	}
	h.out = nil
}

// leave returns the decisions since enter and gives the lock back.
func (h *Limiter) leave() []Decision {
	o := h.out
	h.out = nil
	h.mu.Unlock()
	return o
}

func (h *Limiter) mayGrant() bool { return h.until > h.now && h.open() }

// Submit decides on a, or queues it. The decisions may include others' that a displaced.
func (h *Limiter) Submit(a Request) []Decision {
	h.enter()
	m := h.maxCall()
	if a.Deadline > m {
		a.Deadline = m
	}
	c := &call{request: a, received: h.now, deadline: h.now + a.Deadline}
	if _, ok := h.marks[a.Fingerprint]; ok {
		c.request.Suspect = true
	}
	if r, w := h.admit(c); r != 0 {
		h.refuse(c, r, w)
		return h.leave()
	}
	if h.queue.n == 0 && len(h.parked) == 0 {
		if s := h.choose(c); s != nil {
			h.grant(c, s)
			return h.leave()
		}
		if c.reserved != nil {
			h.parked = append(h.parked, c)
			return h.leave()
		}
	}
	if v := h.queue.add(c, h.weight(&a), h.queueLimit()); v != nil {
		h.refuse(v, RefusedFull, h.waitOf(h.queue.n))
	}
	h.dispatch()
	return h.leave()
}

// Release ends a permit and learns from its result. A release of an unknown permit
// changes nothing.
func (h *Limiter) Release(r Release) ([]Decision, Evidence) {
	h.enter()
	var e Evidence
	p := h.permits[permitKey{r.Epoch, r.Permit}]
	if p != nil && !p.released && p.granted.Server == r.Server && r.Group == h.group {
		h.drop(p)
		e = h.observe(p, r)
		h.mark(e)
		if h.lingers(p, r.Result) {
			h.hold(p)
		} else {
			h.recycle(p)
		}
	}
	h.dispatch()
	return h.leave(), e
}

// lingers reports whether a call that its node gave up still counts for a while: a
// server works on until the cancellation reaches it and takes effect, and a cold one
// bears no call beyond its limit even for that time.
func (h *Limiter) lingers(p *permit, r Result) bool {
	if r != Silent && r != Abandoned || p.server.ramp.done {
		return false
	}
	p.released = true
	// Engines end a cancelled call only after its prefill, and a cold prefill is slow:
	// the call may run for as long as a whole cold answer takes.
	cold := time.Duration(max(1, h.pool.ColdFactor) * float64(h.median()))
	p.holdUntil = min(p.holdUntil, max(h.now+holdGrace, p.since+cold))
	return true
}

// Withdraw ends the wait of an ask whose caller left, with RefusedMoved. It does
// nothing if the ask is not waiting.
func (h *Limiter) Withdraw(node string, ask uint64) []Decision {
	h.enter()
	is := func(c *call) bool { return c.request.Node == node && c.request.ID == ask }
	if i := slices.IndexFunc(h.parked, is); i >= 0 {
		h.refuse(h.parked[i], RefusedMoved, 0)
		h.parked = slices.Delete(h.parked, i, i+1)
	} else if c := h.queue.remove(is); c != nil {
		h.refuse(c, RefusedMoved, 0)
	}
	h.dispatch()
	return h.leave()
}

// Tick frees slots and refuses calls whose time has passed, and grants what has
// become possible. It is due every 20 to 50 ms.
func (h *Limiter) Tick() []Decision {
	h.enter()
	for _, p := range h.permits {
		if p.holdUntil <= h.now {
			h.drop(p)
			if !p.released { // a node that lost its release may still run the call
				p.server.unsureUntil = h.now + h.maxCall()
			}
			h.recycle(p)
		}
	}
	h.restoreEjected()
	for _, c := range h.queue.expire(h.now + h.samples.least(h.now)) {
		h.refuse(c, RefusedDeadline, 0)
	}
	h.dispatch()
	h.queue.forget()
	for f, m := range h.marks {
		if m.until <= h.now {
			delete(h.marks, f)
		}
	}
	for n, s := range h.known {
		if !s.declared && s.inFlight == 0 {
			delete(h.known, n)
		}
	}
	return h.leave()
}

// Configure puts a view in force for group g; leaving names servers whose VM is
// about to stop. Queued calls come back as RefusedMoved when no server is left. A view
// of a lower version than the one in force is not installed.
func (h *Limiter) Configure(v *fleet.View, g fleet.GroupID, leaving []string) []Decision {
	h.enter()
	if h.view != nil && v.Version < h.view.Version {
		v = h.view
	}
	h.view, h.group = v, g
	h.pool = fleet.Pool{}
	h.servers = h.servers[:0]
	for _, s := range h.known {
		s.served, s.declared = s.eligible(), false
	}
	if d := v.Groups[g]; d != nil {
		h.pool = *d.Pool
		for _, b := range d.Servers {
			h.declare(b, leaving)
		}
	}
	h.queue.reweigh(v.WeightOf)
	h.restoreEjected()
	h.dispatch()
	return h.leave()
}

func (h *Limiter) hold(p *permit) {
	h.permits[permitKey{p.granted.Epoch, p.granted.ID}] = p
	p.server.inFlight++
	if p.granted.Exclusive {
		p.server.exclusive++
	}
}

func (h *Limiter) drop(p *permit) {
	delete(h.permits, permitKey{p.granted.Epoch, p.granted.ID})
	p.server.inFlight--
	if p.granted.Exclusive {
		p.server.exclusive--
	}
}

func (h *Limiter) newPermit() *permit {
	n := len(h.free) - 1
	if n < 0 {
		return &permit{}
	}
	p := h.free[n]
	h.free = h.free[:n]
	return p
}

func (h *Limiter) recycle(p *permit) {
	*p = permit{}
	h.free = append(h.free, p)
}

func (h *Limiter) weight(a *Request) int {
	if h.view == nil {
		return 1
	}
	return h.view.WeightOf(a.Organisation, a.Class)
}

func (h *Limiter) maxCall() time.Duration {
	if h.view != nil && h.view.Declaration.Defaults.MaxCall > 0 {
		return h.view.Declaration.Defaults.MaxCall
	}
	return defaultMaxCall
}

func (h *Limiter) queueLimit() int {
	if h.MaxQueue > 0 {
		return h.MaxQueue
	}
	n := 0
	for _, s := range h.servers {
		n += s.ramp.warm
	}
	return max(64, 8*n)
}
