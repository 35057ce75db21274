package control

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/core/member"
	"bergamotspring/core/order"
	"bergamotspring/core/store"
)

// withFleet runs f with n nodes in two failure domains that have started.
func withFleet(t *testing.T, n int, f func(t *testing.T, w *fakeFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newFakeFleet(1, 2)
		defer w.end()
		for i := range n {
			w.add(fmt.Sprint("n", i), fmt.Sprint("d", i%2), "r", 1, false).run()
		}
		time.Sleep(5 * time.Second)
		f(t, w)
	})
}

func (w *fakeFleet) apply(t *testing.T, id string, base uint64) {
	t.Helper()
	v, _, err := w.nodes[0].watch.Apply(context.Background(), member.Apply{ID: id, Base: base, Payload: []byte(id)})
	if err != nil || v != base+1 {
		t.Errorf("apply %s: version %d, %v; want %d", id, v, err, base+1)
	}
}

func (n *fakeNode) setCutOff(table bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutOff = table
}

func (w *fakeFleet) setDown(down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = down
}

// Guards against a configuration that arrives late at a node that reaches the table, or
// at one that reaches only peers that do.
func TestVersionReachesAll(t *testing.T) {
	withFleet(t, 12, func(t *testing.T, w *fakeFleet) {
		w.nodes[5].setCutOff(true)
		w.apply(t, "a", 0)
		time.Sleep(5 * time.Second)
		for _, n := range w.all() {
			if s := n.watch.State(); s.Version != 1 || s.Config != member.Confirmed {
				t.Errorf("%s runs version %d, %v; want 1, confirmed", n.leases.Self.Instance.Node, s.Version, s.Config)
			}
		}
	})
}

// Guards against a version that falls or is replaced when the table returns an older
// state, and against an apply on such a table.
func TestTableAnswersOlder(t *testing.T) {
	withFleet(t, 3, func(t *testing.T, w *fakeFleet) {
		w.apply(t, "a", 0)
		old, _ := w.table.read(store.Query{Prefixes: []string{""}})
		w.apply(t, "b", 1)
		time.Sleep(3 * time.Second)
		w.table.mu.Lock()
		w.table.staleRead = func(store.Query) (store.Result, bool) { return old, true }
		w.table.mu.Unlock()
		time.Sleep(20 * time.Second)
		for _, n := range w.all() {
			if s := n.watch.State(); s.Version != 2 || !s.Regressed || s.Config != member.Unconfirmed {
				t.Errorf("state %+v, want version 2, regressed, unconfirmed", s)
			}
		}
		var r *member.RegressedError
		if _, _, err := w.nodes[0].watch.Apply(context.Background(), member.Apply{ID: "c", Base: 1}); !errors.As(err, &r) {
			t.Errorf("apply on a regressed table: %v, want *RegressedError", err)
		}
		w.table.mu.Lock()
		w.table.staleRead = nil
		w.table.mu.Unlock()
		time.Sleep(8 * time.Second)
		w.apply(t, "c", 2)
		if s := w.nodes[0].watch.State(); s.Regressed || s.Version != 3 {
			t.Errorf("state %+v after the table caught up, want version 3", s)
		}
	})
}

// Guards against two applies that both take effect from one version, and against one
// that takes effect twice because the table's response was lost.
func TestRacingApplies(t *testing.T) {
	withFleet(t, 6, func(t *testing.T, w *fakeFleet) {
		w.mu.Lock()
		w.lostResponses, w.maxDelay = 0.4, int64(20*time.Millisecond)
		w.mu.Unlock()
		var g sync.WaitGroup
		var mu sync.Mutex
		versions := map[uint64]string{}
		for i := range 6 {
			g.Go(func() {
				id := fmt.Sprint("id", i)
				for range 20 {
					v, _, err := w.nodes[i].watch.Apply(context.Background(), member.Apply{ID: id, Base: 0, Payload: []byte(id)})
					if err == nil {
						mu.Lock()
						if o := versions[v]; o != "" && o != id {
							t.Errorf("version %d is of %s and of %s", v, o, id)
						}
						versions[v] = id
						mu.Unlock()
					}
				}
			})
		}
		g.Wait()
		if len(versions) != 1 || versions[1] == "" {
			t.Errorf("versions %v, want version 1 of one apply", versions)
		}
	})
}

// Guards against an isolated node that counts as confirmed, and against one that stays
// isolated after its links are restored.
func TestIsolatedNode(t *testing.T) {
	withFleet(t, 4, func(t *testing.T, w *fakeFleet) {
		w.apply(t, "a", 0)
		time.Sleep(3 * time.Second)
		n := w.nodes[3]
		n.setCutOff(true)
		cut := func(v bool) {
			w.mu.Lock()
			defer w.mu.Unlock()
			for i := range 3 {
				w.cut[[2]int{i, 3}] = v
			}
		}
		cut(true)
		for _, c := range []struct {
			after time.Duration
			want  member.ConfigState
		}{{3 * time.Second, member.Confirmed}, {5 * time.Second, member.Unconfirmed}, {57 * time.Second, member.Isolated}, {10 * time.Minute, member.Isolated}} {
			time.Sleep(c.after)
			if got := n.watch.State(); got.Config != c.want || got.Version != 1 {
				t.Errorf("%v after the last step: %v, version %d; want %v, version 1", c.after, got.Config, got.Version, c.want)
			}
		}
		cut(false)
		time.Sleep(15 * time.Second)
		if got := n.watch.State().Config; got != member.Confirmed {
			t.Errorf("%v with peers connected again, want confirmed", got)
		}
	})
}

