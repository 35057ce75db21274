package caller

import (
	"context"
	"slices"
	"sync"
	"time"

	"bergamotspring/core/limit"
	"bergamotspring/core/stage"
)

// hedgedCall is an idempotent JSON stage in progress: one call, a hedge if it is slow, a
// retry if it fails. The first successful response is used; it cancels the other calls.
type hedgedCall struct {
	x      *run
	st     *stageRun
	in     []byte
	ctx    context.Context
	cancel context.CancelFunc
	hedges sync.WaitGroup

	mu       sync.Mutex
	timer    *time.Timer // starts a hedge
	closed   bool        // no hedge may start
	attempts int
	avoid    []string // servers of earlier attempts
	output   []byte
	failure  *failure
}

// invoke runs an idempotent JSON stage and returns its output. The first call and
// retries run on the worker; only a hedge needs another goroutine.
func (x *run) invoke(st *stageRun, in []byte) ([]byte, *failure) {
	r := &hedgedCall{x: x, st: st, in: in, attempts: 1}
	r.ctx, r.cancel = context.WithCancel(x.ctx)
	defer r.cancel()
	f := r.attempt(false)
	for f != nil && f.retryable && r.takeAttempt() {
		x.mu.Lock()
		x.span(st).Retries++
		x.mu.Unlock()
		f = r.attempt(true)
	}
	r.close()
	r.hedges.Wait()
	if r.output != nil {
		return r.output, nil
	}
	return nil, r.failure
}

// takeAttempt counts a further attempt. It reports false if there is none left or a call
// has succeeded.
func (r *hedgedCall) takeAttempt() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.output != nil || r.attempts >= maxAttempts || r.ctx.Err() != nil {
		return false
	}
	r.attempts++
	return true
}

// onPermit records the server of an attempt and schedules the next hedge. The delay
// starts with the permit: waiting in a queue is no reason for a hedge. The first hedge
// follows after HedgeDelay; each later attempt sets the timer anew, to FirstTimeout.
func (r *hedgedCall) onPermit(server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.avoid = append(r.avoid, server)
	if r.closed || r.attempts >= maxAttempts {
		return
	}
	if r.timer == nil {
		r.timer = time.AfterFunc(stage.HedgeDelay(r.st.whole), r.hedge)
		return
	}
	r.timer.Reset(stage.FirstTimeout(r.st.whole, r.st.budget))
}

// hedge runs on the timer's goroutine.
func (r *hedgedCall) hedge() {
	if !r.takeAttempt() {
		return
	}
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		return
	}
	r.hedges.Add(1)
	r.mu.Unlock()
	defer r.hedges.Done()
	r.x.mu.Lock()
	r.x.span(r.st).Hedges++
	r.x.mu.Unlock()
	r.attempt(true)
}

func (r *hedgedCall) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	// invoke then waits for running hedges: after a success they have been cancelled,
	// otherwise one of them may still succeed.
	r.closed = true
	if r.timer != nil {
		r.timer.Stop()
	}
}

// attempt acquires a permit and makes the call. retry is also set for hedges.
func (r *hedgedCall) attempt(retry bool) *failure {
	x, st := r.x, r.st
	g, f := x.acquirePermitElsewhere(r.ctx, st, retry, r.triedServers())
	if f != nil {
		return r.onEnd(nil, f)
	}
	r.onPermit(g.permit.Server)
	a, err := x.s.Backend.Invoke(r.ctx, x.newCall(st, g), st.operation, r.in)
	res := resultOf(err, a.Service, stage.FirstTimeout(st.whole, st.budget))
	if err == nil && a.Cold {
		res = limit.Cold
	}
	x.finishAttempt(st, g, res, a.Service, len(r.in)+len(a.Output), err)
	if err == nil {
		x.s.times.update(st.pool.Name, func(t *poolTimes) { t.whole.Record(x.s.now(), a.Service) })
		return r.onEnd(a.Output, nil)
	}
	if x.ctx.Err() != nil {
		return r.onEnd(nil, x.contextFailure())
	}
	f = r.onEnd(nil, &failure{cause: stage.CauseFailed, err: err, retryable: !g.exclusive || res != limit.Crashed})
	if r.ctx.Err() != nil && a.Service > 0 {
		// Calls that were cancelled in favour of a faster one are recorded too. Otherwise
		// hedges would hide the slow calls from the times that the hedge delay is based on.
		x.s.times.update(st.pool.Name, func(t *poolTimes) { t.whole.Record(x.s.now(), a.Service) })
	}
	return f
}

// onEnd records the end of an attempt and returns its failure.
func (r *hedgedCall) onEnd(output []byte, f *failure) *failure {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.output != nil:
	case f == nil:
		r.output = output
		r.cancel()
	case r.failure == nil, f.cause == stage.CausePoison, f.cause != stage.CauseFailed && r.x.ctx.Err() != nil:
		r.failure = f
	}
	return f
}

func (r *hedgedCall) triedServers() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.avoid)
}

// acquirePermitElsewhere acquires a permit for a server that is not in avoid or, if there
// is none, for any server.
func (x *run) acquirePermitElsewhere(ctx context.Context, st *stageRun, retry bool, avoid []string) (*grant, *failure) {
	g, f := x.acquirePermit(ctx, st, retry, avoid)
	if f != nil && f.cause == stage.CauseNoServer && len(avoid) > 0 && ctx.Err() == nil {
		return x.acquirePermit(ctx, st, retry, nil)
	}
	return g, f
}
