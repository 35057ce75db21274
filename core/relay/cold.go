package relay

// This file defines how many requests the nodes send to a plain server that is cold. All together they send as many a
// second as it can take.

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// coldWindow is the time in which requests to a cold server are counted.
	coldWindow = time.Second
	// unknownNodes is the number of nodes that may have joined and are not known yet.
	unknownNodes = 3
)

// ColdShare returns how many requests a second a node may send to a cold server that can take rate requests a second from all
// nodes together. If there are more nodes than requests, some nodes may send one, others for other servers.
func ColdShare(server string, rate float64, node string, nodes []string) int {
	if n := int(rate) / (len(nodes) + unknownNodes); n > 0 {
		return n
	}
	order := func(n string) uint64 { return xxhash.Sum64String(server + "\x00" + n) }
	before, own := 0, order(node)
	for _, n := range nodes {
		if n != node && order(n) < own {
			before++
		}
	}
	if before < max(1, int(rate)) {
		return 1
	}
	return 0
}

// mayTakeCold reports whether a server is not cold, or may get another request of this node now. The lock is held.
func (b *Balancer) mayTakeCold(v *View, s *Server, now time.Time) bool {
	if b.ColdShare == nil || v.Config == nil || !s.Cold(now) {
		return true
	}
	c := v.Config.Services[s.Service]
	if c == nil || c.ColdRate <= 0 {
		return true
	}
	x := b.of(s.ID)
	x.coldSends = slices.DeleteFunc(x.coldSends, func(t time.Time) bool { return now.Sub(t) >= coldWindow })
	if now.Sub(x.coldShareAt) >= coldWindow {
		x.coldShare, x.coldShareAt = b.ColdShare(s.ID, c.ColdRate), now
	}
	return len(x.coldSends) < x.coldShare
}

// TakeCold counts a request that is about to be sent to a server, if that is cold. It returns false if it must not be sent.
func (b *Balancer) TakeCold(v *View, s *Server, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !s.Cold(now) {
		return true
	}
	if !b.mayTakeCold(v, s, now) {
		return false
	}
	x := b.of(s.ID)
	x.coldSends = append(x.coldSends, now)
	return true
}
