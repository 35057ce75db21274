package main

// This file defines consumers and the configuration that their requests need.

import (
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	host   = "cache.example"
	apiKey = "9dnn2ctnfzs989anu6ws"
	// plainService is the name of the plain service.
	plainService = "logbook-api"
)

// configure writes a configuration with a safe and an unsafe route to a plain service, whose settings more changes.
func (r *rig) configure(version int, more map[string]any) {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "prefix": prefix, "route-kind": kind, "service": plainService, "timeout-ms": 1500,
			"latency-goal-ms": 300, "priority": 2, "max-attempts": attempts, "public": false, "home-regions": []string{},
		}
	}
	x := map[string]any{"name": plainService, "max-conns": 110, "health-path": "/healthz", "cold-start-s": 0, "cold-per-s": 0}
	maps.Copy(x, more)
	r.store.Put("op", "config", map[string]any{
		"version":     version,
		"route-table": []any{route("read", "/read/", "safe", 2), route("log", "/log/", "unsafe", 1)},
		"services":    []any{x},
		"limits":      map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":     r.tenants,
	})
	r.note("operator: configuration %d", version)
}

// sent is a request of a consumer.
type sent struct {
	id, path string
	node     *node
	at       time.Time
	status   int // 0: the channel ended without a response
	body     string
}

// consumers send requests to nodes and keep what became of them.
type consumers struct {
	rig  *rig
	key  string
	next atomic.Int64
	mu   sync.Mutex
	all  map[string]*sent // by id
	done sync.WaitGroup
}

// load sends requests to a node at a rate until stop is closed, on channels that are kept.
func (c *consumers) load(n *node, method, path string, perSecond int, stop <-chan struct{}) {
	h := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 50}}
	c.done.Go(func() {
		period := time.Second / time.Duration(perSecond)
		time.Sleep(rand.N(period)) // consumers do not send in step
		t := time.NewTicker(period)
		defer t.Stop()
		for {
			select {
			case <-stop:
				return
			case <-t.C:
				c.done.Go(func() { c.send(h, n, method, path, "") })
			}
		}
	})
}

// send sends one request and records its outcome.
func (c *consumers) send(h *http.Client, n *node, method, path, body string) {
	s := &sent{id: fmt.Sprintf("%016x", c.next.Add(1)), path: path, node: n, at: time.Now()}
	c.mu.Lock()
	if c.all == nil {
		c.all = map[string]*sent{}
	}
	c.all[s.id] = s
	c.mu.Unlock()
	q, _ := http.NewRequest(method, "http://"+n.at(portCallers)+path, strings.NewReader(body)) // a valid method and URL
	q.Host = host
	q.Header.Set("X-Bergamotspring-Request-Id", s.id)
	q.Header.Set("X-Bergamotspring-Deadline-Ms", "3000")
	q.Header.Set("Api-Key", c.key)
	a, err := h.Do(q)
	if err != nil {
		c.rig.note("consumer: request %s %s to %s has no response: %v", s.id, path, n.name, err)
		return
	}
	b, err := io.ReadAll(a.Body)
	_ = a.Body.Close() // it was read
	if err == nil {
		c.mu.Lock()
		s.status, s.body = a.StatusCode, string(b)
		c.mu.Unlock()
	}
	c.rig.note("consumer: request %s %s to %s: %d %v", s.id, path, n.name, a.StatusCode, err)
}

// lostWork returns how many requests of a path ran on a worker after a moment and got no success.
func (c *consumers) lostWork(path string, w *worker, since time.Time) int {
	n := 0
	for _, x := range w.since(since) {
		c.mu.Lock()
		s := c.all[x.id]
		if x.ran && s != nil && s.path == path && s.status != http.StatusOK {
			n++
		}
		c.mu.Unlock()
	}
	return n
}

// nodeOf returns the node that a consumer sent a request to.
func (c *consumers) nodeOf(id string) *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.all[id]; s != nil {
		return s.node
	}
	return nil
}
