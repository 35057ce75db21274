package peer

// This file counts the traffic of links and its errors.

import (
	"errors"
	"sync/atomic"
)

// Stats holds the counters of a mesh since its start. Bytes are those of frames, without
// TLS and TCP.
type Stats struct {
	BytesIn, BytesOut   int64
	FramesIn, FramesOut int64
	BadFrames           int64
	Oversized           int64
	BadVersions         int64
	Unauthenticated     int64
	// Dropped counts messages dropped because the queue of an open connection or of the
	// handlers was full, and connections above the limit.
	Dropped int64
	Opened  int64 // links dialled
	Silent  int64 // links closed as no frame came in time
}

type counters struct {
	bytesIn, bytesOut, framesIn, framesOut             atomic.Int64
	badFrames, oversized, badVersions, unauthenticated atomic.Int64
	dropped, opened, silent                            atomic.Int64
}

// bad counts an error in the bytes of a peer.
func (c *counters) bad(err error) {
	if _, ok := errors.AsType[*FrameError](err); ok {
		c.badFrames.Add(1)
	}
	if _, ok := errors.AsType[*OversizedError](err); ok {
		c.oversized.Add(1)
	}
}

// Stats returns the counts so far.
func (m *Mesh) Stats() Stats {
	c := &m.stats
	return Stats{
		BytesIn: c.bytesIn.Load(), BytesOut: c.bytesOut.Load(),
		FramesIn: c.framesIn.Load(), FramesOut: c.framesOut.Load(),
		BadFrames: c.badFrames.Load(), Oversized: c.oversized.Load(),
		BadVersions: c.badVersions.Load(), Unauthenticated: c.unauthenticated.Load(),
		Dropped: c.dropped.Load(), Opened: c.opened.Load(), Silent: c.silent.Load(),
	}
}
