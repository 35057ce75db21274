package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	configApply  = 2500 * time.Millisecond // config-apply-ms
	pathRequests = 20
	plainLimit   = 3 * time.Second
)

// plainWorker is a worker of a plain service, which answers at once.
type plainWorker struct {
	id, service string
	record      *record

	mu  sync.Mutex
	ran map[string]bool // ids of requests
}

// register writes the worker's entry.
func (p *plainWorker) register(f *fleet, address, zone string) {
	f.keepEntry(p.id, entry{Service: p.service, Address: address, Zone: zone, Version: "1", Slots: 6, State: "ready", Born: time.Now().UnixMilli()})
}

// ServeHTTP serves a request.
func (p *plainWorker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Bergamotspring-Request-Id")
	w.Header().Set("X-Bergamotspring-Request-Id", id)
	if e := r.Header.Get("X-Bergamotspring-Expect-Instance"); e != "" && e != p.id {
		notRun(w, http.StatusMisdirectedRequest)
		return
	}
	p.record.add("%s (%s): runs %s %s of %s", p.id, p.service, r.Method, r.RequestURI, id)
	p.mu.Lock()
	if p.ran == nil {
		p.ran = map[string]bool{}
	}
	p.ran[id] = true
	p.mu.Unlock()
	w.Header().Set("X-Bergamotspring-Server-Stamp", "stamp."+p.id+"."+id)
	_, _ = fmt.Fprintf(w, "answer to %s", id) // the caller may have left
}

// count returns how many requests the worker has run.
func (p *plainWorker) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.ran)
}

// runPaths splits a public route off a route that needs a key, and sends requests with an unknown key whose path begins
// with the prefix of the latter only.
func runPaths(f *fleet, trouble bool) error {
	f.store.Put("op", "config", pathsConfig(7, false))
	filings, pages := &plainWorker{id: "i-filings", service: "logbook-api", record: f.record}, &plainWorker{id: "i-pages", service: "club-pages", record: f.record}
	for n, p := range []*plainWorker{filings, pages} {
		address := f.address(20+n, portWorker)
		if err := f.serve(address, p); err != nil {
			return err
		}
		p.register(f, address, "muc-a")
	}
	nodes := []node{{"edge-muc-a-1", "muc-a", 10}, {"edge-muc-b-1", "muc-b", 11}}
	if _, err := f.startAll(nodes); err != nil {
		return err
	}
	send := func(path, key string) {
		c := newConsumers(f, "jepu9.example", path, plainLimit, map[string]string{"Api-Key": key})
		for n := range pathRequests {
			c.send(nodes[n%len(nodes)])
		}
		c.wait.Wait()
	}
	send("/bobo563/lo7", "9dnn2ctnfzs989anu6ws")
	if filings.count() != pathRequests {
		return fmt.Errorf("only %d of %d requests with a key have run", filings.count(), pathRequests)
	}
	if trouble {
		f.record.add("configuration 8: /bobo563/open/ is split off")
		f.store.Put("op", "config", pathsConfig(8, true))
		time.Sleep(contact + configApply)
	}
	before := filings.count() + pages.count()
	send("/bobo563/open%2Flo7", "unknown-key")
	if n := filings.count() + pages.count() - before; n > 0 {
		return fmt.Errorf("%w: ROUTE: %d requests with an unknown key have run", errBroken, n)
	}
	return nil
}

func pathsConfig(version int, split bool) map[string]any {
	route := func(name, prefix, service string, public bool) map[string]any {
		return map[string]any{
			"name": name, "host": "jepu9.example", "prefix": prefix, "route-kind": "unsafe", "timeout-ms": plainLimit.Milliseconds(), "latency-goal-ms": 300,
			"priority": 2, "service": service, "max-attempts": 1, "stages": []any{}, "public": public, "sticky": false, "resumable": false, "home-regions": []any{},
		}
	}
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "health-path": "/healthz", "max-conns": 110, "protocol": "h1", "tls": false, "cold-start-s": 0.0, "cold-per-s": 0.0}
	}
	routes := []any{route("r-filings", "/bobo563/", "logbook-api", false)}
	if split {
		routes = append(routes, route("r-open", "/bobo563/open/", "club-pages", true))
	}
	c := handlesConfig()
	c["version"], c["route-table"], c["services"] = version, routes, []any{service("logbook-api"), service("club-pages")}
	return c
}
