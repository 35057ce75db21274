package caller

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"bergamotspring/core/fleet"
	"bergamotspring/core/member"
	"bergamotspring/core/outcome"
	"bergamotspring/core/record"
	"bergamotspring/core/stage"
)

// States of a run.
const (
	runQueued int32 = iota
	runStarted
	runAbandoned // its deadline passed, or its caller disconnected, before a worker was free
)

// run is a request in progress. It is owned by its worker until end is closed, then by
// the goroutine of the connection.
type run struct {
	s          *Server
	v          *fleet.View
	in         *input
	id         string
	ctx        context.Context
	cancel     context.CancelFunc
	deadline   time.Time
	repeatable bool // the operation is idempotent; the declaration calls it repeatable
	do         func(*run) (response []byte, f *failure)
	out        *output // nil: the response is not streamed
	abort      func()  // sets a short write deadline for a slow reader
	state      atomic.Int32
	end        chan struct{}

	response []byte
	status   int
	err      *RequestError

	// mu guards sent and suspect, and the attempts, retries and hedges in trace, while
	// hedges may run.
	mu      sync.Mutex
	sent    bool
	suspect bool // the request must run exclusively
	trace   stage.Trace
}

// failure is the reason why a run or stage did not complete.
type failure struct {
	cause     stage.Cause
	err       error
	retryable bool          // a permit was used and another attempt may succeed
	moved     bool          // no lease holder decided, or no server took work just then; requesting again may succeed
	override  *RequestError // replaces the error that follows from cause
}

func (f *failure) message() string {
	if f.err != nil {
		return f.err.Error()
	}
	return [...]string{
		"", "the deadline passed or cannot be met", "the queues are full", "no server takes the call",
		"a stage failed", "the request crashed servers and is refused", "the caller reads too slowly",
		"the caller left", "operation keys cannot be claimed now",
	}[f.cause]
}

// newRun returns a run with timeout d. If the operation is not repeatable, the run is
// detached from the caller's connection, so that a disconnection does not end it.
func (s *Server) newRun(r *http.Request, v *fleet.View, in *input, d time.Duration, repeatable bool) *run {
	x := &run{s: s, v: v, in: in, id: s.nextID(), repeatable: repeatable, end: make(chan struct{})}
	ctx := r.Context()
	if !repeatable {
		ctx = context.WithoutCancel(ctx)
	}
	n := s.now()
	x.deadline = n.Add(d)
	x.ctx, x.cancel = context.WithTimeout(ctx, d)
	x.status = http.StatusOK
	x.trace = stage.Trace{
		Request: x.id, Organisation: in.organisation, Class: in.class.Name, Target: in.target,
		Version: v.Version, Fingerprint: in.fingerprint(), Key: in.key != "", Started: n,
		Deadline: d, BytesIn: len(in.body), Streamed: in.stream,
	}
	if in.stream {
		x.out = newOutput(orDefault(s.StreamBuffer, DefaultStreamBuffer))
	}
	return x
}

func (x *run) remaining() time.Duration { return x.deadline.Sub(x.s.now()) }

// serve runs x on a worker and sends the response.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, x *run) {
	defer s.bytes.Add(-x.in.reserved)
	defer x.cancel()
	s.record(record.Event{Kind: record.RequestReceived, Request: x.id, Key: x.keyName()})
	w.Header().Set(requestID, x.id)
	c := http.NewResponseController(w)
	x.abort = func() { _ = c.SetWriteDeadline(s.now().Add(grace)) }
	if s.submit(x) {
		x.wait()
	} else {
		x.err = errBusy
		close(x.end)
	}
	x.recordWriteError(r.Context(), x.send(w, c))
	s.finishTrace(x)
}

