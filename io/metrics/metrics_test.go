package metrics

import (
	"fmt"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"bergamotspring/core/outcome"
	"bergamotspring/core/stage"
)

// Guards against a scrape page that lacks a metric that the operators' measurements need,
// and against a number of series that grows with what callers send.
func TestScrapePage(t *testing.T) {
	m := New()
	m.maxFlows = 8
	for i := range 50 {
		m.Observe(&stage.Trace{Organisation: fmt.Sprint("o-", i), Class: "normal", Outcome: outcome.Shed})
	}
	m.Observe(&stage.Trace{
		Organisation: "o-1", Class: "normal", Outcome: outcome.OK, Total: 2 * time.Second,
		Deadline: 4 * time.Second, First: 600 * time.Millisecond,
		Stages: []stage.Span{{Pool: "llm", Tokens: 20, Retries: 1, Attempts: []stage.Attempt{{Service: time.Second, Cross: 99}}}},
	})
	m.Gap("o-1", "normal", 30*time.Millisecond)
	if err := m.Close(); err != nil {
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	got := w.Body.String()
	for _, want := range []string{
		`bergamotspring_requests_total{class="normal",organisation="o-1",outcome="ok"} 1`,
		`bergamotspring_requests_total{class="other",organisation="other",outcome="shed"} `,
		`bergamotspring_attained_total{class="normal",organisation="o-1"} 1`,
		`bergamotspring_first_token_seconds_bucket{class="normal",organisation="o-1",le="0.65"} 1`,
		`bergamotspring_between_tokens_seconds_bucket{class="normal",organisation="o-1",le="0.03"} 1`,
		`bergamotspring_pool_accelerator_milliseconds_total{pool="llm"} 1000`,
		`bergamotspring_pool_cross_region_bytes_total{pool="llm"} 99`,
		`bergamotspring_pool_tokens_total{pool="llm"} 20`,
	} {
		if !strings.Contains(got, want) {
			t.Errorf("scrape page lacks %s", want)
		}
	}
	if got := len(m.flows); got != m.maxFlows+1 {
		t.Errorf("flows = %d, want %d", got, m.maxFlows+1)
	}
}

// BenchmarkFlowMemory measures the memory that the metrics of one organisation in one class
// take.
func BenchmarkFlowMemory(b *testing.B) {
	const flows = 1000
	used := func() uint64 {
		var s runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&s)
		return s.HeapAlloc
	}
	for range b.N {
		u := used()
		m := New()
		for i := range flows {
			m.Observe(&stage.Trace{Organisation: fmt.Sprint("o", i), Class: "normal", Outcome: outcome.OK, First: 1})
			m.Gap(fmt.Sprint("o", i), "normal", time.Millisecond)
		}
		b.ReportMetric(float64(used()-u)/flows/1024, "KiB/flow")
		_ = m.Close()
	}
}
