package tables

// This file defines how answers are recorded and how claims of calls that were never
// sent are freed.

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
	recordWindow = 200 * time.Millisecond
	recordBytes  = 1 << 20  // answers in one transaction
	recordsBytes = 32 << 20 // answers kept until they are recorded
	recordsKept  = 4096
	freesKept    = 4096
	retryMax     = 5 * time.Second
	abandonWait  = 250 * time.Millisecond
)

// record is an answer that is not in the table yet.
type record struct {
	ticket claim.Ticket
	status int
	answer []byte
}

// recordQueue holds answers in the order of Finish. While an answer waits, repeats
// at this node get it from here.
type recordQueue struct {
	byKey map[string]*record
	order []*record
	bytes int
	timer bool // a start is due
	busy  bool // records are being written
}

// freed is a claim of a call that was not sent.
type freed struct {
	ticket    claim.Ticket
	uncertain bool
	done      func() // called when settled, may be nil
}

type freeQueue struct {
	waiting []freed
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
	if len(a.answer) > claim.MaxResponse {
		return claim.Verdict{Ended: true}, true
	}
	return claim.Verdict{Kind: claim.Recorded, Status: a.status, Response: a.answer}, true
}

func (q *recordQueue) add(r *record) {
	if q.byKey == nil {
		q.byKey = map[string]*record{}
	}
	q.byKey[r.ticket.Key] = r
	q.order = append(q.order, r)
	q.bytes += len(r.answer)
}

// group returns the first records that fit in one transaction, at least one.
func (q *recordQueue) group() []*record {
	n, size := 0, 0
	for n < len(q.order) && n < claimGroup {
		size += len(q.order[n].answer)
		if n > 0 && size > recordBytes {
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
		q.bytes -= len(r.answer)
	}
	q.order = append([]*record(nil), q.order[n:]...)
}

// Finish records the answer of a call that was sent. It does not wait: the answer is
// kept until the table took it, and dropped only when too much is kept. The claim
// then stays claimed, and a repeat reads "unknown".
func (c *Claims) Finish(k claim.Ticket, status int, answer []byte) {
	_ = c.finish(k, status, answer) // counted
}

func (c *Claims) finish(k claim.Ticket, status int, answer []byte) error {
	c.start()
	r := &record{ticket: k, status: status, answer: bytes.Clone(answer)}
	if len(answer) > claim.MaxResponse {
		r.answer = r.answer[:claim.MaxResponse+1] // enough to show that it is too large
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	q := &c.records
	full := len(q.order) >= recordsKept || q.bytes+len(r.answer) > recordsBytes
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

// startRecords writes what waits. The lock is held.
func (c *Claims) startRecords() {
	if c.records.busy || len(c.records.order) == 0 {
		return
	}
	c.records.busy = true
	c.work.Go(c.writeRecords)
}

func (c *Claims) writeRecords() {
	limit := probeFirst
	for {
		g := c.nextRecords()
		if len(g) == 0 {
			return
		}
		var t store.Tx
		for _, r := range g {
			claim.Finish(&t, r.ticket, c.Node, r.status, r.answer)
		}
		n, err := c.transact(t)
		if err == nil {
			limit = probeFirst
			c.recorded(len(g), n)
			continue
		}
		c.tableFailed()
		if !c.retryAfter(limit) {
			return
		}
		limit = min(2*limit, retryMax)
	}
}

func (c *Claims) nextRecords() []*record {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.records.group()
	c.records.busy = len(g) > 0
	return g
}

func (c *Claims) recorded(n int, sequence uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records.drop(n)
	c.highest = max(c.highest, sequence)
}

// retryAfter waits with full jitter, and only shortly once Close has begun. It reports
// false if Close gave up.
func (c *Claims) retryAfter(limit time.Duration) bool {
	if c.pause(rand.N(limit)) {
		return true
	}
	t := time.NewTimer(rand.N(probeFirst))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// Release frees the claim of a call of which no byte was sent, so that a resend can
// run. It waits a little for the table, because the caller may resend at once.
func (c *Claims) Release(k claim.Ticket) {
	ctx, cancel := context.WithTimeout(context.Background(), abandonWait)
	defer cancel()
	c.abandon(ctx, freed{ticket: k})
}

// abandon frees a claim, waiting until it is free, the table is down or ctx ends. The
// freeing goes on after that.
func (c *Claims) abandon(ctx context.Context, f freed) {
	done := make(chan struct{})
	f.done = func() { close(done) }
	if c.startFree(f) != nil {
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

// startFree queues f for a caller outside of the writer's own work.
func (c *Claims) startFree(f freed) error {
	c.start()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		c.counters.DroppedFrees++
		return ErrClaimsClosed
	}
	c.addFree(f)
	return nil
}

// free queues f from the writer's own work.
func (c *Claims) free(f freed) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addFree(f)
}

// addFree queues f. The lock is held.
func (c *Claims) addFree(f freed) {
	q := &c.frees
	if len(q.waiting) >= freesKept {
		c.counters.DroppedFrees++
		f.end()
		return
	}
	q.waiting = append(q.waiting, f)
	if !q.timer {
		q.timer = true
		c.after(claimWindow, c.writeFrees)
	}
}

// writeFrees settles the waiting frees, one group after the other.
func (c *Claims) writeFrees() {
	limit := probeFirst
	for {
		g := c.nextFrees()
		if len(g) == 0 {
			return
		}
		for len(g) > 0 {
			rest, err := c.settle(g)
			g = rest
			if err == nil {
				continue
			}
			c.tableFailed()
			if !c.retryAfter(limit) {
				return
			}
			limit = min(2*limit, retryMax)
		}
	}
}

// nextFrees takes frees with distinct keys, as a row is written once in a transaction.
func (c *Claims) nextFrees() []freed {
	c.mu.Lock()
	defer c.mu.Unlock()
	var g, rest []freed
	seen := map[string]bool{}
	for _, f := range c.frees.waiting {
		if len(g) < claimGroup && !seen[f.ticket.Key] {
			seen[f.ticket.Key] = true
			g = append(g, f)
		} else {
			rest = append(rest, f)
		}
	}
	c.frees.waiting = rest
	c.frees.timer = len(g) > 0
	return g
}

// settle frees what the rows show as unused. It returns what has to be tried again:
// everything after an error, the changed rows after a conflict.
func (c *Claims) settle(g []freed) ([]freed, error) {
	keys := make([]string, len(g))
	for i, f := range g {
		keys[i] = f.ticket.Key
	}
	rows, _, err := c.readRows(keys)
	if err != nil {
		return g, err
	}
	var t store.Tx
	var open []freed
	for _, f := range g {
		if s := rows[f.ticket.Key]; claim.NeedsRelease(f.ticket, f.uncertain, s) {
			claim.Release(&t, f.ticket, s.Version, c.Node)
			open = append(open, f)
		} else {
			f.end()
		}
	}
	return c.writeSettled(t, open)
}

func (c *Claims) writeSettled(t store.Tx, open []freed) ([]freed, error) {
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

func (f freed) end() {
	if f.done != nil {
		f.done()
	}
}
