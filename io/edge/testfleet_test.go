package edge

// This file builds a small fleet for tests: nodes in two regions, with a simulated platform on an
// in-memory network, under a fake clock.

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"bergamotspring/core/rollout"
	"bergamotspring/io/standin"
	"bergamotspring/platform"
	platformstandin "bergamotspring/platform/standin"
)

const storeAddress = "10.9.0.1:700"

// domains maps the failure domains of the fleet to their regions.
var domains = map[string]string{"a": "north", "b": "north", "c": "south"}

// testFleet is a set of nodes with their network, store and backend servers.
type testFleet struct {
	t           testing.TB
	net         *standin.Network
	repeater    standin.Repeater // of the responses of all backend servers
	store       *platformstandin.Store
	results     *platformstandin.Results
	nodes       map[string]*testNode
	killed      []*testNode // whose names were taken over by restarted nodes
	servers     map[string]*platformstandin.Server
	processes   sync.Map // addresses to the *platformstandin.Server that runs there
	httpServers []*http.Server
	serving     sync.WaitGroup
	log         *logLines
	sequence    atomic.Int64    // of the servers' entries, of all together
	protocol    int             // of the nodes that are started from now on; 0: of this build
	memory      int64           // of the nodes that are started from now on, in bytes
	rollouts    *rollout.Limits // of the nodes that are started from now on; nil: not enabled
}

// testNode is a running node.
type testNode struct {
	node      *Node
	stop      context.CancelFunc
	done      chan error
	dead      atomic.Bool // opens no connections any more
	mu        sync.Mutex
	listeners []net.Listener
}

func (r *testNode) dial(d func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if r.dead.Load() {
			return nil, net.ErrClosed
		}
		return d(ctx, network, address)
	}
}

// logLines collects the log of all nodes.
type logLines struct {
	mu sync.Mutex
	l  []string
}

func (l *logLines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.l = append(l.l, strings.TrimSpace(string(b)))
	return len(b), nil
}

// matching returns the lines that contain all words.
func (l *logLines) matching(words ...string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var got []string
	for _, x := range l.l {
		all := true
		for _, w := range words {
			all = all && strings.Contains(x, w)
		}
		if all {
			got = append(got, x)
		}
	}
	return got
}

// runFleet runs f on a fleet of nodes a1, a2, b1 and c1 with the usual configuration.
func runFleet(t *testing.T, f func(*testFleet)) {
	runFleetWith(t, 1<<28, f)
}

// runFleetWith is runFleet for nodes with so many bytes of memory, 0: without a limit.
func runFleetWith(t *testing.T, memory int64, f func(*testFleet)) {
	runFleetOf(t, memory, nil, f)
}

// runFleetWithRollouts is runFleet for a deployment with bounds of rollouts.
func runFleetWithRollouts(t *testing.T, limits *rollout.Limits, f func(*testFleet)) {
	runFleetOf(t, 1<<28, limits, f)
}

func runFleetOf(t *testing.T, memory int64, limits *rollout.Limits, f func(*testFleet)) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestFleet(t, memory)
		w.rollouts = limits
		for i, n := range []string{"a1", "a2", "b1", "c1"} {
			w.start(n, fmt.Sprintf("10.0.0.%d", i+1))
			time.Sleep(10 * time.Millisecond) // registrations in this order
		}
		time.Sleep(time.Second)
		synctest.Wait() // what the nodes set up happens before f reads it
		f(w)
		w.close()
	})
}

// newTestFleet returns a fleet without nodes.
func newTestFleet(t testing.TB, memory int64) *testFleet {
	w := &testFleet{
		t: t, memory: memory, store: &platformstandin.Store{}, results: &platformstandin.Results{}, nodes: map[string]*testNode{},
		servers: map[string]*platformstandin.Server{}, log: &logLines{},
		net: &standin.Network{Latency: func(from, to string) time.Duration { return time.Millisecond }},
	}
	w.serve(storeAddress, w.store)
	w.configure(1, nil)
	w.addServers()
	return w
}

