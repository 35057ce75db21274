package node

// This file starts the listeners of a node, registers it in the table, and stops it
// without cutting a request.

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
	// lingerShare of the drain time passes between the end of readiness and the
	// refusal of new requests: the platform's balancer still sends some.
	lingerShare = 6
	lingerMost  = 5 * time.Second
	handTimeout = 5 * time.Second
	joinRetry   = time.Second
	upkeepEvery = time.Second
	// headerTimeout bounds the headers of operators' requests and scrapes.
	headerTimeout = 5 * time.Second
)

var errStopped = errors.New("stopped")

// serve adds the listeners of peers, callers, operators and metrics to g.
func (n *Node) serve(g *run.Group) error {
	_, done, err := n.mesh.Serve(n.Settings.PeerListen)
	if err != nil {
		return err
	}
	// Refused connections prove a node dead, so a node that has lost its peer
	// listener must end.
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
	o := &http.Server{Handler: n.operate().Handler(), ReadHeaderTimeout: headerTimeout, TLSConfig: t}
	if err := n.serveHTTP(g, n.Settings.OperatorListen, o); err != nil {
		return err
	}
	m := &http.Server{Handler: n.metrics.Handler(), ReadHeaderTimeout: headerTimeout}
	return n.serveHTTP(g, n.Settings.MetricsListen, m)
}

var errPeerListener = errors.New("node: the peer listener ended")

// withReadiness answers the balancer's checks on the callers' listener.
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

// join writes the row of this node and then waits for the end. It goes on trying
// while the table is down; the node serves meanwhile.
func (n *Node) join(ctx context.Context) error {
	for ctx.Err() == nil && !n.leaving.Load() {
		err := n.joinOnce(ctx)
		if err == nil {
			n.Log.Info("joined", zap.String("incarnation", n.Incarnation))
			break
		}
		n.Log.Warn("join failed", zap.Error(err))
		wait.Sleep(ctx, joinRetry)
	}
	<-ctx.Done()
	return nil
}

func (n *Node) joinOnce(ctx context.Context) error {
	c, cancel := context.WithTimeout(ctx, control.TableTimeout)
	defer cancel()
	k := lease.NodeKey(n.Settings.ID)
	r, err := n.table.Read(c, store.Query{Keys: []string{k}})
	if err != nil {
		return err
	}
	old := store.Row{Key: k}
	for _, x := range r.Rows {
		if x.Key == k {
			old = x
		}
	}
	if x, err := member.DecodeNode(old.Value); old.Version > 0 && err == nil && x.Instance == n.self.Instance {
		return nil // an earlier try whose answer was lost
	}
	t, err := member.Join(n.self, old, n.vmGone(c, old))
	if err != nil {
		return err
	}
	_, err = n.table.Transact(c, t)
	return err
}

// vmGone reports whether the VM of the node in a row is gone.
func (n *Node) vmGone(ctx context.Context, old store.Row) bool {
	x, err := member.DecodeNode(old.Value)
	if old.Version == 0 || err != nil {
		return false
	}
	l, err := n.vms(ctx)
	return err == nil && l[x.VM] == member.VMGone
}

// stop waits for ctx, then drains: readiness off, a time for what the balancer still
// sends, running requests, homes and claims.
func (n *Node) stop(ctx, inner context.Context) error {
	select {
	case <-ctx.Done():
	case <-inner.Done():
		return nil
	}
	n.leaving.Store(true)
	n.Log.Info("draining", zap.Duration("at_most", n.Settings.Drain))
	end, cancel := context.WithTimeout(inner, n.Settings.Drain)
	defer cancel()
	wait.Sleep(end, min(n.Settings.Drain/lingerShare, lingerMost))
	select {
	case <-n.caller.Drain():
	case <-end.Done():
		n.Log.Warn("drain time passed with requests running", zap.Int("requests", n.caller.Active()))
	}
	n.broker.Flush()
	finish, cancel := context.WithTimeout(inner, handTimeout)
	defer cancel()
	n.claimRouter.Close()
	if err := n.claims.Close(finish); err != nil {
		n.Log.Warn("claims left unrecorded", zap.Error(err))
	}
	// The homes have a time of their own: while the table is down, claims use up
	// theirs, but homes go to their deputies without it.
	hand, cancel := context.WithTimeout(inner, handTimeout)
	defer cancel()
	if err := n.leases.Stop(hand); err != nil {
		n.Log.Warn("homes left to proof of death", zap.Error(err))
	}
	n.Log.Info("stopped")
	return errStopped
}

// upkeep does what is due once a second.
func (n *Node) upkeep(ctx context.Context) error {
	for wait.Sleep(ctx, upkeepEvery) {
		n.suspects.Tick()
		n.checkAlarms()
	}
	return nil
}
