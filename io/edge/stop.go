package edge

// This file defines the graceful stop.

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"bergamotspring/io/wait"
)

const (
	// acceptAfterStop is how long a stopping node still accepts connections: the load balancer
	// stops sending requests after two failed probes, a second apart.
	acceptAfterStop = 3 * time.Second
	// stopMargin is the time between the deadline for requests and the end of the grace
	// period, when the process is killed.
	stopMargin = 300 * time.Millisecond
)

// stop waits for the context to end and then drains the node: requests in progress may finish
// within the grace period.
func (n *Node) stop(ctx, work context.Context, callers *http.Server) error {
	select {
	case <-ctx.Done():
	case <-work.Done():
		return nil
	}
	deadline := time.Now().Add(n.Settings.Grace - stopMargin)
	n.stopping.Store(true)
	n.Log.Info("stop", zap.Time("limit", deadline))
	n.scheduler.handOver() // before the call to the store, which may not respond
	n.unregister(work)
	wait.Sleep(work, acceptAfterStop)
	c, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := callers.Shutdown(c); err != nil {
		n.Log.Warn("requests_cut", zap.Error(err))
	}
	return nil
}
