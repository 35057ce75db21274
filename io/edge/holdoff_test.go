package edge

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"bergamotspring/core/relay"
	platformstandin "bergamotspring/platform/standin"
)

// rejectFor makes a server reject all requests with a Retry-After.
func rejectFor(s *platformstandin.Server, retryAfter string) {
	s.RetryAfter = retryAfter
	s.SharedFault = func() platformstandin.Fault { return platformstandin.FaultReject }
}

// rejectOnce makes a server reject its next request with a Retry-After. It returns a function that
// returns when it did, the zero time if it has not.
func rejectOnce(s *platformstandin.Server, retryAfter string) func() time.Time {
	var mu sync.Mutex
	var at time.Time
	s.RetryAfter = retryAfter
	s.SharedFault = func() (f platformstandin.Fault) {
		mu.Lock()
		defer mu.Unlock()
		if at.IsZero() {
			f, at = platformstandin.FaultReject, time.Now()
		}
		return f
	}
	return func() time.Time {
		mu.Lock()
		defer mu.Unlock()
		return at
	}
}

// used returns the server of failure domain a or b that has served a request.
func (w *testFleet) used(kind string) *platformstandin.Server {
	s := w.servers[kind+"-a"]
	if len(s.Runs())+len(s.BatchSizes()) == 0 {
		s = w.servers[kind+"-b"]
	}
	return s
}

// streamTogether requests n streams of a node, 50 ms apart, each of which must be whole.
func (w *testFleet) streamTogether(t *testing.T, node string, n int) {
	var g sync.WaitGroup
	for i := range n {
		g.Go(func() {
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			if r := w.stream(node, "/draft/x", fmt.Sprint("together", i)); r.status != 200 || r.body != fullStream(6) {
				t.Errorf("got %d %q, want the whole stream", r.status, r.body)
			}
		})
	}
	g.Wait()
}

// arrivedSince counts the requests that reached a server after a time.
func arrivedSince(s *platformstandin.Server, t time.Time) int {
	n := 0
	for _, a := range s.Arrivals() {
		if a.At.After(t) {
			n++
		}
	}
	return n
}

// A server that rejects a request with Retry-After gets nothing from the node for that time, while
// other nodes send to it; a value that is no duration is ignored.
func TestHoldOff(t *testing.T) {
	for _, c := range []struct {
		retryAfter string
		held       time.Duration
	}{{"2", 2 * time.Second}, {"0.75", 750 * time.Millisecond}, {"", 0}, {"0", 0}, {"-1", 0}, {"soon", 0}, {"NaN", 0}, {"Fri, 04 Dec 2026 21:00:00 GMT", 0}} {
		runFleet(t, func(w *testFleet) {
			s := w.servers["plain-a"]
			rejectFor(s, c.retryAfter)
			get := func() {
				w.wantOK(w.request("a1", http.MethodGet, "/read/x", fmt.Sprint(time.Now().UnixNano())), "Retry-After %q", c.retryAfter)
			}
			get()
			rejected := time.Now()
			for time.Since(rejected) < c.held-100*time.Millisecond {
				get()
			}
			if n := arrivedSince(s, rejected); n != 0 {
				t.Errorf("Retry-After %q: got %d requests at the server, want 0", c.retryAfter, n)
			}
			w.request("a2", http.MethodGet, "/read/x", "of a2")
			if n := arrivedSince(s, rejected); n != 1 {
				t.Errorf("Retry-After %q: got %d requests of another node, want 1", c.retryAfter, n)
			}
			time.Sleep(100 * time.Millisecond)
			get()
			if n := arrivedSince(s, rejected); n != 2 {
				t.Errorf("Retry-After %q: got %d requests at the end, want 2", c.retryAfter, n)
			}
		})
	}
}

// Requests whose connections are opened as a server rejects are kept back. They don't count against it: it gets
// requests again at the end of its hold-off.
func TestRequestsKeptBackByHoldOff(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		w.net.Latency = func(string, string) time.Duration { return 20 * time.Millisecond }
		s := w.servers["plain-a"]
		start := time.Now()
		s.RetryAfter = "1"
		s.SharedFault = func() platformstandin.Fault {
			if time.Since(start) < 500*time.Millisecond {
				return platformstandin.FaultReject
			}
			return platformstandin.FaultNone
		}
		var g sync.WaitGroup
		for i := range 400 {
			g.Go(func() {
				time.Sleep(time.Duration(i) * 5 * time.Millisecond)
				w.request("a1", http.MethodGet, "/read/x", fmt.Sprint(i))
			})
		}
		g.Wait()
		if n := arrivedSince(s, start.Add(500*time.Millisecond)) - arrivedSince(s, start.Add(1500*time.Millisecond)); n == 0 {
			t.Error("got no request within 0.5 s of the end of the hold-off")
		}
		if got := w.log.matching(s.ID, "asked for a pause"); len(got) < 3 {
			t.Errorf("got %d requests that were kept back, want several", len(got))
		}
	})
}

