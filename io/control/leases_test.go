package control

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/core/lease"
	"bergamotspring/core/member"
)

func newWorld(seed uint64, groups int) *world {
	w := &world{table: newTable(), rand: rand.New(rand.NewPCG(seed, 9)),
		cut: map[[2]int]bool{}, groups: map[fleet.GroupID]string{}}
	for i := range groups {
		w.groups[fleet.GroupID{Pool: fmt.Sprint("p", i/2), Domain: fmt.Sprint("d", i%2)}] = "r"
	}
	return w
}

func (w *world) sorted() []fleet.GroupID {
	return slices.SortedFunc(maps.Keys(w.groups), func(a, b fleet.GroupID) int {
		return cmp.Compare(a.String(), b.String())
	})
}

// holders returns the nodes that may grant permits of g now.
func (w *world) holders(g fleet.GroupID) (l []*fakeNode, epoch uint64) {
	for _, n := range w.all() {
		if n.isDead() {
			continue
		}
		if e, left := n.homes.Authority(g); left > 0 {
			l, epoch = append(l, n), e
		}
	}
	return l, epoch
}

// homed returns the number of groups with a home.
func (w *world) homed() (n int) {
	for g := range w.groups {
		if l, _ := w.holders(g); len(l) == 1 {
			n++
		}
	}
	return n
}

// Guards against groups that stay without a home after a start, a crash with proof,
// a crash seen only by the lease, and a planned stop.
func TestHomesMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 8)
		defer w.end()
		for i := range 4 {
			w.add(fmt.Sprint("n", i), fmt.Sprint("d", i%2), "r", 1, false).run()
		}
		time.Sleep(30 * time.Second)
		check := func(what string) {
			t.Helper()
			if got := w.homed(); got != 8 {
				t.Errorf("%s: %d groups have a home, want 8", what, got)
			}
		}
		check("after the start")
		for _, n := range w.all() {
			if got := len(n.homes.Held()); got != 2 {
				t.Errorf("%s is home of %d groups, want 2", n.homes.Self.Instance.Node, got)
			}
			for g, r := range n.homes.Held() {
				if r.Standby == (lease.Instance{}) || !n.homes.Recorded(g) {
					t.Errorf("%v: deputy %v, recorded %v, want a recorded deputy", g, r.Standby, n.homes.Recorded(g))
				}
			}
		}
		w.nodes[0].crash()
		time.Sleep(500 * time.Millisecond)
		w.nodes[0].bury("test")
		time.Sleep(450 * time.Millisecond)
		check("1 s after a crash with proof")
		time.Sleep(10 * time.Second)
		w.nodes[1].crash()
		time.Sleep(4 * time.Second)
		check("4 s after a crash without proof")
	})
}

// Guards against homes that end in a table outage: by the loss of their deputy, of a
// home, or by a planned stop; and against takeovers that are not recorded afterwards.
func TestHomesInOutage(t *testing.T) {
	session(t, 6, func(t *testing.T, w *world) {
		time.Sleep(20 * time.Second)
		check := func(what string) {
			t.Helper()
			if got := w.homed(); got != 2 {
				t.Errorf("%s: %d groups have a home, want 2", what, got)
			}
		}
		w.set(true)
		time.Sleep(time.Minute)
		check("in the outage")
		g := w.sorted()[0]
		h, _ := w.holders(g)
		r := h[0].homes.RecordOf(g)
		d := w.named(r.Standby)
		d.crash()
		for range 300 { // the VM list reports it after 30 s
			time.Sleep(100 * time.Millisecond)
			if l, _ := w.holders(g); len(l) != 1 {
				t.Fatal("the home lost its authority with its deputy")
			}
		}
		d.bury(member.ProofVM)
		time.Sleep(2 * time.Second)
		check("with the deputy dead")
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		_ = h[0].homes.Stop(ctx) // fails to remove its row
		cancel()
		check("after a planned stop")
		h[0].crash()
		h[0].bury(member.ProofRefused)
		time.Sleep(2 * time.Second)
		h, _ = w.holders(g)
		h[0].crash()
		time.Sleep(500 * time.Millisecond)
		h[0].bury(member.ProofRefused)
		time.Sleep(400 * time.Millisecond)
		check("1 s after the next home's crash")
		w.set(false)
		time.Sleep(10 * time.Second)
		check("after the outage")
		for _, g := range w.sorted() {
			if h, _ := w.holders(g); len(h) == 1 && !h[0].homes.Recorded(g) {
				t.Errorf("%v: the home is not recorded", g)
			}
		}
	})
}

func (w *world) named(x lease.Instance) *fakeNode {
	for _, n := range w.all() {
		if n.homes.Self.Instance == x {
			return n
		}
	}
	return nil
}
