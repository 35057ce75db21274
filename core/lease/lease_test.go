package lease

import (
	"errors"
	"testing"
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/core/store"
)

var (
	group  = fleet.GroupID{Pool: "p", Domain: "d"}
	home   = Instance{Node: "h", Incarnation: "1"}
	deputy = Instance{Node: "d", Incarnation: "1"}
	reg    = Registration{Version: 9}
)

func at(d time.Duration) Time { return Time{Fast: d, Slow: d} }

// machine returns the machine of self with a recorded home and deputy, row version 5.
func machine(self Instance) *Machine {
	m := &Machine{Self: self, Group: group}
	m.Observe(store.Row{Key: HomeKey(group), Version: 5}, Record{Group: group, Holder: home, Standby: deputy, Epoch: 3, Token: "t"})
	return m
}

// lapsed returns the deputy's machine when it may take over by lease.
func lapsed() *Machine {
	m := machine(deputy)
	m.ObserveLease(at(0), home.Node, 7, false)
	return m
}

// Guards against a takeover that a renewal since the last read does not stop.
func TestTakeoverIsConditional(t *testing.T) {
	m := lapsed()
	if got := m.Next(at(3299 * time.Millisecond)); got != ActionNone {
		t.Errorf("want %v before term and margin, want nothing", got)
	}
	a := m.Begin(at(3300*time.Millisecond), ActionTakeExpired, Instance{}, "x", reg)
	if a == nil {
		t.Fatal("no takeover after term and margin")
	}
	got := map[string]uint64{}
	for _, c := range a.Tx.Conditions {
		got[c.Key] = c.Version
	}
	if got["home/p@d"] != 5 || got["lease/h"] != 7 || got["node/d"] != 9 || a.Record.Epoch != 4 {
		t.Errorf("conditions %v, epoch %d; want home row, lease row and own row, epoch 4", got, a.Record.Epoch)
	}
}

// Guards against a promise that is given while a takeover may have taken effect, and
// against a takeover while a promise runs.
func TestPromiseAndTakeoverExclude(t *testing.T) {
	now := at(4 * time.Second)
	m := lapsed()
	if _, ok := m.GrantPromise(now, home, 3, false); !ok || m.Next(now) != ActionNone {
		t.Errorf("promise %v, then want %v; want a promise, then nothing", ok, m.Next(now))
	}
	if got := m.Next(at(now.Slow + 1650*time.Millisecond)); got != ActionTakeExpired {
		t.Errorf("want %v after the promise and its margin, want a takeover", got)
	}
	m = lapsed()
	m.Begin(now, ActionTakeExpired, Instance{}, "x", reg)
	m.Done(errors.New("answer lost"))
	if _, ok := m.GrantPromise(now, home, 3, false); ok {
		t.Error("promised while a takeover was open")
	}
	if e, left := m.Authority(now); left > 0 {
		t.Errorf("authority under epoch %d before the takeover is read back", e)
	}
	mark := m.Answers()
	m.Readback(mark, store.Row{Version: 6}, Record{Group: group, Holder: deputy, Epoch: 4, Token: "x"})
	if e, left := m.Authority(now); e != 4 || left <= 0 {
		t.Errorf("epoch %d, %v left after the row shows the token; want authority under 4", e, left)
	}
}

// Guards against an open transaction that is taken for failed by a read from before
// its last sending, and then takes effect.
func TestReadbackFromBefore(t *testing.T) {
	now := at(4 * time.Second)
	m := lapsed()
	m.Begin(now, ActionTakeExpired, Instance{}, "x", reg)
	m.Done(errors.New("answer lost"))
	mark := m.Answers()
	m.Send()
	m.Done(&store.ConflictError{})
	same := Record{Group: group, Holder: home, Standby: deputy, Epoch: 3, Token: "t"}
	m.Readback(mark, store.Row{Version: 5}, same)
	if m.Pending() == nil {
		t.Error("settled by an old read")
	}
	m.Readback(m.Answers(), store.Row{Version: 5}, same)
	if m.Pending() != nil {
		t.Error("not settled by a read after the conflict")
	}
}

// Guards against authority that lasts longer than the lease as counted from before the
// renewal was sent, and against a death that counts although the lease had lapsed.
func TestRenewalCountsFromSending(t *testing.T) {
	dead := map[Instance]bool{}
	m := machine(home)
	m.Dead = func(h Instance) bool { return dead[h] }
	m.Renewed(at(2*time.Second), at(0))
	if _, left := m.Authority(at(2 * time.Second)); left != 700*time.Millisecond {
		t.Errorf("%v left, want 700ms", left)
	}
	dead[deputy] = true
	m.Tick(at(2700 * time.Millisecond))
	if _, left := m.Authority(at(2700 * time.Millisecond)); left != 0 {
		t.Errorf("%v left by a death learnt after the lapse, want 0", left)
	}
	m.Renewed(at(4*time.Second), at(3*time.Second))
	if _, left := m.Authority(at(time.Hour)); left != Forever {
		t.Errorf("%v left with the deputy dead and the row unchanged, want no end", left)
	}
}

// Guards against a clock that is fooled by suspension or by setting the wall clock.
func TestClock(t *testing.T) {
	s := time.Second
	tests := []struct {
		name string
		r    Reading
		want Time
	}{
		{"all alike", Reading{s, s, s}, Time{s, s}},
		{"suspended", Reading{0, 9 * s, 9 * s}, Time{9 * s, 0}},
		{"wall clock set forward", Reading{s, 9 * s, s}, Time{9 * s, s}},
		{"wall clock set back", Reading{s, -9 * s, s}, Time{s, 0}},
	}
	for _, c := range tests {
		var k Clock
		k.Advance(Reading{})
		if got := k.Advance(c.r); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against homes and deputies in the wrong failure domain and against moves that
// never end.
func TestAssignment(t *testing.T) {
	var l []Candidate
	for _, n := range []string{"a", "b", "c", "e"} {
		l = append(l, Candidate{Instance: Instance{Node: n}, Domain: "d"})
	}
	l[2].Domain, l[3].Domain = "x", "x"
	first := Rank(group, l)[0]
	if first.Domain != "d" {
		t.Errorf("home in domain %s, want d", first.Domain)
	}
	d := PickStandby(group, first.Instance, l)
	if d.Node != "c" && d.Node != "e" {
		t.Errorf("deputy %s shares the home's failure domain", d.Node)
	}
	r := Record{Group: group, Holder: l[0].Instance, Standby: l[1].Instance}
	if b, ok := BetterStandby(r, l); !ok || b.Node != "c" && b.Node != "e" {
		t.Errorf("better deputy %v, %v; want one of domain x", b, ok)
	}
	if _, ok := BetterStandby(r, l[:2]); ok {
		t.Error("a better deputy without another failure domain")
	}
	mine := []fleet.GroupID{group, {Pool: "q", Domain: "d"}}
	l[0].Leases, l[1].Leases, l[2].Leases, l[3].Leases = 2, 1, 1, 1
	if _, _, ok := Move(l[0].Instance, mine, l); ok {
		t.Error("moved a group to a node that would then have as many")
	}
	l[1].Leases = 0
	if _, to, ok := Move(l[0].Instance, mine, l); !ok || to.Node != "b" {
		t.Errorf("move to %v, %v; want b", to, ok)
	}
}
