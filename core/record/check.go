package record

// This file defines the invariant checker. Each rule reads the whole record
// independently of the others, so that a violation is reported once, under its name.

import (
	"fmt"
	"time"

	"bergamotspring/core/outcome"
)

// Rules holds the bounds that a record is checked against.
type Rules struct {
	MaxColdCalls  map[string]int // maximum calls in flight on each server in a cold start
	ColdNotice    time.Duration  // grace period after a server turned cold unannounced
	OutWithin     time.Duration  // after a failure domain was taken out or a server began to leave
	InForceWithin time.Duration  // after a configuration was accepted
	Nodes         []string       // nodes that must install each accepted version; nil: not checked
	EndSlack      time.Duration  // after the deadline, for the transfer of the response
	Crashed       bool           // a node was killed, so that callers may lose connections
}

// Violation is a violation of an invariant.
type Violation struct {
	Rule  string
	Event Event
	Cause string
}

func (v Violation) Error() string {
	return fmt.Sprintf("record: %s: %s at %s by %s: %s", v.Rule, v.Event.Kind, v.Event.At.Format("15:04:05.000"), v.Event.Actor, v.Cause)
}

// LostConnection is the outcome that a caller records if its connection broke before it
// received an outcome.
const LostConnection = "connection_lost"

// Check returns all violations of r in the record e, which must be sorted by time.
func Check(e []Event, r Rules) []Violation {
	var v []Violation
	for _, f := range []func([]Event, Rules) []Violation{
		checkAtMostOnce, checkColdStart, checkTakenOut, checkVersions, checkInForce,
		checkResponses, checkTrueRefusals, checkRequestEnds, checkOneHolder,
	} {
		v = append(v, f(e, r)...)
	}
	return v
}

// checkAtMostOnce checks that a non-idempotent call starts at most once for each key.
func checkAtMostOnce(e []Event, _ Rules) []Violation {
	var v []Violation
	seen := map[string]Event{}
	for _, x := range e {
		if x.Kind != CallStarted || x.Key == "" {
			continue
		}
		if p, ok := seen[x.Key]; ok {
			v = append(v, Violation{"at_most_once", x, "key " + x.Key + " already ran on " + p.Server})
		}
		seen[x.Key] = x
	}
	return v
}

// checkColdStart checks that a server in a cold start never exceeds its cold limit of
// calls in flight.
func checkColdStart(e []Event, r Rules) []Violation {
	var v []Violation
	busy := map[string]int{}
	cold := map[string]time.Time{}
	for _, x := range e {
		switch x.Kind {
		case ServerCold:
			cold[x.Server] = x.At
			if x.Detail == Unannounced {
				cold[x.Server] = x.At.Add(r.ColdNotice)
			}
		case ServerWarm:
			delete(cold, x.Server)
		case CallEnded:
			busy[x.Server]--
		case CallStarted:
			busy[x.Server]++
			t, ok := cold[x.Server]
			if ok && !x.At.Before(t) && busy[x.Server] > r.MaxColdCalls[x.Server] {
				v = append(v, Violation{"cold_start", x, fmt.Sprintf("%d calls in flight, cold limit %d", busy[x.Server], r.MaxColdCalls[x.Server])})
			}
		}
	}
	return v
}

// checkTakenOut checks that no call starts in a failure domain that was taken out, or
// on a leaving server, later than OutWithin.
func checkTakenOut(e []Event, r Rules) []Violation {
	var v []Violation
	out := map[string]time.Time{}
	for _, x := range e {
		switch x.Kind {
		case DomainOut:
			out["domain "+x.Domain] = x.At
		case DomainIn:
			delete(out, "domain "+x.Domain)
		case ServerLeaving:
			out["server "+x.Server] = x.At
		case CallStarted:
			for _, k := range []string{"domain " + x.Domain, "server " + x.Server} {
				if t, ok := out[k]; ok && x.At.Sub(t) > r.OutWithin {
					v = append(v, Violation{"taken_out", x, k + " was taken out " + x.At.Sub(t).String() + " before"})
				}
			}
		}
	}
	return v
}

// checkVersions checks that the configuration version of a node never decreases, also
// across restarts.
func checkVersions(e []Event, _ Rules) []Violation {
	var v []Violation
	last := map[string]uint64{}
	for _, x := range e {
		if x.Kind != ConfigInstalled {
			continue
		}
		if x.Version < last[x.Actor] {
			v = append(v, Violation{"version_falls", x, fmt.Sprintf("version %d after %d", x.Version, last[x.Actor])})
		}
		last[x.Actor] = max(last[x.Actor], x.Version)
	}
	return v
}

// checkInForce checks that each accepted version, or a later one, is installed on every
// node within InForceWithin. It skips nodes that were away in that time.
func checkInForce(e []Event, r Rules) []Violation {
	var v []Violation
	if len(e) == 0 {
		return nil
	}
	end := e[len(e)-1].At
	for _, x := range e {
		if x.Kind != ConfigAccepted || end.Sub(x.At) < r.InForceWithin {
			continue
		}
		for _, n := range r.Nodes {
			if !away(e, n, x.At, x.At.Add(r.InForceWithin), true) && !installedBy(e, n, x.Version, x.At.Add(r.InForceWithin)) {
				v = append(v, Violation{"in_force", x, fmt.Sprintf("version %d not in force on %s within %s", x.Version, n, r.InForceWithin)})
			}
		}
	}
	return v
}

