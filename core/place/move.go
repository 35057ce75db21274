package place

// This file defines how requests that wait for a place move from a home that stops to the
// next one, with the results that were made for them.

import (
	"maps"
	"slices"
)

// Leave passes all requests that wait for a place on to the next home: at once, or as soon as
// their calls in progress have ended. Requests that are asked later are placed as usual.
func (h *Home) Leave() {
	h.init()
	for _, id := range slices.Sorted(maps.Keys(h.jobs)) {
		j := h.jobs[id]
		if j.granted != nil {
			continue
		}
		j.leaving = true
		for _, s := range j.stages {
			for _, p := range s.pieces {
				h.pool(s.ask.Service).remove(p)
			}
		}
		h.move(j)
	}
	h.dispatch()
}

// move answers a job that leaves, unless one of its pieces is in a call.
func (h *Home) move(j *job) {
	a := Answer{ID: j.ask.ID, Try: j.ask.Try, Reason: ReasonMoved, Waited: h.Now().Sub(j.arrived)}
	for _, s := range j.stages {
		m := MadeStage{Stage: s.index, Released: s.released}
		for _, p := range s.pieces {
			if p.worker != nil && p.handle == "" {
				return
			}
			if p.handle != "" && !s.released {
				m.Pieces = append(m.Pieces, MadePiece{Index: p.index, Server: p.worker.server.ID, Handle: p.handle})
			}
		}
		if m.Released || len(m.Pieces) > 0 {
			a.Made = append(a.Made, m)
		}
	}
	for _, s := range j.stages {
		s.released = true // the next home frees the results
	}
	h.work.Answers = append(h.work.Answers, a)
	h.forget(j.ask.ID)
}

// adopt takes over what the last home has made of a job's stages.
func (h *Home) adopt(j *job) {
	for _, m := range j.ask.Made {
		if m.Stage < 0 || m.Stage >= len(j.stages) {
			continue
		}
		s := j.stages[m.Stage]
		s.started = true
		if m.Released {
			s.released, s.left = true, 0
			continue
		}
		q := h.pool(s.ask.Service)
		h.workers(q) // all servers are known from here on
		made := map[int]MadePiece{}
		for _, p := range m.Pieces {
			made[p.Index] = p
		}
		for n := range s.ask.Pieces {
			p := &piece{job: j, stage: s, index: n, queued: h.Now()}
			s.pieces = append(s.pieces, p)
			if w := q.workers[made[n].Server]; w != nil {
				p.worker, p.handle = w, made[n].Handle
				w.adopt(s.ask.ResultBytes, h.Now())
				s.left--
				continue
			}
			q.waiting = append(q.waiting, p)
		}
	}
}
