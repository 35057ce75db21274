package edge

// This file tests planned stops and readiness.

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// A graceful stop breaks off no request: those in progress end, and new ones are served until
// the load balancer has observed the stop.
func TestPlannedStop(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		var g sync.WaitGroup
		var running, late response
		w.servers["model-a"].Gap, w.servers["model-b"].Gap = 600*time.Millisecond, 600*time.Millisecond
		g.Go(func() { running = w.stream("a1", "/draft/x", "p1", "X-Bergamotspring-Deadline-Ms", "7000") })
		time.Sleep(100 * time.Millisecond)
		w.nodes["a1"].stop()
		time.Sleep(time.Second)
		g.Go(func() { late = w.request("a1", http.MethodGet, "/read/x", "p2") })
		g.Wait()
		if running.status != 200 || running.body != fullStream(6) {
			t.Errorf("request in progress: got %d %v %q", running.status, running.err, running.body)
		}
		if late.status != 200 || !late.close {
			t.Errorf("request during the stop: got %d, connection closed: %v, want 200 and closed", late.status, late.close)
		}
		if got := strings.Join(w.store.Keys("nodes"), " "); strings.Contains(got, "10.0.0.1:") {
			t.Errorf("the stopping node is still registered: %s", got)
		}
	})
}

// A node stops while requests wait, for a placement or for a server, longer than the stop may take:
// each gets a response before the process ends, and none that says not run has run.
func TestStopAnswersWaitingRequests(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		w.configure(2, func(c map[string]any) {
			for _, r := range c["route-table"].([]any) {
				r.(map[string]any)["timeout-ms"] = 20000
			}
		})
		for _, d := range []string{"a", "b", "c"} {
			w.servers["plain-"+d].ServiceTime = 15 * time.Second
		}
		time.Sleep(500 * time.Millisecond)
		var g sync.WaitGroup
		got := make([]response, 4)
		more := []string{"X-Bergamotspring-Deadline-Ms", "20000", "X-Bergamotspring-Chunks", "40,3"}
		g.Go(func() { got[0] = w.stream("b1", "/draft/x", "w0", more...) })
		g.Go(func() { got[1] = w.request("b1", http.MethodPost, "/file/x", "w1", more...) })
		time.Sleep(100 * time.Millisecond)
		w.nodes["b1"].stop()
		time.Sleep(2500 * time.Millisecond)
		g.Go(func() { got[2] = w.stream("b1", "/draft/x", "w2", more...) })
		g.Go(func() { got[3] = w.request("b1", http.MethodGet, "/read/x", "w3", more...) })
		g.Wait()
		for i, want := range []int{503, 502, 503, 502} {
			r, id := got[i], fmt.Sprint("w", i)
			if r.status != want || r.took > 8*time.Second {
				t.Errorf("%s: got %d %v after %v, want %d before the process ends", id, r.status, r.err, r.took, want)
			}
			if r.status == 503 && w.runCount(id) > 0 {
				t.Errorf("%s ran, but its response says that it did not", id)
			}
		}
	})
}

// A node is ready once it has a configuration. As soon as it stops it is not ready, but it still
// serves requests.
func TestReadiness(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		ready := func(node string) int {
			x := &http.Transport{DialContext: w.net.Dialer("10.8.0.1")}
			defer x.CloseIdleConnections()
			r, err := (&http.Client{Transport: x}).Get("http://" + w.nodes[node].node.Settings.Readiness + "/readyz")
			if err != nil {
				return 0
			}
			_ = r.Body.Close()
			return r.StatusCode
		}
		if got := ready("a1"); got != 200 {
			t.Errorf("a node at work: got %d, want 200", got)
		}
		w.store.Refuse("10.0.0.9", true)
		w.net.SetCut("10.0.0.9", "10.0.0.1", true)
		w.start("a9", "10.0.0.9")
		time.Sleep(200 * time.Millisecond)
		if got := ready("a9"); got != 503 {
			t.Errorf("a node without a configuration: got %d, want 503", got)
		}
		if r := w.request("a9", http.MethodGet, "/read/x", "early"); r.status != 503 || r.header.Get("Retry-After") == "" {
			t.Errorf("a request to it: got %d, want a refusal with a time to come back", r.status)
		}
		w.nodes["b1"].stop()
		time.Sleep(10 * time.Millisecond)
		if got := ready("b1"); got != 503 {
			t.Errorf("a node that stops: got %d, want 503", got)
		}
		w.wantOK(w.request("b1", http.MethodGet, "/read/x", "last"), "a request to it")
	})
}
