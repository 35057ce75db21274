package control

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a planned stop after which other nodes send requests to the old lease
// holder until their next read of the table.
func TestHandoverNotification(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFakeFleet(1, 8)
		defer w.end()
		for i := range 4 {
			w.add(fmt.Sprint("n", i), fmt.Sprint("d", i%2), "r", 1, false).run()
		}
		time.Sleep(30*time.Second + watchPeriod/4)
		held := w.nodes[0].leases.Held()
		if err := w.nodes[0].leases.Stop(t.Context()); err != nil || len(held) == 0 {
			t.Fatalf("stop with %d leases: %v", len(held), err)
		}
		w.nodes[0].crash()
		time.Sleep(300 * time.Millisecond)
		for g := range held {
			l, _ := w.holders(g)
			for _, n := range w.nodes[1:] {
				if got := n.leases.RecordOf(g).Holder; len(l) != 1 || got != l[0].leases.Self.Instance {
					t.Errorf("%v: %s has holder %v, %d nodes have authority", g, n.leases.Self.Instance.Node, got, len(l))
				}
			}
		}
	})
}
