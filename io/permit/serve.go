package permit

// This file defines the side of the lease holder: requests of other nodes, and the
// delivery of decisions to their waiters.

import (
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/core/lease"
	"bergamotspring/core/limit"
	"bergamotspring/io/peer"
)

// sweepThreshold is the number of remote waiters at which expired ones are deleted.
const sweepThreshold = 16384

// OnRequest decides on a request of another node, now or later.
func (p *Broker) OnRequest(a limit.Request, respond func(limit.Decision, limit.Summary) error) {
	h, ok := p.Local(a.Group)
	if !ok {
		e := &limit.RefusedError{Group: a.Group, Reason: limit.RefusedNotHolder}
		_ = respond(limit.Decision{Request: a, Err: e}, limit.Summary{}) // the link broke; the requester sees it
		return
	}
	p.mu.Lock()
	if len(p.remoteWaiters) >= sweepThreshold {
		p.sweep()
	}
	// The requester waits until decisionGrace after the deadline, so the waiter is kept longer.
	r := remoteWaiter{send: respond, expires: time.Now().Add(a.Deadline + time.Second)}
	put(&p.remoteWaiters, requestKey{a.Node, a.ID}, r)
	p.mu.Unlock()
	p.Deliver(h.Submit(a))
}

// sweep deletes expired waiters, which never got a decision. The lock is held.
func (p *Broker) sweep() {
	now := time.Now()
	for k, r := range p.remoteWaiters {
		if now.After(r.expires) {
			delete(p.remoteWaiters, k)
		}
	}
}

// OnReleases applies releases of another node. Those for groups that have moved are
// dropped: the new lease holder counts their slots until HoldUntil.
func (p *Broker) OnReleases(_ lease.Instance, l []limit.Release) {
	for _, r := range l {
		if h, ok := p.Local(r.Group); ok {
			p.Deliver(h.Release(r))
		}
	}
}

// OnWithdraw deletes a request of another node and its wait. If it was granted
// meanwhile, its permit is released here.
func (p *Broker) OnWithdraw(from lease.Instance, g fleet.GroupID, id uint64) {
	n := peer.NodeName(from)
	p.mu.Lock()
	delete(p.remoteWaiters, requestKey{n, id})
	p.mu.Unlock()
	p.withdrawLocal(g, n, id)
}

// Deliver passes decisions of the limiters in this process to their waiters. A permit
// without a waiter is released at once, which may lead to further decisions.
func (p *Broker) Deliver(l []limit.Decision) {
	for len(l) > 0 {
		d := l[0]
		l = l[1:]
		if p.deliver(d) || d.Err != nil {
			continue
		}
		if h, ok := p.Local(d.Permit.Group); ok {
			m := d.Permit
			r := limit.Release{Permit: m.ID, Epoch: m.Epoch, Group: m.Group, Server: m.Server, Result: limit.NotSent}
			l = append(l, h.Release(r)...)
		}
	}
}

// deliver passes a decision to its waiter. It reports false if there is none.
func (p *Broker) deliver(d limit.Decision) bool {
	if d.Request.Node == peer.NodeName(p.Self) {
		p.mu.Lock()
		f := p.localWaiters[d.Request.ID]
		delete(p.localWaiters, d.Request.ID)
		p.mu.Unlock()
		return f != nil && f(d)
	}
	k := requestKey{d.Request.Node, d.Request.ID}
	p.mu.Lock()
	r, ok := p.remoteWaiters[k]
	delete(p.remoteWaiters, k)
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
