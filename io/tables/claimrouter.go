package tables

// This file defines how nodes forward claims to a few writers. With many nodes, the claims
// that arrive at one node within a window are too few to share transactions.

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotspring/core/claim"
	"bergamotspring/core/lease"
	"bergamotspring/core/member"
)

const (
	// defaultWriters is how many nodes write claims. With more, transactions hold fewer
	// claims each; with fewer, a failing writer delays more claims.
	defaultWriters = 4
	// forwardClaimTimeout is far above the time within which a link to a silent writer fails.
	// A shorter one would make every node write its own claims when the table is slow.
	forwardClaimTimeout = 2 * operationTimeout
	forwardEndTimeout   = 1500 * time.Millisecond // for a writer to accept a response
	// failedWriterBackoff is how long a writer is not used after it failed.
	failedWriterBackoff = 5 * time.Second
	maxForwardedEnds    = 256 // responses being sent to writers
)

// ClaimRouter claims calls through a writer, which it chooses by organisation as every
// other node does. When the writer fails, it claims through this node's own Claims. All
// fields but Writers must be set; it is safe for concurrent use.
type ClaimRouter struct {
	Self   lease.Instance
	Claims *Claims
	// Nodes returns the live nodes that may write claims; a node passes those of its own
	// region, so that claims depend on no other region except for the table service. Nodes
	// with different lists choose different writers, which costs transactions but not
	// correctness.
	Nodes   func() []member.Node
	Writers int // 0: 4

	// Claim and End reach another node's Claims.Start and Claims.End. An error of
	// Claim that is no *claim.RefusedError leaves open whether the claim was acquired.
	Claim func(ctx context.Context, to member.Node, q claim.Request) (claim.Verdict, error)
	End   func(ctx context.Context, to member.Node, e claim.End) error

	work          sync.WaitGroup
	mu            sync.Mutex
	avoidUntil    map[lease.Instance]time.Time
	forwardedEnds int
}

// Begin claims a call, as Claims.Begin does.
func (r *ClaimRouter) Begin(ctx context.Context, organisation, key string, body uint64) (claim.Verdict, error) {
	q := claim.Request{Key: claim.Key(organisation, key), Body: body, Token: r.Claims.token(), Node: r.Claims.Node}
	to, ok := r.writer(organisation)
	if !ok {
		return r.Claims.begin(ctx, q)
	}
	v, err := r.claim(ctx, to, q)
	if _, refused := errors.AsType[*claim.RefusedError](err); err == nil || refused {
		return v, err
	}
	if ctx.Err() == nil {
		r.markFailed(to)
	}
	// The writer may still acquire or release the claim. Its token is never used for a
	// call: it is fenced off before another one is used.
	r.Claims.releaseAndWait(ctx, release{ticket: q.Ticket(), uncertain: true})
	if ctx.Err() != nil {
		return claim.Verdict{}, &claim.RefusedError{Cause: context.Cause(ctx)}
	}
	q.Token = r.Claims.token()
	return r.Claims.begin(ctx, q)
}

func (r *ClaimRouter) claim(ctx context.Context, to member.Node, q claim.Request) (claim.Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardClaimTimeout)
	defer cancel()
	return r.Claim(ctx, to, q)
}

// Finish records a response, as Claims.Finish does.
func (r *ClaimRouter) Finish(organisation string, k claim.Ticket, status int, response []byte) {
	to, ok := r.writer(organisation)
	if !ok || !r.reserve() {
		r.Claims.Finish(k, status, response)
		return
	}
	e := claim.End{Ticket: k, Sent: true, Status: status, Response: slices.Clone(response)}
	r.work.Go(func() {
		defer r.unreserve()
		if r.end(to, e, forwardEndTimeout) != nil {
			r.Claims.Finish(k, status, e.Response)
		}
	})
}

// Close waits for the responses that are being sent to writers. It must be called before
// Claims.Close, when the calls that hold tickets have ended.
func (r *ClaimRouter) Close() { r.work.Wait() }

// Release releases a claim, as Claims.Release does.
func (r *ClaimRouter) Release(organisation string, k claim.Ticket) {
	to, ok := r.writer(organisation)
	if ok && r.end(to, claim.End{Ticket: k}, releaseWait) == nil {
		return
	}
	r.Claims.Release(k)
}

func (r *ClaimRouter) end(to member.Node, e claim.End, d time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	err := r.End(ctx, to, e)
	if err != nil && ctx.Err() == nil {
		r.markFailed(to)
	}
	return err
}

func (r *ClaimRouter) reserve() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.forwardedEnds >= maxForwardedEnds {
		return false
	}
	r.forwardedEnds++
	return true
}

func (r *ClaimRouter) unreserve() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forwardedEnds--
}

func (r *ClaimRouter) markFailed(n member.Node) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.avoidUntil == nil {
		r.avoidUntil = map[lease.Instance]time.Time{}
	}
	now := time.Now()
	for h, t := range r.avoidUntil {
		if now.After(t) {
			delete(r.avoidUntil, h)
		}
	}
	r.avoidUntil[n.Instance] = now.Add(failedWriterBackoff)
}

// writer returns the writer of an organisation; false means this node itself.
func (r *ClaimRouter) writer(organisation string) (member.Node, bool) {
	w := r.Writers
	if w <= 0 {
		w = defaultWriters
	}
	l := r.usable()
	rank(l, "claim writers")
	l = l[:min(w, len(l))]
	rank(l, organisation)
	if len(l) == 0 || l[0].Instance == r.Self {
		return member.Node{}, false
	}
	return l[0], true
}

// usable returns the nodes that are not leaving and did not fail recently.
func (r *ClaimRouter) usable() []member.Node {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	var l []member.Node
	for _, n := range r.Nodes() {
		if !n.Leaving && !now.Before(r.avoidUntil[n.Instance]) {
			l = append(l, n)
		}
	}
	return l
}

// rank sorts nodes by rendezvous hashing: adding or removing a node moves only the names
// for which it ranks first.
func rank(l []member.Node, name string) {
	type ranked struct {
		weight uint64
		node   member.Node
	}
	s := make([]ranked, len(l))
	for i, n := range l {
		s[i] = ranked{xxhash.Sum64String(name + "\x00" + n.Instance.Node), n}
	}
	slices.SortFunc(s, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.node.Instance.Node, b.node.Instance.Node))
	})
	for i := range s {
		l[i] = s[i].node
	}
}
