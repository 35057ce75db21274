// Package edge assembles a node on the users' platform: it watches the store's tables,
// connects to the other nodes, schedules requests while it is the coordinator of its region,
// and serves callers.
//
// No lock is held during I/O. The locks of the scheduler, the table watches, the table follower, the
// counter of crashes and the connection pool are taken before those of the caches, the roster and the retry budgets, that of
// the balancer before that of the hold-offs. The locks of the scheduler, of rollouts, of the cache and the roster, and of
// core/rollout are taken in this order; the others are taken one at a time.
package edge

import (
	"cmp"
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

	"bergamotspring/core/fanout"
	"bergamotspring/core/lease"
	"bergamotspring/core/memory"
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
	// memoryLimitShare is the part of the memory limit that is set as the soft limit of
	// the garbage collector.
	memoryLimitShare = 0.7
	// sweepInterval is how often the pool of connections to servers is swept for idle ones.
	sweepInterval = 500 * time.Millisecond
	// callerIdleTimeout is how long a caller's connection may be idle. This and the next two
	// limits are wider than those that the operator sets for callers, so that they never
	// apply first.
	callerIdleTimeout = 2 * time.Minute
	// headerTimeout bounds the time to read a request's headers, maxHeaderBytes their size.
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 64 << 10
)

// Node is a node on the users' platform. Settings and Log must be set.
type Node struct {
	Settings *platform.Settings
	Log      *zap.Logger
	// Reload is called for each value received from Hangup; required if Hangup is set.
	Reload func()
	Hangup <-chan os.Signal
	// Dial opens connections; nil means exchange.Dial, TCP that detects a silent peer
	// within seconds.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Listen opens listeners; nil means net.Listen.
	Listen func(network, address string) (net.Listener, error)

	protocol        int // of the messages between nodes; 0 means peer.PlacementProtocol
	store           platform.Store
	cache           relay.Cache
	roster          roster.Roster
	pool            exchange.Pool
	scheduler       scheduler
	tableCache      tableCache
	tableFollower   tableFollower
	schedulerClient schedulerClient
	mesh            atomic.Pointer[peer.Mesh]
	self            roster.Node
	coordinator     roster.Node // as last logged; used by the registration loop only
	stopping        atomic.Bool
	unlisted        chan struct{} // receives when a restored store lacks this node's row
	registering     atomic.Bool   // by registerAgain
	drain           drain
	requestRetries  retries // of requests that this node sends to backend servers
	nothingRead     nothingRead
	crashes         suspect.Counter
	broken          brokenRequests
	serverGuard     serverGuard
	reportLoad      func() // updates the metrics about load; set by callerServer
	sampler         sampler
	meter           *meter
	taskRetries     retries // of tasks that this node schedules as coordinator
	memory          memory.Account
	rollouts        rollouts
}

// Options are the command-line options of a node.
type Options struct {
	Settings string // path of the settings file; empty: the platform's default
	Metrics  int    // port for metrics scrapes; 0: none
}

// Run runs a node until the context ends, and then stops it gracefully.
func Run(ctx context.Context, o Options) error {
	path := o.Settings
	if path == "" {
		path = platform.SettingsPath()
	}
	s, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.Memory)))
	}
	w := newLineWriter(os.Stdout)
	l := newLogger(w).With(zap.String("node", s.Node))
	logging, end := context.WithCancel(context.Background())
	defer end()
	go w.run(logging)
	go w.reportDropped(logging, l)
	defer func() { _ = l.Sync() }() // bounded; lines not written by then are lost
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	if o.Metrics > 0 {
		s.Metrics = net.JoinHostPort(s.IP, strconv.Itoa(o.Metrics))
	}
	n := &Node{Settings: s, Log: l, Hangup: hup, Reload: func() { reload(l, path) }}
	return n.Run(ctx)
}

