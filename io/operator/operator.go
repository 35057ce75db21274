// Package operator implements the HTTP API with which operators read the status of the
// fleet and change its declaration, and a client of this API.
//
// Server serves the operators' listener; a node implements the calls in its function
// fields. All calls but the health checks need a bearer token. The commands that use the
// client are in package operator/command.
package operator

import (
	"errors"
	"time"

	"bergamotspring/core/fleet"
)

// ApplyRequest requests that a declaration be put in force. It takes effect only if
// Expected is the version in force, and at most once for each ID.
type ApplyRequest struct {
	ID          string
	Expected    uint64
	Reason      string
	Declaration *fleet.Declaration // valid
}

// Applied is an accepted declaration. Repeated says that ID was accepted before
// and that this request changed nothing.
type Applied struct {
	Version  uint64
	Repeated bool
	Changes  []fleet.Change
}

// Stored is a declaration with its version.
type Stored struct {
	Version     uint64
	ApplyID     string
	Reason      string
	At          time.Time
	Declaration *fleet.Declaration
}

// Preview holds the changes that a declaration would make to the version in force.
type Preview struct {
	Version  uint64 // in force
	Changes  []fleet.Change
	Capacity []fleet.PoolCapacity
	Notes    []string // exceptions of the new declaration to review
}

// NodeState is the state of a node as known to the responding node.
type NodeState string

// The states of nodes. All but NodeUnreachable and NodeGone count as reachable.
const (
	NodeReady       NodeState = "ready"
	NodeStarting    NodeState = "starting"
	NodeLeaving     NodeState = "leaving"
	NodeUnreachable NodeState = "unreachable"
	NodeGone        NodeState = "gone"
)

// NodeStatus is the status of one node as known to the responding node.
type NodeStatus struct {
	Node        string
	Incarnation string
	VM          string
	Domain      string
	Region      string
	Operator    string // IP:port of its operator listener
	Version     uint64 // in force there
	Confirmed   bool   // against the table within 5 s
	State       NodeState
}

// HomeStatus is the status of the lease of one group.
type HomeStatus struct {
	Group     fleet.GroupID
	Home      string // node that is the lease holder; empty: none
	Deputy    string // node that is its standby
	Epoch     uint64
	Authority string // lease, promise, proof or none
	Remaining time.Duration
	Queued    int
	Wait      time.Duration // expected for a new call
}

// ServerStatus is the status of one backend server as known to the lease holder of its
// group.
type ServerStatus struct {
	Server    string
	Pool      string
	Domain    string
	VM        string
	State     string // warm, cold, ejected, leaving, out, held or unknown
	Limit     int    // maximum of calls in flight now
	FullLimit int    // maximum of calls in flight when warm
	InFlight  int
}

// PermitStatus is a permit that the responding node holds.
type PermitStatus struct {
	Group     fleet.GroupID
	Server    string
	ID        uint64
	Epoch     uint64
	Remaining time.Duration // until the lease holder frees the slot by itself
}

// ExceptionStatus is an exception in force. Review lists the reasons why an operator
// should review it.
type ExceptionStatus struct {
	Exception fleet.Exception
	Review    []string
}

// Status is the status of the system as known to one node. Nodes includes the node
// itself.
type Status struct {
	Node       NodeStatus
	Version    uint64
	Confirmed  bool
	Table      string   // ok, slow, down or regressed
	Alarms     []string // see docs/operations.md
	Nodes      []NodeStatus
	Homes      []HomeStatus
	Servers    []ServerStatus
	Permits    []PermitStatus
	Exceptions []ExceptionStatus
}

// TraceEvent is one event of a request.
type TraceEvent struct {
	After  time.Duration // since the request was received
	Stage  string        // stage or operation; empty: the whole request
	Event  string
	Group  string
	Server string
	Cause  string
}

// Trace shows how a request was routed, and why.
type Trace struct {
	Request      string
	Node         string
	Target       string // pipeline, or service/operation
	Organisation string
	Class        string
	Started      time.Time
	Took         time.Duration
	Outcome      string // empty: still running
	Events       []TraceEvent
}

// Exceptions returns the exceptions of a valid declaration as Status lists them.
func Exceptions(d *fleet.Declaration, now time.Time) []ExceptionStatus {
	l := make([]ExceptionStatus, len(d.Exceptions))
	for i, e := range d.Exceptions {
		l[i].Exception = e
		for _, n := range fleet.Review(d, now) {
			if n.Exception == e {
				l[i].Review = append(l[i].Review, n.Reason)
			}
		}
	}
	return l
}

// noDeclaration returns version 0 with an empty declaration, which the first apply
// replaces.
func noDeclaration() Stored { return Stored{Declaration: &fleet.Declaration{}} }

// orNoDeclaration replaces a CodeNotFound error, the response of a fleet without a
// declaration, by noDeclaration.
func orNoDeclaration(s Stored, err error) (Stored, error) {
	if e, ok := errors.AsType[*Error](err); ok && e.Code == CodeNotFound {
		return noDeclaration(), nil
	}
	return s, err
}

// PreviewOf compares a valid declaration with the one in force.
func PreviewOf(current Stored, d *fleet.Declaration, now time.Time) Preview {
	p := Preview{
		Version:  current.Version,
		Changes:  fleet.Diff(current.Declaration, d),
		Capacity: fleet.Capacity(current.Declaration, d),
	}
	for _, n := range fleet.Review(d, now) {
		p.Notes = append(p.Notes, string(n.Exception.Target)+" "+n.Exception.Name+": "+n.Reason)
	}
	return p
}
