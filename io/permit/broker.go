// Package permit holds how a node gets permits for calls, and how the homes in this process
// grant them.
//
// This file defines how a node gets permits: from the home of a group in this process
// or, over peer links, in another one.
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
	// permitMove is how long an ask waits for a new home to become known before its
	// caller has to choose another group.
	permitMove = 300 * time.Millisecond
	permitPoll = 20 * time.Millisecond
	// permitGrace is how long after its deadline an ask may be answered: as long as
	// the home counts the slot.
	permitGrace = 250 * time.Millisecond
)

// LocalLimiter is a group whose home is in this process. The functions return decisions
// on any waiting asks, not only on their own.
type LocalLimiter struct {
	Submit  func(limit.Request) []limit.Decision
	Release func(limit.Release) []limit.Decision
	// Withdraw ends the wait of an ask that nobody waits for any more.
	Withdraw func(node string, ask uint64) []limit.Decision
	Summary  func() limit.Summary
}

// Links is how Broker reaches homes in other processes. RequestPermit, Releases and
// Withdraw of *peer.Mesh do this.
type Links struct {
	Request  func(to member.Node, a limit.Request, expire time.Duration, done func(limit.Decision, limit.Summary)) error
	Releases func(to member.Node, l []limit.Release, done func(error)) error
	Withdraw func(to member.Node, g fleet.GroupID, ask uint64) error
}

// Broker gets permits for this node's calls and answers the asks of other nodes at
// the homes in this process. Self, Holder, Local and Links must be set before first
// use. It is safe for concurrent use.
type Broker struct {
	Self lease.Instance
	// Holder returns the node that is home of a group, as far as this node knows.
	Holder func(fleet.GroupID) (member.Node, bool)
	// Local returns the group's home if it is in this process.
	Local func(fleet.GroupID) (LocalLimiter, bool)
	Links Links

	mu       sync.Mutex
	requests uint64 // last Request.ID
	local    map[uint64]func(limit.Decision) bool
	remote   map[remoteRequest]remoteAnswer
	held     map[heldKey]heldPermit
	adopted  map[fleet.GroupID]uint64 // held reports given, by group
	seen     map[fleet.GroupID]map[string]sighting
	heard    map[fleet.GroupID]Announcement
	outgoing map[string]*releaseBatch // by peer address, "": home not known
	flushing bool                     // a flush is due
}

// Announcement is what a home told about its group, and when.
type Announcement struct {
	Summary limit.Summary
	At      time.Time
}

type remoteRequest struct {
	node string
	id   uint64
}

type remoteAnswer struct {
	send    func(limit.Decision, limit.Summary) error
	expires time.Time
}

// attempt is one ask sent to one home.
type attempt struct {
	request limit.Request
	to      member.Node
	offset  time.Duration // from the start of Acquire to the ask
	sent    time.Time
	known   uint64 // held reports given before the ask

	mu   sync.Mutex
	left bool // the caller gave up
	end  chan limit.Decision
}

// Acquire asks the home of a's group for a permit. Node and ID of the ask are set
// here. The times of the permit count from the call of Acquire. A refusal is a
// *limit.RefusedError; if the caller's context was cancelled, the error is its cause.
func (p *Broker) Acquire(ctx context.Context, a limit.Request) (limit.Permit, error) {
	start := time.Now()
	total := a.Deadline
	last := &limit.RefusedError{Group: a.Group, Reason: limit.RefusedNotHome}
	var tried member.Node
	broken := false // a link broke before
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
		if !moved(err) {
			return limit.Permit{}, err
		}
		_, link := errors.AsType[*peer.LinkError](err)
		if errors.Is(err, errAdopted) || link && !broken {
			tried = member.Node{} // the same home may answer on a new connection
		}
		broken = broken || link
	}
}

// moved reports whether an ask failed in a way that asking a new home may cure.
func moved(err error) bool {
	if r, ok := errors.AsType[*limit.RefusedError](err); ok {
		return r.Reason == limit.RefusedNotHome
	}
	_, link := errors.AsType[*peer.LinkError](err)
	_, fault := errors.AsType[*peer.RemoteError](err)
	_, frame := errors.AsType[*peer.FrameError](err)
	return link || fault || frame || errors.Is(err, errAdopted)
}

// errAdopted reports a grant that the group's new home does not know of.
var errAdopted = errors.New("node: granted by an earlier home")

// holder returns the holder of a group; this process knows best whether it is holder.
func (p *Broker) holder(g fleet.GroupID) (member.Node, bool) {
	if _, ok := p.Local(g); ok {
		return member.Node{Instance: p.Self}, true
	}
	return p.Holder(g)
}

// nextHolder returns the home of a group. If that was tried in vain, it waits a little
// for another one; the zero node means that there is none.
func (p *Broker) nextHolder(ctx context.Context, g fleet.GroupID, tried member.Node) (member.Node, error) {
	end := time.Now().Add(permitMove)
	for {
		if n, ok := p.holder(g); ok && n.Instance != tried.Instance {
			return n, nil
		}
		if !time.Now().Before(end) {
			return member.Node{}, nil
		}
		t := time.NewTimer(permitPoll)
		select {
		case <-ctx.Done():
			t.Stop()
			return member.Node{}, p.ended(ctx, g)
		case <-t.C:
		}
	}
}

