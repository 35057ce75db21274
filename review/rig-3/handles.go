package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	freezeTime   = 4 * time.Second        // of the coordinator of a region
	workerDown   = 300 * time.Millisecond // of the stage server
	resultTime   = 4 * time.Second        // handle-s
	batchTime    = 200 * time.Millisecond // call-ms
	taskTime     = 21 * time.Millisecond  // item-ms
	modelSlots   = 96
	busyEvents   = 31 // of the streams that keep the model servers busy
	readerEvents = 5
	readerPieces = 20
	eventPause   = 250 * time.Millisecond
)

// stageZones are the zones of the stage servers: all are in one region, so the coordinators of both use them.
var stageZones = []string{"pampa-norte", "pampa-norte", "pampa-norte", "pampa-sur", "pampa-sur"}

// results are the stored results of all stage servers, by handle.
type results struct {
	mu     sync.Mutex
	owners map[string]string // id of the request
}

func (r *results) put(handle, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.owners[handle] = id
	time.AfterFunc(resultTime, func() { r.free(handle, id) })
}

// free drops a result, if it is still that of a request.
func (r *results) free(handle, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if id == "" || r.owners[handle] == id {
		delete(r.owners, handle)
	}
}

func (r *results) owner(handle string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.owners[handle]
}

// maker returns the server that stores the result of a request, or nil.
func (r *results) maker(l []*stageServer, id string) *stageServer {
	r.mu.Lock()
	defer r.mu.Unlock()
	for h, o := range r.owners {
		for _, s := range l {
			if o == id && strings.HasPrefix(h, s.address+"/") {
				return s
			}
		}
	}
	return nil
}

// freeAll drops the results of a server whose process has ended.
func (r *results) freeAll(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for h := range r.owners {
		if strings.HasPrefix(h, address+"/") {
			delete(r.owners, h)
		}
	}
}

// stageServer is a stage server. Its next process counts its results from 1 again.
type stageServer struct {
	fleet   *fleet
	id      string
	zone    string
	address string
	results *results

	calls sync.Mutex // one at a time
	mu    sync.Mutex
	last  int // number of the last result
	born  time.Time
	http  *http.Server
}

// listen starts a process of the server.
func (s *stageServer) listen() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	h := &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	s.mu.Lock()
	s.address, s.last, s.born, s.http = l.Addr().String(), 0, time.Now(), h
	s.mu.Unlock()
	go func() { _ = h.Serve(l) }()
	s.fleet.putServerAs(s.id, "kafi81c", s.address, s.zone, 1, s.born)
	s.fleet.printf("stage server %s starts", s.id)
	return nil
}

// Close ends the process.
func (s *stageServer) Close() error { return s.http.Close() }

// restart ends the process and starts the next one after a time, under the same id and address.
func (s *stageServer) restart(down time.Duration) error {
	s.fleet.printf("stage server %s crashes", s.id)
	_ = s.Close()
	s.results.freeAll(s.address)
	time.Sleep(down)
	return s.listen()
}

func (s *stageServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Bergamotspring-Instance-Id", s.id)
	if e := r.Header.Get("X-Bergamotspring-Expect-Instance"); e != "" && e != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/stage-run":
		s.run(w, r)
	case "/stage-free":
		s.free(w, r)
	default:
		s.mu.Lock()
		defer s.mu.Unlock()
		reply(w, map[string]any{"queued": 0, "busy": 0, "free-mb": 18, "born": s.born.UnixMilli()})
	}
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // an error means that the caller has gone
}

func (s *stageServer) run(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Items []struct {
			ID    string `json:"id"`
			Stage int    `json:"stage"`
			Index int    `json:"segment"`
		} `json:"items"`
	}
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.calls.Lock()
	defer s.calls.Unlock()
	time.Sleep(batchTime + time.Duration(len(q.Items))*taskTime)
	l := []map[string]string{}
	for _, i := range q.Items {
		s.mu.Lock()
		s.last++
		h := fmt.Sprintf("%s/%d", s.address, s.last)
		s.mu.Unlock()
		s.results.put(h, i.ID)
		s.fleet.printf("stage server %s stores piece %d/%d of %s as %s", s.id, i.Stage, i.Index, i.ID, h)
		l = append(l, map[string]string{"handle": h})
	}
	reply(w, map[string]any{"items": l})
}

func (s *stageServer) free(_ http.ResponseWriter, r *http.Request) {
	var q struct {
		Handles []string `json:"handles"`
	}
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		return
	}
	for _, h := range q.Handles {
		s.fleet.printf("stage server %s is told to free %s", s.id, h)
		s.results.free(h, "")
	}
}

