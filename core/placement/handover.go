package placement

// This file defines how waiting requests move from a coordinator that stops to the next
// one, with their stored results.

import (
	"maps"
	"slices"
	"time"
)

// inBatchTime is how long capacity is kept free for what the previous coordinator's batches store:
// until they end and their requests have moved, or have used the results.
const inBatchTime = 600 * time.Millisecond

// HandOver passes all waiting requests on to the next coordinator: at once, or as soon as
// their batches in progress have ended. Requests submitted later are placed as usual.
func (h *Scheduler) HandOver() {
	h.init()
	h.handOverEarly()
	for _, k := range slices.SortedFunc(maps.Keys(h.jobs), Key.compare) {
		j := h.jobs[k]
		if j.granted != nil {
			continue
		}
		j.handingOver = true
		for _, s := range j.stages {
			for _, p := range s.tasks {
				h.pool(s.request.Service).queue.remove(p)
			}
		}
		h.handOverJob(j)
	}
	h.dispatch()
}

// handOverJob ends a job with ReasonMoved and its progress, unless one of its tasks is in
// a batch.
func (h *Scheduler) handOverJob(j *job) {
	for _, s := range j.stages {
		if s.inBatch > 0 {
			return
		}
	}
	a := Decision{Key: j.request.Key, Attempt: j.request.Attempt, Reason: ReasonMoved, Waited: h.Now().Sub(j.arrived), Progress: j.progress()}
	for _, s := range j.stages {
		s.released = true // the next coordinator releases the results
	}
	a.InBatches = h.inBatches(j)
	h.work.Decisions = append(h.work.Decisions, a)
	h.forget(j.request.Key)
}

// progress returns the results that exist for a job.
func (j *job) progress() []StageProgress {
	var l []StageProgress
	for _, s := range j.stages {
		m := StageProgress{Stage: s.index, Released: s.released}
		for _, p := range s.tasks {
			if p.handle != "" && !s.released {
				m.Results = append(m.Results, p.stored())
			}
		}
		if m.Released || len(m.Results) > 0 {
			l = append(l, m)
		}
	}
	return l
}

// stored returns the result of a task that has one.
func (p *task) stored() StoredResult {
	s := p.stageServer.server
	return StoredResult{Index: p.index, Server: s.ID, StartedAt: s.StartedAt, Handle: p.handle}
}

// reportProgress reports the progress of the jobs of a batch that ended and that still wait.
func (h *Scheduler) reportProgress(b *batch) {
	reported := map[*job]bool{}
	for _, p := range b.tasks {
		j := p.job
		if h.jobs[j.request.Key] != j || j.granted != nil || reported[j] {
			continue
		}
		reported[j] = true
		h.work.Progress = append(h.work.Progress, ProgressReport{Key: j.request.Key, Attempt: j.request.Attempt, Progress: j.progress()})
	}
}

// inBatches returns what batches in progress will store at the servers of a job's stages.
func (h *Scheduler) inBatches(j *job) []ServerBytes {
	n := map[string]int64{}
	for _, b := range h.batches {
		if !slices.ContainsFunc(j.stages, func(s *jobStage) bool { return s.request.Service == b.pool.service }) {
			continue
		}
		for _, p := range b.tasks {
			n[b.stageServer.server.ID] += p.stage.request.ResultBytes
		}
	}
	var l []ServerBytes
	for _, id := range slices.Sorted(maps.Keys(n)) {
		l = append(l, ServerBytes{Server: id, Bytes: n[id]})
	}
	return l
}

// adoptInBatches keeps capacity free for what the previous coordinator's batches will store.
func (h *Scheduler) adoptInBatches(j *job) {
	if len(j.request.InBatches) == 0 {
		return
	}
	for _, s := range j.stages {
		q := h.pool(s.request.Service)
		h.nearestStageServers(q) // creates the state of all servers
		for _, x := range j.request.InBatches {
			if m := q.stageServers[x.Server]; m != nil {
				m.expectedBytes, m.expectedUntil = x.Bytes, h.Now().Add(inBatchTime)
			}
		}
	}
}

// adoptProgress takes over the stored results of a job's stages from the previous
// coordinator, and queues the other tasks of these stages. If one of them needs results that were
// released, all stages are run again.
func (h *Scheduler) adoptProgress(j *job) {
	h.adoptStages(j)
	if j.needsReleased() {
		h.resetStages(j)
	}
}

// adoptStages sets the progress of a job's stages.
func (h *Scheduler) adoptStages(j *job) {
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
		h.nearestStageServers(q) // creates the state of all servers, looked up below
		stored := map[int]StoredResult{}
		for _, p := range m.Results {
			stored[p.Index] = p
		}
		for n := range s.request.Tasks {
			p := &task{job: j, stage: s, index: n, queuedAt: h.Now()}
			s.tasks = append(s.tasks, p)
			r := stored[n]
			if w := q.stageServers[r.Server]; w != nil && w.server.StartedAt == r.StartedAt {
				p.stageServer, p.handle = w, r.Handle
				w.addStored(s.request.ResultBytes, h.Now())
				s.remaining--
				continue
			}
			q.queue.push(p)
		}
	}
}
