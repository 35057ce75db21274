package edge

// This file defines how nodes detect requests that crash servers and report them to each other.

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"bergamotspring/core/relay"
	"bergamotspring/core/suspect"
	"bergamotspring/io/exchange"
)

// onBroken checks in the background whether a server that broke off a request has crashed. A
// refused connection means that no process listens there any more. If one listens, or nothing answers, the entry of
// another process in its place tells later that it has; one that was only cut off goes on as the same process.
func (n *Node) onBroken(r suspect.Request, t *relay.Server) {
	p := n.cache.Process(t)
	if !n.broken.add(t.ID, r) {
		return // a probe is in progress
	}
	n.scheduler.work.Go(func() {
		start := time.Now()
		err := n.pool.Probe(context.Background(), t.Address)
		l := n.broken.take(t.ID)
		u, ok := errors.AsType[*exchange.UnsentError](err)
		refused := ok && u.Refused
		n.Log.Info("server_probed", zap.String("server", t.ID), zap.Int("requests", len(l)), zap.Bool("refused", refused), zap.Bool("silent", err != nil && !refused), zap.Error(err))
		switch {
		case refused:
			n.countCrash(t.ID, time.Now(), append(l, n.broken.crashed(t.ID, time.Now())...))
		case !n.cache.Withdrawn(p):
			n.broken.keep(awaited{process: p, address: t.Address, silent: err != nil, since: start, requests: l})
			now := n.cache.Process(&relay.Server{ID: t.ID})
			n.onServerEntry(&relay.Server{ID: t.ID, Address: t.Address, StartedAt: now.StartedAt}) // it may have come already
		}
	})
}

// countCrash counts the crash of a server that broke off requests, and reports it.
func (n *Node) countCrash(server string, at time.Time, l []suspect.Request) {
	for _, r := range l {
		k := suspect.Culprit{Segments: r.Segments}
		n.Log.Warn("server_crashed", zap.String("server", server), zap.Uint64("fingerprint", r.Fingerprint), zap.Strings("segments", k.SegmentNames()))
	}
	n.crashes.ObserveCrashAt(server, at, l)
	n.sendCrashReport(server, at, l)
}

// onServerEntry counts the crash of a server whose place another process has taken.
func (n *Node) onServerEntry(s *relay.Server) {
	for _, x := range n.broken.replaced(s, time.Now()) {
		n.countCrash(x.id, x.at, x.requests)
	}
}

// onSuccess clears what was counted against a request and its segments.
func (n *Node) onSuccess(r suspect.Request) {
	n.broken.clear(r)
	if n.crashes.ObserveSuccess(r) {
		n.sendCrashReport("", time.Time{}, []suspect.Request{r})
	}
}

// onResponse clears what was counted against the segments of a request.
func (n *Node) onResponse(r suspect.Request) {
	r.Fingerprint = 0
	n.broken.clear(r)
	if n.crashes.ObserveResponse(r) {
		n.sendCrashReport("", time.Time{}, []suspect.Request{r})
	}
}

// onCrashReport merges the report of another node: a crash of server at a time, or that the requests crash
// none if server is empty.
func (n *Node) onCrashReport(server string, at time.Time, requests []suspect.Request) {
	if server != "" {
		n.crashes.ObserveCrashAt(server, at, requests)
		if l := n.broken.crashed(server, time.Now()); len(l) > 0 {
			n.countCrash(server, at, l)
		}
		return
	}
	for _, r := range requests {
		n.crashes.ObserveSuccess(r)
	}
}

// sendCrashReport reports a crash to all other nodes, or that requests crash none if server is
// empty.
func (n *Node) sendCrashReport(server string, at time.Time, requests []suspect.Request) {
	m := n.mesh.Load()
	if m == nil {
		return
	}
	for _, x := range n.roster.All() {
		if x.Peer == n.self.Peer {
			continue
		}
		if err := m.SendCrash(x.Peer, server, at, requests); err != nil {
			// Not sent again: the peer learns of culprits, and that they were cleared, as
			// nodes exchange them; see culprits.go.
			n.Log.Info("crash_not_told", zap.String("peer", x.Peer), zap.Error(err))
		}
	}
}

// onExhausted tells all nodes that a model server crashed for want of memory. A node that is not told blames its
// requests, until they run elsewhere.
func (n *Node) onExhausted(server string) {
	n.Log.Warn("server_exhausted", zap.String("server", server))
	n.crashes.Excuse(server)
	m := n.mesh.Load()
	if m == nil {
		return
	}
	for _, x := range n.roster.All() {
		if x.Peer == n.self.Peer {
			continue
		}
		if err := m.SendExhausted(x.Peer, server); err != nil {
			n.Log.Info("crash_not_told", zap.String("peer", x.Peer), zap.Error(err))
		}
	}
}

// onCulprit logs what is now known to crash servers.
func (n *Node) onCulprit(k suspect.Culprit) {
	n.meter.countCulprit("found")
	n.Log.Warn("culprit_found", zap.Uint64("fingerprint", k.Fingerprint), zap.Strings("segments", k.SegmentNames()), zap.Int("crashes", k.Crashes), zap.String("from", k.From))
}

// onCulpritReleased logs what is no longer taken for a culprit.
func (n *Node) onCulpritReleased(k suspect.Culprit) {
	n.meter.countCulprit("released")
	n.Log.Info("culprit_released", zap.Uint64("fingerprint", k.Fingerprint), zap.Strings("segments", k.SegmentNames()))
}
