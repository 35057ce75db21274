package permit

// This file bounds retries and hedges.

import (
	"sync"

	"bergamotspring/core/limit"
)

// Retries bounds a node's retries and hedges, by pool. A budget for each group would
// refuse retries that go to another group than the first attempt, which they must if that
// group has only one server.
type Retries struct {
	mu    sync.Mutex
	pools map[string]*limit.RetryBudget
}

func (r *Retries) budget(pool string, share float64) *limit.RetryBudget {
	b := r.pools[pool]
	if b == nil {
		b = &limit.RetryBudget{}
		put(&r.pools, pool, b)
	}
	b.Share = share
	return b
}

// CountFirst counts a first attempt that got its permit.
func (r *Retries) CountFirst(pool string, share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(pool, share).CountFirst()
}

// Take takes the budget of a retry or hedge and reports whether there was enough.
func (r *Retries) Take(pool string, share float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget(pool, share).Take()
}

// Refund returns the budget of a retry that got no permit.
func (r *Retries) Refund(pool string, share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(pool, share).Refund()
}
