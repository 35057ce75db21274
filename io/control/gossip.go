package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"bergamotspring/core/lease"
	"bergamotspring/core/member"
	"bergamotspring/io/wait"
)

// The parameters of Gossip. A digest goes to three random peers each second, so a change
// reaches 320 nodes in about six rounds.
const (
	gossipPeriod = time.Second
	gossipPeers  = 3
	// promptDelay is the delay of the digest that announces a new lease holder. Until
	// nodes know the holder, their requests to the old one fail. Without a prompt digest
	// that lasts up to 2 s, the period of Watch.
	promptDelay = 30 * time.Millisecond
)

// Gossip exchanges digests with random peers.
type Gossip struct {
	Self    lease.Instance
	Members *Members
	Watch   *Watch
	Leases  *Leases
	Send    func(ctx context.Context, to member.Node, d member.Digest) error
	// OnSuspects is called with the updates of a digest that were new to this node.
	OnSuspects func([]member.SuspectUpdate)
	Seed       uint64

	once    sync.Once
	done    chan struct{}
	prompt  chan struct{}
	start   time.Time
	mu      sync.Mutex
	rand    *rand.Rand
	updates member.Updates
}

func (g *Gossip) init() {
	g.once.Do(func() {
		g.done = make(chan struct{})
		g.prompt = make(chan struct{}, 1)
		g.start = time.Now()
		g.rand = rand.New(rand.NewPCG(g.Seed, 3))
	})
}

// Done is closed when Run has returned.
func (g *Gossip) Done() <-chan struct{} {
	g.init()
	return g.done
}

// Run sends digests until ctx ends.
func (g *Gossip) Run(ctx context.Context) error {
	g.init()
	defer close(g.done)
	var w sync.WaitGroup
	for g.wait(ctx) {
		d := g.Digest()
		for _, n := range g.Sample(gossipPeers) {
			w.Go(func() {
				c, cancel := context.WithTimeout(ctx, PeerTimeout)
				defer cancel()
				_ = g.Send(c, n, d) // later rounds carry the updates again
			})
		}
	}
	w.Wait()
	return nil
}

// wait returns when the next digest is due, and false if ctx has ended.
func (g *Gossip) wait(ctx context.Context) bool {
	t := time.NewTimer(gossipPeriod)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	case <-g.prompt:
		return wait.Sleep(ctx, promptDelay) // collects the changes of groups that move together
	}
}

func (g *Gossip) sendSoon() {
	select {
	case g.prompt <- struct{}{}:
	default:
	}
}

// Sample returns up to k other nodes, chosen at random.
func (g *Gossip) Sample(k int) []member.Node {
	g.init()
	l := g.others()
	g.mu.Lock()
	defer g.mu.Unlock()
	return member.Sample(g.rand, l, k)
}

func (g *Gossip) others() (l []member.Node) {
	for _, n := range g.Members.Live("") {
		if n.Instance != g.Self {
			l = append(l, n)
		}
	}
	return l
}

// Digest returns the digest that this node sends to its peers now.
func (g *Gossip) Digest() member.Digest {
	g.init()
	s := g.Watch.State()
	d := member.Digest{From: g.Self, Version: s.Version, Confirmed: s.Confirmed, Sequence: s.Sequence}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updates.Fill(time.Since(g.start), &d)
	return d
}

// OnDigest merges a peer's digest.
func (g *Gossip) OnDigest(d member.Digest) {
	g.init()
	g.mu.Lock()
	s, h := g.updates.Merge(time.Since(g.start), d)
	g.mu.Unlock()
	if n, v := g.Members.Get(d.From.Node); v > 0 && n.Instance == d.From {
		g.Watch.OnPeerVersion(n, d.Version, d.Confirmed)
	}
	if len(h) > 0 && g.Leases != nil {
		g.Leases.Merge(h)
		g.sendSoon()
	}
	if len(s) > 0 && g.OnSuspects != nil {
		g.OnSuspects(s)
	}
}

// SendSuspect gossips a change of a suspect that this node observed as lease holder.
func (g *Gossip) SendSuspect(n member.SuspectUpdate) {
	g.init()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updates.AddSuspect(time.Since(g.start), n)
}

// SendRecord gossips a record that other nodes may not know yet.
func (g *Gossip) SendRecord(r lease.Record) {
	g.init()
	g.mu.Lock()
	fresh := g.updates.AddRecord(time.Since(g.start), r)
	g.mu.Unlock()
	if fresh {
		g.sendSoon()
	}
}
