package edge

// This file defines the part of the node that decides on rollouts: the oldest one that responds. Its state is a
// row of the store for each rollout, which it reads when it begins and after a write that failed or conflicted.

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"bergamotspring/core/relay"
	"bergamotspring/core/rollout"
	"bergamotspring/io/wait"
	"bergamotspring/platform"
)

const (
	// decideInterval is how often the decider judges. Several judgements fit into the time between two reports.
	decideInterval = 100 * time.Millisecond
	// readPause is the time between two reads of the rows of rollouts.
	readPause = 200 * time.Millisecond
	// withdrawnAfter is how long an order must be missing before its rollout is rolled back. The operator's row may
	// be missing for a moment when the store is restored, or not have been read here yet.
	withdrawnAfter = 3 * time.Second
)

var errNoDecider = errors.New("no node decides on the rollout")

// deciding is the state of the decider. The lock of rollouts protects it.
type deciding struct {
	open    map[string]*openRollout
	orphans map[string]time.Time // services with a rollout in progress and without an order, and since when
	reading bool
	readAt  time.Time // of the last read
}

// openRollout is a rollout that this node decides on.
type openRollout struct {
	order   rollout.Order
	era     uint64 // in which the row was read
	version uint64 // of the row in the store
	ended   bool   // the store has the end of the rollout
}

func (d *deciding) init() {
	d.open, d.orphans = map[string]*openRollout{}, map[string]time.Time{}
}

// runDecider decides while it is this node's turn and there are orders, until the context ends.
func (x *rollouts) runDecider(ctx context.Context) {
	for x.active(ctx) {
		if n, ok := x.roster.Oldest(); ok && n.Peer == x.self.Peer {
			x.decide(ctx)
		} else {
			x.resign()
		}
		wait.Sleep(ctx, decideInterval)
	}
}

// resign leaves all rollouts to the node whose turn it is.
func (x *rollouts) resign() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for service := range x.deciding.open {
		x.decider.Close(service)
	}
	reading := x.deciding.reading
	x.deciding.init()
	x.deciding.reading = reading
}

// onReport handles the report of a node. Written says that the store has the end of the rollout and that the node knew
// the end when it reported, so that the decider knows that it has stopped.
func (x *rollouts) onReport(r rollout.Report) (reply rollout.Reply, written, ok bool) {
	if !x.enabled {
		return rollout.Reply{}, false, false
	}
	reply, ok = x.decider.OnReport(r)
	x.mu.Lock()
	defer x.mu.Unlock()
	p := x.deciding.open[r.Order.Service]
	return reply, p != nil && p.ended && reply.State.Final() && r.State == reply.State, ok
}

// decide goes on with all rollouts.
func (x *rollouts) decide(ctx context.Context) {
	x.equip()
	if l, ok := x.toRead(); ok {
		x.tasks.work.Go(func() { x.read(ctx, l) })
	}
	x.endWithdrawn()
	for _, c := range x.decider.Tick() {
		x.logChange(c)
		x.tasks.work.Go(func() { x.write(ctx, c) })
	}
	x.reportInfo()
}

// equip tells the decider the nodes, and the servers that can take requests.
func (x *rollouts) equip() {
	var names []string
	for _, n := range x.roster.All() {
		names = append(names, n.Name)
	}
	x.decider.SetNodes(names)
	v := x.cache.View()
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, p := range x.deciding.open {
		x.decider.SetServers(p.order.Service, x.serversOf(v, p.order))
	}
}

// serversOf returns the servers of the two versions of an order. Those of others, such as the version of an earlier
// order, get nothing, so that they are no capacity. The lock is held.
func (x *rollouts) serversOf(v *relay.View, o rollout.Order) []rollout.Server {
	var l []rollout.Server
	old, now := rollout.Rule{Not: o.To}, time.Now()
	if s := x.state[o.Service]; s != nil && s.main.Version != o.To {
		old = s.main
	}
	for _, s := range v.Servers[o.Service] {
		if s.Version != o.To && !old.Admits(s.Version) {
			continue
		}
		l = append(l, rollout.Server{ID: s.ID, Version: s.Version, Domain: s.Domain, Capacity: float64(s.Slots), Cold: s.Cold(now)})
	}
	return l
}

// toRead returns the services whose rows the decider needs, and whether to read the rows now.
func (x *rollouts) toRead() ([]string, bool) {
	l := x.decider.NeedsRow()
	now := time.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	d := &x.deciding
	for service, o := range x.orders {
		if p := d.open[service]; (p == nil || p.order != o || p.era != x.store.Era()) && !slices.Contains(l, service) {
			l = append(l, service)
		}
	}
	due := len(l) > 0 || !x.removedAt.IsZero() && d.readAt.Before(x.removedAt)
	for _, since := range d.orphans {
		due = due || now.Sub(since) >= withdrawnAfter
	}
	if !due || d.reading || now.Sub(d.readAt) < readPause {
		return nil, false
	}
	d.reading, d.readAt = true, now
	return l, true
}

