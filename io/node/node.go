// Package node assembles the components of a node, serves the operator API, and starts
// and stops the node.
//
// This file connects the components, which call each other only through function fields.
package node

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"

	"bergamotspring/core/fleet"
	"bergamotspring/core/lease"
	"bergamotspring/core/limit"
	"bergamotspring/core/member"
	"bergamotspring/core/record"
	"bergamotspring/core/route"
	"bergamotspring/core/store"
	"bergamotspring/core/suspect"
	"bergamotspring/io/backend"
	"bergamotspring/io/caller"
	"bergamotspring/io/control"
	"bergamotspring/io/metrics"
	"bergamotspring/io/peer"
	"bergamotspring/io/permit"
	"bergamotspring/io/tables"
	"bergamotspring/schema"
	"bergamotspring/schema/setting"
)

// Node is one process of the system. Settings must be set before Run; the other
// exported fields are optional and have the defaults stated below.
type Node struct {
	Settings setting.Node
	Log      *zap.Logger // nil: JSON lines on standard error
	// Listen opens listeners, nil: net.Listen.
	Listen func(network, address string) (net.Listener, error)
	// Dial opens connections to the platform, nodes and servers, nil: a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Clock reads the clocks that leases use, nil: those of the system.
	Clock func() lease.Reading
	// BackendClock measures the validity of permits.
	BackendClock backend.Clock
	Seed         uint64 // of the random number generators, 0: random
	Incarnation  string // empty: random
	Record       func(record.Event)

	once         sync.Once
	done         chan struct{}
	started      atomic.Bool // the first configuration is in force
	leaving      atomic.Bool
	self         member.Node
	table        store.Table
	tableClient  *tables.Client
	vmListClient *tables.Client
	mesh         *peer.Mesh
	members      *control.Members
	health       *control.Health
	leases       *control.Leases
	watch        *control.Watch
	gossip       *control.Gossip
	limiters     *permit.Limiters
	links        *Links
	reconciler   *control.Reconciler
	broker       *permit.Broker
	claims       *tables.Claims
	claimRouter  *tables.ClaimRouter
	suspects     *suspect.Set
	router       *route.Router
	retries      permit.Retries
	backend      *backend.Client
	caller       *caller.Server
	metrics      *metrics.Metrics
	traces       Traces
	alarms       alarms
	view         atomic.Pointer[fleet.View]
}

// Garbage collector settings of a node process, unless GOGC and GOMEMLIMIT are set. The
// live heap is some tens of MB, so with the default GOGC of 100 collections would be
// frequent and take about half of the processor time of a proxied call.
const (
	gcPercent   = 800
	memoryLimit = 512 << 20 // bytes, soft
)

// Run runs a node until ctx ends and the node has drained.
func Run(ctx context.Context, s setting.Node) error {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimit)
	}
	n := &Node{Settings: s}
	return n.Run(ctx)
}

func (n *Node) init() {
	n.once.Do(func() { n.done = make(chan struct{}) })
}

// Done is closed when Run has returned.
func (n *Node) Done() <-chan struct{} {
	n.init()
	return n.done
}

// Ready returns the reason why the node accepts no requests, nil if it accepts them.
func (n *Node) Ready() error {
	switch {
	case n.leaving.Load():
		return errLeaving
	case !n.started.Load():
		return errStarting
	}
	return nil
}

var (
	errLeaving  = errors.New("the node is stopping")
	errStarting = errors.New("the node has no configuration in force yet")
)

// Run runs the node until ctx ends; then it drains and hands over its leases.
func (n *Node) Run(ctx context.Context) error {
	n.init()
	defer close(n.done)
	if err := n.build(); err != nil {
		return err
	}
	defer n.close()
	var g run.Group
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	for _, f := range []func(context.Context) error{n.leases.Run, n.watch.Run, n.gossip.Run, n.limiters.Run, n.links.Run, n.reconciler.Run, n.runMaintenance} {
		c, stop := context.WithCancel(inner)
		g.Add(func() error { return f(c) }, func(error) { stop() })
	}
	if err := n.serve(&g); err != nil {
		return err
	}
	g.Add(func() error { return n.join(inner) }, func(error) { cancel() })
	g.Add(func() error { return n.stop(ctx, inner) }, func(error) { cancel() })
	err := g.Run()
	if errors.Is(err, errStopped) {
		return nil
	}
	return err
}

