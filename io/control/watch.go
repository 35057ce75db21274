package control

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/core/lease"
	"bergamotspring/core/member"
	"bergamotspring/core/record"
	"bergamotspring/core/store"
)

// The parameters of Watch.
const (
	watchPeriod   = 2 * time.Second
	vmPeriod      = time.Second
	removalPeriod = 30 * time.Second // between removals of rows of dead nodes
	maxRemovals   = 8                // rows removed in one round
)

// Watch follows the configuration, the nodes and the lease holders in the table, and the
// VM list. It installs new versions of the configuration. From the table it reads what
// changed since the last read, in one request.
type Watch struct {
	Self    lease.Instance
	Table   store.Table
	Members *Members
	Leases  *Leases
	Health  *Health
	// VMs reads the platform's list of VMs; nil if there is none.
	VMs func(context.Context) (map[string]member.VMState, error)
	// FetchConfig requests the configuration of a peer.
	FetchConfig func(ctx context.Context, to member.Node) (ConfigResponse, error)
	// StartPeers are the peer addresses of the nodes of this region in the settings.
	// Their configuration is requested at the start.
	StartPeers []string
	// Decode decodes the payload of a head.
	Decode func([]byte) (*fleet.Declaration, error)
	// OnInstall is called with each version that comes into force, in order.
	OnInstall func(*fleet.View)
	// OnAlarm is called for conditions that need an operator: a regressed table, or a
	// configuration that cannot be decoded.
	OnAlarm func(error)
	Seed    uint64
	Record  func(record.Event)

	once  sync.Once
	done  chan struct{}
	fetch chan member.Node

	mu        sync.Mutex
	rand      *rand.Rand
	start     time.Time
	config    member.Config
	head      []byte // value of the head in force
	view      *fleet.View
	since     uint64
	readAll   bool // the next read covers all rows
	regressed bool
	removedAt time.Time

	installing sync.Mutex // held over Decode and OnInstall, taken before mu
}

func (w *Watch) init() {
	w.once.Do(func() {
		w.done = make(chan struct{})
		w.fetch = make(chan member.Node, 1)
		w.rand = rand.New(rand.NewPCG(w.Seed, 2))
		w.start = time.Now()
		w.readAll = true
		w.config.Start(0)
		if w.Health == nil {
			w.Health = &Health{}
		}
		if w.Members == nil {
			w.Members = &Members{}
		}
	})
}

// Done is closed when Run has returned.
func (w *Watch) Done() <-chan struct{} {
	w.init()
	return w.done
}

func (w *Watch) now() time.Duration { return time.Since(w.start) }

// View returns the configuration in force, nil if there is none yet.
func (w *Watch) View() *fleet.View {
	w.init()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.view
}

// Ready reports whether a configuration is in force. A starting node installs one from
// the table, or from peers if member.Start allows it.
func (w *Watch) Ready() bool { return w.View() != nil }

// State is the state of the configuration of a node.
type State struct {
	Version   uint64
	Config    member.ConfigState
	Confirmed bool // against the table within the last 5 s
	Regressed bool
	Sequence  uint64
}

// State returns the version in force and its configuration state.
func (w *Watch) State() State {
	w.init()
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.now()
	return State{Version: w.config.Version, Config: w.config.State(n),
		Confirmed: w.config.TableFresh(n) && !w.regressed,
		Regressed: w.regressed || w.config.Regressed, Sequence: w.since}
}

// ConfigResponse returns the response to a peer that requests the configuration.
func (w *Watch) ConfigResponse() ConfigResponse {
	s := w.State()
	w.mu.Lock()
	defer w.mu.Unlock()
	return ConfigResponse{Head: w.head, Confirmed: s.Confirmed}
}

// Run follows the table until ctx ends.
func (w *Watch) Run(ctx context.Context) error {
	w.init()
	defer close(w.done)
	var g sync.WaitGroup
	if w.VMs != nil {
		g.Go(func() { w.vmLoop(ctx) })
	}
	var b backoff
	for ctx.Err() == nil {
		d := w.round(ctx, &b)
		t := time.NewTimer(d)
		select {
		case <-ctx.Done():
		case <-t.C:
		case p := <-w.fetch:
			w.fetchNewer(ctx, p)
		}
		t.Stop()
	}
	g.Wait()
	return nil
}

