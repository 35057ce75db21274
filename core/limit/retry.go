package limit

// defaultRetryShare keeps retries and hedges under a tenth of first tries, so that
// they add at most a tenth to the load of a group in trouble.
const defaultRetryShare = 0.1

// defaultRetryBurst bounds the retries that a long quiet time saves up.
const defaultRetryBurst = 10

// RetryBudget is a token bucket for the retries and hedges from one node to one
// group. First tries fill it; it starts empty, so the share holds from the first
// call on. The zero value is ready to use. It is not safe for concurrent use.
type RetryBudget struct {
	Share float64 // retries per first try, 0: 0.1
	Burst float64 // most tokens saved, 0: 10

	tokens float64
}

// First counts a first try.
func (b *RetryBudget) First() {
	s, m := b.Share, b.Burst
	if s <= 0 {
		s = defaultRetryShare
	}
	if m <= 0 {
		m = defaultRetryBurst
	}
	b.tokens = min(m, b.tokens+s)
}

// Take uses a token for a retry or hedge and reports whether there was one.
func (b *RetryBudget) Take() bool {
	// Ten times 0.1 is a little under 1 in floating point.
	if b.tokens < 1-1e-9 {
		return false
	}
	b.tokens = max(0, b.tokens-1)
	return true
}

// Refund returns a token that was taken for a call that was not sent.
func (b *RetryBudget) Refund() { b.tokens++ }