func (n *Node) build() error {
	if n.Log == nil {
		l, err := newLogger(n.Settings.LogLevel)
		if err != nil {
			return err
		}
		n.Log = l
	}
	if n.Seed == 0 || n.Incarnation == "" {
		n.drawIdentity()
	}
	if n.Clock == nil {
		n.Clock = control.SystemClock()
	}
	s := n.Settings
	n.self = member.Node{
		Instance: lease.Instance{Node: s.ID, Incarnation: n.Incarnation}, VM: s.VM, Domain: s.Domain,
		Region: s.Region, Peer: s.PeerAdvertise, Operator: s.OperatorAdvertise,
	}
	n.Log = n.Log.With(zap.String("node", s.ID), zap.String("failure_domain", s.Domain))
	n.tableClient = &tables.Client{Table: s.TableURL, Token: s.TableToken.Reveal(), Dial: n.Dial}
	n.vmListClient = &tables.Client{List: s.VMsURL, Token: s.VMsToken.Reveal(), Dial: n.Dial}
	n.table = n.tableClient.Store()
	n.health, n.members = &control.Health{}, &control.Members{}
	if err := n.buildControl(); err != nil {
		return err
	}
	n.buildBroker()
	n.buildCaller()
	return nil
}

// drawIdentity sets Seed and Incarnation to random values where they are not set.
func (n *Node) drawIdentity() {
	var b [16]byte
	_, _ = rand.Read(b[:]) // never fails
	if n.Seed == 0 {
		n.Seed = binary.LittleEndian.Uint64(b[:])
	}
	if n.Incarnation == "" {
		n.Incarnation = rand.Text()[:12]
	}
}

// onRefused records that the peer address of h refused a connection. The wall clock may be set
// between two refusals, and must not make them count as spaced apart.
func (n *Node) onRefused(_ string, h lease.Instance) { n.members.ObserveRefused(h, n.Clock().Mono) }

// buildControl creates the components that track the other nodes, the leases and the
// configuration.
func (n *Node) buildControl() error {
	s := n.Settings
	dialTLS, acceptTLS, err := peerTLS(s.PeerTLS)
	if err != nil {
		return err
	}
	n.mesh = &peer.Mesh{
		Self: n.self.Instance, Key: []byte(s.PeerKey.Reveal()), Dial: n.Dial, Listen: n.Listen,
		DialTLS: dialTLS, AcceptTLS: acceptTLS,
		OnHello:   n.members.ObserveHello,
		OnRefused: n.onRefused,
	}
	n.leases = &control.Leases{
		Self: n.self, Table: n.table, Members: n.members, Health: n.health, Groups: n.groups,
		Clock: n.Clock, Seed: n.Seed, Record: n.Record, MaxCall: n.maxCall,
		Peers: control.Peers{
			Promise: n.mesh.Promise, Handover: n.mesh.Handover, Held: n.mesh.FetchHeld,
			SendDigest: n.mesh.SendDigest, FetchConfig: n.fetchConfig,
		},
		OnGained:      func(g fleet.GroupID, epoch uint64) { n.limiters.OnGained(g, epoch) },
		OnLost:        func(g fleet.GroupID) { n.limiters.OnLost(g) },
		OnHeldReport:  func(g fleet.GroupID, e uint64, r limit.HeldReport) { n.limiters.OnHeldReport(g, e, r) },
		OnAllReported: func(g fleet.GroupID, e uint64) { n.limiters.OnAllReported(g, e) },
		OnRecord:      func(r lease.Record) { n.gossip.SendRecord(r) },
		OnSuperseded:  func() { n.alarms.raise("superseded", errSuperseded) },
	}
	n.watch = &control.Watch{
		Self: n.self.Instance, Table: n.table, Members: n.members, Leases: n.leases, Health: n.health,
		VMs: n.vms, FetchConfig: n.fetchConfig, StartPeers: s.SeedPeers, Decode: schema.Unpack,
		OnInstall: n.install, OnAlarm: func(err error) { n.alarms.raise("configuration", err) },
		Seed: n.Seed, Record: n.Record,
	}
	n.gossip = &control.Gossip{
		Self: n.self.Instance, Members: n.members, Watch: n.watch, Leases: n.leases,
		Send: n.mesh.SendDigest, OnSuspects: n.mergeSuspects, Seed: n.Seed,
	}
	return nil
}

var errSuperseded = errors.New("another process runs under this node's id")

