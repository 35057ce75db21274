package node

// This file stores the traces of recent requests, so that an operator can find out why a
// request was routed as it was.

import (
	"sync"
	"time"

	"bergamotspring/core/stage"
	"bergamotspring/io/operator"
)

// maxTraces bounds the traces in memory. At the target load a node ends about 13 requests
// per second, so a trace is kept for some minutes; a trace takes about 2 KB.
const maxTraces = 4096

// Traces holds the traces of the last requests that ended. The zero value is ready to
// use. No other lock is taken while its lock is held.
type Traces struct {
	mu    sync.Mutex
	ring  []*stage.Trace
	next  int
	index map[string]*stage.Trace
}

// Add stores s, in place of the oldest trace if there are maxTraces.
func (t *Traces) Add(s *stage.Trace) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.index == nil {
		t.index = map[string]*stage.Trace{}
	}
	if len(t.ring) < maxTraces {
		t.ring = append(t.ring, s)
	} else {
		delete(t.index, t.ring[t.next].Request)
		t.ring[t.next] = s
		t.next = (t.next + 1) % maxTraces
	}
	t.index[s.Request] = s
}

// Get returns the trace of a request, nil if it is not stored.
func (t *Traces) Get(request string) *stage.Trace {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.index[request]
}

// toOperatorTrace converts a trace to its form in the operator API.
func toOperatorTrace(node string, s *stage.Trace) operator.Trace {
	r := operator.Trace{
		Request: s.Request, Node: node, Target: s.Target, Organisation: s.Organisation,
		Class: s.Class, Started: s.Started, Took: s.Total, Outcome: s.Outcome.String(),
	}
	var t time.Duration
	for _, p := range s.Stages {
		r.Events = append(r.Events, operator.TraceEvent{After: t, Stage: p.Name, Event: "budget " + p.Budget.Round(time.Millisecond).String()})
		for _, a := range p.Attempts {
			e := a.Result
			if a.Retry {
				e += " (retry or hedge)"
			}
			r.Events = append(r.Events, operator.TraceEvent{After: t + a.Queue, Stage: p.Name, Event: e, Group: a.Group.String(), Server: a.Server, Cause: a.Error})
		}
		t += p.Took
	}
	r.Events = append(r.Events, operator.TraceEvent{After: s.Total, Event: s.Outcome.String(), Cause: s.Message})
	return r
}
