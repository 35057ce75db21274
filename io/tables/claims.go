package tables

// This file defines the group commit of claims: claims that arrive within a short
// window share one transaction, and so do the records of responses. The state of each
// claim is decided by core/claim.

import (
	"context"
	"crypto/rand"
	"errors"
	"sync"
	"time"

	"bergamotspring/core/claim"
	"bergamotspring/core/store"
)

const (
	claimWindow        = 5 * time.Millisecond
	maxBatchClaims     = 64 // claims, records or releases in one transaction
	maxBatchesInFlight = 4  // transactions in flight
	maxWaitingClaims   = 1024
	operationTimeout   = 3 * time.Second // of one table operation
	maxClaimRounds     = 4               // transactions attempted for one batch
)

// The causes of a *claim.RefusedError.
var (
	ErrTableDown      = errors.New("tables: the table service is down")
	ErrClaimsFull     = errors.New("tables: too many claims waiting")
	ErrClaimsClosed   = errors.New("tables: claims are closed")
	ErrTableRegressed = errors.New("tables: the table service lost writes")
	errContended      = errors.New("tables: the claim kept changing")
)

// Claims writes the claims of a node. Table and Node must be set before first use.
// Close must be called to record the last responses. It is safe for concurrent use.
type Claims struct {
	Table store.Table
	Node  string // node and incarnation

	// Token returns a unique token, nil: random text.
	Token func() string
	// Floor returns the highest table sequence that the node knows of, nil: of its
	// own claims only. A table that returns a lower one has lost writes, possibly of
	// claims, so the call is refused.
	Floor func() uint64

	once   sync.Once
	ctx    context.Context // ends when Close gives up
	cancel context.CancelFunc
	stop   chan struct{} // closed when Close begins
	work   sync.WaitGroup

	mu       sync.Mutex
	closed   bool
	down     bool // the last operation failed; a probe is running
	highest  uint64
	waiting  []*attempt
	timer    bool // a flush of waiting is scheduled
	batches  int
	records  recordQueue
	releases releaseQueue
	memory   claimMemory
	counters ClaimCounts
}

// ClaimCounts counts what the writer did since its start.
type ClaimCounts struct {
	Begun          int64 // attempts to claim
	Refused        int64
	Transactions   int64 // sent
	DroppedRecords int64 // responses that were not recorded: queue full or closed
	// DroppedReleases counts releases refused because the queue was full or the writer
	// closed; their keys may stay claimed although nothing was sent.
	DroppedReleases int64
}

// attempt is one call of Begin.
type attempt struct {
	q         claim.Request
	version   uint64 // that the row must have
	uncertain bool   // an earlier write of this claim may still take effect

	mu        sync.Mutex
	abandoned bool // the caller gave up
	ended     bool
	verdict   claim.Verdict
	err       error
	done      chan struct{}
	notify    func(claim.Verdict, error) // instead of done, if set
}

// Counts returns the counts so far.
func (c *Claims) Counts() ClaimCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counters
}

// Begin claims a call. The call may be sent if and only if the verdict is Run. The
// error is a *claim.RefusedError: nothing was sent and this attempt never will be.
func (c *Claims) Begin(ctx context.Context, organisation, key string, body uint64) (claim.Verdict, error) {
	q := claim.Request{Key: claim.Key(organisation, key), Body: body, Token: c.token(), Node: c.Node}
	return c.begin(ctx, q)
}

// Start is Begin without waiting, for claims forwarded by other nodes. Done is called
// exactly once and must not block. An error that is no *claim.RefusedError says that
// another writer has to be tried.
func (c *Claims) Start(q claim.Request, done func(claim.Verdict, error)) {
	v, known, err := c.enqueue(&attempt{q: q, notify: done})
	if errors.Is(err, ErrClaimsClosed) {
		done(v, err)
	} else if err != nil {
		done(v, &claim.RefusedError{Cause: err})
	} else if known {
		done(v, nil)
	}
}

// End handles the end of a call that another node claimed through this one. Done is
// called when the response is queued for recording or refused, or when the release has
// ended or was dropped; not for a release that Close gives up.
func (c *Claims) End(e claim.End, done func(error)) {
	if e.Sent {
		done(c.finish(e.Ticket, e.Status, e.Response))
		return
	}
	if err := c.requestRelease(release{ticket: e.Ticket, done: func() { done(nil) }}); err != nil {
		done(err)
	}
}

