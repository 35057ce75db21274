package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// modelWorker is a model worker. It runs slots requests at once; others wait for their turn, at which it fetches
// their inputs.
type modelWorker struct {
	id, address, zone string
	events            int // of the streams that run first, one for each slot
	laterEvents       int // of the others
	gap               time.Duration
	slots             chan struct{}
	record            *record
	client            http.Client

	mu      sync.Mutex
	arrived int
	runs    int
	foreign []string
	waiting map[string]int // inputs of requests that wait, by address
}

// register writes the worker's entry.
func (m *modelWorker) register(f *fleet) {
	f.keepEntry(m.id, entry{Service: "bergamot-llm", Address: m.address, Zone: m.zone, Version: "1", Slots: cap(m.slots), State: "ready", Born: time.Now().UnixMilli()})
}

// counts returns how many requests have arrived, and the inputs that belonged to other requests.
func (m *modelWorker) counts() (arrived int, foreign []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.arrived, append([]string(nil), m.foreign...)
}

// makers returns how many inputs of waiting requests are at each address.
func (m *modelWorker) makers() map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.waiting)
}

// await counts the inputs of a request that waits, or that waits no more.
func (m *modelWorker) await(inputs []string, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.waiting == nil {
		m.waiting = map[string]int{}
	}
	for _, h := range inputs {
		address, _, _ := strings.Cut(h, "/")
		m.waiting[address] += n
	}
}

// ServeHTTP serves a request.
func (m *modelWorker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // a disconnect shows once it was read
	id := r.Header.Get("X-Bergamotspring-Request-Id")
	w.Header().Set("X-Bergamotspring-Request-Id", id)
	if e := r.Header.Get("X-Bergamotspring-Expect-Instance"); e != "" && e != m.id {
		notRun(w, http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/report" {
		reply(w, map[string]any{"stage": "both", "queued": 0, "running": 0, "kv-used": 0, "kv-total": 235284})
		return
	}
	inputs := strings.Split(r.Header.Get("X-Bergamotspring-Inputs"), ",")
	m.mu.Lock()
	m.arrived++
	m.mu.Unlock()
	m.record.add("%s: request %s arrives, inputs %v", m.id, id, inputs)
	ctx, cancel := limited(r)
	defer cancel()
	m.await(inputs, 1)
	select {
	case m.slots <- struct{}{}:
		m.await(inputs, -1)
	case <-ctx.Done():
		m.await(inputs, -1)
		notRun(w, http.StatusServiceUnavailable) // its time limit has passed in the queue, or its caller has left
		return
	}
	defer func() { <-m.slots }()
	if !m.fetch(id, inputs) {
		notRun(w, http.StatusConflict)
		return
	}
	m.record.add("%s: request %s runs", m.id, id)
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 if there is none
	sendEvents(ctx, w, "stamp."+m.id+"."+id, from+1, m.begin(), m.gap)
	m.record.add("%s: request %s has run", m.id, id)
}

// begin counts a run, and returns how many events its stream has.
func (m *modelWorker) begin() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.runs++
	if m.runs <= cap(m.slots) {
		return m.events
	}
	return m.laterEvents
}

func notRun(w http.ResponseWriter, status int) {
	w.Header().Set("X-Bergamotspring-Not-Executed", "1")
	w.WriteHeader(status)
}

// fetch fetches the inputs of a request, and reports whether all exist.
func (m *modelWorker) fetch(id string, inputs []string) bool {
	for _, h := range inputs {
		address, number, _ := strings.Cut(h, "/")
		r, err := m.client.Get("http://" + address + "/result/" + number)
		if err != nil {
			m.record.add("%s: request %s: input %s: %v", m.id, id, h, err)
			return false
		}
		var i item
		err = json.NewDecoder(r.Body).Decode(&i)
		_ = r.Body.Close() // it was read
		if r.StatusCode != http.StatusOK || err != nil {
			m.record.add("%s: request %s: input %s is gone", m.id, id, h)
			return false
		}
		if i.ID != id {
			s := fmt.Sprintf("request %s is given input %s, which is piece %d/%d of request %s", id, h, i.Stage, i.Segment, i.ID)
			m.record.add("%s: FOREIGN INPUT: %s", m.id, s)
			m.mu.Lock()
			m.foreign = append(m.foreign, s)
			m.mu.Unlock()
		}
	}
	return true
}

// limited returns the context of a request at a worker, which stops work at the time limit that it was sent.
func limited(r *http.Request) (context.Context, context.CancelFunc) {
	n, err := strconv.Atoi(r.Header.Get("X-Bergamotspring-Deadline-Ms"))
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(n)*time.Millisecond)
}

// sendEvents sends the events of a stream. It breaks the stream off when the context ends.
func sendEvents(ctx context.Context, w http.ResponseWriter, stamp string, from, to int, gap time.Duration) {
	w.Header().Set("X-Bergamotspring-Server-Stamp", stamp)
	w.Header().Set("X-Bergamotspring-Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	for n := from; n <= to; n++ {
		select {
		case <-time.After(gap):
		case <-ctx.Done():
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", n, n)
		_ = http.NewResponseController(w).Flush() // the caller may have left
	}
}
