// Package member keeps what a node knows of the other nodes and of the configuration
// in force.
//
// This file defines the rows and messages that carry membership.
package member

import (
	"bergamotspring/core/lease"
)

// Node is the content of row node/<id>.
type Node struct {
	Instance lease.Instance
	VM       string
	Domain   string
	Region   string
	Peer     string // IP:port of the peer listener
	Operator string // IP:port of the operator listener
	Leaving  bool
}

// Digest is the gossip that a node sends to a few random peers each second.
type Digest struct {
	From      lease.Instance
	Version   uint64 // configuration in force
	Confirmed bool   // read from the table within the last 5 s
	Sequence  uint64 // newest table sequence read
	Suspects  []SuspectUpdate
	Records   []lease.Record // records that changed without the table
}

// SuspectUpdate is a gossiped change of the state of one fingerprint, or of one prompt
// prefix: the hash of organisation and start of the prompt.
type SuspectUpdate struct {
	Fingerprint uint64 // or the prefix
	State       SuspectState
	Stamp       int64 // Unix milliseconds of the change, at the lease holder that observed it
}

// SuspectState is how far the evidence against a request goes.
type SuspectState uint8

// The states.
const (
	Cleared   SuspectState = iota // completed while it was the only request on a server
	Suspected                     // was in flight on a server that crashed
	Poison                        // crashed a server on which it was the only request
	// Updates on a prefix carry these: the states above, plus PrefixCleared.
	PrefixCleared
	PrefixSuspected
	PrefixPoison
)
