package proxy

// This file defines requests to model services: the region coordinator places them, the
// node sends them and forwards the event stream, resuming it on another server where that
// is allowed.

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"bergamotspring/core/placement"
	"bergamotspring/core/relay"
)

const (
	// maxPlacements bounds the placements of one request.
	maxPlacements = 4
	// A stream is resumed on another server if no event came for firstEventFactor times
	// the route's latency goal or, later, for eventGapFactor times its longest allowed gap
	// between events, and in both cases for at least minStallTimeout.
	firstEventFactor = 1
	eventGapFactor   = 4
	minStallTimeout  = time.Second
	// minResumeTime is the least remaining time for which a stream is resumed.
	minResumeTime = 500 * time.Millisecond
)

// generate serves a request for a model service.
func (q *request) generate(ctx context.Context) {
	q.key = placement.Key{ID: q.meta.ID, Nonce: rand.Uint64()}
	a := q.placementRequest()
	out := newStream(q)
	var tried []string
	runs := 0
	for n := 0; n < maxPlacements+min(q.moves, maxMoves); n++ {
		a.Attempt, q.attempt = n, n
		a.Remaining, a.Goal = q.remaining(), q.route.Goal-time.Since(q.arrived)
		g, err := q.schedule(ctx, a, tried)
		if !q.placed(ctx, &g, err) {
			return
		}
		if !q.admits(&g.Server) {
			q.report(&g, placement.RunRejected)
			a.Retry, a.InputLost = true, false
			continue
		}
		if g.Outdated {
			q.log("inputs_outdated", zap.String("server", g.Server.ID))
			q.report(&g, placement.RunRejected)
			a.Retry, a.InputLost = true, true
			continue
		}
		e := q.run(ctx, out, &g, q.route.Resumable && runs+1 < q.route.Attempts)
		if e == runDone {
			return
		}
		if ctx.Err() != nil {
			q.contextEnded(ctx)
			return
		}
		if e == runBroken {
			runs++
			q.mayHaveRun = true
		}
		if e == runBroken && (!q.route.Resumable || !q.mayRunAgain(runs) || q.remaining() <= minResumeTime) {
			break
		}
		if e != runNotSent && !q.retry(&g.Server) {
			break
		}
		if e != runInputLost {
			tried = append(tried, g.Server.ID)
		}
		a.Retry, a.InputLost = e != runBroken, e == runInputLost
		q.nextRule(e == runNotSent)
	}
	q.server.Report(placement.Report{Key: q.key, Attempt: q.attempt, Status: placement.RunAbandoned})
	q.fail("model servers failed", q.retryAfter())
}

// placed reports whether the request is to be sent to the server that it was placed on. If not,
// it has ended the request.
func (q *request) placed(ctx context.Context, g *placement.Decision, err error) bool {
	if ctx.Err() != nil {
		if g.Granted() {
			q.report(g, placement.RunAbandoned)
		}
		q.contextEnded(ctx)
		return false
	}
	if q.refusePoison(ctx, g) {
		return false
	}
	if err != nil || !g.Granted() {
		q.fail(refusalReason(*g, err), max(g.RetryAfter, retryAfterBusy))
		return false
	}
	return true
}

// schedule requests a placement on a server that was not tried, until EndPlacements ends. If all
// servers hold this node off, it refuses at once.
func (q *request) schedule(ctx context.Context, a placement.Request, tried []string) (placement.Decision, error) {
	avoid, left := q.avoid(tried)
	if !left && q.fallBack() {
		avoid, left = q.avoid(tried)
	}
	if !left {
		q.server.Report(placement.Report{Key: a.Key, Attempt: a.Attempt, Status: placement.RunAbandoned})
		return placement.Decision{Reason: relay.ErrHeldOff.Error(), RetryAfter: q.retryAfter()}, nil
	}
	a.Avoid, a.Rule, a.AnyVersion = avoid, q.rule, q.late || q.rule.New
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	defer context.AfterFunc(q.server.EndPlacements, func() { end(errStopping) })()
	if q.trialAt.IsZero() {
		defer q.server.Suspects.Watch(q.suspect(), func() { end(errPoison) })()
	}
	return q.server.Schedule(ctx, a)
}

// report reports the progress of a placed request to the region coordinator.
func (q *request) report(g *placement.Decision, e placement.RunStatus) {
	q.server.Report(placement.Report{Key: q.key, Attempt: q.attempt, Server: g.Server.ID, Status: e})
}

// reportHead reports the progress of a placed request, with the load that its server reported with its response.
func (q *request) reportHead(a *attempt, g *placement.Decision, e placement.RunStatus) {
	q.server.Report(placement.Report{
		Key: q.key, Attempt: q.attempt, Server: g.Server.ID, Status: e, Load: q.server.Protocol.Load(a.response.Header),
	})
}

// reportDone reports the end of a run. The events of a run that began at another server say nothing about this one.
func (q *request) reportDone(g *placement.Decision) {
	n := q.events
	if q.attempt > 0 {
		n = 0
	}
	q.server.Report(placement.Report{Key: q.key, Attempt: q.attempt, Server: g.Server.ID, Status: placement.RunDone, Events: n})
}

func refusalReason(g placement.Decision, err error) string {
	if err != nil {
		return err.Error()
	}
	return g.Reason
}

