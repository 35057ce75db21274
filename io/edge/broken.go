package edge

// This file defines what a node remembers of requests that servers broke off, until it knows whether these
// have crashed.

import (
	"slices"
	"sync"
	"time"

	"bergamotspring/core/relay"
	"bergamotspring/core/suspect"
)

const (
	// replacedWithin is how long after its start a process has its entry at all nodes.
	replacedWithin = 5 * time.Second
	// maxListening bounds the servers whose entries are awaited.
	maxListening = 64
)

// listening is a server that broke off requests, and accepted a connection afterwards.
type listening struct {
	process  relay.Process // that broke them off
	address  string
	since    time.Time
	requests []suspect.Request
}

// replacedBy reports whether s is of another process in the place of the one that broke the requests off.
func (x *listening) replacedBy(s *relay.Server) bool {
	if s.ID == x.process.ID {
		return s.StartedAt != 0 && s.StartedAt != x.process.StartedAt
	}
	return s.Address == x.address && s.StartedAt > x.process.StartedAt
}

// brokenRequests collects the requests that servers broke off, by server, so that one probe and
// one report do for all that a crash broke off at the same time. The zero value is ready to use.
type brokenRequests struct {
	mu        sync.Mutex
	byServer  map[string][]suspect.Request // to be probed
	listening []listening                  // oldest first
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

// take removes and returns the requests of a server that was probed.
func (b *brokenRequests) take(server string) []suspect.Request {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.byServer[server]
	delete(b.byServer, server)
	return l
}

// keep remembers a server until its entry tells whether it has crashed. The start of its process must be
// known for that.
func (b *brokenRequests) keep(x listening) {
	if x.process.StartedAt == 0 {
		return
	}
	for i := range x.requests {
		x.requests[i].Segments = slices.Clone(x.requests[i].Segments) // as cleared ones are deleted
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.listening = append(b.listening, x)
	if len(b.listening) > maxListening {
		b.listening = slices.Delete(b.listening, 0, 1)
	}
}

// replaced removes and returns the requests, by server, that were broken off by a process in whose place s is.
func (b *brokenRequests) replaced(s *relay.Server, now time.Time) map[string][]suspect.Request {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.remove(now, func(x *listening) bool { return x.replacedBy(s) })
}

// crashed removes and returns the requests of a server of which a crash was found otherwise.
func (b *brokenRequests) crashed(server string, now time.Time) []suspect.Request {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.remove(now, func(x *listening) bool { return x.process.ID == server })[server]
}

// remove removes and returns the requests, by server, of the matching servers, and forgets old ones. The lock is
// held.
func (b *brokenRequests) remove(now time.Time, match func(*listening) bool) map[string][]suspect.Request {
	m := map[string][]suspect.Request{}
	b.listening = slices.DeleteFunc(b.listening, func(x listening) bool {
		if now.Sub(x.since) > replacedWithin {
			return true
		}
		if !match(&x) {
			return false
		}
		m[x.process.ID] = append(m[x.process.ID], x.requests...)
		return true
	})
	return m
}

// clear takes what a response has cleared out of the remembered requests.
func (b *brokenRequests) clear(r suspect.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.listening {
		x := &b.listening[i]
		x.requests = slices.DeleteFunc(x.requests, func(y suspect.Request) bool { return r.Fingerprint != 0 && y.Fingerprint == r.Fingerprint })
		for j := range x.requests {
			y := &x.requests[j]
			y.Segments = slices.DeleteFunc(y.Segments, func(s uint64) bool { return slices.Contains(r.Segments, s) })
		}
	}
}
