package caller

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bergamotspring/core/claim"
	"bergamotspring/core/limit"
	"bergamotspring/core/outcome"
	"bergamotspring/io/standin"
)

// once returns a fault for the first call only.
func once[C any](f standin.Fault) func(C) standin.Fault {
	var o sync.Once
	return func(C) (g standin.Fault) {
		o.Do(func() { g = f })
		return g
	}
}

func withFixture(f func(t *testing.T, w *fixture)) func(*testing.T) {
	return func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newFixture(t)
			f(t, w)
			w.close()
			time.Sleep(time.Minute) // delayed responses of stand-ins must end before the synctest bubble does
		})
	}
}

// wantReleases compares the results of all releases, without those that are limit.Good.
func (w *fixture) wantReleases(want ...limit.Result) {
	w.t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	var got []limit.Result
	for _, r := range w.released {
		got = append(got, r.Result)
	}
	isGood := func(r limit.Result) bool { return r == limit.Good }
	if got, want := slices.DeleteFunc(got, isGood), slices.DeleteFunc(want, isGood); !slices.Equal(got, want) {
		w.t.Errorf("releases = %v, want %v", got, want)
	}
}

// wantStream compares a stream with the first tokens of the response to "why", and its last event.
func (w *fixture) wantStream(got result, tokens int, last string) {
	w.t.Helper()
	if want := standin.Text("why", tokens); got.text != want || got.last != last || got.err != nil {
		w.t.Errorf("stream = %+v, want %q and %s", got, want, last)
	}
}

// wantOneCancel waits until all goroutines are blocked, and expects one cancelled call at the model servers.
func (w *fixture) wantOneCancel() {
	w.t.Helper()
	synctest.Wait()
	if got := w.engines[0].Cancels() + w.engines[1].Cancels(); got != 1 {
		w.t.Errorf("cancelled calls = %d, want 1", got)
	}
}

// Guards against a stream that fails because of a fault of one model server, or that
// duplicates or omits tokens after it was resumed.
func TestStreamSurvivesFaults(t *testing.T) {
	for name, c := range map[string]struct {
		fault standin.Fault
		want  limit.Result
	}{
		"crossed":   {standin.Fault{Kind: standin.CrossedID, At: 7}, limit.Failed},
		"truncated": {standin.Fault{Kind: standin.Truncated, At: 7}, limit.Crashed},
		"skipped":   {standin.Fault{Kind: standin.Skipped, At: 7}, limit.Failed},
		"no end":    {standin.Fault{Kind: standin.NoEnd}, limit.Failed},
		"silent":    {standin.Fault{Kind: standin.SilentAt, At: 7}, limit.Silent},
		"late":      {standin.Fault{Kind: standin.Late, At: 7, Delay: time.Second}, limit.Silent},
		"crash":     {standin.Fault{Kind: standin.CrashAt, At: 7}, limit.Crashed},
		"error":     {standin.Fault{Kind: standin.ErrorResponse}, limit.Failed},
		"doubled":   {standin.Fault{Kind: standin.Doubled, At: 7}, limit.Good},
	} {
		t.Run(name, withFixture(func(t *testing.T, w *fixture) {
			f := once[standin.Completion](c.fault)
			w.engines[0].Fault, w.engines[1].Fault = f, f
			got := w.sse("pipelines/say", `"why"`)
			w.wantStream(got, 20, "done")
			w.wantReleases(c.want)
			if s := <-w.traces; s.Outcome != outcome.OK || s.Stages[0].Tokens != 20 {
				t.Errorf("trace = %+v", s)
			}
		}))
	}
}

// Guards against a request that fails because open connections stop delivering data
// in the middle of a stream.
func TestSilentConnection(t *testing.T) {
	withFixture(func(t *testing.T, w *fixture) {
		go func() {
			time.Sleep(120 * time.Millisecond)
			w.net.Silence(standin.To("llm1"))
			w.net.Silence(standin.To("llm2"))
		}()
		got := w.sse("pipelines/say", `"why"`)
		w.wantStream(got, 20, "done")
	})(t)
}

