package proxy

// This file defines how requests that crash servers are reported and refused.

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"bergamotspring/core/placement"
	"bergamotspring/core/relay"
	"bergamotspring/core/suspect"
)

// errPoison is the cause of the end of a wait for a placement when the request must not run.
var errPoison = errors.New("crashes servers")

// provenReads is the number of reads with events after which a response has proven that the
// request's segments crash no server. The first event may come from a server that crashes as it
// sends it.
const provenReads = 2

// maxTrialDelay is how long after it was granted a trial may still begin. Others may follow later.
const maxTrialDelay = 5 * time.Second

// suspect returns what of the request may crash servers.
func (q *request) suspect() suspect.Request {
	if q.hash == 0 {
		q.hash = q.fingerprint()
	}
	return suspect.Request{Fingerprint: q.hash, Segments: q.meta.SegmentIDs}
}

// fingerprint identifies a request by its content, so a caller's retry has the same one.
func (q *request) fingerprint() uint64 {
	h := xxhash.New()
	for _, s := range []string{q.organisation(), q.method, q.host, q.target} {
		_, _ = h.WriteString(s + "\x00") // never fails
	}
	_, _ = h.Write(q.body)
	return h.Sum64()
}

// refusePoison ends a request that must not run because it crashes servers, and reports
// whether it did. It is called before each send; a placement, if there is one, is given up. A trial is not asked
// for after a placement was, as the wait for it may have ended and holds a server.
func (q *request) refusePoison(ctx context.Context, g *placement.Decision) bool {
	k, ok := q.server.Suspects.IsPoison(q.suspect())
	if !ok || q.onTrial() || g == nil && q.takeTrial(ctx) {
		return false
	}
	if g != nil {
		q.report(g, placement.RunAbandoned)
	}
	q.log("poison", zap.Uint64("fingerprint", k.Fingerprint), zap.Strings("segments", k.SegmentNames()), zap.Int("crashes", k.Crashes))
	q.fail(errPoison.Error(), k.RetryAfter())
	return true
}

// onTrial reports whether the request runs although it may crash servers. It is sent once, and soon.
func (q *request) onTrial() bool { return q.sends == 0 && time.Since(q.trialAt) < maxTrialDelay }

// takeTrial reports whether the request was granted a trial, for which it asks once.
func (q *request) takeTrial(ctx context.Context) bool {
	if q.sends > 0 || !q.trialAt.IsZero() || !q.server.TakeTrial(ctx, q.suspect()) {
		return false
	}
	q.trialAt = time.Now()
	q.log("trial")
	return true
}

// mayRunAgain reports whether the request may be sent again after servers broke it off runs times. One that may
// crash servers for the same reason as others is not.
func (q *request) mayRunAgain(runs int) bool {
	return runs < q.route.Attempts && !q.server.Suspects.MayBePoison(q.suspect())
}

// reportBroken reports that a server may have crashed while it ran the request.
func (q *request) reportBroken(a *attempt, t *relay.Server) {
	if a.notRun {
		return
	}
	r := q.suspect()
	if a.reads >= provenReads {
		r.Segments = nil
	}
	q.server.OnBroken(r, t)
}

// reportComplete reports that a server completed its response to the request. The end of one with neither a
// length nor chunks may be that of its server.
func (q *request) reportComplete(a *attempt, t *relay.Server) {
	if !a.response.Framed && a.reads < provenReads {
		q.reportBroken(a, t)
		return
	}
	q.server.OnSuccess(q.suspect())
}

// provesRun reports whether a response of a status shows that the request has run. Servers may send an error before
// it runs, and reject a prompt before they have read it.
func (q *request) provesRun(status int) bool {
	if len(q.meta.SegmentIDs) > 0 {
		return status < http.StatusMultipleChoices
	}
	return status < http.StatusInternalServerError
}

// onEvents reports the progress of an event stream after n reads with events.
func (a *attempt) onEvents(q *request, g *placement.Decision, n int) {
	a.reads = n
	switch n {
	case 1:
		q.reportHead(a, g, placement.RunStarted)
	case provenReads:
		q.server.OnResponse(q.suspect())
	}
}
