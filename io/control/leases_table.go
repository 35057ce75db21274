package control

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"bergamotspring/core/lease"
	"bergamotspring/core/member"
	"bergamotspring/core/store"
)

// Run holds and renews leases until ctx ends. It does not hand over groups; Stop does.
func (h *Leases) Run(ctx context.Context) error {
	h.init()
	defer close(h.done)
	h.mu.Lock()
	now := h.now()
	h.running = ctx
	h.startedAt, h.renewedAt = now.Slow, now.Fast-time.Hour
	h.mu.Unlock()
	var w sync.WaitGroup
	w.Go(func() { h.tableLoop(ctx) })
	w.Go(func() { h.peerLoop(ctx, &w) })
	w.Wait()
	h.searches.Wait()
	return nil
}

// tableLoop runs apart from peerLoop, so that a slow table delays no promise.
func (h *Leases) tableLoop(ctx context.Context) {
	var b backoff
	for ctx.Err() == nil {
		err := h.tableTick(ctx)
		d := tickPeriod
		if err != nil {
			d = h.tableBackoff(&b)
		} else {
			b.reset()
		}
		t := time.NewTimer(d)
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-h.wakeIf(err == nil):
		}
		t.Stop()
	}
}

// wakeIf returns the wake channel while the table responds. After a failure it returns
// nil, so that the table is not called before the backoff has passed.
func (h *Leases) wakeIf(ok bool) <-chan struct{} {
	if !ok {
		return nil
	}
	return h.wake
}

func (h *Leases) tableBackoff(b *backoff) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.Health.Down() > time.Second {
		for _, m := range h.sorted {
			m.ForgetLease()
		}
	}
	return b.next(h.rand)
}

// tableTick runs one round of calls to the table. It returns an error if the table
// cannot be reached.
func (h *Leases) tableTick(ctx context.Context) error {
	h.refreshLive()
	if err := h.read(ctx); err != nil {
		return err
	}
	if err := h.renew(ctx); err != nil {
		return err
	}
	if err := h.runAttempts(ctx); err != nil {
		return err
	}
	h.takeNextOrphan(ctx)
	h.balance(ctx)
	return nil
}

// read reads the rows that machines need to decide, if there are any.
func (h *Leases) read(ctx context.Context) error {
	h.mu.Lock()
	q, marks := h.query()
	h.mu.Unlock()
	if len(q.Keys) == 0 {
		return nil
	}
	c, cancel := context.WithTimeout(ctx, TableTimeout)
	r, err := h.Table.Read(c, q)
	cancel()
	h.mu.Lock()
	defer h.unlock()
	if err == nil && r.Sequence < h.seq {
		err = errRegressed
	}
	if ctx.Err() == nil {
		h.Health.observe(err == nil)
	}
	if err != nil {
		return err
	}
	h.seq = r.Sequence
	h.applyRead(q, r, marks)
	return nil
}

// errRegressed is the failure of a read that showed an older state of the table.
var errRegressed = errors.New("node: the table answers with an older state")

// query lists the rows to read: the row of this node and the rows home/<group> that have
// to be read again, with the marks for Readback of the latter, and the lease rows of silent
// holders. mu is held.
func (h *Leases) query() (q store.Query, marks map[string]int) {
	now := h.now()
	marks = map[string]int{}
	if !h.regFresh {
		q.Keys = append(q.Keys, lease.NodeKey(h.Self.Instance.Node))
	}
	leases := map[string]bool{}
	for _, m := range h.sorted {
		r := m.Record()
		_, fresh := m.Row()
		mine := r.Holder == h.Self.Instance || r.Standby == h.Self.Instance || h.reread[m.Group]
		if m.Pending() != nil || !fresh && mine {
			q.Keys = append(q.Keys, lease.HomeKey(m.Group))
			marks[lease.HomeKey(m.Group)] = m.TxEvents()
		}
		k := lease.Key(r.Holder.Node)
		if m.IsStandby() && h.isSilent(now, r.Holder) && !leases[k] {
			leases[k] = true
			q.Keys = append(q.Keys, k)
		}
	}
	return q, marks
}

// isSilent reports whether holder has sent no promise request within silentAfter.
func (h *Leases) isSilent(now lease.Time, holder lease.Instance) bool {
	at, ok := h.lastRequest[holder]
	return !ok || now.Slow-at > silentAfter
}

// applyRead applies the rows of a read. mu is held.
func (h *Leases) applyRead(q store.Query, r store.Result, marks map[string]int) {
	rows := map[string]store.Row{}
	for _, x := range r.Rows {
		rows[x.Key] = x
	}
	if !h.regFresh {
		h.applyRegistration(rows[lease.NodeKey(h.Self.Instance.Node)])
	}
	// This loses no group marked during the read: either its machine does not count its row
	// as fresh, or Watch reads the change.
	clear(h.reread)
	now := h.now()
	var named []lease.Instance
	for _, m := range h.sorted {
		k := lease.HomeKey(m.Group)
		if mark, wasRead := marks[k]; wasRead {
			named = append(named, h.applyReadback(m, rows[k], mark)...)
		}
	}
	for _, m := range h.sorted {
		n := m.Record().Holder.Node
		for _, k := range q.Keys {
			if k == lease.Key(n) {
				m.ObserveLease(now, n, rows[k].Version, h.isReplaced(m.Record().Holder))
			}
		}
	}
	h.callbacks = append(h.callbacks, func() { h.Members.ObserveHolder(r.Sequence, named...) })
}

