package edge

// This file defines how a node keeps the registrations of the nodes true: its own, and
// those of nodes that are gone.

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"bergamotspring/core/roster"
	"bergamotspring/core/store"
	"bergamotspring/io/peer"
	"bergamotspring/io/wait"
	"bergamotspring/platform"
)

const (
	// probeEvery is how often nodes that did not answer are asked again.
	probeEvery = time.Second
	// probeTimeout bounds such a question.
	probeTimeout = 800 * time.Millisecond
)

// members registers this node and looks after the others until the context ends.
func (n *Node) members(ctx context.Context) {
	n.register(ctx)
	wait.Every(ctx, probeEvery, func() {
		if !n.registered() {
			n.register(ctx)
		}
		silent, lost := n.roster.Silent()
		for _, x := range silent {
			n.probe(ctx, x)
		}
		n.removeLost(ctx, lost)
		n.noteCoordinator()
	})
}

// noteCoordinator logs which node this one takes for the home of its region, when that changes.
func (n *Node) noteCoordinator() {
	home := n.self
	if l := n.roster.Coordinators(n.self.Region); len(l) > 0 {
		home = l[0]
	}
	if home.Peer == n.coordinator.Peer && home.Incarnation == n.coordinator.Incarnation {
		return
	}
	n.coordinator = home
	n.Log.Info("home_changed", zap.String("home", home.Name), zap.String("peer", home.Peer), zap.Bool("self", home.Peer == n.self.Peer), zap.Uint64("order", home.Order))
}

// registered reports whether the row of this incarnation is known.
func (n *Node) registered() bool {
	_, ok := n.row()
	return ok
}

func (n *Node) row() (roster.Node, bool) {
	for _, x := range n.roster.All() {
		if x.Peer == n.self.Peer && x.Incarnation == n.self.Incarnation {
			return x, true
		}
	}
	return roster.Node{}, false
}

// register writes the row of this node, unless it is stopping.
func (n *Node) register(ctx context.Context) {
	if n.stopping.Load() {
		return
	}
	if err := platform.Register(ctx, &n.store, n.self); err != nil {
		n.Log.Warn("register_failed", zap.Error(err))
		return
	}
	n.Log.Info("registered")
	wait.Sleep(ctx, probeEvery) // the row is read back before the next look
}

// probe asks a node that did not answer for anything; a hello clears it.
func (n *Node) probe(ctx context.Context, x roster.Node) {
	m := n.mesh.Load()
	if m == nil || x.Peer == n.self.Peer {
		return
	}
	c, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if _, err := m.FetchSnapshots(c, x.Peer, []peer.TableSnapshot{}); err == nil {
		n.roster.MarkAlive(x.Peer)
		n.Log.Info("peer_regained", zap.String("peer", x.Peer))
	}
}

// removeLost removes the rows of nodes that are gone for good. Another node that does the same
// leaves a conflict, which tells that it is done.
func (n *Node) removeLost(ctx context.Context, lost []roster.Node) {
	for _, x := range lost {
		err := platform.Unregister(ctx, &n.store, x)
		if _, ok := errors.AsType[*store.ConflictError](err); ok {
			continue
		}
		if err != nil {
			n.Log.Warn("remove_failed", zap.String("peer", x.Peer), zap.Error(err))
			continue
		}
		n.Log.Info("node_gone", zap.String("peer", x.Peer))
	}
}

// unregister lets another node become home.
func (n *Node) unregister(ctx context.Context) {
	x, ok := n.row()
	if !ok {
		return
	}
	if err := platform.Unregister(ctx, &n.store, x); err != nil {
		n.Log.Warn("unregister_failed", zap.Error(err)) // the others find it silent
	}
}
