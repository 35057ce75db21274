package proxy

// This file defines what servers that hold this node off mean for a request.

import (
	"errors"
	"slices"
	"time"

	"bergamotspring/core/placement"
	"bergamotspring/core/relay"
)

// retryAfterShare bounds the Retry-After of a request whose servers all hold this node off, as a
// share of its remaining time: another node may serve it sooner.
const retryAfterShare = 1.0 / 3

// allows reports whether a plain request may be sent to a server now.
func (q *request) allows(t *relay.Server) bool {
	return q.rule.Admits(t.Version) && relay.Allows(q.route, q.org, t.Region) && q.server.HoldOff(t) <= 0
}

// heldOff returns the IDs of the servers of the request's service that hold this node off for
// longer than within, and the shortest of their hold-offs, 0 if other servers are left or there are
// none.
func (q *request) heldOff(v *relay.View, within time.Duration) (ids []string, shortest time.Duration) {
	free := false
	for _, t := range v.Servers[q.service] {
		if !relay.Allows(q.route, q.org, t.Region) || !q.rule.Admits(t.Version) {
			continue
		}
		d := q.server.HoldOff(t)
		if d <= within {
			free = true
			continue
		}
		ids = append(ids, t.ID)
		if shortest == 0 || d < shortest {
			shortest = d
		}
	}
	if free {
		shortest = 0
	}
	return ids, shortest
}

// avoid returns the IDs of the servers that a model request must not be placed on: those that were
// tried, and those that want nothing from this node by the time at which it can run. Left is
// false if all servers hold the node off.
func (q *request) avoid(tried []string) (ids []string, left bool) {
	v := q.server.View()
	var stages time.Duration
	if len(tried) == 0 {
		stages = q.stageTime(v)
	}
	held, wait := q.heldOff(v, stages)
	return slices.Concat(tried, v.Departing[q.service], held), wait == 0
}

// retryAfter returns the Retry-After of a request that no server takes now.
func (q *request) retryAfter() time.Duration {
	_, d := q.heldOff(q.server.View(), 0)
	return max(retryAfterBusy, min(d, time.Duration(retryAfterShare*float64(q.remaining()))))
}

// stageTime returns a lower bound of the time until the stages of a model request are complete.
func (q *request) stageTime(v *relay.View) time.Duration {
	var d time.Duration
	for i, s := range q.route.Stages {
		c := v.Config.Services[s.Service]
		if i < len(q.meta.Tasks) && q.meta.Tasks[i] > 0 && c != nil && c.Batching != nil {
			d = max(d, c.Batching.BatchTime+c.Batching.TaskTime)
		}
	}
	return d
}

// unsentStatus returns what the coordinator is told of a request that was not sent to its server.
// A server that holds this node off may serve others.
func unsentStatus(err error) placement.RunStatus {
	if errors.Is(err, relay.ErrHeldOff) {
		return placement.RunRejected
	}
	return placement.RunNotSent
}
