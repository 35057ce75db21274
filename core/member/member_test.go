package member

import (
	"errors"
	"reflect"
	"testing"
	"time"

	"bergamotspring/core/lease"
	"bergamotspring/core/store"
)

func row(key string, version uint64, value []byte) store.Row {
	return store.Row{Key: key, Version: version, Value: value}
}

func node(id, incarnation, peer string) Node {
	return Node{Instance: lease.Instance{Node: id, Incarnation: incarnation}, VM: "vm-" + id, Region: "r", Peer: peer}
}

// Guards against a node that counts as dead without proof, or as alive with one.
func TestProofs(t *testing.T) {
	a, b := node("a", "1", "a:1"), node("b", "1", "b:1")
	ms := time.Millisecond
	tests := []struct {
		name string
		do   func(*Membership)
		want Proof
	}{
		{"none", func(*Membership) {}, ""},
		{"two refusals", func(x *Membership) { x.ObserveRefusal(a.Instance, 0); x.ObserveRefusal(a.Instance, 150*ms) }, ""},
		{"three refusals too close", func(x *Membership) {
			x.ObserveRefusal(a.Instance, 0)
			x.ObserveRefusal(a.Instance, 100*ms)
			x.ObserveRefusal(a.Instance, 200*ms)
		}, ""},
		{"three refusals", func(x *Membership) {
			x.ObserveRefusal(a.Instance, 0)
			x.ObserveRefusal(a.Instance, 150*ms)
			x.ObserveRefusal(a.Instance, 300*ms)
		}, ProofRefused},
		{"connection in between", func(x *Membership) {
			x.ObserveRefusal(a.Instance, 0)
			x.ObserveRefusal(a.Instance, 150*ms)
			x.ObserveConnection(a.Instance)
			x.ObserveRefusal(a.Instance, 300*ms)
		}, ""},
		{"VM leaving", func(x *Membership) { x.SetVMs(map[string]VMState{"vm-a": VMLeaving}) }, ""},
		{"VM gone", func(x *Membership) { x.SetVMs(map[string]VMState{"vm-a": VMGone}) }, ProofVM},
		{"row of a new incarnation", func(x *Membership) {
			x.Apply([]store.Row{row("node/a", 5, EncodeNode(node("a", "2", "a:1")))}, 5)
		}, ProofIncarnation},
		{"hello of another", func(x *Membership) { x.ObserveInstance("a:1", b.Instance) }, ProofIncarnation},
		{"hello of its own", func(x *Membership) { x.ObserveInstance("a:1", a.Instance) }, ""},
		{"row removed", func(x *Membership) { x.Apply([]store.Row{row("node/a", 0, nil)}, 6) }, ProofLeft},
		{"older row", func(x *Membership) {
			x.Apply([]store.Row{row("node/a", 1, EncodeNode(node("a", "0", "a:1")))}, 6)
		}, ""},
	}
	for _, c := range tests {
		x := &Membership{}
		x.Apply([]store.Row{row("node/a", 2, EncodeNode(a)), row("node/b", 3, EncodeNode(b))}, 3)
		c.do(x)
		if got := x.ProofOf(a.Instance); got != c.want {
			t.Errorf("%s: proof %q, want %q", c.name, got, c.want)
		}
	}
}

// Guards against an instance that is named by a row home/<group> and counts as dead
// because its own row has not been read yet.
func TestHolderObservedBeforeNodeRow(t *testing.T) {
	x := &Membership{}
	x.Apply(nil, 4)
	h := lease.Instance{Node: "z", Incarnation: "1"}
	x.ObserveHolder(h, 9)
	x.Apply(nil, 8)
	if x.Dead(h) {
		t.Error("dead by a read that is older than the row that names it")
	}
	x.Apply(nil, 9)
	if got := x.ProofOf(h); got != ProofLeft {
		t.Errorf("proof %q, want %q", got, ProofLeft)
	}
}

// Guards against a version that decreases, and against a configuration state that does
// not follow from the last confirmation.
func TestConfig(t *testing.T) {
	s := time.Second
	c := Config{}
	c.Start(0)
	steps := []struct {
		at        time.Duration
		version   uint64
		from      Source
		install   bool
		regressed bool
		state     ConfigState
	}{
		{1 * s, 3, FromTable, true, false, Confirmed},
		{2 * s, 2, FromTable, false, true, Confirmed},
		{8 * s, 2, FromTable, false, true, Unconfirmed},
		{8 * s, 3, FromConfirmedPeer, false, true, Confirmed},
		{14 * s, 3, FromPeer, false, true, Unconfirmed},
		{68 * s, 4, FromPeer, true, true, Isolated},
		{69 * s, 1, FromConfirmedPeer, false, true, Isolated},
		{70 * s, 4, FromTable, false, false, Confirmed},
	}
	for i, x := range steps {
		if got := c.Offer(x.at, x.version, x.from); got != x.install {
			t.Errorf("step %d: install %v, want %v", i, got, x.install)
		}
		c.Installed(x.version)
		if got := c.State(x.at); got != x.state || c.Regressed != x.regressed {
			t.Errorf("step %d: %v, regressed %v; want %v, %v", i, got, c.Regressed, x.state, x.regressed)
		}
	}
	if c.Version != 4 {
		t.Errorf("version %d, want 4", c.Version)
	}
}

