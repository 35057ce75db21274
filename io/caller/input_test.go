package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"bergamotspring/core/claim"
	"bergamotspring/core/fleet"
	"bergamotspring/core/limit"
	"bergamotspring/core/member"
)

// Checks the limits on requests, and that an error names the invalid field.
func TestBadRequests(t *testing.T) {
	withFixture(func(t *testing.T, w *fixture) {
		w.node.MaxBody, w.node.MaxHeader = 64, 512
		long := strings.Repeat("x", 600)
		for _, c := range []struct {
			path, body string
			header     []string
			status     int
			field      string
		}{
			{"pipelines/none", `1`, nil, 404, "pipeline"},
			{"services/none/x", `1`, nil, 404, "service"},
			{"services/filing/none", `1`, nil, 404, "operation"},
			{"other", `1`, nil, 404, "path"},
			{"pipelines/say", `1`, []string{"X-Organisation", "nobody"}, 400, "X-Organisation"},
			{"pipelines/say", `1`, []string{"X-Class", "none"}, 400, "X-Class"},
			{"pipelines/say", `1`, []string{"X-Timeout", "-1s"}, 400, "X-Timeout"},
			{"pipelines/say", `1`, []string{"X-Timeout", "soon"}, 400, "X-Timeout"},
			{"services/filing/submit", `1`, []string{"Idempotency-Key", "a b"}, 400, "Idempotency-Key"},
			{"services/filing/submit", `1`, []string{"Idempotency-Key", long[:200]}, 400, "Idempotency-Key"},
			{"pipelines/search", `1`, []string{"Accept", "text/event-stream"}, 400, "Accept"},
			{"pipelines/say", `{"a":`, nil, 400, "body"},
			{"pipelines/say", ``, nil, 400, "body"},
			{"pipelines/say", `"` + long + `"`, nil, 413, "body"},
			{"pipelines/say", `1`, []string{"X-Other", long}, 431, "header"},
		} {
			got := w.post(context.Background(), c.path, c.body, c.header...)
			want := `"field":"` + c.field + `","ran":"not_run"`
			if got.status != c.status || !strings.Contains(got.body, want) {
				t.Errorf("%s %s %v = %+v, want %d and %s", c.path, c.body, c.header, got, c.status, want)
			}
		}
		if got := w.node.bytes.Load(); got != 0 {
			t.Errorf("bytes of bodies held after all requests = %d, want 0", got)
		}
		w.node.MaxInflight = 2
		if got := w.post(context.Background(), "pipelines/say", `"why"`); got.status != 429 {
			t.Errorf("request over the limit of all bodies = %+v, want 429", got)
		}
	})(t)
}

// Guards against a poison request that reaches a server, a suspect that does not run
// exclusively, and a request whose log line lacks its trace.
func TestSuspectsAndLog(t *testing.T) {
	withFixture(func(t *testing.T, w *fixture) {
		core, logs := observer.New(zapcore.InfoLevel)
		w.node.Log = zap.New(core)
		state := member.Poison
		w.node.SuspectState = func(uint64) member.SuspectState { return state }
		var exclusive bool
		w.refuse = func(a limit.Request) error { exclusive = a.Suspect; return nil }
		if got := w.post(context.Background(), "pipelines/search", `1`); got.status != 422 || len(w.released) != 0 {
			t.Errorf("poison request = %+v", got)
		}
		state = member.Suspected
		if got := w.post(context.Background(), "pipelines/search", `1`); got.status != 200 || !exclusive {
			t.Errorf("suspected request = %+v, exclusive %v", got, exclusive)
		}
		<-w.node.Drain()
		l := logs.All()
		if len(l) != 2 {
			t.Fatalf("log lines = %d, want 2", len(l))
		}
		b, _ := json.Marshal(l[1].ContextMap())
		for _, want := range []string{`"outcome":"ok"`, `"organisation":"org"`, `"server":"encode`, `"result":"good"`, `"total_ms":10`} {
			if !strings.Contains(string(b), want) {
				t.Errorf("log line %s lacks %s", b, want)
			}
		}
	})(t)
}

