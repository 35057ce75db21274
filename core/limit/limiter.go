package limit

import (
	"slices"
	"sync"
	"time"

	"bergamotspring/core/fleet"
)

// This file holds the state of a limiter and its main methods. The other files cover
// one concern each: dispatch.go decides requests, coldstart.go sets the limit of a cold
// server, eject.go excludes unhealthy servers, server.go chooses the server of a call,
// queue.go orders waiting calls, observe.go updates the state from results, and
// adopt.go collects the permits of the previous lease holder, and prefix.go judges prefixes.

const (
	maxSendDelay = 500 * time.Millisecond // a first byte sent later needs a new permit
	// holdGrace is the time for cancelling a call at its deadline and reporting
	// the release.
	holdGrace = 250 * time.Millisecond
	// defaultMaxCall applies while the declaration sets no maximum deadline.
	defaultMaxCall = 10 * time.Second
	// maxAuthority prevents overflow: without a standby, authority has no end.
	maxAuthority = time.Hour
	// maxParked bounds the calls that every dispatch has to examine again because
	// they must avoid the free servers or wait for exclusive use of one.
	maxParked = 64
	// clockOrigin keeps instants above 0, since 0 means "never".
	clockOrigin = time.Hour
)

// Limiter grants all permits for the servers of one group. The zero value works: it
// refuses every request with RefusedNotHolder until Authority is set.
//
// Limiter is safe for concurrent use. It has one lock, of the level "group" in the
// lock order (config, membership, leases, group, server, request): Now and Authority
// are called before it is taken. Only Prefixes is used while it is held.
//
// Invariants, at every return:
//   - a call is granted only while its server's calls in flight are under its current limit;
//     adopted permits may exceed it;
//   - a permit counts until its release, or, if the server may still work on the call
//     (keepSlot), for a while after it, and at most until HoldUntil;
//   - each request gets exactly one Decision;
//   - an exclusive call is the only one on its server.
type Limiter struct {
	// Now returns the time, with a monotonic reading. nil: the time never advances.
	Now func() time.Time
	// Authority returns the epoch of the group's lease and for how long this node
	// may still grant under it. nil or remaining <= 0: not the lease holder.
	Authority func() (epoch uint64, remaining time.Duration)
	// Prefixes holds the evidence of all groups against prefixes.
	Prefixes Prefixes
	// MaxQueue bounds the waiting calls. 0: eight times the warm limits, at least 64.
	MaxQueue int

	mu            sync.Mutex
	base          time.Time
	now           time.Duration // instant of the call in progress
	authorityEnd  time.Duration
	decisions     []Decision // of the call in progress
	view          *fleet.View
	group         fleet.GroupID
	pool          fleet.Pool
	servers       []*server // declared, in declared order
	serversByName map[string]*server
	permits       map[permitKey]*permit
	freePermits   []*permit
	nextID        uint64
	grantCount    uint64
	queue         fairQueue
	parked        []*call
	samples       samples
	suspects      map[uint64]suspectEntry
	term          term
}

type permitKey struct{ epoch, id uint64 }

// permit is a slot in use.
type permit struct {
	granted       Permit
	server        *server
	node          string
	fingerprint   uint64
	prefix        uint64
	grantedAt     time.Duration
	holdUntil     time.Duration
	prefixSuspect bool // the prefix was a suspect when it was granted
	adopted       bool // granted by a previous lease holder
	crashed       bool // was in flight at a crash that was already reported
	released      bool // given up by its node, see keepSlot
}

// suspectEntry is this limiter's own evidence against a fingerprint. It applies for
// suspectTTL, which is longer than gossip takes to bring the evidence to the requesting nodes.
type suspectEntry struct {
	poison bool
	until  time.Duration
}

// Evidence is what a release shows about requests that may crash servers.
type Evidence struct {
	Crashed   []uint64 // fingerprints in flight on a server that crashed
	Exclusive bool     // the call in Crashed was the only one on its server from its start
	Cleared   uint64   // completed as the only call on its server, 0: none

	Prefix        uint64 // of the exclusive call in Crashed, 0: none
	PrefixSuspect bool   // that prefix was a suspect when the call was granted
	Served        uint64 // suspect prefix of a call that completed, 0: none
}

// lock acquires the mutex and updates the current instant and the authority.
func (h *Limiter) lock() {
	var n time.Time
	var epoch uint64
	var remaining time.Duration
	if h.Now != nil {
		n = h.Now()
	}
	if h.Authority != nil {
		epoch, remaining = h.Authority()
	}
	h.mu.Lock()
	if h.serversByName == nil {
		h.base = n
		h.serversByName = map[string]*server{}
		h.permits = map[permitKey]*permit{}
		h.suspects = map[uint64]suspectEntry{}
	}
	t := n.Sub(h.base) + clockOrigin
	// A caller that read the clock earlier may acquire the lock later.
	h.now = max(h.now, t)
	h.authorityEnd = t + min(remaining, maxAuthority)
	if remaining <= 0 || epoch < h.term.epoch {
		h.authorityEnd = 0
	} else if epoch > h.term.epoch || !h.term.started {
		h.startTerm(epoch, nil, false)
	}
	h.decisions = nil
}

// unlock releases the mutex and returns the decisions made since lock.
func (h *Limiter) unlock() []Decision {
	o := h.decisions
	h.decisions = nil
	h.mu.Unlock()
	return o
}

func (h *Limiter) mayGrant() bool { return h.authorityEnd > h.now && h.ready() }

