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

// balance does at most one planned change every two seconds: a deputy in another
// failure domain, or a group given to a node with fewer.
func (h *Leases) balance(ctx context.Context) {
	h.mu.Lock()
	now := h.now()
	if h.stopping || h.ended || now.Slow-h.moved < rebalance {
		h.mu.Unlock()
		return
	}
	h.moved = now.Slow
	if len(h.opened) == 0 {
		h.mu.Unlock()
		return
	}
	l := h.candidates()
	m, to := h.betterStandby(now, l)
	give := false
	if m == nil {
		m, to = h.move(now, l)
		give = true
	}
	h.mu.Unlock()
	if m == nil || !h.resign(ctx, m) {
		return
	}
	h.change(ctx, m, to, give)
}

// betterStandby returns a group that can have a deputy in another failure domain.
func (h *Leases) betterStandby(now lease.Time, l []lease.Candidate) (*lease.Machine, lease.Instance) {
	for _, m := range h.order {
		if _, left := m.Authority(now); left <= 0 || !m.Recorded() {
			continue
		}
		if d, ok := lease.BetterStandby(m.Record(), l); ok {
			return m, d
		}
	}
	return nil, lease.Instance{}
}

// move returns a group to give away and its new home.
func (h *Leases) move(now lease.Time, l []lease.Candidate) (*lease.Machine, lease.Instance) {
	var mine []fleet.GroupID
	for _, m := range h.order {
		if _, left := m.Authority(now); left > 0 && m.Recorded() {
			mine = append(mine, m.Group)
		}
	}
	g, to, ok := lease.Move(h.Self.Instance, mine, l)
	if !ok {
		return nil, lease.Instance{}
	}
	return h.machines[g], to
}

// resign asks the deputy to resign, which a home has to do before it changes the
// record, and reports whether the record may be changed.
func (h *Leases) resign(ctx context.Context, m *lease.Machine) bool {
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

// change writes the new deputy or home and tells it.
func (h *Leases) change(ctx context.Context, m *lease.Machine, to lease.Instance, give bool) {
	h.mu.Lock()
	now := h.now()
	var a *lease.Attempt
	if give {
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
	m.Done(err)
	h.poked[m.Group] = true
	_ = h.conflict(err) // an open result is read back in the next round
	h.unlock()
	if n, _ := h.Members.Get(to.Node); err == nil && n.Instance == to {
		c, cancel := context.WithTimeout(ctx, PeerTimeout)
		defer cancel()
		_ = h.Peers.Handover(c, n, lease.Handover{Record: a.Record}) // only a hint: the table holds it
	}
}

// Stop gives every group up, to its deputy by message or, without one, to another
// node through the table, and then removes this node's row. It returns when that is
// done, or with ctx: what is left then moves by proof of death.
func (h *Leases) Stop(ctx context.Context) error {
	h.init()
	h.mu.Lock()
	h.stopping = true
	l := append([]*lease.Machine(nil), h.order...)
	h.mu.Unlock()
	for _, m := range l {
		if err := h.giveUp(ctx, m); err != nil {
			return err
		}
	}
	return h.leave(ctx)
}

// stopRetry is the pause between tries to give a group up.
const stopRetry = 200 * time.Millisecond

func (h *Leases) giveUp(ctx context.Context, m *lease.Machine) error {
	for ctx.Err() == nil {
		h.mu.Lock()
		home := m.IsHolder()
		to, x, ok := m.Release()
		l := h.candidates()
		h.unlock()
		switch {
		case ok:
			return h.deliver(ctx, to, x)
		case !home:
			return nil
		}
		if c := others(h.Self.Instance, lease.Rank(m.Group, l)); len(c) == 0 {
			return nil // nobody is left to take it
		} else if h.resign(ctx, m) {
			h.change(ctx, m, c[0].Instance, true)
		}
		if !wait.Sleep(ctx, stopRetry) {
			break
		}
	}
	return ctx.Err()
}

func others(self lease.Instance, l []lease.Candidate) (o []lease.Candidate) {
	for _, c := range l {
		if c.Instance != self {
			o = append(o, c)
		}
	}
	return o
}

// deliver repeats a handover until the deputy has it or is dead. A refusal is repeated
// too: a deputy with a transaction open accepts later.
func (h *Leases) deliver(ctx context.Context, to lease.Instance, x lease.Handover) error {
	for ctx.Err() == nil && !h.Members.Dead(to) {
		n, _ := h.Members.Get(to.Node)
		if n.Instance != to {
			return nil
		}
		c, cancel := context.WithTimeout(ctx, PeerTimeout)
		err := h.Peers.Handover(c, n, x)
		cancel()
		if err == nil {
			h.spreadNow(x.Record)
			return nil
		}
		wait.Sleep(ctx, stopRetry)
	}
	return ctx.Err()
}

func (h *Leases) spreadNow(r lease.Record) {
	if h.OnRecord != nil {
		h.OnRecord(r)
	}
}

// leave removes the row of this node. An error leaves it to the proofs of death.
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

// Release lets an operator free a group whose home and deputy are both silent without
// proof: the operator vouches that both have ended. Other nodes with a right to the
// group still keep it.
func (h *Leases) Release(g fleet.GroupID, reason string) error {
	if reason == "" {
		return &lease.RefusedError{Group: g, Reason: "an operator's release needs a reason"}
	}
	r := h.RecordOf(g)
	h.Members.MarkDead(r.Holder, member.ProofOperator)
	h.Members.MarkDead(r.Standby, member.ProofOperator)
	return nil
}
