package node

// This file is what the callers' server asks of the node: routes, permits, claims
// and the state of suspects.

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

// spreadPeers is how many nodes hear of a suspect at once; each that had not heard
// passes it on, so that all know within a few hops.
const spreadPeers = 3

// route returns the groups of a pool in the order in which they are to be asked.
func (n *Node) route(pool string, left time.Duration) []fleet.GroupID {
	v := n.view.Load()
	for _, g := range v.ByPool[pool] {
		if a, ok := n.broker.Announced(g.ID); ok {
			n.router.Update(g.ID, a.Summary, time.Since(a.At))
		}
	}
	return n.router.Order(nil, route.Request{Pool: pool, Remaining: left, Bytes: crossEstimate})
}

// acquire gets a permit and keeps the router's and the links' counts.
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
			n.retries.First(a.Group.Pool, share)
		}
		n.router.Sent(a.Group)
		return p, nil
	}
	if retry {
		n.retries.Refund(a.Group.Pool, share)
	}
	if e, ok := errors.AsType[*limit.RefusedError](err); ok {
		n.router.Refused(e)
	}
	return p, err
}

func (n *Node) release(r limit.Release) {
	n.router.Ended(r.Group)
	n.broker.Release(r)
}

// relayFrom is the number of live nodes from which claims go through a few writers;
// with fewer, each node's own transactions are few enough. The writers are in the
// node's region, so that claims do not depend on another one but for the table.
const (
	relayFrom       = 32
	writersInRegion = 2
)

// claimWriters returns the nodes that may write claims for others, none in a small
// fleet.
func (n *Node) claimWriters() []member.Node {
	if len(n.members.Live("")) < relayFrom {
		return nil
	}
	return n.members.Live(n.self.Region)
}

// finishClaim records the answer of a claimed call, or frees a claim of which no
// byte was sent.
func (n *Node) finishClaim(_ context.Context, organisation string, t claim.Ticket, status int, answer []byte, ran bool) {
	if ran {
		n.claimRouter.Finish(organisation, t, status, answer)
		return
	}
	n.claimRouter.Release(organisation, t)
}

// spreadSuspects tells a few nodes at once and the others by digests.
func (n *Node) spreadSuspects(l []member.SuspectUpdate) {
	for _, x := range l {
		n.gossip.SendSuspect(x)
	}
	n.notePoison(l)
	n.forward(l)
}

func (n *Node) notePoison(l []member.SuspectUpdate) {
	for _, x := range l {
		if x.State == member.Poison {
			n.poisoned(x.Fingerprint)
		}
	}
}

func (n *Node) forward(l []member.SuspectUpdate) {
	for _, p := range n.gossip.Sample(spreadPeers) {
		_ = n.mesh.SendSuspects(context.Background(), p, l) // digests make up for a loss
	}
}

// onSuspects takes notes that a node sent at once.
func (n *Node) onSuspects(l []member.SuspectUpdate) {
	n.gossip.OnDigest(member.Digest{Suspects: l})
}

// heardSuspects takes notes that are new here, and passes them on.
func (n *Node) heardSuspects(l []member.SuspectUpdate) {
	n.suspects.Merge(l)
	n.notePoison(l)
	n.forward(l)
}
