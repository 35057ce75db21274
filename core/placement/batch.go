package placement

// This file defines what the home makes of the end of a call: what it learns of the
// server, and what becomes of the pieces.

import "time"

const (
	// fullPause is the pause of a server that rejected a call or had no room.
	fullPause = 60 * time.Millisecond
	// stageServerBackoff is the first pause of a server that broke off a call.
	stageServerBackoff    = 400 * time.Millisecond
	stageServerBackoffMax = 4 * time.Second
	// paceShare is the weight of the newest call in a server's pace.
	paceShare = 0.3
)

// OnBatch takes the end of a call. The results are those of its pieces, in order;
// there are none unless the call is done.
func (h *Scheduler) OnBatch(number uint64, end BatchStatus, results []TaskResult) {
	h.init()
	c := h.batches[number]
	if c == nil {
		return
	}
	delete(h.batches, number)
	c.stageServer.batches--
	h.observe(c, end)
	if end != BatchDone || len(results) != len(c.tasks) {
		results = make([]TaskResult, len(c.tasks))
		for i := range results {
			results[i].Status = TaskError
		}
	}
	// A call that was not begun costs no attempt.
	counted := end == BatchDone || end == BatchBroken
	for i, p := range c.tasks {
		h.onTaskResult(c, p, results[i], counted)
	}
	h.dispatch()
}

// observe updates what is known of a server from the end of a call.
func (h *Scheduler) observe(c *batch, end BatchStatus) {
	now, m := h.Now(), c.stageServer
	switch end {
	case BatchDone:
		m.backoff = 0
		p := max(1, m.pace) * float64(now.Sub(c.started)) / float64(c.expected)
		if m.pace == 0 {
			m.pace = p
		}
		m.pace += paceShare * (p - m.pace)
	case BatchRejected:
		m.until = now.Add(fullPause)
	case BatchMoved, BatchRefused, BatchBroken:
		h.pause(m)
		if end == BatchBroken { // one broken connection does not tell that the process ended
			h.queryCapacity(m)
		} else {
			h.lose(c.pool, m)
		}
	}
}

// pause leaves a server alone for a while that doubles each time.
func (h *Scheduler) pause(m *stageServer) {
	m.backoff = min(max(2*m.backoff, stageServerBackoff), stageServerBackoffMax)
	m.until = h.Now().Add(m.backoff)
}

// onTaskResult takes the result of one piece of a call.
func (h *Scheduler) onTaskResult(c *batch, p *task, r TaskResult, counted bool) {
	m, bytes := c.stageServer, p.stage.request.ResultBytes
	alive := h.jobs[p.job.request.ID] == p.job && !p.stage.released
	if r.Status == TaskDone && !alive {
		m.drop(r.Handle, bytes, h.Now())
		return
	}
	if r.Status == TaskDone {
		p.handle = r.Handle
		p.stage.remaining--
		if p.job.handingOver && !p.job.complete() {
			h.move(p.job)
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
		h.move(p.job)
		return
	}
	switch r.Status {
	case TaskExpired:
		h.refuse(p.job, ReasonLate, h.backlog(p.job))
	case TaskInputLost:
		h.restart(p.job)
	case TaskNoCapacity:
		m.until = h.Now().Add(fullPause)
		c.pool.waiting = append(c.pool.waiting, p)
	default:
		h.remake(c.pool, p, counted)
	}
}

// remake queues a piece again.
func (h *Scheduler) remake(q *pool, p *task, counted bool) {
	j := p.job
	if counted {
		j.remakes++
	}
	if j.remakes > mostRemakes || h.TakeRetry != nil && !h.TakeRetry(q.service) {
		h.refuse(j, ReasonFailed, h.backlog(j))
		return
	}
	q.waiting = append(q.waiting, p)
}

// restart makes all pieces of a job again, since an input is gone.
func (h *Scheduler) restart(j *job) {
	j.remakes++
	if j.remakes > mostRemakes {
		h.refuse(j, ReasonFailed, h.backlog(j))
		return
	}
	for i, s := range j.stages {
		h.release(s)
		j.stages[i] = &jobStage{index: i, request: s.request, remaining: s.request.Tasks}
	}
	h.advance(j)
}

// lose forgets the results of a server whose process has ended, and returns what is known
// of the next one under its id.
func (h *Scheduler) lose(q *pool, m *stageServer) *stageServer {
	m.dead = true
	fresh := &stageServer{server: m.server, until: m.until, backoff: m.backoff}
	q.stageServers[m.server.ID] = fresh
	for _, j := range h.jobs {
		if j.granted != nil {
			continue
		}
		for _, s := range j.stages {
			if s.request.Service == q.service && !s.released {
				h.loseStage(q, s, m)
			}
		}
	}
	return fresh
}

func (h *Scheduler) loseStage(q *pool, s *jobStage, m *stageServer) {
	for _, p := range s.tasks {
		if p.stageServer == m && p.handle != "" {
			p.handle, p.stageServer = "", nil
			s.remaining++
			q.waiting = append(q.waiting, p)
		}
	}
}
