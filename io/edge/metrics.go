package edge

// This file defines the counters and histograms of a node.

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"bergamotspring/core/placement"
	"bergamotspring/io/metrics"
	"bergamotspring/io/proxy"
)

// maxSeries bounds the pairs of organisation and rank, and the services; further ones are
// counted together.
const maxSeries = 2048

// sizes are the bounds of the buckets for pieces in a call.
var sizes = tally.ValueBuckets{1, 2, 4, 8, 16, 32, 64}

// meter counts what a node does.
type meter struct {
	all     *metrics.Metrics
	flows   *metrics.Cache
	calls   *metrics.Cache
	answers *metrics.Cache
}

func newMeter() *meter {
	m := metrics.New()
	return &meter{
		all: m, flows: metrics.NewCache(m, maxSeries), calls: metrics.NewCache(m, maxSeries), answers: metrics.NewCache(m, maxSeries),
	}
}

// request counts a request that ended.
func (m *meter) request(e proxy.Result) {
	f := m.flows.Scope(map[string]string{"organisation": e.Organisation, "rank": strconv.Itoa(e.Priority), "outcome": e.Event})
	f.Counter("requests_total").Inc(1)
	f.Histogram("request_seconds", metrics.Spans()).RecordDuration(e.Took)
	if e.First > 0 {
		f.Histogram("first_event_seconds", metrics.Spans()).RecordDuration(e.First)
	}
}

// call counts a call to a server of a stage.
func (m *meter) call(service string, ok bool, pieces int, took time.Duration) {
	f := m.calls.Scope(map[string]string{"service": service, "ok": strconv.FormatBool(ok)})
	f.Histogram("stage_call_pieces", sizes).RecordValue(float64(pieces))
	f.Histogram("stage_call_seconds", metrics.Spans()).RecordDuration(took)
}

// placed counts an answer of the home.
func (m *meter) placed(a *placement.Decision) {
	reason := a.Reason
	if a.Granted() {
		reason = "granted"
	}
	m.answers.Scope(map[string]string{"answer": reason}).Counter("places_total").Inc(1)
}
