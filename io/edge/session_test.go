package edge

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	platformstandin "bergamotspring/platform/standin"
)

// Without faults each kind of request is served, with the servers' responses unchanged.
func TestNoFaults(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		r := w.request("a1", http.MethodGet, "/read/x", "r1")
		if want := "answer of plain-a to r1"; r.status != 200 || r.body != want {
			t.Errorf("read: got %d %q, want 200 %q", r.status, r.body, want)
		}
		if got := r.header.Get("X-Bergamotspring-Server-Stamp"); got != "stamp-plain-a" {
			t.Errorf("stamp: got %q", got)
		}
		if r := w.request("b1", http.MethodPost, "/file/x", "f1"); r.status != 200 || w.runCount("f1") != 1 {
			t.Errorf("file: got %d, %d runs, want 200 and one run", r.status, w.runCount("f1"))
		}
		for _, n := range []string{"a1", "a2", "b1", "c1"} {
			r := w.stream(n, "/draft/x", "d"+n)
			w.wantStream(r, "draft at %s", n)
		}
		if len(w.results.ForeignInputs) > 0 {
			t.Errorf("inputs of other requests: %v", w.results.ForeignInputs)
		}
		for _, s := range w.servers {
			for _, x := range s.Runs() {
				if x.Organisation != "org" {
					t.Errorf("%s ran %s for %q, want org", s.ID, x.ID, x.Organisation)
				}
			}
		}
		time.Sleep(time.Second)
		for id := range w.servers {
			if n := w.results.Held(id); n != 0 {
				t.Errorf("%s holds %d results after all requests ended", id, n)
			}
		}
	})
}

// Tasks from all nodes of a region share batches.
func TestBatchesAcrossNodes(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		var g sync.WaitGroup
		for i := range 12 {
			node := []string{"a1", "a2", "b1"}[i%3]
			g.Go(func() { w.stream(node, "/draft/x", fmt.Sprint("n", i)) })
		}
		g.Wait()
		batches, tasks := 0, 0
		for _, s := range w.servers {
			for _, n := range s.BatchSizes() {
				batches++
				tasks += n
			}
		}
		if want := 12 * 5; tasks != want {
			t.Errorf("got %d tasks, want %d: none may run twice", tasks, want)
		}
		if batches > tasks/2 {
			t.Errorf("got %d batches for %d tasks, want at most half as many", batches, tasks)
		}
		if w.results.NoCapacity > 0 {
			t.Errorf("%d tasks found no capacity", w.results.NoCapacity)
		}
	})
}

// A response that is too large to be buffered is streamed to the caller whole.
func TestLargeResponse(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		const size = 3 << 20
		for _, d := range []string{"a", "b", "c"} {
			w.servers["plain-"+d].Size = size
		}
		for _, path := range []string{"/read/x", "/file/x"} {
			if r := w.request("a1", http.MethodGet, path, "large"); r.status != 200 || r.err != nil || len(r.body) != size {
				t.Errorf("%s: got %d with %d bytes, %v, want %d bytes", path, r.status, len(r.body), r.err, size)
			}
		}
	})
}

// Invalid requests are answered by the node itself.
func TestNodeResponses(t *testing.T) {
	for _, c := range []struct {
		name, path string
		more       []string
		want       int
	}{
		{"no route", "/none/x", nil, 404},
		{"unknown key", "/read/x", []string{"Api-Key", "stolen"}, 401},
		{"no id", "/read/x", []string{"X-Bergamotspring-Request-Id", ""}, 400},
	} {
		t.Run(c.name, func(t *testing.T) {
			runFleet(t, func(w *testFleet) {
				if r := w.request("a1", http.MethodGet, c.path, "x", c.more...); r.status != c.want {
					t.Errorf("got %d, want %d", r.status, c.want)
				}
			})
		})
	}
}

