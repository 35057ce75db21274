package proxy

// This file defines how a request is identified if it crashes servers.

import (
	"github.com/cespare/xxhash/v2"

	"bergamotspring/core/suspect"
)

// suspect returns what of the request may crash servers.
func (q *request) suspect() suspect.Request {
	return suspect.Request{Fingerprint: q.fingerprint(), Segments: q.meta.SegmentIDs}
}

// fingerprint identifies a request by its content, so a caller's retry has the same one.
func (q *request) fingerprint() uint64 {
	h := xxhash.New()
	for _, s := range []string{q.organisation(), q.method, q.host, q.target} {
		_, _ = h.WriteString(s + "\x00") // never fails
	}
	_, _ = h.Write(q.body)
	return h.Sum64()
}
