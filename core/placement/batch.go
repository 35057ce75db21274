package placement

// This file defines how the end of a batch is handled: what it shows about the server, and
// what happens to the tasks.

import (
	"slices"
	"time"
)

const (
	// rejectedBackoff is the backoff of a server that rejected a batch or had no capacity
	// for a result.
	rejectedBackoff = 60 * time.Millisecond
	// stageServerBackoff is the first backoff of a server that failed a batch; it doubles
	// with each failure up to stageServerBackoffMax.
	stageServerBackoff    = 400 * time.Millisecond
	stageServerBackoffMax = 4 * time.Second
)

// OnBatch handles the end of a batch. The results are those of its tasks, in order; there
// are none unless the status is BatchDone. Those of a server that has started again since may be gone.
func (h *Scheduler) OnBatch(number uint64, status BatchStatus, results []TaskResult) {
	h.init()
	c := h.batches[number]
	if c == nil {
		return
	}
	delete(h.batches, number)
	c.stageServer.batches--
	if status != BatchBroken {
		c.reads.end(reader{batch: number})
	}
	h.observeBatch(c, status)
	if status != BatchDone || len(results) != len(c.tasks) || c.stageServer.lost {
		failure := TaskResult{Status: TaskError}
		if status == BatchReplaced {
			failure.Status = TaskUnsent
		}
		results = slices.Repeat([]TaskResult{failure}, len(c.tasks))
	}
	// A batch that was rejected, refused, not sent or reached another server is taken as not run,
	// and does not count towards a job's maxTaskRetries. One without a usable response counts.
	// The service's retry budget is charged either way, but for BatchReplaced.
	counted := status == BatchDone || status == BatchBroken
	for i, p := range c.tasks {
		h.onTaskResult(c, p, results[i], counted)
	}
	h.reportProgress(c)
	h.dispatch()
}

// observeBatch updates a server's speed and backoff from the end of a batch. If the
// server's process has ended, its results are given up and their tasks queued again; if there
// was no usable response, a capacity query shows whether it has. A batch of a process that is known to
// have ended shows nothing about the next one.
func (h *Scheduler) observeBatch(c *batch, status BatchStatus) {
	now, m := h.Now(), c.stageServer
	if m.lost {
		return
	}
	switch status {
	case BatchDone:
		m.backoff = 0
		c.pool.observeTime(c, now)
	case BatchRejected:
		m.backoffUntil = now.Add(rejectedBackoff)
	case BatchUnsent, BatchBroken: // neither shows that the process ended
		h.backOff(m)
		h.queryCapacity(m)
	case BatchMoved, BatchRefused:
		h.backOff(m)
		h.replaceStageServer(c.pool, m, m.server)
	case BatchReplaced:
		h.replaceStageServer(c.pool, m, m.server)
	}
	if status == BatchUnsent || status == BatchRefused || status == BatchReplaced {
		h.returnRules(c)
	}
}

// OnProcess records which process a batch was sent to, by a name that no other process has.
func (h *Scheduler) OnProcess(number uint64, process string) {
	h.init()
	c := h.batches[number]
	if c == nil || process == "" || c.stageServer.lost {
		return
	}
	if m := c.stageServer; m.process != "" && m.process != process { // of two batches at the same time
		h.replaceStageServer(c.pool, m, m.server)
		return
	}
	c.stageServer.process = process
}

// backOff keeps batches from a server for a time that doubles with each failure in a row.
func (h *Scheduler) backOff(m *stageServer) {
	m.backoff = min(max(2*m.backoff, stageServerBackoff), stageServerBackoffMax)
	m.backoffUntil = h.Now().Add(m.backoff)
}

// onTaskResult handles the result of one task of a batch.
func (h *Scheduler) onTaskResult(c *batch, p *task, r TaskResult, counted bool) {
	m, bytes := c.stageServer, p.stage.request.ResultBytes
	p.stage.inBatch--
	alive := h.jobs[p.job.request.Key] == p.job && !p.stage.released
	if r.Status == TaskDone && !alive {
		m.queueRelease(r.Handle, bytes, h.Now())
		return
	}
	if r.Status == TaskDone {
		p.handle = r.Handle
		p.stage.remaining--
		if p.job.handingOver && !p.job.complete() {
			h.handOverJob(p.job)
			return
		}
		h.advance(p.job)
		return
	}
	m.reserved -= bytes
	p.stageServer = nil
	if !alive {
		return
	}
	if p.job.handingOver {
		h.handOverJob(p.job)
		return
	}
	switch r.Status {
	case TaskExpired:
		h.refuse(p.job, ReasonLate, h.retryAfter(p.job))
	case TaskInputLost:
		h.restartStages(p.job)
	case TaskUnsent:
		c.pool.queue.push(p)
	case TaskNoCapacity:
		m.backoffUntil = h.Now().Add(rejectedBackoff)
		c.pool.queue.push(p)
	default:
		h.retryTask(c.pool, p, counted)
	}
}

// retryTask queues a task again, or refuses its job if the job's retries or the service's
// retry budget are used up. counted says whether the retry counts towards the job's.
func (h *Scheduler) retryTask(q *stagePool, p *task, counted bool) {
	j := p.job
	if counted {
		j.taskRetries++
	}
	if j.taskRetries > maxTaskRetries || h.TakeRetry != nil && !h.TakeRetry(q.service) {
		h.refuse(j, ReasonFailed, h.retryAfter(j))
		return
	}
	q.queue.push(p)
}

// restartStages computes all stages of a job again, since an input was lost or released.
func (h *Scheduler) restartStages(j *job) {
	j.taskRetries++
	if j.taskRetries > maxTaskRetries {
		h.refuse(j, ReasonFailed, h.retryAfter(j))
		return
	}
	h.resetStages(j)
	h.advance(j)
}

// resetStages drops the progress of all stages of a job.
func (h *Scheduler) resetStages(j *job) {
	for i, s := range j.stages {
		h.release(s)
		j.stages[i] = &jobStage{index: i, request: s.request, remaining: s.request.Tasks}
	}
}

// requeueLost drops the results of a stage at a server, and queues their tasks again unless the next
// coordinator will.
func (h *Scheduler) requeueLost(q *stagePool, s *jobStage, m *stageServer) {
	for _, p := range s.tasks {
		if p.stageServer != m || p.handle == "" {
			continue
		}
		p.handle, p.stageServer = "", nil
		s.remaining++
		if !p.job.handingOver {
			q.queue.push(p)
		}
	}
}
