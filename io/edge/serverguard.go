package edge

// This file defines what a node does about servers that state in a response that they are
// leaving.

import (
	"net/http"

	"go.uber.org/zap"

	"bergamotspring/core/relay"
	"bergamotspring/io/exchange"
	"bergamotspring/platform"
)

// serverGuard keeps requests from servers that are leaving. It is safe for concurrent use.
type serverGuard struct {
	cache *relay.Cache
	log   *zap.Logger
}

// guard returns the guard of a request to a server.
func (g *serverGuard) guard(t *relay.Server) exchange.Guard {
	p := g.cache.Process(t)
	return exchange.Guard{
		Admit: func() error {
			if g.cache.Leaving(p) {
				return relay.ErrLeaving
			}
			return nil
		},
		OnHead: func(_ int, h http.Header) { g.observe(p, h) },
	}
}

// messageGuard returns the guard of a release or a capacity query. Releases of what a leaving
// server stores for earlier requests are still sent, while the scheduler knows the server.
func (g *serverGuard) messageGuard(t *relay.Server) exchange.Guard {
	x := g.guard(t)
	x.Admit = nil
	return x
}

// observe records what the header of a response says about its server.
func (g *serverGuard) observe(p relay.Process, h http.Header) {
	if platform.Leaving(h) && g.cache.MarkLeaving(p) {
		g.log.Info("server_leaving", zap.String("server", p.ID))
	}
}
