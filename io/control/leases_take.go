package control

import (
	"context"
	"sync"
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/core/lease"
	"bergamotspring/core/member"
	"bergamotspring/core/store"
)

func decodeNode(b []byte) (lease.Instance, error) {
	n, err := member.DecodeNode(b)
	return n.Instance, err
}

// sending is a transaction about to be sent.
type sending struct {
	m  *lease.Machine
	tx store.Tx
}

// begin returns the transactions to send, up to takesPerTick. mu is held.
func (h *Leases) begin() []sending {
	if h.ended || h.reg.Version == 0 {
		return nil
	}
	now := h.now()
	if !h.wants(now) {
		return nil
	}
	region := h.groups()
	l := h.candidates()
	var out []sending
	for _, m := range h.order {
		if len(out) == takesPerTick {
			break
		}
		if w := m.Next(now); w != lease.ActionInsert && w != lease.ActionTakeOrphan {
			delete(h.wanted, m.Group)
		}
		a := m.Send()
		if a == nil && !h.stopping {
			a = h.start(now, m, region[m.Group], l)
		}
		if a != nil {
			out = append(out, sending{m, a.Tx})
		}
	}
	return out
}

// wants reports whether any group wants or awaits something: most rounds end here.
func (h *Leases) wants(now lease.Time) bool {
	for _, m := range h.order {
		if m.Pending() != nil || m.Next(now) != lease.ActionNone {
			return true
		}
	}
	return false
}

// start begins the transaction that m wants, if it is this node's turn.
func (h *Leases) start(now lease.Time, m *lease.Machine, region string, l []lease.Candidate) *lease.Attempt {
	w := m.Next(now)
	switch w {
	case lease.ActionNone, lease.ActionTakeDead, lease.ActionTakeOrphan:
		return nil
	case lease.ActionInsert:
		if region != h.Self.Region || !h.turn(now, m.Group, l) {
			return nil
		}
	case lease.ActionAppointStandby:
		if lease.PickStandby(m.Group, h.Self.Instance, l) == (lease.Instance{}) {
			return nil
		}
	}
	return m.Begin(now, w, lease.PickStandby(m.Group, h.Self.Instance, l), h.token(), h.reg)
}

// turn reports whether this node should take a free group now: the first in rank at
// once, others later in turn. mu is held.
func (h *Leases) turn(now lease.Time, g fleet.GroupID, l []lease.Candidate) bool {
	if !h.ready || now.Slow-h.started < settle {
		return false
	}
	since, ok := h.wanted[g]
	if !ok {
		since = now.Slow
		h.wanted[g] = since
	}
	for i, c := range lease.Rank(g, l) {
		if c.Instance == h.Self.Instance {
			return now.Slow-since >= time.Duration(i)*rankDelay
		}
	}
	return false
}

// candidates returns the live nodes of this region that are not leaving, with the
// number of homes of each. mu is held; membership comes before homes in the lock
// order, so the list is a copy made by refresh.
func (h *Leases) candidates() []lease.Candidate {
	n := map[lease.Instance]int{}
	for _, m := range h.order {
		n[m.Record().Holder]++
	}
	var l []lease.Candidate
	for _, x := range h.live {
		if !h.dead[x.Instance] && !x.Leaving {
			l = append(l, lease.Candidate{Instance: x.Instance, Domain: x.Domain, Leases: n[x.Instance]})
		}
	}
	return l
}

// refresh copies the live nodes of this region.
func (h *Leases) refresh() {
	l := h.Members.Live(h.Self.Region)
	h.mu.Lock()
	h.live = l
	h.mu.Unlock()
}

// orphanRetry is the pause after a question that not every node answered well.
const orphanRetry = time.Second

// orphans takes over groups whose home and deputy are both dead, one in each round.
// Takeovers that the table does not show yet are found by asking every live node of
// the region, on a list of nodes that is read before and after.
func (h *Leases) orphans(ctx context.Context) {
	h.mu.Lock()
	now := h.now()
	if !h.wants(now) {
		h.mu.Unlock()
		return
	}
	region := h.groups()
	l := h.candidates()
	var m *lease.Machine
	for _, x := range h.order {
		if !h.stopping && !h.ended && h.reg.Version > 0 && x.Next(now) == lease.ActionTakeOrphan && region[x.Group] == h.Self.Region && h.turn(now, x.Group, l) {
			m = x
			break
		}
	}
	if m == nil {
		h.mu.Unlock()
		return
	}
	q := m.OwnershipQuery()
	h.mu.Unlock()
	if h.confirmUnowned(ctx, q) {
		h.takeOrphan(ctx, m, q.Record.Epoch)
		return
	}
	h.mu.Lock()
	h.wanted[m.Group] = now.Slow + orphanRetry
	h.mu.Unlock()
}

func (h *Leases) takeOrphan(ctx context.Context, m *lease.Machine, epoch uint64) {
	h.mu.Lock()
	now := h.now()
	if m.OrphanEpoch() != epoch {
		h.mu.Unlock()
		return // something was learnt since the question
	}
	a := m.Begin(now, lease.ActionTakeOrphan, lease.PickStandby(m.Group, h.Self.Instance, h.candidates()), h.token(), h.reg)
	h.mu.Unlock()
	if a == nil {
		return
	}
	err := h.transact(ctx, a.Tx)
	h.mu.Lock()
	defer h.unlock()
	m.Done(err)
	h.poked[m.Group] = true
	_ = h.conflict(err) // an open result is read back in the next round
}

// confirmUnowned asks every live node of the region whether it has a right to the group.
func (h *Leases) confirmUnowned(ctx context.Context, q lease.Handover) bool {
	if !h.readNodes(ctx) {
		return false
	}
	asked := h.Members.Live(h.Self.Region)
	if !h.askAll(ctx, asked, func(c context.Context, n member.Node) error { return h.Peers.Handover(c, n, q) }) {
		return false
	}
	if !h.readNodes(ctx) {
		return false
	}
	known := map[lease.Instance]bool{}
	for _, n := range asked {
		known[n.Instance] = true
	}
	for _, n := range h.Members.Live(h.Self.Region) {
		if !known[n.Instance] {
			return false
		}
	}
	return true
}

// askAll calls f for each node but this one and reports whether all consented.
func (h *Leases) askAll(ctx context.Context, l []member.Node, f func(context.Context, member.Node) error) bool {
	var w sync.WaitGroup
	var mu sync.Mutex
	all := true
	slots := make(chan struct{}, asksAtOnce)
	for _, n := range l {
		if n.Instance == h.Self.Instance {
			continue
		}
		slots <- struct{}{}
		w.Go(func() {
			defer func() { <-slots }()
			c, cancel := context.WithTimeout(ctx, PeerTimeout)
			defer cancel()
			err := f(c, n)
			mu.Lock()
			defer mu.Unlock()
			all = all && (err == nil || h.Members.Dead(n.Instance))
		})
	}
	w.Wait()
	return all
}

// readNodes brings the table of nodes up to date.
func (h *Leases) readNodes(ctx context.Context) bool {
	c, cancel := context.WithTimeout(ctx, TableTimeout)
	defer cancel()
	since := h.Members.sequence()
	r, err := h.Table.Read(c, store.Query{Prefixes: []string{lease.NodePrefix}, Since: since})
	h.Health.note(err == nil)
	if err != nil || r.Sequence < since {
		return false
	}
	h.Members.Apply(r.Rows, r.Sequence)
	return true
}