// Guards against a caller's disconnection that ends a non-idempotent call or loses its
// response, and against giving up a call although it was never sent.
func TestNonIdempotentSurvivesDisconnect(t *testing.T) {
	withFixture(func(t *testing.T, w *fixture) {
		w.node.BeginClaim = func(context.Context, string, string, uint64) (claim.Verdict, error) {
			return claim.Verdict{Kind: claim.Run, Ticket: claim.Ticket{Token: "t"}}, nil
		}
		ran := false
		w.node.FinishClaim = func(_ context.Context, _ string, _ claim.Ticket, _ int, _ []byte, r bool) { ran = r }
		down := true
		acquire := w.node.Acquire
		w.node.Acquire = func(ctx context.Context, a limit.Request, retry bool) (limit.Permit, error) {
			p, err := acquire(ctx, a, retry)
			if down {
				p.Address = "none:80"
			}
			down = false
			return p, err
		}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Millisecond)
		defer cancel()
		w.post(ctx, "services/filing/submit", `1`, "Idempotency-Key", "k1")
		<-w.node.Drain()
		runs := w.pools["filing"][0].Runs("org/k1") + w.pools["filing"][1].Runs("org/k1")
		if runs != 1 || !ran {
			t.Errorf("runs = %d, recorded %v, want 1 and true", runs, ran)
		}
		w.wantReleases(limit.Refused)
	})(t)
}

// Guards against input that causes a panic, is accepted unchecked, or gets an error
// without outcome or field.
func FuzzCallerInput(f *testing.F) {
	f.Add("/v1/pipelines/search", "org", "normal", "1s", "k", "", []byte(`{"a":1}`))
	f.Add("/v1/services/filing/submit", "org", "", "", "k\x00", "text/event-stream", []byte(`"`))
	f.Add("//v1/../pipelines/%2e", "o\xff", "x", "9e99h", "", "*/*", []byte(`[`))
	v := fleet.NewView(declaration(), 1)
	s := &Server{
		Workers: 4, View: func() *fleet.View { return v },
		Groups: func(string, time.Duration) []fleet.GroupID { return nil },
	}
	f.Fuzz(func(t *testing.T, path, org, class, timeout, key, accept string, body []byte) {
		r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(string(body)))
		r.URL.Path = path
		for k, x := range map[string]string{"X-Organisation": org, "X-Class": class, "X-Timeout": timeout, "Idempotency-Key": key, "Accept": accept} {
			r.Header[k] = []string{x}
		}
		w := httptest.NewRecorder()
		s.ServeHTTP(w, r)
		if w.Code/100 == 3 {
			return // the mux cleans the path
		}
		var e struct{ Outcome, Field, Ran string }
		if err := json.Unmarshal(w.Body.Bytes(), &e); err != nil {
			t.Fatalf("%d %q: %v", w.Code, w.Body, err)
		}
		// There is no group to request a permit from, so every request is refused as not run.
		if e.Ran != "not_run" || (e.Outcome == "bad_request") != (e.Field != "") || w.Code < 400 {
			t.Errorf("%d %s", w.Code, w.Body)
		}
	})
}

// Guards against a panic on a request to a node without configuration, and against
// responses without a request ID, which cannot be looked up in the logs.
func TestNoConfigurationAndRequestID(t *testing.T) {
	s := &Server{Node: "n1", View: func() *fleet.View { return nil }}
	for i, path := range []string{"pipelines/hints", "services/filing/submit"} {
		w := httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/"+path, strings.NewReader("1")))
		want := `{"outcome":"unavailable","message":"this node has no configuration yet","field":"","ran":"not_run","resend":true}`
		if got := w.Body.String(); got != want || w.Code != http.StatusServiceUnavailable {
			t.Errorf("%s: got %d %s, want 503 %s", path, w.Code, got, want)
		}
		if got, want := w.Header().Get("X-Request-Id"), "n1-"+strconv.Itoa(i+1); got != want {
			t.Errorf("%s: got X-Request-Id %q, want %q", path, got, want)
		}
	}
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(t)
		defer w.close()
		for _, accept := range []string{"application/json", "text/event-stream"} {
			got := w.post(context.Background(), "pipelines/say", `"a"`, "Accept", accept)
			if want := (<-w.traces).Request; got.id != want || want == "" {
				t.Errorf("%s: got X-Request-Id %q, want %q", accept, got.id, want)
			}
		}
	})
}
