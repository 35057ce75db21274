package permit

// This file defines the side of the homes in this process: asks of other nodes, and
// the delivery of decisions to whoever waits for them.

import (
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/core/lease"
	"bergamotspring/core/limit"
	"bergamotspring/io/peer"
)

// remoteSwept is the count of waiting answers above which expired ones are dropped.
const remoteSwept = 16384

// OnAsk decides on an ask of another node, now or later.
func (p *Permits) OnAsk(a limit.Ask, answer func(limit.Decision, limit.Summary) error) {
	h, ok := p.Local(a.Group)
	if !ok {
		e := &limit.RefusedError{Group: a.Group, Reason: limit.RefusedNotHome}
		_ = answer(limit.Decision{Ask: a, Err: e}, limit.Summary{}) // the link broke; the asker sees it
		return
	}
	p.mu.Lock()
	if len(p.remote) >= remoteSwept {
		p.sweep()
	}
	r := remoteAnswer{send: answer, expires: time.Now().Add(a.Deadline + time.Second)}
	put(&p.remote, remoteAsk{a.Node, a.ID}, r)
	p.mu.Unlock()
	p.Deliver(h.Ask(a))
}

// sweep drops answers that a home never gave. The lock is held.
func (p *Permits) sweep() {
	now := time.Now()
	for k, r := range p.remote {
		if now.After(r.expires) {
			delete(p.remote, k)
		}
	}
}

// OnReleases takes releases of another node. Those for groups that have moved are
// dropped: the new home counts their slots until they end.
func (p *Permits) OnReleases(_ lease.Instance, l []limit.Release) {
	for _, r := range l {
		if h, ok := p.Local(r.Group); ok {
			p.Deliver(h.Release(r))
		}
	}
}

// OnWithdraw forgets an ask of another node and ends its wait. If it was granted
// meanwhile, the permit is released here.
func (p *Permits) OnWithdraw(from lease.Instance, g fleet.GroupID, ask uint64) {
	n := peer.NodeName(from)
	p.mu.Lock()
	delete(p.remote, remoteAsk{n, ask})
	p.mu.Unlock()
	p.withdrawn(g, n, ask)
}

// Deliver passes decisions of the homes in this process to the nodes that wait for
// them. A permit that nobody waits for is released at once, which may bring further
// decisions.
func (p *Permits) Deliver(l []limit.Decision) {
	for len(l) > 0 {
		d := l[0]
		l = l[1:]
		if p.deliver(d) || d.Err != nil {
			continue
		}
		if h, ok := p.Local(d.Permit.Group); ok {
			m := d.Permit
			r := limit.Release{Permit: m.ID, Epoch: m.Epoch, Group: m.Group, Server: m.Server, Result: limit.Unsent}
			l = append(l, h.Release(r)...)
		}
	}
}

// deliver reports false if nobody waits for the decision.
func (p *Permits) deliver(d limit.Decision) bool {
	if d.Ask.Node == peer.NodeName(p.Self) {
		p.mu.Lock()
		f := p.local[d.Ask.ID]
		delete(p.local, d.Ask.ID)
		p.mu.Unlock()
		return f != nil && f(d)
	}
	k := remoteAsk{d.Ask.Node, d.Ask.ID}
	p.mu.Lock()
	r, ok := p.remote[k]
	delete(p.remote, k)
	p.mu.Unlock()
	if !ok {
		return false
	}
	var s limit.Summary
	if h, ok := p.Local(d.Ask.Group); ok {
		s = h.Summary()
	}
	return r.send(d, s) == nil
}
