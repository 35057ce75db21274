package place

// This file defines what the home makes of the end of a call: what it learns of the
// server, and what becomes of the pieces.

import "time"

const (
	// fullPause is the pause of a server that rejected a call or had no room.
	fullPause = 60 * time.Millisecond
	// workerBackoff is the first pause of a server that broke off a call.
	workerBackoff    = 400 * time.Millisecond
	workerBackoffMax = 4 * time.Second
	// paceShare is the weight of the newest call in a server's pace.
	paceShare = 0.3
)

// Called takes the end of a call. The results are those of its pieces, in order;
// there are none unless the call is done.
func (h *Home) Called(number uint64, end CallEnd, results []PieceResult) {
	h.init()
	c := h.calls[number]
	if c == nil {
		return
	}
	delete(h.calls, number)
	c.worker.calls--
	h.learn(c, end)
	if end != CallDone || len(results) != len(c.pieces) {
		results = make([]PieceResult, len(c.pieces))
		for i := range results {
			results[i].End = PieceError
		}
	}
	// A call that was not begun costs no attempt.
	counted := end == CallDone || end == CallBroken
	for i, p := range c.pieces {
		h.made(c, p, results[i], counted)
	}
	h.dispatch()
}

// learn updates what is known of a server from the end of a call.
func (h *Home) learn(c *call, end CallEnd) {
	now, m := h.Now(), c.worker
	switch end {
	case CallDone:
		m.backoff = 0
		p := max(1, m.pace) * float64(now.Sub(c.started)) / float64(c.expected)
		if m.pace == 0 {
			m.pace = p
		}
		m.pace += paceShare * (p - m.pace)
	case CallRejected:
		m.until = now.Add(fullPause)
	case CallMoved, CallRefused, CallBroken:
		h.pause(m)
		if end == CallBroken { // one broken connection does not tell that the process ended
			h.look(m)
		} else {
			h.lose(c.pool, m)
		}
	}
}

// pause leaves a server alone for a while that doubles each time.
func (h *Home) pause(m *worker) {
	m.backoff = min(max(2*m.backoff, workerBackoff), workerBackoffMax)
	m.until = h.Now().Add(m.backoff)
}

// made takes the result of one piece of a call.
func (h *Home) made(c *call, p *piece, r PieceResult, counted bool) {
	m, bytes := c.worker, p.stage.ask.ResultBytes
	alive := h.jobs[p.job.ask.ID] == p.job && !p.stage.released
	if r.End == PieceMade && !alive {
		m.drop(r.Handle, bytes, h.Now())
		return
	}
	if r.End == PieceMade {
		p.handle = r.Handle
		p.stage.left--
		if p.job.leaving && !p.job.complete() {
			h.move(p.job)
			return
		}
		h.advance(p.job)
		return
	}
	m.reserved -= bytes
	p.worker = nil
	if !alive {
		return
	}
	if p.job.leaving {
		h.move(p.job)
		return
	}
	switch r.End {
	case PieceLate:
		h.refuse(p.job, ReasonLate, h.backlog(p.job))
	case PieceGone:
		h.restart(p.job)
	case PieceRoom:
		m.until = h.Now().Add(fullPause)
		c.pool.waiting = append(c.pool.waiting, p)
	default:
		h.remake(c.pool, p, counted)
	}
}

// remake queues a piece again.
func (h *Home) remake(q *pool, p *piece, counted bool) {
	j := p.job
	if counted {
		j.remakes++
	}
	if j.remakes > mostRemakes || h.Repeat != nil && !h.Repeat(q.service) {
		h.refuse(j, ReasonFailed, h.backlog(j))
		return
	}
	q.waiting = append(q.waiting, p)
}

// restart makes all pieces of a job again, since an input is gone.
func (h *Home) restart(j *job) {
	j.remakes++
	if j.remakes > mostRemakes {
		h.refuse(j, ReasonFailed, h.backlog(j))
		return
	}
	for i, s := range j.stages {
		h.release(s)
		j.stages[i] = &jobStage{index: i, ask: s.ask, left: s.ask.Pieces}
	}
	h.advance(j)
}

// lose forgets the results of a server whose process has ended, and returns what is known
// of the next one under its id.
func (h *Home) lose(q *pool, m *worker) *worker {
	m.dead = true
	fresh := &worker{server: m.server, until: m.until, backoff: m.backoff}
	q.workers[m.server.ID] = fresh
	for _, j := range h.jobs {
		if j.granted != nil {
			continue
		}
		for _, s := range j.stages {
			if s.ask.Service == q.service && !s.released {
				h.loseStage(q, s, m)
			}
		}
	}
	return fresh
}

func (h *Home) loseStage(q *pool, s *jobStage, m *worker) {
	for _, p := range s.pieces {
		if p.worker == m && p.handle != "" {
			p.handle, p.worker = "", nil
			s.left++
			q.waiting = append(q.waiting, p)
		}
	}
}