// Submit decides request a or queues it. The decisions may include those of other
// requests that a displaced from the queue.
func (h *Limiter) Submit(a Request) []Decision {
	h.lock()
	m := h.maxCall()
	if a.Deadline > m {
		a.Deadline = m
	}
	c := &call{request: a, received: h.now, deadline: h.now + a.Deadline}
	h.judge(c)
	if r, w := h.admit(c); r != 0 {
		h.refuse(c, r, w)
		return h.unlock()
	}
	if h.queue.n == 0 && len(h.parked) == 0 {
		if s := h.choose(c); s != nil {
			h.grant(c, s)
			return h.unlock()
		}
		if c.reserved != nil {
			h.parked = append(h.parked, c)
			return h.unlock()
		}
	}
	if v := h.queue.add(c, h.weight(&a), h.queueLimit()); v != nil {
		h.refuse(v, RefusedFull, h.waitBehind(h.queue.n))
	}
	h.dispatch()
	return h.unlock()
}

// Release ends a permit and updates the server's state from the result. The release
// of an unknown permit has no effect.
func (h *Limiter) Release(r Release) ([]Decision, Evidence) {
	h.lock()
	var e Evidence
	p := h.permits[permitKey{r.Epoch, r.Permit}]
	if p != nil && !p.released && p.granted.Server == r.Server && r.Group == h.group {
		h.removePermit(p)
		e = h.observe(p, r)
		h.recordEvidence(e)
		if h.keepSlot(p, r.Result) {
			h.addPermit(p)
		} else {
			h.recycle(p)
		}
	}
	h.dispatch()
	return h.unlock(), e
}

// keepSlot reports whether a call that its node gave up still occupies its slot, and
// sets until when. A server keeps working on the call until the cancellation takes
// effect, and a cold server must not exceed its limit even for that time.
func (h *Limiter) keepSlot(p *permit, r Result) bool {
	if r != Silent && r != Abandoned || p.server.ramp.done {
		return false
	}
	p.released = true
	// Model servers end a cancelled call only after its prefill, and a cold prefill is
	// slow: the call may run for as long as a complete cold response takes.
	cold := time.Duration(max(1, h.pool.ColdFactor) * float64(h.median()))
	p.holdUntil = min(p.holdUntil, max(h.now+holdGrace, p.grantedAt+cold))
	return true
}

// Withdraw refuses a waiting request whose caller disconnected, with RefusedMoved. It
// has no effect if the request is not waiting.
func (h *Limiter) Withdraw(node string, request uint64) []Decision {
	h.lock()
	matches := func(c *call) bool { return c.request.Node == node && c.request.ID == request }
	if i := slices.IndexFunc(h.parked, matches); i >= 0 {
		h.refuse(h.parked[i], RefusedMoved, 0)
		h.parked = slices.Delete(h.parked, i, i+1)
	} else if c := h.queue.removeFunc(matches); c != nil {
		h.refuse(c, RefusedMoved, 0)
	}
	h.dispatch()
	return h.unlock()
}

// Tick frees the slots of expired permits, refuses calls that can no longer meet their
// deadline, and grants permits for free slots. It must be called every 20 to 50 ms.
func (h *Limiter) Tick() []Decision {
	h.lock()
	for _, p := range h.permits {
		if p.holdUntil <= h.now {
			h.removePermit(p)
			if !p.released { // the release may be lost and the call still running
				p.server.mayRunUntil = h.now + h.maxCall()
			}
			h.recycle(p)
		}
	}
	h.restoreEjected()
	for _, c := range h.queue.expire(h.now + h.samples.shortService(h.now)) {
		h.refuse(c, RefusedDeadline, 0)
	}
	h.dispatch()
	h.queue.deleteIdle()
	for f, m := range h.suspects {
		if m.until <= h.now {
			delete(h.suspects, f)
		}
	}
	for n, s := range h.serversByName {
		if !s.declared && s.inFlight == 0 {
			delete(h.serversByName, n)
		}
	}
	return h.unlock()
}

// Configure installs a view for group g; leaving names servers whose VM is about to
// stop. Queued calls are refused with RefusedMoved when no server takes work any more.
// A view of a lower version than the installed one is ignored; g and leaving still apply.
func (h *Limiter) Configure(v *fleet.View, g fleet.GroupID, leaving []string) []Decision {
	h.lock()
	if h.view != nil && v.Version < h.view.Version {
		v = h.view
	}
	h.view, h.group = v, g
	h.pool = fleet.Pool{}
	h.servers = h.servers[:0]
	for _, s := range h.serversByName {
		s.wasEligible, s.declared = s.eligible(), false
	}
	if d := v.Groups[g]; d != nil {
		h.pool = *d.Pool
		for _, b := range d.Servers {
			h.addServer(b, leaving)
		}
	}
	h.queue.reweigh(v.WeightOf)
	h.restoreEjected()
	h.dispatch()
	return h.unlock()
}

func (h *Limiter) addPermit(p *permit) {
	h.permits[permitKey{p.granted.Epoch, p.granted.ID}] = p
	p.server.inFlight++
	if p.granted.Exclusive {
		p.server.exclusive++
	}
}

func (h *Limiter) removePermit(p *permit) {
	delete(h.permits, permitKey{p.granted.Epoch, p.granted.ID})
	p.server.inFlight--
	if p.granted.Exclusive {
		p.server.exclusive--
	}
}

func (h *Limiter) newPermit() *permit {
	n := len(h.freePermits) - 1
	if n < 0 {
		return &permit{}
	}
	p := h.freePermits[n]
	h.freePermits = h.freePermits[:n]
	return p
}

func (h *Limiter) recycle(p *permit) {
	*p = permit{}
	h.freePermits = append(h.freePermits, p)
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
		n += s.ramp.warmLimit
	}
	return max(64, 8*n)
}
