package placement

// This file defines how requests that wait for a place move from a home that stops to the
// next one, with the results that were made for them.

import (
	"maps"
	"slices"
)

// HandOver passes all requests that wait for a place on to the next home: at once, or as soon as
// their calls in progress have ended. Requests that are asked later are placed as usual.
func (h *Scheduler) HandOver() {
	h.init()
	for _, id := range slices.Sorted(maps.Keys(h.jobs)) {
		j := h.jobs[id]
		if j.granted != nil {
			continue
		}
		j.handingOver = true
		for _, s := range j.stages {
			for _, p := range s.tasks {
				h.pool(s.request.Service).remove(p)
			}
		}
		h.move(j)
	}
	h.dispatch()
}

// move answers a job that leaves, unless one of its pieces is in a call.
func (h *Scheduler) move(j *job) {
	a := Decision{ID: j.request.ID, Attempt: j.request.Attempt, Reason: ReasonMoved, Waited: h.Now().Sub(j.arrived)}
	for _, s := range j.stages {
		m := StageProgress{Stage: s.index, Released: s.released}
		for _, p := range s.tasks {
			if p.stageServer != nil && p.handle == "" {
				return
			}
			if p.handle != "" && !s.released {
				m.Results = append(m.Results, StoredResult{Index: p.index, Server: p.stageServer.server.ID, Handle: p.handle})
			}
		}
		if m.Released || len(m.Results) > 0 {
			a.Progress = append(a.Progress, m)
		}
	}
	for _, s := range j.stages {
		s.released = true // the next home frees the results
	}
	h.work.Decisions = append(h.work.Decisions, a)
	h.forget(j.request.ID)
}

// adopt takes over what the last home has made of a job's stages.
func (h *Scheduler) adopt(j *job) {
	for _, m := range j.request.Progress {
		if m.Stage < 0 || m.Stage >= len(j.stages) {
			continue
		}
		s := j.stages[m.Stage]
		s.started = true
		if m.Released {
			s.released, s.remaining = true, 0
			continue
		}
		q := h.pool(s.request.Service)
		h.usableStageServers(q) // all servers are known from here on
		made := map[int]StoredResult{}
		for _, p := range m.Results {
			made[p.Index] = p
		}
		for n := range s.request.Tasks {
			p := &task{job: j, stage: s, index: n, queued: h.Now()}
			s.tasks = append(s.tasks, p)
			if w := q.stageServers[made[n].Server]; w != nil {
				p.stageServer, p.handle = w, made[n].Handle
				w.adopt(s.request.ResultBytes, h.Now())
				s.remaining--
				continue
			}
			q.waiting = append(q.waiting, p)
		}
	}
}
