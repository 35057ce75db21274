// Package demo runs a whole deployment in one process: real nodes against stand-ins
// of the platform and of every declared backend server, over an in-memory network
// with the latencies within and between regions.
//
// The demo command uses it as an introduction; the tests run recorded sessions under a
// fake clock and check the record. This file builds the deployment.
package demo

import (
	"context"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"bergamotspring/core/fleet"
	"bergamotspring/core/lease"
	"bergamotspring/core/member"
	"bergamotspring/core/record"
	"bergamotspring/io/backend"
	"bergamotspring/io/node"
	"bergamotspring/io/standin"
	"bergamotspring/schema"
	"bergamotspring/schema/setting"
)

// Addresses that are not part of the declaration.
const (
	platformHost = "10.9.0.1"
	callerHost   = "10.8.0.1"
	tableAddress = platformHost + ":80"
	listAddress  = platformHost + ":81"

	callerPort   = ":8080"
	peerPort     = ":8081"
	operatorPort = ":8082"
	metricsPort  = ":8083"
)

const (
	peerKey = "demo peer key, not secret"
	// OperatorToken is the token of the operator API of the nodes.
	OperatorToken = "demo operator token"
)

// NodeSpec describes a node of a fleet.
type NodeSpec struct {
	Name   string
	Domain string
}

// Fleet is a deployment in one process. Declaration and Nodes must be set before
// Start. No other lock is taken while its lock is held.
type Fleet struct {
	Declaration *fleet.Declaration
	Nodes       []NodeSpec
	Seed        uint64
	Drain       time.Duration // of each node, 0: 10 s
	Log         *zap.Logger   // nil: nothing is logged
	// Clock returns a new clock for each node that starts; nil: the clock of the system.
	Clock func() func() lease.Reading
	// Front returns a server that serves callers in place of a node, to compare policies;
	// nil: nodes serve them.
	Front       func(s NodeSpec, host string) *http.Server
	ClockOf     func(node string) func() lease.Reading // overrides Clock
	Boot        func() time.Duration                   // nil: the boot clock of the system
	Cold        bool                                   // servers start cold
	Tune        func(*standin.Host)                    // adjusts a server before it starts
	StreamBytes int64                                  // buffer size of one stream, 0: 256 KiB

	Network standin.Network
	Table   standin.Table
	List    standin.VMList
	Engines map[string]*standin.Engine
	JSON    map[string]*standin.JSON

	mu           sync.Mutex
	events       []record.Event
	processes    []*nodeProcess // all that were ever started
	callFaults   []Fault        // to inject into matching calls
	running      map[string]*nodeProcess
	servers      []*http.Server
	hostDomains  map[string]string // host to failure domain
	incarnations map[string]int    // number of starts by node id
	requestCount int
	holders      map[string]string // group to its lease holder, as recorded
	faults       platformFaults
}

// nodeProcess is one incarnation of a node. A killed process records no more events.
type nodeProcess struct {
	node      *node.Node
	host      string
	cancel    context.CancelFunc
	killed    atomic.Bool
	paused    atomic.Bool
	mu        sync.Mutex
	listeners []net.Listener
}

// Start starts the platform and the backend servers, writes the declaration to the table
// and starts the nodes.
func (f *Fleet) Start() error {
	f.running, f.incarnations, f.hostDomains = map[string]*nodeProcess{}, map[string]int{}, map[string]string{}
	f.Engines, f.JSON = map[string]*standin.Engine{}, map[string]*standin.JSON{}
	f.hostDomains[platformHost] = f.Declaration.Domains[0].Name
	f.Network.Latency, f.Network.Path = f.latency, f.path
	f.holders = map[string]string{}
	f.installFaultHooks()
	if err := f.listen(tableAddress, f.Table.Handler()); err != nil {
		return err
	}
	if err := f.listen(listAddress, f.List.Handler()); err != nil {
		return err
	}
	for i := range f.Declaration.Servers {
		if err := f.startServer(&f.Declaration.Servers[i]); err != nil {
			return err
		}
	}
	if err := f.writeFirstVersion(); err != nil {
		return err
	}
	for i, s := range f.Nodes { // all hosts, before a node reads the map
		f.hostDomains[f.nodeHost(i)] = s.Domain
	}
	for _, s := range f.Nodes {
		if err := f.StartNode(s.Name); err != nil {
			return err
		}
	}
	return nil
}

