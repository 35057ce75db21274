package limit

import (
	"cmp"
	"slices"
	"time"
)

// observationTTL is the age up to which a new lease holder uses warm and cold
// observations of other nodes.
const observationTTL = 10 * time.Second

// term is the state of the limiter since this node became lease holder at an epoch; it is
// no duration, unlike those of lease.Terms. No permits are granted until every node that
// may hold permits of a previous lease holder has reported them or is dead, or until all
// such permits have expired.
type term struct {
	epoch      uint64
	started    bool
	nodesKnown bool // pending is complete
	startedAt  time.Duration
	pending    map[string]bool // entries of Begin's list still awaited
	reported   map[string]bool
}

// Begin starts the term of an epoch. Grants start once each entry of nodes has reported
// (Adopt) or was passed to StopAwaiting, at the latest at readyAt. The entries are the nodes
// that may hold permits of a previous lease holder (node and incarnation, as in
// HeldReport.Node), or one name that the caller uses for all of them. If there are none,
// grants start at once, which is correct for a group that never had a lease holder. If the
// node gains authority without Begin, grants start only after the maximum duration of a call.
func (h *Limiter) Begin(epoch uint64, nodes []string) []Decision {
	h.lock()
	if epoch > h.term.epoch || !h.term.started {
		h.startTerm(epoch, nodes, true)
	} else if epoch == h.term.epoch && !h.term.nodesKnown {
		h.term.setNodes(nodes)
	}
	h.dispatch()
	return h.unlock()
}

func (h *Limiter) startTerm(epoch uint64, nodes []string, nodesKnown bool) {
	h.term = term{epoch: epoch, started: true, startedAt: h.now, reported: map[string]bool{}}
	if nodesKnown {
		h.term.setNodes(nodes)
	}
	// Another node may have granted permits since; the state of the servers is stale.
	for _, s := range h.servers {
		s.ramp.markCold(h.now)
		s.warmAt = 0
	}
}

func (t *term) setNodes(nodes []string) {
	t.nodesKnown = true
	t.pending = map[string]bool{}
	for _, n := range nodes {
		if !t.reported[n] {
			t.pending[n] = true
		}
	}
}

func (t *term) onReport(node string) {
	if t.reported != nil {
		t.reported[node] = true
	}
	delete(t.pending, node)
}

// readyAt returns when grants start even if some node has not reported.
func (h *Limiter) readyAt() time.Duration { return h.term.startedAt + h.maxCall() + holdGrace }

func (h *Limiter) ready() bool {
	if !h.term.started {
		return false
	}
	return h.term.nodesKnown && len(h.term.pending) == 0 || h.now >= h.readyAt()
}

// StopAwaiting ends the wait for an entry of Begin's list, such as a dead node. The permits of
// a dead node still count until HoldUntil, because its calls may still run at the servers.
func (h *Limiter) StopAwaiting(node string) []Decision {
	h.lock()
	h.term.onReport(node)
	h.dispatch()
	return h.unlock()
}

// Adopt counts the permits that a node holds and marks each server warm or cold by
// the newest observation of any node. Reports may arrive late, twice and in any order.
func (h *Limiter) Adopt(r HeldReport) []Decision {
	h.lock()
	for _, x := range r.Held {
		h.adoptPermit(x)
	}
	for _, x := range r.Cold {
		if s := h.serversByName[x.Server]; s != nil && x.Age <= observationTTL {
			s.coldAt = max(s.coldAt, h.now-x.Age)
		}
	}
	for _, x := range r.Warm {
		if s := h.serversByName[x.Server]; s != nil && x.Age <= observationTTL {
			s.warmAt = max(s.warmAt, h.now-x.Age)
			h.samples.add(h.now, x.Service, false)
		}
	}
	for _, s := range h.servers {
		if s.warmAt > s.coldAt {
			s.ramp.markWarm()
		} else if s.ramp.done {
			s.ramp.markCold(h.now)
		}
	}
	h.term.onReport(r.Node)
	h.dispatch()
	return h.unlock()
}

func (h *Limiter) adoptPermit(x HeldPermit) {
	k := permitKey{x.Permit.Epoch, x.Permit.ID}
	if x.Permit.Group != h.group || x.Remaining <= 0 || h.permits[k] != nil {
		return
	}
	s := h.serversByName[x.Permit.Server]
	if s == nil {
		s = &server{name: x.Permit.Server}
		h.serversByName[s.name] = s
	}
	p := h.newPermit()
	p.granted, p.server, p.node, p.fingerprint = x.Permit, s, x.Node, x.Fingerprint
	p.grantedAt, p.adopted = h.now, true
	p.holdUntil = h.now + min(x.Remaining, h.maxCall()+holdGrace)
	if x.Permit.Cold && !h.ready() {
		// The server was in its ramp under the previous lease holder. Good responses
		// since then show that it handles the ramp's limit, not its warm limit.
		s.coldAt = h.now
	}
	h.addPermit(p)
}

// Held returns the permits that count and the observed states of the servers.
func (h *Limiter) Held() HeldReport {
	h.lock()
	defer h.unlock()
	return h.heldReport()
}

func (h *Limiter) heldReport() HeldReport {
	var r HeldReport
	for _, p := range h.permits {
		x := HeldPermit{Node: p.node, Permit: p.granted, Fingerprint: p.fingerprint, Remaining: p.holdUntil - h.now}
		r.Held = append(r.Held, x)
	}
	slices.SortFunc(r.Held, func(x, y HeldPermit) int {
		return cmp.Or(cmp.Compare(x.Permit.Epoch, y.Permit.Epoch), cmp.Compare(x.Permit.ID, y.Permit.ID))
	})
	for _, s := range h.servers {
		if a := h.now - s.coldAt; a <= observationTTL {
			r.Cold = append(r.Cold, ColdObservation{Server: s.name, Age: a})
		}
		if a := h.now - s.warmAt; s.ramp.done && a <= observationTTL {
			r.Warm = append(r.Warm, WarmObservation{Server: s.name, Age: a, Service: h.median()})
		}
	}
	return r
}
