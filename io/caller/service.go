package caller

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotspring/core/claim"
	"bergamotspring/core/fleet"
	"bergamotspring/core/limit"
	"bergamotspring/core/outcome"
	"bergamotspring/core/stage"
)

// finishTimeout bounds the recording of a response. Recordings are batched over 200 ms,
// so they complete after the caller has received the response.
const finishTimeout = 30 * time.Second

// maxNotRunWait bounds how long a "not run" response waits for its recording, so that an
// immediate resend with the same key finds the recording.
const maxNotRunWait = 500 * time.Millisecond

// maxLateWait bounds how far that wait may exceed the deadline, since callers give up soon
// after it.
const maxLateWait = 200 * time.Millisecond

// service serves POST /v1/services/{service}/{operation}.
func (s *Server) service(w http.ResponseWriter, r *http.Request) {
	v := s.View()
	if v == nil {
		s.reject(w, r, errNoConfiguration)
		return
	}
	c := v.Services[r.PathValue("service")]
	if c == nil {
		s.reject(w, r, badRequest(http.StatusNotFound, "service", "the service is not declared"))
		return
	}
	op := operationOf(c, r.PathValue("operation"))
	if op == nil {
		s.reject(w, r, badRequest(http.StatusNotFound, "operation", "the operation is not declared"))
		return
	}
	in, err := s.read(w, r, v)
	if err != nil {
		s.reject(w, r, err)
		return
	}
	in.stream = false
	x := s.newRun(r, v, in, v.DeadlineOf(nil, in.timeout), op.Repeatable)
	x.do = func(x *run) ([]byte, *failure) { return x.runService(c, op) }
	s.serve(w, r, x)
}

func operationOf(c *fleet.Service, name string) *fleet.Operation {
	for i := range c.Operations {
		if c.Operations[i].Name == name {
			return &c.Operations[i]
		}
	}
	return nil
}

// runService runs one operation.
func (x *run) runService(c *fleet.Service, op *fleet.Operation) ([]byte, *failure) {
	pool := x.v.Pools[c.Pool]
	st := &stageRun{operation: op.Name, pool: pool, budget: x.remaining()}
	st.whole, st.first, st.gap = x.s.times.quantiles(x.s.now(), pool)
	x.trace.Stages = append(x.trace.Stages, stage.Span{Name: op.Name, Pool: c.Pool, Budget: st.budget})
	t := x.s.now()
	defer func() { x.span(st).Took = x.s.now().Sub(t) }()
	if !op.Repeatable {
		return x.runClaimed(st)
	}
	b, f := x.invoke(st, x.in.body)
	if f != nil {
		return nil, f
	}
	return okResponse(b, 0, false), nil
}

// runClaimed runs a non-idempotent operation: with a key, only after the key was claimed;
// without one, at most once for this request.
func (x *run) runClaimed(st *stageRun) ([]byte, *failure) {
	if x.in.key == "" {
		return x.runOnce(st)
	}
	if x.s.BeginClaim == nil {
		return nil, &failure{cause: stage.CauseClaims}
	}
	v, err := x.s.BeginClaim(x.ctx, x.in.organisation, x.in.key, x.claimHash())
	if x.ctx.Err() != nil && (err != nil || v.Kind != claim.Run) {
		return nil, x.contextFailure()
	}
	if err != nil {
		return nil, &failure{cause: stage.CauseClaims, err: err}
	}
	switch v.Kind {
	case claim.Run:
	case claim.Recorded:
		x.status = orDefault(v.Status, http.StatusOK)
		return v.Response, nil
	case claim.Conflict:
		return nil, overrideFailure(outcome.Conflict, "the operation key was used with another body")
	default:
		return nil, overrideFailure(outcome.Unknown, "an earlier call with this operation key has no recorded outcome")
	}
	st.key = x.keyName()
	b, f := x.runOnce(st)
	x.finishClaim(v.Ticket, b, f)
	return b, f
}

// claimHash binds a key to the operation and the body.
func (x *run) claimHash() uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(x.in.target)
	_, _ = d.WriteString("\x00")
	_, _ = d.Write(x.in.body)
	return d.Sum64()
}

func overrideFailure(o outcome.Outcome, message string) *failure {
	return &failure{override: &RequestError{Outcome: o, Message: message, Ran: o.Ran()}}
}

// finishClaim records the response, or that nothing was sent. If the outcome is unknown,
// the claim remains unchanged.
func (x *run) finishClaim(ticket claim.Ticket, response []byte, f *failure) {
	x.mu.Lock()
	sent := x.sent
	x.mu.Unlock()
	if f != nil && sent || x.s.FinishClaim == nil {
		return
	}
	status := http.StatusOK
	if f != nil {
		status, response = 0, nil
	}
	x.s.addActive()
	done := make(chan struct{})
	go func() {
		defer x.s.leave()
		defer close(done)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), finishTimeout)
		defer cancel()
		x.s.FinishClaim(ctx, x.in.organisation, ticket, status, response, f == nil)
	}()
	if f == nil {
		return
	}
	t := time.NewTimer(min(maxNotRunWait, max(0, x.remaining())+maxLateWait))
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	}
}

// runOnce makes a non-idempotent call. It retries only as long as certainly no byte of
// the call was written.
func (x *run) runOnce(st *stageRun) ([]byte, *failure) {
	var avoid []string
	for attempt := 0; ; attempt++ {
		g, f := x.acquirePermit(x.ctx, st, attempt > 0, avoid)
		if f != nil {
			return nil, f
		}
		avoid = append(avoid, g.permit.Server)
		a, err := x.s.Backend.Invoke(x.ctx, x.newCall(st, g), st.operation, x.in.body)
		res := resultOf(err, a.Service, stage.FirstTimeout(st.whole, st.budget))
		if err == nil && a.Cold {
			res = limit.Cold
		}
		x.finishAttempt(st, g, res, a.Service, len(x.in.body)+len(a.Output), err)
		if err == nil {
			x.s.times.update(st.pool.Name, func(t *poolTimes) { t.whole.Record(x.s.now(), a.Service) })
			return okResponse(a.Output, 0, false), nil
		}
		if x.ctx.Err() != nil {
			return nil, x.contextFailure()
		}
		if wasSent(err) || attempt+1 == maxAttempts {
			return nil, &failure{cause: stage.CauseFailed, err: err}
		}
		x.span(st).Retries++
	}
}

// okResponse returns the body of a successful response that is not streamed.
func okResponse(output []byte, tokens int, counted bool) []byte {
	b := make([]byte, 0, len(output)+48)
	b = append(b, `{"outcome":"ok","output":`...)
	b = append(b, output...)
	if counted {
		b = append(b, `,"tokens":`...)
		b = strconv.AppendInt(b, int64(tokens), 10)
	}
	return append(b, '}')
}
