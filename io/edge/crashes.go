package edge

// This file defines how nodes detect requests that crash servers and report them to each other.

import (
	"context"
	"errors"
	"strconv"

	"go.uber.org/zap"

	"bergamotspring/core/relay"
	"bergamotspring/core/suspect"
	"bergamotspring/io/exchange"
)

// onBroken checks in the background whether a server that broke off a request has crashed. A
// refused connection means that no process listens there any more.
func (n *Node) onBroken(r suspect.Request, t *relay.Server) {
	n.scheduler.work.Go(func() {
		err := n.pool.Probe(context.Background(), t.Address)
		u, ok := errors.AsType[*exchange.UnsentError](err)
		if !ok || !u.Refused {
			return
		}
		n.Log.Warn("server_crashed", zap.String("server", t.ID), zap.Uint64("fingerprint", r.Fingerprint), zap.Strings("segments", segmentNames(r.Segments)))
		n.crashes.ObserveCrash(r.Fingerprint, t.ID)
		n.sendCrashReport(r.Fingerprint, t.ID)
	})
}

// onSuccess clears the crashes that were counted for a request.
func (n *Node) onSuccess(fingerprint uint64) {
	if n.crashes.ObserveSuccess(fingerprint) {
		n.sendCrashReport(fingerprint, "")
	}
}

// onCrashReport merges the report of another node: a crash of server, or a success if server
// is empty.
func (n *Node) onCrashReport(fingerprint uint64, server string) {
	if server == "" {
		n.crashes.ObserveSuccess(fingerprint)
		return
	}
	n.crashes.ObserveCrash(fingerprint, server)
}

// sendCrashReport reports a crash to all other nodes, or a success if server is empty.
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
			// Not sent again: without the report of a crash, the peer may let the request
			// crash one more server; without that of a success, it goes on counting the
			// earlier crashes, for crashTTL of core/suspect.
			n.Log.Info("crash_not_told", zap.String("peer", x.Peer), zap.Error(err))
		}
	}
}

// segmentNames returns the ids of prompt segments as callers write them.
func segmentNames(ids []uint64) []string {
	l := make([]string, 0, len(ids))
	for _, x := range ids {
		l = append(l, strconv.FormatUint(x, 16))
	}
	return l
}
