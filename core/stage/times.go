package stage

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// window is the time covered by one histogram; see Times for the age of samples.
	window = 30 * time.Second
	// refreshInterval bounds how often quantiles are recomputed, which reads all buckets.
	refreshInterval = 100 * time.Millisecond
	// minSamples is the number of samples below which the declared time is used instead.
	minSamples = 16
	// The range of a histogram in microseconds, with two significant digits.
	minMicros, maxMicros = 1, int64(5 * time.Minute / time.Microsecond)
)

// Quantiles summarise measured durations.
type Quantiles struct {
	P50, P95, P99 time.Duration
	Samples       int64
}

// Times measures the durations of one stage over the last one to two windows; with few calls
// a sample counts for up to three windows (90 s). The zero value is ready to use. It is not
// safe for concurrent use.
type Times struct {
	current, previous *hdrhistogram.Histogram
	windowStart       time.Time
	computedAt        time.Time
	cached            Quantiles
}

// Record adds d, measured at instant at.
func (t *Times) Record(at time.Time, d time.Duration) {
	t.rotate(at)
	u := min(max(d.Microseconds(), minMicros), maxMicros)
	_ = t.current.RecordValue(u) // in range, so it cannot fail
}

// Quantiles returns the quantiles at instant at. Below 16 samples they derive from
// expect, the declared time.
func (t *Times) Quantiles(at time.Time, expect time.Duration) Quantiles {
	t.rotate(at)
	if t.computedAt.IsZero() || at.Sub(t.computedAt) >= refreshInterval {
		t.computedAt = at
		t.cached = t.compute()
	}
	if t.cached.Samples >= minSamples {
		return t.cached
	}
	return Quantiles{P50: expect, P95: 2 * expect, P99: 4 * expect, Samples: t.cached.Samples}
}

// rotate starts a new window when the current one has ended. It clears both histograms
// if the next window has ended as well.
func (t *Times) rotate(at time.Time) {
	if t.current == nil {
		t.current = hdrhistogram.New(minMicros, maxMicros, 2)
		t.previous = hdrhistogram.New(minMicros, maxMicros, 2)
		t.windowStart = at
		return
	}
	age := at.Sub(t.windowStart)
	if age < window {
		return
	}
	t.current, t.previous = t.previous, t.current
	t.current.Reset()
	if age >= 2*window {
		t.previous.Reset()
	}
	t.windowStart = at
}

func (t *Times) compute() Quantiles {
	h := t.current
	if t.previous.TotalCount() > 0 {
		h = hdrhistogram.New(minMicros, maxMicros, 2)
		h.Merge(t.current)
		h.Merge(t.previous)
	}
	v := h.ValueAtPercentiles([]float64{50, 95, 99})
	us := func(p float64) time.Duration { return time.Duration(v[p]) * time.Microsecond }
	return Quantiles{P50: us(50), P95: us(95), P99: us(99), Samples: h.TotalCount()}
}
