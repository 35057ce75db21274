package edge

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"bergamotspring/io/standin"
	platformstandin "bergamotspring/platform/standin"
)

// crashOnRequests makes all plain servers crash on requests whose id begins with d, after the first part of a response, if
// not empty; each is back after 2 s. It returns a function that returns the times of the crashes.
func (w *testFleet) crashOnRequests(part string) func() []time.Time {
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
			time.AfterFunc(2*time.Second, func() { w.net.SetHost(host, standin.HostUp) })
			if part == "" {
				w.net.SetHost(host, standin.HostRefuses)
				return "\n"
			}
			time.AfterFunc(1500*time.Microsecond, func() { w.net.SetHost(host, standin.HostRefuses) }) // what was sent arrives
			return head(x, "200 OK", fmt.Sprint("Content-Length: ", 2*len(part))) + part
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
		crashes := w.crashOnRequests("")
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

// A request crashes servers in the middle of long responses: it is refused after the third crash, and the servers get
// nothing for a time after theirs. A caller that leaves such a response does not count as a crash.
func TestCrashInLongResponse(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		crashes := w.crashOnRequests(strings.Repeat("x", 3<<20))
		time.Sleep(time.Second)
		for i := range 8 {
			w.request("a1", http.MethodGet, "/read/same", fmt.Sprint("d", i))
			w.wantOK(w.request("a1", http.MethodGet, "/read/other", fmt.Sprint("s", i)), "another request after %d deadly ones", i+1)
			time.Sleep(2500 * time.Millisecond)
		}
		if n := len(crashes()); n != 3 {
			t.Errorf("got %d crashes by 8 requests, want 3", n)
		}
	})
	runFleet(t, func(w *testFleet) {
		for _, s := range w.all("plain") {
			s.Size = 64 << 20
		}
		for i := range 8 {
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			w.send(ctx, "a1", http.MethodGet, "/read/same", fmt.Sprint("left", i))
			cancel()
			time.Sleep(time.Second)
		}
		if l := w.log.matching("server_crashed"); len(l) > 0 {
			t.Errorf("got %v, want no crash", l)
		}
	})
}
