package edge

import (
	"maps"
	"sync"
	"testing"
	"time"

	"bergamotspring/io/standin"
	platformstandin "bergamotspring/platform/standin"
)

// marksForgotten is how long nodes remember a handle, unless another one comes meanwhile.
const marksForgotten = 11 * time.Second

const slowBatch = 1300 * time.Millisecond

// startAnew crashes a server of the first stage and starts another process at its address. No entry tells yet.
func (w *testFleet) startAnew(s *platformstandin.Server, id string) *platformstandin.Server {
	w.net.SetHost(hostOf(s.Address), standin.HostRefuses)
	w.results.Restart(s)
	p := w.newServer("encode", id, s.Address)
	p.Started, p.HidesStart = time.Now(), s.HidesStart
	w.processes.Store(s.Address, p)
	w.net.SetHost(hostOf(s.Address), standin.HostUp)
	return p
}

// onlyStages lets requests use one server of each stage, whose stages need no other. It returns that of the first
// stage, whose entry tells its start, and its state too unless hideStart is set; the other one takes slowBatch for a batch.
func (w *testFleet) onlyStages(hideStart bool) *platformstandin.Server {
	w.configure(2, func(c map[string]any) {
		l := c["services"].([]any)
		rank := maps.Clone(l[2].(map[string]any))
		rank["segments"] = maps.Clone(rank["segments"].(map[string]any))
		rank["segments"].(map[string]any)["call-ms"] = slowBatch.Milliseconds()
		l[2] = rank
		draft := c["route-table"].([]any)[3].(map[string]any)
		draft["stages"] = []any{
			map[string]any{"service": "encode", "after": []int{}, "size-bytes": 1000},
			map[string]any{"service": "rank", "after": []int{}, "size-bytes": 1000},
		}
	})
	for _, id := range []string{"encode-a", "encode-c", "rank-a", "rank-c"} {
		w.store.Remove("servers", id)
	}
	w.servers["encode-b"].HidesStart = hideStart
	s := w.startAnew(w.servers["encode-b"], "encode-b")
	w.register(s, "encode", "b", "ready", 0)
	w.servers["rank-b"].BatchTime = slowBatch
	time.Sleep(time.Second)
	return s
}

// A stage server ends and starts again while a request waits that has results there; its entry tells so much later, or
// is replaced by that of another server at the address; its state may not tell it at all. The handles are given out again:
// no request runs with the results of another one, and both are served.
func TestHandlesGivenOutAgain(t *testing.T) {
	for name, restart := range map[string]func(*testFleet, *platformstandin.Server){
		"same id": func(w *testFleet, s *platformstandin.Server) { w.startAnew(s, s.ID) },
		"another id at its address": func(w *testFleet, s *platformstandin.Server) {
			w.register(w.startAnew(s, "encode-x"), "encode", "b", "ready", 0)
			w.store.Remove("servers", s.ID)
			time.Sleep(50 * time.Millisecond)
		},
		"another id beside its entry": func(w *testFleet, s *platformstandin.Server) {
			w.register(w.startAnew(s, "encode-x"), "encode", "b", "ready", 0)
			time.Sleep(50 * time.Millisecond)
		},
	} {
		for _, hideStart := range []bool{false, true} {
			runFleet(t, func(w *testFleet) {
				s := w.onlyStages(hideStart)
				for _, id := range []string{"first", "second"} { // after which the first handle is forgotten
					w.stream("a1", "/draft/x", id, "X-Bergamotspring-Chunks", "2,1")
					time.Sleep(marksForgotten)
				}
				var g sync.WaitGroup
				g.Go(func() {
					w.wantStream(w.stream("a1", "/draft/x", "waits", "X-Bergamotspring-Chunks", "2,1"), "the request that waits: %s, start hidden: %v", name, hideStart)
				})
				time.Sleep(400 * time.Millisecond)
				restart(w, s)
				w.wantStream(w.stream("a1", "/draft/x", "next", "X-Bergamotspring-Chunks", "8,1"), "the next request: %s, start hidden: %v", name, hideStart)
				g.Wait()
				if l := w.results.ForeignInputs; len(l) > 0 {
					t.Errorf("%s, start hidden: %v: inputs of other requests: %v", name, hideStart, l)
				}
			})
		}
	}
}
