package rollout

// This file defines histograms of time.

import (
	"math"
	"time"
)

// Buckets is the number of buckets of a histogram. Bucket 0 ends at 1 ms, and each other one at 1.5
// times the end of the one before: the last begins at 191 s.
const Buckets = 32

const bucketFactor = 1.5

// Histogram counts durations. The zero value is empty.
type Histogram [Buckets]int64

var logFactor = math.Log(bucketFactor)

// position returns where a duration is on the scale of the buckets: bucket i covers i to i+1.
func position(d time.Duration) float64 {
	p := 1 + math.Log(float64(d)/float64(time.Millisecond))/logFactor
	return min(max(p, 0), Buckets-1)
}

// Add counts a duration.
func (h *Histogram) Add(d time.Duration) { h[int(position(d))]++ }

// total returns the number of durations.
func (h *Histogram) total() int64 {
	n := int64(0)
	for _, c := range h {
		n += c
	}
	return n
}

func (h *Histogram) addAll(o Histogram) {
	for i := range h {
		h[i] += o[i]
	}
}

// quantile returns the position on the scale of the buckets under which a share of the durations is.
func (h *Histogram) quantile(share float64) float64 {
	rest := share * float64(h.total())
	for i, c := range h {
		n := float64(c)
		if n > 0 && rest <= n {
			return float64(i) + rest/n
		}
		rest -= n
	}
	return Buckets
}

// above returns how many of the durations are above a position, which may be inside a bucket.
func (h *Histogram) above(position float64) float64 {
	n := 0.0
	for i, c := range h {
		n += float64(c) * min(max(float64(i+1)-position, 0), 1)
	}
	return n
}

// duration returns the duration at a position.
func duration(position float64) time.Duration {
	return time.Duration(float64(time.Millisecond) * math.Pow(bucketFactor, position-1))
}