// round reads the table once and returns the pause until the next round.
func (w *Watch) round(ctx context.Context, b *backoff) time.Duration {
	if err := w.read(ctx); err == nil {
		b.reset()
		w.removeDeadRows(ctx)
		return watchPeriod
	}
	if !w.Ready() {
		w.startFromPeers(ctx)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return b.next(w.rand)
}

// read reads and applies what changed in the table since the last read.
func (w *Watch) read(ctx context.Context) error {
	w.mu.Lock()
	q := store.Query{Prefixes: []string{member.HeadKey, lease.NodePrefix, lease.HomePrefix}, Since: w.since}
	readAll := w.readAll
	w.mu.Unlock()
	if readAll {
		q.Since = 0
	}
	c, cancel := context.WithTimeout(ctx, TableTimeout)
	r, err := w.Table.Read(c, q)
	cancel()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	w.Health.observe(err == nil)
	if err != nil {
		return err
	}
	if !w.checkSequence(r.Sequence) {
		return errRegressed
	}
	if !w.Ready() {
		w.preferNewerPeer(ctx, r)
	}
	w.applyRead(r, readAll)
	return nil
}

// checkSequence reports whether a read shows no older state than the reads before. After
// an older state, all rows are read again once the table has caught up: rows written in
// between may differ.
func (w *Watch) checkSequence(sequence uint64) bool {
	w.mu.Lock()
	stale := sequence < w.since
	first := stale && !w.regressed
	w.regressed = stale
	w.readAll = w.readAll || stale
	known := w.since
	w.mu.Unlock()
	if first {
		w.alarm(&member.RegressedError{Table: sequence, Known: known})
	}
	return !stale
}

func (w *Watch) applyRead(r store.Result, readAll bool) {
	var nodes, recordRows []store.Row
	var head *store.Row
	for i, x := range r.Rows {
		switch {
		case strings.HasPrefix(x.Key, lease.NodePrefix):
			nodes = append(nodes, x)
		case strings.HasPrefix(x.Key, lease.HomePrefix):
			recordRows = append(recordRows, x)
		case x.Key == member.HeadKey:
			head = &r.Rows[i]
		}
	}
	w.confirm(head)
	if w.Leases != nil {
		w.Leases.Apply(recordRows, r.Sequence)
	}
	w.Members.Apply(nodes, r.Sequence)
	if w.Leases != nil {
		w.Leases.SetTableRead()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.since = max(w.since, r.Sequence)
	if readAll {
		w.readAll = false
	}
}

// confirm records that the head in the table is the one in force, or installs it.
func (w *Watch) confirm(head *store.Row) {
	if head == nil || head.Version == 0 {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !w.config.Regressed {
			w.config.Offer(w.now(), w.config.Version, member.FromTable)
		}
		return
	}
	w.offer(head.Value, member.FromTable)
}

// offer installs a head if its version is higher than the one in force.
func (w *Watch) offer(value []byte, s member.Source) {
	w.installing.Lock()
	defer w.installing.Unlock()
	h, err := member.DecodeHead(value)
	if err != nil {
		w.alarm(err)
		return
	}
	w.mu.Lock()
	was := w.config.Regressed
	known := w.config.Version
	install := w.config.Offer(w.now(), h.Version, s)
	regressed := w.config.Regressed && !was
	w.mu.Unlock()
	if regressed {
		w.alarm(&member.RegressedError{Table: h.Version, Known: known})
	}
	if install {
		w.install(h, value, s)
	}
}

func (w *Watch) install(h member.Head, value []byte, s member.Source) {
	d, err := w.Decode(h.Payload)
	if err != nil {
		w.alarm(&InstallError{Version: h.Version, Cause: err})
		return
	}
	v := fleet.NewView(d, h.Version)
	w.mu.Lock()
	ok := w.config.Installed(h.Version)
	if ok {
		w.head, w.view = value, v
		w.config.Offer(w.now(), h.Version, s)
	}
	w.mu.Unlock()
	if !ok {
		return
	}
	w.event(record.Event{Kind: record.ConfigInstalled, Version: h.Version})
	if w.OnInstall != nil {
		w.OnInstall(v)
	}
}

func (w *Watch) event(e record.Event) {
	if w.Record == nil {
		return
	}
	e.At, e.Actor = time.Now(), w.Self.Node
	w.Record(e)
}

func (w *Watch) alarm(err error) {
	if w.OnAlarm != nil {
		w.OnAlarm(err)
	}
}

// InstallError reports a configuration that cannot be decoded. The node keeps the version
// that it has.
type InstallError struct {
	Version uint64
	Cause   error
}

func (e *InstallError) Error() string { return "node: configuration: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *InstallError) Unwrap() error { return e.Cause }