// A body over the limit is refused, and a caller's headers that only the fleet may set do not
// reach a server.
func TestBadInput(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		r := w.request("a1", http.MethodPost, "/file/"+strings.Repeat("x", 10), strings.Repeat("i", 1100))
		if r.status != http.StatusRequestEntityTooLarge {
			t.Errorf("large body: got %d, want 413", r.status)
		}
		w.stream("a1", "/draft/x", "forged", "X-Bergamotspring-Tenant", "other", "X-Bergamotspring-Inputs", "10.1.0.2:80/99", "Kv-Fetch", "10.66.0.1:1")
		for _, s := range w.servers {
			for _, x := range s.Runs() {
				if x.ID == "forged" && (x.Organisation != "org" || strings.Contains(x.Inputs, "/99") || x.KVSource == "10.66.0.1:1") {
					t.Errorf("a caller's header reached a server: %+v", x)
				}
			}
		}
	})
}

// An unsafe request is retried after a server stated that it did not run it, and never after
// one may have.
func TestUnsafeRunsOnce(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults []platformstandin.Fault
		status int
		runs   int
	}{
		{"rejected", []platformstandin.Fault{platformstandin.FaultReject}, 200, 1},
		{"answer lost", []platformstandin.Fault{platformstandin.FaultLose}, 502, 1},
		{"failed", []platformstandin.Fault{platformstandin.FaultError}, 500, 1},
		{"silent", []platformstandin.Fault{platformstandin.FaultMute}, 504, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			runFleet(t, func(w *testFleet) {
				w.servers["plain-a"].QueueFaults(c.faults...)
				r := w.request("a1", http.MethodPost, "/file/x", "once")
				if r.status != c.status || w.runCount("once") != c.runs {
					t.Errorf("got %d with %d runs, want %d with %d", r.status, w.runCount("once"), c.status, c.runs)
				}
			})
		})
	}
}

// All servers reject a request: it is refused at once as not run, and no server ran it.
func TestRefusalMeansNotRun(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		for _, d := range []string{"a", "b", "c"} {
			w.servers["plain-"+d].QueueFaults(platformstandin.FaultReject)
		}
		r := w.request("a1", http.MethodPost, "/file/x", "shed")
		if r.status != 503 || r.header.Get("Retry-After") == "" || w.runCount("shed") != 0 {
			t.Errorf("got %d, Retry-After %q, %d runs", r.status, r.header.Get("Retry-After"), w.runCount("shed"))
		}
		if r.took > 100*time.Millisecond {
			t.Errorf("refused after %v", r.took)
		}
	})
}

// A safe request whose response is lost is retried at another server.
func TestSafeRequestRetried(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		w.servers["plain-a"].QueueFaults(platformstandin.FaultLose)
		if r := w.request("a1", http.MethodGet, "/read/x", "again"); r.status != 200 || w.runCount("again") != 2 {
			t.Errorf("got %d, %d runs, want 200 after 2", r.status, w.runCount("again"))
		}
	})
}

// A stream that breaks off in the middle of an event resumes at another server without missing or
// duplicate events; one that must not be resumed is broken off for the caller too.
func TestBrokenStream(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		w.injectFault(platformstandin.FaultBreak)
		r := w.stream("a1", "/draft/x", "resumed")
		if r.status != 200 || r.err != nil || r.body != fullStream(6) || w.runCount("resumed") != 2 {
			t.Errorf("resumable: got %d %v %q after %d runs", r.status, r.err, r.body, w.runCount("resumed"))
		}
	})
	runFleet(t, func(w *testFleet) {
		w.injectFault(platformstandin.FaultBreak)
		r := w.stream("a1", "/once/x", "single")
		if r.err == nil || r.body != fullStream(3) || w.runCount("single") != 1 {
			t.Errorf("not resumable: got %v %q after %d runs, want a broken response", r.err, r.body, w.runCount("single"))
		}
	})
}

