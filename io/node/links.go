package node

// This file shares the links between regions: for each link, one node of the region acts
// as link limiter and grants the bytes that all nodes of the region send over the link.
// It is elected like the lease holder of a group.

import (
	"context"
	"sync"
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/core/lease"
	"bergamotspring/core/member"
	"bergamotspring/core/route"
	"bergamotspring/io/control"
	"bergamotspring/io/peer"
	"bergamotspring/io/wait"
)

const (
	linkRefillInterval = 250 * time.Millisecond
	// crossRegionCallBytes is the estimate of the bytes that a call to another region
	// sends and receives; it is used until the call has ended and its bytes are known.
	crossRegionCallBytes = 8 << 10
)

// linkGroup returns the group ID under which the limiter of a link is elected. It is
// not a group of servers. Its domain is the first one of the region that the link
// leaves, so that a node there is preferred as limiter.
func linkGroup(v *fleet.View, l fleet.Link) fleet.GroupID {
	id := fleet.GroupID{Pool: "link/" + l.From + "-" + l.To}
	for _, d := range v.Declaration.Domains {
		if d.Region == l.From {
			id.Domain = d.Name
			break
		}
	}
	return id
}

// Links holds this node's allowances and the link limiters that it runs. All fields
// must be set before first use. Its lock has the level "leases" in the lock order given at
// limit.Limiter.
type Links struct {
	Self        lease.Instance
	Region      string
	Authority   func(fleet.GroupID) (epoch uint64, remaining time.Duration)
	Holder      func(fleet.GroupID) (member.Node, bool)
	SendRequest func(ctx context.Context, to member.Node, a peer.LinkRequest) (peer.LinkGrant, error)

	once sync.Once
	done chan struct{}

	mu    sync.Mutex
	links map[string]*link // by destination region
}

type link struct {
	group     fleet.GroupID
	allowance *route.Allowance
	limiter   *route.LinkLimiter
}

func (l *Links) init() {
	l.once.Do(func() {
		l.done = make(chan struct{})
		l.links = map[string]*link{}
	})
}

// Done is closed when Run has returned.
func (l *Links) Done() <-chan struct{} {
	l.init()
	return l.done
}

// Install configures the links that leave this node's region. A link keeps its state
// unless its group or its rate changes.
func (l *Links) Install(v *fleet.View) {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, d := range v.Declaration.Links {
		if d.From != l.Region {
			continue
		}
		k := l.links[d.To]
		g := linkGroup(v, d)
		if k == nil || k.group != g || k.limiter.BytesPerSecond != d.BytesPerSecond {
			k = &link{
				group: g, allowance: &route.Allowance{Now: time.Now},
				limiter: &route.LinkLimiter{BytesPerSecond: d.BytesPerSecond, Now: time.Now},
			}
			k.limiter.Authority = func() (uint64, time.Duration) { return l.Authority(g) }
			l.links[d.To] = k
		}
	}
}

func (l *Links) get(region string) *link {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.links[region]
}

// Remaining returns the bytes that this node may send to a region now.
func (l *Links) Remaining(region string) int64 {
	if k := l.get(region); k != nil {
		return k.allowance.Remaining()
	}
	return 0
}

// Request registers a need of n bytes for calls that may soon go to a region.
func (l *Links) Request(region string, n int64) {
	if k := l.get(region); k != nil {
		k.allowance.Need(n)
	}
}

// Take deducts the estimate of a call to a region from the allowance, and reports
// whether the call may be sent.
func (l *Links) Take(region string) bool {
	k := l.get(region)
	return k != nil && k.allowance.TakeWork(crossRegionCallBytes)
}

// Settle charges the bytes that a call to a region sent and received beyond the estimate.
func (l *Links) Settle(region string, n int64) {
	if k := l.get(region); k != nil && n > crossRegionCallBytes {
		k.allowance.AddDebt(n - crossRegionCallBytes)
	}
}

// OnRequest grants bytes to a node of the region.
func (l *Links) OnRequest(from lease.Instance, a peer.LinkRequest) (peer.LinkGrant, error) {
	k := l.get(a.To)
	if k == nil || a.From != l.Region {
		return peer.LinkGrant{}, &LinkUnknownError{From: a.From, To: a.To}
	}
	c := k.limiter.Grant(route.LinkRequest{Node: peer.NodeName(from), Bytes: a.Bytes, Debt: a.Debt})
	return peer.LinkGrant{Bytes: c.Bytes, Term: c.TTL}, nil
}

// LinkUnknownError reports a request for a link that this node does not have.
type LinkUnknownError struct {
	From, To string
}

func (e *LinkUnknownError) Error() string { return "node: no link from " + e.From + " to " + e.To }

// Run requests bytes from the link limiters until ctx ends.
func (l *Links) Run(ctx context.Context) error {
	l.init()
	defer close(l.done)
	for wait.Sleep(ctx, linkRefillInterval) {
		l.mu.Lock()
		m := make(map[string]*link, len(l.links))
		for to, k := range l.links {
			m[to] = k
		}
		l.mu.Unlock()
		for to, k := range m {
			l.refill(ctx, to, k)
		}
	}
	return nil
}

func (l *Links) refill(ctx context.Context, to string, k *link) {
	a := k.allowance.Request(peer.NodeName(l.Self))
	if a.Bytes == 0 && a.Debt == 0 {
		return
	}
	sent := time.Now()
	g, err := l.grant(ctx, to, k, a)
	if err != nil {
		k.allowance.AddDebt(a.Debt)
		return
	}
	k.allowance.Add(route.Chunk{Bytes: g.Bytes, TTL: g.Term}, sent)
}

func (l *Links) grant(ctx context.Context, to string, k *link, a route.LinkRequest) (peer.LinkGrant, error) {
	q := peer.LinkRequest{From: l.Region, To: to, Bytes: a.Bytes, Debt: a.Debt}
	n, ok := l.Holder(k.group)
	if !ok || n.Instance == l.Self {
		return l.OnRequest(l.Self, q)
	}
	c, cancel := context.WithTimeout(ctx, control.PeerTimeout)
	defer cancel()
	return l.SendRequest(c, n, q)
}
