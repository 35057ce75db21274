package edge

// This file defines the planned stop.

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"bergamotspring/io/wait"
)

const (
	// stopAccepting is how long a stopping node takes new connections: the balancer
	// needs two failed probes, a second apart, to send no more.
	stopAccepting = 3 * time.Second
	// stopMargin is left between the end of the last request and the kill.
	stopMargin = 300 * time.Millisecond
)

// stop waits for the context and then ends the node without cutting requests, as far
// as the grace allows.
func (n *Node) stop(ctx, work context.Context, callers *http.Server) error {
	select {
	case <-ctx.Done():
	case <-work.Done():
		return nil
	}
	limit := time.Now().Add(n.Settings.Grace - stopMargin)
	n.stopping.Store(true)
	n.Log.Info("stop", zap.Time("limit", limit))
	n.scheduler.handOver() // before the store is asked, which may not answer
	n.unregister(work)
	wait.Sleep(work, stopAccepting)
	c, cancel := context.WithDeadline(context.Background(), limit)
	defer cancel()
	if err := callers.Shutdown(c); err != nil {
		n.Log.Warn("requests_cut", zap.Error(err))
	}
	return nil
}