// read reads the rows of all rollouts and opens the given ones with them.
func (x *rollouts) read(ctx context.Context, services []string) {
	era := x.store.Era()
	rows, now, err := platform.ReadRollouts(ctx, x.store)
	if err == nil && x.store.Era() != era {
		err = errRestored // the rows may be of either era
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.deciding.reading = false
	if err != nil {
		x.log.Warn("rollouts_unread", zap.Error(err))
		return
	}
	for _, service := range services {
		o, ok := x.orders[service]
		if p := x.deciding.open[service]; !ok && p != nil {
			o, ok = p.order, true
		}
		if ok {
			x.openRollout(o, rows, now)
		}
	}
	x.findOrphans(rows, now)
}

// openRollout tells the decider a row as it was read. The lock is held.
func (x *rollouts) openRollout(o rollout.Order, rows map[string]platform.StoredRollout, now time.Duration) {
	p := &openRollout{order: o, era: x.store.Era()}
	var rec *rollout.Record
	if r, ok := rows[o.Service]; ok {
		rec, p.version = &r.Record, r.Version
		p.ended = rec.State.Final()
	}
	x.deciding.open[o.Service] = p
	delete(x.deciding.orphans, o.Service)
	x.decider.SetServers(o.Service, x.serversOf(x.cache.View(), o))
	x.decider.Open(o, rec, now)
}

// findOrphans opens rollouts in progress whose order has been missing for withdrawnAfter, so that they are ended. The lock
// is held.
func (x *rollouts) findOrphans(rows map[string]platform.StoredRollout, now time.Duration) {
	d := &x.deciding
	maps.DeleteFunc(d.orphans, func(service string, _ time.Time) bool {
		_, ok := rows[service]
		return !ok && d.open[service] == nil
	})
	for service, r := range rows {
		if _, ok := x.orders[service]; ok || d.open[service] != nil || r.Record.State.Final() {
			delete(d.orphans, service)
			continue
		}
		if d.orphans[service].IsZero() {
			d.orphans[service] = time.Now()
		}
		if time.Since(d.orphans[service]) >= withdrawnAfter {
			x.openRollout(r.Record.Order, rows, now)
			d.orphans[service] = time.Now().Add(-withdrawnAfter)
		}
	}
}

// endWithdrawn rolls back the rollouts whose order has been missing for withdrawnAfter, and forgets those whose end is
// in the store.
func (x *rollouts) endWithdrawn() {
	x.mu.Lock()
	defer x.mu.Unlock()
	d := &x.deciding
	for service, p := range d.open {
		if _, ok := x.orders[service]; ok {
			delete(d.orphans, service)
			continue
		}
		if d.orphans[service].IsZero() {
			d.orphans[service] = time.Now()
		}
		switch {
		case p.ended:
			x.decider.Close(service)
			delete(d.open, service)
			delete(d.orphans, service)
		case time.Since(d.orphans[service]) >= withdrawnAfter:
			x.decider.Withdraw(service)
		}
	}
}

// write writes the row of a rollout and its status.
func (x *rollouts) write(ctx context.Context, c rollout.Change) {
	x.mu.Lock()
	p := x.deciding.open[c.Service]
	if p == nil {
		x.mu.Unlock()
		return
	}
	era, version := p.era, p.version
	x.mu.Unlock()
	var v uint64
	err := rollout.ErrConflict // a restored store may have given the version out again
	if x.store.Era() == era {
		v, err = platform.WriteRollout(ctx, x.store, c.Record, version)
	}
	if err != nil {
		x.log.Warn("rollout_not_written", zap.String("service", c.Service), zap.Stringer("state", c.Record.State), zap.Error(err))
	} else {
		x.mu.Lock()
		p.version, p.ended = v, c.Record.State.Final()
		x.mu.Unlock()
	}
	x.decider.OnWritten(c, err)
}

// logChange logs what the decider did, and what it is based on.
func (x *rollouts) logChange(c rollout.Change) {
	i, _ := x.decider.Info(c.Service)
	for _, line := range c.Logs {
		x.log.Info("rollout_step", zap.String("service", c.Service), zap.String("to", c.Record.Order.To), zap.Stringer("state", c.Record.State),
			zap.String("step", line), zap.Int64("requests", c.Record.Requests), zap.Int64("exposed", i.Exposed), zap.Int64("budget", i.Budget),
			zap.Int64("bad", i.Bad), zap.Int64("old_in_flight", i.OldInFlight), zap.Int("silent_nodes", i.Silent),
			zap.Duration("first_bad", i.FirstBad), zap.Duration("decided", i.Decided), zap.Duration("stopped", i.Stopped))
	}
}

// reportInfo records the metrics of the rollouts.
func (x *rollouts) reportInfo() {
	x.mu.Lock()
	l := slices.Sorted(maps.Keys(x.deciding.open))
	x.mu.Unlock()
	for _, service := range l {
		if i, ok := x.decider.Info(service); ok {
			x.meter.reportRollout(service, i)
		}
	}
}
