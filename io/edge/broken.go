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
	// silentWithin is the same, with the time that a server that answers nothing may take to start again.
	silentWithin = 10*time.Second + replacedWithin
	// maxAwaited bounds the servers whose entries are awaited.
	maxAwaited = 64
)

// awaited is a server that broke off requests, or did not answer them, and did not refuse a connection afterwards.
type awaited struct {
	process  relay.Process // that broke them off
	address  string
	silent   bool // it did not accept the connection either
	since    time.Time
	requests []suspect.Request
}

// patience returns how long the entry of the next process is awaited.
func (x *awaited) patience() time.Duration {
	if x.silent {
		return silentWithin
	}
	return replacedWithin
}

// replacedBy reports whether s is of another process in the place of the one that broke the requests off.
func (x *awaited) replacedBy(s *relay.Server) bool {
	if s.ID == x.process.ID {
		return s.StartedAt != 0 && s.StartedAt != x.process.StartedAt
	}
	return s.Address == x.address && s.StartedAt > x.process.StartedAt
}

// brokenRequests collects the requests that servers broke off, by server, so that one probe and
// one report do for all that a crash broke off at the same time. The zero value is ready to use.
type brokenRequests struct {
	mu       sync.Mutex
	byServer map[string][]suspect.Request // to be probed
	awaited  []awaited                    // oldest first
}

// crashedServer is a server that has crashed, with the requests that it broke off.
type crashedServer struct {
	id       string
	at       time.Time
	requests []suspect.Request
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
func (b *brokenRequests) keep(x awaited) {
	if x.process.StartedAt == 0 {
		return
	}
	for i := range x.requests {
		x.requests[i].Segments = slices.Clone(x.requests[i].Segments) // as cleared ones are deleted
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.awaited = append(b.awaited, x)
	if len(b.awaited) > maxAwaited {
		b.awaited = slices.Delete(b.awaited, 0, 1)
	}
}

// replaced removes and returns the servers in whose place s is.
func (b *brokenRequests) replaced(s *relay.Server, now time.Time) []crashedServer {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.remove(now, func(x *awaited) bool { return x.replacedBy(s) })
}

// crashed removes and returns the requests of a server of which a crash was found otherwise.
func (b *brokenRequests) crashed(server string, now time.Time) []suspect.Request {
	b.mu.Lock()
	defer b.mu.Unlock()
	var l []suspect.Request
	for _, x := range b.remove(now, func(x *awaited) bool { return x.process.ID == server }) {
		l = append(l, x.requests...)
	}
	return l
}

// remove removes and returns the matching servers, each once, and forgets old ones. The lock is held.
func (b *brokenRequests) remove(now time.Time, match func(*awaited) bool) []crashedServer {
	var l []crashedServer
	b.awaited = slices.DeleteFunc(b.awaited, func(x awaited) bool {
		if now.Sub(x.since) > x.patience() {
			return true
		}
		if !match(&x) {
			return false
		}
		if i := slices.IndexFunc(l, func(o crashedServer) bool { return o.id == x.process.ID }); i >= 0 {
			l[i].requests = append(l[i].requests, x.requests...)
		} else {
			l = append(l, crashedServer{x.process.ID, x.since, x.requests})
		}
		return true
	})
	return l
}

// clear takes what a response has cleared out of the remembered requests.
func (b *brokenRequests) clear(r suspect.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.awaited {
		x := &b.awaited[i]
		x.requests = slices.DeleteFunc(x.requests, func(y suspect.Request) bool { return r.Fingerprint != 0 && y.Fingerprint == r.Fingerprint })
		for j := range x.requests {
			y := &x.requests[j]
			y.Segments = slices.DeleteFunc(y.Segments, func(s uint64) bool { return slices.Contains(r.Segments, s) })
		}
	}
}
