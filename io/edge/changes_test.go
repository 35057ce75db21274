package edge

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// missChanges keeps all nodes from the store while f changes it several times.
func (w *testFleet) missChanges(f func()) {
	for _, x := range w.nodes {
		w.store.Refuse(x.node.Settings.IP, true)
	}
	time.Sleep(100 * time.Millisecond)
	f()
	for _, x := range w.nodes {
		w.store.Refuse(x.node.Settings.IP, false)
	}
	time.Sleep(3 * time.Second)
}

// A failure domain is taken back and out again before any node reads the store: it gets nothing, the others serve, and
// it does again once it is taken back.
func TestTakenBackAndOutAgain(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		w.store.Put("op", "evacuate/b", map[string]any{})
		time.Sleep(2 * time.Second)
		w.missChanges(func() {
			w.store.Remove("op", "evacuate/b")
			w.store.Put("op", "evacuate/b", map[string]any{})
		})
		s := w.servers["plain-b"]
		send := func(what string) {
			for i, node := range []string{"a1", "a2", "b1", "c1"} {
				w.wantOK(w.request(node, http.MethodGet, "/read/x", fmt.Sprint(what, i)), "%s at %s", what, node)
			}
		}
		send("out")
		if n := len(s.Runs()); n > 0 {
			t.Errorf("the failure domain got %d requests, want none", n)
		}
		w.missChanges(func() {
			w.store.Put("op", "evacuate/b", map[string]any{"again": true})
			w.store.Remove("op", "evacuate/b")
		})
		send("back")
		if len(s.Runs()) == 0 {
			t.Error("the failure domain got no request after it was taken back")
		}
	})
}

// The rows of a server and of a node are removed and written again before any node reads the store: all know them.
func TestRowsWrittenAgain(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		s, c := w.servers["plain-b"], w.nodes["c1"].node
		row := w.nodes["a1"].node.tableCache.nodes.copy.Rows()[c.Settings.Peer]
		w.missChanges(func() {
			w.store.Remove("servers", s.ID)
			w.register(s, "plain", "b", "ready", 0)
			w.store.Remove("nodes", c.Settings.Peer)
			w.store.PutBytes("nodes", c.Settings.Peer, row.Value)
		})
		for name, x := range w.nodes {
			if len(x.node.cache.View().Servers["plain"]) != 3 {
				t.Errorf("%s does not know all plain servers", name)
			}
			if n := len(x.node.roster.All()); n != 4 {
				t.Errorf("%s knows %d nodes, want 4", name, n)
			}
		}
	})
}
