package control

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"bergamotspring/core/lease"
	"bergamotspring/core/member"
	"bergamotspring/core/store"
	"bergamotspring/io/wait"
)

// OnPeerVersion observes the version in a peer's digest. Run fetches it if it is newer.
func (w *Watch) OnPeerVersion(p member.Node, version uint64, confirmed bool) {
	w.init()
	s := member.FromPeer
	if confirmed {
		s = member.FromConfirmedPeer
	}
	w.mu.Lock()
	newer := w.config.Offer(w.now(), version, s)
	w.mu.Unlock()
	if !newer {
		return
	}
	select {
	case w.fetch <- p:
	default: // a fetch is queued already; a later digest brings the version again
	}
}

// fetchNewer fetches a newer version that a peer has, from the table or, if the table
// is down or stale, from the peer.
func (w *Watch) fetchNewer(ctx context.Context, p member.Node) {
	before := w.State().Version
	if w.read(ctx) == nil && w.State().Version > before {
		return
	}
	c, cancel := context.WithTimeout(ctx, PeerTimeout)
	defer cancel()
	a, err := w.FetchConfig(c, p)
	if err != nil || len(a.Head) == 0 {
		return
	}
	w.offerFromPeer(a)
}

func (w *Watch) offerFromPeer(a ConfigResponse) {
	s := member.FromPeer
	if a.Confirmed {
		s = member.FromConfirmedPeer
	}
	w.offer(a.Head, s)
}

// startFromPeers chooses an initial version among those of the peers while the table is
// down: see member.Start. Three refused connections prove a listed node dead.
func (w *Watch) startFromPeers(ctx context.Context) {
	if w.FetchConfig == nil || len(w.StartPeers) == 0 {
		return
	}
	s := member.Start{Peers: w.StartPeers}
	responses := map[string]ConfigResponse{}
	var mu sync.Mutex
	var g sync.WaitGroup
	for _, p := range w.StartPeers {
		g.Go(func() {
			a, v, err := w.fetchStartRetrying(ctx, p)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				s.OnResponse(p, v, a.Confirmed)
				responses[p] = a
			case errors.Is(err, syscall.ECONNREFUSED):
				s.Dead(p)
			}
		})
	}
	g.Wait()
	if p, _, ok := s.Choose(); ok {
		w.offerFromPeer(responses[p])
	}
}

// installAccepted installs a head that is known to be in the table. The node that
// accepted an apply thus runs the version, and gossips it, even if reads of the table
// time out.
func (w *Watch) installAccepted(key string, value []byte) {
	if key == member.HeadKey && len(value) > 0 {
		w.offer(value, member.FromTable)
	}
}

// preferNewerPeer installs a peer's version if it is higher than that in the first read
// of the table. If the table was restored to an older state, every node that starts would
// otherwise put the older version in force again. It costs a starting node one request
// to each of its peers.
func (w *Watch) preferNewerPeer(ctx context.Context, r store.Result) {
	var best uint64
	for _, x := range r.Rows {
		if h, err := member.DecodeHead(x.Value); x.Key == member.HeadKey && err == nil {
			best = h.Version
		}
	}
	if w.FetchConfig == nil || best == 0 {
		return
	}
	var newest ConfigResponse
	var mu sync.Mutex
	var g sync.WaitGroup
	for _, p := range w.StartPeers {
		g.Go(func() {
			a, v, err := w.fetchStart(ctx, p)
			mu.Lock()
			defer mu.Unlock()
			if err == nil && v > best {
				newest, best = a, v
			}
		})
	}
	g.Wait()
	if len(newest.Head) > 0 {
		w.offerFromPeer(newest)
	}
}

// fetchStart requests the configuration from one address once.
func (w *Watch) fetchStart(ctx context.Context, address string) (a ConfigResponse, version uint64, err error) {
	c, cancel := context.WithTimeout(ctx, PeerTimeout)
	defer cancel()
	a, err = w.FetchConfig(c, member.Node{Peer: address})
	if err != nil || len(a.Head) == 0 {
		return a, 0, err
	}
	h, err := member.DecodeHead(a.Head)
	return a, h.Version, err
}