// modelServer is a model server with modelSlots slots. A request fetches its inputs when it gets a slot.
type modelServer struct {
	fleet   *fleet
	id      string
	results *results
	slots   chan struct{}
	foreign atomic.Int64

	mu      sync.Mutex
	waiting map[string]bool // ids of the requests that wait for a slot
}

func (s *modelServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h, id := w.Header(), r.Header.Get("X-Bergamotspring-Request-Id")
	h.Set("X-Bergamotspring-Instance-Id", s.id)
	if id == "" {
		return
	}
	h.Set("X-Bergamotspring-Request-Id", id)
	if r.Header.Get("X-Bergamotspring-Expect-Instance") != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	s.setWaiting(id, true)
	defer s.setWaiting(id, false)
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.slots }()
	s.setWaiting(id, false)
	inputs := r.Header.Get("X-Bergamotspring-Inputs")
	if !s.fetch(id, inputs) {
		h.Set("X-Bergamotspring-Not-Executed", "1")
		w.WriteHeader(http.StatusConflict)
		return
	}
	h.Set("X-Bergamotspring-Server-Stamp", "stamp."+s.id+"."+id)
	h.Set("Content-Type", "text/event-stream")
	events := readerEvents
	if inputs == "" {
		events = busyEvents
	}
	c := http.NewResponseController(w)
	for n := 1; n <= events; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n)
		_ = c.Flush()
		select {
		case <-time.After(eventPause):
		case <-r.Context().Done():
			return
		}
	}
}

func (s *modelServer) setWaiting(id string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting == nil {
		s.waiting = map[string]bool{}
	}
	s.waiting[id] = on
}

func (s *modelServer) isWaiting(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiting[id]
}

// fetch fetches the inputs of a request, and reports whether all exist.
func (s *modelServer) fetch(id, inputs string) bool {
	if inputs == "" {
		return true
	}
	var l []string
	for _, x := range strings.Split(inputs, ",") {
		o := s.results.owner(x)
		if o == "" {
			s.fleet.printf("model server %s: input %s of %s is gone", s.id, x, id)
			return false
		}
		l = append(l, o)
	}
	s.fleet.printf("model server %s runs %s with inputs %s, results of %v", s.id, id, inputs, l)
	if slices.ContainsFunc(l, func(o string) bool { return o != id }) {
		s.foreign.Add(1)
		s.fleet.printf("MIXED: %s was given results of %v", id, l)
	}
	return true
}

// reader sends requests with a stage until the end, and counts the answers.
func (f *fleet) reader(n *node, first int, interval time.Duration, end time.Time, w *sync.WaitGroup) {
	for k := first; time.Now().Before(end); k++ {
		w.Go(func() { f.readResult(n, k, readerPieces) })
		time.Sleep(interval)
	}
}

// readResult sends a request with a stage to a node.
func (f *fleet) readResult(n *node, k, pieces int) {
	q := request{method: http.MethodPost, host: "jepu9.example", path: "/cufi501/fi50/2f", id: requestID(k), timeout: streamTimeout, body: "case file", header: map[string]string{
		"X-Bergamotspring-Model": "m", "X-Bergamotspring-Token-Usage": "1460,80", "X-Bergamotspring-Chunks": strconv.Itoa(pieces), "X-Bergamotspring-Chunk-Key": fmt.Sprintf("k%x", k),
	}}
	f.printf("caller of %s sends %s", n.name, q.id)
	a := call(n.callers, q)
	f.printf("caller of %s got for %s: status %d, %d bytes, error %v, after %.3f s", n.name, q.id, a.status, len(a.body), a.err, a.endedAt.Sub(a.sentAt).Seconds())
}

// runHandles restarts the stage server that holds the input of a request which waits at a model server, and freezes the
// coordinator that has placed this request: that of a region without stage servers.
func runHandles(f *fleet, trouble bool) (int, error) {
	res := &results{owners: map[string]string{}}
	var stages []*stageServer
	for i, z := range stageZones {
		s := &stageServer{fleet: f, id: fmt.Sprintf("s-%d", i+1), zone: z, address: f.ip(101+i) + ":0", results: res}
		if err := s.listen(); err != nil {
			return 0, err
		}
		f.closed = append(f.closed, s)
		stages = append(stages, s)
	}
	var models []*modelServer
	for i, z := range []string{"pampa-norte", "cuyo-centro"} {
		m := &modelServer{fleet: f, id: fmt.Sprintf("m-%d", i+1), results: res, slots: make(chan struct{}, modelSlots)}
		l, err := net.Listen("tcp", f.ip(111+i)+":0")
		if err != nil {
			return 0, err
		}
		f.serve(l, m)
		f.putServer(m.id, "huvo11a", l.Addr().String(), z, modelSlots)
		models = append(models, m)
	}
	f.putStages()
	for _, z := range []string{"cuyo-centro", "pampa-norte", "pampa-sur"} {
		if _, err := f.addNode(z); err != nil {
			return 0, err
		}
		if err := f.awaitReady(); err != nil {
			return 0, err
		}
		time.Sleep(time.Second)
	}
	time.Sleep(4 * time.Second)
	return f.playHandles(stages, res, models, trouble)
}

