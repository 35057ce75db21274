package edge

// This file defines how nodes pass on what crashes servers, again and again, so that nodes learn of it that
// started after the crashes or were out of reach. After the loss of all nodes at once, crashrecord.go tells them.

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"bergamotspring/core/roster"
	"bergamotspring/core/suspect"
	"bergamotspring/io/peer"
	"bergamotspring/io/wait"
)

const (
	// culpritInterval is how often a node that knows culprits exchanges them.
	culpritInterval = time.Second
	// culpritPeers is the number of nodes with which it does.
	culpritPeers = 2
	// culpritTimeout bounds one exchange.
	culpritTimeout = 800 * time.Millisecond
	// trialTimeout bounds the question for a trial. It is longer than the silence of a link, as the order of
	// coordinators depends on who is silent.
	trialTimeout = 2 * time.Second
	// maxTrialWait is how long a request waits for the answer, which takes no longer than a message and back.
	maxTrialWait = 500 * time.Millisecond
	// startAskInterval is how often a node that has started asks others until one answers.
	startAskInterval = 100 * time.Millisecond
	// startAskTime is how long it asks in all. The first nodes to answer may have just started, too.
	startAskTime = 5 * time.Second
)

// runCulprits exchanges culprits with other nodes until the context ends.
func (n *Node) runCulprits(ctx context.Context) {
	start := time.Now()
	for time.Since(start) < startAskTime && !n.exchangeCulprits(ctx) && ctx.Err() == nil {
		wait.Sleep(ctx, startAskInterval)
	}
	crashes, culprits := n.crashes.Known()
	n.Log.Info("crashes_known", zap.Int("crashes", crashes), zap.Int("culprits", culprits))
	wait.Every(ctx, culpritInterval, func() {
		if time.Since(start) < startAskTime || len(n.crashes.Notices()) > 0 {
			n.exchangeCulprits(ctx)
		}
	})
}

// exchangeCulprits exchanges culprits with random other nodes, and reports whether one answered.
func (n *Node) exchangeCulprits(ctx context.Context) bool {
	m := n.mesh.Load()
	if m == nil {
		return false
	}
	c, cancel := context.WithTimeout(ctx, culpritTimeout)
	defer cancel()
	l := n.crashes.Notices()
	var answered atomic.Bool
	var g sync.WaitGroup
	for _, x := range n.randomPeers(culpritPeers) {
		g.Go(func() {
			if n.exchangeWith(c, m, x, l) {
				answered.Store(true)
			}
		})
	}
	g.Wait()
	return answered.Load()
}

// exchangeWith exchanges culprits with a node, and reports whether it answered. A lost message is not sent
// again: the next round follows soon.
func (n *Node) exchangeWith(ctx context.Context, m *peer.Mesh, x roster.Node, l []suspect.Notice) bool {
	known, cleared, err := m.ExchangeCulprits(ctx, x.Peer, l)
	if err != nil {
		n.Log.Info("culprits_not_told", zap.String("peer", x.Peer), zap.Error(err))
		return false
	}
	for _, r := range cleared {
		n.crashes.ObserveSuccess(r)
	}
	n.crashes.Adopt(x.Name, known) // x hears what it lacks of clearances in its own rounds
	return true
}

// onCulprits handles the culprits that another node knows.
func (n *Node) onCulprits(from string, l []suspect.Notice) (known []suspect.Notice, cleared []suspect.Request) {
	cleared = n.crashes.Adopt(from, l)
	return n.crashes.Notices(), cleared
}

// randomPeers returns up to k other nodes.
func (n *Node) randomPeers(k int) []roster.Node {
	var l []roster.Node
	all := n.roster.All()
	for _, i := range rand.Perm(len(all)) {
		if len(l) < k && all[i].Peer != n.self.Peer {
			l = append(l, all[i])
		}
	}
	return l
}

// takeTrial reports whether a request may run that is refused for a culprit. The node that has run longest
// grants trials to all. The request waits for it no longer than maxTrialWait, and until the context ends.
func (n *Node) takeTrial(ctx context.Context, r suspect.Request) bool {
	m := n.mesh.Load()
	arbiter, ok := n.roster.Oldest()
	if m == nil || !ok {
		return false
	}
	if arbiter.Peer == n.self.Peer {
		return n.crashes.GrantTrial(r) == 0
	}
	if !n.crashes.AskTrial(r) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, maxTrialWait)
	defer cancel()
	granted := make(chan bool, 1)
	n.scheduler.work.Go(func() { granted <- n.askTrial(m, arbiter.Peer, r) })
	select {
	case ok := <-granted:
		return ok
	case <-ctx.Done():
		return false
	}
}

// askTrial asks the arbiter for a trial, and reports whether it was granted.
func (n *Node) askTrial(m *peer.Mesh, arbiter string, r suspect.Request) bool {
	ctx, cancel := context.WithTimeout(context.Background(), trialTimeout)
	defer cancel()
	wait, err := m.AskTrial(ctx, arbiter, r)
	if err != nil {
		n.roster.MarkSilent(arbiter)
		n.Log.Info("trial_not_asked", zap.String("peer", arbiter), zap.Error(err))
		return false
	}
	n.crashes.DelayTrial(r, wait)
	return wait == 0
}