// reload only validates the settings file: addresses and limits take effect at the next start.
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
	n.self = roster.Node{Name: s.Node, Peer: s.Peer, Domain: s.Domain, Region: s.Region, CPU: s.CPU, Incarnation: hex.EncodeToString(b), Protocol: cmp.Or(n.protocol, peer.PlacementProtocol)}
	if n.Dial == nil {
		n.Dial = exchange.Dial
	}
	if n.Listen == nil {
		n.Listen = net.Listen
	}
	n.store.Address, n.store.RowBytes, n.store.Dial = s.Store, s.RowBytes, n.Dial
	n.pool.MaxConnections, n.pool.OnForeign, n.pool.OnCut = n.maxConnections, n.logForeign, n.onCut
	n.pool.Dial = func(ctx context.Context, address string) (net.Conn, error) { return n.Dial(ctx, "tcp", address) }
	n.cache.Now, n.roster.Now = time.Now, time.Now
	n.sampler.now, n.crashes.Now = time.Now, time.Now
	n.crashes.Domain = n.cache.Domain
	n.crashes.OnFound, n.crashes.OnReleased = n.onCulprit, n.onCulpritReleased
	n.serverGuard = serverGuard{cache: &n.cache, log: n.Log, onHoldOff: n.scheduler.holdOff}
	n.serverGuard.holdOffs.Now = time.Now
	n.memory.Now = time.Now
	n.memory.Bound, n.scheduler.memory = memory.Bound(s.Memory), &n.memory
	n.drain = newDrain()
	n.unlisted = make(chan struct{}, 1)
	n.meter = newMeter()
	n.scheduler.meter, n.scheduler.sample = n.meter, n.sampler.sample
	n.requestRetries = retries{settings: s, slackShare: n.nodeShare}
	n.taskRetries = retries{settings: s, slackShare: n.coordinatorShare}
	n.scheduler.onExhausted, n.scheduler.inquire, n.scheduler.tellProven = n.onExhausted, n.inquire, n.tellProven
	n.scheduler.pool, n.scheduler.log, n.scheduler.guard = &n.pool, n.Log, &n.serverGuard
	n.scheduler.core = placement.Scheduler{
		Now: time.Now, View: n.cache.View, Region: s.Region, Shares: s.Shares,
		Absent: n.cache.Absent, StartedLately: n.startedLately, Coordinates: n.coordinates,
		CountFirst: n.taskRetries.countFirst, TakeRetry: n.takeTaskRetry,
	}
	n.rollouts = rollouts{self: n.self, store: &n.store, cache: &n.cache, roster: &n.roster, mesh: n.mesh.Load, tasks: &n.scheduler, meter: n.meter, log: n.Log}
	n.rollouts.init(s.Rollouts)
	n.scheduler.core.Rollouts, n.scheduler.onBatch = n.rollouts.placementRollouts(), n.rollouts.observeBatch
	n.tableFollower = tableFollower{settings: s, tables: &n.tableCache, cache: &n.cache, roster: &n.roster, log: n.Log, mesh: n.mesh.Load}
	n.tableFollower.core = fanout.Follower{Self: s.Peer, Now: time.Now}
	n.tableFollower.outages.Self = s.Peer
	n.tableCache = tableCache{
		settings: s, protocol: n.self.Protocol, store: &n.store, cache: &n.cache, roster: &n.roster, log: n.Log, meter: n.meter,
		onConfirm: n.tableFollower.onConfirm, onResponse: n.tableFollower.onStoreResponse, onFailure: n.tableFollower.onStoreFailure,
		onServer: n.onServerEntry, onNodesRestored: n.onNodesRestored, onVersions: n.rollouts.setVersions, onOrders: n.rollouts.setOrders,
	}
	n.tableCache.init()
	n.schedulerClient = schedulerClient{self: s.Peer, stopping: n.stopping.Load, region: s.Region, roster: &n.roster, mesh: n.mesh.Load, scheduler: &n.scheduler, log: n.Log}
	n.schedulerClient.readings.Now = time.Now
}

