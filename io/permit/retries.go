package permit

// This file bounds retries and hedges.

import (
	"sync"

	"bergamotspring/core/limit"
)

// Retries bounds a node's retries and hedges, by pool. A budget for each
// group would refuse those that go to another group than their first try, and a
// group of one server has no other place for them.
type Retries struct {
	mu    sync.Mutex
	pools map[string]*limit.RetryBudget
}

func (r *Retries) of(pool string, share float64) *limit.RetryBudget {
	b := r.pools[pool]
	if b == nil {
		b = &limit.RetryBudget{}
		put(&r.pools, pool, b)
	}
	b.Share = share
	return b
}

// First counts a first try that got its permit.
func (r *Retries) First(pool string, share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.of(pool, share).First()
}

// Take pays for a retry or hedge and reports whether it may be asked for.
func (r *Retries) Take(pool string, share float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.of(pool, share).Take()
}

// Refund returns what a retry paid that got no permit.
func (r *Retries) Refund(pool string, share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.of(pool, share).Refund()
}
