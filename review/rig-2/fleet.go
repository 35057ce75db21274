package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"bergamotspring/platform/standin"
)

// Ports of each machine, as on the platform they are the same on all of them.
const (
	portFront     = 8625
	portReadiness = 8621
	portControl   = 8628
	portFirst     = 7740
	portLast      = 7755
	portStore     = 8624
	portWorker    = 8009
	portMetrics   = 9180
)

// heartbeat is the interval at which workers write their entries.
const heartbeat = 1200 * time.Millisecond

// silentAfter is the silence after which the platform removes an entry.
const silentAfter = 3 * heartbeat

// tableServers is the table of the workers' entries.
const tableServers = "servers"

// readyTimeout bounds the start of the nodes.
const readyTimeout = 20 * time.Second

// settle is the time in which nodes that are ready get to know each other.
const settle = 2 * time.Second

// fleet is a small deployment: a store, workers, and nodes in processes of their own.
type fleet struct {
	program string
	dir     string
	block   string // first three bytes of the machines' addresses
	store   *standin.Store
	record  *record
	zones   map[string]string // the region of each zone

	mu      sync.Mutex
	closed  bool
	beats   map[string]time.Time // last status report of each worker
	servers []*http.Server
	running []*process
}

// process is a program that a case has started.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

// newFleet finds a block of free loopback addresses and starts the store.
func newFleet(program string, r *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "rig-2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{
		program: program, dir: dir, record: r, store: &standin.Store{TransactionTime: 5 * time.Millisecond},
		zones: map[string]string{"muc-a": "oberbayern", "muc-b": "oberbayern"},
	}
	for range 20 {
		f.block = fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250))
		if err = f.serve(f.address(1, portStore), f.store); err == nil {
			go f.expireEntries()
			return f, nil
		}
	}
	return nil, err
}

// ip returns the address of a machine.
func (f *fleet) ip(n int) string { return fmt.Sprintf("%s.%d", f.block, n) }

func (f *fleet) address(n, port int) string { return fmt.Sprintf("%s:%d", f.ip(n), port) }

// serve serves a stand-in in this process.
func (f *fleet) serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h}
	f.mu.Lock()
	f.servers = append(f.servers, s)
	f.mu.Unlock()
	go func() { _ = s.Serve(l) }()
	return nil
}

// serveAdmin serves the way by which workers in processes of their own write their entries and tell what they run. OnCrash, if
// set, is called by a worker that a request crashes.
func (f *fleet) serveAdmin(onCrash func(worker, request string)) (address string, err error) {
	address = f.address(1, portStore+1)
	return address, f.serve(address, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		switch r.URL.Path {
		case "/entry":
			if b, err := io.ReadAll(r.Body); err == nil {
				f.putEntry(q.Get("id"), b)
			}
		case "/line":
			f.record.add("%s: %s", q.Get("id"), q.Get("text"))
		case "/crash":
			onCrash(q.Get("id"), q.Get("request"))
		}
	}))
}

// putEntry writes the entry of a worker.
func (f *fleet) putEntry(id string, b []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.beats == nil {
		f.beats = map[string]time.Time{}
	}
	f.beats[id] = time.Now()
	f.store.PutBytes(tableServers, id, b)
}

// keepEntry writes the entry of a worker in this process each heartbeat.
func (f *fleet) keepEntry(id string, e entry) {
	go func() {
		for ; ; time.Sleep(heartbeat) {
			e.Sequence++
			if b, err := json.Marshal(e); err == nil {
				f.putEntry(id, b)
			}
		}
	}()
}

// expireEntries removes the entries of workers that are silent, as the platform does.
func (f *fleet) expireEntries() {
	for ; ; time.Sleep(silentAfter / 20) {
		f.mu.Lock()
		for id, at := range f.beats {
			if time.Since(at) > silentAfter {
				delete(f.beats, id)
				f.store.Remove(tableServers, id)
				f.record.add("the entry of %s is removed", id)
			}
		}
		f.mu.Unlock()
	}
}

// start starts a program.
func (f *fleet) start(name string, env []string, args ...string) (*process, error) {
	log, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	c := exec.Command(args[0], args[1:]...)
	c.Env, c.Stdout, c.Stderr = append(os.Environ(), env...), log, log
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return nil, errors.New("the case has ended")
	}
	if err := c.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: c, done: make(chan struct{})}
	go func() {
		_ = c.Wait() // how it ended does not matter
		close(p.done)
	}()
	f.running = append(f.running, p)
	f.record.add("start %s, process %d", name, c.Process.Pid)
	return p, nil
}