// ended turns the end of a caller's context into an error.
func (p *Broker) ended(ctx context.Context, g fleet.GroupID) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &limit.RefusedError{Group: g, Reason: limit.RefusedDeadline}
	}
	return context.Cause(ctx)
}

// requestOnce asks one home and waits for its decision.
func (p *Broker) requestOnce(ctx context.Context, a limit.Request, to member.Node, offset time.Duration) (limit.Permit, error) {
	t := &attempt{to: to, offset: offset, sent: time.Now(), end: make(chan limit.Decision, 1)}
	a.Node = peer.NodeName(p.Self)
	t.known, a.ID = p.newRequest(a.Group)
	t.request = a
	if err := p.send(t); err != nil {
		return limit.Permit{}, err
	}
	select {
	case d := <-t.end:
		return p.take(t, d)
	case <-ctx.Done():
	}
	if !t.leave() {
		return p.take(t, <-t.end)
	}
	p.withdraw(t)
	return limit.Permit{}, p.ended(ctx, a.Group)
}

func (p *Broker) newRequest(g fleet.GroupID) (known, id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests++
	return p.adopted[g], p.requests
}

// send asks at the local home or over a link, where waiting releases go first.
func (p *Broker) send(t *attempt) error {
	if h, ok := p.Local(t.request.Group); ok {
		p.mu.Lock()
		put(&p.local, t.request.ID, t.deliver)
		p.mu.Unlock()
		p.Deliver(h.Submit(t.request))
		return nil
	}
	if t.to.Instance == p.Self {
		return &limit.RefusedError{Group: t.request.Group, Reason: limit.RefusedNotHome}
	}
	p.flushTo(t.to.Peer)
	return p.Links.Request(t.to, t.request, t.request.Deadline+permitGrace, func(d limit.Decision, s limit.Summary) {
		if _, refused := errors.AsType[*limit.RefusedError](d.Err); d.Err == nil || refused {
			p.announced(t.request.Group, s)
		}
		if !t.deliver(d) && d.Err == nil {
			p.giveBack(d.Permit)
		}
	})
}

// deliver reports false if the caller has given up.
func (t *attempt) deliver(d limit.Decision) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.left {
		t.end <- d
	}
	return !t.left
}

// leave marks that the caller gave up. It reports false if there is a decision.
func (t *attempt) leave() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.left = len(t.end) == 0
	return t.left
}

// take turns a decision into the result of the attempt.
func (p *Broker) take(t *attempt, d limit.Decision) (limit.Permit, error) {
	if d.Err != nil {
		return limit.Permit{}, d.Err
	}
	if !p.hold(t, d.Permit) {
		p.giveBack(d.Permit)
		return limit.Permit{}, errAdopted
	}
	m := d.Permit
	m.SendBy += t.offset
	m.HoldUntil += t.offset
	return m, nil
}

// giveBack releases a permit that will not be used.
func (p *Broker) giveBack(m limit.Permit) {
	p.release(limit.Release{Permit: m.ID, Epoch: m.Epoch, Group: m.Group, Server: m.Server, Result: limit.Unsent})
}

// withdraw tells the home that nobody waits for a decision any more.
func (p *Broker) withdraw(t *attempt) {
	p.mu.Lock()
	_, local := p.local[t.request.ID]
	delete(p.local, t.request.ID)
	p.mu.Unlock()
	if local {
		p.withdrawn(t.request.Group, t.request.Node, t.request.ID)
		return
	}
	if t.to.Instance != p.Self {
		_ = p.Links.Withdraw(t.to, t.request.Group, t.request.ID) // else its permit comes and is given back
	}
}

// withdrawn ends the wait of an ask at a home in this process.
func (p *Broker) withdrawn(g fleet.GroupID, node string, ask uint64) {
	if h, ok := p.Local(g); ok && h.Withdraw != nil {
		p.Deliver(h.Withdraw(node, ask))
	}
}

func (p *Broker) announced(g fleet.GroupID, s limit.Summary) {
	p.mu.Lock()
	defer p.mu.Unlock()
	put(&p.heard, g, Announcement{Summary: s, At: time.Now()})
}

// Announced returns what the home of a group last told this node, for routing.
func (p *Broker) Announced(g fleet.GroupID) (Announcement, bool) {
	if h, ok := p.Local(g); ok {
		return Announcement{Summary: h.Summary(), At: time.Now()}, true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	a, ok := p.heard[g]
	return a, ok
}

// put sets an entry of a map that may not exist yet.
func put[K comparable, V any](m *map[K]V, k K, v V) {
	if *m == nil {
		*m = map[K]V{}
	}
	(*m)[k] = v
}
