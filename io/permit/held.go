package permit

// This file records a node's permits and what it observed of the servers it used, for
// the reports that a new lease holder asks for.

import (
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/core/limit"
	"bergamotspring/io/peer"
)

// maxObservationAge is how long a response counts as evidence that its server is warm
// or cold.
const maxObservationAge = 10 * time.Second

type heldKey struct {
	group fleet.GroupID
	epoch uint64
	id    uint64
}

type heldPermit struct {
	held  limit.HeldPermit
	until time.Time
}

type observation struct {
	at      time.Time
	service time.Duration
	cold    bool // or crashed, or refusing connections
}

// addHeld records a permit in use. It reports false if a held report was sent since the
// request: the new lease holder would not count this permit.
func (p *Broker) addHeld(t *attempt, m limit.Permit) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.heldReports[t.request.Group] != t.heldReports {
		return false
	}
	h := limit.HeldPermit{Node: t.request.Node, Permit: m, Fingerprint: t.request.Fingerprint}
	put(&p.held, heldKey{m.Group, m.Epoch, m.ID}, heldPermit{held: h, until: t.sent.Add(m.HoldUntil)})
	return true
}

// removeHeld deletes the record of a permit and records how its server responded.
func (p *Broker) removeHeld(r limit.Release) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := heldKey{r.Group, r.Epoch, r.Permit}
	h := p.held[k]
	delete(p.held, k)
	switch r.Result {
	case limit.Good:
		if h.held.Permit.Cold {
			return // the call was within the limit of a cold server, which does not show that it is warm
		}
		p.observe(r, observation{at: time.Now(), service: r.Service})
	case limit.Cold, limit.Crashed, limit.Refused:
		p.observe(r, observation{at: time.Now(), cold: true})
	}
}

// observe records the newest observation of a server. mu is held.
func (p *Broker) observe(r limit.Release, x observation) {
	m := p.observed[r.Group]
	put(&m, r.Server, x)
	put(&p.observed, r.Group, m)
}

// HeldPermits returns every permit that this node holds.
func (p *Broker) HeldPermits() []limit.HeldPermit {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := make([]limit.HeldPermit, 0, len(p.held))
	for _, h := range p.held {
		x := h.held
		x.Remaining = time.Until(h.until)
		l = append(l, x)
	}
	return l
}

// HeldReport returns the report for a new lease holder of a group: which permits this node
// holds, and which servers it observed as warm or cold in the last 10 s. Grants of an
// earlier lease holder that are still in transit are not used after this.
func (p *Broker) HeldReport(g fleet.GroupID) limit.HeldReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	put(&p.heldReports, g, p.heldReports[g]+1)
	now := time.Now()
	r := limit.HeldReport{Node: peer.NodeName(p.Self)}
	for k, h := range p.held {
		if k.group == g && h.until.After(now) {
			h.held.Remaining = h.until.Sub(now)
			r.Held = append(r.Held, h.held)
		}
	}
	for s, x := range p.observed[g] {
		age := now.Sub(x.at)
		switch {
		case age > maxObservationAge:
			delete(p.observed[g], s)
		case x.cold:
			r.Cold = append(r.Cold, limit.ColdObservation{Server: s, Age: age})
		default:
			r.Warm = append(r.Warm, limit.WarmObservation{Server: s, Age: age, Service: x.service})
		}
	}
	return r
}
