package main

// This file defines the rig: the store, the nodes' processes, and the record.

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"bergamotspring/platform/standin"
)

// Ports of all machines, which differ in their addresses.
const (
	portCallers   = 8625
	portReadiness = 8621
	portControl   = 8628
	portPeer      = 7740
	portStore     = 8624
	portWorker    = 8743
)

// startTime bounds how long nodes may take until they are ready.
const startTime = 10 * time.Second

// regions maps the zones of the deployment to their regions.
var regions = map[string]string{"muc-a": "oberbayern", "muc-b": "oberbayern", "nue-a": "franken"}

var errClosed = errors.New("the rig is closed")

// rig is a small deployment on loopback addresses.
type rig struct {
	program  string
	dir      string // temporary, with the settings and logs of the nodes
	disrupts bool   // the disruption takes place
	network  string // first three numbers of all addresses
	store    *standin.Store
	nodes    []*node
	start    time.Time
	tenants  []any // of the configurations
	servers  []*http.Server

	polled chan struct{} // gets a value when a node has polled the workers' entries
	mu     sync.Mutex
	record *os.File
	nextIP int
	closed bool // no process is started any more
}

// node is a machine of the system with its process.
type node struct {
	name, zone, ip string
	process        *exec.Cmd
	ended          chan struct{} // closed when the process has ended
}

func (n *node) at(port int) string { return net.JoinHostPort(n.ip, fmt.Sprint(port)) }

func newRig(program, dir string, disrupts bool) (*rig, error) {
	program, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	temporary, err := os.MkdirTemp("", "rig")
	if err != nil {
		return nil, err
	}
	r := &rig{program: program, dir: temporary, disrupts: disrupts, store: &standin.Store{}, polled: make(chan struct{}, 1), record: record, start: time.Now()}
	r.tenants = []any{map[string]any{"name": "club", "api-keys": []string{apiKey}}}
	for range 50 {
		r.network = fmt.Sprintf("127.%d.%d", 1+rand.IntN(254), rand.IntN(256))
		if err = r.serve(r.storeAddress(), http.HandlerFunc(r.serveStore)); err == nil {
			r.note("disruption: %v", disrupts)
			return r, nil
		}
	}
	return nil, err
}

func (r *rig) storeAddress() string { return fmt.Sprintf("%s.250:%d", r.network, portStore) }

// serveStore serves the store, and reports the polls of the workers' entries.
func (r *rig) serveStore(w http.ResponseWriter, q *http.Request) {
	r.store.ServeHTTP(w, q)
	if q.URL.Path == "/rows-feed" && q.URL.Query().Get("table") == "servers" {
		select {
		case r.polled <- struct{}{}:
		default:
		}
	}
}

// awaitPoll waits until a node has polled the workers' entries.
func (r *rig) awaitPoll() {
	select {
	case <-r.polled: // an earlier one
	default:
	}
	<-r.polled
}

// note writes a line into the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// serve serves HTTP at an address until the rig closes.
func (r *rig) serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	r.servers = append(r.servers, s)
	go func() { _ = s.Serve(l) }() // until close
	return nil
}

// newIP returns an address that no machine has yet.
func (r *rig) newIP() string {
	r.nextIP++
	return fmt.Sprintf("%s.%d", r.network, r.nextIP)
}

// addNode starts a node in a zone.
func (r *rig) addNode(zone string) error {
	n := &node{name: fmt.Sprintf("edge-%s-%d", zone, len(r.nodes)+1), zone: zone, ip: r.newIP()}
	r.mu.Lock()
	r.nodes = append(r.nodes, n)
	r.mu.Unlock()
	return r.startNode(n)
}

// addNodes starts the nodes of the deployment, and returns when they have been ready for a time.
func (r *rig) addNodes() error {
	for _, z := range []string{"muc-a", "nue-a", "muc-b", "muc-a", "nue-a", "muc-b", "muc-a", "nue-a"} {
		if err := r.addNode(z); err != nil {
			return err
		}
	}
	if err := r.waitReady(); err != nil {
		return err
	}
	time.Sleep(contactTime)
	return nil
}

// startNode starts the process of a node, as the deploy file does.
func (r *rig) startNode(n *node) error {
	path := filepath.Join(r.dir, n.name+".json")
	if err := os.WriteFile(path, r.settings(n), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(r.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own
	c := exec.Command(r.program, "edge", "--metrics-port", "9180")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + r.dir, "BERGAMOTSPRING_BOOT=" + path}
	c.Stdout, c.Stderr = log, log
	ended := make(chan struct{})
	r.mu.Lock()
	err = errClosed
	if !r.closed {
		err = c.Start()
	}
	if err == nil {
		n.process, n.ended = c, ended
	}
	r.mu.Unlock()
	if err != nil {
		return err
	}
	go func() {
		_ = c.Wait() // it is killed
		close(ended)
	}()
	r.note("node %s starts, process %d", n.name, c.Process.Pid)
	return nil
}

// kill kills the process of a node and waits for its end.
func (r *rig) kill(n *node) {
	r.note("node %s is killed", n.name)
	_ = n.process.Process.Kill() // it may have ended
	<-n.ended
}

// signal sends a signal to the process of a node.
func (r *rig) signal(n *node, s syscall.Signal) {
	r.note("node %s gets %v", n.name, s)
	_ = n.process.Process.Signal(s) // it may have ended
}

// settings returns the settings file of a node.
func (r *rig) settings(n *node) []byte {
	b, _ := json.Marshal(map[string]any{ // plain values
		"node-name": n.name, "role": "edge", "machine-class": "edge", "serves": []string{"edge"},
		"ip": n.ip, "zone": n.zone, "region": regions[n.zone], "zones": regions,
		"listen":     map[string]any{"front": n.at(portCallers), "readiness": n.at(portReadiness), "control": n.at(portControl)},
		"port-range": []int{portPeer, portPeer + 15}, "seeds": []string{}, "bootstrap": true, "heartbeat-ms": 1200,
		"limits": map[string]any{"cpu-share": 0.4, "cores": 1, "memory-mb": 284, "max-fds": 4100, "link-mbps": 1000, "disk-mb": 0},
		"bounds": map[string]any{
			"contact-ms": 4000, "drain-ms": 2500, "grace-s": 8, "config-apply-ms": 2500, "evacuation-ms": 5000,
			"retry-ratio": 0.2, "retry-window-s": 10, "retry-slack": 56, "recovery-s": 12,
		},
		"platform": map[string]any{"address": r.storeAddress(), "form": "table", "history-s": 20},
	})
	return b
}

// waitReady waits until all nodes are ready.
func (r *rig) waitReady() error {
	end := time.Now().Add(startTime)
	for _, n := range r.nodes {
		for !isReady(n) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func isReady(n *node) bool {
	c := http.Client{Timeout: time.Second}
	a, err := c.Get("http://" + n.at(portReadiness) + "/readyz")
	if err != nil {
		return false
	}
	_ = a.Body.Close() // not read
	return a.StatusCode == http.StatusOK
}

// close ends all processes and removes the temporary folder.
func (r *rig) close() {
	r.mu.Lock()
	r.closed = true
	l := r.nodes
	r.mu.Unlock()
	for _, n := range l {
		if n.process != nil {
			_ = n.process.Process.Kill() // it may have ended
			<-n.ended
		}
	}
	for _, s := range r.servers {
		_ = s.Close() // the rig ends
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir) // temporary
	} else {
		fmt.Println("kept:", r.dir)
	}
	_ = r.record.Close() // written line by line
}
