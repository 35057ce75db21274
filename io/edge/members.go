package edge

// This file defines how a node maintains the table of nodes: it registers itself and removes
// nodes that are gone.

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotspring/core/roster"
	"bergamotspring/core/store"
	"bergamotspring/io/peer"
	"bergamotspring/io/wait"
	"bergamotspring/platform"
)

const (
	// probeInterval is how often silent nodes are probed.
	probeInterval = time.Second
	// probeTimeout bounds one probe.
	probeTimeout = 800 * time.Millisecond
	// maxProbes bounds the probes at the same time.
	maxProbes = 8
	// registrationPatience is how long a node waits for its registration before it reads the list
	// of nodes. The list of before a restart of all nodes has their former order.
	registrationPatience = 150 * time.Millisecond
	// removeStep is the delay of each node in the order of coordinators before it removes the
	// row of a lost node, so that a few nodes do.
	removeStep = 500 * time.Millisecond
)

// maintainRegistrations registers this node, probes silent nodes, removes lost ones and reports
// the age of the tables until the context ends.
func (n *Node) maintainRegistrations(ctx context.Context) {
	n.register(ctx)
	go n.registerAgain(ctx)
	wait.Every(ctx, probeInterval, func() {
		if !n.registered() && !n.registering.Load() {
			n.register(ctx)
		}
		silent, _ := n.roster.Silent(0)
		n.probeAll(ctx, silent)
		_, lost := n.roster.Silent(n.removeDelay())
		n.removeLost(ctx, lost)
		n.logCoordinator()
		for _, v := range n.tableCache.versions() {
			n.meter.reportTable(v, time.Now())
		}
	})
}

// removeDelay returns how much longer than others this node waits before it removes the row of a
// lost node.
func (n *Node) removeDelay() time.Duration {
	l := n.roster.Coordinators(n.self.Region)
	i := slices.IndexFunc(l, func(x roster.Node) bool { return x.Peer == n.self.Peer })
	if i < 0 {
		i = len(l)
	}
	return time.Duration(i) * removeStep
}

// logCoordinator logs a change of the node that this one takes for its region's coordinator.
func (n *Node) logCoordinator() {
	coordinator := n.self
	if l := n.roster.Coordinators(n.self.Region); len(l) > 0 {
		coordinator = l[0]
	}
	if coordinator.Peer == n.coordinator.Peer && coordinator.Incarnation == n.coordinator.Incarnation {
		return
	}
	n.coordinator = coordinator
	n.Log.Info("home_changed", zap.String("home", coordinator.Name), zap.String("peer", coordinator.Peer), zap.Bool("self", coordinator.Peer == n.self.Peer), zap.Uint64("order", coordinator.Order))
}

// registered reports whether the row of this incarnation has been read back.
func (n *Node) registered() bool {
	_, ok := n.ownRow()
	return ok
}

func (n *Node) ownRow() (roster.Node, bool) {
	for _, x := range n.roster.All() {
		if x.Peer == n.self.Peer && x.Incarnation == n.self.Incarnation && n.roster.IsListed(x.Peer) {
			return x, true
		}
	}
	return roster.Node{}, false
}

// register writes the row of this node and reads those of all nodes, unless it is stopping. While many
// nodes start, the store needs seconds for their rows: the list is then read without waiting for this
// node's own, since the other nodes have the tables already.
func (n *Node) register(ctx context.Context) {
	if n.stopping.Load() {
		return
	}
	written := make(chan struct{})
	go func() {
		defer close(written)
		n.writeRow(ctx)
	}()
	select {
	case <-written:
	case <-time.After(registrationPatience):
	}
	n.readNodes(ctx)
	<-written
	if len(n.roster.Coordinators(n.self.Region)) == 0 {
		n.readNodes(ctx) // no other node of the region passes it on
	}
}

// writeRow writes the row of this node, and reports whether it succeeded.
func (n *Node) writeRow(ctx context.Context) bool {
	if err := platform.Register(ctx, &n.store, n.self); err != nil {
		n.Log.Warn("register_failed", zap.Error(err))
		return false
	}
	n.Log.Info("registered")
	return true
}

// readNodes reads the list of nodes from the store.
func (n *Node) readNodes(ctx context.Context) {
	if err := n.tableCache.nodes.read(ctx); err != nil {
		n.Log.Warn("nodes_not_read", zap.Error(err)) // the follower queries others, or reads it
	}
}

// probeAll probes silent nodes, several at the same time, as one that stays silent takes probeTimeout.
func (n *Node) probeAll(ctx context.Context, l []roster.Node) {
	c := make(chan roster.Node)
	var w sync.WaitGroup
	for range min(maxProbes, len(l)) {
		w.Go(func() {
			for x := range c {
				n.probe(ctx, x)
			}
		})
	}
	for _, x := range l {
		c <- x
	}
	close(c)
	w.Wait()
}

// probe sends a request without content to a silent node. A response, or a hello from the
// node, marks it alive.
func (n *Node) probe(ctx context.Context, x roster.Node) {
	m := n.mesh.Load()
	if m == nil || x.Peer == n.self.Peer {
		return
	}
	c, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if _, err := m.FetchTables(c, x.Peer, peer.TablesQuery{}); err == nil {
		n.roster.MarkAlive(x.Peer)
		n.Log.Info("peer_regained", zap.String("peer", x.Peer))
	}
}

// removeLost removes the rows of nodes that are gone for good. A conflict means that another
// node has removed the row already.
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

// unregister removes the row of this node, so that another one becomes coordinator.
func (n *Node) unregister(ctx context.Context) {
	x, ok := n.ownRow()
	if !ok {
		return
	}
	start := time.Now()
	if err := platform.Unregister(ctx, &n.store, x); err != nil {
		n.Log.Warn("unregister_failed", zap.Duration("took", time.Since(start)), zap.Error(err)) // the other nodes will find this one silent
		return
	}
	n.Log.Info("unregistered", zap.Duration("took", time.Since(start)))
}
