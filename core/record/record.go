// Package record defines the event record of a test or demo session: the events that
// callers, nodes, backend servers, the platform and operators observed, in order of time.
//
// Golden files are written from it and the invariant checker reads it.
package record

import (
	"slices"
	"time"
)

// Event is one entry of a record.
type Event struct {
	At         time.Time
	Actor      string // observer: a caller, node, server, "table" or "operator"
	Kind       Kind
	Request    string // request ID
	Call       string // call ID, unique for each send to a server
	Key        string // organisation/key of a non-idempotent call
	Server     string
	Domain     string
	Version    uint64 // configuration version
	Epoch      uint64
	Outcome    string
	Group      string        // pool@failure_domain
	ResponseTo string        // request that the received response belongs to
	Limit      time.Duration // deadline of a request, relative to At
	Node       string        // node that a caller sent a request to
	Detail     string
}

// Kind is the kind of an event.
type Kind string

// The kinds of event.
const (
	RequestSent     Kind = "request_sent"     // by a caller
	ResponseRead    Kind = "response_read"    // by a caller, whole or until the connection broke
	RequestReceived Kind = "request_received" // by a node
	RequestEnded    Kind = "request_ended"    // by a node
	CallSent        Kind = "call_sent"
	CallStarted     Kind = "call_started" // at the server
	CallEnded       Kind = "call_ended"   // at the server
	PermitGranted   Kind = "permit_granted"
	PermitReleased  Kind = "permit_released"
	ConfigInstalled Kind = "config_installed"
	ConfigAccepted  Kind = "config_accepted"
	LeaseGained     Kind = "home_gained"
	LeaseLost       Kind = "home_lost"
	ClaimDecided    Kind = "claim_decided"
	ServerCold      Kind = "server_cold"
	ServerWarm      Kind = "server_warm"
	ServerLeaving   Kind = "server_leaving"
	DomainOut       Kind = "domain_out"
	DomainIn        Kind = "domain_in"
	NodeAway        Kind = "node_away" // a node was killed, paused or cut off from the table
	NodeBack        Kind = "node_back"
	FaultInjected   Kind = "fault_injected"
	CallCancelled   Kind = "call_cancelled" // at the server
	OrderTaken      Kind = "order_taken"    // by a model server
	TableWrite      Kind = "table_write"    // a write that reached the table
)

// Sort sorts a record by time and returns it. The sort is stable: simultaneous events
// keep their order.
func Sort(e []Event) []Event {
	slices.SortStableFunc(e, func(x, y Event) int { return x.At.Compare(y.At) })
	return e
}

// Values of Event.Detail that the checker interprets.
const (
	Unannounced = "unannounced" // of ServerCold: the fleet was not notified
	CutOff      = "cut_off"     // of NodeAway: the node still runs and reaches its own region
)
