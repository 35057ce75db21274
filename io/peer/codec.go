package peer

// This file maps the domain types of core to the generated types of schema/wire and
// back. Unsigned 64-bit numbers travel as signed ones of the same bits.

import (
	"cmp"
	"time"

	"bergamotspring/core/claim"
	"bergamotspring/core/fleet"
	"bergamotspring/core/lease"
	"bergamotspring/core/limit"
	"bergamotspring/core/member"
	"bergamotspring/schema/wire"
)

func micros(d time.Duration) int         { return int(d.Microseconds()) }
func duration(us int) time.Duration      { return time.Duration(us) * time.Microsecond }
func groupOf(g wire.Group) fleet.GroupID { return fleet.GroupID{Pool: g.Pool, Domain: g.Domain} }
func wireGroup(g fleet.GroupID) wire.Group {
	return wire.Group{Pool: g.Pool, Domain: g.Domain}
}
func instanceOf(h wire.Holder) lease.Instance {
	return lease.Instance{Node: h.Node, Incarnation: h.Incarnation}
}
func wireInstance(h lease.Instance) wire.Holder {
	return wire.Holder{Node: h.Node, Incarnation: h.Incarnation}
}

// each maps a slice; the result of an empty one is nil.
func each[A, B any](s []A, f func(A) B) []B {
	if len(s) == 0 {
		return nil
	}
	t := make([]B, len(s))
	for i, a := range s {
		t[i] = f(a)
	}
	return t
}

func uints(s []int) []uint64 { return each(s, func(n int) uint64 { return uint64(n) }) }
func ints(s []uint64) []int  { return each(s, func(n uint64) int { return int(n) }) }

// wireRequest leaves Node out: the acceptor knows the requester from the hello.
func wireRequest(a limit.Request, n *numbering) *wire.Ask {
	return &wire.Ask{
		Id: int(a.ID), Group: n.group(a.Group), Organisation: n.number(a.Organisation),
		Class: n.number(a.Class), Deadline: micros(a.Deadline), Fingerprint: int(a.Fingerprint),
		Suspect: a.Suspect, Prefix: int(a.Prefix), Want: n.number(a.Preferred), Avoid: each(a.Avoid, n.number),
	}
}

func requestOf(a wire.Ask, from lease.Instance, n *names) limit.Request {
	return limit.Request{
		Node: NodeName(from), ID: uint64(a.Id), Group: n.group(a.Group),
		Organisation: n.name(a.Organisation), Class: n.name(a.Class), Deadline: duration(a.Deadline),
		Fingerprint: uint64(a.Fingerprint), Suspect: a.Suspect, Prefix: uint64(a.Prefix), Preferred: n.name(a.Want),
		Avoid: each(a.Avoid, n.name),
	}
}

// NodeName joins a node and its incarnation, as limit.Request and limit.HeldReport name it.
func NodeName(h lease.Instance) string { return h.Node + "/" + h.Incarnation }

func wireSummary(s limit.Summary) wire.Summary {
	return wire.Summary{
		Free: s.Free, Slots: s.Slots, Queued: s.Queued, Wait: micros(s.Wait), Typical: micros(s.MedianService), Usable: s.Usable,
	}
}

func summaryOf(s wire.Summary) limit.Summary {
	return limit.Summary{
		Free: s.Free, Slots: s.Slots, Queued: s.Queued, Wait: duration(s.Wait), MedianService: duration(s.Typical), Usable: s.Usable,
	}
}

// wireGrant leaves out what the requester knows: the ID of the request and its group.
func wireGrant(p limit.Permit, s limit.Summary, n *numbering) *wire.Grant {
	return &wire.Grant{
		Id: int(p.ID), Epoch: int(p.Epoch), Server: n.number(p.Server), Address: n.number(p.Address),
		SendBy: micros(p.SendBy), HoldUntil: micros(p.HoldUntil), Cold: p.Cold, Alone: p.Exclusive, Summary: wireSummary(s),
	}
}

func permitOf(g wire.Grant, a limit.Request, n *names) limit.Permit {
	return limit.Permit{
		ID: uint64(g.Id), Epoch: uint64(g.Epoch), RequestID: a.ID, Group: a.Group, Server: n.name(g.Server),
		Address: n.name(g.Address), SendBy: duration(g.SendBy), HoldUntil: duration(g.HoldUntil), Cold: g.Cold, Exclusive: g.Alone,
	}
}

func wireRefuse(e *limit.RefusedError, s limit.Summary) *wire.Refuse {
	return &wire.Refuse{Reason: int(e.Reason), Wait: micros(e.Wait), Summary: wireSummary(s)}
}

func refusedOf(r wire.Refuse, g fleet.GroupID) *limit.RefusedError {
	return &limit.RefusedError{Group: g, Reason: limit.Refusal(r.Reason), Wait: duration(r.Wait)}
}

func wireReleases(l []limit.Release, n *numbering) *wire.Releases {
	return &wire.Releases{Releases: each(l, func(r limit.Release) wire.Release { return wireRelease(r, n) })}
}

func releasesOf(w wire.Releases, n *names) []limit.Release {
	return each(w.Releases, func(r wire.Release) limit.Release { return releaseOf(r, n) })
}

func wireRelease(r limit.Release, n *numbering) wire.Release {
	return wire.Release{
		Permit: int(r.Permit), Epoch: int(r.Epoch), Group: n.group(r.Group), Server: n.number(r.Server),
		Result: int(r.Result), Service: micros(r.Service),
	}
}

func releaseOf(r wire.Release, n *names) limit.Release {
	return limit.Release{
		Permit: uint64(r.Permit), Epoch: uint64(r.Epoch), Group: n.group(r.Group), Server: n.name(r.Server),
		Result: limit.Result(r.Result), Service: duration(r.Service),
	}
}

