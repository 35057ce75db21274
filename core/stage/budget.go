package stage

import "time"

const (
	// stallFactor times the p99 of normal waits is the stall timeout.
	stallFactor = 8
	// stallMin and stallMax bound the stall timeout: under 200 ms, pauses of the
	// garbage collector or a batch switch would count as stalls; over 1 s, two stalls
	// could use up a 4 s deadline.
	stallMin = 200 * time.Millisecond
	stallMax = time.Second
	// hedgeMin prevents hedges of very fast stages that are due to scheduling noise only.
	hedgeMin = 2 * time.Millisecond
)

// Budget returns how much of the remaining time the first stage of rest may take. It
// divides the time in proportion to the p95 of the stages of rest.
func Budget(remaining time.Duration, rest []Quantiles) time.Duration {
	if remaining <= 0 || len(rest) == 0 {
		return 0
	}
	var sum time.Duration
	for _, q := range rest {
		sum += q.P95
	}
	if sum <= 0 {
		return remaining / time.Duration(len(rest))
	}
	return time.Duration(float64(remaining) * float64(rest[0].P95) / float64(sum))
}

// MedianTotal returns the sum of the medians of the stages.
func MedianTotal(rest []Quantiles) time.Duration {
	var sum time.Duration
	for _, q := range rest {
		sum += q.P50
	}
	return sum
}

// CanFinish reports whether the stages of rest can be expected to end within the remaining
// time.
func CanFinish(remaining time.Duration, rest []Quantiles) bool {
	return remaining > 0 && MedianTotal(rest) <= remaining
}

// HedgeDelay returns how long a repeatable call runs before a hedge is sent to another
// server. At the p95, hedges are at most about 5% of calls; before twice the median, a
// hedge could hardly end sooner than the call itself.
func HedgeDelay(q Quantiles) time.Duration { return max(q.P95, 2*q.P50, hedgeMin) }

// StallTimeout returns how long a stream may be silent between tokens. A server in a
// cold start, and one with too few measured gaps, gets the longest timeout.
func StallTimeout(gaps Quantiles, cold bool) time.Duration {
	if cold || gaps.Samples < minSamples {
		return stallMax
	}
	return min(max(stallFactor*gaps.P99, stallMin), stallMax)
}

// FirstTimeout returns how long a call may wait for the first byte of its response before
// it counts as stalled: at most half of the budget, which leaves the other half for a
// retry, but at least stallMin. For a server in a cold start, pass no quantiles: it gets
// all of the first half.
func FirstTimeout(q Quantiles, budget time.Duration) time.Duration {
	if q.P99 == 0 {
		return max(budget/2, stallMin)
	}
	return max(min(stallFactor*q.P99, budget/2), stallMin)
}