// Guards against a slow or silent server that delays an idempotent stage, and against a
// hedge that counts as a failure.
func TestHedge(t *testing.T) {
	withFixture(func(t *testing.T, w *fixture) {
		f := once[standin.Call](standin.Fault{Kind: standin.Late, Delay: 3 * time.Second})
		for _, s := range w.pools["encode"] {
			s.Fault = func(_ string, c standin.Call) standin.Fault { return f(c) }
		}
		start := time.Now()
		got := w.post(context.Background(), "pipelines/search", `"x"`)
		if took := time.Since(start); got.status != 200 || took > 100*time.Millisecond {
			t.Errorf("response = %+v after %v", got, took)
		}
		s := <-w.traces
		if st := s.Stages[0]; st.Hedges != 1 || st.Retries != 0 || len(st.Attempts) != 2 {
			t.Errorf("stage = %+v, want one hedge", st)
		}
		w.wantReleases(limit.Abandoned)
	})(t)
}

// Guards against a caller that does not read its stream and so occupies memory or a
// model server.
func TestSlowReader(t *testing.T) {
	withFixture(func(t *testing.T, w *fixture) {
		w.node.StreamBuffer = 200
		c, err := w.net.Dial(t.Context(), "", "node:80")
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		w.node.Backend.Clock = w.node.Clock
		for _, e := range w.engines {
			e.Gap = 0
		}
		// The caller's connection buffers 64 KiB, so the response has to be longer.
		w.node.View().Pipelines["say"].Stages[0].MaxTokens = 20000
		_, _ = c.Write([]byte("POST /v1/pipelines/say HTTP/1.1\r\nHost: n\r\nX-Organisation: org\r\n" +
			"Accept: text/event-stream\r\nContent-Length: 5\r\n\r\n\"why\""))
		if s := <-w.traces; s.Outcome != outcome.SlowReader || s.Total > 2*time.Second {
			t.Errorf("outcome = %v after %v, want slow_reader", s.Outcome, s.Total)
		}
		w.wantOneCancel()
	})(t)
}

// Guards against a model server that continues to work for a disconnected caller.
func TestCallerDisconnects(t *testing.T) {
	withFixture(func(t *testing.T, w *fixture) {
		ctx, cancel := context.WithTimeout(context.Background(), 150*time.Millisecond)
		defer cancel()
		w.post(ctx, "pipelines/say", `"why"`, "Accept", "text/event-stream")
		s := <-w.traces
		if s.Outcome != outcome.Cancelled || s.Total > 200*time.Millisecond {
			t.Errorf("outcome = %v after %v, want cancelled", s.Outcome, s.Total)
		}
		w.wantOneCancel()
	})(t)
}

// Guards against a caller who disconnects from a sound stream that lasts longer than a server may be
// silent, and counts against the server.
func TestDisconnectFromLongStream(t *testing.T) {
	withFixture(func(t *testing.T, w *fixture) {
		w.node.View().Pipelines["say"].Stages[0].MaxTokens = 20000
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		defer cancel()
		w.post(ctx, "pipelines/say", `"why"`, "Accept", "text/event-stream", "X-Timeout", "30s")
		if s := <-w.traces; s.Outcome != outcome.Cancelled || s.Total < 3*time.Second {
			t.Errorf("outcome = %v after %v, want cancelled when the caller left", s.Outcome, s.Total)
		}
		synctest.Wait()
		w.wantReleases(limit.Abandoned)
	})(t)
}

// Guards against a drain that truncates a stream or accepts new requests.
func TestDrain(t *testing.T) {
	withFixture(func(t *testing.T, w *fixture) {
		streams := make(chan result, 8)
		for range 8 {
			go func() { streams <- w.sse("pipelines/say", `"why"`) }()
		}
		time.Sleep(100 * time.Millisecond)
		done := w.node.Drain()
		if got := w.post(context.Background(), "pipelines/say", `"why"`); got.status != 503 || !strings.Contains(got.body, `"draining"`) {
			t.Errorf("request during drain = %+v", got)
		}
		select {
		case <-done:
			t.Error("drained with streams running")
		default:
		}
		<-done
		for range 8 {
			w.wantStream(<-streams, 20, "done")
		}
	})(t)
}

