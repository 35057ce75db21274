package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"bergamotspring/io/edge/explain"
	platformstandin "bergamotspring/platform/standin"
)

// blocked is an output that nobody reads until a channel is closed.
type blocked struct{ until chan struct{} }

func (b blocked) Write(p []byte) (int, error) {
	<-b.until
	return len(p), nil
}

// A blocked reader of the log blocks no writer; dropped lines are counted and logged.
func TestLogNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := blocked{make(chan struct{})}
		w := newLineWriter(b)
		l := newLogger(w)
		ctx, end := context.WithCancel(context.Background())
		go w.run(ctx)
		start := time.Now()
		for i := range logQueueLines + 100 {
			l.Info("answered", zap.Int("n", i))
		}
		if d := time.Since(start); d != 0 {
			t.Errorf("writing took %v", d)
		}
		synctest.Wait()
		if n := w.dropped.Load(); n < 90 || n > 100 {
			t.Errorf("got %d dropped lines, want about 100", n)
		}
		close(b.until)
		synctest.Wait()
		lines := &logLines{}
		go w.reportDropped(ctx, newLogger(zapSync{lines}))
		time.Sleep(logDropInterval + time.Millisecond)
		if len(lines.matching("log_dropped", `"lines":`)) != 1 {
			t.Errorf("got %v, want one line with the number of dropped lines", lines.l)
		}
		end()
	})
}

type zapSync struct{ *logLines }

func (zapSync) Sync() error { return nil }

// Under load all ordinary lines of a request are written or none, and nodes choose the same
// requests.
func TestSampler(t *testing.T) {
	now := time.Unix(0, 0)
	a, b := sampler{now: func() time.Time { return now }}, sampler{now: func() time.Time { return now }}
	kept := 0
	for i := range 10 * unsampledLineRate {
		if i%(5*unsampledLineRate) == 0 {
			now = now.Add(time.Second)
		}
		id := fmt.Sprint("request-", i)
		ka, kb := a.sample(id), b.sample(id)
		if ka != kb {
			t.Fatalf("%s is kept by one node only", id)
		}
		if ka && i >= 5*unsampledLineRate {
			kept++
		}
	}
	if kept < unsampledLineRate/2 || kept > 2*unsampledLineRate {
		t.Errorf("kept %d requests of %d in a second, want about %d", kept, 5*unsampledLineRate, unsampledLineRate)
	}
}

// For three kinds of failed requests the cause can be found in the log from the request id.
func TestExplainFromLog(t *testing.T) {
	type step struct{ event, field, want string }
	for _, c := range []struct {
		name    string
		do      func(*testFleet) response
		id      string
		verdict []string // substrings without times
		steps   []step
	}{
		{"refused though servers were free", func(w *testFleet) response {
			return w.stream("b1", "/draft/x", "q1", "X-Bergamotspring-Deadline-Ms", "300")
		}, "q1", []string{"Refused by b1", ": the stages would end after the time limit. No server ran it. The home a1 had kept it"}, []step{{"place_refused", "reason", "time limit"}, {"refused", "reason", "time limit"}}},
		{"stream that ended early", func(w *testFleet) response {
			w.injectFault(platformstandin.FaultBreak)
			return w.stream("b1", "/once/x", "q2")
		}, "q2", []string{"Broken off by b1", ", with 3 events: model servers failed. It was at server model-b. Server model-b failed", "unexpected EOF"}, []step{{"placed", "server", "model-"}, {"stream_broken", "error", "EOF"}, {"broken_off", "reason", "model servers"}}},
		{"unsafe request with unknown outcome", func(w *testFleet) response {
			w.servers["plain-b"].QueueFaults(platformstandin.FaultLose)
			return w.request("b1", http.MethodPost, "/file/x", "q3")
		}, "q3", []string{"Ended with status 502", "which promises nothing: exchange: broken off", "It may have run at server plain-b."}, []step{{"send_failed", "server", "plain-b"}, {"unknown", "reason", "broken off"}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			runFleet(t, func(w *testFleet) {
				if r := c.do(w); r.status == 200 && r.err == nil {
					t.Fatalf("the request did not fail: %+v", r)
				}
				for _, s := range c.steps {
					l := w.log.matching(`"msg":"`+s.event+`"`, `"request":"`+c.id+`"`)
					if len(l) == 0 {
						t.Errorf("no line %s for %s", s.event, c.id)
						continue
					}
					var f map[string]any
					if err := json.Unmarshal([]byte(l[0]), &f); err != nil {
						t.Fatal(err)
					}
					if got := fmt.Sprint(f[s.field]); !strings.Contains(got, s.want) {
						t.Errorf("line %s: %s is %q, want %q in it", s.event, s.field, got, s.want)
					}
				}
				l, err := explain.Read(strings.NewReader(strings.Join(w.log.matching(), "\n")))
				if err != nil {
					t.Fatal(err)
				}
				result, err := explain.Summarise(l, c.id)
				if err != nil {
					t.Fatal(err)
				}
				for _, v := range c.verdict {
					if !strings.Contains(result.Verdict, v) {
						t.Errorf("got the verdict\n%s\nwant in it\n%s", result.Verdict, v)
					}
				}
			})
		})
	}
}

