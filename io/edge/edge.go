// Package edge assembles a node on the users' platform: it follows the store, links to
// the other nodes, places requests as the home of its region, and serves callers.
//
// Locks are taken one at a time; none is held during I/O.
package edge

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"

	"bergamotspring/core/lease"
	"bergamotspring/core/placement"
	"bergamotspring/core/relay"
	"bergamotspring/core/roster"
	"bergamotspring/core/suspect"
	"bergamotspring/io/exchange"
	"bergamotspring/io/peer"
	"bergamotspring/io/proxy"
	"bergamotspring/io/wait"
	"bergamotspring/platform"
)

const (
	// memoryShare of the memory limit is where the garbage collector works harder.
	memoryShare = 0.7
	// sweepEvery is how often idle connections to servers are looked through.
	sweepEvery = 500 * time.Millisecond
	// idleCallers is how long a caller's connection may be idle. This and the next two are
	// wider than what the operator allows callers, so that none of those is cut.
	idleCallers = 2 * time.Minute
	// headerTimeout bounds the reading of a request's head, and maxHeader its bytes.
	headerTimeout = 10 * time.Second
	maxHeader     = 64 << 10
)

// Node is a node on the users' platform. Settings and Log must be set.
type Node struct {
	Settings *platform.Settings
	Log      *zap.Logger
	// Reload, if set, is called for each value received from Hangup.
	Reload func()
	Hangup <-chan os.Signal
	// Dial opens connections, nil: TCP on which silence is found in seconds.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Listen opens listeners, nil: net.Listen.
	Listen func(network, address string) (net.Listener, error)

	store           platform.Store
	cache           relay.Cache
	roster          roster.Roster
	pool            exchange.Pool
	scheduler       scheduler
	tableCache      tableCache
	schedulerClient schedulerClient
	mesh            atomic.Pointer[peer.Mesh]
	self            roster.Node
	coordinator     roster.Node // as last logged; of members only
	stopping        atomic.Bool
	requests        retries // of requests that this node sends to servers
	crashes         suspect.Counter
	sampler         sampler
	meter           *meter
	tasks           retries // of pieces that this node has made as a home
}

// Options are what the command line says of a node.
type Options struct {
	Settings string // path of the settings file, empty: where the platform places it
	Metrics  int    // port for scrapes, 0: none
}

// Run runs a node until the context ends; it then stops as planned.
func Run(ctx context.Context, o Options) error {
	path := o.Settings
	if path == "" {
		path = platform.SettingsPath()
	}
	s, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(s.Memory)))
	w := newLineWriter(os.Stdout)
	l := newLogger(w).With(zap.String("node", s.Node))
	logging, end := context.WithCancel(context.Background())
	defer end()
	go w.run(logging)
	go w.report(logging, l)
	defer func() { _ = l.Sync() }() // bounded; what is not written then is lost
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	if o.Metrics > 0 {
		s.Metrics = net.JoinHostPort(s.IP, strconv.Itoa(o.Metrics))
	}
	n := &Node{Settings: s, Log: l, Hangup: hup, Reload: func() { reload(l, path) }}
	return n.Run(ctx)
}

// reload checks the settings file. Addresses and limits hold until the next start.
func reload(l *zap.Logger, path string) {
	if _, err := platform.ReadSettings(path); err != nil {
		l.Error("reload_failed", zap.Error(err))
		return
	}
	l.Info("reloaded")
}

func (n *Node) init() {
	s := n.Settings
	b := make([]byte, 8)
	_, _ = rand.Read(b) // never fails
	n.self = roster.Node{Name: s.Node, Peer: s.Peer, Domain: s.Domain, Region: s.Region, Incarnation: hex.EncodeToString(b)}
	if n.Dial == nil {
		n.Dial = exchange.Dial
	}
	if n.Listen == nil {
		n.Listen = net.Listen
	}
	n.store.Address, n.store.Dial = s.Store, n.Dial
	n.pool.MaxConnections = n.connections
	n.pool.Dial = func(ctx context.Context, address string) (net.Conn, error) { return n.Dial(ctx, "tcp", address) }
	n.cache.Now, n.roster.Now = time.Now, time.Now
	n.sampler.now, n.crashes.Now = time.Now, time.Now
	n.meter = newMeter()
	n.scheduler.meter, n.scheduler.keep = n.meter, n.sampler.keep
	n.requests = retries{settings: s, share: n.nodeShare}
	n.tasks = retries{settings: s, share: n.coordinatorShare}
	n.scheduler.pool, n.scheduler.log = &n.pool, n.Log
	n.scheduler.place = placement.Scheduler{Now: time.Now, View: n.cache.View, Region: s.Region, CountFirst: n.tasks.first, TakeRetry: n.retryTask}
	n.tableCache = tableCache{settings: s, store: &n.store, cache: &n.cache, roster: &n.roster, log: n.Log, peers: n.mesh.Load}
	n.tableCache.init()
	n.schedulerClient = schedulerClient{self: s.Peer, stopping: n.stopping.Load, region: s.Region, roster: &n.roster, mesh: n.mesh.Load, scheduler: &n.scheduler, log: n.Log}
}

