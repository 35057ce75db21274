// Package operator is the HTTP API with which operators read and change what the
// fleet does, and its client.
//
// Server answers on the operators' listener; its function fields are what a node
// can do. All calls but the health checks need a bearer token. The client's
// commands are in package operator/command.
package operator

import (
	"errors"
	"time"

	"bergamotspring/core/fleet"
)

// ApplyRequest asks for a declaration to be put in force. It takes effect only if
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

// Preview is what a declaration would change against the version in force.
type Preview struct {
	Version  uint64 // in force
	Changes  []fleet.Change
	Capacity []fleet.PoolCapacity
	Notes    []string // exceptions of the new declaration to review
}

// NodeState is what the answering node knows of another.
type NodeState string

// The states of nodes. All but NodeUnreachable and NodeGone count as reachable.
const (
	NodeReady       NodeState = "ready"
	NodeStarting    NodeState = "starting"
	NodeLeaving     NodeState = "leaving"
	NodeUnreachable NodeState = "unreachable"
	NodeGone        NodeState = "gone"
)

// NodeStatus is one node as the answering node knows it.
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

// HomeStatus is the home of one group.
type HomeStatus struct {
	Group     fleet.GroupID
	Home      string // node; empty: none
	Deputy    string
	Epoch     uint64
	Authority string // lease, promise, proof or none
	Remaining time.Duration
	Queued    int
	Wait      time.Duration // expected for a new call
}

// ServerStatus is one backend server as its home knows it.
type ServerStatus struct {
	Server    string
	Pool      string
	Domain    string
	VM        string
	State     string // warm, cold, ejected, leaving, out, held or unknown
	Limit     int    // calls in flight that it takes now
	FullLimit int    // calls in flight that it takes when warm
	InFlight  int
}

// PermitStatus is a permit that the answering node holds.
type PermitStatus struct {
	Group     fleet.GroupID
	Server    string
	ID        uint64
	Epoch     uint64
	Remaining time.Duration // until the home frees the slot by itself
}

// ExceptionStatus is an exception in force. Review says why an operator should
// look at it.
type ExceptionStatus struct {
	Exception fleet.Exception
	Review    []string
}

// Status is what one node knows of the system. Nodes includes the node itself.
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

// TraceEvent is one step in the route of a request.
type TraceEvent struct {
	After  time.Duration // since the request was received
	Stage  string        // stage or operation; empty: the whole request
	Event  string
	Group  string
	Server string
	Cause  string
}

// Trace says why a request went where it went.
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
				l[i].Review = append(l[i].Review, n.Why)
			}
		}
	}
	return l
}

// noDeclaration is version 0 with nothing declared, which the first apply replaces.
func noDeclaration() Stored { return Stored{Declaration: &fleet.Declaration{}} }

// orNone gives noDeclaration where a fleet has no declaration yet.
func orNone(s Stored, err error) (Stored, error) {
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
		p.Notes = append(p.Notes, string(n.Exception.Target)+" "+n.Exception.Name+": "+n.Why)
	}
	return p
}
