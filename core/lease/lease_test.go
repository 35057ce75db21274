package lease

import (
	"errors"
	"testing"
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/core/store"
)

var (
	group   = fleet.GroupID{Pool: "p", Domain: "d"}
	holder  = Instance{Node: "h", Incarnation: "1"}
	standby = Instance{Node: "d", Incarnation: "1"}
	reg     = Registration{Version: 9}
)

func at(d time.Duration) Time { return Time{Fast: d, Slow: d} }

// machine returns the machine of self with a recorded holder and standby, row version 5.
func machine(self Instance) *Machine {
	m := &Machine{Self: self, Group: group}
	m.Observe(store.Row{Key: HomeKey(group), Version: 5}, Record{Group: group, Holder: holder, Standby: standby, Epoch: 3, Token: "t"})
	return m
}

// standbyObservingLease returns the machine of the standby, with the lease row observed
// at 0, so that the lease expires 3.3 s later.
func standbyObservingLease() *Machine {
	m := machine(standby)
	m.ObserveLease(at(0), holder.Node, 7, false)
	return m
}

// Guards against a takeover that succeeds although the holder renewed its lease after
// the standby's last read.
func TestTakeoverIsConditional(t *testing.T) {
	m := standbyObservingLease()
	if got := m.Next(at(3299 * time.Millisecond)); got != ActionNone {
		t.Errorf("action %v before term and margin, want none", got)
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

// Guards against a promise that is granted while a takeover may have taken effect, and
// against a takeover before a granted promise has expired.
func TestPromiseAndTakeoverExclude(t *testing.T) {
	now := at(4 * time.Second)
	m := standbyObservingLease()
	if _, ok := m.GrantPromise(now, holder, 3, false); !ok || m.Next(now) != ActionNone {
		t.Errorf("promise %v, then action %v; want a promise, then none", ok, m.Next(now))
	}
	if got := m.Next(at(now.Slow + 1650*time.Millisecond)); got != ActionTakeExpired {
		t.Errorf("action %v after the promise and its margin, want a takeover", got)
	}
	m = standbyObservingLease()
	m.Begin(now, ActionTakeExpired, Instance{}, "x", reg)
	m.OnResult(errors.New("response lost"))
	if _, ok := m.GrantPromise(now, holder, 3, false); ok {
		t.Error("promise granted while the result of a takeover was unknown")
	}
	if e, remaining := m.Authority(now); remaining > 0 {
		t.Errorf("authority under epoch %d before the takeover is read back", e)
	}
	mark := m.TxEvents()
	m.Readback(mark, store.Row{Version: 6}, Record{Group: group, Holder: standby, Epoch: 4, Token: "x"})
	if e, remaining := m.Authority(now); e != 4 || remaining <= 0 {
		t.Errorf("epoch %d, %v remaining after the row shows the token; want authority under 4", e, remaining)
	}
}

// Guards against a pending transaction that is treated as failed because of a read from
// before its last send, and then takes effect.
func TestReadbackBeforeLastSend(t *testing.T) {
	now := at(4 * time.Second)
	m := standbyObservingLease()
	m.Begin(now, ActionTakeExpired, Instance{}, "x", reg)
	m.OnResult(errors.New("response lost"))
	mark := m.TxEvents()
	m.Send()
	m.OnResult(&store.ConflictError{})
	same := Record{Group: group, Holder: holder, Standby: standby, Epoch: 3, Token: "t"}
	m.Readback(mark, store.Row{Version: 5}, same)
	if m.Pending() == nil {
		t.Error("resolved by a read from before the last send")
	}
	m.Readback(m.TxEvents(), store.Row{Version: 5}, same)
	if m.Pending() != nil {
		t.Error("not resolved by a read after the conflict")
	}
}

// Guards against authority that lasts longer than the lease counted from the send of the
// renewal, and against the death of a standby that extends authority although it is
// observed after the lease expired.
func TestLeaseCountsFromSend(t *testing.T) {
	dead := map[Instance]bool{}
	m := machine(holder)
	m.Dead = func(h Instance) bool { return dead[h] }
	m.ObserveRenewal(at(2*time.Second), at(0))
	if _, remaining := m.Authority(at(2 * time.Second)); remaining != 700*time.Millisecond {
		t.Errorf("%v remaining, want 700ms", remaining)
	}
	dead[standby] = true
	m.Tick(at(2700 * time.Millisecond))
	if _, remaining := m.Authority(at(2700 * time.Millisecond)); remaining != 0 {
		t.Errorf("%v remaining by a death observed after the lease expired, want 0", remaining)
	}
	m.ObserveRenewal(at(4*time.Second), at(3*time.Second))
	if _, remaining := m.Authority(at(time.Hour)); remaining != Forever {
		t.Errorf("%v remaining with the standby dead and the row unchanged, want Forever", remaining)
	}
}

// Guards against unsafe times after a VM was suspended or its wall clock was set.
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

// Guards against holders and standbys in the wrong failure domain, and against moves
// that never terminate.
func TestAssignment(t *testing.T) {
	var l []Candidate
	for _, n := range []string{"a", "b", "c", "e"} {
		l = append(l, Candidate{Instance: Instance{Node: n}, Domain: "d"})
	}
	l[2].Domain, l[3].Domain = "x", "x"
	first := Rank(group, l)[0]
	if first.Domain != "d" {
		t.Errorf("holder in domain %s, want d", first.Domain)
	}
	d := PickStandby(group, first.Instance, l)
	if d.Node != "c" && d.Node != "e" {
		t.Errorf("standby %s shares the failure domain of the holder", d.Node)
	}
	r := Record{Group: group, Holder: l[0].Instance, Standby: l[1].Instance}
	if b, ok := BetterStandby(r, l); !ok || b.Node != "c" && b.Node != "e" {
		t.Errorf("better standby %v, %v; want one of domain x", b, ok)
	}
	if _, ok := BetterStandby(r, l[:2]); ok {
		t.Error("a better standby without another failure domain")
	}
	mine := []fleet.GroupID{group, {Pool: "q", Domain: "d"}}
	l[0].Leases, l[1].Leases, l[2].Leases, l[3].Leases = 2, 1, 1, 1
	if _, _, ok := PickMove(l[0].Instance, mine, l); ok {
		t.Error("moved a group to a node that would then have as many")
	}
	l[1].Leases = 0
	if _, to, ok := PickMove(l[0].Instance, mine, l); !ok || to.Node != "b" {
		t.Errorf("move to %v, %v; want b", to, ok)
	}
}
