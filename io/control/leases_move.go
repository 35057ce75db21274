package control

import (
	"context"
	"errors"
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/core/lease"
	"bergamotspring/core/member"
	"bergamotspring/core/store"
	"bergamotspring/io/wait"
)

// balance makes at most one planned change every balancePeriod: it replaces a standby by
// one in another failure domain, or transfers a group to a node with fewer leases.
func (h *Leases) balance(ctx context.Context) {
	h.mu.Lock()
	now := h.now()
	if h.stopping || h.ended || now.Slow-h.balancedAt < balancePeriod {
		h.mu.Unlock()
		return
	}
	h.balancedAt = now.Slow
	if len(h.notified) == 0 {
		h.mu.Unlock()
		return
	}
	l := h.candidates()
	m, to := h.betterStandby(now, l)
	transfer := false
	if m == nil {
		m, to = h.pickTransfer(now, l)
		transfer = true
	}
	h.mu.Unlock()
	if m == nil || !h.requestResignation(ctx, m) {
		return
	}
	h.changeRecord(ctx, m, to, transfer)
}

// betterStandby returns a group that can have a standby in another failure domain, and
// that standby. mu is held.
func (h *Leases) betterStandby(now lease.Time, l []lease.Candidate) (*lease.Machine, lease.Instance) {
	for _, m := range h.sorted {
		if _, remaining := m.Authority(now); remaining <= 0 || !m.Recorded() {
			continue
		}
		if d, ok := lease.BetterStandby(m.Record(), l); ok {
			return m, d
		}
	}
	return nil, lease.Instance{}
}

// pickTransfer returns a group to transfer and its new holder. mu is held.
func (h *Leases) pickTransfer(now lease.Time, l []lease.Candidate) (*lease.Machine, lease.Instance) {
	var held []fleet.GroupID
	for _, m := range h.sorted {
		if _, remaining := m.Authority(now); remaining > 0 && m.Recorded() {
			held = append(held, m.Group)
		}
	}
	g, to, ok := lease.PickMove(h.Self.Instance, held, l)
	if !ok {
		return nil, lease.Instance{}
	}
	return h.machines[g], to
}

// requestResignation asks the standby to resign, which it has to do before the holder
// changes the record, and reports whether the record may be changed.
func (h *Leases) requestResignation(ctx context.Context, m *lease.Machine) bool {
	h.mu.Lock()
	d, x := m.ResignRequest()
	free := m.CanChange()
	h.mu.Unlock()
	if free {
		return true
	}
	n, _ := h.Members.Get(d.Node)
	c, cancel := context.WithTimeout(ctx, PeerTimeout)
	defer cancel()
	if n.Instance != d || h.Peers.Handover(c, n, x) != nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if r := m.Record(); r.Standby == d && r.Epoch == x.Record.Epoch {
		m.ObserveResignation(d)
	}
	return m.CanChange()
}

// changeRecord writes the new standby or, for a transfer, the new holder, and notifies
// it.
func (h *Leases) changeRecord(ctx context.Context, m *lease.Machine, to lease.Instance, transfer bool) {
	h.mu.Lock()
	now := h.now()
	var a *lease.Attempt
	if transfer {
		a = m.Transfer(now, to, lease.PickStandby(m.Group, to, h.candidates()), h.token(), h.reg)
	} else {
		a = m.Replace(now, to, h.token(), h.reg)
	}
	h.mu.Unlock()
	if a == nil {
		return
	}
	err := h.transact(ctx, a.Tx)
	h.mu.Lock()
	m.OnResult(err)
	h.reread[m.Group] = true
	_ = h.invalidateConflicts(err) // an unknown result is read back in the next round
	h.unlock()
	if n, _ := h.Members.Get(to.Node); err == nil && n.Instance == to {
		c, cancel := context.WithTimeout(ctx, PeerTimeout)
		defer cancel()
		_ = h.Peers.Handover(c, n, lease.Handover{Record: a.Record}) // a loss does no harm: the table has the record
	}
}

// Stop hands over every group, to its standby by message or, without one, to another
// node through the table, and then removes this node's row. It returns when that is
// done or ctx has ended. Groups that remain then move once this node is proven dead.
func (h *Leases) Stop(ctx context.Context) error {
	h.init()
	h.mu.Lock()
	h.stopping = true
	l := append([]*lease.Machine(nil), h.sorted...)
	h.mu.Unlock()
	for _, m := range l {
		if err := h.handOver(ctx, m); err != nil {
			return err
		}
	}
	return h.leave(ctx)
}

// stopRetryPause is the pause between attempts to hand over a group.
const stopRetryPause = 200 * time.Millisecond

func (h *Leases) handOver(ctx context.Context, m *lease.Machine) error {
	for ctx.Err() == nil {
		h.mu.Lock()
		isHolder := m.IsHolder()
		to, x, ok := m.Release()
		l := h.candidates()
		h.unlock()
		switch {
		case ok:
			return h.deliverHandover(ctx, to, x)
		case !isHolder:
			return nil
		}
		if c := without(h.Self.Instance, lease.Rank(m.Group, l)); len(c) == 0 {
			return nil // no other node can take it
		} else if h.requestResignation(ctx, m) {
			h.changeRecord(ctx, m, c[0].Instance, true)
		}
		if !wait.Sleep(ctx, stopRetryPause) {
			break
		}
	}
	return ctx.Err()
}

func without(self lease.Instance, l []lease.Candidate) (o []lease.Candidate) {
	for _, c := range l {
		if c.Instance != self {
			o = append(o, c)
		}
	}
	return o
}

// deliverHandover sends a handover until the standby has accepted it or is dead. It
// retries after a refusal, too: a standby with a pending transaction accepts later.
func (h *Leases) deliverHandover(ctx context.Context, to lease.Instance, x lease.Handover) error {
	for ctx.Err() == nil && !h.Members.Dead(to) {
		n, _ := h.Members.Get(to.Node)
		if n.Instance != to {
			return nil
		}
		c, cancel := context.WithTimeout(ctx, PeerTimeout)
		err := h.Peers.Handover(c, n, x)
		cancel()
		if err == nil {
			h.notifyRecord(x.Record)
			return nil
		}
		wait.Sleep(ctx, stopRetryPause)
	}
	return ctx.Err()
}

func (h *Leases) notifyRecord(r lease.Record) {
	if h.OnRecord != nil {
		h.OnRecord(r)
	}
}

// leave removes the row of this node. If it fails, another node removes the row once
// this node is proven dead.
func (h *Leases) leave(ctx context.Context) error {
	h.mu.Lock()
	v := h.reg.Version
	h.ended = true
	h.unlock()
	if v == 0 {
		return nil
	}
	err := h.transact(ctx, member.Leave(h.Self.Instance.Node, v))
	var c *store.ConflictError
	if errors.As(err, &c) {
		return nil // removed or replaced already
	}
	return err
}

// Release lets an operator release a group whose holder and standby are both silent but
// not proven dead: the operator confirms that both have ended. It does not check that they
// are silent, but marks both dead on this node. Any other node with a right to the group
// keeps it.
func (h *Leases) Release(g fleet.GroupID, reason string) error {
	if reason == "" {
		return &lease.RefusedError{Group: g, Reason: "an operator's release needs a reason"}
	}
	r := h.RecordOf(g)
	h.Members.MarkDead(r.Holder, member.ProofOperator)
	h.Members.MarkDead(r.Standby, member.ProofOperator)
	return nil
}
