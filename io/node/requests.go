package node

// This file implements the callbacks of the callers' server: routes, permits and claims.
// It also distributes updates on suspect requests.

import (
	"context"
	"errors"
	"time"

	"bergamotspring/core/claim"
	"bergamotspring/core/fleet"
	"bergamotspring/core/limit"
	"bergamotspring/core/member"
	"bergamotspring/core/route"
)

// suspectFanout is the number of nodes to which a suspect update is sent at once. Each
// node to which it is new forwards it, so that it reaches all within a few hops.
const suspectFanout = 3

// route returns the groups of a pool in the order in which to request permits from them.
func (n *Node) route(pool string, remaining time.Duration) []fleet.GroupID {
	v := n.view.Load()
	for _, g := range v.ByPool[pool] {
		if a, ok := n.broker.Announced(g.ID); ok {
			n.router.Update(g.ID, a.Summary, time.Since(a.At))
		}
	}
	return n.router.Order(nil, route.Request{Pool: pool, Remaining: remaining, Bytes: crossRegionCallBytes})
}

// acquire requests a permit and updates the state of the router, the links and the retry
// budget.
func (n *Node) acquire(ctx context.Context, a limit.Request, retry bool) (limit.Permit, error) {
	v := n.view.Load()
	r := v.Regions[a.Group.Domain]
	if r != n.self.Region && !n.links.Take(r) {
		return limit.Permit{}, &limit.RefusedError{Group: a.Group, Reason: limit.RefusedBudget}
	}
	share := v.Declaration.Defaults.RetryShare
	if retry && !n.retries.Take(a.Group.Pool, share) {
		return limit.Permit{}, &limit.RefusedError{Group: a.Group, Reason: limit.RefusedBudget}
	}
	p, err := n.broker.Acquire(ctx, a)
	if err == nil {
		if !retry {
			n.retries.CountFirst(a.Group.Pool, share)
		}
		n.router.OnSent(a.Group)
		return p, nil
	}
	if retry {
		n.retries.Refund(a.Group.Pool, share)
	}
	if e, ok := errors.AsType[*limit.RefusedError](err); ok {
		n.router.OnRefused(e)
	}
	return p, err
}

func (n *Node) release(r limit.Release) {
	n.router.OnEnded(r.Group)
	n.broker.Release(r)
}

// claimRoutingMinNodes is the number of live nodes from which claims are routed through a
// few writers; with fewer nodes, the table service can take each node's own transactions.
// The writers are in the node's region, so that claims depend on no other region, except
// for the table service.
const (
	claimRoutingMinNodes = 32
	writersInRegion      = 2
)

// claimWriters returns the nodes that may write claims for others, none if the fleet has
// fewer than claimRoutingMinNodes live nodes.
func (n *Node) claimWriters() []member.Node {
	if len(n.members.Live("")) < claimRoutingMinNodes {
		return nil
	}
	return n.members.Live(n.self.Region)
}

// finishClaim records the response of a claimed call, or releases the claim if no byte of
// the call was sent.
func (n *Node) finishClaim(_ context.Context, organisation string, t claim.Ticket, status int, answer []byte, ran bool) {
	if ran {
		n.claimRouter.Finish(organisation, t, status, answer)
		return
	}
	n.claimRouter.Release(organisation, t)
}

// broadcastSuspects sends updates to a few nodes at once, and to the others in digests.
func (n *Node) broadcastSuspects(l []member.SuspectUpdate) {
	for _, x := range l {
		n.gossip.SendSuspect(x)
	}
	n.raisePoisonAlarms(l)
	n.forwardSuspects(l)
}

func (n *Node) raisePoisonAlarms(l []member.SuspectUpdate) {
	for _, x := range l {
		switch x.State {
		case member.Poison:
			n.raisePoisonAlarm("fingerprint", x.Fingerprint)
		case member.PrefixPoison:
			n.raisePoisonAlarm("prompt prefix", x.Fingerprint)
		}
	}
}

func (n *Node) forwardSuspects(l []member.SuspectUpdate) {
	for _, p := range n.gossip.Sample(suspectFanout) {
		_ = n.mesh.SendSuspects(context.Background(), p, l) // digests deliver what is lost here
	}
}

// onSuspects handles updates that a node sent outside its digests.
func (n *Node) onSuspects(l []member.SuspectUpdate) {
	n.gossip.OnDigest(member.Digest{Suspects: l})
}

// mergeSuspects merges updates that are new to this node, and forwards them.
func (n *Node) mergeSuspects(l []member.SuspectUpdate) {
	n.suspects.Merge(l)
	n.raisePoisonAlarms(l)
	n.forwardSuspects(l)
}
