package order

import (
	"errors"
	"testing"
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/core/store"
)

func group(checks bool) *fleet.Group {
	return &fleet.Group{Pool: &fleet.Pool{Model: "m", ChecksFencing: checks},
		Servers: []*fleet.BackendServer{{Name: "s", Address: "a"}}}
}

// Guards against orders of two holders that arrive in the wrong order at a server that
// does not check fencing tokens, and against orders without a valid table lease.
func TestOrderAuthority(t *testing.T) {
	s := time.Second
	full := Authority{Epoch: 2, Lease: 2700 * time.Millisecond, Term: 3 * s}
	tests := []struct {
		name      string
		checks    bool
		at        time.Duration
		authority Authority
		want      int
	}{
		{"checked, at once", true, 0, full, 1},
		{"checked, late in the term", true, 0, Authority{Epoch: 2, Lease: s, Term: 3 * s}, 1},
		{"checked, no lease", true, 0, Authority{Epoch: 2, Term: 3 * s}, 0},
		{"not the lease holder", true, 0, Authority{}, 0},
		{"unchecked, new holder", false, 4 * s, full, 0},
		{"unchecked, after term and timeout", false, 5 * s, full, 1},
		{"unchecked, second half", false, 9 * s, Authority{Epoch: 2, Lease: 1400 * time.Millisecond, Term: 3 * s}, 0},
	}
	for _, c := range tests {
		var d Planner
		d.Next(0, Authority{Epoch: 2}, group(c.checks), nil) // the lease was gained at 0
		if got := len(d.Next(c.at, c.authority, group(c.checks), nil)); got != c.want {
			t.Errorf("%s: %d orders, want %d", c.name, got, c.want)
		}
	}
}

// Guards against an order that is retried without need, or without a backoff after a
// failure, or that is not sent under a new epoch or declaration.
func TestPlanner(t *testing.T) {
	var d Planner
	g := group(true)
	n := Authority{Epoch: 2, Lease: time.Second, Term: 3 * time.Second}
	next := func(at time.Duration) []Order { return d.Next(at, n, g, nil) }
	l := next(0)
	if len(l) != 1 || l[0].Fencing != 2 || !l[0].Loads || len(next(0)) != 0 {
		t.Fatalf("first orders %+v, want one with fencing 2, once", l)
	}
	d.Report(0, l[0], true, errors.New("refused"))
	if got := len(next(4 * time.Second)); got != 0 {
		t.Errorf("%d orders 4 s after a failure, want 0", got)
	}
	l = next(5 * time.Second)
	d.Report(5*time.Second, l[0], true, nil)
	if got := len(next(time.Hour)); got != 0 || !d.Converged(g) {
		t.Errorf("%d orders after success, converged %v", got, d.Converged(g))
	}
	g.Pool.Role = "decode"
	if l = next(time.Hour); len(l) != 1 || l[0].Loads {
		t.Errorf("after a change of role: %+v, want one order without a load", l)
	}
	n.Epoch = 3
	if l = next(time.Hour); len(l) != 1 || l[0].Fencing != 3 {
		t.Errorf("under a new epoch: %+v, want one order with fencing 3", l)
	}
	if d.Allowed(time.Hour, Authority{Epoch: 4, Lease: time.Second}, l[0], true) {
		t.Error("an order of an earlier epoch may still be sent")
	}
}

// Guards against loads faster than the weight store's rate.
func TestSlot(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	var r store.Row
	var starts []time.Duration
	for range 4 {
		x, at, err := Slot(now, r, 20)
		if err != nil {
			t.Fatal(err)
		}
		starts = append(starts, at.Sub(now))
		r = store.Row{Key: SlotKey, Version: r.Version + 1, Value: x.Writes[0].Value}
	}
	for i, got := range starts {
		if want := time.Duration(i) * 3 * time.Second; got != want {
			t.Errorf("slot %d starts after %v, want %v", i, got, want)
		}
	}
	if _, _, err := Slot(now, r, 20); !errors.Is(err, ErrBusy) {
		t.Errorf("slot 12 s ahead: %v, want ErrBusy", err)
	}
}