// recordWriteError changes the outcome of a successful run whose response could not be
// sent because of err.
func (x *run) recordWriteError(caller context.Context, err error) {
	if err == nil || x.err != nil {
		return
	}
	x.err = &RequestError{Outcome: outcome.SlowReader, Ran: outcome.RanWhole, Message: err.Error()}
	if caller.Err() != nil {
		x.err.Outcome = outcome.Cancelled
	}
}

// keyName returns organisation/key, or an empty string without a key.
func (x *run) keyName() string {
	if x.in.key == "" {
		return ""
	}
	return x.in.organisation + "/" + x.in.key
}

// wait blocks until the run has ended, has a first event to send, or its context has
// ended. A run that is still queued then is abandoned.
func (x *run) wait() {
	var wake chan struct{}
	if x.out != nil {
		wake = x.out.wake
	}
	select {
	case <-x.end:
	case <-wake:
	case <-x.ctx.Done():
		if x.state.CompareAndSwap(runQueued, runAbandoned) {
			x.fail(x.contextFailure())
			close(x.end)
		}
	}
}

// send sends the response or the events of the run. It returns the first write error.
func (x *run) send(w http.ResponseWriter, c *http.ResponseController) error {
	if x.out == nil {
		<-x.end
	} else if !x.out.started() {
		select {
		case <-x.end:
		case <-x.out.wake:
		}
	}
	if x.out != nil && x.out.started() {
		startStream(w, c, x.deadline.Add(grace))
		err := x.out.writeTo(w, c, x.end)
		if err != nil {
			x.cancel()
			<-x.end
		}
		x.trace.BytesOut = x.out.total
		return err
	}
	_ = c.SetWriteDeadline(x.s.now().Add(bodyTimeout)) // not supported by test recorders
	if x.err != nil {
		return writeError(w, x.err)
	}
	x.trace.BytesOut = len(x.response)
	return writeJSON(w, x.status, x.response)
}

// work runs x on a worker.
func (x *run) work() {
	if !x.state.CompareAndSwap(runQueued, runStarted) {
		return
	}
	defer close(x.end)
	defer x.recover()
	response, f := x.runChecked()
	if f != nil {
		x.fail(f)
		return
	}
	x.response = response
	if x.out != nil {
		x.out.done(x.trace.Tokens)
	}
}

// recover converts a panic in one request to a failure of that request, so that others
// continue. The request counts as sent, since it is unknown what was sent before.
func (x *run) recover() {
	p := recover()
	if p == nil {
		return
	}
	x.s.Log.Error("panic", zap.String("request", x.id), zap.Any("value", p), zap.Stack("stack"))
	x.mu.Lock()
	x.sent = true
	x.mu.Unlock()
	x.fail(&failure{cause: stage.CauseFailed, err: errInternal})
}

var errInternal = errors.New("internal error")

// runChecked refuses a poison request and runs any other.
func (x *run) runChecked() ([]byte, *failure) {
	if x.ctx.Err() != nil {
		return nil, x.contextFailure()
	}
	if x.s.SuspectState != nil {
		switch x.s.SuspectState(x.trace.Fingerprint) {
		case member.Poison:
			return nil, &failure{cause: stage.CausePoison}
		case member.Suspected:
			x.suspect = true
		}
	}
	return x.do(x)
}

// contextFailure returns the failure of a run whose context ended.
func (x *run) contextFailure() *failure {
	if errors.Is(x.ctx.Err(), context.DeadlineExceeded) {
		return &failure{cause: stage.CauseDeadline}
	}
	return &failure{cause: stage.CauseCancelled}
}

// fail ends the run with f.
func (x *run) fail(f *failure) {
	x.mu.Lock()
	sent := x.sent
	x.mu.Unlock()
	x.err = f.override
	if x.err == nil {
		o := stage.Outcome(f.cause, sent, x.repeatable)
		x.err = &RequestError{Outcome: o, Message: f.message(), Ran: stage.Ran(o, sent)}
	}
	if x.out != nil && x.out.started() {
		x.out.fail(x.err)
	}
	if f.cause == stage.CauseSlowReader {
		x.abort()
	}
}

