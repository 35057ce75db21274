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

// The parameters of Reconciler.
const (
	reconcilePeriod = time.Second
	maxReportWait   = 5 * time.Second // for servers to report what they run, after this node became holder
	maxSlotAttempts = 5               // conflicts with other nodes before the order is postponed
)

// Reconciler sends orders that bring servers to the declared state, for the groups whose
// lease this node holds. It sends none while the table is down.
type Reconciler struct {
	Table  store.Table
	Leases *Leases
	View   func() *fleet.View
	// Send sends one order and returns when the server has accepted it.
	Send func(ctx context.Context, o order.Order) error
	// Running returns what a server reports that it runs, false if it has not reported.
	// It is nil if no server reports.
	Running func(server string) (order.State, bool)

	once         sync.Once
	done         chan struct{}
	start        time.Time
	mu           sync.Mutex
	planners     map[fleet.GroupID]*order.Planner
	plannerSince map[fleet.GroupID]time.Time // when the planner was created
}

func (o *Reconciler) init() {
	o.once.Do(func() {
		o.done = make(chan struct{})
		o.start = time.Now()
		o.planners = map[fleet.GroupID]*order.Planner{}
		o.plannerSince = map[fleet.GroupID]time.Time{}
	})
}

// Done is closed when Run has returned.
func (o *Reconciler) Done() <-chan struct{} {
	o.init()
	return o.done
}

// Run reconciles until ctx ends.
func (o *Reconciler) Run(ctx context.Context) error {
	o.init()
	defer close(o.done)
	var w sync.WaitGroup
	for ctx.Err() == nil {
		if v := o.View(); v != nil {
			o.round(ctx, v, &w)
		}
		wait.Sleep(ctx, reconcilePeriod)
	}
	w.Wait()
	return nil
}

func (o *Reconciler) round(ctx context.Context, v *fleet.View, w *sync.WaitGroup) {
	held := o.Leases.Held()
	o.mu.Lock()
	defer o.mu.Unlock()
	for id := range o.planners {
		if _, ok := held[id]; !ok {
			delete(o.planners, id) // a later authority starts with a new planner
		}
	}
	for id := range held {
		g := v.Groups[id]
		if g == nil {
			continue
		}
		d := o.planners[id]
		if d == nil {
			d = &order.Planner{}
			o.planners[id] = d
			o.plannerSince[id] = time.Now()
		}
		if !o.serversReported(g, time.Since(o.plannerSince[id])) {
			continue
		}
		for _, x := range d.Next(time.Since(o.start), o.Leases.OrderAuthority(id), g, o.Running) {
			w.Go(func() { o.execute(ctx, v, g, d, x) })
		}
	}
}

// serversReported reports whether all servers of g have reported what they run, or age
// exceeds maxReportWait. A new holder that did not wait for the reports would make every
// server load its model again.
func (o *Reconciler) serversReported(g *fleet.Group, age time.Duration) bool {
	if o.Running == nil || !g.Pool.ReportsLoad || age > maxReportWait {
		return true
	}
	return !slices.ContainsFunc(g.Servers, func(s *fleet.BackendServer) bool {
		_, ok := o.Running(s.Name)
		return !ok
	})
}

// execute sends one order, after waiting for a slot of the weight store if the order
// loads weights.
func (o *Reconciler) execute(ctx context.Context, v *fleet.View, g *fleet.Group, d *order.Planner, x order.Order) {
	if x.Loads && o.waitForSlot(ctx, v.Declaration.Defaults.WeightsPerMin) != nil {
		o.reportResult(d, x, false, nil)
		return
	}
	t := o.Leases.OrderAuthority(g.ID)
	o.mu.Lock()
	ok := d.Allowed(time.Since(o.start), t, x, g.Pool.ChecksFencing)
	o.mu.Unlock()
	if !ok {
		o.reportResult(d, x, false, nil)
		return
	}
	c, cancel := context.WithTimeout(ctx, order.Timeout)
	defer cancel()
	o.reportResult(d, x, true, o.Send(c, x))
}

func (o *Reconciler) reportResult(d *order.Planner, x order.Order, sent bool, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	d.Report(time.Since(o.start), x, sent, err)
}

// waitForSlot reserves a slot of the weight store and waits until it begins. A slot is the
// right to start one load of weights, perMinute of which the store serves in a minute. A
// slot whose reservation may or may not have taken effect is not used.
func (o *Reconciler) waitForSlot(ctx context.Context, perMinute int) error {
	var err error
	for range maxSlotAttempts {
		var at time.Time
		if at, err = o.reserveSlot(ctx, perMinute); err == nil {
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

func (o *Reconciler) reserveSlot(ctx context.Context, perMinute int) (time.Time, error) {
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

// OrderAuthority returns this node's right to send orders to servers of g. It has one only
// while the table holds its record, for the remaining time of the table lease.
func (h *Leases) OrderAuthority(g fleet.GroupID) order.Authority {
	h.init()
	h.mu.Lock()
	defer h.mu.Unlock()
	m := h.machines[g]
	if m == nil || h.ended || !m.IsHolder() || !m.Recorded() {
		return order.Authority{}
	}
	return order.Authority{Epoch: m.Record().Epoch, Lease: m.LeaseRemaining(h.now()), Term: lease.TermOf(h.Terms)}
}
