package node

// This file keeps the stories of late requests, so that an operator can ask why a
// request went where it went.

import (
	"sync"
	"time"

	"bergamotspring/core/stage"
	"bergamotspring/io/operator"
)

// storiesKept bounds the stories in memory. At the target a node ends about 13
// requests a second, so a story stays for some minutes; a story takes about 2 KB.
const storiesKept = 4096

// Traces holds the last requests that ended. The zero value is ready to use. Its
// lock is a leaf.
type Traces struct {
	mu    sync.Mutex
	ring  []*stage.Trace
	next  int
	index map[string]*stage.Trace
}

// Add keeps s and drops the oldest story when there are too many.
func (t *Traces) Add(s *stage.Trace) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.index == nil {
		t.index = map[string]*stage.Trace{}
	}
	if len(t.ring) < storiesKept {
		t.ring = append(t.ring, s)
	} else {
		delete(t.index, t.ring[t.next].Request)
		t.ring[t.next] = s
		t.next = (t.next + 1) % storiesKept
	}
	t.index[s.Request] = s
}

// Get returns the story of a request, nil if it is not kept.
func (t *Traces) Get(request string) *stage.Trace {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.index[request]
}

// explained maps a story to the operators' form.
func explained(node string, s *stage.Trace) operator.Trace {
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
