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
	// acceptAfterStop is how long a stopping node still accepts connections and requests: the load balancer
	// stops sending requests after two failed probes, a second apart.
	acceptAfterStop = 3 * time.Second
	// stopMargin is the time between the deadline for requests and the end of the grace
	// period, when the process is killed.
	stopMargin = 300 * time.Millisecond
	// endPlacementsMargin is the time before that deadline at which requests that still wait
	// for a placement are refused, and endRequestsMargin that at which all others get their
	// final response, as a connection that closes without one does not say whether it ran.
	endPlacementsMargin = 700 * time.Millisecond
	endRequestsMargin   = 150 * time.Millisecond
)

// drain holds the contexts that end while a node stops.
type drain struct {
	arrivals, placements, requests          context.Context
	endArrivals, endPlacements, endRequests context.CancelFunc
}

func newDrain() drain {
	var d drain
	d.arrivals, d.endArrivals = context.WithCancel(context.Background())
	d.placements, d.endPlacements = context.WithCancel(context.Background())
	d.requests, d.endRequests = context.WithCancel(context.Background())
	return d
}

// close releases the contexts.
func (d *drain) close() {
	d.endArrivals()
	d.endPlacements()
	d.endRequests()
}

// schedule ends the contexts in time for a stop at the deadline, and returns a function that
// releases the timers.
func (d *drain) schedule(deadline time.Time) func() {
	p := time.AfterFunc(time.Until(deadline.Add(-endPlacementsMargin)), d.endPlacements)
	r := time.AfterFunc(time.Until(deadline.Add(-endRequestsMargin)), d.endRequests)
	return func() {
		p.Stop()
		r.Stop()
	}
}

// stop waits for the context to end and then drains the node: requests in progress may finish
// within the grace period.
func (n *Node) stop(ctx, work context.Context, callers *http.Server) error {
	select {
	case <-ctx.Done():
	case <-work.Done():
		return nil
	}
	signal := time.Now()
	deadline := signal.Add(n.Settings.Grace - stopMargin)
	n.stopping.Store(true)
	n.Log.Info("stop", zap.Time("limit", deadline))
	defer n.drain.schedule(deadline)()
	n.scheduler.handOver() // before the call to the store, which may not respond
	n.unregister(work)
	wait.Sleep(work, acceptAfterStop)
	n.drain.endArrivals()
	n.Log.Info("arrivals_ended", zap.Duration("after", time.Since(signal)))
	c, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := callers.Shutdown(c); err != nil {
		n.Log.Warn("requests_cut", zap.Error(err))
	}
	return nil
}