// Guards against reporting "not run" after something ran, or the reverse.
func TestOutcomes(t *testing.T) {
	refuse := func(pool string, r limit.Refusal) func(limit.Request) error {
		return func(a limit.Request) error {
			if a.Group.Pool == pool {
				return &limit.RefusedError{Group: a.Group, Reason: r}
			}
			return nil
		}
	}
	for name, c := range map[string]struct {
		refuse  func(limit.Request) error
		fault   standin.FaultKind // of every call of the filing pool
		path    string
		timeout string
		want    string
		runs    int // calls that the filing pool ran
	}{
		"full at the first stage":     {refuse: refuse("encode", limit.RefusedFull), path: "pipelines/hints", want: "shed not_run true"},
		"no server":                   {refuse: refuse("encode", limit.RefusedNoServer), path: "pipelines/hints", want: "unavailable not_run true"},
		"deadline at the first stage": {refuse: refuse("encode", limit.RefusedDeadline), path: "pipelines/hints", want: "deadline_not_run not_run true"},
		"poison":                      {refuse: refuse("encode", limit.RefusedPoison), path: "pipelines/hints", want: "poison not_run false"},
		"full at the second stage":    {refuse: refuse("retrieve", limit.RefusedFull), path: "pipelines/hints", want: "stage_failed partly true"},
		"deadline at the last stage":  {refuse: refuse("llm", limit.RefusedDeadline), path: "pipelines/hints", want: "deadline_partial partly true"},
		"too little time":             {path: "pipelines/hints", timeout: "1ms", want: "deadline_not_run not_run true"},
		"non-idempotent, no server":   {refuse: refuse("filing", limit.RefusedNoServer), path: "services/filing/submit", want: "unavailable not_run true"},
		"non-idempotent, crash":       {fault: standin.CrashAt, path: "services/filing/submit", want: "outcome_unknown unknown false", runs: 1},
		"non-idempotent, error":       {fault: standin.ErrorResponse, path: "services/filing/submit", want: "outcome_unknown unknown false", runs: 1},
		"non-idempotent, silent":      {fault: standin.SilentAt, path: "services/filing/submit", want: "outcome_unknown unknown false", runs: 1},
		"repeatable, error":           {fault: standin.ErrorResponse, path: "services/filing/status", want: "stage_failed partly true", runs: 3},
	} {
		t.Run(name, withFixture(func(t *testing.T, w *fixture) {
			w.refuse = c.refuse
			var mu sync.Mutex
			runs := 0
			for _, s := range w.pools["filing"] {
				s.Fault = func(string, standin.Call) standin.Fault {
					mu.Lock()
					defer mu.Unlock()
					runs++
					return standin.Fault{Kind: c.fault}
				}
			}
			var h []string
			if c.timeout != "" {
				h = []string{"X-Timeout", c.timeout}
			}
			got := w.post(context.Background(), c.path, `"x"`, h...)
			f := strings.Fields(c.want)
			for _, want := range []string{`"outcome":"` + f[0] + `"`, `"ran":"` + f[1] + `"`, `"resend":` + f[2]} {
				if !strings.Contains(got.body, want) {
					t.Errorf("response = %+v, want %s", got, want)
				}
			}
			mu.Lock()
			defer mu.Unlock()
			if runs != c.runs {
				t.Errorf("runs = %d, want %d", runs, c.runs)
			}
		}))
	}
}

