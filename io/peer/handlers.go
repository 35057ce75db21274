package peer

// This file defines how a node handles the calls of others, in the types of core.

import (
	"errors"

	"bergamotspring/core/claim"
	"bergamotspring/core/fleet"
	"bergamotspring/core/lease"
	"bergamotspring/core/limit"
	"bergamotspring/core/member"
	"bergamotspring/schema/wire"
)

// Handlers handles the calls of other nodes. A call whose field is nil is refused with
// CodeUnknown. The functions run on the mesh's fixed workers and should not block.
type Handlers struct {
	// Request decides on a permit request. Respond may be called later, from any
	// goroutine, and returns an error if the decision was not queued on the link.
	Request  func(a limit.Request, respond func(limit.Decision, limit.Summary) error)
	Releases func(from lease.Instance, l []limit.Release)
	Withdraw func(from lease.Instance, g fleet.GroupID, requestID uint64)
	Held     func(g fleet.GroupID) limit.HeldReport
	Promise  func(lease.PromiseRequest) lease.Promise
	Handover func(lease.Handover) error
	Digest   func(member.Digest)
	Suspects func([]member.SuspectUpdate)
	Config   func(have uint64) ConfigResponse
	State    func(full bool) State
	Link     func(from lease.Instance, a LinkRequest) (LinkGrant, error)
	// Claim and EndClaim may take long: they call respond when they are done.
	Claim    func(q claim.Request, respond func(claim.Verdict, error))
	EndClaim func(e claim.End, respond func(error))
}

// Register sets the handlers of m. It must be called before Serve.
func (h Handlers) Register(m *Mesh) {
	h.registerPermits(m)
	h.registerLeases(m)
	h.registerUpdates(m)
	h.registerClaims(m)
}

// handle registers f for a type if set is true. The body is decoded before f is called.
func handle[B any](m *Mesh, t Type, set bool, f func(*Request, B)) {
	if !set {
		return
	}
	m.Handle(t, func(r *Request) {
		var b B
		if err := r.Decode(&b); err != nil {
			m.stats.bad(err)
			r.conn.close(err)
			return
		}
		f(r, b)
	})
}

// reply responds to r; an error is ignored, because the requester notices by itself that the
// link broke.
func reply(r *Request, t Type, body any) { _ = r.Reply(t, body) }

func replyDone(r *Request, err error) {
	if err != nil {
		r.Fail(CodeRefused, err.Error())
		return
	}
	reply(r, TypeDone, &wire.Done{Ok: true})
}

func (h Handlers) registerPermits(m *Mesh) {
	handle(m, TypeAsk, h.Request != nil, func(r *Request, b wire.Ask) {
		a := requestOf(b, r.From, &r.names)
		if r.checkNames() {
			h.Request(a, func(d limit.Decision, s limit.Summary) error { return r.replyDecision(d, s) })
		}
	})
	handle(m, TypeReleases, h.Releases != nil, func(r *Request, b wire.Releases) {
		l := releasesOf(b, &r.names)
		if r.checkNames() {
			h.Releases(r.From, l)
			replyDone(r, nil)
		}
	})
	handle(m, TypeWithdraw, h.Withdraw != nil, func(r *Request, b wire.Withdraw) {
		g := r.names.group(b.Group)
		if r.checkNames() {
			h.Withdraw(r.From, g, uint64(b.Ask))
		}
	})
	handle(m, TypeHeldQuery, h.Held != nil, func(r *Request, b wire.HeldQuery) {
		reply(r, TypeHeldReport, wireHeldReport(h.Held(groupOf(b.Group))))
	})
}

// checkNames closes the link if the message used a number without a name.
func (r *Request) checkNames() bool {
	if r.names.err != nil {
		r.conn.stats.bad(r.names.err)
		r.conn.close(r.names.err)
	}
	return r.names.err == nil
}

func (r *Request) replyDecision(d limit.Decision, s limit.Summary) error {
	if d.Err == nil {
		return r.Reply(TypeGrant, named(func(n *numbering) any { return wireGrant(d.Permit, s, n) }))
	}
	if e, ok := errors.AsType[*limit.RefusedError](d.Err); ok {
		return r.Reply(TypeRefuse, wireRefuse(e, s))
	}
	return r.Reply(TypeFault, &wire.Fault{Code: int(CodeRefused), Text: d.Err.Error()})
}

func (h Handlers) registerLeases(m *Mesh) {
	handle(m, TypePromiseAsk, h.Promise != nil, func(r *Request, b wire.PromiseAsk) {
		reply(r, TypePromise, wirePromise(h.Promise(promiseRequestOf(b))))
	})
	handle(m, TypeHandover, h.Handover != nil, func(r *Request, b wire.Handover) {
		replyDone(r, h.Handover(lease.Handover{Record: recordOf(b.Record)}))
	})
	handle(m, TypeStateQuery, h.State != nil, func(r *Request, b wire.StateQuery) {
		reply(r, TypeState, wireState(h.State(b.Full)))
	})
	handle(m, TypeLinkAsk, h.Link != nil, func(r *Request, b wire.LinkAsk) {
		g, err := h.Link(r.From, LinkRequest{From: b.From, To: b.To, Bytes: int64(b.Bytes), Debt: int64(b.Owed)})
		if err != nil {
			replyDone(r, err)
			return
		}
		reply(r, TypeLinkGrant, &wire.LinkGrant{Bytes: int(g.Bytes), Term: micros(g.Term)})
	})
}

func (h Handlers) registerUpdates(m *Mesh) {
	handle(m, TypeDigest, h.Digest != nil, func(_ *Request, b wire.Digest) { h.Digest(digestOf(b)) })
	handle(m, TypeSuspects, h.Suspects != nil, func(_ *Request, b wire.Suspects) {
		h.Suspects(each(b.Notes, suspectUpdateOf))
	})
	handle(m, TypeConfigFetch, h.Config != nil, func(r *Request, b wire.ConfigFetch) {
		a := h.Config(uint64(b.Version))
		reply(r, TypeConfig, &wire.Config{Version: int(a.Version), Head: string(a.Head), Confirmed: a.Confirmed})
	})
}

func (h Handlers) registerClaims(m *Mesh) {
	handle(m, TypeClaimAsk, h.Claim != nil, func(r *Request, b wire.ClaimAsk) {
		h.Claim(claimOf(b), func(v claim.Verdict, err error) {
			w := wireVerdict(v)
			if e, ok := errors.AsType[*claim.RefusedError](err); ok {
				w.Refused = e.Cause.Error()
			} else if err != nil {
				replyDone(r, err)
				return
			}
			reply(r, TypeClaimVerdict, w)
		})
	})
	handle(m, TypeClaimEnd, h.EndClaim != nil, func(r *Request, b wire.ClaimEnd) {
		k := claim.Ticket{Key: b.Key, Body: uint64(b.Body), Token: b.Token}
		e := claim.End{Ticket: k, Sent: b.Sent, Status: b.Status, Response: []byte(b.Answer)}
		h.EndClaim(e, func(err error) { replyDone(r, err) })
	})
}