// Guards against a start with a version that may be out of date.
func TestStart(t *testing.T) {
	tests := []struct {
		name string
		do   func(*Start)
		want string
	}{
		{"no response", func(*Start) {}, ""},
		{"one of two, not confirmed", func(s *Start) { s.OnResponse("a", 7, false) }, ""},
		{"one confirmed", func(s *Start) { s.OnResponse("a", 9, false); s.OnResponse("b", 7, true) }, "b"},
		{"all responded", func(s *Start) { s.OnResponse("a", 7, false); s.OnResponse("b", 8, false) }, "b"},
		{"one dead", func(s *Start) { s.OnResponse("a", 7, false); s.Dead("b") }, "a"},
		{"none has a version", func(s *Start) { s.OnResponse("a", 0, false); s.Dead("b") }, ""},
	}
	for _, c := range tests {
		s := Start{Peers: []string{"a", "b"}}
		c.do(&s)
		if p, _, ok := s.Choose(); ok != (c.want != "") || ok && p != c.want {
			t.Errorf("%s: %q, %v; want %q", c.name, p, ok, c.want)
		}
	}
}

// Guards against an apply that takes effect twice, silently overwrites another, or is
// made on a regressed table.
func TestApplyPlan(t *testing.T) {
	head := row(HeadKey, 40, EncodeHead(Head{Version: 4, ApplyID: "x", Author: "eve", Payload: []byte("p")}))
	a := Apply{ID: "y", Author: "ann", Base: 4, Payload: []byte("q")}
	tx, v, done, err := a.Plan([]store.Row{head}, 4)
	if err != nil || done || v != 5 {
		t.Fatalf("plan: %d, %v, %v; want 5", v, done, err)
	}
	want := []store.Condition{{Key: HeadKey, Version: 40}, {Key: "config/apply/y"}, {Key: "config/history/5"}}
	if !reflect.DeepEqual(tx.Conditions, want) {
		t.Errorf("conditions %v, want %v", tx.Conditions, want)
	}
	h, err := DecodeHead(tx.Writes[0].Value)
	if err != nil || h.Version != 5 || h.ApplyID != "y" || h.Author != "ann" || string(h.Payload) != "q" {
		t.Errorf("head %+v, %v", h, err)
	}
	if _, v, done, _ = a.Plan([]store.Row{head, row("config/apply/y", 30, []byte("3"))}, 4); !done || v != 3 {
		t.Errorf("retry: %d, %v; want 3, done", v, done)
	}
	var c *ConflictError
	if _, _, _, err = (Apply{ID: "z", Base: 3}).Plan([]store.Row{head}, 4); !errors.As(err, &c) || c.Version != 4 || c.Author != "eve" {
		t.Errorf("conflicting apply: %v, want a conflict with version 4 by eve", err)
	}
	var r *RegressedError
	if _, _, _, err = a.Plan([]store.Row{head}, 6); !errors.As(err, &r) {
		t.Errorf("regressed table: %v, want *RegressedError", err)
	}
	var i *InvalidApplyError
	if _, _, _, err = (Apply{}).Plan(nil, 0); !errors.As(err, &i) {
		t.Errorf("no id: %v, want *InvalidApplyError", err)
	}
}

// Guards against a panic on a damaged head.
func FuzzDecodeHead(f *testing.F) {
	f.Add(EncodeHead(Head{Version: 4, ApplyID: "x", Author: "eve", Payload: []byte("p")}))
	f.Add([]byte("bsh\x01\x01\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01"))
	f.Fuzz(func(t *testing.T, b []byte) {
		h, err := DecodeHead(b)
		if err != nil {
			return
		}
		if g, err := DecodeHead(EncodeHead(h)); err != nil || !reflect.DeepEqual(g, h) {
			t.Errorf("%+v after a round trip, want %+v (%v)", g, h, err)
		}
	})
}

// Guards against updates that are gossiped without end, and against an older update
// that replaces a newer one.
func TestUpdates(t *testing.T) {
	var s Updates
	n := SuspectUpdate{Fingerprint: 1, State: Poison, Stamp: 10}
	if !s.AddSuspect(0, n) || s.AddSuspect(time.Hour, n) {
		t.Error("an update must be new exactly once")
	}
	if s.AddSuspect(0, SuspectUpdate{Fingerprint: 1, State: Suspected, Stamp: 9}) {
		t.Error("an older update replaced a newer one")
	}
	var d Digest
	s.Fill(time.Second, &d)
	if len(d.Suspects) != 1 {
		t.Errorf("%d updates in the digest, want 1", len(d.Suspects))
	}
	d = Digest{}
	s.Fill(gossipDuration, &d)
	if len(d.Suspects) != 0 {
		t.Errorf("%d updates after %v, want 0", len(d.Suspects), gossipDuration)
	}
	for i := range uint64(maxSuspects + 10) {
		s.AddSuspect(time.Duration(i), SuspectUpdate{Fingerprint: i + 2, Stamp: 1})
	}
	if len(s.suspects) > maxSuspects {
		t.Errorf("%d updates kept, want at most %d", len(s.suspects), maxSuspects)
	}
}
