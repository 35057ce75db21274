package edge

// This file tests faults of servers and nodes.

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"bergamotspring/core/placement"
	"bergamotspring/io/standin"
	platformstandin "bergamotspring/platform/standin"
)

// The coordinator is killed while it schedules requests: the other nodes go to its successor.
func TestCoordinatorKilled(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		var g sync.WaitGroup
		got := make([]response, 8)
		for i := range got {
			g.Go(func() { got[i] = w.stream([]string{"a2", "b1"}[i%2], "/draft/x", fmt.Sprint("h", i)) })
		}
		time.Sleep(150 * time.Millisecond) // in the first batches
		w.kill("a1")
		g.Wait()
		for i, r := range got {
			w.wantStream(r, "request %d", i)
		}
		if n := len(w.log.matching("home_silent")); n == 0 {
			t.Error("no line reports the lost coordinator")
		}
	})
}

// The coordinator is killed after some stages were run: its successor uses their results, which the
// nodes of the requests know, and nothing that exists is made again.
func TestCoordinatorKilledBetweenStages(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		var g sync.WaitGroup
		for i := range 4 {
			g.Go(func() {
				w.wantStream(w.stream([]string{"a2", "b1"}[i%2], "/draft/x", fmt.Sprint("k", i)), "request %d", i)
			})
		}
		time.Sleep(350 * time.Millisecond) // the first stage is done, the second is not
		w.kill("a1")
		g.Wait()
		for task, n := range w.results.Executions {
			if strings.Contains(task, "/0/") && n != 1 {
				t.Errorf("task %s of the first stage ran %d times, want once", task, n)
			}
		}
	})
}

// The coordinator stops gracefully while it schedules requests: its queue moves to the next
// coordinator, and it keeps no capacity of the stage servers.
func TestCoordinatorStops(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		var g sync.WaitGroup
		got := make([]response, 9)
		for i := range got {
			g.Go(func() { got[i] = w.stream([]string{"a1", "a2", "b1"}[i%3], "/draft/x", fmt.Sprint("s", i)) })
		}
		time.Sleep(150 * time.Millisecond) // in the first batches
		w.nodes["a1"].stop()
		at := time.Now()
		g.Wait()
		for i, r := range got {
			w.wantStream(r, "request %d", i)
		}
		if w.results.NoCapacity > 0 {
			t.Errorf("%d tasks found no capacity", w.results.NoCapacity)
		}
		moved := w.log.matching("home_moved")
		if len(moved) < 6 {
			t.Errorf("got %d requests that moved to the next coordinator, want those of the other nodes at least:\n%s", len(moved), strings.Join(moved, "\n"))
		}
		batches := 0
		for _, l := range w.log.matching("stage_call", `"node":"a1"`) {
			var x struct{ At time.Time }
			if err := json.Unmarshal([]byte(l), &x); err != nil {
				t.Fatal(err)
			}
			if x.At.Sub(at) > 400*time.Millisecond {
				batches++
			}
		}
		if batches > 0 {
			t.Errorf("the node that stopped sent %d batches long after", batches)
		}
	})
}

// A stage server sends the response of a batch once more, where that of the next batch is expected:
// no request gets the results of another one.
func TestCopiedStageResponse(t *testing.T) {
	for _, service := range []string{"encode", "rank"} {
		runFleet(t, func(w *testFleet) {
			w.store.Remove("servers", service+"-a") // both requests use the other server
			time.Sleep(time.Second)
			w.servers[service+"-b"].QueueFaults(platformstandin.FaultNone, platformstandin.FaultCopy)
			var g sync.WaitGroup
			got := make([]response, 2)
			for i := range got {
				g.Go(func() { got[i] = w.stream("a1", "/draft/x", fmt.Sprint(service, i)) })
				time.Sleep(50 * time.Millisecond) // the second waits for the next batch
			}
			g.Wait()
			for i, r := range got {
				w.wantStream(r, "%s, request %d", service, i)
			}
			if l := w.results.ForeignInputs; len(l) > 0 {
				t.Errorf("%s: inputs of other requests: %v", service, l)
			}
			if len(w.log.matching("foreign_response", "/stage-run")) == 0 {
				t.Errorf("%s: no copy was recognised", service)
			}
		})
	}
}

