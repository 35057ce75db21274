package rollout

// This file defines the decider.

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Decider decides on rollouts. It must be called only on the node whose turn it is, but several at
// once do no harm. It is safe for concurrent use.
type Decider struct {
	Now    func() time.Time
	Limits Limits
	Name   string // node and incarnation

	mu       sync.Mutex
	rollouts map[string]*rollout
	servers  map[string][]Server
	nodes    []string
	opened   int // rollouts so far
}

func (d *Decider) now() time.Time {
	if d.Now == nil {
		return time.Time{}
	}
	return d.Now()
}

// Open starts or goes on with an order. rec is its row as the store has it, nil without one, and storeNow
// the store's clock at that time. It is also called with each row that was read again. An order older than the
// open one is ignored: it was read late.
func (d *Decider) Open(o Order, rec *Record, storeNow time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	if r := d.rollouts[o.Service]; r != nil && o.before(r.order) {
		return
	} else if r != nil && o.continues(r.order, r.rec.State) {
		r.order = o
		r.clock, r.clockAt = storeNow, now
		r.merge(rec, now)
		return
	}
	if d.rollouts == nil {
		d.rollouts = map[string]*rollout{}
	}
	d.opened++
	r := &rollout{
		order: o, limits: d.Limits, writer: d.Name, name: d.Name + "/" + strconv.Itoa(d.opened),
		clock: storeNow, clockAt: now, since: now, members: map[string]*member{},
		// The seed is fixed: the numbers only spread the allowances over the nodes.
		random: rand.New(rand.NewPCG(uint64(d.opened), 1)),
	}
	r.rec = Record{Order: o, Opened: storeNow}
	if old := d.rollouts[o.Service]; old != nil {
		r.row.serial = old.row.serial
		if !old.rec.State.Final() {
			r.log("order to " + old.order.To + " was replaced")
		}
	}
	r.adopt(rec, now)
	r.floor = r.rec.Requests
	r.log("rollout to " + o.To + ": " + r.rec.State.String())
	d.rollouts[o.Service] = r
	d.equip(r)
}

// equip tells a rollout the nodes and servers.
func (d *Decider) equip(r *rollout) {
	r.nodes = map[string]bool{}
	for _, n := range d.nodes {
		r.nodes[n] = true
	}
	r.interval = ReportInterval(len(d.nodes))
	r.setServers(d.servers[r.order.Service])
}

// Withdraw rolls back the open order of a service unless it has ended: the operator withdrew it, or the
// configuration removed the service. An order row that is missing while rollouts/SERVICE is in progress
// was withdrawn too: Open the order of the record, then Withdraw.
func (d *Decider) Withdraw(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r := d.rollouts[service]; r != nil {
		r.end(RolledBack, "the order was withdrawn", d.now())
	}
}

// Close forgets the order of a service: another node decides, or its end was written and the order is gone.
func (d *Decider) Close(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.rollouts, service)
}

// SetNodes replaces the names of the registered nodes.
func (d *Decider) SetNodes(names []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.nodes = slices.Clone(names)
	for _, r := range d.rollouts {
		d.equip(r)
	}
}

// SetServers replaces the registered servers of a service that can take requests.
func (d *Decider) SetServers(service string, l []Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.servers == nil {
		d.servers = map[string][]Server{}
	}
	d.servers[service] = slices.Clone(l)
	if len(l) == 0 {
		delete(d.servers, service)
	}
	if r := d.rollouts[service]; r != nil {
		d.equip(r)
	}
}

// OnReport takes a report and returns the reply. It returns false if the order is not open here.
func (d *Decider) OnReport(r Report) (Reply, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	x := d.rollouts[r.Order.Service]
	if x == nil || !r.Order.continues(x.order, x.rec.State) {
		return Reply{}, false
	}
	return x.onReport(r, d.now())
}

// Tick returns the rows to write. It is called several times a second.
func (d *Decider) Tick() []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	var l []Change
	for _, service := range slices.Sorted(maps.Keys(d.rollouts)) {
		r := d.rollouts[service]
		r.tick(now)
		if c, ok := r.change(now); ok {
			l = append(l, c)
		}
	}
	return l
}

// OnWritten takes the outcome of a write: nil, ErrConflict, ErrNotWritten, or another error if it is
// unknown. NeedsRow names the services whose row is to be read and given to Open.
func (d *Decider) OnWritten(c Change, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r := d.rollouts[c.Service]; r != nil {
		r.written(c, err, d.now())
	}
}

// NeedsRow returns the services that wait for Open with the row as the store has it.
func (d *Decider) NeedsRow() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var l []string
	for _, service := range slices.Sorted(maps.Keys(d.rollouts)) {
		if d.rollouts[service].row.needed {
			l = append(l, service)
		}
	}
	return l
}

// Info returns the state of the order of a service, for metrics and `show`.
func (d *Decider) Info(service string) (Info, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.rollouts[service]
	if r == nil {
		return Info{}, false
	}
	return r.info(d.now()), true
}

// Info describes a rollout.
type Info struct {
	Record      Record
	Exposed     int64 // requests that went to the new version, as reported
	Outstanding int64 // allowances that may still be used
	Budget      int64 // what may be exposed by now
	Step        int
	Silent      int           // registered nodes without a recent report
	OldInFlight int64         // at nodes that report
	Bad         int64         // responses that failed or were slow, of the new version
	FirstBad    time.Duration // store's clock of the first one, 0 without
	Decided     time.Duration // store's clock of the verdict, 0 without
	Stopped     time.Duration // store's clock when the last responding node knew of it, 0 before
}