// isReplaced reports whether the row of x's node belongs to another incarnation.
func (h *Leases) isReplaced(x lease.Instance) bool {
	return slices.ContainsFunc(h.live, func(n member.Node) bool {
		return n.Instance.Node == x.Node && n.Instance != x
	})
}

func (h *Leases) applyReadback(m *lease.Machine, r store.Row, mark int) []lease.Instance {
	var c lease.Record
	if r.Version > 0 {
		var err error
		if c, err = lease.DecodeRecord(r.Value); err != nil {
			return nil
		}
	}
	r.Key = lease.HomeKey(m.Group)
	m.Readback(mark, r, c)
	return []lease.Instance{c.Holder, c.Standby}
}

// applyRegistration applies the row of this node. Before this node has joined, the row is
// absent or that of an older incarnation. mu is held.
func (h *Leases) applyRegistration(r store.Row) {
	n, err := decodeNode(r.Value)
	switch {
	case r.Version > 0 && err == nil && n == h.Self.Instance:
		h.reg, h.regFresh = lease.Registration{Version: r.Version}, true
	case h.reg.Version > 0:
		h.supersede()
	}
}

// supersede ends all roles: this node's row was removed or belongs to another
// incarnation. mu is held.
func (h *Leases) supersede() {
	if h.ended {
		return
	}
	h.ended = true
	for _, m := range h.sorted {
		m.Supersede()
	}
	if h.OnSuperseded != nil {
		h.callbacks = append(h.callbacks, h.OnSuperseded)
	}
}

// renew writes lease/<self> every Terms.Renew, 1 s by default, on condition that every row
// home/<group> is as recorded, and at once for a group that was just transferred to this
// node.
func (h *Leases) renew(ctx context.Context) error {
	h.mu.Lock()
	sent := h.now()
	t, in := lease.Renewal(h.Self.Instance, h.reg, h.sorted)
	due := sent.Fast-h.renewedAt >= h.period()
	for _, m := range in {
		due = due || !m.Leased(sent)
	}
	if len(in) == 0 || !due || h.reg.Version == 0 || h.ended {
		h.mu.Unlock()
		return nil
	}
	h.renewedAt = sent.Fast
	h.mu.Unlock()
	err := h.transact(ctx, t)
	h.mu.Lock()
	defer h.unlock()
	if err == nil {
		now := h.now()
		for _, m := range in {
			m.ObserveRenewal(now, sent)
		}
		return nil
	}
	return h.invalidateConflicts(err)
}

// period returns the time after which a renewal is due: half a tick less than Terms.Renew,
// so that the tick nearest to it renews.
func (h *Leases) period() time.Duration {
	if h.Terms.Renew > 0 {
		return h.Terms.Renew - tickPeriod/2
	}
	return time.Second - tickPeriod/2
}

// invalidateConflicts marks the rows named by a conflict to be read again. Any other
// error is returned. mu is held.
func (h *Leases) invalidateConflicts(err error) error {
	var c *store.ConflictError
	if !errors.As(err, &c) {
		return err
	}
	for _, k := range c.Keys {
		if k == lease.NodeKey(h.Self.Instance.Node) {
			h.regFresh = false
		}
		for _, m := range h.sorted {
			if k == lease.HomeKey(m.Group) {
				m.Invalidate()
			}
		}
	}
	return nil
}

// transact sends one transaction and records the health of the table.
func (h *Leases) transact(ctx context.Context, t store.Tx) error {
	c, cancel := context.WithTimeout(ctx, TableTimeout)
	defer cancel()
	_, err := h.Table.Transact(c, t)
	var k *store.ConflictError
	if ctx.Err() == nil {
		h.Health.observe(err == nil || errors.As(err, &k))
	}
	return err
}

// runAttempts retries pending transactions and starts those for the next actions.
func (h *Leases) runAttempts(ctx context.Context) error {
	h.mu.Lock()
	l := h.nextTransactions()
	h.mu.Unlock()
	errs := make([]error, len(l))
	var w sync.WaitGroup
	for i := range l {
		w.Go(func() { errs[i] = h.transact(ctx, l[i].tx) })
	}
	w.Wait()
	h.mu.Lock()
	defer h.unlock()
	var failed error
	for i, s := range l {
		s.m.OnResult(errs[i])
		h.reread[s.m.Group] = true
		if err := h.invalidateConflicts(errs[i]); errs[i] != nil && err != nil {
			failed = err
		}
	}
	return failed
}
