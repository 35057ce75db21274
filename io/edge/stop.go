package edge

// This file defines the graceful stop.

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"
)

const (
	// acceptAfterStop is how long after the signal a stopping node still accepts connections and requests: the load
	// balancer stops sending requests after two failed probes, a second apart. Requests that are sent later than 3 s after
	// the signal must not be cut, and the signal may reach the process signalDelay late.
	acceptAfterStop = 3*time.Second - signalDelay
	signalDelay     = 100 * time.Millisecond
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

// stopTimes are the deadlines of a stop. All of them count from the signal, so that nothing that the node does or waits for
// meanwhile moves one.
type stopTimes struct {
	arrivals   time.Time // from then on, nothing new is accepted
	placements time.Time // from then on, requests that wait for a placement are refused
	requests   time.Time // when all other requests get their final response
	end        time.Time // when connections are cut
}

// stopTimesOf returns the deadlines of a stop, from the time of the signal and that until the process is killed.
func stopTimesOf(signal time.Time, grace time.Duration) stopTimes {
	end := signal.Add(grace - stopMargin)
	t := stopTimes{arrivals: signal.Add(acceptAfterStop), placements: end.Add(-endPlacementsMargin), requests: end.Add(-endRequestsMargin), end: end}
	if t.arrivals.After(t.placements) {
		t.arrivals = t.placements
	}
	return t
}

// schedule ends the contexts at the times of a stop, and returns a function that releases the timers.
func (d *drain) schedule(t stopTimes) func() {
	l := []*time.Timer{
		time.AfterFunc(time.Until(t.arrivals), d.endArrivals),
		time.AfterFunc(time.Until(t.placements), d.endPlacements),
		time.AfterFunc(time.Until(t.requests), d.endRequests),
	}
	return func() {
		for _, x := range l {
			x.Stop()
		}
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
	t := stopTimesOf(signal, n.Settings.Grace)
	n.stopping.Store(true)
	n.Log.Info("stop", zap.Time("limit", t.end))
	defer n.drain.schedule(t)()
	defer n.startLeaving(work)()
	select {
	case <-n.drain.arrivals.Done():
	case <-work.Done():
	}
	n.drain.endArrivals()
	n.Log.Info("arrivals_ended", zap.Duration("after", time.Since(signal)))
	c, cancel := context.WithDeadline(context.Background(), t.end)
	defer cancel()
	if err := callers.Shutdown(c); err != nil {
		n.Log.Warn("requests_cut", zap.Error(err))
	}
	return nil
}

// startLeaving hands over what this node coordinates, and removes its row from the store, whose calls may take long. It does
// not wait for that; the function that it returns ends it.
func (n *Node) startLeaving(ctx context.Context) (end func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.scheduler.handOver()
		n.unregister(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}
