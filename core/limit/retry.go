package limit

// defaultRetryShare limits retries and hedges to a tenth of the first attempts, so that
// they add at most a tenth to the load of an overloaded or failing pool.
const defaultRetryShare = 0.1

// defaultRetryBurst bounds the tokens that accumulate while there are no retries.
const defaultRetryBurst = 10

// RetryBudget is a token bucket for the retries and hedges from one node to one
// pool. First attempts fill it; it starts empty, so the share holds from the first
// call on. The zero value is ready to use. It is not safe for concurrent use.
type RetryBudget struct {
	Share float64 // retries per first attempt, 0: 0.1
	Burst float64 // maximum number of tokens, 0: 10

	tokens float64
}

// CountFirst counts a first attempt.
func (b *RetryBudget) CountFirst() {
	s, m := b.Share, b.Burst
	if s <= 0 {
		s = defaultRetryShare
	}
	if m <= 0 {
		m = defaultRetryBurst
	}
	b.tokens = min(m, b.tokens+s)
}

// Take takes a token for a retry or hedge and reports whether there was one.
func (b *RetryBudget) Take() bool {
	// The sum of ten times 0.1 is slightly less than 1 in floating point.
	if b.tokens < 1-1e-9 {
		return false
	}
	b.tokens = max(0, b.tokens-1)
	return true
}

// Refund returns a token that was taken for a call that was not sent.
func (b *RetryBudget) Refund() { b.tokens++ }
