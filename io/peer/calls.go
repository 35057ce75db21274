package peer

// This file defines the calls that a node sends to others, in the types of core.

import (
	"cmp"
	"context"
	"errors"
	"time"

	"bergamotspring/core/claim"
	"bergamotspring/core/fleet"
	"bergamotspring/core/lease"
	"bergamotspring/core/limit"
	"bergamotspring/core/member"
	"bergamotspring/schema/wire"
)

// ConfigResponse is the configuration that a peer has in force. Head is the value of
// row config/head, empty if the peer has none.
type ConfigResponse struct {
	Version   uint64
	Head      []byte
	Confirmed bool // against the table within the last 5 s
}

// LinkRequest requests a byte allowance from the limiter of the link From -> To.
type LinkRequest struct {
	From, To string // regions
	Bytes    int64
	Debt     int64 // sent beyond earlier allowances
}

// LinkGrant is an allowance of Bytes for Term.
type LinkGrant struct {
	Bytes int64
	Term  time.Duration
}

// RequestPermit sends a request to the lease holder of its group. Done gets the decision
// exactly once, unless RequestPermit returns an error: then nothing was sent. Any error in
// a decision but a *limit.RefusedError means that the request was not decided
// (*RemoteError) or that it is not known whether it was.
func (m *Mesh) RequestPermit(to member.Node, a limit.Request, expire time.Duration, done func(limit.Decision, limit.Summary)) error {
	return m.Start(to.Peer, TypeAsk, named(func(n *numbering) any { return wireRequest(a, n) }), expire, func(r Reply, err error) {
		d := limit.Decision{Request: a, Err: err}
		var s limit.Summary
		if err == nil {
			d.Permit, s, d.Err = decisionOf(r, a)
		}
		done(d, s)
	})
}

func decisionOf(r Reply, a limit.Request) (limit.Permit, limit.Summary, error) {
	if r.Kind == TypeGrant {
		var g wire.Grant
		err := r.Decode(&g)
		p := permitOf(g, a, &r.names)
		return p, summaryOf(g.Summary), cmp.Or(err, r.names.err)
	}
	var w wire.Refuse
	if err := r.decodeAs(TypeRefuse, &w); err != nil {
		return limit.Permit{}, limit.Summary{}, err
	}
	return limit.Permit{}, summaryOf(w.Summary), refusedOf(w, a.Group)
}

// Releases sends releases to the lease holder of their groups. Done gets nil when the
// lease holder has acknowledged them, unless Releases returns an error: then nothing was
// sent. Sending a release a second time has no effect.
func (m *Mesh) Releases(to member.Node, l []limit.Release, done func(error)) error {
	b := named(func(n *numbering) any { return wireReleases(l, n) })
	return m.Start(to.Peer, TypeReleases, b, idleTimeout, func(_ Reply, err error) { done(err) })
}

// Withdraw notifies the lease holder that nobody waits for the decision on a request.
func (m *Mesh) Withdraw(to member.Node, g fleet.GroupID, id uint64) error {
	return m.Send(to.Peer, TypeWithdraw, named(func(n *numbering) any {
		return &wire.Withdraw{Group: n.group(g), Ask: int(id)}
	}))
}

// FetchHeld asks a node which permits of a group it holds.
func (m *Mesh) FetchHeld(ctx context.Context, to member.Node, g fleet.GroupID) (limit.HeldReport, error) {
	var w wire.HeldReport
	err := m.Call(ctx, to.Peer, TypeHeldQuery, &wire.HeldQuery{Group: wireGroup(g)}, TypeHeldReport, &w)
	return heldReportOf(w, g), err
}

// Promise requests promises from the standby.
func (m *Mesh) Promise(ctx context.Context, to member.Node, a lease.PromiseRequest) (lease.Promise, error) {
	var w wire.Promise
	err := m.Call(ctx, to.Peer, TypePromiseAsk, wirePromiseRequest(a), TypePromise, &w)
	return promiseOf(w), err
}

// Handover sends a handover message, whose meaning follows from its record, see
// lease.Handover. A *RemoteError means that the receiver did not consent or did not handle
// the message.
func (m *Mesh) Handover(ctx context.Context, to member.Node, h lease.Handover) error {
	var w wire.Done
	return m.Call(ctx, to.Peer, TypeHandover, &wire.Handover{Record: wireRecord(h.Record)}, TypeDone, &w)
}

// SendDigest sends a digest; it may be lost without an error.
func (m *Mesh) SendDigest(_ context.Context, to member.Node, d member.Digest) error {
	return m.Send(to.Peer, TypeDigest, wireDigest(d))
}

// SendSuspects sends suspects that changed; it may be lost without an error.
func (m *Mesh) SendSuspects(_ context.Context, to member.Node, l []member.SuspectUpdate) error {
	return m.Send(to.Peer, TypeSuspects, &wire.Suspects{Notes: each(l, wireSuspectUpdate)})
}

// FetchConfig asks a node for the configuration in force there. Head is empty unless
// its version is above have.
func (m *Mesh) FetchConfig(ctx context.Context, to member.Node, have uint64) (ConfigResponse, error) {
	var w wire.Config
	err := m.Call(ctx, to.Peer, TypeConfigFetch, &wire.ConfigFetch{Version: int(have)}, TypeConfig, &w)
	return ConfigResponse{Version: uint64(w.Version), Head: []byte(w.Head), Confirmed: w.Confirmed}, err
}

// RequestLinkBytes requests an allowance from the limiter of the link a.From -> a.To.
func (m *Mesh) RequestLinkBytes(ctx context.Context, to member.Node, a LinkRequest) (LinkGrant, error) {
	var w wire.LinkGrant
	err := m.Call(ctx, to.Peer, TypeLinkAsk, &wire.LinkAsk{From: a.From, To: a.To, Bytes: int(a.Bytes), Owed: int(a.Debt)}, TypeLinkGrant, &w)
	return LinkGrant{Bytes: int64(w.Bytes), Term: duration(w.Term)}, err
}

// Claim asks a claim writer to acquire the claim of a call. An error of type
// *claim.RefusedError is the writer's decision; after any other, the claim may have been
// acquired.
func (m *Mesh) Claim(ctx context.Context, to member.Node, q claim.Request) (claim.Verdict, error) {
	var w wire.ClaimVerdict
	if err := m.Call(ctx, to.Peer, TypeClaimAsk, wireClaim(q), TypeClaimVerdict, &w); err != nil {
		return claim.Verdict{}, err
	}
	if w.Refused != "" {
		return claim.Verdict{}, &claim.RefusedError{Cause: errors.New(w.Refused)}
	}
	return verdictOf(w, q), nil
}

// EndClaim passes the response of a call, or that it was not sent, to a claim writer, and
// returns when the writer has acknowledged it.
func (m *Mesh) EndClaim(ctx context.Context, to member.Node, e claim.End) error {
	b := &wire.ClaimEnd{
		Key: e.Ticket.Key, Body: int(e.Ticket.Body), Token: e.Ticket.Token,
		Sent: e.Sent, Status: e.Status, Answer: string(e.Response),
	}
	var w wire.Done
	return m.Call(ctx, to.Peer, TypeClaimEnd, b, TypeDone, &w)
}
