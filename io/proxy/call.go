package proxy

// This file defines requests to plain services, for which the node itself picks a server.

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"bergamotspring/core/relay"
	"bergamotspring/io/exchange"
)

const (
	// maxServers bounds the servers that one request is sent to.
	maxServers = 3
	// retryAfterBusy is the Retry-After of refusals: after it, a request is worth sending
	// again if its servers were full. Poison requests and a node that starts have their
	// own; the region coordinator may set a longer one.
	retryAfterBusy = 200 * time.Millisecond
	// attemptShare is the share of the remaining time that one attempt gets if another
	// may follow it, with minAttemptTime as the lower bound.
	attemptShare   = 0.4
	minAttemptTime = 200 * time.Millisecond
	// minRetryTime is the least remaining time for which a request is retried.
	minRetryTime = 20 * time.Millisecond
)

var errNoStamp = errors.New("success without the server's stamp")

// attempt is the result of sending a request to one server.
type attempt struct {
	response *exchange.Response
	chunks   [][]byte  // the whole body, or the first part of it if hasMore is set
	buffered int       // bytes that chunks had
	delivery *delivery // that counts chunks
	hasMore  bool
	notRun   bool // the request was certainly not run
	reads    int  // of an event stream, with at least one event
	err      error
	cancel   context.CancelFunc // cancels the rest of the attempt; nil if there is none
}

// call serves a request for a plain service.
func (q *request) call(ctx context.Context) {
	var tried []string
	runs := 0
	for n := 0; ; n++ {
		if n > 0 && q.refusePoison(ctx, nil) {
			return
		}
		t := q.pick(tried)
		if t == nil && q.fallBack() {
			t = q.pick(tried)
		}
		if t == nil {
			q.fail("no server", q.retryAfter())
			return
		}
		tried = append(tried, t.ID)
		if !q.server.Balancer.TakeCold(q.server.View(), t, time.Now()) {
			continue // another request got there first
		}
		a := q.try(ctx, t, runs)
		if ctx.Err() != nil && a.err != nil {
			q.contextEnded(ctx)
			return
		}
		if !a.notRun {
			runs++
			q.mayHaveRun = true
		}
		q.nextRule(a.unsent())
		if !q.shouldRetry(a, tried, runs) || !q.takeRetry(a, t) {
			q.finish(ctx, a, t)
			return
		}
		a.close()
	}
}

// pick returns the server that a request is sent to next, nil if there is none.
func (q *request) pick(tried []string) *relay.Server {
	s := q.server
	if len(q.rule.Focus) > 0 {
		preferred := func(t *relay.Server) bool { return q.rule.Prefers(t.ID) && q.allows(t) }
		if t := s.Balancer.Pick(s.View(), q.service, q.route.Name, s.Domain, s.Region, time.Now(), preferred, tried); t != nil {
			return t
		}
	}
	return s.Balancer.Pick(s.View(), q.service, q.route.Name, s.Domain, s.Region, time.Now(), q.allows, tried)
}

// shouldRetry decides whether a request is worth sending to another server, and allowed to be.
func (q *request) shouldRetry(a *attempt, tried []string, runs int) bool {
	good := a.err == nil && !a.notRun && a.response.Status < http.StatusInternalServerError
	if good || len(tried) >= maxServers || q.remaining() < minRetryTime {
		return false
	}
	if !a.notRun && (!q.route.Repeatable || !q.mayRunAgain(runs)) {
		return false
	}
	return q.pick(tried) != nil
}

// takeRetry takes a retry from the budget, unless no server received the request.
func (q *request) takeRetry(a *attempt, t *relay.Server) bool {
	return a.unsent() || q.retry(t)
}

// try sends a request to one server and reads its response.
func (q *request) try(ctx context.Context, t *relay.Server, runs int) *attempt {
	s := q.server
	began := time.Now()
	end := s.Balancer.Begin(t.ID, q.route.Name, began)
	q.beginAttempt(t)
	c, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(q.attemptTimeout(runs), cancel)
	a := q.send(c, t, Upstream{Server: t.ID, Organisation: q.organisation(), Remaining: q.remaining()})
	a.cancel = cancel // not before the rest of a long response was read
	if a.err == nil {
		q.readPlain(a)
	}
	timer.Stop()
	disconnected := errors.Is(context.Cause(ctx), context.Canceled)
	if d := s.HoldOff(t); a.notRun && d > 0 {
		s.Balancer.Pause(t.ID, time.Now(), d)
	}
	failed := a.err != nil && !disconnected || a.err == nil && !a.notRun && a.response.Status >= http.StatusInternalServerError
	end(time.Now(), failed, a.notRun || disconnected)
	q.observePlain(a, t, began, disconnected)
	if a.err != nil && !disconnected && !errors.Is(a.err, relay.ErrHeldOff) {
		s.Balancer.Backoff(t.ID, time.Now())
		q.reportBroken(a, t)
	}
	if a.moved() {
		s.Balancer.Backoff(t.ID, time.Now())
	}
	if a.err != nil || a.notRun {
		q.log("send_failed", zap.String("server", t.ID), zap.Bool("not_run", a.notRun), zap.Error(a.err))
	}
	return a
}

// readPlain reads the first part of a response. A body that must not run twice is not sent again after one.
func (q *request) readPlain(a *attempt) {
	if !a.notRun && !q.route.Repeatable {
		q.dropBody()
	}
	q.buffer(a)
}

