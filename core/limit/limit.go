// Package limit decides which call may go to which backend server.
//
// The lease holder of a group keeps the group's whole state in a Limiter and grants
// every permit for its servers, so that a limit holds over all nodes without being
// divided by the number of nodes. This file defines the messages between a node and
// a limiter.
package limit

import (
	"time"

	"bergamotspring/core/fleet"
)

// Request asks for a permit for one call to a server of a group.
type Request struct {
	Node         string // requesting node and incarnation
	ID           uint64 // unique in the requesting node
	Group        fleet.GroupID
	Organisation string
	Class        string
	Deadline     time.Duration // remaining time when the request was sent
	Fingerprint  uint64        // of organisation, target and body
	Suspect      bool          // must run as the only call on its server
	Prefix       uint64        // hash of organisation and start of the prompt, 0: none
	Preferred    string        // preferred server, empty: any
	Avoid        []string      // servers that must not be chosen
}

// Permit allows exactly one call to one server. The zero value allows nothing.
type Permit struct {
	ID        uint64 // unique with Epoch and Group
	Epoch     uint64 // of the lease under which it was granted
	RequestID uint64 // Request.ID
	Group     fleet.GroupID
	Server    string
	Address   string
	SendBy    time.Duration // after the request was sent; no byte is sent later
	HoldUntil time.Duration // after the request was sent; the slot counts as used until then
	Cold      bool          // server is in a cold start
	Exclusive bool          // no other call runs on the server until the release
}

// Refusal is the reason why no permit was granted.
type Refusal uint8

// The refusals.
const (
	// RefusedDeadline: the call could not finish before its deadline.
	RefusedDeadline Refusal = iota + 1
	// RefusedFull: the call was displaced from the full fair queue, or too many calls wait
	// for particular servers.
	RefusedFull
	// RefusedNoServer: every server of the group is taken out, about to stop, or one that
	// the call must avoid.
	RefusedNoServer
	// RefusedNotHolder: the node has no authority for the group: it does not hold the lease,
	// or may not grant under it now.
	RefusedNotHolder
	// RefusedPoison: the fingerprint or the prefix is known to crash servers.
	RefusedPoison
	// RefusedBudget: the retry budget is used up.
	RefusedBudget
	// RefusedMoved: no server takes calls now because the eligible ones are ejected or down,
	// or, for a waiting call, none is eligible any more; or the waiting call was withdrawn.
	RefusedMoved
)

// RefusedError is the error of a request that was not granted. Nothing was sent.
type RefusedError struct {
	Group  fleet.GroupID
	Reason Refusal
	Wait   time.Duration // expected wait when the request was refused
}

func (e *RefusedError) Error() string {
	return "limit: no permit for " + e.Group.String() + ": " + e.Reason.String()
}

// String returns the name used in logs and on the wire.
func (r Refusal) String() string {
	n := [...]string{"none", "deadline", "full", "no_server", "not_home", "poison", "budget", "moved"}
	if int(r) >= len(n) {
		return "invalid"
	}
	return n[r]
}

// Result is the outcome of a permitted call.
type Result uint8

// The results.
const (
	NotSent   Result = iota // no byte was sent
	Good                    // complete response; the limiter decides by its service time whether the server is cold
	Cold                    // complete response, and the server reported that it is cold
	Failed                  // error response, or a response to another call
	Silent                  // no data arrived within the stall timeout
	Crashed                 // the connection was lost while the call was running
	Abandoned               // cancelled by the node; no evidence about the server
	// Refused: the connection was refused, so nothing ran. It differs from
	// Crashed because a call that never ran is no evidence against its
	// fingerprint: otherwise a suspect retried on a dead server would be marked
	// as poison.
	Refused
)

// String returns the name used in logs and records.
func (r Result) String() string {
	n := [...]string{"unsent", "good", "cold", "failed", "silent", "crashed", "abandoned", "refused"}
	if int(r) >= len(n) {
		return "invalid"
	}
	return n[r]
}

// Release ends a permit and reports the outcome of the call.
type Release struct {
	Permit  uint64
	Epoch   uint64
	Group   fleet.GroupID
	Server  string
	Result  Result
	Service time.Duration // from first byte sent to complete response
}
