package caller

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/core/limit"
	"bergamotspring/core/record"
	"bergamotspring/core/stage"
	"bergamotspring/io/backend"
)

// maxAttempts bounds the calls of one JSON stage or operation, including hedges and
// retries; maxStreams bounds those of a generate stage.
const maxAttempts = 3

// stageRun is one stage of a run, or the single call of a plain service.
type stageRun struct {
	kind      fleet.StageKind
	operation string
	pool      *fleet.Pool
	maxTokens int
	key       string
	budget    time.Duration // target duration of this stage
	after     time.Duration // sum of the median times of later stages
	index     int           // in trace.Stages
	prefix    uint64        // hash of organisation and start of the prompt; generate only

	whole, first, gap stage.Quantiles
}

// grant is a permit with the data needed to use and to report it.
type grant struct {
	permit      limit.Permit
	requestedAt backend.Mark
	callID      string
	retry       bool // a retry or a hedge: charged to the retry budget, sent on a new connection
	exclusive   bool // of a suspect, which runs exclusively
	queue       time.Duration
}

// Delays before permits are requested again because the leases of the groups were
// moving. A takeover takes less than 1 s if the holder is proven dead, and less than 4 s
// if its lease has to expire.
const (
	minMovedDelay = 20 * time.Millisecond
	maxMovedDelay = 200 * time.Millisecond
)

// acquirePermit acquires a permit for one call of a stage. While the leases of its groups
// move it retries, as long as the stage can still finish in time. retry is also set for
// hedges.
func (x *run) acquirePermit(ctx context.Context, st *stageRun, retry bool, avoid []string) (*grant, *failure) {
	for w := minMovedDelay; ; w = min(2*w, maxMovedDelay) {
		g, f := x.tryGroups(ctx, st, retry, avoid)
		if f == nil || !f.moved || x.remainingFor(st) < w+st.whole.P50 {
			return g, f
		}
		t := time.NewTimer(w/2 + rand.N(w/2))
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
		}
	}
}

// tryGroups requests a permit from the groups of a stage in routing order, once each.
func (x *run) tryGroups(ctx context.Context, st *stageRun, retry bool, avoid []string) (*grant, *failure) {
	f := &failure{cause: stage.CauseNoServer}
	anyMoved := false
	x.mu.Lock()
	exclusive := x.suspect
	x.mu.Unlock()
	for _, g := range x.s.Groups(st.pool.Name, min(st.budget, x.remaining())) {
		if ctx.Err() != nil {
			return nil, x.contextFailure()
		}
		a := limit.Request{
			Node: x.s.Node, ID: x.s.ids.Add(1), Group: g, Organisation: x.in.organisation,
			Class: x.in.class.Name, Deadline: x.remainingFor(st), Fingerprint: x.trace.Fingerprint,
			Suspect: exclusive, Prefix: st.prefix, Avoid: avoid,
		}
		if x.s.Preferred != nil && st.prefix != 0 {
			a.Preferred = x.s.Preferred(g, st.prefix)
		}
		m, t := x.s.Clock.Mark(), x.s.now()
		p, err := x.s.Acquire(ctx, a, retry)
		if err == nil {
			return &grant{permit: p, requestedAt: m, callID: x.s.nextID(), retry: retry, exclusive: exclusive || p.Exclusive, queue: x.s.now().Sub(t)}, nil
		}
		x.recordRefusal(st, g, retry, x.s.now().Sub(t), err)
		c, noHolder := causeOf(err)
		anyMoved = anyMoved || noHolder
		f = moreSpecific(f, &failure{cause: c, err: err})
		if c == stage.CausePoison {
			return nil, f
		}
	}
	if ctx.Err() != nil && x.ctx.Err() != nil {
		return nil, x.contextFailure()
	}
	f.moved = anyMoved && f.cause == stage.CauseNoServer
	return nil, f
}

// causeOf converts an error of Acquire. moved reports that the refusal may be temporary:
// no lease holder decided, or it found no server that takes work at the moment.
func causeOf(err error) (c stage.Cause, moved bool) {
	var r *limit.RefusedError
	if !errors.As(err, &r) {
		return stage.CauseNoServer, true
	}
	return stage.CauseOf(r.Reason), r.Reason == limit.RefusedNotHolder || r.Reason == limit.RefusedMoved
}

