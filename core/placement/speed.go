package placement

// This file defines how the speed of stage servers decides which of them get batches, and how large.

import (
	"cmp"
	"math"
	"slices"
	"time"

	"bergamotspring/core/load"
	"bergamotspring/core/relay"
)

// slowBatches is the slowness from which a server gets smaller batches while tasks do not queue. Below it the
// tasks of a stage are worth more together.
const slowBatches = 1.5

// speedStep is the difference in slowness below which servers count as equally fast: batches vary by more.
const speedStep = 0.25

// configuredPrior is the number of batches that the times in the configuration count as.
const configuredPrior = 4

// ObserveLoad takes the load that a process of a stage server reported. That of the process before is forgotten.
func (h *Scheduler) ObserveLoad(p relay.Process, r load.Report) {
	h.init()
	now := h.Now()
	for _, q := range h.pools {
		m := q.stageServers[p.ID]
		if m == nil || p.StartedAt != 0 && m.server.StartedAt != p.StartedAt {
			continue
		}
		r.At, r.Counted = now, m.batches
		m.load.Observe(r, now)
	}
}

// available returns the servers that can take a batch now, those with the fewest batches
// first, then the fastest.
func available(all []*stageServer, w *relay.BatchSpec, now time.Time) []*stageServer {
	var l []*stageServer
	for _, m := range all {
		if m.batches < w.Concurrency && !m.querying && !m.resting(now) {
			m.slow = math.Round(m.load.Expect(now).Assumed()/speedStep) * speedStep
			l = append(l, m)
		}
	}
	slices.SortStableFunc(l, func(a, b *stageServer) int {
		return cmp.Or(cmp.Compare(a.batches, b.batches), cmp.Compare(a.slow, b.slow))
	})
	return l
}

// expectedTime returns how long a server takes for a batch that should take a nominal time.
func (q *stagePool) expectedTime(m *stageServer, nominal time.Duration, now time.Time) time.Duration {
	return time.Duration(float64(nominal) * max(1, q.ratio.Time().Seconds()*m.load.Slowness(now)))
}

// observeTime takes the time of a batch.
func (q *stagePool) observeTime(c *batch, now time.Time) {
	if c.nominal > 0 {
		c.stageServer.load.Measure(&q.ratio, time.Duration(float64(now.Sub(c.started))/c.nominal.Seconds()), now)
	}
}

// maxBatch returns the number of tasks that a server's next batch may have. A slow server gets fewer, so that they
// are not late, unless so many tasks are queued that what its servers do together counts more.
func (q *stagePool) maxBatch(m *stageServer, w *relay.BatchSpec) int {
	if m.slow < slowBatches || q.queue.tasks > w.MaxBatch*len(q.stageServers) {
		return w.MaxBatch
	}
	return max(1, int(float64(w.MaxBatch)/m.slow))
}
