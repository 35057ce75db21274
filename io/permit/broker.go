// Package permit acquires permits for a node's calls and runs the limiters of the groups
// whose lease holder is this node.
//
// This file acquires permits: from the lease holder of a group in this process or, over
// peer links, in another one.
package permit

import (
	"context"
	"errors"
	"sync"
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/core/lease"
	"bergamotspring/core/limit"
	"bergamotspring/core/member"
	"bergamotspring/io/peer"
)

const (
	// holderWait is how long a request waits for a new lease holder to become known
	// before its caller has to choose another group.
	holderWait         = 300 * time.Millisecond
	holderPollInterval = 20 * time.Millisecond
	// decisionGrace is how long after its deadline a request may get its decision: as
	// long as the lease holder counts the slot, see limit.holdGrace.
	decisionGrace = 250 * time.Millisecond
)

// LocalLimiter is the limiter of a group whose lease holder is in this process. Submit,
// Release and Withdraw return decisions on any waiting requests, not only on the one that
// they are called for.
type LocalLimiter struct {
	Submit  func(limit.Request) []limit.Decision
	Release func(limit.Release) []limit.Decision
	// Withdraw removes a request whose caller has given up from the queue.
	Withdraw func(node string, requestID uint64) []limit.Decision
	Summary  func() limit.Summary
}

// Links is how Broker reaches lease holders in other processes. RequestPermit, Releases
// and Withdraw of *peer.Mesh implement it.
type Links struct {
	Request  func(to member.Node, a limit.Request, expire time.Duration, done func(limit.Decision, limit.Summary)) error
	Releases func(to member.Node, l []limit.Release, done func(error)) error
	Withdraw func(to member.Node, g fleet.GroupID, requestID uint64) error
}

// Broker acquires permits for this node's calls and submits the requests of other nodes
// to the limiters in this process. Self, Holder, Local and Links must be set before
// first use. It is safe for concurrent use.
type Broker struct {
	Self lease.Instance
	// Holder returns the lease holder of a group, as far as this node knows.
	Holder func(fleet.GroupID) (member.Node, bool)
	// Local returns the group's limiter if its lease holder is in this process.
	Local func(fleet.GroupID) (LocalLimiter, bool)
	Links Links

	mu            sync.Mutex
	lastID        uint64 // last Request.ID
	localWaiters  map[uint64]func(limit.Decision) bool
	remoteWaiters map[requestKey]remoteWaiter
	held          map[heldKey]heldPermit
	heldReports   map[fleet.GroupID]uint64 // held reports sent, by group
	observed      map[fleet.GroupID]map[string]observation
	announcements map[fleet.GroupID]Announcement
	outgoing      map[string]*releaseBatch // by peer address, "": lease holder not known
	flushPending  bool                     // a flush is scheduled
}

// Announcement is the summary that a lease holder sent of its group, and when it came.
type Announcement struct {
	Summary limit.Summary
	At      time.Time
}

type requestKey struct {
	node string
	id   uint64
}

type remoteWaiter struct {
	send    func(limit.Decision, limit.Summary) error
	expires time.Time
}

// attempt is one request sent to one lease holder.
type attempt struct {
	request     limit.Request
	to          member.Node
	offset      time.Duration // from the start of Acquire to the request
	sent        time.Time
	heldReports uint64 // held reports sent before the request

	mu        sync.Mutex
	abandoned bool // the caller gave up
	decision  chan limit.Decision
}