// writeFirstVersion writes the first version of the configuration to the table, as the
// first apply of an operator does.
func (f *Fleet) writeFirstVersion() error {
	b, err := schema.Pack(f.Declaration)
	if err != nil {
		return err
	}
	a := member.Apply{ID: "first", Author: "demo", Reason: "first declaration", At: time.Now(), Payload: b}
	t, _, _, err := a.Plan(nil, 0)
	if err != nil {
		return err
	}
	_, err = f.Table.Direct("demo").Transact(context.Background(), t)
	return err
}

func (f *Fleet) listen(address string, h http.Handler) error {
	l, err := f.Network.Listen(address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	f.servers = append(f.servers, s)
	go func() { _ = s.Serve(l) }() // ends with Stop
	return nil
}

func hostName(address string) string {
	h, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return h
}

func (f *Fleet) startServer(b *fleet.BackendServer) error {
	host := hostName(b.Address)
	f.hostDomains[host] = b.Domain
	f.List.Set(b.VM, "live")
	var p *fleet.Pool
	for i := range f.Declaration.Pools {
		if f.Declaration.Pools[i].Name == b.Pool {
			p = &f.Declaration.Pools[i]
		}
	}
	if p.Protocol == fleet.ProtocolEngine {
		e := newEngine(p)
		e.Fault = func(c standin.Completion) standin.Fault { return f.takeFault(b, c.Prompt) }
		f.Engines[b.Name] = e
		f.configureHost(&e.Host, b, p)
		return f.listen(b.Address, e.Handler())
	}
	j := &standin.JSON{Service: p.Expect}
	j.Fault = func(_ string, c standin.Call) standin.Fault { return f.takeFault(b, string(c.Input)) }
	f.JSON[b.Name] = j
	f.configureHost(&j.Host, b, p)
	return f.listen(b.Address, j.Handler())
}

func (f *Fleet) configureHost(h *standin.Host, b *fleet.BackendServer, p *fleet.Pool) {
	host := hostName(b.Address)
	h.Capacity = p.Limit
	h.Name, h.Domain, h.MaxColdCalls, h.ColdFactor, h.WarmAfter = b.Name, b.Domain, p.ColdLimit, 4, 4*p.ColdLimit
	h.ColdNotice = time.Second
	h.Record = f.Record
	h.OnCrash = func() { f.Network.SetHost(host, standin.HostRefuses) }
	h.OnRestart = func() { f.Network.SetHost(host, standin.HostUp) }
	if f.Tune != nil {
		f.Tune(h)
	}
	if f.Cold {
		h.SetCold(true)
	}
}

func (f *Fleet) nodeHost(i int) string { return fmt.Sprintf("10.7.0.%d", i+1) }

// StartNode starts a node of Nodes as a new incarnation.
func (f *Fleet) StartNode(name string) error {
	for i, s := range f.Nodes {
		if s.Name == name {
			return f.startNode(s, f.nodeHost(i), i)
		}
	}
	return fmt.Errorf("demo: there is no node %q", name)
}

func (f *Fleet) startNode(s NodeSpec, host string, i int) error {
	if f.Front != nil {
		h := f.Front(s, host)
		l, err := f.Network.Listen(host + callerPort)
		if err != nil {
			return err
		}
		f.servers = append(f.servers, h)
		go func() { _ = h.Serve(l) }() // ends with Stop
		return nil
	}
	f.mu.Lock()
	f.incarnations[s.Name]++
	incarnation := f.incarnations[s.Name]
	f.mu.Unlock()
	f.Network.SetHost(host, standin.HostUp)
	vm := "vm-" + s.Name
	f.List.Set(vm, "live")
	ctx, cancel := context.WithCancel(context.Background())
	r := &nodeProcess{host: host, cancel: cancel}
	n := &node.Node{
		Settings: f.settings(s, host, vm), Log: f.Log, Dial: f.Network.Dialer(host),
		Listen: func(_, a string) (net.Listener, error) { return f.listenFor(r, host+a) },
		Seed:   f.Seed*1000 + uint64(i*10+incarnation), Incarnation: fmt.Sprintf("i%d", incarnation),
		Record:       func(e record.Event) { f.recordFrom(r, e) },
		BackendClock: backend.Clock{Boot: f.Boot},
	}
	r.node = n
	if n.Log == nil {
		n.Log = zap.NewNop()
	}
	if f.Clock != nil {
		n.Clock = f.Clock()
	}
	if f.ClockOf != nil {
		n.Clock = f.ClockOf(s.Name)
	}
	f.mu.Lock()
	f.running[s.Name] = r
	f.processes = append(f.processes, r)
	f.mu.Unlock()
	go func() {
		if err := n.Run(ctx); err != nil {
			f.recordFrom(r, record.Event{At: time.Now(), Actor: s.Name, Kind: record.FaultInjected, Detail: "node ended: " + err.Error()})
		}
	}()
	return nil
}

func (f *Fleet) settings(s NodeSpec, host, vm string) setting.Node {
	d := f.Drain
	if d == 0 {
		d = 10 * time.Second
	}
	b := f.StreamBytes
	if b == 0 {
		b = 256 << 10
	}
	var seeds []string
	for i, x := range f.Nodes {
		if x.Name != s.Name && f.region(x.Domain) == f.region(s.Domain) {
			seeds = append(seeds, f.nodeHost(i)+peerPort)
		}
	}
	return setting.Node{
		ID: s.Name, Domain: s.Domain, Region: f.region(s.Domain), VM: vm,
		CallerListen: callerPort, PeerListen: peerPort, OperatorListen: operatorPort, MetricsListen: metricsPort,
		PeerAdvertise: host + peerPort, OperatorAdvertise: host + operatorPort,
		TableURL: "http://" + tableAddress, VMsURL: "http://" + listAddress,
		PeerKey: setting.NewSecret(peerKey), OperatorToken: setting.NewSecret(OperatorToken),
		SeedPeers: seeds, Workers: 256, BodyBytes: 1 << 20, HeaderBytes: 32 << 10, StreamBytes: b,
		InFlightBytes: 256 << 20, Drain: d, LogLevel: "info",
	}
}

func (f *Fleet) region(domain string) string {
	for _, d := range f.Declaration.Domains {
		if d.Name == domain {
			return d.Region
		}
	}
	return ""
}

// latency returns the one-way delay between two hosts. It differs from pair to pair, so
// that messages of different pairs do not arrive at the same instant by construction.
func (f *Fleet) latency(from, to string) time.Duration {
	if from == to {
		return 0
	}
	own := time.Duration(pairHash(from, to)%97) * time.Microsecond
	if from == callerHost || to == callerHost {
		return time.Millisecond + own
	}
	a, b := f.hostDomains[from], f.hostDomains[to]
	switch {
	case a == b:
		return 100*time.Microsecond + own
	case f.region(a) == f.region(b):
		return 400*time.Microsecond + own
	}
	return 12*time.Millisecond + own
}

func pairHash(a, b string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(a + ">" + b)) // never fails
	return h.Sum32()
}