func wireHeldReport(r limit.HeldReport) *wire.HeldReport {
	w := &wire.HeldReport{Node: r.Node}
	w.Held = each(r.Held, func(h limit.HeldPermit) wire.Held {
		p, n := h.Permit, h.Node
		if n == r.Node {
			n = ""
		}
		return wire.Held{
			Node: n,
			Id:   int(p.ID), Epoch: int(p.Epoch), Ask: int(p.RequestID), Server: p.Server, Address: p.Address,
			Cold: p.Cold, Alone: p.Exclusive, Fingerprint: int(h.Fingerprint), Left: micros(h.Remaining),
		}
	})
	w.Cold = each(r.Cold, func(x limit.ColdObservation) wire.Cold {
		return wire.Cold{Server: x.Server, Age: micros(x.Age)}
	})
	w.Warm = each(r.Warm, func(x limit.WarmObservation) wire.Warm {
		return wire.Warm{Server: x.Server, Age: micros(x.Age), Service: micros(x.Service)}
	})
	return w
}

func heldReportOf(w wire.HeldReport, g fleet.GroupID) limit.HeldReport {
	r := limit.HeldReport{Node: w.Node}
	r.Held = each(w.Held, func(h wire.Held) limit.HeldPermit {
		p := limit.Permit{
			ID: uint64(h.Id), Epoch: uint64(h.Epoch), RequestID: uint64(h.Ask), Group: g,
			Server: h.Server, Address: h.Address, Cold: h.Cold, Exclusive: h.Alone,
		}
		return limit.HeldPermit{Node: cmp.Or(h.Node, w.Node), Permit: p, Fingerprint: uint64(h.Fingerprint), Remaining: duration(h.Left)}
	})
	r.Cold = each(w.Cold, func(x wire.Cold) limit.ColdObservation {
		return limit.ColdObservation{Server: x.Server, Age: duration(x.Age)}
	})
	r.Warm = each(w.Warm, func(x wire.Warm) limit.WarmObservation {
		return limit.WarmObservation{Server: x.Server, Age: duration(x.Age), Service: duration(x.Service)}
	})
	return r
}

func wirePromiseRequest(a lease.PromiseRequest) *wire.PromiseAsk {
	return &wire.PromiseAsk{Home: wireInstance(a.Holder), Groups: each(a.Groups, wireGroup), Epochs: ints(a.Epochs), Outage: a.Outage}
}

func promiseRequestOf(w wire.PromiseAsk) lease.PromiseRequest {
	return lease.PromiseRequest{Holder: instanceOf(w.Home), Groups: each(w.Groups, groupOf), Epochs: uints(w.Epochs), Outage: w.Outage}
}

func wirePromise(p lease.Promise) *wire.Promise {
	return &wire.Promise{Deputy: wireInstance(p.Standby), Groups: each(p.Groups, wireGroup), Term: micros(p.Term)}
}

func promiseOf(w wire.Promise) lease.Promise {
	return lease.Promise{Standby: instanceOf(w.Deputy), Groups: each(w.Groups, groupOf), Term: duration(w.Term)}
}

func wireRecord(r lease.Record) wire.Record {
	return wire.Record{
		Group: wireGroup(r.Group), Home: wireInstance(r.Holder), Deputy: wireInstance(r.Standby),
		Epoch: int(r.Epoch), Token: r.Token,
	}
}

func recordOf(w wire.Record) lease.Record {
	return lease.Record{
		Group: groupOf(w.Group), Holder: instanceOf(w.Home), Standby: instanceOf(w.Deputy),
		Epoch: uint64(w.Epoch), Token: w.Token,
	}
}

func wireSuspectUpdate(n member.SuspectUpdate) wire.Suspect {
	return wire.Suspect{Fingerprint: int(n.Fingerprint), State: int(n.State), Stamp: int(n.Stamp)}
}

func suspectUpdateOf(w wire.Suspect) member.SuspectUpdate {
	return member.SuspectUpdate{
		Fingerprint: uint64(w.Fingerprint), State: member.SuspectState(w.State), Stamp: int64(w.Stamp),
	}
}

func wireDigest(d member.Digest) *wire.Digest {
	return &wire.Digest{
		From: wireInstance(d.From), Version: int(d.Version), Confirmed: d.Confirmed,
		Sequence: int(d.Sequence), Suspects: each(d.Suspects, wireSuspectUpdate), Homes: each(d.Records, wireRecord),
	}
}

func digestOf(w wire.Digest) member.Digest {
	return member.Digest{
		From: instanceOf(w.From), Version: uint64(w.Version), Confirmed: w.Confirmed,
		Sequence: uint64(w.Sequence), Suspects: each(w.Suspects, suspectUpdateOf), Records: each(w.Homes, recordOf),
	}
}

func wireClaim(q claim.Request) *wire.ClaimAsk {
	return &wire.ClaimAsk{Key: q.Key, Body: int(q.Body), Token: q.Token, Node: q.Node}
}

func claimOf(w wire.ClaimAsk) claim.Request {
	return claim.Request{Key: w.Key, Body: uint64(w.Body), Token: w.Token, Node: w.Node}
}

func wireVerdict(v claim.Verdict) *wire.ClaimVerdict {
	return &wire.ClaimVerdict{Kind: int(v.Kind), Status: v.Status, Answer: string(v.Response), Ended: v.Ended}
}

func verdictOf(w wire.ClaimVerdict, q claim.Request) claim.Verdict {
	v := claim.Verdict{Kind: claim.Kind(w.Kind), Status: w.Status, Response: append([]byte(nil), w.Answer...), Ended: w.Ended}
	if v.Kind == claim.Run {
		v.Ticket = q.Ticket()
	}
	return v
}
