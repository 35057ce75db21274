package edge

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"bergamotspring/core/placement"
	"bergamotspring/io/standin"
	platformstandin "bergamotspring/platform/standin"
)

// onlyServer removes the servers of a service but that of failure domain b, which it lets all nodes
// use once.
func (w *testFleet) onlyServer(service string) *platformstandin.Server {
	w.store.Remove("servers", service+"-a")
	w.store.Remove("servers", service+"-c")
	time.Sleep(time.Second)
	w.stream("a1", "/draft/x", "first")
	time.Sleep(time.Second)
	return w.servers[service+"-b"]
}

// A stage server sends its refusal of a batch once more, in place of the response to the next batch,
// whose own response is then due on the connection: no request gets the results of another one.
func TestRepeatedRefusalOfBatch(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		s := w.onlyServer("encode")
		w.repeater.On.Store(true)
		s.QueueFaults(platformstandin.FaultReject)
		ctx, cancel := context.WithTimeout(context.Background(), 110*time.Millisecond) // in the second batch
		defer cancel()
		w.send(ctx, "a1", http.MethodPost, "/draft/x", "x", modelHeaders("x")...)
		if r := w.stream("a1", "/draft/x", "y"); r.status != 200 || r.body != fullStream(6) {
			t.Errorf("got %d %v %q", r.status, r.err, r.body)
		}
		if l := w.results.ForeignInputs; len(l) > 0 {
			t.Errorf("inputs of other requests: %v", l)
		}
	})
}

// A stage server refuses a batch, so that its connection is closed, and then sends the response of the
// batch before on the next connection: no request gets the results of another one.
func TestCopyOfResponseOnAnotherConnection(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		s := w.onlyServer("rank")
		for _, s := range w.all("model") {
			s.ServiceTime = 500 * time.Millisecond // the results are still in use
		}
		s.QueueFaults(platformstandin.FaultNone, platformstandin.FaultReject, platformstandin.FaultCopy)
		var g sync.WaitGroup
		for i := range 2 {
			g.Go(func() { w.stream("a1", "/draft/x", fmt.Sprint("c", i)) })
			time.Sleep(50 * time.Millisecond) // the second waits for the next batch
		}
		g.Wait()
		if l := w.results.ForeignInputs; len(l) > 0 {
			t.Errorf("inputs of other requests: %v", l)
		}
	})
}

// All servers send each response twice from the start: requests are served, each with its own results.
func TestServedWhileResponsesRepeat(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		w.repeater.On.Store(true)
		for i := range 6 {
			id := fmt.Sprint("r", i)
			if r := w.stream([]string{"a1", "a2", "b1"}[i%3], "/draft/x", id); r.status != 200 || r.body != fullStream(6) || w.runCount(id) != 1 {
				t.Errorf("request %d: got %d %v %q, %d runs", i, r.status, r.err, r.body, w.runCount(id))
			}
			if r := w.request("a1", http.MethodGet, "/read/x", "p"+id); r.status != 200 {
				t.Errorf("plain request %d: got %d %v", i, r.status, r.err)
			}
		}
		if l := w.results.ForeignInputs; len(l) > 0 {
			t.Errorf("inputs of other requests: %v", l)
		}
	})
}

// A model server sends its refusal once more as the same request is sent to it again: the request,
// which it runs then, does not count as not run.
func TestRepeatedRefusalOfRequest(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		s := w.onlyServer("model")
		w.repeater.On.Store(true)
		s.QueueFaults(platformstandin.FaultInputLost)
		if r := w.stream("a1", "/once/x", "again"); r.status != 200 || r.body != fullStream(6) || w.runCount("again") != 1 {
			t.Errorf("got %d %v %q after %d runs, want one run", r.status, r.err, r.body, w.runCount("again"))
		}
		if got := len(w.log.matching(`"not_run"`, "again")); got != 1 {
			t.Errorf("got %d refusals, want the one without its copy", got)
		}
	})
}

