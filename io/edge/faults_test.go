package edge

// This file plays faults of servers and nodes.

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"bergamotspring/io/standin"
	outside "bergamotspring/platform/standin"
)

// The home is killed while it places requests: the others ask its successor.
func TestHomeLost(t *testing.T) {
	play(t, func(w *world) {
		var g sync.WaitGroup
		got := make([]reply, 8)
		for i := range got {
			g.Go(func() { got[i] = w.draft([]string{"a2", "b1"}[i%2], "/draft/x", fmt.Sprint("h", i)) })
		}
		time.Sleep(150 * time.Millisecond) // in the first calls
		w.kill("a1")
		g.Wait()
		for i, r := range got {
			if r.status != 200 || r.body != events(6) {
				t.Errorf("request %d: got %d %v %q", i, r.status, r.err, r.body)
			}
		}
		if n := len(w.log.with("home_silent")); n == 0 {
			t.Error("no line says that the home was lost")
		}
	})
}

// The home stops as planned while it places requests: they wait for no place there any more,
// and the next home has all the room.
func TestHomeStops(t *testing.T) {
	play(t, func(w *world) {
		var g sync.WaitGroup
		got := make([]reply, 9)
		for i := range got {
			g.Go(func() { got[i] = w.draft([]string{"a1", "a2", "b1"}[i%3], "/draft/x", fmt.Sprint("s", i)) })
		}
		time.Sleep(150 * time.Millisecond) // in the first calls
		w.nodes["a1"].stop()
		at := time.Now()
		g.Wait()
		for i, r := range got {
			if r.status != 200 || r.body != events(6) {
				t.Errorf("request %d: got %d %v %q", i, r.status, r.err, r.body)
			}
		}
		if w.results.NoRoom > 0 {
			t.Errorf("%d pieces found no room", w.results.NoRoom)
		}
		moved := w.log.with("home_moved")
		if len(moved) < 6 {
			t.Errorf("got %d requests that moved to the next home, want those of the other nodes at least:\n%s", len(moved), strings.Join(moved, "\n"))
		}
		calls := 0
		for _, l := range w.log.with("stage_call", `"node":"a1"`) {
			var x struct{ At time.Time }
			if err := json.Unmarshal([]byte(l), &x); err != nil {
				t.Fatal(err)
			}
			if x.At.Sub(at) > 400*time.Millisecond {
				calls++
			}
		}
		if calls > 0 {
			t.Errorf("the node that stopped made %d calls long after", calls)
		}
	})
}

// A server of a stage crashes with results: they are made again.
func TestStageServerCrashes(t *testing.T) {
	play(t, func(w *world) {
		var g sync.WaitGroup
		got := make([]reply, 6)
		for i := range got {
			g.Go(func() { got[i] = w.draft("a1", "/draft/x", fmt.Sprint("c", i)) })
		}
		time.Sleep(100 * time.Millisecond)
		w.results.Restart(w.servers["encode-a"])
		w.net.SetHost("10.1.0.2", standin.HostRefuses)
		g.Wait()
		for i, r := range got {
			if r.status != 200 || r.body != events(6) {
				t.Errorf("request %d: got %d %v", i, r.status, r.err)
			}
		}
	})
}

// A safe request leaves a silent server while there is time for another.
func TestSilentServerIsLeft(t *testing.T) {
	play(t, func(w *world) {
		w.servers["plain-a"].Next(outside.FaultMute)
		r := w.ask("a1", http.MethodGet, "/read/x", "mute")
		if r.status != 200 || r.took > 2*time.Second {
			t.Errorf("got %d after %v, want 200 from another server", r.status, r.took)
		}
	})
}

// A resumable stream leaves a model server that says nothing; one that may not be repeated
// stays with it.
func TestSilentModelServer(t *testing.T) {
	play(t, func(w *world) {
		w.fault(outside.FaultMute)
		if r := w.draft("a1", "/draft/x", "m1"); r.status != 200 || r.body != events(6) || w.runs("m1") != 2 {
			t.Errorf("resumable: got %d %v after %d runs", r.status, r.err, w.runs("m1"))
		}
	})
	play(t, func(w *world) {
		w.fault(outside.FaultMute)
		if r := w.draft("a1", "/once/x", "m2"); r.status != 504 || w.runs("m2") != 1 {
			t.Errorf("not resumable: got %d after %d runs, want 504 after one", r.status, w.runs("m2"))
		}
	})
}