func (w *testFleet) serve(address string, h http.Handler) {
	l, err := w.net.Listen(address)
	if err != nil {
		w.t.Fatal(err)
	}
	if address != storeAddress {
		l = w.repeater.Wrap(l)
	}
	s := &http.Server{Handler: h}
	w.httpServers = append(w.httpServers, s)
	w.serving.Go(func() { _ = s.Serve(l) }) // until close
}

// addServers starts one server of each service in each failure domain.
func (w *testFleet) addServers() {
	n := 0
	for _, d := range []string{"a", "b", "c"} {
		for _, service := range []string{"plain", "encode", "rank", "model"} {
			n++
			s := w.newServer(service, service+"-"+d, fmt.Sprintf("10.1.0.%d:80", n))
			w.servers[s.ID] = s
			w.processes.Store(s.Address, s)
			w.serve(s.Address, http.HandlerFunc(func(a http.ResponseWriter, r *http.Request) {
				p, _ := w.processes.Load(s.Address)
				p.(http.Handler).ServeHTTP(a, r)
			}))
			w.register(s, service, d, "ready", 0)
		}
	}
}

// newServer returns a server of a service.
func (w *testFleet) newServer(service, id, address string) *platformstandin.Server {
	s := &platformstandin.Server{ID: id, Address: address, Results: w.results, ServiceTime: 20 * time.Millisecond}
	switch service {
	case "encode", "rank":
		s.BatchTime, s.TaskTime, s.Capacity = 200*time.Millisecond, 10*time.Millisecond, 12
	case "model":
		s.Events, s.Gap = 6, 50*time.Millisecond
	}
	return s
}

func (w *testFleet) register(s *platformstandin.Server, service, domain, state string, cold time.Duration) {
	e := map[string]any{
		"service": service, "address": s.Address, "zone": domain, "slots": 6, "state": state,
		"cold-left-ms": cold.Milliseconds(), "sequence": w.sequence.Add(1),
	}
	if !s.Started.IsZero() {
		e["born"] = s.Started.UnixMilli()
	}
	w.store.Put("servers", s.ID, e)
}

// all returns the servers of a service, one of each failure domain.
func (w *testFleet) all(service string) []*platformstandin.Server {
	return []*platformstandin.Server{w.servers[service+"-a"], w.servers[service+"-b"], w.servers[service+"-c"]}
}

