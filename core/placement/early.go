package placement

// This file defines what a scheduler does with requests that come before its node has read the configuration: after all
// nodes of a fleet have started at once, the others may have read it sooner.

import (
	"slices"
	"time"
)

// maxEarly bounds the requests that wait for the configuration.
const maxEarly = 4096

// earlyRequest is a request that waits for the configuration.
type earlyRequest struct {
	request Request
	arrived time.Time
}

// remaining returns the request with its durations as of now.
func (e *earlyRequest) remaining(now time.Time) Request {
	a := e.request
	a.Goal -= now.Sub(e.arrived)
	a.Remaining -= now.Sub(e.arrived)
	return a
}

// submitBeforeConfiguration keeps a request until the configuration is known, unless another region may take it or too
// many wait.
func (h *Scheduler) submitBeforeConfiguration(a Request) {
	h.dropEarly(a.Key, a.Attempt)
	switch {
	case a.HasFallback:
		h.refuse(&job{request: a, arrived: h.Now()}, ReasonBusy, 0)
	case len(h.early) >= maxEarly:
		h.refuse(&job{request: a, arrived: h.Now()}, ReasonNoServer, noServerRetryAfter)
	default:
		h.early = append(h.early, earlyRequest{a, h.Now()})
	}
}

// dropEarly drops an attempt of a request, and earlier ones.
func (h *Scheduler) dropEarly(k Key, attempt int) {
	h.early = slices.DeleteFunc(h.early, func(e earlyRequest) bool { return e.request.Key == k && e.request.Attempt <= attempt })
}

// submitEarly submits the requests that have waited, once the configuration is known, and refuses those whose time is over.
func (h *Scheduler) submitEarly(now time.Time) {
	l := h.early
	h.early = nil
	known := h.View().Config != nil
	for _, e := range l {
		a := e.remaining(now)
		switch {
		case a.Remaining < minGrantTime:
			h.refuse(&job{request: a, arrived: e.arrived}, ReasonLate, 0)
		case known:
			h.Submit(a)
		default:
			h.early = append(h.early, e)
		}
	}
}

// handOverEarly passes on the requests that wait for the configuration.
func (h *Scheduler) handOverEarly() {
	for _, e := range h.early {
		h.work.Decisions = append(h.work.Decisions, Decision{Key: e.request.Key, Attempt: e.request.Attempt, Reason: ReasonMoved, Waited: h.Now().Sub(e.arrived)})
	}
	h.early = nil
}