// kill kills a process.
func (f *fleet) kill(p *process) {
	f.record.add("SIGKILL to %s", p.name)
	_ = p.cmd.Process.Kill() // it may have ended
}

// node is a machine with a node of the project.
type node struct {
	name, zone string
	number     int
}

// startNode starts a node with the command of the deploy file.
func (f *fleet) startNode(n node) (*process, error) {
	ip := f.ip(n.number)
	s := map[string]any{
		"node-name": n.name, "role": "edge", "machine-class": "edge", "serves": []string{"edge"},
		"ip": ip, "zone": n.zone, "region": f.zones[n.zone], "zones": f.zones,
		"listen": map[string]string{
			"front": f.address(n.number, portFront), "readiness": f.address(n.number, portReadiness), "control": f.address(n.number, portControl),
		},
		"port-range": []int{portFirst, portLast}, "seeds": []string{}, "bootstrap": true, "counts-as-loss": true,
		"limits":   map[string]any{"cpu-share": 0.4, "cores": 1, "memory-mb": 284, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0},
		"data-dir": nil, "discovery": "platform", "entry": "vip", "heartbeat-ms": heartbeat.Milliseconds(),
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "platform", "stages"},
		"fault-tolerance": map[string]int{"machines": 2, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 4000, "ack-ms": 5000, "catch-up-s": 4, "drain-ms": 2500, "grace-s": 8,
			"loss-slack-ms": 200, "config-apply-ms": 2500, "rollback-slack-ms": 250, "skew-max-ms": 6000, "fail-closed": false, "revoke-ms": 5000,
			"retry-ratio": 0.2, "retry-window-s": 10, "retry-slack": 56, "cold-overage": 1.5, "cold-slack": 5, "evacuation-ms": 5000,
			"recovery-s": 12, "iteration-ms": 250, "reuse-window-s": 8.3,
		},
		"platform": map[string]any{
			"address": f.address(1, portStore), "form": "table", "writes-per-s": 400, "reads-per-s": 2000, "tx-ms": 5.0, "partition-writes-s": 200,
			"row-bytes": 65536, "across": false, "history-s": 20, "blob-bytes": 8388608, "blob-ms": 25.0, "blob-mb-s": 80.0,
		},
	}
	b, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return nil, err
	}
	path := filepath.Join(f.dir, n.name+".json")
	if err := os.WriteFile(path, b, 0o600); err != nil {
		return nil, err
	}
	return f.start(n.name, []string{"BERGAMOTSPRING_BOOT=" + path}, f.program, "edge", "--metrics-port", fmt.Sprint(portMetrics))
}

// startAll starts nodes, and returns when they are ready and know each other.
func (f *fleet) startAll(l []node) ([]*process, error) {
	var running []*process
	for _, n := range l {
		p, err := f.startNode(n)
		if err != nil {
			return nil, err
		}
		running = append(running, p)
	}
	for _, n := range l {
		if err := f.awaitReady(n); err != nil {
			return nil, err
		}
	}
	time.Sleep(settle)
	return running, nil
}

// awaitReady waits until a node says that it is ready.
func (f *fleet) awaitReady(n node) error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r, err := http.Get("http://" + f.address(n.number, portReadiness) + "/readyz")
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			f.record.add("%s is ready", n.name)
			return nil
		}
	}
	return errors.New(n.name + " is not ready")
}

// closeOnSignal ends all processes that the case has started, and this one, when it is told to end.
func (f *fleet) closeOnSignal() {
	c := make(chan os.Signal, 1)
	signal.Notify(c, os.Interrupt, syscall.SIGTERM)
	<-c
	f.record.add("RESULT cannot run: told to end")
	f.close()
	os.Exit(exitCannotRun)
}

// close ends all processes that the case has started.
func (f *fleet) close() {
	f.mu.Lock()
	f.closed = true
	running, servers := slices.Clone(f.running), slices.Clone(f.servers)
	f.mu.Unlock()
	for _, p := range running {
		_ = p.cmd.Process.Kill() // it may have ended
		<-p.done
	}
	for _, s := range servers {
		_ = s.Close() // nothing waits for it
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir) // left in the temporary folder otherwise
	}
}
