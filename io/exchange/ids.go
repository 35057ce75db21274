package exchange

// This file defines what identifies the responses on a connection.

import "github.com/cespare/xxhash/v2"

// maxIDs bounds the ids that a connection remembers; with so many it is not used again.
const maxIDs = 512

// ids is a set of hashes of what identifies responses: the Echo values of the requests on a
// connection, and the marks of its responses. A response with an id that was there before may be a copy of
// an earlier one. The zero value is empty; "" is never in it.
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
