// Package limit decides which call may go to which backend server.
//
// The home of a group holds the group's whole state and grants every permit for
// its servers, so that a limit holds over all nodes without dividing it by a
// node count. This file defines what passes between a node and a home.
package limit

import (
	"time"

	"bergamotspring/core/fleet"
)

// Request is a node's wish to make one call to a server of a group.
type Request struct {
	Node         string // asking node and incarnation
	ID           uint64 // unique in the asking node
	Group        fleet.GroupID
	Organisation string
	Class        string
	Deadline     time.Duration // time left when the ask was sent
	Fingerprint  uint64        // of organisation, target and body
	Suspect      bool          // must run alone on its server
	Preferred    string        // preferred server, empty: any
	Avoid        []string      // servers that must not be chosen
}

// Permit allows exactly one call to one server. The zero value allows nothing.
type Permit struct {
	ID        uint64 // unique with Epoch and Group
	Epoch     uint64 // of the home that granted it
	RequestID uint64 // Request.ID
	Group     fleet.GroupID
	Server    string
	Address   string
	SendBy    time.Duration // after the ask was sent; no byte goes out later
	HoldUntil time.Duration // after the ask was sent; the home counts the slot until then
	Cold      bool          // server is in a cold start
	Exclusive bool          // no other call runs on the server until the release
}

// Refusal says why no permit was granted.
type Refusal uint8

// The refusals.
const (
	// RefusedDeadline: the call could not finish before its deadline.
	RefusedDeadline Refusal = iota + 1
	// RefusedFull: the fair queue is full for this flow.
	RefusedFull
	// RefusedNoServer: no server of the group takes new work.
	RefusedNoServer
	// RefusedNotHome: the node is not home of the group.
	RefusedNotHome
	// RefusedPoison: the fingerprint is condemned.
	RefusedPoison
	// RefusedBudget: the retry budget is used up.
	RefusedBudget
	// RefusedMoved: the group stopped taking work while the call was queued.
	RefusedMoved
)

// RefusedError is the error of an ask that was not granted. Nothing was sent.
type RefusedError struct {
	Group  fleet.GroupID
	Reason Refusal
	Wait   time.Duration // expected wait when the ask was refused
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

// Result is what became of a permitted call.
type Result uint8

// The results.
const (
	Unsent    Result = iota // no byte went out
	Good                    // whole answer at warm speed
	Cold                    // whole answer, but the server said or showed that it is cold
	Failed                  // error answer, or an answer that was not this call's
	Silent                  // nothing came within the stall timeout
	Crashed                 // the connection broke with the call running
	Abandoned               // cancelled by the node; says nothing about the server
	// Refused: the connection was refused, so nothing ran. It is apart from
	// Crashed because a call that never ran is no evidence against its
	// fingerprint: a suspect retried on a dead server would else be condemned.
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

// Release ends a permit and reports what the node saw.
type Release struct {
	Permit  uint64
	Epoch   uint64
	Group   fleet.GroupID
	Server  string
	Result  Result
	Service time.Duration // from first byte sent to whole answer
}
