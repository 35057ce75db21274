package placement

// This file defines how rollouts restrict which stage servers get the tasks of a service. For model
// servers, the rule of a request does (see modelServer.usable).

import (
	"slices"
	"time"

	"bergamotspring/core/relay"
	"bergamotspring/core/rollout"
)

// Rollouts is what the scheduler needs of the rollouts of stage services. All fields must be set. The
// functions must not call the scheduler.
type Rollouts struct {
	// Main returns the rule of what no allowance limits: the servers that it admits are the service's
	// capacity, the others get what Take allows.
	Main func(service string) rollout.Rule
	// Open reports whether Take may admit a server now.
	Open func(s *relay.Server) bool
	// Take returns the rule under which one task of a route may be sent to a server now, and false if it may not.
	// Last is the rule of an earlier attempt, zero for the first one. Alone says that no server can take the task that
	// Main admits.
	Take func(s *relay.Server, route string, last rollout.Rule, alone bool) (rollout.Rule, bool)
	// Return takes back a rule under which nothing was sent.
	Return func(rollout.Rule)
}

// main returns the rule of what no allowance limits.
func (h *Scheduler) main(service string) rollout.Rule {
	if h.Rollouts == nil {
		return rollout.Rule{}
	}
	return h.Rollouts.Main(service)
}

// admitted returns the servers whose version a rule admits, or all if there are none. The result must not be changed.
func admitted(all []*stageServer, r rollout.Rule) []*stageServer {
	refused := func(m *stageServer) bool { return !r.Admits(m.server.Version) }
	if !slices.ContainsFunc(all, refused) {
		return all
	}
	if l := slices.DeleteFunc(slices.Clone(all), refused); len(l) > 0 {
		return l
	}
	return all
}

// restrict removes the servers that may get nothing now, and sorts those that only Take admits before the others,
// which would leave nothing to them.
func (h *Scheduler) restrict(l []*stageServer, main rollout.Rule) []*stageServer {
	if h.Rollouts == nil {
		return l
	}
	limited := func(m *stageServer) bool { return !main.Admits(m.server.Version) }
	l = slices.DeleteFunc(l, func(m *stageServer) bool { return limited(m) && !h.Rollouts.Open(m.server) })
	slices.SortStableFunc(l, func(a, b *stageServer) int {
		switch x, y := limited(a), limited(b); {
		case x == y:
			return 0
		case x:
			return -1
		}
		return 1
	})
	return l
}

// countAdmitted returns how many servers a rule admits.
func countAdmitted(l []*stageServer, r rollout.Rule) int {
	n := 0
	for _, m := range l {
		if r.Admits(m.server.Version) {
			n++
		}
	}
	return n
}

// takeRules takes rules for the first tasks of a group, n at most, to be sent to a server. It returns for how
// many there are rules. A task that was never sent has no last rule: it was not counted yet.
func (h *Scheduler) takeRules(m *stageServer, g *taskGroup, n int, alone bool) int {
	if h.Rollouts == nil {
		return n
	}
	for i, p := range g.tasks[:n] {
		r, ok := h.Rollouts.Take(m.server, p.job.request.Route, p.rule, alone)
		if !ok {
			return i
		}
		p.rule = r
	}
	return n
}

// returnRules takes back the rules of a batch that was not sent.
func (h *Scheduler) returnRules(c *batch) {
	if h.Rollouts == nil {
		return
	}
	for _, p := range c.tasks {
		h.Rollouts.Return(p.rule)
		p.rule = rollout.Rule{}
	}
}

// Held returns how many batches and results that are needed there are at servers of a service whose version is
// not the given one. Results that a batch or a model server may still read count as one more.
func (h *Scheduler) Held(service, not string) int64 {
	h.init()
	n, now := int64(0), h.Now()
	at := func(m *stageServer) bool { return m.server.Service == service && m.server.Version != not && !m.lost }
	for _, l := range h.occupants {
		for _, m := range l {
			if !at(m) {
				continue
			}
			n += int64(m.batches)
			if m.hasReader(now) {
				n++
			}
		}
	}
	for _, j := range h.jobs {
		for _, s := range j.stages {
			if s.released || s.request.Service != service {
				continue
			}
			for _, p := range s.tasks {
				if p.handle != "" && p.stageServer != nil && at(p.stageServer) {
					n++
				}
			}
		}
	}
	return n
}

// expectedTime returns how long a batch is expected to take by what the configuration states.
func expectedTime(w *relay.BatchSpec, tasks int) time.Duration {
	return w.BatchTime + time.Duration(tasks)*w.TaskTime
}