// Servers of 450 requests a second together, which reject with Retry-After when all their places are taken, are
// filled for a moment. Callers of 200 a second, who return as they are told, are served again soon: at the
// end of their pauses the servers don't get all requests at once.
func TestServersHoldOffWhenFull(t *testing.T) {
	const rate, places, seconds = 200, 6, 6
	runFleet(t, func(w *testFleet) {
		for _, d := range []string{"a", "b", "c"} {
			s := w.servers["plain-"+d]
			s.ServiceTime, s.RetryAfter = 40*time.Millisecond, "1"
			var mu sync.Mutex
			var taken [places]time.Time // until when
			s.SharedFault = func() platformstandin.Fault {
				mu.Lock()
				defer mu.Unlock()
				for i := range taken {
					if time.Now().After(taken[i]) {
						taken[i] = time.Now().Add(s.ServiceTime)
						return platformstandin.FaultNone
					}
				}
				return platformstandin.FaultReject
			}
		}
		var served atomic.Int32
		var g sync.WaitGroup
		for i := range rate * seconds {
			g.Go(func() {
				if at := i * 1000 / rate; at < 1000 || at > 1100 { // all those of 0.1 s come together
					time.Sleep(time.Duration(at) * time.Millisecond)
				} else {
					time.Sleep(time.Second)
				}
				if w.persist([]string{"a1", "a2", "b1"}[i%3], "/read/x", fmt.Sprint(i)) {
					served.Add(1)
				}
			})
		}
		g.Wait()
		if got := served.Load(); got < rate*seconds*3/4 {
			t.Errorf("got %d of %d requests served, want three quarters", got, rate*seconds)
		}
	})
}

// persist sends a request again for 4 s, each time after the Retry-After, until it is served, and reports
// whether it was.
func (w *testFleet) persist(node, path, id string) bool {
	end := time.Now().Add(4 * time.Second)
	for n := 0; time.Now().Before(end); n++ {
		r := w.request(node, http.MethodGet, path, fmt.Sprint(id, ".", n), "X-Bergamotspring-Deadline-Ms", fmt.Sprint(time.Until(end).Milliseconds()))
		if r.status == 200 {
			return true
		}
		d, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
		if err != nil { // its time has passed
			return false
		}
		time.Sleep(time.Duration(d * float64(time.Second)))
	}
	return false
}

// A server starts again under its id and rejects a request before the node has read its new entry: the
// hold-off is that of the process that rejected.
func TestHoldOffOfRestartedServer(t *testing.T) {
	for kind, path := range map[string]string{"plain": "/read/x", "encode": "/draft/x"} {
		runFleet(t, func(w *testFleet) {
			w.stream("a1", path, "0")
			s := w.used(kind)
			w.registerProcess(s, kind, s.ID[len(s.ID)-1:], 1000, 1)
			time.Sleep(2 * time.Second)
			startedAt := int(time.Now().UnixMilli())
			rejectedAt := rejectOnce(s, "4")
			w.stream("a1", path, "1")
			w.registerProcess(s, kind, s.ID[len(s.ID)-1:], startedAt, 1)
			time.Sleep(1200 * time.Millisecond)
			var g sync.WaitGroup
			for i := range 8 {
				g.Go(func() { w.stream("a1", path, fmt.Sprint("together", i)) })
			}
			g.Wait()
			rejected := rejectedAt()
			n := 0
			for _, a := range s.Arrivals() {
				if a.At.After(rejected) && a.From == w.nodes["a1"].node.Settings.IP {
					n++
				}
			}
			if rejected.IsZero() || n != 0 {
				t.Errorf("%s: got %d requests after the rejection at %v, want 0", s.ID, n, rejected)
			}
			if got := w.log.matching(s.ID, "asked for a pause"); len(got) > 1 {
				t.Errorf("%s: got %d calls that the node started during the hold-off", s.ID, len(got))
			}
		})
	}
}

// If all servers of a service hold the node off, requests are refused at once, with the time after which
// the first one takes requests again, or a third of the request's time if that is less.
func TestAllServersHoldOff(t *testing.T) {
	for _, c := range []struct {
		path, server, first string
		want                float64
	}{{"/read/x", "plain", "1.00", 1}, {"/read/x", "plain", "60", 1.32}, {"/draft/x", "model", "1.00", 1}, {"/south/x", "plain", "1.00", 1.32}} {
		runFleet(t, func(w *testFleet) {
			for i, s := range w.all(c.server) {
				rejectFor(s, []string{"90", c.first, "90"}[i])
			}
			var start time.Time
			var r response
			for i := range 4 { // until all have rejected one
				start = time.Now()
				r = w.request("a2", http.MethodPost, c.path, fmt.Sprint(i), "X-Bergamotspring-Chunks", "0,0")
				if r.status != 503 {
					t.Errorf("%s: got %d, want 503", c.path, r.status)
				}
			}
			got, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
			if err != nil || got > c.want+0.01 || got < c.want-0.3 || r.took > 20*time.Millisecond {
				t.Errorf("%s: refused after %v with Retry-After %v, want %v at once", c.path, r.took, got, c.want)
			}
			for _, s := range w.all(c.server) {
				if n := arrivedSince(s, start); n != 0 {
					t.Errorf("%s: got %d requests at %s, want 0", c.path, n, s.ID)
				}
			}
		})
	}
}

