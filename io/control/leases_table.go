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

// Run works until ctx ends. It does not give groups up; Stop does.
func (h *Leases) Run(ctx context.Context) error {
	h.init()
	defer close(h.done)
	h.mu.Lock()
	now := h.now()
	h.running = ctx
	h.started, h.renewed = now.Slow, now.Fast-time.Hour
	h.mu.Unlock()
	var w sync.WaitGroup
	w.Go(func() { h.tableLoop(ctx) })
	w.Go(func() { h.peerLoop(ctx, &w) })
	w.Wait()
	h.held.Wait()
	return nil
}

// tableLoop is apart from peerLoop, so that a slow table delays no promise.
func (h *Leases) tableLoop(ctx context.Context) {
	var b backoff
	for ctx.Err() == nil {
		err := h.tableTick(ctx)
		d := tick
		if err != nil {
			d = h.wait(&b)
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

// wakeIf returns the wake channel while the table answers; a failing table is not
// asked before its backoff has passed.
func (h *Leases) wakeIf(ok bool) <-chan struct{} {
	if !ok {
		return nil
	}
	return h.wake
}

func (h *Leases) wait(b *backoff) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.Health.Down() > time.Second {
		for _, m := range h.order {
			m.ForgetLease()
		}
	}
	return b.next(h.rand)
}

// tableTick does one round with the table. It returns an error if the table cannot
// be reached.
func (h *Leases) tableTick(ctx context.Context) error {
	h.refresh()
	if err := h.read(ctx); err != nil {
		return err
	}
	if err := h.renew(ctx); err != nil {
		return err
	}
	if err := h.attempts(ctx); err != nil {
		return err
	}
	h.orphans(ctx)
	h.balance(ctx)
	return nil
}

// read reads the rows that decisions wait for, if there are any.
func (h *Leases) read(ctx context.Context) error {
	h.mu.Lock()
	q, back := h.query()
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
		h.Health.note(err == nil)
	}
	if err != nil {
		return err
	}
	h.seq = r.Sequence
	h.take(q, r, back)
	return nil
}

// errRegressed is the failure of a read that showed an older state of the table.
var errRegressed = errors.New("node: the table answers with an older state")

// query lists home rows that have to be read again, with the marks for Readback, and
// lease rows of silent homes. mu is held.
func (h *Leases) query() (q store.Query, back map[string]int) {
	now := h.now()
	back = map[string]int{}
	if !h.regFresh {
		q.Keys = append(q.Keys, lease.NodeKey(h.Self.Instance.Node))
	}
	leases := map[string]bool{}
	for _, m := range h.order {
		r := m.Record()
		_, fresh := m.Row()
		mine := r.Holder == h.Self.Instance || r.Standby == h.Self.Instance || h.poked[m.Group]
		if m.Pending() != nil || !fresh && mine {
			q.Keys = append(q.Keys, lease.HomeKey(m.Group))
			back[lease.HomeKey(m.Group)] = m.Answers()
		}
		k := lease.Key(r.Holder.Node)
		if m.IsStandby() && h.silent(now, r.Holder) && !leases[k] {
			leases[k] = true
			q.Keys = append(q.Keys, k)
		}
	}
	return q, back
}

// silent reports whether home has not asked for promises lately.
func (h *Leases) silent(now lease.Time, home lease.Instance) bool {
	at, ok := h.asked[home]
	return !ok || now.Slow-at > silentAfter
}

// take uses the rows of a read. mu is held.
func (h *Leases) take(q store.Query, r store.Result, back map[string]int) {
	rows := map[string]store.Row{}
	for _, x := range r.Rows {
		rows[x.Key] = x
	}
	if !h.regFresh {
		h.registration(rows[lease.NodeKey(h.Self.Instance.Node)])
	}
	clear(h.poked) // what is poked during the read makes its machine stale, or is read by the watch
	now := h.now()
	var named []lease.Instance
	for _, m := range h.order {
		k := lease.HomeKey(m.Group)
		if mark, asked := back[k]; asked {
			named = append(named, h.takeRow(m, rows[k], mark)...)
		}
	}
	for _, m := range h.order {
		n := m.Record().Holder.Node
		for _, k := range q.Keys {
			if k == lease.Key(n) {
				m.ObserveLease(now, n, rows[k].Version, h.foreign(m.Record().Holder))
			}
		}
	}
	h.calls = append(h.calls, func() { h.Members.ObserveHolder(r.Sequence, named...) })
}

// foreign reports whether the row of x's node belongs to another incarnation.
func (h *Leases) foreign(x lease.Instance) bool {
	return slices.ContainsFunc(h.live, func(n member.Node) bool {
		return n.Instance.Node == x.Node && n.Instance != x
	})
}

func (h *Leases) takeRow(m *lease.Machine, r store.Row, mark int) []lease.Instance {
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

// registration takes the row of this node. Before this node has joined, the row is
// absent or that of an older incarnation. mu is held.
func (h *Leases) registration(r store.Row) {
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
	for _, m := range h.order {
		m.Supersede()
	}
	if h.Superseded != nil {
		h.calls = append(h.calls, h.Superseded)
	}
}

// renew writes lease/<self> once a second, on condition that every home row is as
// recorded, and at once for a group that was just given to this node.
func (h *Leases) renew(ctx context.Context) error {
	h.mu.Lock()
	sent := h.now()
	t, in := lease.Renewal(h.Self.Instance, h.reg, h.order)
	due := sent.Fast-h.renewed >= h.period()
	for _, m := range in {
		due = due || !m.Leased(sent)
	}
	if len(in) == 0 || !due || h.reg.Version == 0 || h.ended {
		h.mu.Unlock()
		return nil
	}
	h.renewed = sent.Fast
	h.mu.Unlock()
	err := h.transact(ctx, t)
	h.mu.Lock()
	defer h.unlock()
	if err == nil {
		now := h.now()
		for _, m := range in {
			m.Renewed(now, sent)
		}
		return nil
	}
	return h.conflict(err)
}

func (h *Leases) period() time.Duration {
	if h.Terms.Renew > 0 {
		return h.Terms.Renew - tick/2
	}
	return time.Second - tick/2
}

// conflict marks the rows that a conflict names to be read again. Any other error is
// returned. mu is held.
func (h *Leases) conflict(err error) error {
	var c *store.ConflictError
	if !errors.As(err, &c) {
		return err
	}
	for _, k := range c.Keys {
		if k == lease.NodeKey(h.Self.Instance.Node) {
			h.regFresh = false
		}
		for _, m := range h.order {
			if k == lease.HomeKey(m.Group) {
				m.Invalidate()
			}
		}
	}
	return nil
}

// transact sends one transaction and notes the health of the table.
func (h *Leases) transact(ctx context.Context, t store.Tx) error {
	c, cancel := context.WithTimeout(ctx, TableTimeout)
	defer cancel()
	_, err := h.Table.Transact(c, t)
	var k *store.ConflictError
	if ctx.Err() == nil {
		h.Health.note(err == nil || errors.As(err, &k))
	}
	return err
}

// attempts sends open transactions again and starts those that are wanted.
func (h *Leases) attempts(ctx context.Context) error {
	h.mu.Lock()
	l := h.begin()
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
		s.m.Done(errs[i])
		h.poked[s.m.Group] = true
		if err := h.conflict(errs[i]); errs[i] != nil && err != nil {
			failed = err
		}
	}
	return failed
}