// A request that its model server did not run goes to another one with the pieces that
// were made for it.
func TestRejectedByModelServer(t *testing.T) {
	play(t, func(w *world) {
		w.fault(outside.FaultReject)
		if r := w.draft("a1", "/once/x", "rej"); r.status != 200 || r.body != events(6) {
			t.Errorf("got %d %v %q", r.status, r.err, r.body)
		}
		for piece, n := range w.results.Made {
			if n != 1 {
				t.Errorf("piece %s was made %d times", piece, n)
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

// The home's machine goes dark: requests that come later are not held up by it, and its
// row goes in the end.
func TestCoordinatorVMGone(t *testing.T) {
	play(t, func(w *world) {
		w.net.SetHost("10.0.0.1", standin.HostGone)
		w.draft("b1", "/draft/x", "first")
		for i := range 8 {
			time.Sleep(time.Second)
			if r := w.draft("b1", "/draft/x", fmt.Sprint("late", i)); r.status != 200 || r.took > 2*time.Second {
				t.Errorf("request %d: got %d after %v", i, r.status, r.took)
			}
		}
		time.Sleep(40 * time.Second)
		if got := strings.Join(w.store.Keys("nodes"), " "); strings.Contains(got, "10.0.0.1:") {
			t.Errorf("the row of the dark node is still there: %s", got)
		}
	})
}

// A node whose row was removed while it could not be reached registers again.
func TestRegistersAgain(t *testing.T) {
	play(t, func(w *world) {
		w.store.Remove("nodes", "10.0.0.2:90")
		time.Sleep(3 * time.Second)
		if got := strings.Join(w.store.Keys("nodes"), " "); !strings.Contains(got, "10.0.0.2:90") {
			t.Errorf("got nodes %s, want 10.0.0.2:90 among them", got)
		}
	})
}

// A request that crashes each server that runs it is refused, at every node, after three.
func TestCrashingRequest(t *testing.T) {
	play(t, func(w *world) {
		crash := func(d, ip string) {
			w.servers["plain-"+d].Next(outside.FaultLose)
			w.servers["plain-"+d].Crash = func() { w.net.SetHost(ip, standin.HostRefuses) }
		}
		crash("a", "10.1.0.1")
		crash("b", "10.1.0.5")
		crash("c", "10.1.0.9")
		bad := func(node, id string) reply {
			return w.ask(node, http.MethodPost, "/file/bad", id, "X-Body", "bad")
		}
		for i, n := range []string{"a1", "b1", "c1"} {
			bad(n, fmt.Sprint("bad", i))
			time.Sleep(100 * time.Millisecond)
		}
		for _, ip := range []string{"10.1.0.1", "10.1.0.5", "10.1.0.9"} {
			w.net.SetHost(ip, standin.HostUp)
		}
		time.Sleep(5 * time.Second)
		if r := bad("a2", "bad9"); r.status != 503 || w.runs("bad9") != 0 {
			t.Errorf("got %d after %d runs, want a refusal", r.status, w.runs("bad9"))
		}
		if r := w.ask("a2", http.MethodPost, "/file/good", "good"); r.status != 200 {
			t.Errorf("another request: got %d, want 200", r.status)
		}
	})
}

// All open connections go silent for good, without a reset, while new ones work: requests are
// soon served again, and a new configuration and a leaving server are learned within their bounds.
func TestSilentConnections(t *testing.T) {
	play(t, func(w *world) {
		for _, n := range []string{"a1", "b1", "c1"} {
			w.ask(n, http.MethodGet, "/read/x", "warm"+n) // connections to servers are open
			w.draft(n, "/draft/x", "dwarm"+n)
		}
		w.net.Silence(func(string, string) bool { return true })
		w.configure(2, func(c map[string]any) {
			c["tenants"] = []any{map[string]any{"name": "org", "api-keys": []string{"new"}}}
		})
		w.register(w.servers["plain-a"], "plain", "a", "draining", 0)
		time.Sleep(4 * time.Second) // what the platform gives machines to be in touch again
		before := len(w.servers["plain-a"].Runs())
		for _, n := range []string{"a1", "b1", "c1"} {
			for i := range 3 {
				id := fmt.Sprint(n, i)
				if r := w.ask(n, http.MethodGet, "/read/x", "r"+id, "Api-Key", "new"); r.status != 200 || r.took > time.Second {
					t.Errorf("read %d at %s: got %d after %v", i, n, r.status, r.took)
				}
				if r := w.draft(n, "/draft/x", "d"+id, "Api-Key", "new"); r.status != 200 || r.body != events(6) {
					t.Errorf("draft %d at %s: got %d %v", i, n, r.status, r.err)
				}
			}
			if r := w.ask(n, http.MethodGet, "/read/x", "old"+n); r.status != 401 {
				t.Errorf("old key at %s: got %d, want 401", n, r.status)
			}
		}
		if got := len(w.servers["plain-a"].Runs()); got != before {
			t.Errorf("the leaving server ran %d more requests", got-before)
		}
	})
}
