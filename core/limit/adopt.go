package limit

import (
	"cmp"
	"slices"
	"time"
)

// warmSeen is how long a warm sighting of a node counts for a new home.
const warmSeen = 10 * time.Second

// term is what a home has learned since it became home. Servers are closed until
// every node that may hold permits has answered or is dead, or until no permit of
// an earlier home can be left.
type term struct {
	epoch    uint64
	started  bool
	listed   bool // waiting is complete
	since    time.Duration
	waiting  map[string]bool // nodes that have not answered
	answered map[string]bool
}

// Begin starts the term of an epoch. Nodes lists all that may hold permits of an
// earlier home (node and incarnation, as in HeldReport.Node); with none, servers
// open at once, as is right for a group without an earlier home. A home that gains
// authority without Begin keeps its servers closed for the longest call.
func (h *Limiter) Begin(epoch uint64, nodes []string) []Decision {
	h.enter()
	if epoch > h.term.epoch || !h.term.started {
		h.startTerm(epoch, nodes, true)
	} else if epoch == h.term.epoch && !h.term.listed {
		h.term.list(nodes)
	}
	h.dispatch()
	return h.leave()
}

func (h *Limiter) startTerm(epoch uint64, nodes []string, listed bool) {
	h.term = term{epoch: epoch, started: true, since: h.now, answered: map[string]bool{}}
	if listed {
		h.term.list(nodes)
	}
	// Another home may have granted since; what this one knew is out of date.
	for _, s := range h.servers {
		s.ramp.turnCold(h.now)
		s.seenWarm = 0
	}
}

func (t *term) list(nodes []string) {
	t.listed = true
	t.waiting = map[string]bool{}
	for _, n := range nodes {
		if !t.answered[n] {
			t.waiting[n] = true
		}
	}
}

func (t *term) heard(node string) {
	if t.answered != nil {
		t.answered[node] = true
	}
	delete(t.waiting, node)
}

// opensAt returns when servers open even if some node stays silent.
func (h *Limiter) opensAt() time.Duration { return h.term.since + h.maxCall() + holdGrace }

func (h *Limiter) open() bool {
	if !h.term.started {
		return false
	}
	return h.term.listed && len(h.term.waiting) == 0 || h.now >= h.opensAt()
}

// OnNodeDead tells the home that a node is proven dead. Its permits still count until
// HoldUntil, because its calls may still run at the servers.
func (h *Limiter) OnNodeDead(node string) []Decision {
	h.enter()
	h.term.heard(node)
	h.dispatch()
	return h.leave()
}

// Adopt counts the permits that a node holds and takes servers that it saw warm,
// and not cold since, for warm. Reports may come late, twice and in any order.
func (h *Limiter) Adopt(r HeldReport) []Decision {
	h.enter()
	for _, x := range r.Held {
		h.adoptHeld(x)
	}
	for _, x := range r.Cold {
		if s := h.known[x.Server]; s != nil && x.Age <= warmSeen {
			s.seenCold = max(s.seenCold, h.now-x.Age)
		}
	}
	for _, x := range r.Warm {
		if s := h.known[x.Server]; s != nil && x.Age <= warmSeen {
			s.seenWarm = max(s.seenWarm, h.now-x.Age)
			h.samples.add(h.now, x.Service, false)
		}
	}
	for _, s := range h.servers {
		if s.seenWarm > s.seenCold {
			s.ramp.turnWarm()
		} else if s.ramp.done {
			s.ramp.turnCold(h.now)
		}
	}
	h.term.heard(r.Node)
	h.dispatch()
	return h.leave()
}

func (h *Limiter) adoptHeld(x HeldPermit) {
	k := permitKey{x.Permit.Epoch, x.Permit.ID}
	if x.Permit.Group != h.group || x.Remaining <= 0 || h.permits[k] != nil {
		return
	}
	s := h.known[x.Permit.Server]
	if s == nil {
		s = &server{name: x.Permit.Server}
		h.known[s.name] = s
	}
	p := h.newPermit()
	p.granted, p.server, p.node, p.print = x.Permit, s, x.Node, x.Fingerprint
	p.since, p.adopted = h.now, true
	p.holdUntil = h.now + min(x.Remaining, h.maxCall()+holdGrace)
	if x.Permit.Cold && !h.open() {
		// The server was in its ramp at the last home. Good answers that nodes saw
		// since then show that it bears the ramp's limit, not its whole one.
		s.seenCold = h.now
	}
	h.hold(p)
}

// Held reports the permits that count and the servers' states.
func (h *Limiter) Held() HeldReport {
	h.enter()
	defer h.leave()
	return h.report()
}

func (h *Limiter) report() HeldReport {
	var r HeldReport
	for _, p := range h.permits {
		x := HeldPermit{Node: p.node, Permit: p.granted, Fingerprint: p.print, Remaining: p.holdUntil - h.now}
		r.Held = append(r.Held, x)
	}
	slices.SortFunc(r.Held, func(x, y HeldPermit) int {
		return cmp.Or(cmp.Compare(x.Permit.Epoch, y.Permit.Epoch), cmp.Compare(x.Permit.ID, y.Permit.ID))
	})
	for _, s := range h.servers {
		if a := h.now - s.seenCold; a <= warmSeen {
			r.Cold = append(r.Cold, ColdObservation{Server: s.name, Age: a})
		}
		if a := h.now - s.seenWarm; s.ramp.done && a <= warmSeen {
			r.Warm = append(r.Warm, WarmObservation{Server: s.name, Age: a, Service: h.median()})
		}
	}
	return r
}
