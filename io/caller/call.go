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

// maxTries bounds the calls of one stage, hedges and retries included.
const maxTries = 3

// stageRun is one stage of a run, or the one call of a plain service.
type stageRun struct {
	kind      fleet.StageKind
	operation string
	pool      *fleet.Pool
	maxTokens int
	key       string
	budget    time.Duration // goal of this stage
	after     time.Duration // typical time of later stages
	index     int           // in story.Stages
	prefix    uint64        // hash of the beginning of the prompt, generate only

	whole, first, gap stage.Quantiles
}

// grant is a permit with what is needed to use it.
type grant struct {
	permit limit.Permit
	asked  backend.Mark
	call   string
	retry  bool
	alone  bool // as a suspect
	queue  time.Duration
}

// Waits before groups are asked again because their homes were moving. A takeover by
// proof of death needs under 1 s, by lease under 4 s.
const (
	movedMin = 20 * time.Millisecond
	movedMax = 200 * time.Millisecond
)

// permit asks the groups of a stage for one call. While their homes move it asks
// again, as long as the stage can still be in time.
func (x *run) permit(ctx context.Context, st *stageRun, retry bool, avoid []string) (*grant, *failure) {
	for w := movedMin; ; w = min(2*w, movedMax) {
		g, f := x.ask(ctx, st, retry, avoid)
		if f == nil || !f.moved || x.leftFor(st) < w+st.whole.P50 {
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

// ask asks the groups of a stage in routing order, each once.
func (x *run) ask(ctx context.Context, st *stageRun, retry bool, avoid []string) (*grant, *failure) {
	f := &failure{cause: stage.CauseNoServer}
	moved := false
	x.mu.Lock()
	alone := x.suspect
	x.mu.Unlock()
	for _, g := range x.s.Groups(st.pool.Name, min(st.budget, x.left())) {
		if ctx.Err() != nil {
			return nil, x.stopped()
		}
		a := limit.Request{
			Node: x.s.Node, ID: x.s.ids.Add(1), Group: g, Organisation: x.in.organisation,
			Class: x.in.class.Name, Deadline: x.leftFor(st), Fingerprint: x.trace.Fingerprint,
			Suspect: alone, Avoid: avoid,
		}
		if x.s.Preferred != nil && st.prefix != 0 {
			a.Preferred = x.s.Preferred(g, st.prefix)
		}
		m, t := x.s.Clock.Mark(), x.s.now()
		p, err := x.s.Acquire(ctx, a, retry)
		if err == nil {
			return &grant{permit: p, asked: m, call: x.s.nextID(), retry: retry, alone: alone, queue: x.s.now().Sub(t)}, nil
		}
		x.refused(st, g, retry, x.s.now().Sub(t), err)
		c, away := causeOf(err)
		moved = moved || away
		f = worse(f, &failure{cause: c, err: err})
		if c == stage.CausePoison {
			return nil, f
		}
	}
	if ctx.Err() != nil && x.ctx.Err() != nil {
		return nil, x.stopped()
	}
	f.moved = moved && f.cause == stage.CauseNoServer
	return nil, f
}

// causeOf converts an error of Acquire. Moved says that the group had no home to
// answer, which passes.
func causeOf(err error) (c stage.Cause, moved bool) {
	var r *limit.RefusedError
	if !errors.As(err, &r) {
		return stage.CauseNoServer, true
	}
	return stage.CauseOf(r.Reason), r.Reason == limit.RefusedNotHome || r.Reason == limit.RefusedMoved
}

// leftFor returns the time that st may take when later stages take what is typical.
// A request that runs as a probe has less than that and gets all of it.
func (x *run) leftFor(st *stageRun) time.Duration {
	l := x.left()
	if l > st.after {
		return l - st.after
	}
	return l
}

// worse returns the refusal that says most: a condemned request, then a deadline,
// then a full queue, then a lack of servers.
func worse(a, b *failure) *failure {
	rank := func(f *failure) int {
		return slices.Index([]stage.Cause{stage.CauseNoServer, stage.CauseFailed, stage.CauseFull, stage.CauseDeadline, stage.CausePoison}, f.cause)
	}
	if rank(b) >= rank(a) {
		return b
	}
	return a
}

// maxNoted bounds the refused asks in a story; while homes move there can be many.
const maxNoted = 32

// refused notes an ask that got no permit.
func (x *run) refused(st *stageRun, g fleet.GroupID, retry bool, wait time.Duration, err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	t := x.span(st)
	if len(t.Attempts) >= maxNoted {
		return
	}
	t.Attempts = append(t.Attempts, stage.Attempt{Group: g, Queue: wait, Retry: retry, Result: "refused", Error: err.Error()})
}

// call returns the call that g permits.
func (x *run) call(st *stageRun, g *grant) *backend.Call {
	x.s.record(record.Event{
		Kind: record.CallSent, Request: x.id, Call: g.call, Key: x.keyName(),
		Server: g.permit.Server, Domain: g.permit.Group.Domain, Epoch: g.permit.Epoch, Version: x.v.Version,
	})
	return &backend.Call{
		ID: g.call, Address: g.permit.Address, Organisation: x.in.organisation, Key: st.key,
		// A permit without send-by allows nothing.
		Asked: g.asked, SendBy: max(g.permit.SendBy, 1), Fresh: g.retry || !x.repeatable,
	}
}

// settle releases a permit and notes the call. Bytes are those sent and received.
func (x *run) settle(st *stageRun, g *grant, res limit.Result, service time.Duration, bytes int, err error) {
	p := &g.permit
	x.s.Release(limit.Release{
		Permit: p.ID, Epoch: p.Epoch, Group: p.Group, Server: p.Server, Result: res, Service: service,
	})
	if x.v.Regions[p.Group.Domain] == x.s.Region {
		bytes = 0
	}
	a := stage.Attempt{
		Call: g.call, Group: p.Group, Server: p.Server, Epoch: p.Epoch, Queue: g.queue,
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
	// The home that sees the crash makes the request a suspect. Its retry may go to
	// another home, which does not know that yet.
	x.suspect = x.suspect || res == limit.Crashed
}

// wasSent reports whether a byte of a call that ended with err may have gone out.
func wasSent(err error) bool {
	var e *backend.Error
	return !errors.As(err, &e) || e.Sent
}

// resultOf returns what an error says about the server. Patience is how long a
// server may be silent.
func resultOf(err error, service, patience time.Duration) limit.Result {
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
		return limit.Unsent
	case e.Kind == backend.Broken && e.Stale:
		return limit.Failed
	case e.Kind == backend.Broken, e.Kind == backend.Truncated:
		return limit.Crashed
	case e.Kind == backend.Stalled:
		return limit.Silent
	case e.Kind == backend.Stopped, e.Kind == backend.Late:
		if service > patience {
			return limit.Silent
		}
		return limit.Abandoned
	case e.Kind == backend.Receiver:
		return limit.Abandoned
	}
	return limit.Failed
}