func (c *Claims) begin(ctx context.Context, q claim.Request) (claim.Verdict, error) {
	a := &attempt{q: q, done: make(chan struct{})}
	v, known, err := c.enqueue(a)
	if err != nil {
		return claim.Verdict{}, &claim.RefusedError{Cause: err}
	}
	if known {
		return v, nil
	}
	select {
	case <-a.done:
		return a.verdict, a.err
	case <-ctx.Done():
	}
	if a.abandon() {
		return claim.Verdict{}, &claim.RefusedError{Cause: context.Cause(ctx)}
	}
	return a.verdict, a.err
}

func (c *Claims) token() string {
	if c.Token == nil {
		return rand.Text()
	}
	return c.Token()
}

func (c *Claims) start() {
	c.once.Do(func() {
		c.ctx, c.cancel = context.WithCancel(context.Background())
		c.stop = make(chan struct{})
	})
}

// enqueue adds an attempt to the next batch, unless this node has the response queued for
// recording.
func (c *Claims) enqueue(a *attempt) (v claim.Verdict, known bool, err error) {
	c.start()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counters.Begun++
	if v, known = c.records.verdict(a.q); known {
		return v, true, nil
	}
	if err := c.refusal(); err != nil {
		c.counters.Refused++
		return v, false, err
	}
	c.waiting = append(c.waiting, a)
	if len(c.waiting) >= maxBatchClaims {
		c.startBatch()
	} else if !c.timer {
		c.timer = true
		c.after(claimWindow, c.flush)
	}
	return v, false, nil
}

func (c *Claims) refusal() error {
	if c.closed {
		return ErrClaimsClosed
	}
	if c.down {
		return ErrTableDown
	}
	if len(c.waiting) >= maxWaitingClaims {
		return ErrClaimsFull
	}
	return nil
}

// after runs f after d, or at once when the writer is closing. The lock is held.
func (c *Claims) after(d time.Duration, f func()) {
	c.work.Go(func() {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
		case <-c.stop:
		}
		f()
	})
}

func (c *Claims) flush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timer = false
	c.startBatch()
}

// startBatch sends the next batch unless maxBatchesInFlight are in flight; the end of each
// batch calls it again. The lock is held.
func (c *Claims) startBatch() {
	if c.batches >= maxBatchesInFlight || len(c.waiting) == 0 {
		return
	}
	b := c.nextBatch()
	c.batches++
	c.work.Go(func() {
		c.claimAll(b, maxClaimRounds)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.batches--
		c.startBatch()
	})
}

// nextBatch takes waiting attempts with distinct keys, because a transaction may write a
// row only once.
func (c *Claims) nextBatch() []*attempt {
	var b, rest []*attempt
	seen := map[string]bool{}
	for _, a := range c.waiting {
		if len(b) < maxBatchClaims && !seen[a.q.Key] {
			seen[a.q.Key] = true
			b = append(b, a)
		} else {
			rest = append(rest, a)
		}
	}
	c.waiting = rest
	return b
}

// abandon marks that the caller gave up. It reports false if the attempt has ended.
func (a *attempt) abandon() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.abandoned = !a.ended
	return a.abandoned
}

// end delivers a verdict. It reports false if the caller has given up.
func (a *attempt) end(v claim.Verdict, err error) bool {
	if a.notify != nil {
		a.notify(v, err)
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.abandoned {
		return false
	}
	a.verdict, a.err, a.ended = v, err, true
	close(a.done)
	return true
}

// Close refuses new claims, completes those in flight and records the queued responses.
// When ctx ends first, it drops the rest, and returns ctx's error if responses were dropped.
// The calls that hold tickets must have ended.
func (c *Claims) Close(ctx context.Context) error {
	c.start()
	c.mu.Lock()
	if !c.closed {
		c.closed = true
		close(c.stop)
	}
	c.startRecords()
	c.mu.Unlock()
	done := make(chan struct{})
	go func() {
		c.work.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		c.cancel()
		<-done
	}
	c.cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.records.byKey) > 0 {
		return context.Cause(ctx)
	}
	return nil
}
