package placement

// This file defines how a job whose stages are complete is placed on a model server.

import "time"

// grant places a job whose stages are complete on a model server, or lets it wait until one has the memory
// for it, behind those that wait already.
func (h *Scheduler) grant(j *job) {
	if j.granted != nil || !j.memorySince.IsZero() {
		return
	}
	if h.Now().Add(minGrantTime).After(j.deadline) {
		h.refuse(j, ReasonLate, h.retryAfter(j))
		return
	}
	if len(h.waiting) > 0 {
		j.memorySince = h.Now()
		h.waiting = append(h.waiting, j)
		h.grantWaiting()
		return
	}
	h.place(j)
}

// place grants a job to a model server that has the memory for it, or adds it to those that wait for that.
func (h *Scheduler) place(j *job) {
	e := h.chooseModelServer(j, true)
	switch {
	case e.modelServer != nil:
	case e.usable == 0:
		h.refuse(j, ReasonNoServer, noServerRetryAfter)
		return
	default:
		if j.memorySince.IsZero() {
			j.memorySince = h.Now()
		}
		h.waiting = append(h.waiting, j)
		return
	}
	j.memorySince = time.Time{}
	for _, s := range j.stages {
		if !j.hasFollower(s.index) {
			j.reads.add(s, reader{run: j.request.Key}, j.deadline)
		}
	}
	if !j.counted {
		j.counted = true
		h.fairness.count(j.request.fairnessKeys(), true)
	}
	h.work.Decisions = append(h.work.Decisions, Decision{
		Key: j.request.Key, Attempt: j.request.Attempt, Server: *e.server, Inputs: j.leafHandles(), Makers: j.makers(), KVSource: h.kvSource(j, e.modelServer), Waited: h.Now().Sub(j.arrived),
		Running: e.load.InFlight(), Candidates: e.candidates, Cost: e.cost, MeanCost: e.mean, Held: e.held.tokens, OverShare: j.rank.over,
	})
	h.addGrant(j, e.modelServer)
}
