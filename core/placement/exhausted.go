package placement

// This file defines which crashes of model servers are put down to their memory.

import "time"

const (
	// crashWindow is the time in which the losses of the runs of a server count as one crash.
	crashWindow = time.Second
	// lostShare is the share of a server's runs that has to be lost for a crash.
	lostShare = 0.5
)

// loss is what a model server held as it began to break off runs.
type loss struct {
	at      time.Time
	runs    int
	lost    int
	nearly  bool // it held more than this coordinator places
	noticed bool
}

// observeLoss counts a run that a server broke off. If the server then broke off most of what it held, and held
// more than the coordinator places there, as requests that another one placed, it has run out of memory.
func (h *Scheduler) observeLoss(e *modelServer, now time.Time) {
	if e.loss.at.IsZero() || now.Sub(e.loss.at) >= crashWindow {
		x := e.load.Expect(now)
		memory := h.memory(e.server.Service)
		held := e.held.tokens + int(max(0, x.Requests-float64(e.load.InFlight()))*h.model(e.server.Service).tokens)
		e.loss = loss{at: now, runs: e.load.InFlight(), nearly: memory > 0 && held > memory}
	}
	e.loss.lost++
	if e.loss.nearly && !e.loss.noticed && float64(e.loss.lost) >= lostShare*float64(e.loss.runs) {
		e.loss.noticed = true
		h.work.Exhausted = append(h.work.Exhausted, e.server.ID)
	}
}
