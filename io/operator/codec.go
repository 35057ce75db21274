package operator

import (
	"fmt"
	"strings"
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/schema"
	wire "bergamotspring/schema/operatorwire"
)

// mapSlice applies f to each element. The result is never nil, so that JSON shows [] and
// not null.
func mapSlice[A, B any](l []A, f func(A) B) []B {
	r := make([]B, len(l))
	for i, v := range l {
		r[i] = f(v)
	}
	return r
}

func identity(s string) string { return s }

// parseDuration parses a duration of a response; an invalid one is shown as 0.
func parseDuration(s string) time.Duration {
	t, _ := time.ParseDuration(s)
	return t
}

func parseGroup(s string) fleet.GroupID {
	p, d, _ := strings.Cut(s, "@")
	return fleet.GroupID{Pool: p, Domain: d}
}

func toChange(c fleet.Change) wire.Change {
	return wire.Change{Kind: string(c.Kind), Section: c.Section, Name: c.Name, Field: c.Field, Before: c.Before, After: c.After}
}

func fromChange(c wire.Change) fleet.Change {
	return fleet.Change{Kind: fleet.ChangeKind(c.Kind), Section: c.Section, Name: c.Name, Field: c.Field, Before: c.Before, After: c.After}
}

func toError(e *Error) wire.Error {
	return wire.Error{Code: string(e.Code), Message: e.Message, CurrentVersion: e.Current, Changes: mapSlice(e.Changes, toChange), Faults: e.Problems}
}

func fromError(w wire.Error) *Error {
	return &Error{Code: Code(w.Code), Message: w.Message, Current: w.CurrentVersion, Changes: mapSlice(w.Changes, fromChange), Problems: w.Faults}
}

// ToApplied converts a to its wire form.
func ToApplied(a Applied) wire.Applied {
	return wire.Applied{Version: a.Version, Repeated: a.Repeated, Changes: mapSlice(a.Changes, toChange)}
}

func fromApplied(w wire.Applied) Applied {
	return Applied{Version: w.Version, Repeated: w.Repeated, Changes: mapSlice(w.Changes, fromChange)}
}

// ToStored converts s to its wire form.
func ToStored(s Stored) (wire.Stored, error) {
	t, err := schema.Encode(s.Declaration)
	return wire.Stored{Version: s.Version, ApplyID: s.ApplyID, Reason: s.Reason, At: s.At, Declaration: t}, err
}

func fromStored(w wire.Stored) (Stored, error) {
	d, err := schema.Decode(fmt.Sprintf("version %d", w.Version), w.Declaration)
	return Stored{Version: w.Version, ApplyID: w.ApplyID, Reason: w.Reason, At: w.At, Declaration: d}, err
}

// ToPreview converts p to its wire form.
func ToPreview(p Preview) wire.Preview {
	return wire.Preview{
		Version: p.Version, Changes: mapSlice(p.Changes, toChange),
		Capacity: mapSlice(p.Capacity, toCapacity), Notes: mapSlice(p.Notes, identity),
	}
}

func fromPreview(w wire.Preview) Preview {
	return Preview{Version: w.Version, Changes: mapSlice(w.Changes, fromChange), Capacity: mapSlice(w.Capacity, fromCapacity), Notes: w.Notes}
}

func toCapacity(c fleet.PoolCapacity) wire.PoolCapacity {
	return wire.PoolCapacity{Pool: c.Pool, Region: c.Region, Before: c.Before, After: c.After, Servers: c.Servers, Share: c.Share()}
}

func fromCapacity(w wire.PoolCapacity) fleet.PoolCapacity {
	return fleet.PoolCapacity{Pool: w.Pool, Region: w.Region, Before: w.Before, After: w.After, Servers: w.Servers}
}

func toNode(n NodeStatus) wire.NodeStatus {
	return wire.NodeStatus{
		Node: n.Node, Incarnation: n.Incarnation, VM: n.VM, FailureDomain: n.Domain, Region: n.Region,
		OperatorAddress: n.Operator, Version: n.Version, Confirmed: n.Confirmed, State: string(n.State),
	}
}

func fromNode(w wire.NodeStatus) NodeStatus {
	return NodeStatus{
		Node: w.Node, Incarnation: w.Incarnation, VM: w.VM, Domain: w.FailureDomain, Region: w.Region,
		Operator: w.OperatorAddress, Version: w.Version, Confirmed: w.Confirmed, State: NodeState(w.State),
	}
}