// path returns the name and bandwidth of the link between the regions of two hosts.
func (f *Fleet) path(from, to string) (string, int64) {
	if from == callerHost || to == callerHost {
		return "", 0
	}
	a, b := f.region(f.hostDomains[from]), f.region(f.hostDomains[to])
	if a == b {
		return "", 0
	}
	return a + ">" + b, 4 << 20 // bytes per second, whatever the declaration says of the link
}

// Record appends an event to the record of the fleet and tracks the lease holders.
func (f *Fleet) Record(e record.Event) {
	f.recordExpiredLease(e)
	f.mu.Lock()
	defer f.mu.Unlock()
	switch e.Kind {
	case record.LeaseGained:
		f.holders[e.Group] = e.Actor
	case record.LeaseLost:
		if f.holders[e.Group] == e.Actor {
			delete(f.holders, e.Group)
		}
	}
	f.events = append(f.events, e)
}

// RecordNow records an event of kind k at the present time.
func (f *Fleet) RecordNow(k record.Kind, e record.Event) {
	e.At, e.Kind = time.Now(), k
	f.Record(e)
}

// Stop stops all nodes at once, then the servers and the network.
func (f *Fleet) Stop() {
	f.mu.Lock()
	l := f.processes
	f.mu.Unlock()
	for _, r := range l {
		r.cancel()
	}
	for _, r := range l {
		<-r.node.Done()
	}
	for _, s := range f.servers {
		_ = s.Close() // closes the listeners, which cannot fail here
	}
	f.Network.Close()
}