// A caller declares its request's id a header of its connection only: the id reaches the server all the same, and a
// copy of the response to the request before it is not taken for its own.
func TestRequestIDInConnectionHeader(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		w.onlyServer("plain")
		w.repeater.On.Store(true)
		for i, path := range []string{"/read/1", "/read/2"} {
			id := fmt.Sprint("c", i)
			r := w.request("a1", http.MethodGet, path, id, "Connection", "X-Bergamotspring-Request-Id")
			if want := "answer of plain-b to " + id; r.status != 200 || r.body != want || w.runCount(id) != 1 {
				t.Errorf("%s: got %d %v %q, want %q", path, r.status, r.err, r.body, want)
			}
		}
	})
}

// A later attempt of a request takes the place of one that still waits, whose node no longer does.
func TestSupersededAttempt(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		time.Sleep(time.Second)
		h := &w.nodes["a1"].node.scheduler
		decided := make(chan int, 2)
		for n := range 2 {
			h.submit(placement.Request{
				Key: placement.Key{ID: "x"}, Attempt: n, Service: "model", InputKey: "k", Goal: 2 * time.Second, Remaining: 4 * time.Second,
				Stages: []placement.StageRequest{{Service: "encode", ResultBytes: 1, Tasks: 1}},
			}, waiter{deliver: func(placement.Decision) { decided <- n }})
		}
		if got := <-decided; got != 1 {
			t.Errorf("got a decision on attempt %d, want the later one", got)
		}
		time.Sleep(time.Second)
		h.mu.Lock()
		defer h.mu.Unlock()
		if len(h.waiting)+len(decided) != 0 {
			t.Errorf("got %d still waiting and %d more decisions, want none", len(h.waiting), len(decided))
		}
	})
}

// Two requests with the same id are in progress at one node or at two. Each gets its own response, also if the other
// one's caller leaves while it waits for its stages.
func TestRepeatedIDInProgress(t *testing.T) {
	for _, nodes := range [][2]string{{"a1", "a1"}, {"a1", "a2"}, {"a2", "a2"}} {
		for _, patience := range []time.Duration{250 * time.Millisecond, time.Second, 4 * time.Second} {
			runFleet(t, func(w *testFleet) {
				for _, s := range w.all("model") {
					s.ServiceTime = 300 * time.Millisecond // the inputs of both are in use
				}
				ctx, cancel := context.WithTimeout(context.Background(), patience)
				defer cancel()
				var g sync.WaitGroup
				g.Go(func() {
					r := w.send(ctx, nodes[0], http.MethodPost, "/once/x", "x", modelHeaders("x")...)
					if ctx.Err() == nil && (r.status != 200 || r.body != fullStream(6)) {
						t.Errorf("%v: the first one got %d %v %q", nodes, r.status, r.err, r.body)
					}
				})
				time.Sleep(100 * time.Millisecond)
				r := w.stream(nodes[1], "/once/x", "x", "X-Bergamotspring-Chunk-Key", "another")
				if r.status != 200 || r.body != fullStream(6) {
					t.Errorf("%v, the first caller leaves after %v: the second one got %d %v %q", nodes, patience, r.status, r.err, r.body)
				}
				g.Wait()
				if l := w.log.matching(`"not_run"`); len(l) > 0 {
					t.Errorf("%v, the first caller leaves after %v: got refusals %v, want none", nodes, patience, l)
				}
				if l := w.results.ForeignInputs; len(l) > 0 {
					t.Errorf("inputs of other requests: %v", l)
				}
			})
		}
	}
}

// A stage server starts again under its id and gives out the same handles as before: its responses are no copies.
func TestHandlesOfNextProcess(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		s := w.onlyServer("encode")
		for i := range 3 {
			w.net.SetHost(hostOf(s.Address), standin.HostRefuses)
			w.results.Restart(s)
			w.net.SetHost(hostOf(s.Address), standin.HostUp)
			s.Started = time.Now()
			w.register(s, "encode", "b", "ready", 0)
			time.Sleep(time.Second)
			r := w.stream("a1", "/draft/x", fmt.Sprint("r", i))
			if r.status != 200 || r.body != fullStream(6) || r.took > 1500*time.Millisecond {
				t.Errorf("after %d restarts: got %d %v %q after %v", i+1, r.status, r.err, r.body, r.took)
			}
		}
		if l := w.log.matching("foreign_response"); len(l) > 0 {
			t.Errorf("got %v, want no response taken for a copy", l)
		}
	})
}