// Run runs the node until the context ends.
func (n *Node) Run(ctx context.Context) error {
	n.init()
	n.Log.Info("start", zap.String("domain", n.self.Domain), zap.String("incarnation", n.self.Incarnation), zap.String("callers", n.Settings.Callers))
	work, end := context.WithCancel(context.Background())
	defer end()
	callers := n.callers()
	var g run.Group
	g.Add(func() error { return n.stop(ctx, work, callers) }, func(error) { end() })
	for _, f := range n.tableCache.all() {
		g.Add(func() error { f.run(work); return nil }, func(error) { end() })
	}
	g.Add(func() error { n.scheduler.run(work); return nil }, func(error) { end() })
	g.Add(func() error { n.link(work); return nil }, func(error) { end() })
	g.Add(func() error { wait.Every(work, sweepEvery, n.pool.Sweep); return nil }, func(error) { end() })
	g.Add(func() error { n.hangups(work); return nil }, func(error) { end() })
	g.Add(func() error { return n.serve(work, callers) }, func(error) { _ = callers.Close() })
	probe := &http.Server{Addr: n.Settings.Readiness, Handler: http.HandlerFunc(n.readiness), ReadHeaderTimeout: headerTimeout}
	g.Add(func() error { return n.serve(work, probe) }, func(error) { _ = probe.Close() })
	if n.Settings.Metrics != "" {
		scrape := &http.Server{Addr: n.Settings.Metrics, Handler: n.meter.all.Handler(), ReadHeaderTimeout: headerTimeout}
		g.Add(func() error { return n.serve(work, scrape) }, func(error) { _ = scrape.Close() })
	}
	err := g.Run()
	if e := n.meter.all.Close(); e != nil {
		n.Log.Warn("metrics_close_failed", zap.Error(e))
	}
	if m := n.mesh.Load(); m != nil {
		m.Close()
	}
	n.Log.Info("stopped", zap.Error(err))
	return err
}

// serve serves until the context ends. A server that is being shut down stops accepting
// at once, but its requests run on until the context ends.
func (n *Node) serve(ctx context.Context, s *http.Server) error {
	l, err := n.Listen("tcp", s.Addr)
	if err != nil {
		return err
	}
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	<-ctx.Done()
	return nil
}

// callers returns the server for callers.
func (n *Node) callers() *http.Server {
	s := &proxy.Server{
		Protocol: platform.Protocol(), View: n.cache.View, Region: n.Settings.Region, Domain: n.Settings.Domain,
		Pool: &n.pool, Schedule: n.schedulerClient.place, Report: n.schedulerClient.report,
		CountFirst: n.requests.first, TakeRetry: n.requests.retry,
		IsPoison: n.crashes.IsPoison, OnBroken: n.onBroken, OnSuccess: n.onSuccess, OnEnd: n.meter.request, Sample: n.sampler.keep, Stopping: n.stopping.Load, Log: n.Log,
	}
	return &http.Server{
		Addr: n.Settings.Callers, Handler: s, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleCallers,
		MaxHeaderBytes: maxHeader, ErrorLog: zap.NewStdLog(n.Log),
	}
}

// readiness answers the platform's probe.
func (n *Node) readiness(w http.ResponseWriter, _ *http.Request) {
	if n.stopping.Load() || n.cache.View().Config == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// link gets the key of the fleet, serves other nodes, and looks after the registrations.
func (n *Node) link(ctx context.Context) {
	key := n.key(ctx)
	if key == nil {
		return
	}
	m := &peer.Mesh{
		Self: lease.Instance{Node: n.self.Name, Incarnation: n.self.Incarnation}, Key: key,
		Dial: n.Dial, Listen: n.Listen,
		OnHello: func(a string, _ lease.Instance) { n.roster.MarkAlive(a) },
	}
	peer.PlacementHandlers{
		Request:   n.scheduler.serve,
		Report:    n.scheduler.report,
		Crash:     n.onCrashReport,
		Snapshots: n.tableCache.newer,
	}.Register(m)
	if _, _, err := m.Serve(n.Settings.Peer); err != nil {
		n.Log.Error("peer_listen_failed", zap.String("address", n.Settings.Peer), zap.Error(err))
		return
	}
	n.mesh.Store(m)
	n.members(ctx)
}

// key returns the key of the fleet, nil if the context ends before it is known.
func (n *Node) key(ctx context.Context) []byte {
	for pause := retryMin; ctx.Err() == nil; pause = min(2*pause, retryMax) {
		k, err := platform.PeerKey(ctx, &n.store)
		if err == nil {
			return k
		}
		n.Log.Warn("peer_key_failed", zap.Error(err))
		wait.Sleep(ctx, pause)
	}
	return nil
}

// hangups calls Reload for each value from Hangup until the context ends.
func (n *Node) hangups(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.Hangup:
			n.Reload()
		}
	}
}
