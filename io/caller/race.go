package caller

import (
	"context"
	"slices"
	"sync"
	"time"

	"bergamotspring/core/limit"
	"bergamotspring/core/stage"
)

// race is one repeatable JSON stage under way: one call, a hedge when it is slow, a
// retry when it fails. The first good answer wins and ends the others.
type race struct {
	x      *run
	st     *stageRun
	in     []byte
	ctx    context.Context
	cancel context.CancelFunc
	hedges sync.WaitGroup

	mu     sync.Mutex
	timer  *time.Timer // starts a hedge
	closed bool        // no hedge may start
	tries  int
	avoid  []string // servers that were tried
	won    []byte
	lost   *failure
}

// invoke runs a repeatable JSON stage and returns its output. The first call and
// retries run on the worker; only a hedge needs a goroutine.
func (x *run) invoke(st *stageRun, in []byte) ([]byte, *failure) {
	r := &race{x: x, st: st, in: in, tries: 1}
	r.ctx, r.cancel = context.WithCancel(x.ctx)
	defer r.cancel()
	f := r.try(false)
	for f != nil && f.sent && r.again() {
		x.mu.Lock()
		x.span(st).Retries++
		x.mu.Unlock()
		f = r.try(true)
	}
	r.close()
	r.hedges.Wait()
	if r.won != nil {
		return r.won, nil
	}
	return nil, r.lost
}

// again takes one more try, if there is one and no call has won.
func (r *race) again() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.won != nil || r.tries >= maxTries || r.ctx.Err() != nil {
		return false
	}
	r.tries++
	return true
}

// granted notes the server of a try and plans the next hedge. The delay counts from
// the permit: waiting in a queue is no reason for a hedge.
func (r *race) granted(server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.avoid = append(r.avoid, server)
	if r.closed || r.tries >= maxTries {
		return
	}
	if r.timer == nil {
		r.timer = time.AfterFunc(stage.HedgeDelay(r.st.whole), r.hedge)
		return
	}
	r.timer.Reset(stage.FirstTimeout(r.st.whole, r.st.budget))
}

// hedge runs on the timer's goroutine.
func (r *race) hedge() {
	if !r.again() {
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
	r.try(true)
}

func (r *race) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A failed call waits for the hedges that run; a won race has cancelled them.
	r.closed = true
	if r.timer != nil {
		r.timer.Stop()
	}
}

// try asks for a permit and makes the call.
func (r *race) try(retry bool) *failure {
	x, st := r.x, r.st
	g, f := x.permitElsewhere(r.ctx, st, retry, r.tried())
	if f != nil {
		return r.end(nil, f)
	}
	r.granted(g.permit.Server)
	a, err := x.s.Backend.Invoke(r.ctx, x.call(st, g), st.operation, r.in)
	res := resultOf(err, a.Service, stage.FirstTimeout(st.whole, st.budget))
	if err == nil && a.Cold {
		res = limit.Cold
	}
	x.settle(st, g, res, a.Service, len(r.in)+len(a.Output), err)
	if err == nil {
		x.s.times.update(st.pool.Name, func(t *poolTimes) { t.whole.Record(x.s.now(), a.Service) })
		return r.end(a.Output, nil)
	}
	if x.ctx.Err() != nil {
		return r.end(nil, x.stopped())
	}
	f = r.end(nil, &failure{cause: stage.CauseFailed, err: err, sent: !g.alone || res != limit.Crashed})
	if r.ctx.Err() != nil && a.Service > 0 {
		// Without the calls that lost, hedges would hide the slow part of the times
		// that decide on hedges.
		x.s.times.update(st.pool.Name, func(t *poolTimes) { t.whole.Record(x.s.now(), a.Service) })
	}
	return f
}

// end notes the end of one try and returns its failure.
func (r *race) end(output []byte, f *failure) *failure {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.won != nil:
	case f == nil:
		r.won = output
		r.cancel()
	case r.lost == nil, f.cause == stage.CausePoison, f.cause != stage.CauseFailed && r.x.ctx.Err() != nil:
		r.lost = f
	}
	return f
}

func (r *race) tried() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.avoid)
}

// permitElsewhere asks for a permit of a server that is not in avoid, and if there
// is none, of any server.
func (x *run) permitElsewhere(ctx context.Context, st *stageRun, retry bool, avoid []string) (*grant, *failure) {
	g, f := x.permit(ctx, st, retry, avoid)
	if f != nil && f.cause == stage.CauseNoServer && len(avoid) > 0 && ctx.Err() == nil {
		return x.permit(ctx, st, retry, nil)
	}
	return g, f
}