// playHandles lets a request of the first node, which is the coordinator of its region, wait at a model server.
func (f *fleet) playHandles(stages []*stageServer, res *results, models []*modelServer, trouble bool) (int, error) {
	var w sync.WaitGroup
	for k := range 2 * modelSlots { // streams without stages that keep both model servers busy
		n := f.nodes[0]
		if k >= modelSlots {
			n = f.nodes[1+k%2]
		}
		w.Go(func() {
			call(n.callers, request{method: http.MethodPost, host: "jepu9.example", path: "/puxa400/2f", id: fmt.Sprintf("%016x", 1<<44+k), timeout: streamTimeout, body: "question", header: map[string]string{
				"X-Bergamotspring-Model": "m", "X-Bergamotspring-Token-Usage": "715,80",
			}})
		})
		time.Sleep(2 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	w.Go(func() { f.readResult(f.nodes[0], 0, 1) })
	if !awaitWaiting(models, requestID(0)) {
		return 0, errors.New("the request does not wait at a model server")
	}
	f.printf("%s waits at a model server", requestID(0))
	stage := res.maker(stages, requestID(0))
	if stage == nil {
		return 0, errors.New("no stage server holds the result of the request")
	}
	began := time.Now()
	if trouble {
		if err := stage.restart(workerDown); err != nil {
			return 0, err
		}
		began = time.Now()
		if err := f.nodes[0].signal(syscall.SIGSTOP); err != nil {
			return 0, err
		}
	}
	for i, n := range f.nodes[1:] {
		w.Go(func() { f.reader(n, 1000*(i+1), 400*time.Millisecond, began.Add(freezeTime+time.Second), &w) })
	}
	time.Sleep(time.Until(began.Add(freezeTime)))
	if trouble {
		if err := f.nodes[0].signal(syscall.SIGCONT); err != nil {
			return 0, err
		}
	}
	w.Wait()
	broken := 0
	for _, m := range models {
		broken += int(m.foreign.Load())
	}
	return broken, nil
}

// awaitWaiting waits until a request waits for a slot of one of some model servers, and reports whether it does.
func awaitWaiting(l []*modelServer, id string) bool {
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if slices.ContainsFunc(l, func(m *modelServer) bool { return m.isWaiting(id) }) {
			return true
		}
	}
	return false
}

// requestID returns the id of a request with a stage.
func requestID(k int) string { return fmt.Sprintf("%016x", 1<<40+k) }

// putStages writes a configuration with a streaming route that has a stage, and one that has none.
func (f *fleet) putStages() {
	stream := func(name, prefix string, stages []any) map[string]any {
		return map[string]any{
			"name": name, "host": "jepu9.example", "prefix": prefix, "route-kind": "streaming", "timeout-ms": streamTimeout.Milliseconds(), "latency-goal-ms": 2200,
			"priority": 1, "service": "huvo11a", "max-attempts": 1, "stages": stages, "public": true, "sticky": true, "resumable": false, "itl-target-ms": 400, "home-regions": []string{},
		}
	}
	f.store.Put("op", "config", map[string]any{
		"version":     7,
		"route-table": []any{stream("r-hint", "/puxa400/", []any{}), stream("r-draft", "/cufi501/fi50/", []any{map[string]any{"service": "kafi81c", "after": []int{}, "size-bytes": 8000}})},
		"services": []any{
			map[string]any{"name": "huvo11a", "health-path": "/healthz", "max-conns": 390, "protocol": "h1", "tls": false, "cold-start-s": 3.0, "cold-per-s": 10.0,
				"engine": map[string]any{"slots": modelSlots, "kv-capacity": 223436, "kv-bytes": 131072, "link-mbps": 1100000.0, "stride": 5, "models": []any{map[string]any{"name": "m"}}}},
			map[string]any{"name": "kafi81c", "health-path": "/healthz", "max-conns": 390, "protocol": "h1", "tls": false, "cold-start-s": 0.0, "cold-per-s": 0.0,
				"segments": map[string]any{"slots": 1, "queue": 2, "batch": 8, "call-ms": 200.0, "item-ms": 21.0, "headroom-mb": 18.0, "handle-s": resultTime.Seconds(), "link-mbps": 10000}},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
}
