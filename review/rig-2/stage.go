package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Times of a stage worker.
const (
	stageCall   = 200 * time.Millisecond
	stageItem   = 20 * time.Millisecond
	stageKeep   = 4 * time.Second // handle-s
	stageQueue  = 2
	stageRoomMB = 18
)

// item is one piece of a call.
type item struct {
	ID        string   `json:"id"`
	Stage     int      `json:"stage"`
	Segment   int      `json:"segment"`
	Key       string   `json:"key,omitempty"`
	Inputs    []string `json:"inputs,omitempty"`
	Remaining int64    `json:"remaining-ms,omitempty"`
}

// stageWorker is one boot of a stage worker. It numbers its results from 1: after a restart it knows nothing of
// before, and its counts start anew.
type stageWorker struct {
	id, address, admin string

	born int64
	slot chan struct{}

	mu      sync.Mutex
	calls   int // that run or wait
	results map[string]item
	last    int
}

// entry is the registration of a worker.
type entry struct {
	Service  string  `json:"service"`
	Address  string  `json:"address"`
	Zone     string  `json:"zone"`
	Version  string  `json:"version"`
	Slots    int     `json:"slots"`
	State    string  `json:"state"`
	ColdLeft float64 `json:"cold-left-ms"`
	Sequence int     `json:"sequence"`
	Born     int64   `json:"born"`
}

// serveStage runs a stage worker until it is killed.
func serveStage(args []string) {
	f := flag.NewFlagSet("stage", flag.ExitOnError)
	id := f.String("id", "", "id of the worker")
	service := f.String("service", "", "its service")
	zone := f.String("zone", "", "its zone")
	address := f.String("address", "", "where it listens")
	admin := f.String("admin", "", "where it writes its entry")
	_ = f.Parse(args) // exits on errors
	w := &stageWorker{id: *id, address: *address, admin: *admin, born: time.Now().UnixMilli(), slot: make(chan struct{}, 1), results: map[string]item{}}
	go sendEntries(*admin, *id, entry{Service: *service, Address: *address, Zone: *zone, Version: "1", Slots: 1, State: "ready", Born: w.born})
	log.Fatal(http.ListenAndServe(*address, w))
}

// ServeHTTP serves a call.
func (s *stageWorker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if e := r.Header.Get("X-Bergamotspring-Expect-Instance"); e != "" && e != s.id {
		w.Header().Set("X-Bergamotspring-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/stage-run":
		s.run(w, r, body)
	case r.URL.Path == "/stage-free":
		s.free(body)
	case r.URL.Path == "/report":
		s.mu.Lock()
		n := s.calls
		s.mu.Unlock()
		reply(w, map[string]any{"queued": max(0, n-1), "busy": min(1, n), "free-mb": stageRoomMB, "born": s.born})
	case strings.HasPrefix(r.URL.Path, "/result/"):
		s.fetch(w, strings.TrimPrefix(r.URL.Path, "/result/"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the caller may have left
}

// run works on the pieces of a call when its turn comes.
func (s *stageWorker) run(w http.ResponseWriter, r *http.Request, body []byte) {
	var q struct {
		Items []item `json:"items"`
	}
	if json.Unmarshal(body, &q) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !s.enter() {
		w.Header().Set("X-Bergamotspring-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.leave()
	arrived := time.Now()
	select {
	case s.slot <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.slot }()
	waited := time.Since(arrived)
	time.Sleep(stageCall + time.Duration(len(q.Items))*stageItem)
	var l []map[string]string
	for _, i := range q.Items {
		if i.Remaining > 0 && waited.Milliseconds() > i.Remaining {
			l = append(l, map[string]string{"reason": "late"})
			continue
		}
		h := s.keep(i)
		tellLine(s.admin, s.id, fmt.Sprintf("made %s, piece %d/%d of request %s", h, i.Stage, i.Segment, i.ID))
		l = append(l, map[string]string{"handle": h})
	}
	w.Header().Set("X-Bergamotspring-Load-Report", "1,0,1")
	reply(w, map[string]any{"items": l})
}

func (s *stageWorker) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls > stageQueue {
		return false
	}
	s.calls++
	return true
}

func (s *stageWorker) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls--
}

// keep stores the result of a piece and returns its handle.
func (s *stageWorker) keep(i item) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	h := fmt.Sprintf("%s/%x", s.address, s.last)
	s.results[h] = i
	time.AfterFunc(stageKeep, func() { s.drop(h) })
	return h
}

func (s *stageWorker) drop(handle string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.results, handle)
}

func (s *stageWorker) free(body []byte) {
	var q struct {
		Handles []string `json:"handles"`
	}
	if json.Unmarshal(body, &q) != nil {
		return
	}
	for _, h := range q.Handles {
		s.drop(h)
	}
}

// fetch gives a result to another worker.
func (s *stageWorker) fetch(w http.ResponseWriter, number string) {
	s.mu.Lock()
	i, ok := s.results[s.address+"/"+number]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, i)
}
