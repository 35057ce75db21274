package tables

// This file defines how responses are recorded and how claims of calls that were never
// sent are released.

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"bergamotspring/core/claim"
	"bergamotspring/core/store"
)

const (
	recordWindow         = 200 * time.Millisecond
	maxTransactionBytes  = 1 << 20  // responses in one transaction
	maxQueuedRecordBytes = 32 << 20 // responses held until they are recorded
	maxQueuedRecords     = 4096
	maxQueuedReleases    = 4096
	maxRetryBackoff      = 5 * time.Second
	releaseWait          = 250 * time.Millisecond
)

// record is a response that is not in the table yet.
type record struct {
	ticket   claim.Ticket
	status   int
	response []byte
}

// recordQueue holds responses in the order of Finish. Until a response is recorded,
// retries at this node get it from the queue.
type recordQueue struct {
	byKey map[string]*record
	order []*record
	bytes int
	timer bool // a flush is scheduled
	busy  bool // records are being written
}

// release is the pending release of the claim of a call that was not sent.
type release struct {
	ticket    claim.Ticket
	uncertain bool
	done      func() // called when released or dropped, may be nil
}

type releaseQueue struct {
	waiting []release
	timer   bool
}

func (q *recordQueue) verdict(r claim.Request) (claim.Verdict, bool) {
	a := q.byKey[r.Key]
	if a == nil {
		return claim.Verdict{}, false
	}
	if a.ticket.Body != r.Body {
		return claim.Verdict{Kind: claim.Conflict}, true
	}
	if len(a.response) > claim.MaxResponse {
		return claim.Verdict{Ended: true}, true
	}
	return claim.Verdict{Kind: claim.Recorded, Status: a.status, Response: a.response}, true
}

func (q *recordQueue) add(r *record) {
	if q.byKey == nil {
		q.byKey = map[string]*record{}
	}
	q.byKey[r.ticket.Key] = r
	q.order = append(q.order, r)
	q.bytes += len(r.response)
}

// nextBatch returns the first records that fit in one transaction, at least one.
func (q *recordQueue) nextBatch() []*record {
	n, size := 0, 0
	for n < len(q.order) && n < maxBatchClaims {
		size += len(q.order[n].response)
		if n > 0 && size > maxTransactionBytes {
			break
		}
		n++
	}
	return append([]*record(nil), q.order[:n]...)
}

// drop removes the first n records.
func (q *recordQueue) drop(n int) {
	for _, r := range q.order[:n] {
		delete(q.byKey, r.ticket.Key)
		q.bytes -= len(r.response)
	}
	q.order = append([]*record(nil), q.order[n:]...)
}

// Finish records the response of a call that was sent. It does not block: the response
// is queued until the table has accepted it, and dropped only when the queue is full
// or the writer closed. The key then stays claimed, and a retry gets the verdict Unknown.
func (c *Claims) Finish(k claim.Ticket, status int, response []byte) {
	_ = c.finish(k, status, response) // counted in DroppedRecords
}

func (c *Claims) finish(k claim.Ticket, status int, response []byte) error {
	c.start()
	r := &record{ticket: k, status: status, response: bytes.Clone(response)}
	if len(response) > claim.MaxResponse {
		r.response = r.response[:claim.MaxResponse+1] // enough to mark it as too large
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	q := &c.records
	full := len(q.order) >= maxQueuedRecords || q.bytes+len(r.response) > maxQueuedRecordBytes
	if c.closed || full {
		c.counters.DroppedRecords++
		return ErrClaimsFull
	}
	q.add(r)
	if !q.timer && !q.busy {
		q.timer = true
		c.after(recordWindow, c.flushRecords)
	}
	return nil
}

func (c *Claims) flushRecords() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records.timer = false
	c.startRecords()
}

// startRecords starts writing the queued records. The lock is held.
func (c *Claims) startRecords() {
	if c.records.busy || len(c.records.order) == 0 {
		return
	}
	c.records.busy = true
	c.work.Go(c.writeRecords)
}

func (c *Claims) writeRecords() {
	limit := initialBackoff
	for {
		g := c.nextRecords()
		if len(g) == 0 {
			return
		}
		var t store.Tx
		for _, r := range g {
			claim.Finish(&t, r.ticket, c.Node, r.status, r.response)
		}
		n, err := c.transact(t)
		if err == nil {
			limit = initialBackoff
			c.onRecorded(len(g), n)
			continue
		}
		c.tableFailed()
		if !c.retryAfter(limit) {
			return
		}
		limit = min(2*limit, maxRetryBackoff)
	}
}