// pipeline serves POST /v1/pipelines/{pipeline}.
func (s *Server) pipeline(w http.ResponseWriter, r *http.Request) {
	v := s.View()
	if v == nil {
		s.reject(w, r, errNoConfiguration)
		return
	}
	p := v.Pipelines[r.PathValue("pipeline")]
	if p == nil {
		s.reject(w, r, badRequest(http.StatusNotFound, "pipeline", "the pipeline is not declared"))
		return
	}
	in, err := s.read(w, r, v)
	if err != nil {
		s.reject(w, r, err)
		return
	}
	if in.stream && p.Stages[len(p.Stages)-1].Kind != fleet.Generate {
		s.bytes.Add(-in.reserved)
		s.reject(w, r, badRequest(http.StatusBadRequest, "Accept", "the last stage of the pipeline gives no tokens"))
		return
	}
	x := s.newRun(r, v, in, v.DeadlineOf(p, in.timeout), true)
	x.do = func(x *run) ([]byte, *failure) { return x.runPipeline(p) }
	s.serve(w, r, x)
}

// reject ends a request that is refused before it becomes a run.
func (s *Server) reject(w http.ResponseWriter, r *http.Request, err *RequestError) {
	x := &run{s: s, err: err, in: &input{}}
	x.trace = stage.Trace{Request: s.nextID(), Target: strings.TrimPrefix(r.URL.Path, "/v1/"), Started: s.now()}
	w.Header().Set(requestID, x.trace.Request)
	_ = writeError(w, err) // fails if the caller has disconnected
	s.finishTrace(x)
}

// runPipeline runs the stages of p. The output of each is the input of the next.
func (x *run) runPipeline(p *fleet.Pipeline) ([]byte, *failure) {
	b := x.in.body
	for i := range p.Stages {
		st, f := x.enterStage(p, i)
		if f != nil {
			return nil, f
		}
		t := x.s.now()
		if st.kind == fleet.Generate {
			b, f = x.generate(st, b, i == len(p.Stages)-1)
		} else {
			b, f = x.invoke(st, b)
		}
		x.span(st).Took = x.s.now().Sub(t)
		if f != nil {
			return nil, f
		}
	}
	return okResponse(b, x.trace.Tokens, p.Stages[len(p.Stages)-1].Kind == fleet.Generate), nil
}

// probeEvery is the share of requests with too little time that run all the same: one
// in probeEvery. Without these probes the measured times could never decrease again.
const probeEvery = 16

// enterStage prepares stage i: its budget, and the time to reserve for later stages.
func (x *run) enterStage(p *fleet.Pipeline, i int) (*stageRun, *failure) {
	if x.ctx.Err() != nil {
		return nil, x.contextFailure()
	}
	n := x.s.now()
	rest := make([]stage.Quantiles, 0, 8)
	for _, t := range p.Stages[i:] {
		rest = append(rest, x.s.times.measured(n, x.v.Pools[t.Pool]))
	}
	remaining := x.remaining()
	if !stage.CanFinish(remaining, rest) && x.s.probes.Add(1)%probeEvery != 0 {
		return nil, &failure{cause: stage.CauseDeadline}
	}
	t := &p.Stages[i]
	pool := x.v.Pools[t.Pool]
	st := &stageRun{
		kind: t.Kind, operation: string(t.Kind), pool: pool, maxTokens: t.MaxTokens,
		budget: stage.Budget(remaining, rest), after: stage.MedianTotal(rest[1:]), index: len(x.trace.Stages),
	}
	st.whole, st.first, st.gap = x.s.times.quantiles(n, pool)
	x.trace.Stages = append(x.trace.Stages, stage.Span{Name: t.Name, Pool: t.Pool, Budget: st.budget})
	return st, nil
}

func (x *run) span(st *stageRun) *stage.Span { return &x.trace.Stages[st.index] }