// Run runs the node until the context ends, and then stops it gracefully.
func (n *Node) Run(ctx context.Context) error {
	n.init()
	n.Log.Info("start", zap.String("domain", n.self.Domain), zap.String("incarnation", n.self.Incarnation), zap.String("callers", n.Settings.Callers))
	defer n.drain.close()
	work, end := context.WithCancel(context.Background())
	defer end()
	entry := n.proxy()
	callers := n.callerServer(entry)
	var g run.Group
	g.Add(func() error { return n.stop(ctx, work, callers) }, func(error) { end() })
	for _, f := range n.tableCache.watches() {
		g.Add(func() error { f.run(work); return nil }, func(error) { end() })
	}
	g.Add(func() error { n.tableFollower.run(work); return nil }, func(error) { end() })
	g.Add(func() error { n.scheduler.run(work); return nil }, func(error) { end() })
	g.Add(func() error { n.runMesh(work); return nil }, func(error) { end() })
	g.Add(func() error { wait.Every(work, announceInterval, n.announceSegments); return nil }, func(error) { end() })
	g.Add(func() error { n.runCulprits(work); return nil }, func(error) { end() })
	g.Add(func() error { n.rollouts.run(work); return nil }, func(error) { end() })
	g.Add(func() error { n.rollouts.runDecider(work); return nil }, func(error) { end() })
	g.Add(func() error { wait.Every(work, sweepInterval, n.pool.Sweep); return nil }, func(error) { end() })
	g.Add(func() error { n.watchMemory(work, entry); return nil }, func(error) { end() })
	g.Add(func() error { wait.Every(work, loadInterval, n.reportLoad); return nil }, func(error) { end() })
	g.Add(func() error { n.handleHangups(work); return nil }, func(error) { end() })
	g.Add(func() error { return n.serve(work, callers) }, func(error) { _ = callers.Close() })
	probe := &http.Server{Addr: n.Settings.Readiness, Handler: http.HandlerFunc(n.readiness), ReadHeaderTimeout: headerTimeout}
	g.Add(func() error { return n.serve(work, probe) }, func(error) { _ = probe.Close() })
	if n.Settings.Metrics != "" {
		scrape := &http.Server{Addr: n.Settings.Metrics, Handler: n.meter.metrics.Handler(), ReadHeaderTimeout: headerTimeout}
		g.Add(func() error { return n.serve(work, scrape) }, func(error) { _ = scrape.Close() })
	}
	err := g.Run()
	if e := n.meter.metrics.Close(); e != nil {
		n.Log.Warn("metrics_close_failed", zap.Error(e))
	}
	if m := n.mesh.Load(); m != nil {
		m.Close()
	}
	n.Log.Info("stopped", zap.Error(err))
	return err
}

// logForeign logs a response that was not that of the request on whose connection it came.
func (n *Node) logForeign(f exchange.ForeignResponse) {
	n.Log.Warn("foreign_response", zap.String("address", f.Address), zap.String("target", f.Target),
		zap.String("request", f.Echo), zap.Int("status", f.Status))
}

// onCut logs and counts a response that was cut off in its body.
func (n *Node) onCut(c exchange.CutResponse) {
	n.meter.countCut()
	n.Log.Warn("response_cut", zap.String("address", c.Address), zap.String("target", c.Target), zap.String("request", c.Echo),
		zap.Int("status", c.Status), zap.Int64("length", c.Length), zap.Error(c.Cause))
}

// serve runs a server until the context ends. A server that is being shut down stops accepting
// at once, but its requests go on until the context ends.
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

