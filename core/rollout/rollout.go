// Package rollout decides how the traffic of a service moves to another version of its servers: how
// many requests the new version may get before it is judged, whether it is good, and when the old
// servers may stop.
//
// An Agent on each node decides for each request which version it goes to, and counts the responses.
// One node, the decider, gets the counters of all nodes, hands out allowances for requests to the new
// version, judges it, and keeps its state in a row of the store. docs/design/rollout.md describes the
// protocol and its failures.
package rollout

import (
	"errors"
	"time"
)

// Order is an operator's order to move the traffic of a service to another version.
type Order struct {
	Service  string
	To       string
	Duration time.Duration // from the order to its time limit
	Era      uint64        // of the store, and the version of the row in it
	Version  uint64
}

// equal reports whether two orders ask for the same, whatever their rows.
func (o Order) equal(p Order) bool {
	return o.Service == p.Service && o.To == p.To && o.Duration == p.Duration
}

// continues reports whether an order is p again. It is if the store lost p and the operator wrote it
// again, in a later era, or if it repeats p while that is in progress.
func (o Order) continues(p Order, s State) bool {
	if !o.equal(p) {
		return false
	}
	return o.Version == p.Version && o.Era == p.Era || o.Era != p.Era || !s.Final()
}

// before reports whether the row of an order is older than that of another one.
func (o Order) before(p Order) bool {
	return o.Era < p.Era || o.Era == p.Era && o.Version < p.Version
}

// stopAfterBad is the number of bad responses from which Limits.StopWithin counts.
const stopAfterBad = 50

// Limits are the bounds of the deployment.
type Limits struct {
	Share      float64       // of the requests of a service that may go to a version not yet judged
	Slack      float64       // how many more may
	StopWithin time.Duration // time from the 50th bad response to the last request sent to the version
}

// State says how far a rollout has progressed. States are in the order in which they are reached.
type State uint8

// The states of a rollout.
const (
	Testing    State = iota // a limited share of the requests goes to the new version
	Moving                  // all new requests go there as its capacity allows
	Completed               // the old servers may stop
	RolledBack              // nothing goes to the new version
)

var stateNames = [...]string{"testing", "moving", "completed", "rolled_back"}

func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// Final reports whether the rollout has ended.
func (s State) Final() bool { return s == Completed || s == RolledBack }

// Record is the row of a rollout in the store. Deciders write it with compare-and-set.
type Record struct {
	Order    Order
	State    State
	Reason   string        // of a final state
	Step     int           // of Moving
	Opened   time.Duration // by the store's clock, when the first node learned of the order
	Ceiling  int64         // requests that deciders may have allowed to the new version so far
	Requests int64         // of the service since Opened, as counted at the last write
	Writer   string        // decider that wrote it: its node and incarnation
	Serial   uint64        // rises by one with each write
}

// Server is a registered server, as the decider sees it.
type Server struct {
	ID       string
	Version  string
	Domain   string
	Capacity float64 // in any unit that is the same for all servers of the service; 0 counts as 1
	Cold     bool    // in its cold start
}

// Version is a registered version of a service, as an Agent sees it.
type Version struct {
	Name string
	Born int64 // earliest start of its servers in Unix milliseconds, 0 if unknown
}

// Change is a row to write, and with State the status of the rollout in the same transaction.
type Change struct {
	Service string
	Record  Record
	Logs    []string // lines for the log, once
}

// Errors of a write that OnWritten distinguishes. After any other error the row is read.
var (
	// ErrConflict says that the row has another version than the one that was read.
	ErrConflict = errors.New("rollout row was changed by another decider")
	// ErrNotWritten says that the store certainly did not write the row.
	ErrNotWritten = errors.New("rollout row was not written")
)

// ReportInterval returns how often each node reports to the decider, so that the decider's load
// does not depend on the number of nodes above 125.
func ReportInterval(nodes int) time.Duration {
	return max(250*time.Millisecond, time.Duration(nodes)*2*time.Millisecond)
}