// buildBroker creates the components that grant, request and route permits and claims.
func (n *Node) buildBroker() {
	n.suspects = &suspect.Set{Now: time.Now}
	n.backend = &backend.Client{Dial: n.Dial, Clock: n.BackendClock}
	n.limiters = &permit.Limiters{
		Authority: n.leases.Authority, VM: n.members.VM,
		Deliver:  func(l []limit.Decision) { n.broker.Deliver(l) },
		Suspects: n.suspects, OnSuspects: n.broadcastSuspects, Load: n.backend.Load,
	}
	n.broker = &permit.Broker{
		Self: n.self.Instance, Holder: n.holderNode, Local: n.limiters.Local,
		Links: permit.Links{Request: n.mesh.RequestPermit, Releases: n.mesh.Releases, Withdraw: n.mesh.Withdraw},
	}
	n.links = &Links{
		Self: n.self.Instance, Region: n.self.Region, Authority: n.leases.Authority,
		Holder: n.holderNode, SendRequest: n.mesh.RequestLinkBytes,
	}
	n.reconciler = &control.Reconciler{Table: n.table, Leases: n.leases, View: n.view.Load, Send: n.sendOrder, Running: n.limiters.Running}
	n.router = &route.Router{
		Domain: n.self.Domain, Region: n.self.Region, Now: time.Now, Seed: n.Seed,
		Unconfirmed: n.unconfirmed, LinkBytes: n.links.Remaining, RequestLinkBytes: n.links.Request,
	}
	n.claims = &tables.Claims{
		Table: n.table, Node: peer.NodeName(n.self.Instance),
		Floor: func() uint64 { return n.watch.State().Sequence },
	}
	n.claimRouter = &tables.ClaimRouter{
		Self: n.self.Instance, Claims: n.claims, Nodes: n.claimWriters, Writers: writersInRegion,
		Claim: n.mesh.Claim, End: n.mesh.EndClaim,
	}
	peer.Handlers{
		Request: n.broker.OnRequest, Releases: n.broker.OnReleases, Withdraw: n.broker.OnWithdraw,
		Held: n.broker.HeldReport, Promise: n.leases.OnPromiseRequest, Handover: n.leases.OnHandover,
		Digest: n.gossip.OnDigest, Suspects: n.onSuspects, Config: n.configResponse,
		Link: n.links.OnRequest, State: n.state, Claim: n.claims.Start, EndClaim: n.claims.End,
	}.Register(n.mesh)
}

func (n *Node) buildCaller() {
	s := n.Settings
	n.metrics = metrics.New()
	n.caller = &caller.Server{
		Node: peer.NodeName(n.self.Instance), Region: s.Region, View: n.view.Load, Groups: n.route,
		Acquire: n.acquire, Release: n.release, BeginClaim: n.claimRouter.Begin, FinishClaim: n.finishClaim,
		SuspectState: n.suspects.Check, Backend: n.backend, Clock: n.BackendClock, Observe: n.observe,
		ObserveTokenGap: n.metrics.Gap, Record: n.Record, Log: n.Log, Workers: s.Workers,
		MaxBody: int(s.BodyBytes), MaxHeader: int(s.HeaderBytes), MaxInflight: s.InFlightBytes,
		StreamBuffer: int(s.StreamBytes),
	}
}

// install puts a configuration in force in every component of the node.
func (n *Node) install(v *fleet.View) {
	n.view.Store(v)
	n.router.Configure(v)
	n.limiters.Install(v)
	n.links.Install(v)
	n.started.Store(true)
	n.Log.Info("configuration in force", zap.Uint64("version", v.Version))
}

// groups returns the groups and links for which the nodes elect lease holders, with the
// region of each.
func (n *Node) groups() map[fleet.GroupID]string {
	v := n.view.Load()
	m := map[fleet.GroupID]string{}
	if v == nil {
		return m
	}
	for id, g := range v.Groups {
		m[id] = g.Region
	}
	for _, l := range v.Declaration.Links {
		m[linkGroup(v, l)] = l.From
	}
	return m
}

// serveHTTP adds an HTTP server to g.
func (n *Node) serveHTTP(g *run.Group, address string, s *http.Server) error {
	l, err := n.listen(address)
	if err != nil {
		return err
	}
	if s.TLSConfig != nil {
		g.Add(func() error { return s.ServeTLS(l, "", "") }, func(error) { _ = s.Close() })
		return nil
	}
	g.Add(func() error { return s.Serve(l) }, func(error) { _ = s.Close() })
	return nil
}

func (n *Node) listen(address string) (net.Listener, error) {
	if n.Listen != nil {
		return n.Listen("tcp", address)
	}
	return net.Listen("tcp", address)
}
