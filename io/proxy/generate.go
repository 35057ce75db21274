package proxy

// This file defines model requests: the home places them, the node sends them and
// relays the stream of events, resuming it elsewhere where that is allowed.

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"bergamotspring/core/placement"
	"bergamotspring/core/relay"
)

const (
	// mostPlaces bounds the model servers that one request is sent to.
	mostPlaces = 4
	// firstPatience and gapPatience are how many times the goal, and the longest pause on
	// time, a model server may be silent before a stream is resumed elsewhere.
	firstPatience = 1
	gapPatience   = 4
	leastPatience = time.Second
	// resumeReserve is the least time left for which a stream is resumed.
	resumeReserve = 500 * time.Millisecond
)

// generate serves a request of a model service.
func (q *request) generate(ctx context.Context) {
	a := q.ask()
	out := &stream{request: q, last: q.meta.LastEvent}
	runs := 0
	for n := 0; n < mostPlaces; n++ {
		a.Attempt, q.asked = n, n
		a.Remaining, a.Goal = q.left(), q.route.Goal-time.Since(q.arrived)
		g, err := q.server.Schedule(ctx, a)
		if ctx.Err() != nil {
			q.ended(ctx)
			return
		}
		if err != nil || !g.Granted() {
			q.fail(refusal(g, err), max(g.RetryAfter, retryBusy))
			return
		}
		e := q.run(ctx, out, &g, q.route.Resumable && runs+1 < q.route.Attempts)
		if ctx.Err() != nil {
			q.ended(ctx)
			return
		}
		if e == runEnded {
			return
		}
		if e == runBroken {
			runs++
			q.mayRun = true
		}
		if e == runBroken && (!q.route.Resumable || runs >= q.route.Attempts || q.left() <= resumeReserve) {
			break
		}
		if e != runUnsent && !q.retry(&g.Server) {
			break
		}
		if e != runGone {
			a.Avoid = append(a.Avoid, g.Server.ID)
		}
		a.Retry, a.InputLost = e != runBroken, e == runGone
	}
	q.server.Report(placement.Report{ID: q.meta.ID, Attempt: q.asked, Status: placement.RunAbandoned})
	q.fail("model servers failed", retryBusy)
}

// report tells the home how a granted request goes on.
func (q *request) report(g *placement.Decision, e placement.RunStatus) {
	q.server.Report(placement.Report{ID: q.meta.ID, Attempt: q.asked, Server: g.Server.ID, Status: e})
}

func refusal(g placement.Decision, err error) string {
	if err != nil {
		return err.Error()
	}
	return g.Reason
}

// ask returns what the home is asked.
func (q *request) ask() placement.Request {
	a := placement.Request{
		ID: q.meta.ID, Service: q.service, InputKey: q.meta.InputKey, Segments: q.meta.Segments, Tokens: q.meta.Tokens,
		Priority: relay.Priority(q.route, q.org), Route: q.route.Name, Organisation: q.organisation(),
	}
	a.Regions = allowedRegions(q.route, q.org)
	for i, s := range q.route.Stages {
		n := 0
		if i < len(q.meta.Tasks) {
			n = q.meta.Tasks[i]
		}
		a.Stages = append(a.Stages, placement.StageRequest{Service: s.Service, After: s.After, ResultBytes: s.ResultBytes, Tasks: n})
	}
	return a
}

// allowedRegions returns the regions that may serve a request, none if all may. Where
// route and organisation have some, both bind.
func allowedRegions(r *relay.Route, o *relay.Organisation) []string {
	if o == nil || len(o.Regions) == 0 {
		return r.Regions
	}
	if len(r.Regions) == 0 {
		return o.Regions
	}
	l := []string{""} // names no region: none may serve it
	for _, x := range r.Regions {
		if slices.Contains(o.Regions, x) {
			l = append(l, x)
		}
	}
	return l
}

// runEnd says how a run at a model server ended for the caller.
type runEnd uint8

const (
	runEnded  runEnd = iota // the caller has the whole answer
	runUnsent               // nothing arrived at the server
	runNot                  // the server did not run it
	runGone                 // nor could it: an input did not exist any more
	runBroken               // it may have run in part
)

// run sends the request to a model server and relays its stream. If it may be resumed
// elsewhere, a silent server is left.
func (q *request) run(ctx context.Context, out *stream, g *placement.Decision, resume bool) runEnd {
	caller := ctx
	out.stall = nil
	if resume {
		c, cancel := context.WithCancel(ctx)
		defer cancel()
		ctx = c
		out.stall = time.AfterFunc(max(leastPatience, firstPatience*q.route.Goal), cancel)
		defer out.stall.Stop()
	}
	x := Upstream{
		Server: g.Server.ID, Organisation: q.organisation(), Remaining: q.left(), Model: true,
		Priority: relay.Priority(q.route, q.org), Inputs: g.Inputs, KVSource: g.KVSource, LastEvent: out.last,
	}
	a := q.send(ctx, &g.Server, x)
	defer a.close()
	switch {
	case caller.Err() != nil:
		q.report(g, placement.RunAbandoned)
		return runBroken
	case a.err != nil:
		q.log("send_failed", zap.String("server", g.Server.ID), zap.Bool("not_run", a.notRun), zap.Error(a.err))
		if a.notRun {
			q.report(g, placement.RunNotSent)
			return runUnsent
		}
		q.report(g, placement.RunConnectionLost)
		q.broke(a, &g.Server)
		return runBroken
	case a.notRun:
		if a.moved() {
			q.report(g, placement.RunNotSent)
		} else {
			q.report(g, placement.RunRejected)
		}
		q.log("not_run", zap.String("server", g.Server.ID), zap.Int("status", a.response.Status))
		if a.response.Status == http.StatusConflict {
			return runGone
		}
		return runNot
	case a.response.Status != http.StatusOK || !q.route.Streamed:
		return q.whole(a, g)
	}
	return q.relay(caller, out, a, g)
}

// whole passes an answer on that is no stream of events.
func (q *request) whole(a *attempt, g *placement.Decision) runEnd {
	if q.started {
		q.report(g, placement.RunConnectionLost)
		return runBroken
	}
	a.read()
	if a.err != nil {
		q.report(g, placement.RunConnectionLost)
		return runBroken
	}
	q.report(g, placement.RunDone)
	q.pass(a, &g.Server)
	return runEnded
}

// relay relays a stream of events until it ends or breaks.
func (q *request) relay(ctx context.Context, out *stream, a *attempt, g *placement.Decision) runEnd {
	err := out.copy(a.response, func() { q.report(g, placement.RunStarted) })
	if err == nil {
		q.report(g, placement.RunDone)
		q.server.OnSuccess(q.fingerprint())
		first := max(1, out.first.Sub(q.arrived))
		q.end("streamed", true, first, zap.String("server", g.Server.ID), zap.Int("events", q.events), zap.Duration("first_event", first))
		return runEnded
	}
	var w *callerError
	if errors.As(err, &w) || ctx.Err() != nil {
		q.report(g, placement.RunAbandoned)
		if ctx.Err() == nil {
			q.end("caller_left", false, 0, q.progress()...)
			panic(http.ErrAbortHandler)
		}
		return runBroken
	}
	q.report(g, placement.RunConnectionLost)
	q.broke(a, &g.Server)
	q.log("stream_broken", zap.String("server", g.Server.ID), zap.Int("events", q.events), zap.Error(err))
	return runBroken
}
