package edge

// This file defines how nodes detect requests that crash servers and report them to each other.

import (
	"context"
	"errors"
	"sync"

	"go.uber.org/zap"

	"bergamotspring/core/relay"
	"bergamotspring/core/suspect"
	"bergamotspring/io/exchange"
)

// brokenRequests collects the requests that servers broke off, by server, so that one probe and
// one report do for all that a crash broke off at the same time. The zero value is ready to use.
type brokenRequests struct {
	mu       sync.Mutex
	byServer map[string][]suspect.Request
}

// add adds a request, and reports whether it is the first one of the server.
func (b *brokenRequests) add(server string, r suspect.Request) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byServer == nil {
		b.byServer = map[string][]suspect.Request{}
	}
	b.byServer[server] = append(b.byServer[server], r)
	return len(b.byServer[server]) == 1
}

// take removes and returns the requests of a server.
func (b *brokenRequests) take(server string) []suspect.Request {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.byServer[server]
	delete(b.byServer, server)
	return l
}

// onBroken checks in the background whether a server that broke off a request has crashed. A
// refused connection means that no process listens there any more.
func (n *Node) onBroken(r suspect.Request, t *relay.Server) {
	if !n.broken.add(t.ID, r) {
		return // a probe is in progress
	}
	n.scheduler.work.Go(func() {
		err := n.pool.Probe(context.Background(), t.Address)
		l := n.broken.take(t.ID)
		u, ok := errors.AsType[*exchange.UnsentError](err)
		if !ok || !u.Refused {
			return
		}
		for _, r := range l {
			k := suspect.Culprit{Segments: r.Segments}
			n.Log.Warn("server_crashed", zap.String("server", t.ID), zap.Uint64("fingerprint", r.Fingerprint), zap.Strings("segments", k.SegmentNames()))
		}
		n.crashes.ObserveCrash(t.ID, l)
		n.sendCrashReport(t.ID, l)
	})
}

// onSuccess clears what was counted against a request and its segments.
func (n *Node) onSuccess(r suspect.Request) {
	if n.crashes.ObserveSuccess(r) {
		n.sendCrashReport("", []suspect.Request{r})
	}
}

// onResponse clears what was counted against the segments of a request.
func (n *Node) onResponse(r suspect.Request) {
	if r.Fingerprint = 0; n.crashes.ObserveResponse(r) {
		n.sendCrashReport("", []suspect.Request{r})
	}
}

// onCrashReport merges the report of another node: a crash of server, or that the requests crash
// none if server is empty.
func (n *Node) onCrashReport(server string, requests []suspect.Request) {
	if server != "" {
		n.crashes.ObserveCrash(server, requests)
		return
	}
	for _, r := range requests {
		n.crashes.ObserveSuccess(r)
	}
}

// sendCrashReport reports a crash to all other nodes, or that requests crash none if server is
// empty.
func (n *Node) sendCrashReport(server string, requests []suspect.Request) {
	m := n.mesh.Load()
	if m == nil {
		return
	}
	for _, x := range n.roster.All() {
		if x.Peer == n.self.Peer {
			continue
		}
		if err := m.SendCrash(x.Peer, server, requests); err != nil {
			// Not sent again: the peer learns of culprits, and that they were cleared, as
			// nodes exchange them; see culprits.go.
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