func toHome(h HomeStatus) wire.HomeStatus {
	return wire.HomeStatus{
		Group: h.Group.String(), Home: h.Home, Deputy: h.Deputy, Epoch: h.Epoch, Authority: h.Authority,
		Left: h.Remaining.String(), Queued: h.Queued, Wait: h.Wait.String(),
	}
}

func fromHome(w wire.HomeStatus) HomeStatus {
	return HomeStatus{
		Group: parseGroup(w.Group), Home: w.Home, Deputy: w.Deputy, Epoch: w.Epoch, Authority: w.Authority,
		Remaining: parseDuration(w.Left), Queued: w.Queued, Wait: parseDuration(w.Wait),
	}
}

func toServer(s ServerStatus) wire.ServerStatus {
	return wire.ServerStatus{
		Server: s.Server, Pool: s.Pool, FailureDomain: s.Domain, VM: s.VM,
		State: s.State, Limit: s.Limit, FullLimit: s.FullLimit, InFlight: s.InFlight,
	}
}

func fromServer(w wire.ServerStatus) ServerStatus {
	return ServerStatus{
		Server: w.Server, Pool: w.Pool, Domain: w.FailureDomain, VM: w.VM,
		State: w.State, Limit: w.Limit, FullLimit: w.FullLimit, InFlight: w.InFlight,
	}
}

func toPermit(p PermitStatus) wire.PermitStatus {
	return wire.PermitStatus{Group: p.Group.String(), Server: p.Server, ID: p.ID, Epoch: p.Epoch, Left: p.Remaining.String()}
}

func fromPermit(w wire.PermitStatus) PermitStatus {
	return PermitStatus{Group: parseGroup(w.Group), Server: w.Server, ID: w.ID, Epoch: w.Epoch, Remaining: parseDuration(w.Left)}
}

func toException(s ExceptionStatus) wire.ExceptionStatus {
	e := s.Exception
	return wire.ExceptionStatus{
		Target: string(e.Target), Name: e.Name, Out: e.Out, Limit: e.Limit, Weight: e.Weight,
		Reason: e.Reason, Since: e.Since, Review: mapSlice(s.Review, identity),
	}
}

func fromException(w wire.ExceptionStatus) ExceptionStatus {
	return ExceptionStatus{Review: w.Review, Exception: fleet.Exception{
		Target: fleet.Target(w.Target), Name: w.Name, Out: w.Out, Limit: w.Limit, Weight: w.Weight,
		Reason: w.Reason, Since: w.Since,
	}}
}

// ToStatus converts s to its wire form.
func ToStatus(s Status) wire.Status {
	return wire.Status{
		Node: toNode(s.Node), Version: s.Version, Confirmed: s.Confirmed, Table: s.Table, Alarms: mapSlice(s.Alarms, identity),
		Nodes: mapSlice(s.Nodes, toNode), Homes: mapSlice(s.Homes, toHome), Servers: mapSlice(s.Servers, toServer),
		Permits: mapSlice(s.Permits, toPermit), Exceptions: mapSlice(s.Exceptions, toException),
	}
}

func fromStatus(w wire.Status) Status {
	return Status{
		Node: fromNode(w.Node), Version: w.Version, Confirmed: w.Confirmed, Table: w.Table, Alarms: w.Alarms,
		Nodes: mapSlice(w.Nodes, fromNode), Homes: mapSlice(w.Homes, fromHome), Servers: mapSlice(w.Servers, fromServer),
		Permits: mapSlice(w.Permits, fromPermit), Exceptions: mapSlice(w.Exceptions, fromException),
	}
}

// ToTrace converts s to its wire form.
func ToTrace(s Trace) wire.Story {
	return wire.Story{
		Request: s.Request, Node: s.Node, Target: s.Target, Organisation: s.Organisation, Class: s.Class,
		Started: s.Started, Took: s.Took.String(), Outcome: s.Outcome, Steps: mapSlice(s.Events, toTraceEvent),
	}
}

func fromTrace(w wire.Story) Trace {
	return Trace{
		Request: w.Request, Node: w.Node, Target: w.Target, Organisation: w.Organisation, Class: w.Class,
		Started: w.Started, Took: parseDuration(w.Took), Outcome: w.Outcome, Events: mapSlice(w.Steps, fromTraceEvent),
	}
}

func toTraceEvent(s TraceEvent) wire.Step {
	return wire.Step{After: s.After.String(), Stage: s.Stage, Event: s.Event, Group: s.Group, Server: s.Server, Cause: s.Cause}
}

func fromTraceEvent(w wire.Step) TraceEvent {
	return TraceEvent{After: parseDuration(w.After), Stage: w.Stage, Event: w.Event, Group: w.Group, Server: w.Server, Cause: w.Cause}
}
