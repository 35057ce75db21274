package tables

// This file defines how a batch of claims is written and decided, and how the writer
// detects that the table is down.

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"bergamotspring/core/claim"
	"bergamotspring/core/store"
)

const (
	initialBackoff  = 250 * time.Millisecond
	maxProbeBackoff = 5 * time.Second
)

// claimAll writes the claims of b in one transaction. Claims whose rows exist are
// split off and decided by reading, so that they do not delay the others.
func (c *Claims) claimAll(b []*attempt, rounds int) {
	if known, rest := c.splitRemembered(b); len(known) > 0 && rounds > 0 {
		b = rest
		remaining := rounds - 1
		c.work.Go(func() { c.claimAll(c.readBack(known), remaining) })
	}
	for ; rounds > 0 && len(b) > 0; rounds-- {
		floor := c.floor()
		n, err := c.transact(claimTx(b))
		if err == nil {
			c.onAcquired(b, floor, n)
			return
		}
		if k, ok := errors.AsType[*store.ConflictError](err); ok {
			lost, rest := splitConflicts(b, k.Keys)
			remaining := rounds - 1
			c.work.Go(func() { c.claimAll(c.readBack(lost), remaining) })
			b = rest
			continue
		}
		if _, ok := errors.AsType[*store.UnsentError](err); ok {
			c.tableFailed()
			c.refuseAll(b, ErrTableDown)
			return
		}
		for _, a := range b {
			a.uncertain = true
		}
		b = c.readBack(b)
	}
	c.refuseAll(b, errContended)
}

func claimTx(b []*attempt) store.Tx {
	var t store.Tx
	for _, a := range b {
		claim.Acquire(&t, a.q, a.version)
	}
	return t
}

// onAcquired ends the attempts of a transaction that took effect at sequence n.
func (c *Claims) onAcquired(b []*attempt, floor, n uint64) {
	if n <= floor {
		for _, a := range b {
			a.uncertain = true
		}
		c.refuseAll(b, ErrTableRegressed)
		return
	}
	c.raise(n)
	for _, a := range b {
		c.end(a, claim.Verdict{Kind: claim.Run, Ticket: a.q.Ticket()})
	}
}

// end delivers a verdict. If the caller has given up, an acquired claim is released.
func (c *Claims) end(a *attempt, v claim.Verdict) {
	if v.Kind == claim.Run {
		c.mu.Lock()
		c.memory.remember(v.Ticket)
		c.mu.Unlock()
	}
	if !a.end(v, nil) && v.Kind == claim.Run {
		c.queueRelease(release{ticket: v.Ticket})
	}
}

// splitConflicts separates the attempts whose keys conflicted from the rest. If the table
// named no key, all attempts count as conflicting.
func splitConflicts(b []*attempt, keys []string) (lost, rest []*attempt) {
	m := map[string]bool{}
	for _, k := range keys {
		m[k] = true
	}
	for _, a := range b {
		if m[a.q.Key] {
			lost = append(lost, a)
		} else {
			rest = append(rest, a)
		}
	}
	if len(lost) == 0 {
		return rest, nil
	}
	return lost, rest
}

// readBack decides attempts by their rows and returns those whose write may be retried.
func (c *Claims) readBack(b []*attempt) []*attempt {
	floor := c.floor()
	rows, sequence, err := c.readRows(keysOfAttempts(b))
	if err != nil {
		c.tableFailed()
		c.refuseAll(b, ErrTableDown)
		return nil
	}
	if sequence < floor {
		c.refuseAll(b, ErrTableRegressed)
		return nil
	}
	var retry []*attempt
	for _, a := range b {
		s := claim.Decide(a.q, rows[a.q.Key])
		if s.Acquire && c.isLost(a.q, rows[a.q.Key]) {
			c.end(a, claim.Verdict{}) // the call may have run
		} else if s.Acquire {
			a.version = s.Version
			retry = append(retry, a)
		} else {
			c.end(a, s.Verdict)
		}
	}
	return retry
}

func keysOfAttempts(b []*attempt) []string {
	k := make([]string, len(b))
	for i, a := range b {
		k[i] = a.q.Key
	}
	return k
}

// refuseAll ends attempts as not run and releases the claims whose write may have taken
// effect.
func (c *Claims) refuseAll(b []*attempt, cause error) {
	for _, a := range b {
		if a.uncertain {
			c.queueRelease(release{ticket: a.q.Ticket(), uncertain: true})
		}
		a.end(claim.Verdict{}, &claim.RefusedError{Cause: cause})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counters.Refused += int64(len(b))
}

func (c *Claims) transact(t store.Tx) (uint64, error) {
	ctx, cancel := context.WithTimeout(c.ctx, operationTimeout)
	defer cancel()
	c.mu.Lock()
	c.counters.Transactions++
	c.mu.Unlock()
	return c.Table.Transact(ctx, t)
}

func (c *Claims) readRows(keys []string) (map[string]store.Row, uint64, error) {
	ctx, cancel := context.WithTimeout(c.ctx, operationTimeout)
	defer cancel()
	r, err := c.Table.Read(ctx, store.Query{Keys: keys})
	if err != nil {
		return nil, 0, err
	}
	m := make(map[string]store.Row, len(r.Rows))
	for _, s := range r.Rows {
		m[s.Key] = s
	}
	return m, r.Sequence, nil
}

// floor returns the lowest sequence of a table that has lost no writes. It is read
// before an operation is sent, because concurrent operations raise it.
func (c *Claims) floor() uint64 {
	c.mu.Lock()
	n := c.highest
	c.mu.Unlock()
	if c.Floor != nil {
		n = max(n, c.Floor())
	}
	return n
}

func (c *Claims) raise(n uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.highest = max(c.highest, n)
}

// tableFailed makes new claims fail at once until a probe gets a response.
func (c *Claims) tableFailed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down || c.closed {
		return
	}
	c.down = true
	c.work.Go(c.probe)
}

// probe reads until the table responds. The backoff has full jitter, so that the nodes
// do not all return at once when the table recovers.
func (c *Claims) probe() {
	limit := initialBackoff
	for c.pause(rand.N(limit)) {
		if _, _, err := c.readRows(nil); err == nil {
			break
		}
		limit = min(2*limit, maxProbeBackoff)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = false
}

// pause waits for d. It reports false if the writer is closing.
func (c *Claims) pause(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-c.stop:
		return false
	}
}