// Guards against a node that starts with a version that may be outdated, or not at all,
// while the table is down.
func TestStartWithoutTable(t *testing.T) {
	withFleet(t, 3, func(t *testing.T, w *fakeFleet) {
		w.apply(t, "a", 0)
		time.Sleep(3 * time.Second)
		w.setDown(true)
		time.Sleep(20 * time.Second) // no peer is confirmed any more
		w.mu.Lock()
		w.cut[[2]int{1, 3}] = true
		w.mu.Unlock()
		n := w.add("n3", "d0", "r", 1, false)
		n.watch.StartPeers = []string{"n0:1", "n1:1", "n2:1"}
		n.run()
		time.Sleep(20 * time.Second)
		if n.watch.Ready() {
			t.Error("ready although a listed node was silent")
		}
		w.nodes[1].crash()
		time.Sleep(20 * time.Second)
		if !n.watch.Ready() {
			t.Error("not ready although every listed node responded or is dead")
		}
	})
}

// Guards against nodes that all read the table at once after an outage: the table serves
// 2,000 reads/s, which is 200 in 100 ms.
func TestNoStampede(t *testing.T) {
	withFleet(t, 0, func(t *testing.T, w *fakeFleet) {
		for i := range 320 {
			n := w.add(fmt.Sprint("n", i), "d0", "r", 1, false)
			ctx, cancel := context.WithCancel(context.Background())
			n.cancel = cancel
			n.goroutines.Go(func() { _ = n.watch.Run(ctx) })
		}
		time.Sleep(5 * time.Second)
		w.setDown(true)
		time.Sleep(time.Minute)
		w.setDown(false)
		most, last := 0, w.table.count()
		for range 80 {
			time.Sleep(100 * time.Millisecond)
			n := w.table.count()
			most, last = max(most, n-last), n
		}
		if most > 200 {
			t.Errorf("%d reads in 100 ms after an outage, want at most 200", most)
		}
	})
}

func (m *memTable) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reads
}

// Guards against orders without the table, with a fencing number that does not rise, or
// by a new lease holder while an order of the old one may be in flight.
func TestOrdersFollowLease(t *testing.T) {
	withFleet(t, 3, func(t *testing.T, w *fakeFleet) {
		var mu sync.Mutex
		var sent []order.Order
		var at []time.Time
		model := "m"
		view := func() *fleet.View {
			mu.Lock()
			defer mu.Unlock()
			return fleet.NewView(&fleet.Declaration{Defaults: fleet.Defaults{WeightsPerMin: 60},
				Pools:   []fleet.Pool{{Name: "p0", Model: model}},
				Domains: []fleet.FailureDomain{{Name: "d0", Region: "r"}},
				Servers: []fleet.BackendServer{{Name: "s", Pool: "p0", Domain: "d0"}}}, 1)
		}
		got := func() ([]order.Order, []time.Time) {
			mu.Lock()
			defer mu.Unlock()
			return slices.Clone(sent), slices.Clone(at)
		}
		for _, n := range w.all() {
			o := &Reconciler{Table: n.store(), Leases: n.leases, View: view,
				Send: func(_ context.Context, x order.Order) error {
					mu.Lock()
					defer mu.Unlock()
					sent, at = append(sent, x), append(at, time.Now())
					return nil
				}}
			ctx, cancel := context.WithCancel(context.Background())
			stop := n.cancel
			n.cancel = func() { cancel(); stop() }
			n.goroutines.Go(func() { _ = o.Run(ctx) })
		}
		time.Sleep(20 * time.Second)
		if l, _ := got(); len(l) != 1 {
			t.Fatalf("%d orders, want 1", len(l))
		}
		h, epoch := w.holders(fleet.GroupID{Pool: "p0", Domain: "d0"})
		h[0].crash()
		died := time.Now()
		time.Sleep(20 * time.Second)
		l, when := got()
		if len(l) != 2 || l[0].Fencing != epoch || l[1].Fencing <= epoch || when[1].Sub(died) < 5*time.Second {
			t.Fatalf("orders %+v at %v, want a second one under a later epoch, 5 s after the crash or later", l, when)
		}
		w.setDown(true)
		time.Sleep(10 * time.Second)
		mu.Lock()
		model = "m2"
		mu.Unlock()
		time.Sleep(20 * time.Second)
		if l, _ := got(); len(l) != 2 {
			t.Errorf("%d orders while the table was down, want none", len(l)-2)
		}
	})
}