// away reports whether a node was away at any time between from and to. cut says
// whether a node that was only cut off counts as away.
func away(e []Event, node string, from, to time.Time, cut bool) bool {
	gone := false
	for _, x := range e {
		if x.At.After(to) {
			break
		}
		if x.Actor != node || x.Kind != NodeAway && x.Kind != NodeBack {
			continue
		}
		gone = x.Kind == NodeAway && (cut || x.Detail != CutOff)
		if !x.At.Before(from) {
			return true
		}
	}
	return gone
}

// installedBy reports whether a node installed the version or a later one by a time. It
// searches the record from its start, since the node that accepts a version may install
// it before the operator observes the acceptance.
func installedBy(e []Event, node string, version uint64, by time.Time) bool {
	for _, x := range e {
		if x.At.After(by) {
			return false
		}
		if x.Kind == ConfigInstalled && x.Actor == node && x.Version >= version {
			return true
		}
	}
	return false
}

// checkResponses checks that a complete response belongs to the request that received
// it.
func checkResponses(e []Event, _ Rules) []Violation {
	var v []Violation
	for _, x := range e {
		if x.Kind == ResponseRead && x.Outcome == outcome.OK.String() && x.ResponseTo != x.Request {
			v = append(v, Violation{"answer", x, fmt.Sprintf("request %q got the response to %q", x.Request, x.ResponseTo)})
		}
	}
	return v
}

// checkTrueRefusals checks that a request refused as not run never started a call.
// Servers know only call IDs; nodes record the request of each call.
func checkTrueRefusals(e []Event, _ Rules) []Violation {
	var v []Violation
	request := map[string]string{}
	ran := map[string]Event{}
	for _, x := range e {
		switch x.Kind {
		case CallSent:
			request[x.Call] = x.Request
		case CallStarted:
			ran[x.Call] = x
		}
	}
	started := map[string]Event{}
	for c, x := range ran {
		started[request[c]] = x
	}
	for _, x := range e {
		if x.Kind != RequestEnded || !reportedNotRun(x) {
			continue
		}
		if c, ok := started[x.Request]; ok {
			v = append(v, Violation{"true_refusal", x, x.Outcome + " but a call started on " + c.Server})
		}
	}
	return v
}

// reportedNotRun reports whether the node told the caller that nothing ran. A poison
// request may also be refused between its stages; its caller is then told that a part
// ran.
func reportedNotRun(x Event) bool {
	if x.Detail != "" {
		return x.Detail == outcome.NotRun.String()
	}
	return outcomeNotRun(x.Outcome)
}

func outcomeNotRun(name string) bool {
	for o := outcome.OK; o <= outcome.Cancelled; o++ {
		if o.String() == name {
			return o.Ran() == outcome.NotRun
		}
	}
	return false
}

// checkRequestEnds checks that every request ends exactly once, by its deadline plus
// EndSlack, and keeps its connection unless its node was killed or paused meanwhile.
func checkRequestEnds(e []Event, r Rules) []Violation {
	var v []Violation
	open := map[string]Event{}
	ended := map[string]bool{}
	for _, x := range e {
		switch x.Kind {
		case RequestSent:
			open[x.Request] = x
		case ResponseRead:
			s := open[x.Request]
			v = append(v, checkRequestEnd(x, s, ended, r)...)
			if x.Outcome == LostConnection && !r.Crashed && (s.Node == "" || !away(e, s.Node, s.At, x.At, false)) {
				v = append(v, Violation{"cut", x, "the connection to " + s.Node + " broke without an outcome"})
			}
			ended[x.Request] = true
			delete(open, x.Request)
		}
	}
	for _, x := range e {
		if _, ok := open[x.Request]; ok && x.Kind == RequestSent {
			v = append(v, Violation{"ends", x, "request never ended"})
		}
	}
	return v
}

func checkRequestEnd(x, s Event, ended map[string]bool, r Rules) []Violation {
	var v []Violation
	if ended[x.Request] {
		v = append(v, Violation{"ends", x, "request ended twice"})
	}
	if s.Limit > 0 && x.At.Sub(s.At) > s.Limit+r.EndSlack {
		v = append(v, Violation{"deadline", x, fmt.Sprintf("ended after %s, deadline %s", x.At.Sub(s.At), s.Limit)})
	}
	return v
}

// checkOneHolder checks that no group has two lease holders at once.
func checkOneHolder(e []Event, _ Rules) []Violation {
	var v []Violation
	holder := map[string]string{}
	for _, x := range e {
		switch x.Kind {
		case LeaseGained:
			if h := holder[x.Group]; h != "" && h != x.Actor {
				v = append(v, Violation{"one_home", x, "group " + x.Group + " still has lease holder " + h})
			}
			holder[x.Group] = x.Actor
		case LeaseLost:
			if holder[x.Group] == x.Actor {
				delete(holder, x.Group)
			}
		}
	}
	return v
}
