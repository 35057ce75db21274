package main

// This file defines stage servers and model servers, with the behaviour of the project's own stand-ins, and the
// requests that need them.

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"bergamotspring/platform/standin"
)

// process is a stage server or a model server that can crash and start again under its id.
type process struct {
	rig              *rig
	service, zone    string
	model            *standin.Server // its fields are those of each process
	mu               sync.Mutex
	server           *http.Server
	current          *standin.Server
	sequence         int
	batchAt          time.Time // when the last batch arrived
	heartbeatStarted bool
}

// addProcess starts a stage server or a model server.
func (r *rig) addProcess(service, zone string, s *standin.Server) (*process, error) {
	s.Address = fmt.Sprintf("%s:%d", r.newIP(), portWorker)
	s.ID = fmt.Sprintf("i-%s-%s-%d", service, zone, r.nextIP)
	p := &process{rig: r, service: service, zone: zone, model: s}
	return p, p.start()
}

// start starts a process and registers it.
func (p *process) start() error {
	l, err := net.Listen("tcp", p.model.Address)
	if err != nil {
		return err
	}
	m := p.model
	s := &standin.Server{
		ID: m.ID, Address: m.Address, Results: m.Results, BatchTime: m.BatchTime, TaskTime: m.TaskTime,
		Capacity: m.Capacity, ServiceTime: m.ServiceTime, Events: m.Events, Gap: m.Gap, Started: time.Now(), Injector: m.Injector,
	}
	h := &http.Server{Handler: p.recorded(s), ReadHeaderTimeout: time.Minute}
	p.mu.Lock()
	p.current, p.server = s, h
	first := !p.heartbeatStarted
	p.heartbeatStarted = true
	p.mu.Unlock()
	go func() { _ = h.Serve(l) }() // until it crashes or the rig ends
	p.rig.note("worker %s starts, born %d", m.ID, s.Started.UnixMilli())
	p.register()
	if first {
		go func() {
			for range time.Tick(heartbeat) { // until the rig ends
				p.register()
			}
		}()
	}
	return nil
}

// isUsed reports whether the process has run a batch since a moment.
func (p *process) isUsed(since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.batchAt.After(since)
}

// crash ends the process: all its channels are reset, and its results are gone.
func (p *process) crash() {
	p.mu.Lock()
	h, s := p.server, p.current
	p.server, p.current = nil, nil
	p.mu.Unlock()
	_ = h.Close() // no error matters
	if s.Results != nil {
		s.Results.Restart(s)
	}
	p.rig.note("worker %s crashes", s.ID)
}

// register writes the entry of the process, if it runs.
func (p *process) register() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current == nil {
		return
	}
	p.sequence++
	e := map[string]any{
		"service": p.service, "address": p.current.Address, "zone": p.zone, "version": "1", "slots": 1, "state": "ready",
		"cold-left-ms": 0, "sequence": p.sequence, "born": p.current.Started.UnixMilli(),
	}
	if p.current.Events > 0 {
		e["slots"], e["stage"] = 96, "both"
		e["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	p.rig.store.Put("servers", p.current.ID, e)
}

// recorded records the requests of a process, and adds its start to its reports.
func (p *process) recorded(s *standin.Server) http.Handler {
	return http.HandlerFunc(func(a http.ResponseWriter, r *http.Request) {
		p.rig.note("worker %s: %s %s %s inputs %s", s.ID, r.Method, r.URL.Path, r.Header.Get("X-Bergamotspring-Request-Id"), r.Header.Get("X-Bergamotspring-Inputs"))
		if r.URL.Path == "/stage-run" {
			p.mu.Lock()
			p.batchAt = time.Now()
			p.mu.Unlock()
		}
		if r.URL.Path == "/report" {
			a.Header().Set("Content-Type", "application/json")
			free := max(0, s.Capacity-s.Results.Held(s.ID))
			_ = json.NewEncoder(a).Encode(map[string]any{"queued": 0, "busy": 0, "free-mb": free, "born": s.Started.UnixMilli()}) // the caller may have left
			return
		}
		s.ServeHTTP(a, r)
	})
}

// stageService is a stage's service in a configuration.
func stageService(name string, batch, callMS, itemMS, headroomMB int) map[string]any {
	return map[string]any{"name": name, "max-conns": 500, "segments": map[string]any{
		"slots": 1, "queue": 2, "batch": batch, "call-ms": callMS, "item-ms": itemMS, "headroom-mb": headroomMB, "handle-s": 4, "link-mbps": 10000,
	}}
}

// configureStages writes a configuration with a streaming route to a model service, whose requests need two stages.
func (r *rig) configureStages(version int, stages ...map[string]any) {
	r.store.Put("op", "config", map[string]any{
		"version": version,
		"route-table": []any{map[string]any{
			"name": "draft", "host": host, "prefix": "/draft/", "route-kind": "streaming", "service": "bergamot-llm", "timeout-ms": 6000,
			"latency-goal-ms": 2700, "priority": 1, "max-attempts": 1, "public": false, "home-regions": []string{}, "resumable": false,
			"itl-target-ms": 400, "sticky": true, "stages": []any{
				map[string]any{"service": stages[0]["name"], "after": []int{}, "size-bytes": 6000},
				map[string]any{"service": stages[1]["name"], "after": []int{}, "size-bytes": 6000},
			},
		}},
		"services": []any{stages[0], stages[1], map[string]any{
			"name": "bergamot-llm", "max-conns": 500, "cold-start-s": 3, "cold-per-s": 10, "engine": map[string]any{"slots": 96, "kv-capacity": 235284},
		}},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": "club", "api-keys": []string{apiKey}}},
	})
	r.note("operator: configuration %d", version)
}

// draft sends a request that needs stages, with the number of pieces of each.
func (r *rig) draft(n *node, id, pieces string) {
	q, _ := http.NewRequest(http.MethodPost, "http://"+n.at(portCallers)+"/draft/reply", strings.NewReader("reply")) // valid
	q.Host = host
	for k, v := range map[string]string{
		"Request-Id": id, "Deadline-Ms": "6000", "Model": "m", "Token-Usage": "1460,80", "Prefix-Hash": "5c1e07a2:800," + id + ":410",
		"Chunks": pieces, "Chunk-Key": "key" + id,
	} {
		q.Header.Set("X-Bergamotspring-"+k, v)
	}
	q.Header.Set("Api-Key", apiKey)
	c := http.Client{Timeout: 8 * time.Second}
	a, err := c.Do(q)
	if err != nil {
		r.note("consumer: request %s has no response: %v", id, err)
		return
	}
	b, err := io.ReadAll(a.Body)
	_ = a.Body.Close() // it was read
	r.note("consumer: request %s to %s: %d, %d bytes, %v", id, n.name, a.StatusCode, len(b), err)
}