// Requests that would miss their latency goal in their own region are placed in another one, but
// never outside the regions of their route.
func TestPlacedInOtherRegion(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		w.configureRoute(2, "once", map[string]any{"home-regions": []string{"south"}})
		time.Sleep(time.Second)
		var g sync.WaitGroup
		for i := range 16 {
			path := []string{"/draft/x", "/once/x"}[i%2]
			g.Go(func() { w.stream("c1", path, fmt.Sprint("e", i)) })
			time.Sleep(5 * time.Millisecond)
		}
		g.Wait()
		north := 0
		for _, m := range []string{"model-a", "model-b"} {
			for _, r := range w.servers[m].Runs() {
				north++
				var n int
				if _, err := fmt.Sscanf(r.ID, "e%d", &n); err != nil || n%2 == 1 {
					t.Errorf("%s ran %s, whose route is served in south only", m, r.ID)
				}
			}
		}
		if north == 0 {
			t.Error("no request was placed in the other region")
		}
	})
}

// Routes with home regions are served only there.
func TestHomeRegions(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		if r := w.request("a1", http.MethodGet, "/south/x", "s1"); r.body != "answer of plain-c to s1" {
			t.Errorf("got %d %q", r.status, r.body)
		}
		w.register(w.servers["plain-c"], "plain", "c", "draining", 0)
		time.Sleep(1200 * time.Millisecond)
		if r := w.request("a1", http.MethodGet, "/south/x", "s2"); r.status != 503 || w.runCount("s2") != 0 {
			t.Errorf("without a server in its region: got %d, %d runs", r.status, w.runCount("s2"))
		}
	})
}

// Leaving servers, and those of a failure domain that is taken out, get no new requests after
// the platform's bounds.
func TestLeavingAndTakenOut(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		w.register(w.servers["plain-a"], "plain", "a", "draining", 0)
		time.Sleep(2 * time.Second)
		if r := w.request("a1", http.MethodGet, "/read/x", "l1"); r.status != 200 || len(w.servers["plain-a"].Runs()) != 0 {
			t.Errorf("got %d, the leaving server ran %v", r.status, w.servers["plain-a"].Runs())
		}
		before := len(w.servers["plain-b"].Runs())
		w.store.Put("op", "evacuate/b", map[string]any{})
		time.Sleep(time.Second)
		for i := range 4 {
			w.request("b1", http.MethodGet, "/read/x", fmt.Sprint("e", i))
			w.stream("b1", "/draft/x", fmt.Sprint("ed", i))
		}
		for _, s := range []string{"plain-b", "encode-b", "rank-b", "model-b"} {
			n := len(w.servers[s].Runs()) + len(w.servers[s].BatchSizes())
			if s == "plain-b" {
				n -= before
			}
			if n != 0 {
				t.Errorf("%s got %d requests after its domain was taken out", s, n)
			}
		}
	})
}

// A new configuration soon applies on all nodes, also on one that the store refuses and that
// reads it from its peers; an older version is never installed.
func TestConfigurationThroughPeers(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		w.store.Refuse("10.0.0.3", true)
		w.configure(5, func(c map[string]any) {
			c["tenants"] = []any{map[string]any{"name": "org", "api-keys": []string{"new"}}}
		})
		time.Sleep(2400 * time.Millisecond)
		for _, n := range []string{"a1", "b1", "c1"} {
			if r := w.request(n, http.MethodGet, "/read/x", "old"+n); r.status != 401 {
				t.Errorf("old key at %s: got %d, want 401", n, r.status)
			}
			w.wantOK(w.request(n, http.MethodGet, "/read/x", "new"+n, "Api-Key", "new"), "new key at %s", n)
		}
		w.configure(4, nil)
		time.Sleep(2 * time.Second)
		if r := w.request("a1", http.MethodGet, "/read/x", "back"); r.status != 401 {
			t.Errorf("an older version came into force: got %d", r.status)
		}
	})
}

// The store loses its history: changes made meanwhile are observed by reading the whole table.
func TestHistoryLost(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		w.store.Forget()
		w.register(w.servers["plain-a"], "plain", "a", "draining", 0)
		time.Sleep(2 * time.Second)
		w.request("a1", http.MethodGet, "/read/x", "h1")
		if n := len(w.servers["plain-a"].Runs()); n != 0 {
			t.Errorf("the leaving server ran %d requests", n)
		}
		if len(w.log.matching("store_history_lost")) == 0 {
			t.Error("no line says that the history was lost")
		}
	})
}

