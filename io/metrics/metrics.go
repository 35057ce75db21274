// Package metrics measures requests and exposes the metrics to Prometheus.
//
// Histograms are labelled by organisation and class, costs by pool. No metric is
// labelled by server, so the number of series depends on the declaration alone and has
// an upper bound.
package metrics

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"

	"bergamotspring/core/outcome"
	"bergamotspring/core/stage"
)

const (
	// maxFlows bounds the pairs of organisation and class. It is above the 1680 pairs of
	// the target fleet size: 560 organisations with three classes each. Further pairs
	// share one flow.
	maxFlows = 2048
	// reportInterval is the delay after which the scrape page shows a value.
	reportInterval = time.Second
	// other is the label value of the flows beyond maxFlows, and of those without an
	// organisation or class.
	other = "other"
)

// Histogram buckets. The targets of 45 ms between tokens and 0.65 s to the first token
// are bucket bounds.
var (
	durationBuckets = tally.DurationBuckets{
		5 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
		250 * time.Millisecond, 650 * time.Millisecond, time.Second, 1500 * time.Millisecond,
		2500 * time.Millisecond, 4 * time.Second, 10 * time.Second,
	}
	gapBuckets = tally.DurationBuckets{
		5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 30 * time.Millisecond,
		45 * time.Millisecond, 70 * time.Millisecond, 150 * time.Millisecond, 500 * time.Millisecond, time.Second,
	}
)

// Metrics holds all metrics of a node. It is safe for concurrent use. On a nil Metrics,
// Observe, Gap and Close do nothing.
type Metrics struct {
	scope    tally.Scope
	closer   io.Closer
	handler  http.Handler
	maxFlows int // limit of flows

	mu    sync.RWMutex
	flows map[flowKey]*flow
	pools map[string]*pool
}

type flowKey struct{ organisation, class string }

// flow holds the metrics of one organisation in one class.
type flow struct {
	total, first, gap, queue, stage tally.Histogram
	attained                        tally.Counter

	scope    tally.Scope
	mu       sync.Mutex
	outcomes [outcome.Cancelled + 1]tally.Counter // created at first use
}

// outcome returns the counter of o. Each counter needs a scope of its own, so it is only
// created when its outcome occurs.
func (f *flow) outcome(o outcome.Outcome) tally.Counter {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.outcomes[o] == nil {
		f.outcomes[o] = f.scope.Tagged(map[string]string{"outcome": o.String()}).Counter("requests_total")
	}
	return f.outcomes[o]
}

// pool holds the costs of the stages that run on one pool.
type pool struct {
	duration                                                        tally.Histogram
	busyMillis, tokens, crossRegionBytes, retries, hedges, attempts tally.Counter
}

// New returns metrics that are reported until Close.
func New() *Metrics {
	g := prom.NewRegistry()
	r := promreporter.NewReporter(promreporter.Options{Registerer: g, Gatherer: g, OnRegisterError: func(error) {}})
	s, c := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "bergamotspring", CachedReporter: r, Separator: promreporter.DefaultSeparator,
		SanitizeOptions: sanitizeOptions(), OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{
		scope: s, closer: c, handler: r.HTTPHandler(), maxFlows: maxFlows,
		flows: map[flowKey]*flow{}, pools: map[string]*pool{},
	}
}

// sanitizeOptions preserves every character that a declared name may have in label values.
// The default replaces hyphens and dots by underscores, which would merge the series of
// different organisations.
func sanitizeOptions() *tally.SanitizeOptions {
	o := promreporter.DefaultSanitizerOpts
	o.ValueCharacters.Characters = []rune{'.', '_', '-'}
	return &o
}

// Scope returns the root scope, for the metrics of other packages.
func (m *Metrics) Scope() tally.Scope { return m.scope }

// Handler returns the handler of the scrape page.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close reports the values that were not yet reported and ends reporting.
func (m *Metrics) Close() error {
	if m == nil {
		return nil
	}
	return m.closer.Close()
}

// Observe records a request that ended.
func (m *Metrics) Observe(s *stage.Trace) {
	if m == nil {
		return
	}
	f := m.flow(s.Organisation, s.Class)
	f.total.RecordDuration(s.Total)
	if s.First > 0 {
		f.first.RecordDuration(s.First)
	}
	if int(s.Outcome) < len(f.outcomes) && s.Outcome > 0 {
		f.outcome(s.Outcome).Inc(1)
	}
	if s.Outcome == outcome.OK && s.Total <= s.Deadline {
		f.attained.Inc(1)
	}
	for i := range s.Stages {
		m.span(f, &s.Stages[i])
	}
}

// Gap records the time between two tokens of one stream.
func (m *Metrics) Gap(organisation, class string, d time.Duration) {
	if m == nil {
		return
	}
	m.flow(organisation, class).gap.RecordDuration(d)
}

func (m *Metrics) span(f *flow, t *stage.Span) {
	p := m.pool(t.Pool)
	f.stage.RecordDuration(t.Took)
	p.duration.RecordDuration(t.Took)
	p.tokens.Inc(int64(t.Tokens))
	p.retries.Inc(int64(t.Retries))
	p.hedges.Inc(int64(t.Hedges))
	for i := range t.Attempts {
		a := &t.Attempts[i]
		f.queue.RecordDuration(a.Queue)
		p.busyMillis.Inc(a.Service.Milliseconds())
		p.crossRegionBytes.Inc(int64(a.Cross))
		p.attempts.Inc(1)
	}
}

func (m *Metrics) flow(organisation, class string) *flow {
	k := flowKey{organisation, class}
	m.mu.RLock()
	f := m.flows[k]
	m.mu.RUnlock()
	if f != nil {
		return f
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if organisation == "" || class == "" || len(m.flows) >= m.maxFlows {
		k = flowKey{other, other}
	}
	if f = m.flows[k]; f == nil {
		f = m.newFlow(k)
		m.flows[k] = f
	}
	return f
}

func (m *Metrics) newFlow(k flowKey) *flow {
	s := m.scope.Tagged(map[string]string{"organisation": k.organisation, "class": k.class})
	return &flow{
		scope: s,
		total: s.Histogram("request_seconds", durationBuckets), first: s.Histogram("first_token_seconds", durationBuckets),
		gap: s.Histogram("between_tokens_seconds", gapBuckets), queue: s.Histogram("queue_seconds", durationBuckets),
		stage: s.Histogram("stage_seconds", durationBuckets), attained: s.Counter("attained_total"),
	}
}

func (m *Metrics) pool(name string) *pool {
	m.mu.RLock()
	p := m.pools[name]
	m.mu.RUnlock()
	if p != nil {
		return p
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if p = m.pools[name]; p == nil {
		p = m.newPool(strings.Clone(name))
		m.pools[name] = p
	}
	return p
}

func (m *Metrics) newPool(name string) *pool {
	s := m.scope.Tagged(map[string]string{"pool": name})
	return &pool{
		duration: s.Histogram("pool_stage_seconds", durationBuckets), busyMillis: s.Counter("pool_accelerator_milliseconds_total"),
		tokens: s.Counter("pool_tokens_total"), crossRegionBytes: s.Counter("pool_cross_region_bytes_total"),
		retries: s.Counter("pool_retries_total"), hedges: s.Counter("pool_hedges_total"),
		attempts: s.Counter("pool_attempts_total"),
	}
}
