package edge

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"bergamotspring/io/standin"
	platformstandin "bergamotspring/platform/standin"
)

// crashOnRequests makes all plain servers crash on requests whose id begins with d; each is back after 2 s. It returns
// a function that returns the times of the crashes.
func (w *testFleet) crashOnRequests() func() []time.Time {
	var mu sync.Mutex
	var l []time.Time
	for _, s := range w.all("plain") {
		s.Raw = func(x platformstandin.Run) string {
			if x.ID[0] != 'd' {
				return ""
			}
			mu.Lock()
			l = append(l, time.Now())
			mu.Unlock()
			host := hostOf(s.Address)
			w.net.SetHost(host, standin.HostRefuses)
			time.AfterFunc(2*time.Second, func() { w.net.SetHost(host, standin.HostUp) })
			return "\n"
		}
	}
	return func() []time.Time {
		mu.Lock()
		defer mu.Unlock()
		return slices.Clone(l)
	}
}

// Two callers send a request that crashes servers four times each at once, and again later: from 4 s after the third
// crash on, at most three of them reach a server, and other requests are served.
func TestCrashingRequestAtOnce(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		crashes := w.crashOnRequests()
		time.Sleep(time.Second)
		start := time.Now()
		for round, at := range []time.Duration{0, 4300 * time.Millisecond, 6800 * time.Millisecond, 9300 * time.Millisecond} {
			time.Sleep(time.Until(start.Add(at)))
			var g sync.WaitGroup
			for i := range 8 {
				node := []string{"a1", "a2", "b1", "c1"}[i%4]
				g.Go(func() { w.request(node, http.MethodGet, "/read/same", fmt.Sprint("d", round, i)) })
			}
			g.Wait()
			time.Sleep(2100 * time.Millisecond)
			for _, node := range []string{"a1", "a2", "b1", "c1"} {
				w.wantOK(w.request(node, http.MethodGet, "/read/other", fmt.Sprint("s", round, node)), "another request after round %d", round)
			}
		}
		l := crashes()
		if len(l) < 3 {
			t.Fatalf("%d crashes, want three at least", len(l))
		}
		late := slices.DeleteFunc(slices.Clone(l), func(at time.Time) bool { return at.Sub(l[2]) < contactTime })
		if len(late) > 3 {
			t.Errorf("%d of %d crashes came %v after the third one or later, want three at most", len(late), len(l), contactTime)
		}
	})
}
