package edge

// This file defines how the nodes find requests that crash servers, and tell each other.

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"bergamotspring/core/relay"
	"bergamotspring/io/exchange"
)

// onBroken finds out whether a server that onBroken a request off has crashed: then no process
// listens there. It does not hold the request up.
func (n *Node) onBroken(fingerprint uint64, t *relay.Server) {
	n.scheduler.work.Go(func() {
		err := n.pool.Probe(context.Background(), t.Address)
		u, ok := errors.AsType[*exchange.UnsentError](err)
		if !ok || !u.Refused {
			return
		}
		n.Log.Warn("server_crashed", zap.String("server", t.ID), zap.Uint64("fingerprint", fingerprint))
		n.crashes.ObserveCrash(fingerprint, t.ID)
		n.sendCrashReport(fingerprint, t.ID)
	})
}

// onSuccess clears a request of the crashes that it was on.
func (n *Node) onSuccess(fingerprint uint64) {
	if n.crashes.ObserveSuccess(fingerprint) {
		n.sendCrashReport(fingerprint, "")
	}
}

// onCrashReport takes what another node tells of a request.
func (n *Node) onCrashReport(fingerprint uint64, server string) {
	if server == "" {
		n.crashes.ObserveSuccess(fingerprint)
		return
	}
	n.crashes.ObserveCrash(fingerprint, server)
}

// sendCrashReport tells all nodes of a crash, or without a server that a request ended well.
func (n *Node) sendCrashReport(fingerprint uint64, server string) {
	m := n.mesh.Load()
	if m == nil {
		return
	}
	for _, x := range n.roster.All() {
		if x.Peer == n.self.Peer {
			continue
		}
		if err := m.SendCrash(x.Peer, fingerprint, server); err != nil {
			n.Log.Info("crash_not_told", zap.String("peer", x.Peer), zap.Error(err)) // it may count again there
		}
	}
}