// proxy returns what serves callers' requests.
func (n *Node) proxy() *proxy.Server {
	s := &proxy.Server{
		Protocol: platform.Protocol(), View: n.cache.View, Region: n.Settings.Region, Domain: n.Settings.Domain,
		Pool: &n.pool, Schedule: n.schedulerClient.place, Report: n.schedulerClient.report,
		Guard: n.serverGuard.guard, HoldOff: n.serverGuard.holdOff,
		CountFirst: n.requestRetries.countFirst, TakeRetry: n.requestRetries.takeRetry,
		Suspects: &n.crashes, OnBroken: n.onBroken, OnResponse: n.onResponse, OnSuccess: n.onSuccess, TakeTrial: n.takeTrial, OnEnd: n.meter.countRequest, Sample: n.sampler.sample, Stopping: n.stopping.Load, Log: n.Log,
		EndArrivals: n.drain.arrivals, EndPlacements: n.drain.placements, EndRequests: n.drain.requests,
		Memory: &n.memory,
	}
	s.Balancer.ColdShare = n.coldShare
	s.Balancer.Nodes = func() int { return len(n.roster.All()) }
	n.serverGuard.onLoad = n.loadObserver(&s.Balancer)
	n.reportLoad = n.reportLoads(&s.Balancer)
	if n.rollouts.enabled {
		s.Rollouts = &n.rollouts.agent
	}
	return s
}

// callerServer returns the HTTP server for callers.
func (n *Node) callerServer(s *proxy.Server) *http.Server {
	return &http.Server{
		Addr: n.Settings.Callers, Handler: s, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: zap.NewStdLog(n.Log), ConnContext: proxy.ConnContext,
		DisableGeneralOptionsHandler: true, // the proxy answers all requests
	}
}

// readiness handles the platform's readiness probe.
func (n *Node) readiness(w http.ResponseWriter, _ *http.Request) {
	if n.stopping.Load() || n.cache.View().Config == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// runMesh gets the fleet's key and what is known of crashes, serves other nodes, and maintains the registrations.
func (n *Node) runMesh(ctx context.Context) {
	fleet, ok := n.joinFleet(ctx)
	if !ok {
		return
	}
	record := crashRecord{
		store: &n.store, crashes: &n.crashes, log: n.Log, era: n.store.Era(),
		rank: func() int { return n.roster.Before(n.self.Peer) },
	}
	record.restore(fleet.Crashes)
	recorded := make(chan struct{})
	go func() {
		defer close(recorded)
		record.run(ctx)
	}()
	defer func() { <-recorded }()
	m := &peer.Mesh{
		Self: lease.Instance{Node: n.self.Name, Incarnation: n.self.Incarnation}, Key: fleet.Key,
		Dial: n.Dial, Listen: n.Listen,
		OnHeld:  n.countPeerBytes,
		OnHello: func(a string, _ lease.Instance) { n.roster.MarkAlive(a) },
	}
	peer.PlacementHandlers{
		Request:   n.scheduler.submitRemote,
		Report:    n.scheduler.report,
		Segments:  n.scheduler.adoptAnnouncements,
		Crash:     n.onCrashReport,
		Exhausted: n.crashes.Excuse,
		Culprits:  n.onCulprits,
		Trial:     n.crashes.GrantTrial,
		ReadFor:   n.readFor,
		Proven:    n.onProven,
		Tables:    n.tableFollower.serve,
		Rollout:   n.rollouts.onReport,
	}.Register(m)
	if _, _, err := m.Serve(n.Settings.Peer); err != nil {
		n.Log.Error("peer_listen_failed", zap.String("address", n.Settings.Peer), zap.Error(err))
		return
	}
	n.mesh.Store(m)
	go n.keepPeerKey(ctx, fleet.Key)
	n.maintainRegistrations(ctx)
}

// joinFleet returns what the nodes keep in the store, and false if the context ends before it is known.
func (n *Node) joinFleet(ctx context.Context) (platform.Fleet, bool) {
	for pause := retryMin; ctx.Err() == nil; pause = min(2*pause, retryMax) {
		f, err := platform.JoinFleet(ctx, &n.store)
		if err == nil {
			return f, true
		}
		n.Log.Warn("peer_key_failed", zap.Error(err))
		wait.Sleep(ctx, pause)
	}
	return platform.Fleet{}, false
}

// handleHangups calls Reload for each value from Hangup until the context ends.
func (n *Node) handleHangups(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.Hangup:
			n.Reload()
		}
	}
}
