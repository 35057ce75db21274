package control

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a planned stop after which other nodes ask the old home until their
// next read of the table.
func TestHandoverNotification(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 8)
		defer w.end()
		for i := range 4 {
			w.add(fmt.Sprint("n", i), fmt.Sprint("d", i%2), "r", 1, false).run()
		}
		time.Sleep(30*time.Second + watchPeriod/4)
		mine := w.nodes[0].homes.Held()
		if err := w.nodes[0].homes.Stop(t.Context()); err != nil || len(mine) == 0 {
			t.Fatalf("stop with %d homes: %v", len(mine), err)
		}
		w.nodes[0].crash()
		time.Sleep(300 * time.Millisecond)
		for g := range mine {
			l, _ := w.holders(g)
			for _, n := range w.nodes[1:] {
				if got := n.homes.RecordOf(g).Holder; len(l) != 1 || got != l[0].homes.Self.Instance {
					t.Errorf("%v: %s believes in home %v, %d nodes are home", g, n.homes.Self.Instance.Node, got, len(l))
				}
			}
		}
	})
}
