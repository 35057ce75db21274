// Package order decides what the home of a group orders from its servers, and when.
//
// A home brings the declared model, adapter, version and role about. An order carries
// the epoch of the home row as fencing number, which servers that check it use to
// refuse an earlier home. For the others two homes must never order at once, so a
// home orders only early in its lease and its successor waits.
package order

import (
	"encoding/binary"
	"errors"
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/core/store"
)

// Timeout bounds one order: loading a large model takes minutes, so a server answers
// once it has accepted the order, and the load shows in its reports.
const Timeout = 2 * time.Second

// Retry bounds the pause after a failed order; it doubles from the first to the last.
const (
	RetryFirst = 5 * time.Second
	RetryLast  = time.Minute
)

// State is what a server runs.
type State struct {
	Model, Adapter, Version, Role string
}

// Declared returns the state that the declaration wants from servers of p, and false
// if it wants none.
func Declared(p *fleet.Pool) (State, bool) {
	s := State{Model: p.Model, Adapter: p.Adapter, Version: p.ModelVersion, Role: p.Role}
	return s, s.Model != "" || s.Role != ""
}

// loads reports whether going from s to t reads from the weight store.
func (s State) loads(t State) bool {
	s.Role = t.Role
	return s != t
}

// Order is one order to one server.
type Order struct {
	Server  string
	Address string
	Fencing uint64
	State   State
	Loads   bool // needs a slot of the weight store
}

// Authority is what a home knows of its right to order.
type Authority struct {
	Epoch uint64        // 0: not home, or not recorded in the table
	Lease time.Duration // left of the table lease, 0 without the table
	Term  time.Duration // of the lease
}

// Planner is the orders of one group. Times are on one monotonic time line. The zero value
// is ready to use.
type Planner struct {
	epoch   uint64
	since   time.Duration
	servers map[string]*server
}

type server struct {
	done   State
	known  bool
	tried  State
	next   time.Duration // no order before
	pause  time.Duration
	flying bool
}

// Next returns the orders that may be sent now, all at once. Report has to follow for
// each. running, if not nil, returns what a server reports that it runs.
func (d *Planner) Next(now time.Duration, t Authority, g *fleet.Group, running func(string) (State, bool)) []Order {
	d.enter(now, t.Epoch)
	want, ok := Declared(g.Pool)
	if !ok || !d.allowed(now, t, g.Pool.ChecksFencing) {
		return nil
	}
	var l []Order
	for _, s := range g.Servers {
		x := d.server(s.Name)
		if running != nil && !x.flying {
			if r, ok := running(s.Name); ok {
				x.done, x.known = r, true
			}
		}
		if x.flying || x.known && x.done == want || x.tried == want && now < x.next {
			continue
		}
		x.flying, x.tried = true, want
		l = append(l, Order{Server: s.Name, Address: s.Address, Fencing: t.Epoch, State: want, Loads: !x.known || x.done.loads(want)})
	}
	return l
}

// enter begins a new tenure: what servers run is unknown again.
func (d *Planner) enter(now time.Duration, epoch uint64) {
	if epoch == d.epoch {
		return
	}
	d.epoch, d.since, d.servers = epoch, now, nil
}

// allowed reports whether this home allowed order now. It must hold the table lease. A server
// that does not check fencing numbers could take an order of the earlier home after
// one of this home, so this home orders only in the first half of its term and, at the
// start, waits for the earlier home's last order to have ended.
func (d *Planner) allowed(now time.Duration, t Authority, checks bool) bool {
	if t.Epoch == 0 || t.Lease <= 0 {
		return false
	}
	if checks {
		return true
	}
	return t.Lease >= t.Term/2 && now-d.since >= t.Term+Timeout
}

// Allowed reports whether an order that waited for a slot may still be sent.
func (d *Planner) Allowed(now time.Duration, t Authority, o Order, checks bool) bool {
	return o.Fencing == t.Epoch && o.Fencing == d.epoch && d.allowed(now, t, checks)
}

func (d *Planner) server(name string) *server {
	if d.servers == nil {
		d.servers = map[string]*server{}
	}
	s := d.servers[name]
	if s == nil {
		s = &server{}
		d.servers[name] = s
	}
	return s
}

// Report notes what became of an order. An order that was not sent counts as failed
// without a pause.
func (d *Planner) Report(now time.Duration, o Order, sent bool, err error) {
	if o.Fencing != d.epoch {
		return
	}
	s := d.server(o.Server)
	s.flying = false
	switch {
	case !sent:
		s.next = now
	case err != nil:
		s.pause = min(max(2*s.pause, RetryFirst), RetryLast)
		s.next = now + s.pause
		s.known = false // it may have taken the order
	default:
		s.done, s.known, s.pause = o.State, true, 0
	}
}

// Converged reports whether the home has seen every server of g as declared.
func (d *Planner) Converged(g *fleet.Group) bool {
	want, ok := Declared(g.Pool)
	if !ok {
		return true
	}
	for _, s := range g.Servers {
		if x := d.servers[s.Name]; x == nil || !x.known || x.done != want {
			return false
		}
	}
	return true
}

// SlotKey is the row that spaces loads from the weight store over the whole fleet. Its
// value is the time, in Unix milliseconds, at which the next load may start.
const SlotKey = "weights/next"

// maxAhead bounds how far ahead a slot is reserved: a home that loses its group wastes
// the slots that it has reserved.
const maxAhead = 10 * time.Second

// ErrBusy says that no slot is free soon; the order is tried again later.
var ErrBusy = errors.New("order: no slot of the weight store is free within 10 s")

// Slot returns the transaction that reserves the next slot, given the row, and when
// the slot starts. perMinute is the declared rate, 1 if it is not positive. Wall clocks
// of nodes that differ shift slots by as much.
func Slot(now time.Time, r store.Row, perMinute int) (t store.Tx, start time.Time, err error) {
	start = now
	if r.Version > 0 && len(r.Value) == 8 {
		if n := time.UnixMilli(int64(binary.BigEndian.Uint64(r.Value))); n.After(now) {
			start = n
		}
	}
	if start.Sub(now) > maxAhead {
		return t, start, ErrBusy
	}
	next := start.Add(time.Minute / time.Duration(max(1, perMinute)))
	t.Conditions = []store.Condition{{Key: SlotKey, Version: r.Version}}
	t.Writes = []store.Write{{Key: SlotKey, Value: binary.BigEndian.AppendUint64(nil, uint64(next.UnixMilli()))}}
	return t, start, nil
}
