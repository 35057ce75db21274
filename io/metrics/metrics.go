// Package metrics measures requests and serves the figures to Prometheus.
//
// Distributions are kept for each organisation and class, costs for each pool. No
// figure is kept for each server, so the number of series depends on the
// declaration alone and has an upper bound.
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
	// maxFlows bounds the pairs of organisation and class, over the 560
	// organisations of the target with three classes each. Others are counted
	// together.
	maxFlows = 2048
	// reportInterval is how far the scrape page lags.
	reportInterval = time.Second
	// other stands for the organisations over maxFlows, and for no organisation.
	other = "other"
)

// Buckets of the distributions. The goals of 45 ms between tokens and 0.65 s to the
// first token are bounds of buckets.
var (
	spans = tally.DurationBuckets{
		5 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
		250 * time.Millisecond, 650 * time.Millisecond, time.Second, 1500 * time.Millisecond,
		2500 * time.Millisecond, 4 * time.Second, 10 * time.Second,
	}
	gaps = tally.DurationBuckets{
		5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 30 * time.Millisecond,
		45 * time.Millisecond, 70 * time.Millisecond, 150 * time.Millisecond, 500 * time.Millisecond, time.Second,
	}
)

// Metrics holds all figures of a node. Its methods may be called at the same time;
// on a nil Metrics they do nothing.
type Metrics struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler
	limit   int // bound of flows

	mu    sync.RWMutex
	flows map[flowKey]*flow
	pools map[string]*pool
}

type flowKey struct{ organisation, class string }

// flow has the figures of one organisation in one class.
type flow struct {
	total, first, gap, queue, stage tally.Histogram
	attained                        tally.Counter

	scope    tally.Scope
	mu       sync.Mutex
	outcomes [outcome.Cancelled + 1]tally.Counter // made when they first occur
}

// outcome returns the counter of o. A counter takes a scope of its own, so those of
// outcomes that do not occur are not made.
func (f *flow) outcome(o outcome.Outcome) tally.Counter {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.outcomes[o] == nil {
		f.outcomes[o] = f.scope.Tagged(map[string]string{"outcome": o.String()}).Counter("requests_total")
	}
	return f.outcomes[o]
}

// pool has the cost of the stages that run on one pool.
type pool struct {
	took                                     tally.Histogram
	busy, tokens, cross, retries, hedges, at tally.Counter
}

// New returns metrics that report until Close.
func New() *Metrics {
	g := prom.NewRegistry()
	r := promreporter.NewReporter(promreporter.Options{Registerer: g, Gatherer: g, OnRegisterError: func(error) {}})
	s, c := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "bergamotspring", CachedReporter: r, Separator: promreporter.DefaultSeparator,
		SanitizeOptions: sanitising(), OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{
		scope: s, closer: c, handler: r.HTTPHandler(), limit: maxFlows,
		flows: map[flowKey]*flow{}, pools: map[string]*pool{},
	}
}

// sanitising keeps every character that a declared name may have in label values. The
// default replaces hyphens and dots by underscores, which gives different
// organisations the same series.
func sanitising() *tally.SanitizeOptions {
	o := promreporter.DefaultSanitizerOpts
	o.ValueCharacters.Characters = []rune{'.', '_', '-'}
	return &o
}

// Scope returns the root scope, for the figures of other packages.
func (m *Metrics) Scope() tally.Scope { return m.scope }

// Handler serves the scrape page.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close reports what was not yet reported.
func (m *Metrics) Close() error {
	if m == nil {
		return nil
	}
	return m.closer.Close()
}

// Observe counts a request that ended.
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
		m.step(f, &s.Stages[i])
	}
}

// Gap counts the time between two tokens of one stream.
func (m *Metrics) Gap(organisation, class string, d time.Duration) {
	if m == nil {
		return
	}
	m.flow(organisation, class).gap.RecordDuration(d)
}

func (m *Metrics) step(f *flow, t *stage.Span) {
	p := m.pool(t.Pool)
	f.stage.RecordDuration(t.Took)
	p.took.RecordDuration(t.Took)
	p.tokens.Inc(int64(t.Tokens))
	p.retries.Inc(int64(t.Retries))
	p.hedges.Inc(int64(t.Hedges))
	for i := range t.Attempts {
		a := &t.Attempts[i]
		f.queue.RecordDuration(a.Queue)
		p.busy.Inc(a.Service.Milliseconds())
		p.cross.Inc(int64(a.Cross))
		p.at.Inc(1)
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
	if organisation == "" || class == "" || len(m.flows) >= m.limit {
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
		total: s.Histogram("request_seconds", spans), first: s.Histogram("first_token_seconds", spans),
		gap: s.Histogram("between_tokens_seconds", gaps), queue: s.Histogram("queue_seconds", spans),
		stage: s.Histogram("stage_seconds", spans), attained: s.Counter("attained_total"),
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
		took: s.Histogram("pool_stage_seconds", spans), busy: s.Counter("pool_accelerator_milliseconds_total"),
		tokens: s.Counter("pool_tokens_total"), cross: s.Counter("pool_cross_region_bytes_total"),
		retries: s.Counter("pool_retries_total"), hedges: s.Counter("pool_hedges_total"),
		at: s.Counter("pool_attempts_total"),
	}
}