// attemptTimeout returns how long one server may take for the buffered part of its
// response: all of the remaining time, unless another attempt may follow.
func (q *request) attemptTimeout(runs int) time.Duration {
	if !q.route.Repeatable || runs+1 >= q.route.Attempts {
		return q.remaining()
	}
	return max(minAttemptTime, time.Duration(attemptShare*float64(q.remaining())))
}

// send sends a request to a server and reads its response header.
func (q *request) send(ctx context.Context, t *relay.Server, x Upstream) *attempt {
	s := q.server
	q.bodyUses.Add(1)
	r, err := s.Pool.Do(ctx, &exchange.Request{
		Address: t.Address, Method: q.method, Target: q.target, Host: q.host, Body: q.body, OnWritten: q.releaseBody,
		Header: s.Protocol.Write(q.header, x), Echo: s.Protocol.Echo,
		Guard: s.Guard(t),
	})
	var u *exchange.UnsentError
	if err != nil {
		if !errors.As(err, &u) {
			q.sends++
			q.lastServer = t.ID
		}
		return &attempt{err: err, notRun: u != nil}
	}
	q.sends++
	q.lastServer = t.ID
	if r.Status/100 == 2 && r.Header.Get(s.Protocol.Stamp) == "" {
		_ = r.Body.Close() // nothing in it is used
		return &attempt{err: errNoStamp}
	}
	return &attempt{response: r, notRun: s.Protocol.NotRun(r.Status, r.Header)}
}

// moved reports whether another server answered at the address.
func (a *attempt) moved() bool {
	return a.err == nil && a.response.Status == http.StatusMisdirectedRequest
}

// length returns the length of the body in bytes, -1 if unknown. The response to a HEAD request has the length of
// a body that is not sent.
func (a *attempt) length(method string) int64 {
	if a.hasMore || method == http.MethodHead {
		return a.response.Length
	}
	return int64(a.buffered)
}

func (a *attempt) close() {
	for len(a.chunks) > 0 {
		a.dropChunk()
	}
	if a.response != nil {
		_ = a.response.Body.Close() // the rest is discarded
	}
	if a.cancel != nil {
		a.cancel()
	}
}

// finish ends a request with its last attempt.
func (q *request) finish(ctx context.Context, a *attempt, t *relay.Server) {
	defer a.close()
	switch {
	case a.err != nil:
		q.fail(a.err.Error(), retryAfterBusy)
	case a.notRun:
		q.fail("not run by servers", q.retryAfter())
	default:
		q.forward(ctx, a, t)
	}
}

// notRunStatuses are those that callers take for a statement that the request did not and will not run.
var notRunStatuses = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// misleads reports whether the status of a response says that the request did not run, which its server
// did not state, and the caller would send it again although it must not run twice.
func (q *request) misleads(a *attempt) bool {
	return !a.notRun && !q.route.Repeatable && !q.route.Resumable && slices.Contains(notRunStatuses, a.response.Status)
}

// forward sends a server's response to the caller unchanged, unless it misleads.
func (q *request) forward(ctx context.Context, a *attempt, t *relay.Server) {
	if q.misleads(a) {
		q.mayHaveRun = true
		q.fail("server did not state that it did not run the request", 0)
		return
	}
	h := q.out.Header()
	for k, l := range q.server.Protocol.ResponseHeader(a.response.Header) {
		h[k] = l
	}
	if n := a.length(q.method); n >= 0 {
		h.Set("Content-Length", strconv.FormatInt(n, 10))
	}
	q.headerSent = true
	q.ending.begin(h)
	q.out.WriteHeader(a.response.Status)
	q.dropBody()
	err := q.forwardBody(ctx, a, t)
	if err == nil {
		err = q.ending.complete(q.out)
	}
	if err == nil {
		err = q.delivery.complete()
	}
	if err != nil {
		q.fail(err.Error(), 0)
	}
	good := a.response.Status < http.StatusInternalServerError
	if q.provesRun(a.response.Status) {
		q.reportComplete(a, t)
	}
	q.end("answered", good, 0, zap.String("server", t.ID), zap.Int("status", a.response.Status))
}

// forwardBody sends the body of a response to the caller. A server that breaks off a long one may have crashed, unless
// it was not read.
func (q *request) forwardBody(ctx context.Context, a *attempt, t *relay.Server) error {
	err := q.forwardBuffered(a)
	if err != nil || !a.hasMore {
		return err
	}
	broken, err := q.forwardRest(a)
	failed := broken != nil && ctx.Err() == nil && !q.cutOff(t)
	if failed {
		q.server.Balancer.Backoff(t.ID, time.Now())
		q.reportBroken(a, t)
	}
	if failed || broken == nil {
		q.observe(t, q.long.began, failed || a.response.Status >= http.StatusInternalServerError, q.long.took, 0)
	}
	return err
}

// contextEnded ends a request whose deadline passed or whose caller disconnected, or because the
// process is about to end.
func (q *request) contextEnded(ctx context.Context) {
	q.mayHaveRun = q.mayHaveRun || q.sends > 0
	if errors.Is(context.Cause(ctx), errStopping) {
		q.fail(errStopping.Error(), retryAfterBusy)
		return
	}
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		q.fail("time limit", retryAfterBusy)
		return
	}
	q.end("caller_left", false, 0, q.progress()...)
	panic(http.ErrAbortHandler)
}
