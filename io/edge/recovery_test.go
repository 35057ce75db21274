package edge

// This file tests the loss of all nodes, reused server addresses, and callers that disconnect.

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bergamotspring/core/roster"
	"bergamotspring/io/peer"
	"bergamotspring/io/standin"
	platformstandin "bergamotspring/platform/standin"
)

// recoveryBound is the platform's bound on the time until a fleet serves again after all of its
// processes have ended.
const recoveryBound = 12 * time.Second

// All nodes of a large fleet start at the same time, and the store needs more than a second for their
// registrations: none waits for its own before it serves.
func TestStartOfManyNodes(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		for i := range 26 {
			w.start(fmt.Sprint("a", 3+i), fmt.Sprint("10.0.0.", 5+i))
		}
		time.Sleep(2 * time.Second)
		for name := range w.nodes {
			w.kill(name)
		}
		time.Sleep(500 * time.Millisecond)
		w.store.TransactionTime = 40 * time.Millisecond
		for _, name := range slices.Collect(maps.Keys(w.nodes)) {
			w.restart(name)
		}
		time.Sleep(500 * time.Millisecond)
		synctest.Wait()
		for name, n := range w.nodes {
			if n.node.cache.View().Config == nil {
				t.Errorf("%s has no configuration 0.5 s after its start", name)
			}
		}
		time.Sleep(4 * time.Second)
		synctest.Wait()
		for name, n := range w.nodes {
			if !n.node.registered() {
				t.Errorf("%s is not registered 4.5 s after its start", name)
			}
		}
	})
}

// All nodes crash at once right after a configuration change, and one of them does not return:
// the others serve again within the bound, with the newest configuration, and run no unsafe
// request a second time.
func TestAllNodesCrash(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		// a2 does not return, but its row remains and is older than those of the restarted nodes,
		// so in its region it is first in the order of coordinators.
		names := []string{"a1", "a2", "b1", "c1"}
		for _, d := range []string{"a", "b", "c"} {
			w.servers["plain-"+d].ServiceTime = 400 * time.Millisecond
		}
		var g sync.WaitGroup
		for _, n := range names {
			g.Go(func() { w.request(n, http.MethodPost, "/file/x", "cut"+n) })
			g.Go(func() { w.stream(n, "/once/x", "once"+n) })
		}
		time.Sleep(100 * time.Millisecond)
		w.configure(2, func(c map[string]any) {
			c["tenants"] = []any{map[string]any{"name": "org", "api-keys": []string{"new"}}}
		})
		for _, n := range names {
			w.kill(n)
		}
		g.Wait()
		time.Sleep(500 * time.Millisecond)
		names = []string{"a1", "b1", "c1"}
		for _, n := range names {
			w.restart(n)
		}
		time.Sleep(recoveryBound / 4)
		for _, n := range names {
			w.wantOK(w.request(n, http.MethodGet, "/read/x", "r"+n, "Api-Key", "new"), "read at %s", n)
			w.wantStream(w.stream(n, "/draft/x", "d"+n, "Api-Key", "new"), "draft at %s", n)
			if r := w.request(n, http.MethodGet, "/read/x", "o"+n); r.status != 401 {
				t.Errorf("old key at %s: got %d, want 401", n, r.status)
			}
			for _, id := range []string{"cut" + n, "once" + n} {
				if got := w.runCount(id); got > 1 {
					t.Errorf("%s ran %d times, want once at most", id, got)
				}
			}
		}
	})
}

// The address of a server passes to another one before the nodes observe it: the new server runs
// nothing that was meant for its predecessor, and callers are served elsewhere.
func TestReusedAddress(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		w.request("a1", http.MethodGet, "/read/x", "before") // connections are open
		w.stream("a1", "/draft/x", "dbefore")
		before := map[string]int{}
		for _, id := range []string{"plain-a", "encode-a", "rank-a", "model-a"} {
			s := w.servers[id]
			before[id] = len(s.Runs()) + len(s.BatchSizes())
			s.ID = "successor of " + id
			w.results.Restart(s)
		}
		for i := range 6 {
			prompt := fmt.Sprintf("%x:800,bb:200", i) // a new prefix each time leads to another model server
			for _, n := range []string{"a1", "c1"} {
				w.wantOK(w.request(n, http.MethodGet, "/read/x", fmt.Sprint("r", n, i)), "read at %s", n)
				w.wantOK(w.request(n, http.MethodPost, "/file/x", fmt.Sprint("f", n, i)), "file at %s", n)
				w.wantStream(w.stream(n, "/once/x", fmt.Sprint("d", n, i), "X-Bergamotspring-Prefix-Hash", prompt), "draft at %s", n)
			}
		}
		for id, n := range before {
			s := w.servers[id]
			if got := len(s.Runs()) + len(s.BatchSizes()); got != n {
				t.Errorf("the successor of %s ran %d requests of its predecessor", id, got-n)
			}
		}
	})
}