// A stage server crashes and loses its results: their tasks are retried.
func TestStageServerCrashes(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		var g sync.WaitGroup
		got := make([]response, 6)
		for i := range got {
			g.Go(func() { got[i] = w.stream("a1", "/draft/x", fmt.Sprint("c", i)) })
		}
		time.Sleep(100 * time.Millisecond)
		w.results.Restart(w.servers["encode-a"])
		w.net.SetHost("10.1.0.2", standin.HostRefuses)
		g.Wait()
		for i, r := range got {
			w.wantStream(r, "request %d", i)
		}
	})
}

// A safe request is retried at another server, while there is time, if its server is silent.
func TestSilentServerFailover(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		w.servers["plain-a"].QueueFaults(platformstandin.FaultMute)
		r := w.request("a1", http.MethodGet, "/read/x", "mute")
		if r.status != 200 || r.took > 2*time.Second {
			t.Errorf("got %d after %v, want 200 from another server", r.status, r.took)
		}
	})
}

// A resumable stream is retried elsewhere if its model server is silent; one that must not run
// twice is not.
func TestSilentModelServer(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		w.injectFault(platformstandin.FaultMute)
		if r := w.stream("a1", "/draft/x", "m1"); r.status != 200 || r.body != fullStream(6) || w.runCount("m1") != 2 {
			t.Errorf("resumable: got %d %v after %d runs", r.status, r.err, w.runCount("m1"))
		}
	})
	runFleet(t, func(w *testFleet) {
		w.injectFault(platformstandin.FaultMute)
		if r := w.stream("a1", "/once/x", "m2"); r.status != 504 || w.runCount("m2") != 1 {
			t.Errorf("not resumable: got %d after %d runs, want 504 after one", r.status, w.runCount("m2"))
		}
	})
}

// A model server stalls in the middle of a stream but goes on sending comments: that is no progress,
// and the stream is resumed elsewhere.
func TestTricklingModelServer(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		w.injectFault(platformstandin.FaultTrickle)
		r := w.stream("a1", "/draft/x", "t1")
		if got := strings.ReplaceAll(r.body, ":\n\n", ""); r.status != 200 || r.err != nil || got != fullStream(6) || w.runCount("t1") != 2 {
			t.Errorf("got %d %v after %d runs: %q, want all events from a second server", r.status, r.err, w.runCount("t1"), got)
		}
	})
}

// Only a promise that nothing was run makes a batch count as rejected, which costs its server 60 ms:
// one that fails each batch is backed off from for longer and longer.
func TestBatchStatus(t *testing.T) {
	for status, want := range map[int]placement.BatchStatus{
		200: placement.BatchDone, 421: placement.BatchMoved, 408: placement.BatchRejected, 429: placement.BatchRejected,
		503: placement.BatchRejected, 302: placement.BatchBroken, 400: placement.BatchBroken, 500: placement.BatchBroken, 504: placement.BatchBroken,
	} {
		if got := batchStatus(status); got != want {
			t.Errorf("status %d: got %d, want %d", status, got, want)
		}
	}
}

// A request that its model server rejected is retried at another one with its stored results.
func TestRejectedByModelServer(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		w.injectFault(platformstandin.FaultReject)
		w.wantStream(w.stream("a1", "/once/x", "rej"), "stream")
		for task, n := range w.results.Executions {
			if n != 1 {
				t.Errorf("task %s ran %d times", task, n)
			}
		}
		time.Sleep(time.Second)
		for id := range w.servers {
			if n := w.results.Held(id); n != 0 {
				t.Errorf("%s holds %d results after the request ended", id, n)
			}
		}
	})
}

// The coordinator's VM disappears without closing connections: later requests are not delayed by
// it, and its row is removed in the end.
func TestCoordinatorVMGone(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		w.net.SetHost("10.0.0.1", standin.HostGone)
		w.stream("b1", "/draft/x", "first")
		for i := range 8 {
			time.Sleep(time.Second)
			if r := w.stream("b1", "/draft/x", fmt.Sprint("late", i)); r.status != 200 || r.took > 2*time.Second {
				t.Errorf("request %d: got %d after %v", i, r.status, r.took)
			}
		}
		time.Sleep(40 * time.Second)
		if got := strings.Join(w.store.Keys("nodes"), " "); strings.Contains(got, "10.0.0.1:") {
			t.Errorf("the row of the lost node is still there: %s", got)
		}
	})
}

