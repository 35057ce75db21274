package stage

import "time"

const (
	// stallFactor times the p99 of normal waits counts as silence.
	stallFactor = 8
	// stallMin and stallMax bound the stall timeout: under 200 ms, pauses of the
	// collector or a batch switch would count as silence; over 1 s, two silences
	// use up a 4 s deadline.
	stallMin = 200 * time.Millisecond
	stallMax = time.Second
	// hedgeMin keeps hedges of very fast stages from chasing scheduling noise.
	hedgeMin = 2 * time.Millisecond
)

// Budget returns how much of left the first stage of rest may take. It divides
// left in proportion to the measured p95 of the stages that remain.
func Budget(left time.Duration, rest []Quantiles) time.Duration {
	if left <= 0 || len(rest) == 0 {
		return 0
	}
	var sum time.Duration
	for _, q := range rest {
		sum += q.P95
	}
	if sum <= 0 {
		return left / time.Duration(len(rest))
	}
	return time.Duration(float64(left) * float64(rest[0].P95) / float64(sum))
}

// MedianTotal returns the time that stages take together when each takes its median.
func MedianTotal(rest []Quantiles) time.Duration {
	var sum time.Duration
	for _, q := range rest {
		sum += q.P50
	}
	return sum
}

// CanFinish reports whether the stages of rest can still end within left.
func CanFinish(left time.Duration, rest []Quantiles) bool {
	return left > 0 && MedianTotal(rest) <= left
}

// HedgeDelay returns how long a repeatable call runs before a copy is sent to
// another server. At the p95, hedges are at most about 5% of calls; before twice the
// median, a copy could hardly end sooner than the call itself.
func HedgeDelay(q Quantiles) time.Duration { return max(q.P95, 2*q.P50, hedgeMin) }

// StallTimeout returns how long a stream may be silent between tokens. A server in a
// cold start, and one whose gaps were not measured, gets the longest.
func StallTimeout(gaps Quantiles, cold bool) time.Duration {
	if cold || gaps.Samples < enough {
		return stallMax
	}
	return min(max(stallFactor*gaps.P99, stallMin), stallMax)
}

// FirstTimeout returns how long a call may take until its first byte of answer
// before it counts as silent. It leaves half of the budget for another try.
// For a server in a cold start, pass no quantiles: it gets all of that half.
func FirstTimeout(q Quantiles, budget time.Duration) time.Duration {
	if q.P99 == 0 {
		return max(budget/2, stallMin)
	}
	return max(min(stallFactor*q.P99, budget/2), stallMin)
}
