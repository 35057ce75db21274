package edge

// This file defines the counters and histograms of a node.

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"bergamotspring/core/memory"
	"bergamotspring/core/placement"
	"bergamotspring/core/relay"
	"bergamotspring/core/rollout"
	"bergamotspring/io/metrics"
	"bergamotspring/io/peer"
	"bergamotspring/io/proxy"
)

// maxSeries bounds the label sets of each group of metrics; further ones are counted together.
const maxSeries = 2048

// batchSizes are the bucket bounds for the number of tasks in a batch.
var batchSizes = tally.ValueBuckets{1, 2, 4, 8, 16, 32, 64}

// meter holds the metrics of a node.
type meter struct {
	metrics   *metrics.Metrics
	requests  *metrics.Cache
	batches   *metrics.Cache
	decisions *metrics.Cache
	tables    *metrics.Cache
	culprits  *metrics.Cache
	loads     *metrics.Cache
	memory    *metrics.Cache
	rollouts  *metrics.Cache
}

func newMeter() *meter {
	m := metrics.New()
	return &meter{
		metrics: m, requests: metrics.NewCache(m, maxSeries), batches: metrics.NewCache(m, maxSeries), decisions: metrics.NewCache(m, maxSeries),
		tables: metrics.NewCache(m, maxSeries), culprits: metrics.NewCache(m, maxSeries), loads: metrics.NewCache(m, maxSeries),
		memory: metrics.NewCache(m, maxSeries), rollouts: metrics.NewCache(m, maxSeries),
	}
}

// countRequest records a request that ended.
func (m *meter) countRequest(e proxy.Result) {
	f := m.requests.Scope(map[string]string{"organisation": e.Organisation, "rank": strconv.Itoa(e.Priority), "outcome": e.Event})
	f.Counter("requests_total").Inc(1)
	f.Histogram("request_seconds", metrics.DurationBuckets()).RecordDuration(e.Took)
	if e.First > 0 {
		f.Histogram("first_event_seconds", metrics.DurationBuckets()).RecordDuration(e.First)
	}
}

// countCut counts a response that was cut off in its body.
func (m *meter) countCut() { m.requests.Scope(nil).Counter("cut_responses_total").Inc(1) }

// countBatch records the end of a batch, sent or not.
func (m *meter) countBatch(service string, ok bool, tasks int, took time.Duration) {
	f := m.batches.Scope(map[string]string{"service": service, "ok": strconv.FormatBool(ok)})
	f.Histogram("stage_call_pieces", batchSizes).RecordValue(float64(tasks))
	f.Histogram("stage_call_seconds", metrics.DurationBuckets()).RecordDuration(took)
}

// countDecision records a decision of the scheduler.
func (m *meter) countDecision(a *placement.Decision) {
	reason := a.Reason
	if a.Granted() {
		reason = "granted"
	}
	f := m.decisions.Scope(map[string]string{"answer": reason})
	f.Counter("places_total").Inc(1)
	if a.OverShare {
		f.Counter("places_over_share_total").Inc(1)
	}
}

// countLoadReport counts a server's report of its load.
func (m *meter) countLoadReport(service string, plausible bool) {
	m.loads.Scope(map[string]string{"service": service, "ok": strconv.FormatBool(plausible)}).Counter("load_reports_total").Inc(1)
}

// countChoices counts choices of plain servers that ended, and those that turned out wrong.
func (m *meter) countChoices(all, wrong int64) {
	f := m.loads.Scope(map[string]string{})
	f.Counter("choices_total").Inc(all)
	f.Counter("wrong_choices_total").Inc(wrong)
}

// reportEvenness records how evenly the servers of a plain service are loaded.
func (m *meter) reportEvenness(service string, e relay.Evenness) {
	f := m.loads.Scope(map[string]string{"service": service})
	if e.Mean > 0 {
		f.Gauge("load_busiest_over_mean").Update(e.Busiest / e.Mean)
	}
	f.Gauge("load_age_seconds").Update(e.Age.Seconds())
}

// countCulprit counts changes of what is known to crash servers.
func (m *meter) countCulprit(change string) {
	m.culprits.Scope(map[string]string{"change": change}).Counter("culprits_total").Inc(1)
}

// reportTable records the era and version of a table that this node has, and its age.
func (m *meter) reportTable(v peer.TableVersion, now time.Time) {
	f := m.tables.Scope(map[string]string{"table": v.Table})
	f.Gauge("table_era").Update(float64(v.Era))
	f.Gauge("table_version").Update(float64(v.Version))
	if !v.ConfirmedAt.IsZero() {
		f.Gauge("table_age_seconds").Update(now.Sub(v.ConfirmedAt).Seconds())
	}
}

// reportConfiguration records the configuration that was put in force, and how many of its parts cannot be read.
func (m *meter) reportConfiguration(c *relay.Configuration) {
	f := m.tables.Scope(nil)
	f.Gauge("configuration_version").Update(float64(c.Version))
	f.Gauge("configuration_problems").Update(float64(len(c.Problems)))
}

// reportUnreadable records whether the newest configuration cannot be read at all.
func (m *meter) reportUnreadable(unreadable bool) {
	n := 0.0
	if unreadable {
		n = 1
	}
	m.tables.Scope(nil).Gauge("configuration_unreadable").Update(n)
}

// reportMemory records what is held, and what was refused and ended since the last time.
func (m *meter) reportMemory(u, last memory.Usage) {
	for c, n := range u.Held {
		m.memory.Scope(map[string]string{"class": c.String()}).Gauge("held_bytes").Update(float64(n))
	}
	f := m.memory.Scope(nil)
	f.Gauge("held_bytes_bound").Update(float64(u.Bound))
	f.Counter("bodies_refused_total").Inc(u.Refused - last.Refused)
	f.Counter("readers_ended_total").Inc(u.Ended - last.Ended)
}

// countRolloutReport counts a report that was sent to the decider.
func (m *meter) countRolloutReport(service string, answered bool) {
	m.rollouts.Scope(map[string]string{"service": service, "answered": strconv.FormatBool(answered)}).Counter("rollout_reports_total").Inc(1)
}

// reportRollout records the state of a rollout on which this node decides.
func (m *meter) reportRollout(service string, i rollout.Info) {
	f := m.rollouts.Scope(map[string]string{"service": service})
	f.Gauge("rollout_state").Update(float64(i.Record.State))
	f.Gauge("rollout_exposed").Update(float64(i.Exposed))
	f.Gauge("rollout_budget").Update(float64(i.Budget))
	f.Gauge("rollout_bad").Update(float64(i.Bad))
	f.Gauge("rollout_silent_nodes").Update(float64(i.Silent))
	if i.Stopped > 0 && i.FirstBad > 0 {
		f.Gauge("rollout_stop_seconds").Update((i.Stopped - i.FirstBad).Seconds())
	}
}