// Counters and histograms are served on the metrics address.
func TestMetricsEndpoint(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		w.request("a1", http.MethodGet, "/read/x", "m1")
		w.stream("a1", "/draft/x", "m2")
		time.Sleep(2 * time.Second)
		x := &http.Transport{DialContext: w.net.Dialer("10.8.0.1")}
		defer x.CloseIdleConnections()
		c := http.Client{Transport: x}
		r, err := c.Get("http://" + w.nodes["a1"].node.Settings.Metrics + "/metrics")
		if err != nil {
			t.Fatal(err)
		}
		var b strings.Builder
		_ = r.Write(&b)
		for _, want := range []string{
			`bergamotspring_requests_total{organisation="org",outcome="answered",rank="1"} 1`,
			`bergamotspring_requests_total{organisation="org",outcome="streamed",rank="1"} 1`,
			`bergamotspring_places_total{answer="granted"} 1`, "bergamotspring_stage_call_pieces_bucket", "bergamotspring_first_event_seconds_bucket",
		} {
			if !strings.Contains(b.String(), want) {
				t.Errorf("the page lacks %s", want)
			}
		}
	})
}

// BenchmarkLine measures the cost of one log line for a request.
func BenchmarkLine(b *testing.B) {
	w := newLineWriter(discard{})
	ctx, end := context.WithCancel(context.Background())
	defer end()
	go w.run(ctx)
	l := newLogger(w).With(zap.String("node", "n"))
	b.ReportAllocs()
	for b.Loop() {
		l.Info("answered", zap.String("request", "0123456789abcdef"), zap.String("route", "route"), zap.Duration("after", time.Second), zap.Int("status", 200))
	}
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

// Every event and field that a node can log is documented in docs/OPERATIONS.md.
func TestEventsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	events, fields, _ := strings.Cut(string(page), "\n## Fields\n")
	event := regexp.MustCompile(`(?:\.(?:Info|Warn|Error)|\.log|\.end)\("([a-z_]+)"`)
	field := regexp.MustCompile(`zap\.[A-Z]\w*\("([a-z_]+)"`)
	n, k := 0, 0
	for _, dir := range []string{".", "../proxy"} {
		files, err := filepath.Glob(dir + "/*.go")
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range files {
			if strings.HasSuffix(f, "_test.go") {
				continue
			}
			b, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			for _, m := range event.FindAllStringSubmatch(string(b), -1) {
				n++
				if !strings.Contains(events, "`"+m[1]+"`") {
					t.Errorf("%s logs %s, which docs/OPERATIONS.md does not name", f, m[1])
				}
			}
			for _, m := range field.FindAllStringSubmatch(string(b), -1) {
				k++
				if !strings.Contains(fields, "`"+m[1]+"`") {
					t.Errorf("%s logs the field %s, which docs/OPERATIONS.md does not name under Fields", f, m[1])
				}
			}
		}
	}
	if n < 30 || k < 60 {
		t.Errorf("found %d events and %d uses of fields in the sources, want all of them", n, k)
	}
}
