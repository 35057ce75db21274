package placement

// This file defines which queued tasks a server may get: those with large results or inputs stay in the failure domain of
// their model server while that costs callers little.

import (
	"slices"
	"time"

	"bergamotspring/core/relay"
	"bergamotspring/core/rollout"
)

const (
	// localResultBytes is the size of a task's result and inputs from which the task is run in the
	// failure domain of its model server where possible; smaller ones may run on any server.
	localResultBytes = 32 << 10
	// remotePenalty is added to the slack of a group each of whose tasks moves at least
	// localResultBytes, when it is considered for a server in another failure domain.
	remotePenalty = 500 * time.Millisecond
	// spillDelay is how long a task waits for a server in its own failure domain.
	spillDelay = 250 * time.Millisecond
	// maxLocalWait is the longest expected wait for a server in its own failure domain that a task with a small result
	// and large inputs is left to. A longer one costs callers more than the transfer of the inputs.
	maxLocalWait = 100 * time.Millisecond
)

// room is what the servers of a failure domain can take.
type room struct {
	usable bool          // a server there is not resting
	tasks  int           // of their next batches, less the tasks that wait for them
	wait   time.Duration // until one of them is expected to take its next batch
}

// domainRoom returns the room of each failure domain.
func domainRoom(all []*stageServer, groups []*taskGroup, w *relay.BatchSpec, now time.Time, main rollout.Rule) map[string]room {
	near := map[string]room{}
	for _, m := range all {
		if m.resting(now) || !main.Admits(m.server.Version) {
			continue
		}
		r, d := near[m.server.Domain], time.Duration(0)
		if m.batches >= w.Concurrency {
			d = max(0, m.busyUntil.Sub(now))
		}
		if !r.usable || d < r.wait {
			r.wait = d
		}
		r.usable, r.tasks = true, r.tasks+w.MaxBatch
		near[m.server.Domain] = r
	}
	for _, g := range groups {
		if n := len(g.tasks); n > 0 && g.crossDomainBytes >= localResultBytes {
			r := near[g.tasks[0].job.domain]
			r.tasks -= n
			near[g.tasks[0].job.domain] = r
		}
	}
	return near
}

// taskGroups returns the queued tasks of a pool, grouped by stage of a request, with their order
// as of now.
func (h *Scheduler) taskGroups(q *stagePool) []*taskGroup {
	now := h.Now()
	q.queue.compact()
	for _, g := range q.queue.groups {
		g.order = h.order(g.tasks[0], now)
	}
	return q.queue.groups
}

// eligibleGroups returns the groups that may go to a server, the most urgent first. Those of other
// domains that are reserved are left out.
func (h *Scheduler) eligibleGroups(m *stageServer, groups []*taskGroup, near map[string]room, reserved map[string]bool) []*taskGroup {
	type ranked struct {
		*taskGroup
		order order
	}
	var l []ranked
	for _, g := range groups {
		if len(g.tasks) == 0 || !h.eligible(m, g, near) {
			continue
		}
		if d := g.tasks[0].job.domain; d != m.server.Domain && reserved[d] {
			continue
		}
		x := ranked{taskGroup: g, order: g.order}
		if m.server.Domain != g.tasks[0].job.domain && g.crossDomainBytes >= localResultBytes {
			x.order.slack += remotePenalty
		}
		l = append(l, x)
	}
	slices.SortStableFunc(l, func(a, b ranked) int { return a.order.compare(b.order) })
	r := make([]*taskGroup, 0, len(l))
	for _, x := range l {
		r = append(r, x.taskGroup)
	}
	return r
}

// eligible reports whether the tasks of a group may go to a server. Tasks with large results or inputs
// are run in the failure domain of their model server; they go elsewhere if no server there is
// usable or they have waited for spillDelay, and, unless the results are large, if more wait than the next batches there
// take or these are further away than maxLocalWait: servers elsewhere would otherwise idle under a load that needs all
// of them. A queued task whose inputs are lost waits for them.
func (h *Scheduler) eligible(m *stageServer, g *taskGroup, near map[string]room) bool {
	p := g.tasks[0]
	if !p.job.allows(m.server.Region) || !p.job.ready(p.stage) {
		return false
	}
	if g.crossDomainBytes < localResultBytes || m.server.Domain == p.job.domain {
		return true
	}
	r := near[p.job.domain]
	if !r.usable || h.Now().Sub(p.queuedAt) >= spillDelay {
		return true
	}
	return p.stage.request.ResultBytes < localResultBytes && (r.tasks < 0 || r.wait > maxLocalWait)
}

// crossDomainBytes returns the bytes that cross failure domains if a task runs outside
// that of its model server: its result and its inputs.
func (p *task) crossDomainBytes() int64 {
	n := p.stage.request.ResultBytes
	for _, a := range p.stage.request.After {
		s := p.job.stages[a]
		n += int64(len(s.tasks)) * s.request.ResultBytes
	}
	return n
}
