package edge

// This file defines how rollouts restrict which stage servers get the tasks of this node as coordinator.

import (
	"time"

	"bergamotspring/core/placement"
	"bergamotspring/core/relay"
	"bergamotspring/core/rollout"
)

// maxTakes is how often a rule is taken for a task at an old server. One that names the new version is taken back,
// and the next one seldom does.
const maxTakes = 3

// placementRollouts returns what the scheduler needs of the rollouts, nil if they are not enabled.
func (x *rollouts) placementRollouts() *placement.Rollouts {
	if !x.enabled {
		return nil
	}
	return &placement.Rollouts{Main: x.main, Open: x.isOpen, Take: x.takeTask, Return: x.agent.Return}
}

// refreshMain computes the rules that main returns, since to compute one may count an exposure: where no old server
// is left, the new version gets requests without an allowance.
func (x *rollouts) refreshMain() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for service, s := range x.state {
		s.main = x.agent.Retry(rollout.Rule{Service: service})
		s.main.New = false
	}
}

// main returns the rule of the tasks of a service that no allowance limits.
func (x *rollouts) main(service string) rollout.Rule {
	x.mu.Lock()
	s, o := x.state[service], x.orders[service]
	var r rollout.Rule
	if s != nil {
		r = s.main
		if s.reply.State == rollout.Moving && s.reply.Share >= 1 && time.Since(s.sentAt) < replyLife {
			r = rollout.Rule{Service: service, Version: o.To}
		}
	}
	x.mu.Unlock()
	if s == nil {
		return x.agent.Retry(rollout.Rule{Service: service})
	}
	return r
}

// isOpen reports whether a server may get tasks now.
func (x *rollouts) isOpen(t *relay.Server) bool { return x.agent.Open(t.Service, t.Version) }

// takeTask returns the rule under which a task may be sent to a server, and false if it may not.
func (x *rollouts) takeTask(t *relay.Server, route string, last rollout.Rule, alone bool) (rollout.Rule, bool) {
	a := &x.agent
	if last.Service != "" || alone {
		if r := a.Retry(rollout.Rule{Service: t.Service}); r.Admits(t.Version) {
			return r, true
		}
		if last.Service != "" {
			return last, false
		}
	}
	for range maxTakes {
		r := a.Take(t.Service, route)
		if r.Admits(t.Version) && r.Prefers(t.ID) {
			return r, true
		}
		a.Return(r)
		if !r.New || r.Admits(t.Version) || x.main(t.Service).Version == r.Version {
			return rollout.Rule{}, false
		}
	}
	r := a.Retry(rollout.Rule{Service: t.Service})
	return r, r.Admits(t.Version)
}

// observeBatch counts the end of a batch for the verdict, as one response: its tasks fail and are slow together. The
// time is that of a batch with a single task.
func (x *rollouts) observeBatch(c *placement.Batch, began time.Time, took time.Duration, outcome placement.BatchStatus, l []placement.TaskResult) {
	if !x.enabled || len(c.Tasks) == 0 {
		return
	}
	failed := false
	switch outcome {
	case placement.BatchDone:
		for _, r := range l {
			failed = failed || r.Status == placement.TaskError
		}
	case placement.BatchBroken, placement.BatchRejected:
		failed = true
	default: // nothing was sent to the server
		return
	}
	x.agent.Observe(c.Tasks[0].Rule, rollout.Observation{
		Route: c.Tasks[0].Route, Domain: c.Server.Domain, Server: c.Server.ID, Failed: failed,
		Took: time.Duration(float64(took) / max(c.Weight, 1)), Cold: c.Server.Cold(began),
	})
}
