package main

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

const (
	applyTime = 2500 * time.Millisecond // config-apply-ms
	probes    = 5                       // requests to each route of each node
)

// answerAll answers all requests as a plain server.
func answerAll(f *fleet, id string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rid := r.Header.Get("X-Bergamotspring-Request-Id")
		w.Header().Set("X-Bergamotspring-Instance-Id", id)
		if rid == "" {
			return
		}
		w.Header().Set("X-Bergamotspring-Request-Id", rid)
		w.Header().Set("X-Bergamotspring-Server-Stamp", "stamp."+id)
		f.printf("worker %s runs %s %s", id, r.URL.Path, rid)
		_, _ = fmt.Fprint(w, rid)
	})
}

// putVersion writes a configuration with one plain route and, if it is reordered, a streaming route whose first stage needs the
// results of its second one.
func (f *fleet) putVersion(version int, prefix string, reordered bool) {
	plain := func(name, prefix string) map[string]any {
		return map[string]any{
			"name": name, "host": "jepu9.example", "prefix": prefix, "route-kind": "unsafe", "timeout-ms": 800, "latency-goal-ms": 150, "priority": 2,
			"service": "xano55b", "max-attempts": 1, "stages": []any{}, "public": true, "sticky": false, "resumable": false, "home-regions": []string{},
		}
	}
	stage := func(service string, after ...int) map[string]any {
		return map[string]any{"service": service, "after": append([]int{}, after...), "size-bytes": 8000}
	}
	stages := []any{stage("kafi81c"), stage("lovo22d", 0)}
	if reordered {
		stages = []any{stage("lovo22d", 1), stage("kafi81c")}
	}
	stream := plain("r-draft", "/cufi501/fi50/")
	stream["route-kind"], stream["timeout-ms"], stream["latency-goal-ms"], stream["itl-target-ms"] = "streaming", 6000, 2700, 400
	stream["service"], stream["stages"], stream["sticky"] = "huvo11a", stages, true
	batching := func(name string) map[string]any {
		return map[string]any{
			"name": name, "health-path": "/healthz", "max-conns": 390, "protocol": "h1", "tls": false, "cold-start-s": 0.0, "cold-per-s": 0.0,
			"segments": map[string]any{"slots": 1, "queue": 2, "batch": 8, "call-ms": 200.0, "item-ms": 21.0, "headroom-mb": 18.0, "handle-s": 4.0, "link-mbps": 10000},
		}
	}
	f.store.Put("op", "config", map[string]any{
		"version": version, "route-table": []any{plain("r-file", prefix), stream},
		"services": []any{
			map[string]any{"name": "xano55b", "health-path": "/healthz", "max-conns": 49, "protocol": "h1", "tls": false, "cold-start-s": 0.0, "cold-per-s": 0.0},
			map[string]any{"name": "huvo11a", "health-path": "/healthz", "max-conns": 390, "protocol": "h1", "tls": false, "cold-start-s": 3.0, "cold-per-s": 10.0,
				"engine": map[string]any{"slots": 96, "kv-capacity": 223436}},
			batching("kafi81c"), batching("lovo22d"),
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	f.printf("the store has confirmed version %d", version)
}

// runOrder changes the configuration: a plain route is moved to another path, and the stages of another route change their
// numbers.
func runOrder(f *fleet, trouble bool) (int, error) {
	for i, z := range []string{"pampa-norte", "pampa-sur", "cuyo-centro"} {
		id := fmt.Sprintf("i-%d", i+1)
		l, err := net.Listen("tcp", f.ip(101+i)+":0")
		if err != nil {
			return 0, err
		}
		f.serve(l, answerAll(f, id))
		f.putServer(id, "xano55b", l.Addr().String(), z, 6)
	}
	f.putVersion(7, "/bobo563/lo7/", false)
	for _, z := range []string{"pampa-norte", "pampa-sur", "cuyo-centro"} {
		if _, err := f.addNode(z); err != nil {
			return 0, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return 0, err
	}
	time.Sleep(5 * time.Second) // undisturbed for contact-ms
	if n, err := f.probeRoutes("/bobo563/lo7/", "/bobo563/ka2/"); err != nil || n > 0 {
		return 0, fmt.Errorf("%d requests are not handled as version 7 says: %w", n, err)
	}
	f.putVersion(9, "/bobo563/ka2/", trouble)
	time.Sleep(applyTime + 2*time.Second)
	broken, err := f.probeRoutes("/bobo563/ka2/", "/bobo563/lo7/")
	if err != nil {
		return 0, err
	}
	n := f.nodes[0]
	n.kill()
	if err := n.start(); err != nil {
		return 0, err
	}
	time.Sleep(5 * time.Second)
	f.printf("%s, started again 5 s ago, is ready: %v", n.name, n.ready())
	return broken, nil
}

// probeRoutes sends requests on a route that the configuration in force has and on one that it lacks, and returns how many are
// handled as if it were the other way round.
func (f *fleet) probeRoutes(present, absent string) (int, error) {
	wrong, k := 0, 0
	for _, n := range f.nodes {
		for range probes {
			for _, c := range []struct {
				prefix string
				status int
			}{{present, http.StatusOK}, {absent, http.StatusNotFound}} {
				k++
				q := request{method: http.MethodPost, host: "jepu9.example", path: c.prefix + "2f", id: fmt.Sprintf("%016x", time.Now().UnixNano()+int64(k)), timeout: 1500 * time.Millisecond, body: "find"}
				a := call(n.callers, q)
				f.printf("caller of %s sent %s %s: status %d, error %v", n.name, q.path, q.id, a.status, a.err)
				if a.err != nil {
					return 0, a.err
				}
				if a.status != c.status {
					wrong++
					f.printf("CONFIG: %s is handled as another version says", q.id)
				}
			}
		}
	}
	return wrong, nil
}
