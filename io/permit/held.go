package permit

// This file defines what a node remembers of its permits and of the servers it used,
// for the reports that a new home asks for.

import (
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/core/limit"
	"bergamotspring/io/peer"
)

// sightingAge is how long an answer counts as a sign that its server is warm or cold.
const sightingAge = 10 * time.Second

type heldKey struct {
	group fleet.GroupID
	epoch uint64
	id    uint64
}

type heldPermit struct {
	held  limit.HeldPermit
	until time.Time
}

type sighting struct {
	at      time.Time
	service time.Duration
	cold    bool // or crashed, or refusing connections
}

// hold enters a permit in the table. It reports false if a held report was given
// since the ask: the new home would not count this permit.
func (p *Broker) hold(t *attempt, m limit.Permit) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.adopted[t.request.Group] != t.known {
		return false
	}
	h := limit.HeldPermit{Node: t.request.Node, Permit: m, Fingerprint: t.request.Fingerprint}
	put(&p.held, heldKey{m.Group, m.Epoch, m.ID}, heldPermit{held: h, until: t.sent.Add(m.HoldUntil)})
	return true
}

// released takes a permit out of the table and notes how its server answered.
func (p *Broker) released(r limit.Release) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := heldKey{r.Group, r.Epoch, r.Permit}
	h := p.held[k]
	delete(p.held, k)
	switch r.Result {
	case limit.Good:
		if h.held.Permit.Cold {
			return // it bore the limit of a ramp, which does not show that it is warm
		}
		p.saw(r, sighting{at: time.Now(), service: r.Service})
	case limit.Cold, limit.Crashed, limit.Refused:
		p.saw(r, sighting{at: time.Now(), cold: true})
	}
}

// saw keeps the newest sighting of a server. mu is held.
func (p *Broker) saw(r limit.Release, x sighting) {
	m := p.seen[r.Group]
	put(&m, r.Server, x)
	put(&p.seen, r.Group, m)
}

// All returns every permit that this node holds.
func (p *Broker) All() []limit.HeldPermit {
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

// Held answers a new home of a group: which permits this node holds, and which servers
// it saw warm or cold in the last 10 s. Grants that are still on their way from
// an earlier home are not used after this.
func (p *Broker) Held(g fleet.GroupID) limit.HeldReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	put(&p.adopted, g, p.adopted[g]+1)
	now := time.Now()
	r := limit.HeldReport{Node: peer.NodeName(p.Self)}
	for k, h := range p.held {
		if k.group == g && h.until.After(now) {
			h.held.Remaining = h.until.Sub(now)
			r.Held = append(r.Held, h.held)
		}
	}
	for s, x := range p.seen[g] {
		a := now.Sub(x.at)
		switch {
		case a > sightingAge:
			delete(p.seen[g], s)
		case x.cold:
			r.Cold = append(r.Cold, limit.ColdObservation{Server: s, Age: a})
		default:
			r.Warm = append(r.Warm, limit.WarmObservation{Server: s, Age: a, Service: x.service})
		}
	}
	return r
}