// A node registers again after its row was removed, as happens while other nodes cannot reach it.
func TestReregistration(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		w.store.Remove("nodes", "10.0.0.2:90")
		time.Sleep(3 * time.Second)
		if got := strings.Join(w.store.Keys("nodes"), " "); !strings.Contains(got, "10.0.0.2:90") {
			t.Errorf("got nodes %s, want 10.0.0.2:90 among them", got)
		}
	})
}

// A request that crashes every server that runs it is refused by all nodes after three crashes.
func TestCrashingRequest(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		crash := func(d, ip string) {
			w.servers["plain-"+d].QueueFaults(platformstandin.FaultLose)
			w.servers["plain-"+d].Crash = func() { w.net.SetHost(ip, standin.HostRefuses) }
		}
		crash("a", "10.1.0.1")
		crash("b", "10.1.0.5")
		crash("c", "10.1.0.9")
		bad := func(node, id string) response {
			return w.request(node, http.MethodPost, "/file/bad", id, "X-Body", "bad")
		}
		for i, n := range []string{"a1", "b1", "c1"} {
			bad(n, fmt.Sprint("bad", i))
			time.Sleep(100 * time.Millisecond)
		}
		for _, ip := range []string{"10.1.0.1", "10.1.0.5", "10.1.0.9"} {
			w.net.SetHost(ip, standin.HostUp)
		}
		time.Sleep(5 * time.Second)
		if r := bad("a2", "bad9"); r.status != 503 || w.runCount("bad9") != 0 {
			t.Errorf("got %d after %d runs, want a refusal", r.status, w.runCount("bad9"))
		}
		w.wantOK(w.request("a2", http.MethodPost, "/file/good", "good"), "another request")
	})
}

// All open connections go silent for good, without a reset, while new ones work: requests are
// served again, and a new configuration and a leaving server are observed, within their bounds.
func TestSilentConnections(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		for _, n := range []string{"a1", "b1", "c1"} {
			w.request(n, http.MethodGet, "/read/x", "warm"+n) // connections to servers are open
			w.stream(n, "/draft/x", "dwarm"+n)
		}
		w.net.Silence(func(string, string) bool { return true })
		w.configure(2, func(c map[string]any) {
			c["tenants"] = []any{map[string]any{"name": "org", "api-keys": []string{"new"}}}
		})
		w.register(w.servers["plain-a"], "plain", "a", "draining", 0)
		time.Sleep(4 * time.Second) // the platform's bound for nodes to reconnect
		before := len(w.servers["plain-a"].Runs())
		for _, n := range []string{"a1", "b1", "c1"} {
			for i := range 3 {
				id := fmt.Sprint(n, i)
				if r := w.request(n, http.MethodGet, "/read/x", "r"+id, "Api-Key", "new"); r.status != 200 || r.took > time.Second {
					t.Errorf("read %d at %s: got %d after %v", i, n, r.status, r.took)
				}
				w.wantStream(w.stream(n, "/draft/x", "d"+id, "Api-Key", "new"), "draft %d at %s", i, n)
			}
			if r := w.request(n, http.MethodGet, "/read/x", "old"+n); r.status != 401 {
				t.Errorf("old key at %s: got %d, want 401", n, r.status)
			}
		}
		if got := len(w.servers["plain-a"].Runs()); got != before {
			t.Errorf("the leaving server ran %d more requests", got-before)
		}
	})
}

// If no other server is left, nothing is taken from the retry budget, and the caller gets the response of
// the last one.
func TestNoServerLeftToRetry(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		s := w.servers["plain-c"] // the only one in the route's region
		s.QueueFaults(platformstandin.FaultError, platformstandin.FaultReject)
		if r := w.request("a1", http.MethodGet, "/south/x", "failed"); r.status != 500 || r.header.Get("X-Bergamotspring-Server-Stamp") == "" {
			t.Errorf("got %d, want the server's 500", r.status)
		}
		if r := w.request("a1", http.MethodGet, "/south/x", "rejected"); r.status != 503 {
			t.Errorf("got %d, want 503", r.status)
		}
		if got := w.log.matching(`"repeated"`); len(got) != 0 {
			t.Errorf("got %d retries from the budget, want 0", len(got))
		}
	})
}
