package tables

// This file defines how nodes pass claims to a few writers. With many nodes, claims
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
	// relayWriters is how many nodes write claims. With more, transactions hold fewer
	// claims each; with fewer, more claims pause when one fails.
	relayWriters = 4
	// relayClaim is far above the bound within which a link to a silent writer fails.
	// A shorter one would make every node claim for itself when the table is slow.
	relayClaim = 2 * claimTimeout
	relayTime  = 1500 * time.Millisecond // for a writer to take an answer over
	// relayAvoid is how long a writer is passed over after it failed.
	relayAvoid = 5 * time.Second
	relayEnds  = 256 // answers on their way to writers
)

// ClaimRouter claims calls through a writer that all nodes choose alike, by organisation.
// When the writer fails, it claims through this node's own Claims. All fields but
// Writers must be set; it is safe for concurrent use.
type ClaimRouter struct {
	Self   lease.Instance
	Claims *Claims
	// Nodes returns the live nodes that may write claims, best those in the region of
	// the table service. That nodes see different lists costs transactions, not safety.
	Nodes   func() []member.Node
	Writers int // 0: 4

	// Claim and End reach another node's Claims.Start and Claims.End. An error of
	// Claim that is no *claim.RefusedError leaves open whether the claim was taken.
	Claim func(ctx context.Context, to member.Node, q claim.Request) (claim.Verdict, error)
	End   func(ctx context.Context, to member.Node, e claim.End) error

	work  sync.WaitGroup
	mu    sync.Mutex
	avoid map[lease.Instance]time.Time
	ends  int
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
		r.failed(to)
	}
	// The writer may still take the claim, or free it. Its token is never used for a
	// call: it is fenced off before another one is tried.
	r.Claims.abandon(ctx, freed{ticket: q.Ticket(), uncertain: true})
	if ctx.Err() != nil {
		return claim.Verdict{}, &claim.RefusedError{Cause: context.Cause(ctx)}
	}
	q.Token = r.Claims.token()
	return r.Claims.begin(ctx, q)
}

func (r *ClaimRouter) claim(ctx context.Context, to member.Node, q claim.Request) (claim.Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, relayClaim)
	defer cancel()
	return r.Claim(ctx, to, q)
}

// Finish records an answer, as Claims.Finish does.
func (r *ClaimRouter) Finish(organisation string, k claim.Ticket, status int, answer []byte) {
	to, ok := r.writer(organisation)
	if !ok || !r.reserve() {
		r.Claims.Finish(k, status, answer)
		return
	}
	e := claim.End{Ticket: k, Sent: true, Status: status, Response: slices.Clone(answer)}
	r.work.Go(func() {
		defer r.unreserve()
		if r.end(to, e, relayTime) != nil {
			r.Claims.Finish(k, status, e.Response)
		}
	})
}

// Close waits for answers on their way to writers. It is called before the Close of
// Claims, when the calls that hold tickets have ended.
func (r *ClaimRouter) Close() { r.work.Wait() }

// Release frees a claim, as Claims.Release does.
func (r *ClaimRouter) Release(organisation string, k claim.Ticket) {
	to, ok := r.writer(organisation)
	if ok && r.end(to, claim.End{Ticket: k}, abandonWait) == nil {
		return
	}
	r.Claims.Release(k)
}

func (r *ClaimRouter) end(to member.Node, e claim.End, d time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	err := r.End(ctx, to, e)
	if err != nil && ctx.Err() == nil {
		r.failed(to)
	}
	return err
}

func (r *ClaimRouter) reserve() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ends >= relayEnds {
		return false
	}
	r.ends++
	return true
}

func (r *ClaimRouter) unreserve() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ends--
}

func (r *ClaimRouter) failed(n member.Node) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.avoid == nil {
		r.avoid = map[lease.Instance]time.Time{}
	}
	now := time.Now()
	for h, t := range r.avoid {
		if now.After(t) {
			delete(r.avoid, h)
		}
	}
	r.avoid[n.Instance] = now.Add(relayAvoid)
}

// writer returns the writer of an organisation; false means this node itself.
func (r *ClaimRouter) writer(organisation string) (member.Node, bool) {
	w := r.Writers
	if w <= 0 {
		w = relayWriters
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

// usable returns the nodes that are not leaving and did not fail a moment ago.
func (r *ClaimRouter) usable() []member.Node {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	var l []member.Node
	for _, n := range r.Nodes() {
		if !n.Leaving && !now.Before(r.avoid[n.Instance]) {
			l = append(l, n)
		}
	}
	return l
}

// rank sorts nodes by rendezvous hashing: a node that comes or goes moves only the
// names that it ranks first for.
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