// fetchStartRetrying requests the configuration from one address, up to three times if
// it refuses connections.
func (w *Watch) fetchStartRetrying(ctx context.Context, address string) (a ConfigResponse, version uint64, err error) {
	for range 3 {
		a, version, err = w.fetchStart(ctx, address)
		if !errors.Is(err, syscall.ECONNREFUSED) {
			break
		}
		if !wait.Sleep(ctx, refusedRetryPause) {
			return a, 0, ctx.Err()
		}
	}
	return a, version, err
}

// refusedRetryPause is the pause between the connection attempts whose refusal proves a
// node dead.
const refusedRetryPause = 150 * time.Millisecond

// vmLoop polls the VM list. If a poll fails, the last list stays in use.
func (w *Watch) vmLoop(ctx context.Context) {
	for {
		c, cancel := context.WithTimeout(ctx, vmPeriod)
		l, err := w.VMs(c)
		cancel()
		if err == nil {
			w.Members.SetVMs(l)
		}
		if !wait.Sleep(ctx, vmPeriod) {
			return
		}
	}
}

// removeDeadRows removes rows of dead nodes if this is the live node with the lowest ID.
// Two nodes may both find that they are; a condition on the row makes the second removal
// a no-op.
func (w *Watch) removeDeadRows(ctx context.Context) {
	l := w.Members.Live("")
	if len(l) == 0 || l[0].Instance != w.Self || time.Since(w.removedAt) < removalPeriod {
		return
	}
	w.removedAt = time.Now()
	b := w.Members.deadRows()
	for _, c := range b[:min(len(b), maxRemovals)] {
		t, cancel := context.WithTimeout(ctx, TableTimeout)
		_, _ = w.Table.Transact(t, member.Leave(c.Key[len(lease.NodePrefix):], c.Version))
		cancel()
	}
}

// Apply puts a change of the configuration in force and returns its version. A retry of
// an apply that took effect returns the version of the first, and repeated is true.
// Errors are those of member.Apply.Plan, *ApplyUnknownError, or the table's. An error of the
// table does not show that the apply had no effect.
func (w *Watch) Apply(ctx context.Context, a member.Apply) (version uint64, repeated bool, err error) {
	w.init()
	sent := false
	for range 3 {
		var done bool
		version, done, err = w.applyOnce(ctx, a, &sent)
		if done {
			_ = w.read(ctx) // so that this node runs the new version at once
			return version, !sent, nil
		}
		if _, ok := errors.AsType[*member.ConflictError](err); ok {
			_ = w.read(ctx) // so that the operator is shown what came into force
		}
		var c *store.ConflictError
		var u *ApplyUnknownError
		if !errors.As(err, &c) && !errors.As(err, &u) {
			return 0, false, err
		}
	}
	return 0, false, err
}

// ApplyUnknownError reports an apply that may or may not have taken effect. It may be
// retried with the same ID.
type ApplyUnknownError struct {
	ID    string
	Cause error
}

func (e *ApplyUnknownError) Error() string {
	return "node: effect of apply " + e.ID + " is unknown, repeat it: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ApplyUnknownError) Unwrap() error { return e.Cause }

// applyOnce reads the head and, unless the apply has taken effect, attempts it. It sets
// sent when this attempt may have taken effect.
func (w *Watch) applyOnce(ctx context.Context, a member.Apply, sent *bool) (version uint64, done bool, err error) {
	s := w.State()
	r, err := w.Table.Read(ctx, store.Query{Keys: a.Keys()})
	if err == nil && r.Sequence < s.Sequence {
		err = &member.RegressedError{Table: r.Sequence, Known: s.Sequence}
	}
	if err != nil && *sent {
		err = &ApplyUnknownError{ID: a.ID, Cause: err} // what an earlier attempt did is not known
	}
	if err != nil {
		return 0, false, err
	}
	t, v, done, err := a.Plan(r.Rows, s.Version)
	if done {
		for _, x := range r.Rows {
			w.installAccepted(x.Key, x.Value)
		}
	}
	if err != nil || done {
		return v, done, err
	}
	_, err = w.Table.Transact(ctx, t)
	var c *store.ConflictError
	var u *store.UnsentError
	switch {
	case err == nil:
		*sent = true
		for _, x := range t.Writes {
			w.installAccepted(x.Key, x.Value)
		}
		return v, true, nil
	case errors.As(err, &c), errors.As(err, &u):
		return 0, false, err
	}
	*sent = true
	return 0, false, &ApplyUnknownError{ID: a.ID, Cause: err} // the next attempt reads the result back
}
