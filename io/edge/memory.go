package edge

// This file reports how much is held for callers, servers and other nodes.

import (
	"context"
	"time"

	"go.uber.org/zap"

	"bergamotspring/core/memory"
	"bergamotspring/io/proxy"
	"bergamotspring/io/wait"
)

const (
	// memoryInterval is how often memory is checked: often enough that a server that sends to a caller that does not
	// read is noticed before its buffers matter.
	memoryInterval = 500 * time.Millisecond
	// memoryLogInterval bounds the log lines on thresholds.
	memoryLogInterval = 5 * time.Second
)

// countPeerBytes counts bytes of messages between nodes that are held, or released.
func (n *Node) countPeerBytes(b int) { memory.EndAll(n.memory.Count(memory.Peers, int64(b))) }

// watchMemory checks and reports memory periodically until the context ends.
func (n *Node) watchMemory(ctx context.Context, s *proxy.Server) {
	var last memory.Usage
	var loggedAt time.Time
	wait.Every(ctx, memoryInterval, func() {
		s.SweepMemory()
		u := n.memory.Usage()
		n.meter.reportMemory(u, last)
		logged := last.Level
		if u.Level != logged && time.Since(loggedAt) >= memoryLogInterval {
			n.logMemory(u)
			loggedAt, logged = time.Now(), u.Level
		}
		last = u
		last.Level = logged
	})
}

// logMemory logs that a threshold was crossed.
func (n *Node) logMemory(u memory.Usage) {
	fields := []zap.Field{
		zap.Stringer("memory", u.Level), zap.Int64("held", u.Total), zap.Int64("bound", u.Bound),
		zap.Int64("bodies", u.Held[memory.Bodies]), zap.Int64("responses", u.Held[memory.Responses]),
		zap.Int64("streams", u.Held[memory.Streams]), zap.Int64("peers", u.Held[memory.Peers]),
		zap.Int64("bodies_refused", u.Refused), zap.Int64("readers_ended", u.Ended),
	}
	if u.Level == memory.Full {
		n.Log.Warn("memory_level", fields...)
		return
	}
	n.Log.Info("memory_level", fields...)
}
