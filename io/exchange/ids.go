package exchange

// This file defines what identifies the responses on a connection.

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxIDs bounds the ids that a connection remembers; with so many it is not used again.
	maxIDs = 512
	// markRetention is how long marks are remembered at least, also when their connection is closed.
	markRetention = 10 * time.Second
)

// ids is a set of hashes of ids. An id is what tells a response from all others on its connection: the
// Echo value of its request, or the mark that Identify returns. A response with an id that was there
// before may be a copy. The zero value is empty; "" is never in it.
type ids map[uint64]bool

func (s ids) has(id string) bool { return s[xxhash.Sum64String(id)] }

func (s *ids) add(id string) {
	if id == "" {
		return
	}
	if *s == nil {
		*s = ids{}
	}
	(*s)[xxhash.Sum64String(id)] = true
}

// recentMarks holds the marks of the last responses on all connections. The zero value is empty. It is
// safe for concurrent use.
type recentMarks struct {
	mu        sync.Mutex
	now       ids
	before    ids // of the retention time before
	changedAt time.Time
}

// add adds a mark, and returns false if it is known.
func (r *recentMarks) add(mark string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.changedAt) >= markRetention {
		r.now, r.before, r.changedAt = nil, r.now, now
	}
	if r.now.has(mark) || r.before.has(mark) {
		return false
	}
	r.now.add(mark)
	return true
}