// Unreadable entries are skipped and logged, and the others stay in use.
func TestUnreadableEntries(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		w.store.PutBytes("servers", "junk", []byte("\x00{"))
		w.store.Put("servers", "typed", map[string]any{"service": 7, "address": true})
		w.store.Put("servers", "state", map[string]any{"service": "plain", "address": "10.1.0.99:80", "zone": "a", "state": "dancing"})
		w.store.PutBytes("op", "config", []byte("no configuration"))
		time.Sleep(2 * time.Second)
		w.wantOK(w.request("a1", http.MethodGet, "/read/x", "j1"), "request")
		if len(w.log.matching("server_entry_unreadable", "junk")) == 0 || len(w.log.matching("configuration_unreadable")) == 0 {
			t.Error("unreadable entries leave no line")
		}
	})
}

// Cold model servers get no more requests than their limit, from all nodes together.
func TestColdServers(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		for _, d := range []string{"a", "b", "c"} {
			w.register(w.servers["model-"+d], "model", d, "ready", 20*time.Second)
		}
		time.Sleep(1200 * time.Millisecond)
		var g sync.WaitGroup
		for i := range 40 {
			g.Go(func() { w.stream([]string{"a1", "a2", "b1", "c1"}[i%4], "/draft/x", fmt.Sprint("k", i)) })
			time.Sleep(10 * time.Millisecond)
		}
		g.Wait()
		for _, d := range []string{"a", "b", "c"} {
			// 40 requests end within 4 s; the limit of a cold server is 5 a second.
			if n := len(w.servers["model-"+d].Runs()); n > 4*5 {
				t.Errorf("model-%s ran %d requests while cold", d, n)
			}
		}
	})
}

// A silent server delays no caller beyond the caller's time limit or that of the route.
func TestTimeLimit(t *testing.T) {
	for _, c := range []struct {
		name, caller string
		route        int // ms
	}{
		{"the caller's", "300", 4000},
		{"the route's", "4000", 300},
	} {
		t.Run(c.name, func(t *testing.T) {
			runFleet(t, func(w *testFleet) {
				w.configure(2, func(f map[string]any) {
					for _, r := range f["route-table"].([]any) {
						r.(map[string]any)["timeout-ms"] = c.route
					}
				})
				time.Sleep(500 * time.Millisecond)
				w.servers["plain-a"].QueueFaults(platformstandin.FaultMute)
				w.injectFault(platformstandin.FaultMute)
				for _, r := range []response{
					w.request("a1", http.MethodPost, "/file/x", "gone", "X-Bergamotspring-Deadline-Ms", c.caller),
					w.request("a1", http.MethodPost, "/once/x", "held", append(modelHeaders("held"), "X-Bergamotspring-Chunks", "0,0", "X-Bergamotspring-Deadline-Ms", c.caller)...),
				} {
					if r.status != 504 {
						t.Errorf("got %d, want 504 at the time limit", r.status)
					}
					if r.took > 320*time.Millisecond {
						t.Errorf("answered after %v, want within the time limit", r.took)
					}
				}
			})
		})
	}
}

// Guards against a caller without any time left whose request gets that of a caller who states none.
func TestNoTimeLeft(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		for i, r := range []response{
			w.request("a1", http.MethodPost, "/file/x", "none0", "X-Bergamotspring-Deadline-Ms", "0"),
			w.stream("a1", "/once/x", "none1", "X-Bergamotspring-Deadline-Ms", "0"),
		} {
			if id := fmt.Sprint("none", i); r.status != 503 || r.took > 100*time.Millisecond || w.runCount(id) > 0 {
				t.Errorf("%s: got %d after %v and %d runs, want a refusal at once", id, r.status, r.took, w.runCount(id))
			}
		}
	})
}
