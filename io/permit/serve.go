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

// OnRequest decides on an ask of another node, now or later.
func (p *Broker) OnRequest(a limit.Request, answer func(limit.Decision, limit.Summary) error) {
	h, ok := p.Local(a.Group)
	if !ok {
		e := &limit.RefusedError{Group: a.Group, Reason: limit.RefusedNotHome}
		_ = answer(limit.Decision{Request: a, Err: e}, limit.Summary{}) // the link broke; the asker sees it
		return
	}
	p.mu.Lock()
	if len(p.remote) >= remoteSwept {
		p.sweep()
	}
	r := remoteAnswer{send: answer, expires: time.Now().Add(a.Deadline + time.Second)}
	put(&p.remote, remoteRequest{a.Node, a.ID}, r)
	p.mu.Unlock()
	p.Deliver(h.Submit(a))
}

// sweep drops answers that a home never gave. The lock is held.
func (p *Broker) sweep() {
	now := time.Now()
	for k, r := range p.remote {
		if now.After(r.expires) {
			delete(p.remote, k)
		}
	}
}

// OnReleases takes releases of another node. Those for groups that have moved are
// dropped: the new home counts their slots until they end.
func (p *Broker) OnReleases(_ lease.Instance, l []limit.Release) {
	for _, r := range l {
		if h, ok := p.Local(r.Group); ok {
			p.Deliver(h.Release(r))
		}
	}
}

// OnWithdraw forgets an ask of another node and ends its wait. If it was granted
// meanwhile, the permit is released here.
func (p *Broker) OnWithdraw(from lease.Instance, g fleet.GroupID, ask uint64) {
	n := peer.NodeName(from)
	p.mu.Lock()
	delete(p.remote, remoteRequest{n, ask})
	p.mu.Unlock()
	p.withdrawn(g, n, ask)
}

// Deliver passes decisions of the homes in this process to the nodes that wait for
// them. A permit that nobody waits for is released at once, which may bring further
// decisions.
func (p *Broker) Deliver(l []limit.Decision) {
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
func (p *Broker) deliver(d limit.Decision) bool {
	if d.Request.Node == peer.NodeName(p.Self) {
		p.mu.Lock()
		f := p.local[d.Request.ID]
		delete(p.local, d.Request.ID)
		p.mu.Unlock()
		return f != nil && f(d)
	}
	k := remoteRequest{d.Request.Node, d.Request.ID}
	p.mu.Lock()
	r, ok := p.remote[k]
	delete(p.remote, k)
	p.mu.Unlock()
	if !ok {
		return false
	}
	var s limit.Summary
	if h, ok := p.Local(d.Request.Group); ok {
		s = h.Summary()
	}
	return r.send(d, s) == nil
}
