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

func newFakeFleet(seed uint64, groups int) *fakeFleet {
	w := &fakeFleet{table: newTable(), rand: rand.New(rand.NewPCG(seed, 9)),
		cut: map[[2]int]bool{}, groups: map[fleet.GroupID]string{}}
	for i := range groups {
		w.groups[fleet.GroupID{Pool: fmt.Sprint("p", i/2), Domain: fmt.Sprint("d", i%2)}] = "r"
	}
	return w
}

func (w *fakeFleet) sorted() []fleet.GroupID {
	return slices.SortedFunc(maps.Keys(w.groups), func(a, b fleet.GroupID) int {
		return cmp.Compare(a.String(), b.String())
	})
}

// holders returns the nodes that may grant permits of g now.
func (w *fakeFleet) holders(g fleet.GroupID) (l []*fakeNode, epoch uint64) {
	for _, n := range w.all() {
		if n.isDead() {
			continue
		}
		if e, remaining := n.leases.Authority(g); remaining > 0 {
			l, epoch = append(l, n), e
		}
	}
	return l, epoch
}

// groupsHeld returns the number of groups for which one node has authority.
func (w *fakeFleet) groupsHeld() (n int) {
	for g := range w.groups {
		if l, _ := w.holders(g); len(l) == 1 {
			n++
		}
	}
	return n
}

// Guards against groups that stay without a lease holder after a start, after a crash
// with proof and after a crash that shows only by the expired lease.
func TestLeasesMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFakeFleet(1, 8)
		defer w.end()
		for i := range 4 {
			w.add(fmt.Sprint("n", i), fmt.Sprint("d", i%2), "r", 1, false).run()
		}
		time.Sleep(30 * time.Second)
		check := func(what string) {
			t.Helper()
			if got := w.groupsHeld(); got != 8 {
				t.Errorf("%s: %d groups have a lease holder, want 8", what, got)
			}
		}
		check("after the start")
		for _, n := range w.all() {
			if got := len(n.leases.Held()); got != 2 {
				t.Errorf("%s holds the leases of %d groups, want 2", n.leases.Self.Instance.Node, got)
			}
			for g, r := range n.leases.Held() {
				if r.Standby == (lease.Instance{}) || !n.leases.Recorded(g) {
					t.Errorf("%v: standby %v, recorded %v, want a recorded standby", g, r.Standby, n.leases.Recorded(g))
				}
			}
		}
		w.nodes[0].crash()
		time.Sleep(500 * time.Millisecond)
		w.nodes[0].proveDead("test")
		time.Sleep(450 * time.Millisecond)
		check("1 s after a crash with proof")
		time.Sleep(10 * time.Second)
		w.nodes[1].crash()
		time.Sleep(4 * time.Second)
		check("4 s after a crash without proof")
	})
}

// Guards against groups that lose their lease holder in a table outage, because of the
// death of the standby or of the holder or a planned stop; and against takeovers that are
// not recorded after the outage.
func TestLeasesInOutage(t *testing.T) {
	withFleet(t, 6, func(t *testing.T, w *fakeFleet) {
		time.Sleep(20 * time.Second)
		check := func(what string) {
			t.Helper()
			if got := w.groupsHeld(); got != 2 {
				t.Errorf("%s: %d groups have a lease holder, want 2", what, got)
			}
		}
		w.setDown(true)
		time.Sleep(time.Minute)
		check("in the outage")
		g := w.sorted()[0]
		h, _ := w.holders(g)
		r := h[0].leases.RecordOf(g)
		d := w.byInstance(r.Standby)
		d.crash()
		for range 300 { // the VM list reports it after 30 s
			time.Sleep(100 * time.Millisecond)
			if l, _ := w.holders(g); len(l) != 1 {
				t.Fatal("the lease holder lost its authority with its standby")
			}
		}
		d.proveDead(member.ProofVM)
		time.Sleep(2 * time.Second)
		check("with the standby dead")
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		_ = h[0].leases.Stop(ctx) // fails to remove its row
		cancel()
		check("after a planned stop")
		h[0].crash()
		h[0].proveDead(member.ProofRefused)
		time.Sleep(2 * time.Second)
		h, _ = w.holders(g)
		h[0].crash()
		time.Sleep(500 * time.Millisecond)
		h[0].proveDead(member.ProofRefused)
		time.Sleep(400 * time.Millisecond)
		check("1 s after the next holder's crash")
		w.setDown(false)
		time.Sleep(10 * time.Second)
		check("after the outage")
		for _, g := range w.sorted() {
			if h, _ := w.holders(g); len(h) == 1 && !h[0].leases.Recorded(g) {
				t.Errorf("%v: the lease holder is not recorded", g)
			}
		}
	})
}

func (w *fakeFleet) byInstance(x lease.Instance) *fakeNode {
	for _, n := range w.all() {
		if n.leases.Self.Instance == x {
			return n
		}
	}
	return nil
}
