package proxy

// This file defines calls of plain services: a node picks the server by itself.

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"bergamotspring/core/relay"
	"bergamotspring/io/exchange"
)

const (
	// mostNotRun bounds the servers that are asked after others did not run a request.
	mostNotRun = 3
	// heldAnswer is the size up to which an answer is read whole before the caller
	// gets its head, so that one that is cut off can be replaced.
	heldAnswer = 1 << 20
	// retryBusy is when a request is worth sending again if its servers were full.
	retryBusy = 200 * time.Millisecond
	// attemptShare of the time left is given to one server if another may be asked after
	// it, and no less than attemptMin.
	attemptShare = 0.4
	attemptMin   = 200 * time.Millisecond
	// repeatReserve is the least time left for which a second server is asked.
	repeatReserve = 20 * time.Millisecond
)

// attempt is what came of one send.
type attempt struct {
	response *exchange.Response
	body     []byte // whole, or the beginning if more is set
	more     bool
	notRun   bool // nothing was run
	err      error
	cancel   context.CancelFunc // ends what is left of the attempt; nil: nothing
}

// call serves a request of a plain service.
func (q *request) call(ctx context.Context) {
	s := q.server
	var tried []string
	runs := 0
	for n := 0; ; n++ {
		v := s.View()
		t := s.Balancer.Pick(v, q.service, s.Domain, s.Region, time.Now(), func(x *relay.Server) bool {
			return relay.Allows(q.route, q.org, x.Region)
		}, tried)
		if t == nil {
			q.fail("no server", retryBusy)
			return
		}
		tried = append(tried, t.ID)
		a := q.try(ctx, t, runs)
		if ctx.Err() != nil && a.err != nil {
			q.ended(ctx)
			return
		}
		if !a.notRun {
			runs++
			q.mayRun = true
		}
		if !q.again(a, t, n, runs) {
			q.finish(a, t)
			return
		}
		a.close()
	}
}

// again decides whether a request goes to another server.
func (q *request) again(a *attempt, t *relay.Server, n, runs int) bool {
	good := a.err == nil && !a.notRun && a.response.Status < http.StatusInternalServerError
	if good || n+1 >= mostNotRun || q.left() < repeatReserve {
		return false
	}
	if !a.notRun && (!q.route.Repeatable || runs >= q.route.Attempts) {
		return false
	}
	e := (*exchange.UnsentError)(nil)
	if errors.As(a.err, &e) {
		return true // it did not arrive anywhere
	}
	return q.retry(t)
}

// try sends a request to one server and reads its answer.
func (q *request) try(ctx context.Context, t *relay.Server, runs int) *attempt {
	s := q.server
	done := s.Balancer.Begin(t.ID, time.Now())
	c, cancel := context.WithCancel(ctx)
	late := time.AfterFunc(q.patience(runs), cancel)
	a := q.send(c, t, Upstream{Server: t.ID, Organisation: q.organisation(), Remaining: q.left()})
	a.cancel = cancel // not before the rest of a long answer was read
	if a.err == nil {
		a.read()
	}
	late.Stop()
	left := errors.Is(context.Cause(ctx), context.Canceled)
	failed := a.err != nil && !left || a.err == nil && !a.notRun && a.response.Status >= http.StatusInternalServerError
	done(time.Now(), failed, a.notRun || left)
	if a.err != nil && !left {
		s.Balancer.Backoff(t.ID, time.Now())
		q.broke(a, t)
	}
	if a.moved() {
		s.Balancer.Backoff(t.ID, time.Now())
	}
	if a.err != nil || a.notRun {
		q.log("send_failed", zap.String("server", t.ID), zap.Bool("not_run", a.notRun), zap.Error(a.err))
	}
	return a
}

// patience returns how long one server may take for the part of its answer that is held:
// all the time left, unless another server may be asked after it.
func (q *request) patience(runs int) time.Duration {
	if !q.route.Repeatable || runs+1 >= q.route.Attempts {
		return q.left()
	}
	return max(attemptMin, time.Duration(attemptShare*float64(q.left())))
}

// broke tells that a server may have crashed while it ran the request.
func (q *request) broke(a *attempt, t *relay.Server) {
	if !a.notRun {
		q.server.OnBroken(q.fingerprint(), t)
	}
}

// send sends a request to a server and reads the head of its answer.
func (q *request) send(ctx context.Context, t *relay.Server, x Upstream) *attempt {
	s := q.server
	r, err := s.Pool.Do(ctx, &exchange.Request{
		Address: t.Address, Method: q.method, Target: q.target, Host: q.host, Body: q.body,
		Header: s.Protocol.Write(q.header, x), Echo: s.Protocol.Echo,
	})
	var u *exchange.UnsentError
	if err != nil {
		if !errors.As(err, &u) {
			q.sends++
			q.sentTo = t.ID
		}
		return &attempt{err: err, notRun: u != nil}
	}
	q.sends++
	q.sentTo = t.ID
	return &attempt{response: r, notRun: s.Protocol.NotRun(r.Status, r.Header)}
}

// moved reports whether another server has the address.
func (a *attempt) moved() bool {
	return a.err == nil && a.response.Status == http.StatusMisdirectedRequest
}

// read reads the body of the answer, up to heldAnswer bytes.
func (a *attempt) read() {
	b, err := io.ReadAll(io.LimitReader(a.response.Body, heldAnswer))
	a.body = b
	a.more = err == nil && len(b) == heldAnswer
	if err != nil {
		a.err = err
		a.close()
	}
}

func (a *attempt) close() {
	if a.response != nil {
		_ = a.response.Body.Close() // given up
	}
	if a.cancel != nil {
		a.cancel()
	}
}

// finish ends a request with its last attempt.
func (q *request) finish(a *attempt, t *relay.Server) {
	defer a.close()
	switch {
	case a.err != nil:
		q.fail(a.err.Error(), retryBusy)
	case a.notRun:
		q.fail("not run by servers", retryBusy)
	default:
		q.pass(a, t)
	}
}

// pass gives a server's answer to the caller unchanged.
func (q *request) pass(a *attempt, t *relay.Server) {
	h := q.out.Header()
	for k, l := range q.server.Protocol.Answer(a.response.Header) {
		h[k] = l
	}
	if !a.more {
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	} else if a.response.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(a.response.Length, 10))
	}
	q.started = true
	q.out.WriteHeader(a.response.Status)
	_, err := q.out.Write(a.body)
	if err == nil && a.more {
		_, err = io.Copy(q.out, a.response.Body)
	}
	if err != nil {
		q.fail(err.Error(), 0)
	}
	q.server.OnSuccess(q.fingerprint())
	q.end("answered", a.response.Status < http.StatusInternalServerError, 0, zap.String("server", t.ID), zap.Int("status", a.response.Status))
}

// ended ends a request whose time has passed, or whose caller has left.
func (q *request) ended(ctx context.Context) {
	q.mayRun = q.mayRun || q.sends > 0
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		q.fail("time limit", retryBusy)
		return
	}
	q.end("caller_left", false, 0, q.progress()...)
	panic(http.ErrAbortHandler)
}