// Model servers that hold the node off until a request's stages are complete at the latest may get it.
func TestHoldOffEndsBeforeStages(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		for _, d := range []string{"a", "b", "c"} {
			rejectOnce(w.servers["model-"+d], "0.2")
		}
		w.stream("a2", "/draft/x", "rejected", "X-Bergamotspring-Chunks", "0,0")
		if r := w.stream("a2", "/draft/x", "later"); r.status != 200 || len(w.log.matching(`"not_run"`)) != 3 {
			t.Errorf("got %d after %d rejections, want 200 after 3", r.status, len(w.log.matching(`"not_run"`)))
		}
	})
}

// Nothing is admitted to a server that holds the node off. A release is to one that is leaving, a request is not.
func TestServerGuard(t *testing.T) {
	var cache relay.Cache
	g := serverGuard{cache: &cache, log: zap.NewNop(), onHoldOff: func(relay.Process, time.Duration) {}}
	g.holdOffs.Now = time.Now
	held, left := &relay.Server{ID: "1", StartedAt: 5}, &relay.Server{ID: "2", StartedAt: 5}
	for _, s := range []*relay.Server{held, left} {
		cache.Put(s)
	}
	g.observe(held.Process(), 503, http.Header{"Retry-After": {"60"}})
	g.observe(left.Process(), 200, http.Header{"Server-Leaving": {"1"}})
	for _, c := range []struct {
		server            *relay.Server
		request, messages error
	}{{held, relay.ErrHeldOff, relay.ErrHeldOff}, {left, relay.ErrLeaving, nil}} {
		if got := g.guard(c.server).Admit(); !errors.Is(got, c.request) {
			t.Errorf("request to %s: got %v, want %v", c.server.ID, got, c.request)
		}
		if got := g.messageGuard(c.server).Admit(); !errors.Is(got, c.messages) {
			t.Errorf("message to %s: got %v, want %v", c.server.ID, got, c.messages)
		}
	}
}

// A model server that holds a node off gets no request of that node, also none that the coordinator
// placed there before; it serves other nodes.
func TestModelServerHoldOff(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		w.stream("a2", "/draft/x", "0")
		s := w.used("model")
		rejectedAt := rejectOnce(s, "3")
		w.streamTogether(t, "a2", 6) // of the later ones some are placed after the first response
		rejected := rejectedAt()
		if got := len(w.log.matching(`"send_failed"`, s.ID, "asked for a pause")); got == 0 {
			t.Errorf("got no placement at %s after its response", s.ID)
		}
		if got := len(w.log.matching(`"repeated"`)); got > 2 {
			t.Errorf("got %d retries from the budget, want those of requests that were rejected", got)
		}
		if n := arrivedSince(s, rejected.Add(20*time.Millisecond)); n != 0 {
			t.Errorf("got %d requests at %s, want 0", n, s.ID)
		}
		if r := w.stream("b1", "/draft/x", "of b1", "X-Bergamotspring-Chunks", "0,0"); r.status != 200 || arrivedSince(s, rejected.Add(20*time.Millisecond)) != 1 {
			t.Errorf("got %d and %d requests of another node, want 200 and 1", r.status, arrivedSince(s, rejected.Add(20*time.Millisecond)))
		}
		unsent := len(w.log.matching(`"send_failed"`, s.ID))
		w.wantOK(w.stream("a2", "/draft/x", "later"), "stream")
		if got := len(w.log.matching(`"send_failed"`, s.ID)) - unsent; got != 0 {
			t.Errorf("got %d more placements at %s, want 0", got, s.ID)
		}
	})
}

// A stage server that rejects a batch with Retry-After gets no batch, release or query of the coordinator
// for that time.
func TestStageServerHoldOff(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		w.stream("a1", "/draft/x", "0")
		s := w.used("encode")
		rejectedAt := rejectOnce(s, "3")
		for i := range 3 {
			w.wantOK(w.stream("a1", "/draft/x", fmt.Sprint("held", i)), "stream")
		}
		rejected := rejectedAt()
		if rejected.IsZero() || time.Since(rejected) > 2900*time.Millisecond || arrivedSince(s, rejected) != 0 {
			t.Errorf("got %d requests at %s %v after its response, want 0", arrivedSince(s, rejected), s.ID, time.Since(rejected))
		}
		if got := w.log.matching(s.ID, "asked for a pause"); len(got) != 0 {
			t.Errorf("got calls that the coordinator started during the hold-off: %v", got)
		}
		time.Sleep(3 * time.Second)
		if r := w.stream("a1", "/draft/x", "after"); r.status != 200 || arrivedSince(s, rejected) == 0 {
			t.Errorf("got %d and %d requests at %s after the hold-off, want 200 and some", r.status, arrivedSince(s, rejected), s.ID)
		}
	})
}