// Acquire requests a permit from the lease holder of a's group. It sets Node and ID of
// the request. The times of the permit count from the call of Acquire. A refusal is a
// *limit.RefusedError; if the caller's context was cancelled, the error is its cause.
func (p *Broker) Acquire(ctx context.Context, a limit.Request) (limit.Permit, error) {
	start := time.Now()
	total := a.Deadline
	last := &limit.RefusedError{Group: a.Group, Reason: limit.RefusedNotHolder}
	var tried member.Node
	linkFailed := false // a link failed in an earlier attempt
	for {
		to, err := p.nextHolder(ctx, a.Group, tried)
		if err != nil {
			return limit.Permit{}, err
		}
		if to == (member.Node{}) {
			return limit.Permit{}, last
		}
		tried = to
		// The monotonic clock may stand still while the machine sleeps. Then offset is
		// too small, which only makes the permit end earlier.
		offset := time.Since(start)
		if total > 0 && offset >= total {
			return limit.Permit{}, &limit.RefusedError{Group: a.Group, Reason: limit.RefusedDeadline}
		}
		a.Deadline = total - offset
		m, err := p.requestOnce(ctx, a, to, offset)
		if err == nil {
			return m, nil
		}
		if !isRetryable(err) {
			return limit.Permit{}, err
		}
		_, link := errors.AsType[*peer.LinkError](err)
		if errors.Is(err, errAdopted) || link && !linkFailed {
			tried = member.Node{} // the same lease holder may respond on a new connection
		}
		linkFailed = linkFailed || link
	}
}

// isRetryable reports whether a request that failed may succeed at another lease holder.
func isRetryable(err error) bool {
	if r, ok := errors.AsType[*limit.RefusedError](err); ok {
		return r.Reason == limit.RefusedNotHolder
	}
	_, link := errors.AsType[*peer.LinkError](err)
	_, remote := errors.AsType[*peer.RemoteError](err)
	_, frameErr := errors.AsType[*peer.FrameError](err)
	return link || remote || frameErr || errors.Is(err, errAdopted)
}

// errAdopted reports a grant that the group's new lease holder does not know of.
var errAdopted = errors.New("permit: granted by an earlier lease holder")

// currentHolder returns the lease holder of a group. A local limiter takes precedence
// over Holder: this process knows best whether it holds the lease.
func (p *Broker) currentHolder(g fleet.GroupID) (member.Node, bool) {
	if _, ok := p.Local(g); ok {
		return member.Node{Instance: p.Self}, true
	}
	return p.Holder(g)
}

// nextHolder returns the lease holder of a group. If that is the one tried before, it
// waits up to holderWait for another one; the zero node means that there is none.
func (p *Broker) nextHolder(ctx context.Context, g fleet.GroupID, tried member.Node) (member.Node, error) {
	end := time.Now().Add(holderWait)
	for {
		if n, ok := p.currentHolder(g); ok && n.Instance != tried.Instance {
			return n, nil
		}
		if !time.Now().Before(end) {
			return member.Node{}, nil
		}
		t := time.NewTimer(holderPollInterval)
		select {
		case <-ctx.Done():
			t.Stop()
			return member.Node{}, p.contextError(ctx, g)
		case <-t.C:
		}
	}
}

// contextError turns the end of a caller's context into an error.
func (p *Broker) contextError(ctx context.Context, g fleet.GroupID) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &limit.RefusedError{Group: g, Reason: limit.RefusedDeadline}
	}
	return context.Cause(ctx)
}

// requestOnce sends a request to one lease holder and waits for its decision.
func (p *Broker) requestOnce(ctx context.Context, a limit.Request, to member.Node, offset time.Duration) (limit.Permit, error) {
	t := &attempt{to: to, offset: offset, sent: time.Now(), decision: make(chan limit.Decision, 1)}
	a.Node = peer.NodeName(p.Self)
	t.heldReports, a.ID = p.newRequest(a.Group)
	t.request = a
	if err := p.send(t); err != nil {
		return limit.Permit{}, err
	}
	select {
	case d := <-t.decision:
		return p.accept(t, d)
	case <-ctx.Done():
	}
	if !t.abandon() {
		return p.accept(t, <-t.decision)
	}
	p.withdraw(t)
	return limit.Permit{}, p.contextError(ctx, a.Group)
}

