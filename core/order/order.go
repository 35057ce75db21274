// Package order decides which orders the lease holder of a group sends to its backend
// servers, and when.
//
// The lease holder brings its servers to the declared model, adapter, version and role.
// An order carries the holder's epoch as fencing token; a server that checks it refuses
// the orders of an earlier holder. To a server that does not, two holders must never
// send orders at the same time, so a holder sends them only early in its lease and its
// successor waits.
package order

import (
	"encoding/binary"
	"errors"
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/core/store"
)

// Timeout bounds one order. Loading a large model takes minutes, so a server responds
// once it has accepted the order, and its reports show the progress of the load.
const Timeout = 2 * time.Second

// RetryFirst and RetryLast bound the backoff after failed orders, which doubles from the
// first to the last.
const (
	RetryFirst = 5 * time.Second
	RetryLast  = time.Minute
)

// State is what a server runs, or should run.
type State struct {
	Model, Adapter, Version, Role string
}

// Declared returns the declared state of the servers of p, and false if none is
// declared.
func Declared(p *fleet.Pool) (State, bool) {
	s := State{Model: p.Model, Adapter: p.Adapter, Version: p.ModelVersion, Role: p.Role}
	return s, s.Model != "" || s.Role != ""
}

// loads reports whether a change from s to t reads from the weight store.
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

// Authority is what a node knows of its right to send orders.
type Authority struct {
	Epoch uint64        // 0: not the lease holder, or not recorded in the table
	Lease time.Duration // remaining term of the table lease, 0 if it is not valid
	Term  time.Duration // of the lease
}

// Planner plans the orders of one group. Times are on one monotonic time line. The zero
// value is ready to use.
type Planner struct {
	epoch      uint64
	epochStart time.Duration
	servers    map[string]*server
}

type server struct {
	current   State
	known     bool
	requested State
	notBefore time.Duration // no retry of the requested state before this time
	backoff   time.Duration
	inFlight  bool
}

// Next returns the orders that may be sent now, all at the same time. Report has to be
// called for each. running, if not nil, returns the state that a server reports.
func (d *Planner) Next(now time.Duration, t Authority, g *fleet.Group, running func(string) (State, bool)) []Order {
	d.startEpoch(now, t.Epoch)
	declared, ok := Declared(g.Pool)
	if !ok || !d.allowed(now, t, g.Pool.ChecksFencing) {
		return nil
	}
	var l []Order
	for _, s := range g.Servers {
		x := d.server(s.Name)
		if running != nil && !x.inFlight {
			if r, ok := running(s.Name); ok {
				x.current, x.known = r, true
			}
		}
		if x.inFlight || x.known && x.current == declared || x.requested == declared && now < x.notBefore {
			continue
		}
		x.inFlight, x.requested = true, declared
		l = append(l, Order{Server: s.Name, Address: s.Address, Fencing: t.Epoch, State: declared, Loads: !x.known || x.current.loads(declared)})
	}
	return l
}

// startEpoch resets the planner for a new epoch: what servers run is unknown again.
func (d *Planner) startEpoch(now time.Duration, epoch uint64) {
	if epoch == d.epoch {
		return
	}
	d.epoch, d.epochStart, d.servers = epoch, now, nil
}

// allowed reports whether this holder may send orders now. Its table lease must be
// valid. A server that does not check fencing tokens could accept an order of the
// earlier holder after one of this holder, so this holder sends orders only in the first
// half of its lease term and, at the start, waits until the earlier holder's last order
// must have ended.
func (d *Planner) allowed(now time.Duration, t Authority, checks bool) bool {
	if t.Epoch == 0 || t.Lease <= 0 {
		return false
	}
	if checks {
		return true
	}
	return t.Lease >= t.Term/2 && now-d.epochStart >= t.Term+Timeout
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

// Report records the result of an order. An order that was not sent may be retried
// without a backoff.
func (d *Planner) Report(now time.Duration, o Order, sent bool, err error) {
	if o.Fencing != d.epoch {
		return
	}
	s := d.server(o.Server)
	s.inFlight = false
	switch {
	case !sent:
		s.notBefore = now
	case err != nil:
		s.backoff = min(max(2*s.backoff, RetryFirst), RetryLast)
		s.notBefore = now + s.backoff
		s.known = false // the server may have accepted the order
	default:
		s.current, s.known, s.backoff = o.State, true, 0
	}
}

// Converged reports whether every server of g is known to be in the declared state.
func (d *Planner) Converged(g *fleet.Group) bool {
	declared, ok := Declared(g.Pool)
	if !ok {
		return true
	}
	for _, s := range g.Servers {
		if x := d.servers[s.Name]; x == nil || !x.known || x.current != declared {
			return false
		}
	}
	return true
}

// SlotKey is the row that spaces loads from the weight store over the whole fleet. Its
// value is the time, in Unix milliseconds, at which the next load may start.
const SlotKey = "weights/next"

// maxAhead bounds how far ahead a slot is reserved, because a holder that loses its
// lease wastes the slots that it has reserved.
const maxAhead = 10 * time.Second

// ErrBusy says that no slot is free within maxAhead; the order is retried later.
var ErrBusy = errors.New("order: no slot of the weight store is free within 10 s")

// Slot returns the transaction that reserves the next slot, given the row, and when
// the slot starts. perMinute is the declared rate, 1 if it is not positive. Differences
// between the wall clocks of nodes shift slots by the same amount.
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
