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

// pendingTx is a transaction to send, with the machine that its result is for.
type pendingTx struct {
	m  *lease.Machine
	tx store.Tx
}

// nextTransactions returns the transactions to send, up to attemptsPerTick. mu is held.
func (h *Leases) nextTransactions() []pendingTx {
	if h.ended || h.reg.Version == 0 {
		return nil
	}
	now := h.now()
	if !h.hasAction(now) {
		return nil
	}
	region := h.groups()
	l := h.candidates()
	var out []pendingTx
	for _, m := range h.sorted {
		if len(out) == attemptsPerTick {
			break
		}
		if w := m.Next(now); w != lease.ActionInsert && w != lease.ActionTakeOrphan {
			delete(h.takeableSince, m.Group)
		}
		a := m.Send()
		if a == nil && !h.stopping {
			a = h.startAttempt(now, m, region[m.Group], l)
		}
		if a != nil {
			out = append(out, pendingTx{m, a.Tx})
		}
	}
	return out
}

// hasAction reports whether any machine has an action due or a transaction pending. In
// steady state there is none, and a round ends here. mu is held.
func (h *Leases) hasAction(now lease.Time) bool {
	for _, m := range h.sorted {
		if m.Pending() != nil || m.Next(now) != lease.ActionNone {
			return true
		}
	}
	return false
}

// startAttempt begins the transaction for the next action of m. It returns nil if there is
// none, if another node should act first, or if the action is left to tickMachines
// (ActionTakeDead) or takeNextOrphan (ActionTakeOrphan). mu is held.
func (h *Leases) startAttempt(now lease.Time, m *lease.Machine, region string, l []lease.Candidate) *lease.Attempt {
	w := m.Next(now)
	switch w {
	case lease.ActionNone, lease.ActionTakeDead, lease.ActionTakeOrphan:
		return nil
	case lease.ActionInsert:
		if region != h.Self.Region || !h.isTurn(now, m.Group, l) {
			return nil
		}
	case lease.ActionAppointStandby:
		if lease.PickStandby(m.Group, h.Self.Instance, l) == (lease.Instance{}) {
			return nil
		}
	}
	return m.Begin(now, w, lease.PickStandby(m.Group, h.Self.Instance, l), h.token(), h.reg)
}

// isTurn reports whether this node should take a group without a holder now: the first
// candidate by rank at once, each further one rankDelay later. mu is held.
func (h *Leases) isTurn(now lease.Time, g fleet.GroupID, l []lease.Candidate) bool {
	if !h.tableRead || now.Slow-h.startedAt < settleTime {
		return false
	}
	since, ok := h.takeableSince[g]
	if !ok {
		since = now.Slow
		h.takeableSince[g] = since
	}
	for i, c := range lease.Rank(g, l) {
		if c.Instance == h.Self.Instance {
			return now.Slow-since >= time.Duration(i)*rankDelay
		}
	}
	return false
}

// candidates returns the live nodes of this region that are not leaving, with the
// number of leases that each holds. mu is held. The membership comes before the leases
// in the lock order, so the nodes come from the copy made by refreshLive.
func (h *Leases) candidates() []lease.Candidate {
	n := map[lease.Instance]int{}
	for _, m := range h.sorted {
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

// refreshLive copies the live nodes of this region.
func (h *Leases) refreshLive() {
	l := h.Members.Live(h.Self.Region)
	h.mu.Lock()
	h.live = l
	h.mu.Unlock()
}

// orphanRetryPause is the pause after an ownership query that did not show the group
// to be unowned.
const orphanRetryPause = time.Second

// takeNextOrphan takes over one group whose holder and standby are both dead. To find
// takeovers that the table does not show yet, it queries every live node of the region;
// the list of nodes is read before and after, so that no node is left out.
func (h *Leases) takeNextOrphan(ctx context.Context) {
	h.mu.Lock()
	now := h.now()
	if !h.hasAction(now) {
		h.mu.Unlock()
		return
	}
	region := h.groups()
	l := h.candidates()
	var m *lease.Machine
	for _, x := range h.sorted {
		if !h.stopping && !h.ended && h.reg.Version > 0 && x.Next(now) == lease.ActionTakeOrphan && region[x.Group] == h.Self.Region && h.isTurn(now, x.Group, l) {
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
	h.takeableSince[m.Group] = now.Slow + orphanRetryPause
	h.mu.Unlock()
}

func (h *Leases) takeOrphan(ctx context.Context, m *lease.Machine, epoch uint64) {
	h.mu.Lock()
	now := h.now()
	if m.OrphanEpoch() != epoch {
		h.mu.Unlock()
		return // a later record was observed after the query
	}
	a := m.Begin(now, lease.ActionTakeOrphan, lease.PickStandby(m.Group, h.Self.Instance, h.candidates()), h.token(), h.reg)
	h.mu.Unlock()
	if a == nil {
		return
	}
	err := h.transact(ctx, a.Tx)
	h.mu.Lock()
	defer h.unlock()
	m.OnResult(err)
	h.reread[m.Group] = true
	_ = h.invalidateConflicts(err) // an unknown result is read back in the next round
}

// confirmUnowned asks every live node of the region whether it has a right to the group,
// and reports whether none has.
func (h *Leases) confirmUnowned(ctx context.Context, q lease.Handover) bool {
	if !h.readNodes(ctx) {
		return false
	}
	queried := h.Members.Live(h.Self.Region)
	if !h.callAll(ctx, queried, func(c context.Context, n member.Node) error { return h.Peers.Handover(c, n, q) }) {
		return false
	}
	if !h.readNodes(ctx) {
		return false
	}
	known := map[lease.Instance]bool{}
	for _, n := range queried {
		known[n.Instance] = true
	}
	for _, n := range h.Members.Live(h.Self.Region) {
		if !known[n.Instance] {
			return false
		}
	}
	return true
}

// callAll calls f for each node but this one and reports whether it succeeded for all
// that are not proven dead.
func (h *Leases) callAll(ctx context.Context, l []member.Node, f func(context.Context, member.Node) error) bool {
	var w sync.WaitGroup
	var mu sync.Mutex
	consented := true
	slots := make(chan struct{}, maxPeerCalls)
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
			consented = consented && (err == nil || h.Members.Dead(n.Instance))
		})
	}
	w.Wait()
	return consented
}

// readNodes reads the node rows that changed and reports whether the membership is
// current.
func (h *Leases) readNodes(ctx context.Context) bool {
	c, cancel := context.WithTimeout(ctx, TableTimeout)
	defer cancel()
	since := h.Members.sequence()
	r, err := h.Table.Read(c, store.Query{Prefixes: []string{lease.NodePrefix}, Since: since})
	h.Health.observe(err == nil)
	if err != nil || r.Sequence < since {
		return false
	}
	h.Members.Apply(r.Rows, r.Sequence)
	return true
}