// configure writes a configuration, after change, if set, has edited it.
func (w *testFleet) configure(version int, change func(map[string]any)) {
	stages := []any{
		map[string]any{"service": "encode", "after": []int{}, "size-bytes": 1000000},
		map[string]any{"service": "rank", "after": []int{0}, "size-bytes": 1000000},
	}
	batching := map[string]any{"slots": 1, "queue": 2, "batch": 8, "call-ms": 200, "item-ms": 10, "headroom-mb": 12, "handle-s": 4, "link-mbps": 1000}
	route := func(name, prefix, kind, service string, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": "fleet.example", "prefix": prefix, "route-kind": kind, "service": service, "timeout-ms": 4000,
			"latency-goal-ms": 1000, "priority": 1, "max-attempts": 2, "public": false, "home-regions": []string{},
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	c := map[string]any{
		"version": version,
		"route-table": []any{
			route("read", "/read/", "safe", "plain", nil),
			route("file", "/file/", "unsafe", "plain", map[string]any{"max-attempts": 1}),
			route("south", "/south/", "safe", "plain", map[string]any{"home-regions": []string{"south"}}),
			route("draft", "/draft/", "streaming", "model", map[string]any{"stages": stages, "resumable": true, "itl-target-ms": 400, "sticky": true}),
			route("once", "/once/", "streaming", "model", map[string]any{"stages": stages, "resumable": false, "max-attempts": 1, "sticky": true}),
		},
		"services": []any{
			map[string]any{"name": "plain", "max-conns": 100},
			map[string]any{"name": "encode", "max-conns": 100, "segments": batching},
			map[string]any{"name": "rank", "max-conns": 100, "segments": batching},
			map[string]any{"name": "model", "max-conns": 100, "cold-start-s": 3, "cold-per-s": 5, "engine": map[string]any{"slots": 8, "kv-capacity": 100000}},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 1000, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": "org", "api-keys": []string{"key"}}},
	}
	if change != nil {
		change(c)
	}
	w.store.Put("op", "config", c)
}

// configureRoute writes a configuration in which a route has the given settings.
func (w *testFleet) configureRoute(version int, name string, settings map[string]any) {
	w.configure(version, func(c map[string]any) {
		for _, r := range c["route-table"].([]any) {
			if r := r.(map[string]any); r["name"] == name {
				maps.Copy(r, settings)
			}
		}
	})
}

// start starts a node whose name begins with its failure domain.
func (w *testFleet) start(name, ip string) {
	at := func(port string) string { return net.JoinHostPort(ip, port) }
	s := &platform.Settings{
		Node: name, Domain: name[:1], Region: domains[name[:1]], Domains: domains, Store: storeAddress,
		Callers: at("80"), Readiness: at("81"), Peer: at("90"), Metrics: at("91"), IP: ip, Memory: w.memory, Grace: 8 * time.Second,
		RetryRatio: 0.2, RetrySlack: 70, RetryWindow: 10 * time.Second, Rollouts: w.rollouts,
	}
	log := newLogger(zapcore.AddSync(w.log))
	ctx, stop := context.WithCancel(context.Background())
	r := &testNode{stop: stop, done: make(chan error, 1)}
	r.node = &Node{protocol: w.protocol, Settings: s, Log: log.With(zap.String("node", name)), Dial: r.dial(w.net.Dialer(ip)), Listen: func(_, address string) (net.Listener, error) {
		l, err := w.net.Listen(address)
		if err == nil {
			r.mu.Lock()
			r.listeners = append(r.listeners, l)
			r.mu.Unlock()
		}
		return l, err
	}}
	w.nodes[name] = r
	go func() { r.done <- r.node.Run(ctx) }()
}

// kill simulates SIGKILL of a node: its connections break, and dials are refused.
func (w *testFleet) kill(name string) {
	ip, _, _ := net.SplitHostPort(w.nodes[name].node.Settings.Peer)
	w.net.SetHost(ip, standin.HostRefuses)
}

// restart starts a killed node again at the same addresses.
func (w *testFleet) restart(name string) {
	r := w.nodes[name]
	r.dead.Store(true)
	r.mu.Lock()
	for _, l := range r.listeners {
		_ = l.Close()
	}
	r.mu.Unlock()
	w.killed = append(w.killed, r)
	ip := r.node.Settings.IP
	w.net.SetHost(ip, standin.HostUp)
	w.start(name, ip)
}

func (w *testFleet) close() {
	all := append(slices.Collect(maps.Values(w.nodes)), w.killed...)
	for _, r := range all {
		r.stop()
	}
	for _, r := range all {
		<-r.done
		r.node.scheduler.work.Wait()
	}
	for _, s := range w.httpServers {
		_ = s.Close()
	}
	w.net.Close()
	w.serving.Wait()
}

// injectFault injects a fault into the next request to any model server.
func (w *testFleet) injectFault(f platformstandin.Fault) {
	var once sync.Once
	for _, s := range w.all("model") {
		s.SharedFault = func() platformstandin.Fault {
			x := platformstandin.FaultNone
			once.Do(func() { x = f })
			return x
		}
	}
}

// runCount counts the runs of a request at all servers.
func (w *testFleet) runCount(id string) int {
	n := 0
	for _, s := range w.servers {
		for _, r := range s.Runs() {
			if r.ID == id {
				n++
			}
		}
	}
	return n
}
