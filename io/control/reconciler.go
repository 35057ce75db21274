package control

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/core/lease"
	"bergamotspring/core/order"
	"bergamotspring/core/store"
	"bergamotspring/io/wait"
)

// The periods of Reconciler.
const (
	orderPeriod = time.Second
	reportWait  = 5 * time.Second // for what servers run, after this node became home
	slotTries   = 5               // against other homes, before the order is put off
)

// Reconciler brings about what the declaration wants from the servers of the groups that
// this node is home of. Nothing is ordered while the table is down.
type Reconciler struct {
	Table  store.Table
	Leases *Leases
	View   func() *fleet.View
	// Send sends one order and returns when the server has accepted it.
	Send func(ctx context.Context, o order.Order) error
	// Running returns what a server reports that it runs, nil: servers do not report.
	Running func(server string) (order.State, bool)

	once     sync.Once
	done     chan struct{}
	start    time.Time
	mu       sync.Mutex
	planners map[fleet.GroupID]*order.Planner
	since    map[fleet.GroupID]time.Time // of the desk
}

func (o *Reconciler) init() {
	o.once.Do(func() {
		o.done = make(chan struct{})
		o.start = time.Now()
		o.planners = map[fleet.GroupID]*order.Planner{}
		o.since = map[fleet.GroupID]time.Time{}
	})
}

// Done is closed when Run has returned.
func (o *Reconciler) Done() <-chan struct{} {
	o.init()
	return o.done
}

// Run works until ctx ends.
func (o *Reconciler) Run(ctx context.Context) error {
	o.init()
	defer close(o.done)
	var w sync.WaitGroup
	for ctx.Err() == nil {
		if v := o.View(); v != nil {
			o.round(ctx, v, &w)
		}
		wait.Sleep(ctx, orderPeriod)
	}
	w.Wait()
	return nil
}

func (o *Reconciler) round(ctx context.Context, v *fleet.View, w *sync.WaitGroup) {
	mine := o.Leases.Held()
	o.mu.Lock()
	defer o.mu.Unlock()
	for id := range o.planners {
		if _, ok := mine[id]; !ok {
			delete(o.planners, id) // a later tenure starts anew
		}
	}
	for id := range mine {
		g := v.Groups[id]
		if g == nil {
			continue
		}
		d := o.planners[id]
		if d == nil {
			d = &order.Planner{}
			o.planners[id] = d
			o.since[id] = time.Now()
		}
		if !o.informed(g, time.Since(o.since[id])) {
			continue
		}
		for _, x := range d.Next(time.Since(o.start), o.Leases.OrderAuthority(id), g, o.Running) {
			w.Go(func() { o.carry(ctx, v, g, d, x) })
		}
	}
}

// informed reports whether the servers of g have said what they run. A new home that
// did not wait for them would have every server load its model again.
func (o *Reconciler) informed(g *fleet.Group, age time.Duration) bool {
	if o.Running == nil || !g.Pool.ReportsLoad || age > reportWait {
		return true
	}
	return !slices.ContainsFunc(g.Servers, func(s *fleet.BackendServer) bool {
		_, ok := o.Running(s.Name)
		return !ok
	})
}

// carry sends one order, after a slot of the weight store if it needs one.
func (o *Reconciler) carry(ctx context.Context, v *fleet.View, g *fleet.Group, d *order.Planner, x order.Order) {
	if x.Loads && o.reserve(ctx, v.Declaration.Defaults.WeightsPerMin) != nil {
		o.report(d, x, false, nil)
		return
	}
	t := o.Leases.OrderAuthority(g.ID)
	o.mu.Lock()
	ok := d.Allowed(time.Since(o.start), t, x, g.Pool.ChecksFencing)
	o.mu.Unlock()
	if !ok {
		o.report(d, x, false, nil)
		return
	}
	c, cancel := context.WithTimeout(ctx, order.Timeout)
	defer cancel()
	o.report(d, x, true, o.Send(c, x))
}

func (o *Reconciler) report(d *order.Planner, x order.Order, sent bool, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	d.Report(time.Since(o.start), x, sent, err)
}

// reserve waits for a slot of the weight store. A slot whose reservation may or may not
// have taken effect is not used.
func (o *Reconciler) reserve(ctx context.Context, perMinute int) error {
	var err error
	for range slotTries {
		var at time.Time
		if at, err = o.slot(ctx, perMinute); err == nil {
			if !wait.Sleep(ctx, time.Until(at)) {
				return ctx.Err()
			}
			return nil
		}
		var c *store.ConflictError
		if !errors.As(err, &c) {
			return err
		}
	}
	return err
}

func (o *Reconciler) slot(ctx context.Context, perMinute int) (time.Time, error) {
	c, cancel := context.WithTimeout(ctx, TableTimeout)
	defer cancel()
	r, err := o.Table.Read(c, store.Query{Keys: []string{order.SlotKey}})
	if err != nil {
		return time.Time{}, err
	}
	var row store.Row
	if len(r.Rows) > 0 {
		row = r.Rows[0]
	}
	t, at, err := order.Slot(time.Now(), row, perMinute)
	if err == nil {
		_, err = o.Table.Transact(c, t)
	}
	return at, err
}

// OrderAuthority returns this node's right to order from servers of g: only under a record
// that is in the table, and with what is left of the table lease.
func (h *Leases) OrderAuthority(g fleet.GroupID) order.Authority {
	h.init()
	h.mu.Lock()
	defer h.mu.Unlock()
	m := h.machines[g]
	if m == nil || h.ended || !m.IsHolder() || !m.Recorded() {
		return order.Authority{}
	}
	return order.Authority{Epoch: m.Record().Epoch, Lease: m.LeaseLeft(h.now()), Term: lease.TermOf(h.Terms)}
}