// A caller disconnects: the server that runs its request is notified within the platform's bound,
// and the request's stored results are released.
func TestCallerDisconnects(t *testing.T) {
	const bound = 500 * time.Millisecond
	for _, c := range []struct {
		name, path string
		model      bool
		after      time.Duration
		runs       int // in progress when the caller disconnects
	}{
		{"from a plain server", "/file/x", false, 300 * time.Millisecond, 1},
		{"from a stream", "/draft/x", true, 1200 * time.Millisecond, 1},
		{"from the first stage", "/draft/x", true, 100 * time.Millisecond, 0},
		{"from the second stage", "/draft/x", true, 350 * time.Millisecond, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			runFleet(t, func(w *testFleet) {
				for _, s := range w.servers {
					s.Gap = time.Second
				}
				w.servers["plain-a"].QueueFaults(platformstandin.FaultMute)
				ctx, disconnect := context.WithTimeout(context.Background(), c.after)
				defer disconnect()
				var more []string
				if c.model {
					more = modelHeaders("left")
				}
				w.send(ctx, "a1", http.MethodPost, c.path, "left", more...)
				disconnected := time.Now()
				time.Sleep(2 * time.Second)
				n := 0
				for id, s := range w.servers {
					for _, at := range s.Disconnects() {
						n++
						if d := at.Sub(disconnected); d > bound {
							t.Errorf("%s worked for %v after the caller disconnected", id, d)
						}
					}
					if got := w.results.Held(id); got != 0 {
						t.Errorf("%s holds %d results of a request whose caller disconnected", id, got)
					}
				}
				if n != c.runs || w.runCount("left") != c.runs {
					t.Errorf("%d runs of %d ended when the caller disconnected, want %d", n, w.runCount("left"), c.runs)
				}
			})
		})
	}
}

// A node of a build whose messages are others is registered: it is no coordinator for the nodes of this
// one, which do not take it for lost either.
func TestOtherBuild(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		old := map[string]any{"name": "a0", "domain": "a", "region": "north", "incarnation": "1", "cpu": 8000}
		w.store.Put("nodes", "10.0.0.99:90", old)
		time.Sleep(time.Second)
		w.wantStream(w.stream("a1", "/draft/x", "x"), "stream")
		time.Sleep(40 * time.Second)
		if got := w.store.Keys("nodes"); !slices.Contains(got, "10.0.0.99:90") {
			t.Errorf("got registrations %q, want that of the other build too", got)
		}
		if l := w.log.matching("10.0.0.99"); len(l) > 0 {
			t.Errorf("got %q, want no line on the other build's node", l)
		}
	})
}

// Nodes are replaced one by one by those of a build whose messages are others. Callers of the nodes at work are
// served all the time, each build has its own coordinators, all nodes follow the configuration, and each keeps
// to its share of what the platform allows all of them.
func TestUpdateNodeByNode(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		names := []string{"a1", "a2", "b1", "c1"}
		protocols := map[string]int{}
		w.protocol = peer.PlacementProtocol + 1
		for i, name := range names {
			protocols[name] = w.protocol
			w.nodes[name].stop()
			for k := range 40 { // it ends after 8 s at most
				n := names[(i+1+k%3)%len(names)]
				w.wantStream(w.stream(n, "/draft/x", fmt.Sprint("d", i, k)), "%d nodes replaced, stream at %s", i, n)
				w.wantOK(w.request(n, http.MethodGet, "/read/x", fmt.Sprint("r", i, k)), "%d nodes replaced, read at %s", i, n)
			}
			w.restart(name)
			w.configure(i+2, nil)
			time.Sleep(configApply)
			for _, n := range names {
				x := w.nodes[n].node
				if got := x.cache.View().Config.Version; got != int64(i+2) {
					t.Errorf("%s: got version %d, want %d", n, got, i+2)
				}
				if l := x.roster.Coordinators(x.self.Region); len(l) == 0 || protocols[l[0].Name] != protocols[n] {
					t.Errorf("%s: got coordinators %v, want those of its own build", n, l)
				}
				if got, want := x.nodeShare(), 1.0/float64(len(names)+spareNodes); got != want {
					t.Errorf("%s: got a share of %.3f of the bounds for all nodes, want %.3f", n, got, want)
				}
			}
		}
	})
}

