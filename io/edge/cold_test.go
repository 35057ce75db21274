package edge

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

// coldRate is how many requests a second a cold plain server takes in the tests.
const coldRate = 2

// sendAll has each node send plain requests for some time, every 50 ms, and returns how many were not served.
func (w *testFleet) sendAll(what string, d time.Duration) (refused int) {
	var mu sync.Mutex
	var g sync.WaitGroup
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, node := range []string{"a1", "a2", "b1", "c1"} {
			g.Go(func() {
				r := w.request(node, http.MethodGet, "/read/x", fmt.Sprint(what, node, time.Now().UnixMilli()))
				if r.status == 503 && r.took > 100*time.Millisecond {
					w.t.Errorf("%s: refused after %v, want it at once", what, r.took)
				}
				mu.Lock()
				defer mu.Unlock()
				if r.status != 200 {
					refused++
				}
			})
		}
	}
	g.Wait()
	return refused
}

// A plain server is cold: all nodes together send it no more than it can take, the others serve the rest, and it is
// used like them once it is warm. While all are cold, the rest is refused at once.
func TestColdPlainServer(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		w.configure(2, func(c map[string]any) {
			c["services"].([]any)[0].(map[string]any)["cold-per-s"] = coldRate
		})
		s := w.servers["plain-a"]
		w.register(s, "plain", "a", "ready", 3*time.Second)
		time.Sleep(1500 * time.Millisecond) // until all have read it
		before := len(s.Runs())
		if n := w.sendAll("one cold ", 1500*time.Millisecond); n > 0 {
			t.Errorf("%d requests were refused beside warm servers, want none", n)
		}
		if n := len(s.Runs()) - before; n > 2*coldRate {
			t.Errorf("the cold server got %d requests in 1.5 s, want %d at most", n, 2*coldRate)
		}
		before = len(s.Runs())
		w.register(s, "plain", "a", "ready", 0)
		time.Sleep(2 * time.Second)
		w.sendAll("warm ", time.Second)
		if n := len(s.Runs()) - before; n < 10 {
			t.Errorf("the warm server got %d requests in a second, want its part", n)
		}
		for _, x := range w.all("plain") {
			w.register(x, "plain", x.ID[len(x.ID)-1:], "ready", 5*time.Second)
		}
		time.Sleep(2 * time.Second)
		if n := w.sendAll("all cold ", time.Second); n == 0 {
			t.Error("no request was refused by cold servers")
		}
	})
}
