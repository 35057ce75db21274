package node

// This file starts the listeners of a node, registers it in the table service, and
// drains it before it stops.

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"

	"bergamotspring/core/lease"
	"bergamotspring/core/member"
	"bergamotspring/core/store"
	"bergamotspring/io/control"
	"bergamotspring/io/wait"
)

const (
	// The drain time divided by drainDelayDivisor, at most maxDrainDelay, passes between
	// the end of readiness and the refusal of new requests, since the platform's load
	// balancer still sends some.
	drainDelayDivisor   = 6
	maxDrainDelay       = 5 * time.Second
	handoverTimeout     = 5 * time.Second // each for recording claims and for handing over leases
	joinRetryInterval   = time.Second
	maintenanceInterval = time.Second
	// headerTimeout bounds the reading of the headers of operators' requests and scrapes.
	headerTimeout = 5 * time.Second
)

var errStopped = errors.New("stopped")

// serve adds the listeners of peers, callers, operators and metrics to g.
func (n *Node) serve(g *run.Group) error {
	_, done, err := n.mesh.Serve(n.Settings.PeerListen)
	if err != nil {
		return err
	}
	// Other nodes take refused connections as proof of death, so a node that has lost
	// its peer listener must end.
	stop := make(chan struct{})
	g.Add(func() error {
		select {
		case <-done:
			return errPeerListener
		case <-stop:
			return nil
		}
	}, func(error) { close(stop) })
	t, err := serverTLS(n.Settings.TLS)
	if err != nil {
		return err
	}
	h := n.caller.HTTP()
	h.Handler = n.withReadiness(h.Handler)
	h.TLSConfig = t
	if err := n.serveHTTP(g, n.Settings.CallerListen, h); err != nil {
		return err
	}
	o := &http.Server{Handler: n.operatorServer().Handler(), ReadHeaderTimeout: headerTimeout, TLSConfig: t}
	if err := n.serveHTTP(g, n.Settings.OperatorListen, o); err != nil {
		return err
	}
	m := &http.Server{Handler: n.metrics.Handler(), ReadHeaderTimeout: headerTimeout}
	return n.serveHTTP(g, n.Settings.MetricsListen, m)
}

var errPeerListener = errors.New("node: the peer listener ended")

// withReadiness adds the load balancer's health checks to the callers' handler.
func (n *Node) withReadiness(h http.Handler) http.Handler {
	m := http.NewServeMux()
	m.Handle("/", h)
	m.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	m.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := n.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return m
}

// join writes the row of this node and then waits for ctx to end. It retries while the
// table service is down; the node serves requests meanwhile.
func (n *Node) join(ctx context.Context) error {
	for ctx.Err() == nil && !n.leaving.Load() {
		err := n.joinOnce(ctx)
		if err == nil {
			n.Log.Info("joined", zap.String("incarnation", n.Incarnation))
			break
		}
		n.Log.Warn("join failed", zap.Error(err))
		wait.Sleep(ctx, joinRetryInterval)
	}
	<-ctx.Done()
	return nil
}

func (n *Node) joinOnce(ctx context.Context) error {
	c, cancel := context.WithTimeout(ctx, control.TableTimeout)
	defer cancel()
	key := lease.NodeKey(n.Settings.ID)
	r, err := n.table.Read(c, store.Query{Keys: []string{key}})
	if err != nil {
		return err
	}
	old := store.Row{Key: key}
	for _, x := range r.Rows {
		if x.Key == key {
			old = x
		}
	}
	if x, err := member.DecodeNode(old.Value); old.Version > 0 && err == nil && x.Instance == n.self.Instance {
		return nil // written by an earlier attempt whose response was lost
	}
	t, err := member.Join(n.self, old, n.vmGone(c, old))
	if err != nil {
		return err
	}
	_, err = n.table.Transact(c, t)
	return err
}

// vmGone reports whether the VM of the node in a row is gone according to the VM list.
func (n *Node) vmGone(ctx context.Context, old store.Row) bool {
	x, err := member.DecodeNode(old.Value)
	if old.Version == 0 || err != nil {
		return false
	}
	l, err := n.vms(ctx)
	return err == nil && l[x.VM] == member.VMGone
}

// stop waits for ctx to end, then drains: it ends readiness, waits for what the load
// balancer still sends and for running requests, records claims and hands over leases.
func (n *Node) stop(ctx, inner context.Context) error {
	select {
	case <-ctx.Done():
	case <-inner.Done():
		return nil
	}
	n.leaving.Store(true)
	n.Log.Info("draining", zap.Duration("at_most", n.Settings.Drain))
	drainCtx, cancel := context.WithTimeout(inner, n.Settings.Drain)
	defer cancel()
	wait.Sleep(drainCtx, min(n.Settings.Drain/drainDelayDivisor, maxDrainDelay))
	select {
	case <-n.caller.Drain():
	case <-drainCtx.Done():
		n.Log.Warn("drain time passed with requests running", zap.Int("requests", n.caller.Active()))
	}
	n.broker.Flush()
	claimsCtx, cancel := context.WithTimeout(inner, handoverTimeout)
	defer cancel()
	n.claimRouter.Close()
	if err := n.claims.Close(claimsCtx); err != nil {
		n.Log.Warn("claims left unrecorded", zap.Error(err))
	}
	// Leases have a time-out of their own: while the table service is down, claims use
	// up theirs, but leases pass to their standbys without the table service.
	handoverCtx, cancel := context.WithTimeout(inner, handoverTimeout)
	defer cancel()
	if err := n.leases.Stop(handoverCtx); err != nil {
		n.Log.Warn("homes left to proof of death", zap.Error(err))
	}
	n.Log.Info("stopped")
	return errStopped
}

// runMaintenance runs the periodic tasks until ctx ends.
func (n *Node) runMaintenance(ctx context.Context) error {
	for wait.Sleep(ctx, maintenanceInterval) {
		n.suspects.Tick()
		n.checkAlarms()
	}
	return nil
}