func (p *Broker) newRequest(g fleet.GroupID) (heldReports, id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastID++
	return p.heldReports[g], p.lastID
}

// send submits the request to the local limiter or sends it over a link, after the
// releases queued for the same node.
func (p *Broker) send(t *attempt) error {
	if h, ok := p.Local(t.request.Group); ok {
		p.mu.Lock()
		put(&p.localWaiters, t.request.ID, t.deliver)
		p.mu.Unlock()
		p.Deliver(h.Submit(t.request))
		return nil
	}
	if t.to.Instance == p.Self {
		return &limit.RefusedError{Group: t.request.Group, Reason: limit.RefusedNotHolder}
	}
	p.flushTo(t.to.Peer)
	return p.Links.Request(t.to, t.request, t.request.Deadline+decisionGrace, func(d limit.Decision, s limit.Summary) {
		if _, refused := errors.AsType[*limit.RefusedError](d.Err); d.Err == nil || refused {
			p.recordAnnouncement(t.request.Group, s)
		}
		if !t.deliver(d) && d.Err == nil {
			p.releaseUnused(d.Permit)
		}
	})
}

// deliver passes a decision to the caller. It reports false if the caller has given up.
func (t *attempt) deliver(d limit.Decision) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.abandoned {
		t.decision <- d
	}
	return !t.abandoned
}

// abandon marks that the caller gave up. It reports false if a decision has come.
func (t *attempt) abandon() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.abandoned = len(t.decision) == 0
	return t.abandoned
}

// accept turns a decision into the result of the attempt.
func (p *Broker) accept(t *attempt, d limit.Decision) (limit.Permit, error) {
	if d.Err != nil {
		return limit.Permit{}, d.Err
	}
	if !p.addHeld(t, d.Permit) {
		p.releaseUnused(d.Permit)
		return limit.Permit{}, errAdopted
	}
	m := d.Permit
	m.SendBy += t.offset
	m.HoldUntil += t.offset
	return m, nil
}

// releaseUnused releases a permit that will not be used.
func (p *Broker) releaseUnused(m limit.Permit) {
	p.sendRelease(limit.Release{Permit: m.ID, Epoch: m.Epoch, Group: m.Group, Server: m.Server, Result: limit.NotSent})
}

// withdraw notifies the lease holder that nobody waits for a decision any more.
func (p *Broker) withdraw(t *attempt) {
	p.mu.Lock()
	_, local := p.localWaiters[t.request.ID]
	delete(p.localWaiters, t.request.ID)
	p.mu.Unlock()
	if local {
		p.withdrawLocal(t.request.Group, t.request.Node, t.request.ID)
		return
	}
	if t.to.Instance != p.Self {
		_ = p.Links.Withdraw(t.to, t.request.Group, t.request.ID) // if lost, its permit comes and is released unused
	}
}

// withdrawLocal removes a request from the queue of a limiter in this process.
func (p *Broker) withdrawLocal(g fleet.GroupID, node string, id uint64) {
	if h, ok := p.Local(g); ok && h.Withdraw != nil {
		p.Deliver(h.Withdraw(node, id))
	}
}

func (p *Broker) recordAnnouncement(g fleet.GroupID, s limit.Summary) {
	p.mu.Lock()
	defer p.mu.Unlock()
	put(&p.announcements, g, Announcement{Summary: s, At: time.Now()})
}

// Announced returns the newest summary of a group from its lease holder, for routing.
func (p *Broker) Announced(g fleet.GroupID) (Announcement, bool) {
	if h, ok := p.Local(g); ok {
		return Announcement{Summary: h.Summary(), At: time.Now()}, true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	a, ok := p.announcements[g]
	return a, ok
}

// put sets an entry of a map, which it makes if it is nil.
func put[K comparable, V any](m *map[K]V, k K, v V) {
	if *m == nil {
		*m = map[K]V{}
	}
	(*m)[k] = v
}