// A failure domain loses power while its model server streams: the streams of callers elsewhere are
// resumed, without a token twice or missing, and requests that come later are served without the domain,
// though the store still lists its servers.
func TestDomainLostWhileStreaming(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		for _, d := range []string{"a", "b", "c"} {
			w.servers["model-"+d].Gap = 100 * time.Millisecond
		}
		var g sync.WaitGroup
		for i := range 9 {
			g.Go(func() {
				r := w.stream([]string{"a2", "c1"}[i%2], "/draft/x", fmt.Sprint("z", i))
				w.wantStream(r, "stream %d", i)
			})
		}
		time.Sleep(1100 * time.Millisecond)
		if n := len(w.servers["model-b"].Runs()); n == 0 {
			t.Error("no stream of the lost domain's model server")
		}
		for _, ip := range []string{"10.0.0.3", "10.1.0.5", "10.1.0.6", "10.1.0.7", "10.1.0.8"} {
			w.net.SetHost(ip, standin.HostGone)
		}
		g.Wait()
		time.Sleep(time.Second)
		for i := range 4 {
			w.wantStream(w.stream("a1", "/draft/x", fmt.Sprint("after", i)), "without the domain")
		}
	})
}

// Packets pass one way only, between nodes or between a node and the store: every node serves, and a
// change of the configuration is in force on all within the bound.
func TestOneWayCuts(t *testing.T) {
	const a1, a2, store = "10.0.0.1", "10.0.0.2", "10.9.0.1"
	others := []string{a2, "10.0.0.3", "10.0.0.4"}
	for _, c := range []struct {
		name     string
		from, to []string
		line     string // of the log
	}{
		{"the coordinator does not hear the others", others, []string{a1}, "home_silent"},
		{"the others do not hear the coordinator", []string{a1}, others, "home_silent"},
		{"the store does not hear the reader", []string{a2}, []string{store}, "store_lost"},
		{"the reader does not hear the store", []string{store}, []string{a2}, "store_lost"},
	} {
		t.Run(c.name, func(t *testing.T) {
			runFleet(t, func(w *testFleet) {
				time.Sleep(2 * time.Second)
				for _, x := range c.from {
					for _, y := range c.to {
						w.net.SetCutOneWay(x, y, true)
					}
				}
				w.configure(2, func(c map[string]any) {
					c["tenants"] = []any{map[string]any{"name": "org", "api-keys": []string{"new"}}}
				})
				time.Sleep(configApply)
				for _, n := range []string{"a1", "a2", "b1", "c1"} {
					w.wantOK(w.request(n, http.MethodGet, "/read/x", "r"+n, "Api-Key", "new"), "read at %s", n)
					w.wantStream(w.stream(n, "/draft/x", "d"+n, "Api-Key", "new"), "stream at %s", n)
				}
				if len(w.log.matching(c.line)) == 0 {
					t.Errorf("no line %s tells of the cut", c.line)
				}
			})
		})
	}
}

// A node that responds again is known to soon, though many others stay silent.
func TestProbeBesideSilentNodes(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		for i := range 12 {
			w.start(fmt.Sprint("a", 3+i), fmt.Sprint("10.0.1.", i))
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Second)
		r, last := &w.nodes["a1"].node.roster, w.nodes["c1"].node.Settings.Peer
		for i := range 12 {
			w.net.SetHost(fmt.Sprint("10.0.1.", i), standin.HostGone)
			r.MarkSilent(fmt.Sprintf("10.0.1.%d:90", i))
		}
		r.MarkSilent(last)
		time.Sleep(3 * time.Second)
		silent, _ := r.Silent(0)
		if got := slices.ContainsFunc(silent, func(n roster.Node) bool { return n.Peer == last }); got {
			t.Errorf("c1 counts as silent after 3 s: got %v, want false, beside %d silent nodes", got, len(silent))
		}
	})
}
