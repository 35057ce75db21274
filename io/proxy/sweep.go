package proxy

// This file defines what is checked of memory periodically.

import (
	"time"

	"bergamotspring/core/memory"
)

// measureAfter is how long a caller has not read before what its server has sent meanwhile is measured.
const measureAfter = 500 * time.Millisecond

// SweepMemory counts what was received for callers that do not read, and ends those that read too slowly if memory
// is short. It must be called periodically.
func (s *Server) SweepMemory() {
	for h, unread := range s.Memory.Waiting(measureAfter) {
		memory.EndAll(h.SetUnread(int64(unread())))
	}
	memory.EndAll(s.Memory.Sweep())
}