// Guards against a non-idempotent call that runs without a claim or twice, and against a
// claim that is finished with a wrong result.
func TestClaims(t *testing.T) {
	for name, c := range map[string]struct {
		verdict  claim.Verdict
		err      error
		refuse   bool
		want     string
		runs     int
		finished string
	}{
		"claimed":       {verdict: claim.Verdict{Kind: claim.Run, Ticket: claim.Ticket{Token: "t"}}, want: `{"outcome":"ok","output":1}`, runs: 1, finished: `t {"outcome":"ok","output":1} true`},
		"no permit":     {verdict: claim.Verdict{Kind: claim.Run, Ticket: claim.Ticket{Token: "t"}}, refuse: true, want: `"ran":"not_run"`, finished: "t  false"},
		"recorded":      {verdict: claim.Verdict{Kind: claim.Recorded, Response: []byte(`{"a":1}`)}, want: `{"a":1}`},
		"unknown":       {verdict: claim.Verdict{Kind: claim.Unknown}, want: `"outcome_unknown"`},
		"another body":  {verdict: claim.Verdict{Kind: claim.Conflict}, want: `"conflict"`},
		"table is down": {err: &claim.RefusedError{Cause: errors.New("down")}, want: `"unavailable"`},
	} {
		t.Run(name, withFixture(func(t *testing.T, w *fixture) {
			finished := ""
			w.node.BeginClaim = func(_ context.Context, o, k string, _ uint64) (claim.Verdict, error) {
				if o != "org" || k != "k1" {
					t.Errorf("claim = %s/%s", o, k)
				}
				return c.verdict, c.err
			}
			w.node.FinishClaim = func(_ context.Context, _ string, ticket claim.Ticket, _ int, response []byte, ran bool) {
				finished = ticket.Token + " " + string(response) + map[bool]string{true: " true", false: " false"}[ran]
			}
			if c.refuse {
				w.refuse = func(a limit.Request) error { return &limit.RefusedError{Group: a.Group, Reason: limit.RefusedFull} }
			}
			got := w.post(context.Background(), "services/filing/submit", `1`, "Idempotency-Key", "k1")
			if !strings.Contains(got.body, c.want) {
				t.Errorf("response = %+v, want %s", got, c.want)
			}
			<-w.node.Drain()
			runs := w.pools["filing"][0].Runs("org/k1") + w.pools["filing"][1].Runs("org/k1")
			if runs != c.runs || finished != c.finished {
				t.Errorf("runs = %d, finished %q, want %d, %q", runs, finished, c.runs, c.finished)
			}
		}))
	}
}

// Guards against requests that fail while a lease moves, and against a panic in one
// request that ends the process.
func TestHolderMoveAndPanic(t *testing.T) {
	withFixture(func(t *testing.T, w *fixture) {
		until := time.Now().Add(time.Second)
		w.refuse = func(a limit.Request) error {
			if time.Now().Before(until) {
				return &limit.RefusedError{Group: a.Group, Reason: limit.RefusedNotHolder}
			}
			return nil
		}
		if got := w.post(context.Background(), "pipelines/search", `1`); got.status != 200 {
			t.Errorf("request while the lease moves = %+v", got)
		}
		w.refuse = func(limit.Request) error { panic("test") }
		got := w.post(context.Background(), "pipelines/search", `1`)
		if !strings.Contains(got.body, `"stage_failed"`) || !strings.Contains(got.body, `"ran":"partly"`) {
			t.Errorf("request after a panic = %+v", got)
		}
		w.refuse = nil
	})(t)
}

// Guards against a request that crashes one server after another: its retry must request
// an exclusive permit, and there must be no third attempt.
func TestCrashingRequest(t *testing.T) {
	withFixture(func(t *testing.T, w *fixture) {
		for _, e := range w.engines {
			e.Fault = func(standin.Completion) standin.Fault { return standin.Fault{Kind: standin.CrashAt, At: 2} }
		}
		var exclusive []bool
		w.refuse = func(a limit.Request) error { exclusive = append(exclusive, a.Suspect); return nil }
		got := w.sse("pipelines/say", `"why"`)
		if got.last != "error" || !strings.Contains(got.data, `"stage_failed"`) || got.tokens != 4 {
			t.Errorf("stream = %+v", got)
		}
		if len(exclusive) != 2 || exclusive[0] || !exclusive[1] {
			t.Errorf("exclusive permit requests = %v, want false, true", exclusive)
		}
		w.wantReleases(limit.Crashed, limit.Crashed)
	})(t)
}

// The next server of a stream that broke off answers with an error: its text does not reach the caller, whose stream
// goes on at another server, or ends with an error event if there is none.
func TestErrorAfterBrokenStream(t *testing.T) {
	for _, errorResponses := range []int{1, 2, maxStreams} {
		t.Run(strconv.Itoa(errorResponses), withFixture(func(t *testing.T, w *fixture) {
			calls := 0
			f := func(standin.Completion) standin.Fault {
				calls++
				switch {
				case calls == 1:
					return standin.Fault{Kind: standin.Truncated, At: 7}
				case calls <= 1+errorResponses:
					return standin.Fault{Kind: standin.ErrorResponse}
				}
				return standin.Fault{}
			}
			w.engines[0].Fault, w.engines[1].Fault = f, f
			tokens, last := 20, "done"
			if errorResponses == maxStreams {
				tokens, last = 7, "error"
			}
			w.wantStream(w.sse("pipelines/say", `"why"`), tokens, last)
		}))
	}
}
