package edge

// This file plays the loss of everything, servers whose addresses change hands, and
// callers that leave.

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	outside "bergamotspring/platform/standin"
)

// recovery is the platform's bound on the time until a fleet serves again after all of its
// processes have ended.
const recovery = 12 * time.Second

// All nodes lose power at once, right after a change of the configuration, and one of them
// for good: the others serve again within the bound, by the newest configuration, and run
// nothing a second time.
func TestAllNodesCrash(t *testing.T) {
	play(t, func(w *world) {
		names := []string{"a1", "a2", "b1", "c1"} // a2 is home for those that return, by its row
		for _, d := range []string{"a", "b", "c"} {
			w.servers["plain-"+d].Work = 400 * time.Millisecond
		}
		var g sync.WaitGroup
		for _, n := range names {
			g.Go(func() { w.ask(n, http.MethodPost, "/file/x", "cut"+n) })
			g.Go(func() { w.draft(n, "/once/x", "once"+n) })
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
		time.Sleep(recovery / 4)
		for _, n := range names {
			if r := w.ask(n, http.MethodGet, "/read/x", "r"+n, "Api-Key", "new"); r.status != 200 {
				t.Errorf("read at %s: got %d %v, want 200", n, r.status, r.err)
			}
			if r := w.draft(n, "/draft/x", "d"+n, "Api-Key", "new"); r.status != 200 || r.body != events(6) {
				t.Errorf("draft at %s: got %d %v, want the whole stream", n, r.status, r.err)
			}
			if r := w.ask(n, http.MethodGet, "/read/x", "o"+n); r.status != 401 {
				t.Errorf("old key at %s: got %d, want 401", n, r.status)
			}
			for _, id := range []string{"cut" + n, "once" + n} {
				if got := w.runs(id); got > 1 {
					t.Errorf("%s ran %d times, want once at most", id, got)
				}
			}
		}
	})
}

// The address of a server belongs to another one before the nodes can know it: that one
// runs nothing that was meant for its predecessor, and callers are served elsewhere.
func TestReusedAddress(t *testing.T) {
	play(t, func(w *world) {
		w.ask("a1", http.MethodGet, "/read/x", "before") // connections are open
		w.draft("a1", "/draft/x", "dbefore")
		before := map[string]int{}
		for _, id := range []string{"plain-a", "encode-a", "rank-a", "model-a"} {
			s := w.servers[id]
			before[id] = len(s.Runs()) + len(s.Calls())
			s.ID = "successor of " + id
			w.results.Restart(s)
		}
		for i := range 6 {
			prompt := fmt.Sprintf("%x:800,bb:200", i) // each goes to another model server
			for _, n := range []string{"a1", "c1"} {
				if r := w.ask(n, http.MethodGet, "/read/x", fmt.Sprint("r", n, i)); r.status != 200 {
					t.Errorf("read at %s: got %d, want 200", n, r.status)
				}
				if r := w.ask(n, http.MethodPost, "/file/x", fmt.Sprint("f", n, i)); r.status != 200 {
					t.Errorf("file at %s: got %d, want 200", n, r.status)
				}
				if r := w.draft(n, "/once/x", fmt.Sprint("d", n, i), "X-Bergamotspring-Prefix-Hash", prompt); r.status != 200 || r.body != events(6) {
					t.Errorf("draft at %s: got %d %v %q", n, r.status, r.err, r.body)
				}
			}
		}
		for id, n := range before {
			s := w.servers[id]
			if got := len(s.Runs()) + len(s.Calls()); got != n {
				t.Errorf("the successor of %s ran %d requests of its predecessor", id, got-n)
			}
		}
	})
}

// A caller leaves: the server that works for it is told within the platform's bound, and
// what was made for it is freed.
func TestCallerLeaves(t *testing.T) {
	const bound = 500 * time.Millisecond
	for _, c := range []struct {
		name, path string
		model      bool
		after      time.Duration
		runs       int // that are under way as the caller leaves
	}{
		{"from a plain server", "/file/x", false, 300 * time.Millisecond, 1},
		{"from a stream", "/draft/x", true, 1200 * time.Millisecond, 1},
		{"from the first stage", "/draft/x", true, 100 * time.Millisecond, 0},
		{"from the second stage", "/draft/x", true, 350 * time.Millisecond, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			play(t, func(w *world) {
				for _, s := range w.servers {
					s.Gap = time.Second
				}
				w.servers["plain-a"].Next(outside.FaultMute)
				ctx, leave := context.WithTimeout(context.Background(), c.after)
				defer leave()
				var more []string
				if c.model {
					more = model("left")
				}
				w.send(ctx, "a1", http.MethodPost, c.path, "left", more...)
				left := time.Now()
				time.Sleep(2 * time.Second)
				n := 0
				for id, s := range w.servers {
					for _, at := range s.Left() {
						n++
						if d := at.Sub(left); d > bound {
							t.Errorf("%s worked for %v after the caller left", id, d)
						}
					}
					if got := w.results.Held(id); got != 0 {
						t.Errorf("%s holds %d results of a request that was left", id, got)
					}
				}
				if n != c.runs || w.runs("left") != c.runs {
					t.Errorf("%d runs of %d ended as the caller left, want %d", n, w.runs("left"), c.runs)
				}
			})
		})
	}
}