// placementRequest returns the request for the region coordinator.
func (q *request) placementRequest() placement.Request {
	a := placement.Request{
		Key: q.key, Service: q.service, InputKey: q.meta.InputKey, Segments: q.meta.Segments, Tokens: q.meta.Tokens, Prompt: q.meta.Prompt, EventGap: q.route.EventGap,
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

// allowedRegions returns the regions that may serve a request, nil if all may. If both
// the route and the organisation list regions, the result is their intersection.
func allowedRegions(r *relay.Route, o *relay.Organisation) []string {
	if o == nil || len(o.Regions) == 0 {
		return r.Regions
	}
	if len(r.Regions) == 0 {
		return o.Regions
	}
	l := []string{""} // matches no region, so that an empty intersection does not allow all
	for _, x := range r.Regions {
		if slices.Contains(o.Regions, x) {
			l = append(l, x)
		}
	}
	return l
}

// runOutcome is the result of sending a request to one model server.
type runOutcome uint8

const (
	runDone      runOutcome = iota // the caller received the whole response
	runNotSent                     // the server received nothing
	runRejected                    // the server did not run it
	runInputLost                   // the server did not run it, since an input no longer exists
	runBroken                      // it may have run, wholly or in part
)

// run sends the request to a model server and forwards its stream. If resume is set, it
// gives up on a server that stalls.
func (q *request) run(ctx context.Context, out *stream, g *placement.Decision, resume bool) (e runOutcome) {
	caller := ctx
	times := streamTimes{began: time.Now(), events: q.events}
	q.beginAttempt(&g.Server)
	defer q.endAttempt()
	out.stallTimer = nil
	if resume {
		c, cancel := context.WithCancel(ctx)
		defer cancel()
		ctx = c
		out.startStallTimer(max(minStallTimeout, firstEventFactor*q.route.Goal), cancel)
		defer out.stallTimer.Stop()
	}
	x := Upstream{
		Server: g.Server.ID, Organisation: q.organisation(), Remaining: q.remaining(), Model: true,
		Priority: relay.Priority(q.route, q.org), Inputs: g.Inputs, KVSource: g.KVSource, LastEvent: out.order.last,
	}
	a := q.send(ctx, &g.Server, x)
	defer a.close()
	defer func() { q.observeRun(&times, a, &g.Server, e, caller.Err() != nil) }()
	switch {
	case caller.Err() != nil:
		q.report(g, placement.RunAbandoned)
		return runBroken
	case a.err != nil:
		q.log("send_failed", zap.String("server", g.Server.ID), zap.Bool("not_run", a.notRun), zap.Error(a.err))
		if a.notRun {
			q.report(g, unsentStatus(a.err))
			return runNotSent
		}
		q.report(g, placement.RunConnectionLost)
		q.reportBroken(a, &g.Server)
		return runBroken
	case a.notRun:
		if a.moved() {
			q.report(g, placement.RunNotSent)
		} else {
			q.reportHead(a, g, placement.RunRejected)
		}
		q.log("not_run", zap.String("server", g.Server.ID), zap.Int("status", a.response.Status))
		if a.response.Status == http.StatusConflict {
			return runInputLost
		}
		return runRejected
	}
	if !resume {
		q.dropBody()
	}
	if a.response.Status != http.StatusOK || !q.route.Streamed || !isEventStream(a.response.Header) {
		return q.forwardWhole(caller, a, g)
	}
	return q.forwardStream(caller, out, a, g, &times)
}

// forwardWhole forwards a response that is not an event stream. If events of an earlier
// server were forwarded, the response cannot follow them and counts as broken.
func (q *request) forwardWhole(ctx context.Context, a *attempt, g *placement.Decision) runOutcome {
	if q.headerSent {
		q.report(g, placement.RunConnectionLost)
		return runBroken
	}
	q.buffer(a)
	if a.err != nil {
		q.report(g, placement.RunConnectionLost)
		if ctx.Err() == nil {
			q.reportBroken(a, &g.Server)
		}
		return runBroken
	}
	q.report(g, placement.RunDone)
	q.forward(ctx, a, &g.Server)
	return runDone
}

// forwardStream forwards an event stream until it ends or breaks.
func (q *request) forwardStream(ctx context.Context, out *stream, a *attempt, g *placement.Decision, times *streamTimes) runOutcome {
	err := out.copy(a.response, func(n int) {
		times.note(time.Now())
		a.onEvents(q, g, n)
	})
	if err == nil {
		q.reportDone(g)
		q.reportComplete(a, &g.Server)
		first := max(1, out.firstEvent.Sub(q.arrived))
		q.end("streamed", true, first, zap.String("server", g.Server.ID), zap.Int("events", q.events), zap.Duration("first_event", first))
		return runDone
	}
	if errors.Is(err, errEnded) {
		q.report(g, placement.RunAbandoned)
		q.fail(errEnded.Error(), 0)
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
	if q.cutOff(&g.Server) {
		q.unread = true
		q.report(g, placement.RunAbandoned)
		return runBroken
	}
	q.report(g, placement.RunConnectionLost)
	q.reportBroken(a, &g.Server)
	q.log("stream_broken", zap.String("server", g.Server.ID), zap.Int("events", q.events), zap.Error(err))
	return runBroken
}
