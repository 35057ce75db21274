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
func (h *Homes) balance(ctx context.Context) {
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
	m, to := h.betterDeputy(now, l)
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

// betterDeputy returns a group that can have a deputy in another failure domain.
func (h *Homes) betterDeputy(now lease.Time, l []lease.Candidate) (*lease.Machine, lease.Holder) {
	for _, m := range h.order {
		if _, left := m.Authority(now); left <= 0 || !m.Recorded() {
			continue
		}
		if d, ok := lease.BetterDeputy(m.Record(), l); ok {
			return m, d
		}
	}
	return nil, lease.Holder{}
}

// move returns a group to give away and its new home.
func (h *Homes) move(now lease.Time, l []lease.Candidate) (*lease.Machine, lease.Holder) {
	var mine []fleet.GroupID
	for _, m := range h.order {
		if _, left := m.Authority(now); left > 0 && m.Recorded() {
			mine = append(mine, m.Group)
		}
	}
	g, to, ok := lease.Move(h.Self.Holder, mine, l)
	if !ok {
		return nil, lease.Holder{}
	}
	return h.machines[g], to
}

// resign asks the deputy to resign, which a home has to do before it changes the
// record, and reports whether the record may be changed.
func (h *Homes) resign(ctx context.Context, m *lease.Machine) bool {
	h.mu.Lock()
	d, x := m.Resignation()
	free := m.Free()
	h.mu.Unlock()
	if free {
		return true
	}
	n, _ := h.Members.Get(d.Node)
	c, cancel := context.WithTimeout(ctx, PeerTimeout)
	defer cancel()
	if n.Holder != d || h.Peers.Handover(c, n, x) != nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if r := m.Record(); r.Deputy == d && r.Epoch == x.Record.Epoch {
		m.Consented(d)
	}
	return m.Free()
}

// change writes the new deputy or home and tells it.
func (h *Homes) change(ctx context.Context, m *lease.Machine, to lease.Holder, give bool) {
	h.mu.Lock()
	now := h.now()
	var a *lease.Attempt
	if give {
		a = m.Give(now, to, lease.PickDeputy(m.Group, to, h.candidates()), h.token(), h.reg)
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
	if n, _ := h.Members.Get(to.Node); err == nil && n.Holder == to {
		c, cancel := context.WithTimeout(ctx, PeerTimeout)
		defer cancel()
		_ = h.Peers.Handover(c, n, lease.Handover{Record: a.Record}) // only a hint: the table holds it
	}
}

// Stop gives every group up, to its deputy by message or, without one, to another
// node through the table, and then removes this node's row. It returns when that is
// done, or with ctx: what is left then moves by proof of death.
func (h *Homes) Stop(ctx context.Context) error {
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

func (h *Homes) giveUp(ctx context.Context, m *lease.Machine) error {
	for ctx.Err() == nil {
		h.mu.Lock()
		home := m.Home()
		to, x, ok := m.Release()
		l := h.candidates()
		h.unlock()
		switch {
		case ok:
			return h.deliver(ctx, to, x)
		case !home:
			return nil
		}
		if c := others(h.Self.Holder, lease.Rank(m.Group, l)); len(c) == 0 {
			return nil // nobody is left to take it
		} else if h.resign(ctx, m) {
			h.change(ctx, m, c[0].Holder, true)
		}
		if !wait.Sleep(ctx, stopRetry) {
			break
		}
	}
	return ctx.Err()
}

func others(self lease.Holder, l []lease.Candidate) (o []lease.Candidate) {
	for _, c := range l {
		if c.Holder != self {
			o = append(o, c)
		}
	}
	return o
}

// deliver repeats a handover until the deputy has it or is dead. A refusal is repeated
// too: a deputy with a transaction open accepts later.
func (h *Homes) deliver(ctx context.Context, to lease.Holder, x lease.Handover) error {
	for ctx.Err() == nil && !h.Members.Dead(to) {
		n, _ := h.Members.Get(to.Node)
		if n.Holder != to {
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

func (h *Homes) spreadNow(r lease.Record) {
	if h.Spread != nil {
		h.Spread(r)
	}
}

// leave removes the row of this node. An error leaves it to the proofs of death.
func (h *Homes) leave(ctx context.Context) error {
	h.mu.Lock()
	v := h.reg.Version
	h.ended = true
	h.unlock()
	if v == 0 {
		return nil
	}
	err := h.transact(ctx, member.Leave(h.Self.Holder.Node, v))
	var c *store.ConflictError
	if errors.As(err, &c) {
		return nil // removed or replaced already
	}
	return err
}

// Release lets an operator free a group whose home and deputy are both silent without
// proof: the operator vouches that both have ended. Other nodes with a right to the
// group still keep it.
func (h *Homes) Release(g fleet.GroupID, reason string) error {
	if reason == "" {
		return &lease.RefusedError{Group: g, Reason: "an operator's release needs a reason"}
	}
	r := h.HomeOf(g)
	h.Members.Kill(r.Home, member.ProofOperator)
	h.Members.Kill(r.Deputy, member.ProofOperator)
	return nil
}