// remainingFor returns the time that st may take if later stages take their median time.
// A request that runs as a probe has less time than the later stages need; st then gets
// all of it.
func (x *run) remainingFor(st *stageRun) time.Duration {
	l := x.remaining()
	if l > st.after {
		return l - st.after
	}
	return l
}

// moreSpecific returns the more informative of two refusals: a poison request before a
// deadline, a full queue, a failure and a lack of servers. b wins a tie.
func moreSpecific(a, b *failure) *failure {
	rank := func(f *failure) int {
		return slices.Index([]stage.Cause{stage.CauseNoServer, stage.CauseFailed, stage.CauseFull, stage.CauseDeadline, stage.CausePoison}, f.cause)
	}
	if rank(b) >= rank(a) {
		return b
	}
	return a
}

// maxRefusedAttempts is the number of attempts in a span from which on refused permit
// requests are not recorded any more; there can be many while leases move.
const maxRefusedAttempts = 32

// recordRefusal adds a refused permit request to the trace.
func (x *run) recordRefusal(st *stageRun, g fleet.GroupID, retry bool, wait time.Duration, err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	t := x.span(st)
	if len(t.Attempts) >= maxRefusedAttempts {
		return
	}
	t.Attempts = append(t.Attempts, stage.Attempt{Group: g, Queue: wait, Retry: retry, Result: "refused", Error: err.Error()})
}

// newCall returns the backend call for permit g and records it.
func (x *run) newCall(st *stageRun, g *grant) *backend.Call {
	x.s.record(record.Event{
		Kind: record.CallSent, Request: x.id, Call: g.callID, Key: x.keyName(),
		Server: g.permit.Server, Domain: g.permit.Group.Domain, Epoch: g.permit.Epoch, Version: x.v.Version,
	})
	return &backend.Call{
		ID: g.callID, Address: g.permit.Address, Organisation: x.in.organisation, Key: st.key,
		// SendBy 0 would mean no limit, but a permit without send-by allows no call.
		RequestedAt: g.requestedAt, SendBy: max(g.permit.SendBy, 1), Fresh: g.retry || !x.repeatable,
	}
}

// finishAttempt releases a permit and adds the call to the trace. bytes is the number of
// bytes sent and received.
func (x *run) finishAttempt(st *stageRun, g *grant, res limit.Result, service time.Duration, bytes int, err error) {
	p := &g.permit
	x.s.Release(limit.Release{
		Permit: p.ID, Epoch: p.Epoch, Group: p.Group, Server: p.Server, Result: res, Service: service,
	})
	if x.v.Regions[p.Group.Domain] == x.s.Region {
		bytes = 0
	}
	a := stage.Attempt{
		Call: g.callID, Group: p.Group, Server: p.Server, Epoch: p.Epoch, Queue: g.queue,
		Service: service, Cross: bytes, Retry: g.retry, Result: res.String(),
	}
	if err != nil {
		a.Error = err.Error()
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	t := x.span(st)
	t.Attempts = append(t.Attempts, a)
	x.sent = x.sent || wasSent(err)
	// The lease holder that observes the crash marks the request as suspect. The retry
	// may go to another lease holder, which does not know that yet.
	x.suspect = x.suspect || res == limit.Crashed
}

// wasSent reports whether a byte of a call that ended with err may have been sent.
func wasSent(err error) bool {
	var e *backend.Error
	return !errors.As(err, &e) || e.Sent
}

// resultOf returns what the error of a call implies about the server. A call that was
// stopped, or whose response came late, counts as silent if silence, the time since the
// server last sent anything, is longer than maxSilence.
func resultOf(err error, silence, maxSilence time.Duration) limit.Result {
	var e *backend.Error
	if !errors.As(err, &e) {
		return limit.Good
	}
	switch {
	case e.Kind == backend.Refused:
		return limit.Refused
	case e.Kind == backend.Unreached:
		return limit.Silent
	case !e.Sent:
		return limit.NotSent
	case e.Kind == backend.Broken && e.Stale:
		return limit.Failed
	case e.Kind == backend.Broken, e.Kind == backend.Truncated:
		return limit.Crashed
	case e.Kind == backend.Stalled:
		return limit.Silent
	case e.Kind == backend.Stopped, e.Kind == backend.Late:
		if silence > maxSilence {
			return limit.Silent
		}
		return limit.Abandoned
	case e.Kind == backend.Receiver:
		return limit.Abandoned
	}
	return limit.Failed
}