func (c *Claims) nextRecords() []*record {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.records.nextBatch()
	c.records.busy = len(g) > 0
	return g
}

func (c *Claims) onRecorded(n int, sequence uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records.drop(n)
	c.highest = max(c.highest, sequence)
}

// retryAfter waits with full jitter, for at most initialBackoff once Close has begun. It
// reports false if Close gave up.
func (c *Claims) retryAfter(limit time.Duration) bool {
	if c.pause(rand.N(limit)) {
		return true
	}
	t := time.NewTimer(rand.N(initialBackoff))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// Release releases the claim of a call of which no byte was sent, so that a resend can
// run. It waits up to releaseWait for the table, because the caller may resend at once.
func (c *Claims) Release(k claim.Ticket) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseWait)
	defer cancel()
	c.releaseAndWait(ctx, release{ticket: k})
}

// releaseAndWait releases a claim and waits until it is released, the table is down or ctx
// ends. The release continues in the background.
func (c *Claims) releaseAndWait(ctx context.Context, f release) {
	done := make(chan struct{})
	f.done = func() { close(done) }
	if c.requestRelease(f) != nil {
		return
	}
	c.mu.Lock()
	down := c.down
	c.mu.Unlock()
	if down {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// requestRelease queues f for callers outside the writer. It fails once the writer is
// closed.
func (c *Claims) requestRelease(f release) error {
	c.start()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		c.counters.DroppedReleases++
		return ErrClaimsClosed
	}
	c.addRelease(f)
	return nil
}

// queueRelease queues f from the writer's own goroutines, also while it is closing.
func (c *Claims) queueRelease(f release) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addRelease(f)
}

// addRelease queues f. The lock is held.
func (c *Claims) addRelease(f release) {
	c.memory.forget(f.ticket)
	q := &c.releases
	if len(q.waiting) >= maxQueuedReleases {
		c.counters.DroppedReleases++
		f.end()
		return
	}
	q.waiting = append(q.waiting, f)
	if !q.timer {
		q.timer = true
		c.after(claimWindow, c.writeReleases)
	}
}

// writeReleases writes the queued releases, one batch after the other.
func (c *Claims) writeReleases() {
	limit := initialBackoff
	for {
		g := c.nextReleases()
		if len(g) == 0 {
			return
		}
		for len(g) > 0 {
			rest, err := c.resolveReleases(g)
			g = rest
			if err == nil {
				continue
			}
			c.tableFailed()
			if !c.retryAfter(limit) {
				return
			}
			limit = min(2*limit, maxRetryBackoff)
		}
	}
}

// nextReleases takes releases with distinct keys from the queue, because a transaction
// may write a row only once.
func (c *Claims) nextReleases() []release {
	c.mu.Lock()
	defer c.mu.Unlock()
	var g, rest []release
	seen := map[string]bool{}
	for _, f := range c.releases.waiting {
		if len(g) < maxBatchClaims && !seen[f.ticket.Key] {
			seen[f.ticket.Key] = true
			g = append(g, f)
		} else {
			rest = append(rest, f)
		}
	}
	c.releases.waiting = rest
	c.releases.timer = len(g) > 0
	return g
}

// resolveReleases releases the claims that their rows show as unused. It returns what has
// to be retried: everything after an error, the changed rows after a conflict.
func (c *Claims) resolveReleases(g []release) ([]release, error) {
	keys := make([]string, len(g))
	for i, f := range g {
		keys[i] = f.ticket.Key
	}
	rows, _, err := c.readRows(keys)
	if err != nil {
		return g, err
	}
	var t store.Tx
	var open []release
	for _, f := range g {
		if s := rows[f.ticket.Key]; claim.NeedsRelease(f.ticket, f.uncertain, s) {
			claim.Release(&t, f.ticket, s.Version, c.Node)
			open = append(open, f)
		} else {
			f.end()
		}
	}
	return c.commitReleases(t, open)
}

func (c *Claims) commitReleases(t store.Tx, open []release) ([]release, error) {
	if len(open) == 0 {
		return nil, nil
	}
	_, err := c.transact(t)
	if _, ok := errors.AsType[*store.ConflictError](err); ok {
		return open, nil
	}
	if err != nil {
		return open, err
	}
	for _, f := range open {
		f.end()
	}
	return nil, nil
}

func (f release) end() {
	if f.done != nil {
		f.done()
	}
}
