package edge

// This file defines what a node does about servers that state in a response that they are
// leaving, or for how long they want nothing from this node.

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"bergamotspring/core/load"
	"bergamotspring/core/relay"
	"bergamotspring/io/exchange"
	"bergamotspring/platform"
)

// serverGuard keeps requests from servers that are leaving or hold this node off. It is safe for
// concurrent use.
type serverGuard struct {
	cache    *relay.Cache
	holdOffs relay.HoldOffs
	log      *zap.Logger
	// onHoldOff is called with the rest of a hold-off when it begins, and when it keeps a request back.
	onHoldOff func(p relay.Process, d time.Duration)
	// onLoad is called with the load that a server of a service reported in a response; err says that the
	// report makes no sense. Nil: it is ignored.
	onLoad func(p relay.Process, service string, r *load.Report, err error)
}

// guard returns the guard of a request to a server.
func (g *serverGuard) guard(t *relay.Server) exchange.Guard {
	p := g.cache.Process(t)
	return exchange.Guard{
		Admit: func() error {
			if g.cache.Withdrawn(p) {
				return relay.ErrLeaving
			}
			return g.admit(p)
		},
		OnHead: func(status int, h http.Header) {
			g.observe(p, status, h)
			g.observeLoad(p, t.Service, h)
		},
	}
}

// messageGuard returns the guard of a release or a capacity query. Releases of what a leaving
// server stores for earlier requests are still sent, while the scheduler knows the server.
func (g *serverGuard) messageGuard(t *relay.Server) exchange.Guard {
	x := g.guard(t)
	p := g.cache.Process(t)
	x.Admit = func() error { return g.admit(p) }
	return x
}

// admit returns relay.ErrHeldOff if a process holds this node off.
func (g *serverGuard) admit(p relay.Process) error {
	d := g.holdOffs.Remaining(p)
	if d <= 0 {
		return nil
	}
	g.onHoldOff(p, d) // it may have begun with an earlier process of the server
	return relay.ErrHeldOff
}

// holdOff returns for how long a server still holds this node off, 0 if it does not.
func (g *serverGuard) holdOff(t *relay.Server) time.Duration {
	return g.holdOffs.Remaining(t.Process())
}

// observeLoad passes on the load that a server reports.
func (g *serverGuard) observeLoad(p relay.Process, service string, h http.Header) {
	r, err := platform.LoadReport(h, time.Now())
	if g.onLoad != nil && (r != nil || err != nil) {
		g.onLoad(p, service, r, err)
	}
}

// observe records what the status and the header of a response say about its server.
func (g *serverGuard) observe(p relay.Process, status int, h http.Header) {
	if platform.Leaving(h) && g.cache.MarkLeaving(p) {
		g.log.Info("server_leaving", zap.String("server", p.ID))
	}
	d, err := platform.HoldOff(status, h)
	if err != nil {
		g.log.Warn("hold_off_ignored", zap.String("server", p.ID), zap.Error(err))
	}
	if d <= 0 {
		return
	}
	if g.holdOffs.Begin(p, d) {
		g.log.Info("hold_off", zap.String("server", p.ID), zap.Duration("asked", d), zap.Duration("retry_after", g.holdOffs.Remaining(p)))
	}
	g.onHoldOff(p, g.holdOffs.Remaining(p))
}
