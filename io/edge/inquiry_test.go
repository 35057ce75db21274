package edge

import (
	"sync"
	"testing"
	"time"

	"bergamotspring/io/standin"
)

// queueTime is how long a model server keeps a request before it fetches its inputs.
const queueTime = 1200 * time.Millisecond

// oneStageServer lets streams have one stage, whose only server gives out handles anew when it starts again.
func (w *testFleet) oneStageServer() {
	w.configureRoute(2, "draft", map[string]any{"latency-goal-ms": 3000, "stages": []any{map[string]any{"service": "encode", "after": []int{}, "size-bytes": 1000}}})
	for _, id := range []string{"encode-a", "encode-c"} {
		w.store.Remove("servers", id)
	}
	s := w.startAnew(w.servers["encode-b"], "encode-b")
	w.register(s, "encode", "b", "ready", 0)
	for _, m := range w.all("model") {
		m.QueueTime = queueTime
	}
	time.Sleep(time.Second)
}

// Guards against results of other requests: a stage server starts again and gives out handles anew, while a request waits at a
// model server that another coordinator has granted it, of another region or lost. Both requests are served.
func TestReadersOfOtherCoordinator(t *testing.T) {
	for _, c := range []struct {
		name        string
		waits, next string // nodes
		lose        string // node that is killed
	}{
		{name: "of another region", waits: "c1", next: "a1"},
		{name: "of another region, the other way round", waits: "a2", next: "c1"},
		{name: "lost", waits: "a2", next: "b1", lose: "a1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			runFleet(t, func(w *testFleet) {
				w.oneStageServer()
				var g sync.WaitGroup
				g.Go(func() {
					w.wantStream(w.stream(c.waits, "/draft/x", "waits", "X-Bergamotspring-Chunks", "2"), "the request that waits")
				})
				time.Sleep(500 * time.Millisecond)
				if c.lose != "" {
					w.kill(c.lose)
				}
				w.register(w.startAnew(w.servers["encode-b"], "encode-b"), "encode", "b", "ready", 0)
				time.Sleep(50 * time.Millisecond)
				w.wantStream(w.stream(c.next, "/draft/x", "next", "X-Bergamotspring-Chunks", "8"), "the next request")
				g.Wait()
				if l := w.results.ForeignInputs; len(l) > 0 {
					t.Errorf("inputs of other requests: %v", l)
				}
			})
		})
	}
}

// A stage server that starts again is used at once where nothing reads results of the process before, and soon where a node does
// not answer.
func TestNewProcessIsUsed(t *testing.T) {
	for name, cut := range map[string]func(*testFleet){
		"all nodes answer": func(*testFleet) {},
		"a node is killed": func(w *testFleet) { w.kill("a2") },
		"a node is silent": func(w *testFleet) { w.net.SetHost("10.0.0.2", standin.HostGone) },
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, func(w *testFleet) {
				w.oneStageServer()
				for _, m := range w.all("model") {
					m.QueueTime = 0
				}
				w.wantStream(w.stream("a1", "/draft/x", "before", "X-Bergamotspring-Chunks", "2"), "before")
				cut(w)
				w.register(w.startAnew(w.servers["encode-b"], "encode-b"), "encode", "b", "ready", 0)
				time.Sleep(1500 * time.Millisecond)
				r := w.stream("a1", "/draft/x", "after", "X-Bergamotspring-Chunks", "2")
				w.wantStream(r, "after")
				if name != "a node is silent" && r.took > time.Second {
					t.Errorf("served after %v", r.took)
				}
			})
		})
	}
}

// Guards against results of other requests (review case 12): a stage server starts again and gives out handles anew, while
// the coordinator that has granted a request does not answer the others for longer than a lost node would be waited for. The
// request still waits at its model server. Both requests are served.
func TestReadersOfSilentCoordinator(t *testing.T) {
	const silent = 5 * time.Second
	runFleet(t, func(w *testFleet) {
		w.oneStageServer()
		w.configureRoute(3, "draft", map[string]any{"timeout-ms": 15000, "latency-goal-ms": 9000, "stages": []any{map[string]any{"service": "encode", "after": []int{}, "size-bytes": 1000}}})
		for _, d := range []string{"a", "b", "c"} {
			w.servers["model-"+d].QueueTime = 6800 * time.Millisecond
		}
		time.Sleep(time.Second)
		cut := func(on bool) {
			for _, ip := range []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"} {
				w.net.SetCut("10.0.0.4", ip, on)
				w.net.SetCut(ip, "10.0.0.4", on)
			}
		}
		var g sync.WaitGroup
		g.Go(func() {
			w.wantStream(w.stream("c1", "/draft/x", "waits", "X-Bergamotspring-Deadline-Ms", "15000", "X-Bergamotspring-Chunks", "2"), "the request that waits")
		})
		time.Sleep(500 * time.Millisecond)
		w.register(w.startAnew(w.servers["encode-b"], "encode-b"), "encode", "b", "ready", 0)
		cut(true)
		time.Sleep(100 * time.Millisecond)
		g.Go(func() {
			w.wantStream(w.stream("a1", "/draft/x", "next", "X-Bergamotspring-Deadline-Ms", "15000", "X-Bergamotspring-Chunks", "8"), "the next request")
		})
		time.Sleep(silent)
		cut(false)
		g.Wait()
		if l := w.results.ForeignInputs; len(l) > 0 {
			t.Errorf("inputs of other requests: %v", l)
		}
	})
}
