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

// LocalHome is a group whose home is in this process. The functions return decisions
// on any waiting asks, not only on their own.
type LocalHome struct {
	Ask     func(limit.Ask) []limit.Decision
	Release func(limit.Release) []limit.Decision
	// Withdraw ends the wait of an ask that nobody waits for any more.
	Withdraw func(node string, ask uint64) []limit.Decision
	Summary  func() limit.Summary
}

// Links is how Permits reaches homes in other processes. *peer.Mesh has these
// methods.
type Links struct {
	Ask      func(to member.Node, a limit.Ask, expire time.Duration, done func(limit.Decision, limit.Summary)) error
	Releases func(to member.Node, l []limit.Release, done func(error)) error
	Withdraw func(to member.Node, g fleet.GroupID, ask uint64) error
}

// Permits gets permits for this node's calls and answers the asks of other nodes at
// the homes in this process. Self, Home, Local and Links must be set before first
// use. It is safe for concurrent use.
type Permits struct {
	Self lease.Instance
	// Home returns the node that is home of a group, as far as this node knows.
	Home func(fleet.GroupID) (member.Node, bool)
	// Local returns the group's home if it is in this process.
	Local func(fleet.GroupID) (LocalHome, bool)
	Links Links

	mu       sync.Mutex
	asks     uint64 // last Ask.ID
	local    map[uint64]func(limit.Decision) bool
	remote   map[remoteAsk]remoteAnswer
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

type remoteAsk struct {
	node string
	id   uint64
}

type remoteAnswer struct {
	send    func(limit.Decision, limit.Summary) error
	expires time.Time
}

// attempt is one ask sent to one home.
type attempt struct {
	ask    limit.Ask
	to     member.Node
	offset time.Duration // from the start of Acquire to the ask
	sent   time.Time
	known  uint64 // held reports given before the ask

	mu   sync.Mutex
	left bool // the caller gave up
	end  chan limit.Decision
}

// Acquire asks the home of a's group for a permit. Node and ID of the ask are set
// here. The times of the permit count from the call of Acquire. A refusal is a
// *limit.RefusedError; if the caller's context was cancelled, the error is its cause.
func (p *Permits) Acquire(ctx context.Context, a limit.Ask) (limit.Permit, error) {
	start := time.Now()
	total := a.Deadline
	last := &limit.RefusedError{Group: a.Group, Reason: limit.RefusedNotHome}
	var tried member.Node
	broken := false // a link broke before
	for {
		to, err := p.nextHome(ctx, a.Group, tried)
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
		m, err := p.askOnce(ctx, a, to, offset)
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
	_, fault := errors.AsType[*peer.FaultError](err)
	_, frame := errors.AsType[*peer.FrameError](err)
	return link || fault || frame || errors.Is(err, errAdopted)
}

// errAdopted reports a grant that the group's new home does not know of.
var errAdopted = errors.New("node: granted by an earlier home")

// home returns the home of a group; this process knows best whether it is home.
func (p *Permits) home(g fleet.GroupID) (member.Node, bool) {
	if _, ok := p.Local(g); ok {
		return member.Node{Instance: p.Self}, true
	}
	return p.Home(g)
}

// nextHome returns the home of a group. If that was tried in vain, it waits a little
// for another one; the zero node means that there is none.
func (p *Permits) nextHome(ctx context.Context, g fleet.GroupID, tried member.Node) (member.Node, error) {
	end := time.Now().Add(permitMove)
	for {
		if n, ok := p.home(g); ok && n.Instance != tried.Instance {
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
func (p *Permits) ended(ctx context.Context, g fleet.GroupID) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &limit.RefusedError{Group: g, Reason: limit.RefusedDeadline}
	}
	return context.Cause(ctx)
}

// askOnce asks one home and waits for its decision.
func (p *Permits) askOnce(ctx context.Context, a limit.Ask, to member.Node, offset time.Duration) (limit.Permit, error) {
	t := &attempt{to: to, offset: offset, sent: time.Now(), end: make(chan limit.Decision, 1)}
	a.Node = peer.NodeName(p.Self)
	t.known, a.ID = p.newAsk(a.Group)
	t.ask = a
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

func (p *Permits) newAsk(g fleet.GroupID) (known, id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asks++
	return p.adopted[g], p.asks
}

// send asks at the local home or over a link, where waiting releases go first.
func (p *Permits) send(t *attempt) error {
	if h, ok := p.Local(t.ask.Group); ok {
		p.mu.Lock()
		put(&p.local, t.ask.ID, t.deliver)
		p.mu.Unlock()
		p.Deliver(h.Ask(t.ask))
		return nil
	}
	if t.to.Instance == p.Self {
		return &limit.RefusedError{Group: t.ask.Group, Reason: limit.RefusedNotHome}
	}
	p.flushTo(t.to.Peer)
	return p.Links.Ask(t.to, t.ask, t.ask.Deadline+permitGrace, func(d limit.Decision, s limit.Summary) {
		if _, refused := errors.AsType[*limit.RefusedError](d.Err); d.Err == nil || refused {
			p.announced(t.ask.Group, s)
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
func (p *Permits) take(t *attempt, d limit.Decision) (limit.Permit, error) {
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
func (p *Permits) giveBack(m limit.Permit) {
	p.release(limit.Release{Permit: m.ID, Epoch: m.Epoch, Group: m.Group, Server: m.Server, Result: limit.Unsent})
}

// withdraw tells the home that nobody waits for a decision any more.
func (p *Permits) withdraw(t *attempt) {
	p.mu.Lock()
	_, local := p.local[t.ask.ID]
	delete(p.local, t.ask.ID)
	p.mu.Unlock()
	if local {
		p.withdrawn(t.ask.Group, t.ask.Node, t.ask.ID)
		return
	}
	if t.to.Instance != p.Self {
		_ = p.Links.Withdraw(t.to, t.ask.Group, t.ask.ID) // else its permit comes and is given back
	}
}

// withdrawn ends the wait of an ask at a home in this process.
func (p *Permits) withdrawn(g fleet.GroupID, node string, ask uint64) {
	if h, ok := p.Local(g); ok && h.Withdraw != nil {
		p.Deliver(h.Withdraw(node, ask))
	}
}

func (p *Permits) announced(g fleet.GroupID, s limit.Summary) {
	p.mu.Lock()
	defer p.mu.Unlock()
	put(&p.heard, g, Announcement{Summary: s, At: time.Now()})
}

// Announced returns what the home of a group last told this node, for routing.
func (p *Permits) Announced(g fleet.GroupID) (Announcement, bool) {
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
