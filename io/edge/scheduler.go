package edge

// This file defines the scheduler of a node: core/placement under a lock, and the I/O that it
// asks for.

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotspring/core/memory"
	"bergamotspring/core/placement"
	"bergamotspring/core/relay"
	"bergamotspring/core/rollout"
	"bergamotspring/io/exchange"
	"bergamotspring/io/wait"
	"bergamotspring/platform"
)

const (
	// tickInterval is the time between calls of Tick, which among other things refuses
	// requests that cannot be in time and starts delayed stages.
	tickInterval = 25 * time.Millisecond
	// releaseTimeout bounds the message that releases results.
	releaseTimeout = time.Second
	// queryTimeout bounds a capacity query, during which the server gets no batch.
	queryTimeout = 300 * time.Millisecond
	// maxStageResponse is the number of bytes after which a stage server's response is cut
	// off, so that it cannot be decoded.
	maxStageResponse = 1 << 20
)

// scheduler places requests for the nodes that take this one for the region's coordinator.
// Its lock is held while core reads the cache and the retry budgets, but not during I/O or
// while a decision is delivered.
type scheduler struct {
	pool   *exchange.Pool
	log    *zap.Logger
	sample func(id string) bool // reports whether the ordinary lines of a request are logged
	meter  *meter
	guard  *serverGuard
	memory *memory.Account
	// onExhausted is called with a model server that crashed for want of memory.
	onExhausted func(server string)
	// inquire asks all nodes, tellProven tells them what was found.
	inquire    func(placement.Inquiry)
	tellProven func([]placement.Maker)
	// onBatch, if set, is called at the end of each batch.
	onBatch func(c *placement.Batch, start time.Time, took time.Duration, outcome placement.BatchStatus, l []placement.TaskResult)
	work    sync.WaitGroup // I/O in progress

	mu         sync.Mutex
	core       placement.Scheduler
	waiting    map[attemptKey]waiter
	handedOver bool // another node is coordinator now
}

// waiter is who waits for the decision on a request.
type waiter struct {
	deliver func(placement.Decision)
	// progress, if set, gets the results that exist, before the decision.
	progress func([]placement.StageProgress)
}

// attemptKey identifies one attempt to place a request.
type attemptKey struct {
	placement.Key
	attempt int
}

// do runs f under the lock, then delivers the decisions and starts the I/O that it caused.
func (h *scheduler) do(f func(*placement.Scheduler)) {
	h.mu.Lock()
	f(&h.core)
	w := h.core.Take()
	var deliver []func()
	for _, r := range w.Progress {
		if x := h.waiting[attemptKey{r.Key, r.Attempt}]; x.progress != nil {
			deliver = append(deliver, func() { x.progress(r.Progress) })
		}
	}
	for _, a := range w.Decisions {
		k := attemptKey{a.Key, a.Attempt}
		if x, ok := h.waiting[k]; ok {
			delete(h.waiting, k)
			deliver = append(deliver, func() { x.deliver(a) })
		}
	}
	h.mu.Unlock()
	for i := range w.Decisions {
		h.logDecision(&w.Decisions[i])
	}
	for _, d := range deliver {
		d()
	}
	for _, id := range w.Exhausted {
		h.onExhausted(id)
	}
	for i := range w.Batches {
		h.work.Go(func() { h.sendBatch(&w.Batches[i]) })
	}
	for i := range w.Releases {
		h.work.Go(func() { h.release(&w.Releases[i]) })
	}
	for i := range w.Queries {
		h.work.Go(func() { h.query(&w.Queries[i]) })
	}
	for _, k := range w.Inquiries {
		h.work.Go(func() { h.inquire(k) })
	}
	if len(w.Proven) > 0 {
		h.work.Go(func() { h.tellProven(w.Proven) })
	}
}

// logDecision logs and counts a decision.
func (h *scheduler) logDecision(a *placement.Decision) {
	h.meter.countDecision(a)
	if a.Reason == placement.ReasonMoved {
		h.log.Info("place_moved", zap.String("request", a.ID), zap.Duration("waited", a.Waited), zap.Int("made", a.ResultCount()))
		return
	}
	if !a.Granted() {
		h.log.Info("place_refused", zap.String("request", a.ID), zap.String("reason", a.Reason),
			zap.Duration("waited", a.Waited), zap.Duration("retry_after", a.RetryAfter), zap.Bool("over_share", a.OverShare))
		return
	}
	if h.sample(a.ID) {
		h.log.Info("placed", zap.String("request", a.ID), zap.String("server", a.Server.ID), zap.String("domain", a.Server.Domain),
			zap.Duration("waited", a.Waited), zap.Int("inputs", len(a.Inputs)), zap.Int("running", a.Running), zap.String("fetch", a.KVSource),
			zap.Int("candidates", a.Candidates), zap.Duration("cost", a.Cost), zap.Duration("mean_cost", a.MeanCost), zap.Int("held", a.Held), zap.Bool("over_share", a.OverShare))
	}
}

// submit submits a request. Its waiter's deliver is called once with the decision, from any
// goroutine, unless the request is withdrawn or a later attempt of it is submitted first.
func (h *scheduler) submit(a placement.Request, x waiter) {
	h.do(func(p *placement.Scheduler) {
		if h.waiting == nil {
			h.waiting = map[attemptKey]waiter{}
		}
		for n := range a.Attempt {
			delete(h.waiting, attemptKey{a.Key, n})
		}
		h.waiting[attemptKey{a.Key, a.Attempt}] = x
		p.Submit(a)
	})
}

// submitRemote submits a request of another node. After a handover it answers at once that the
// coordinator has moved.
func (h *scheduler) submitRemote(a placement.Request, progress func([]placement.StageProgress), deliver func(placement.Decision)) {
	h.mu.Lock()
	handedOver := h.handedOver
	h.mu.Unlock()
	if handedOver {
		deliver(placement.Decision{Key: a.Key, Attempt: a.Attempt, Reason: placement.ReasonMoved})
		return
	}
	h.submit(a, waiter{deliver: deliver, progress: progress})
}

// handOver sends queued requests back so that they go to the next coordinator. Granted requests
// stay with this scheduler until they end.
func (h *scheduler) handOver() {
	h.mu.Lock()
	h.handedOver = true
	h.mu.Unlock()
	h.do((*placement.Scheduler).HandOver)
}

// report handles a report on a granted request, or a withdrawal if its server is empty.
func (h *scheduler) report(r placement.Report) {
	h.do(func(p *placement.Scheduler) {
		if r.Server == "" {
			delete(h.waiting, attemptKey{r.Key, r.Attempt})
			p.Withdraw(r.Key, r.Attempt)
			return
		}
		p.OnReport(r)
	})
}

// holdOff keeps batches and releases from a server that asked for it, if it is one of a stage.
func (h *scheduler) holdOff(p relay.Process, d time.Duration) {
	h.do(func(s *placement.Scheduler) { s.HoldOff(p, d) })
}

// takeAnnouncements returns which prompt segments servers have read since the last call, for the other coordinators.
func (h *scheduler) takeAnnouncements() []placement.SegmentAnnouncement {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.core.TakeAnnouncements()
}

// adoptAnnouncements records which prompt segments servers of another region have read.
func (h *scheduler) adoptAnnouncements(l []placement.SegmentAnnouncement) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.core.AdoptAnnouncements(l)
}

// held returns how many batches and results there are at servers of other versions than the orders name, by service.
func (h *scheduler) held(orders map[string]rollout.Order) map[string]int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	m := make(map[string]int64, len(orders))
	for service, o := range orders {
		m[service] = h.core.Held(service, o.To)
	}
	return m
}

// run calls Tick periodically until the context ends.
func (h *scheduler) run(ctx context.Context) {
	wait.Every(ctx, tickInterval, func() { h.do((*placement.Scheduler).Tick) })
}

// sendBatch sends one batch to a stage server and passes on its results.
func (h *scheduler) sendBatch(c *placement.Batch) {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	start := time.Now()
	var process string
	outcome, l, err := h.exchangeBatch(ctx, c, func(name string) { process = name })
	var counts [placement.TaskUnsent + 1]int
	for _, r := range l {
		counts[r.Status]++
	}
	took := time.Since(start)
	if h.onBatch != nil {
		h.onBatch(c, start, took, outcome, l)
	}
	h.meter.countBatch(c.Server.Service, outcome == placement.BatchDone, len(c.Tasks), took)
	h.log.Info("stage_call", zap.String("server", c.Server.ID), zap.Int64("process", c.Server.StartedAt), zap.String("service", c.Server.Service),
		zap.Int("pieces", len(c.Tasks)), zap.Int("made", counts[placement.TaskDone]), zap.Int("gone", counts[placement.TaskInputLost]),
		zap.Int("no_room", counts[placement.TaskNoCapacity]), zap.Int("waiting", c.Queued),
		zap.Duration("took", took), zap.Uint8("end", uint8(outcome)), zap.Error(err))
	started := platform.StageProcessStart(err)
	h.do(func(p *placement.Scheduler) {
		if started != 0 {
			h.observeProcess(p, &c.Server, started)
		}
		p.OnProcess(c.Number, process)
		p.OnBatch(c.Number, outcome, l)
	})
}

// observeProcess passes on which process answered in a stage server's place, by its start, 0 if it is not known. The lock
// is held.
func (h *scheduler) observeProcess(p *placement.Scheduler, s *relay.Server, startedAt int64) {
	if startedAt != 0 && startedAt != s.StartedAt {
		h.log.Info("stage_server_replaced", zap.String("server", s.ID), zap.Int64("process", s.StartedAt), zap.Int64("next", startedAt))
	}
	p.ObserveProcess(s.Address, relay.Process{ID: s.ID, StartedAt: startedAt})
}

// exchangeBatch sends a batch and returns its results. It calls onProcess with the name of the process that gets it.
func (h *scheduler) exchangeBatch(ctx context.Context, c *placement.Batch, onProcess func(string)) (placement.BatchStatus, []placement.TaskResult, error) {
	q, err := platform.StageBatch(c)
	if err != nil {
		return placement.BatchBroken, nil, err
	}
	q.Guard, q.OnProcess = h.guard.guard(&c.Server), onProcess
	held := h.memory.Open(memory.Responses)
	defer held.Close() // what is kept of the results counts as control state
	q.OnRead = func(n int) { memory.EndAll(held.Add(int64(n))) }
	var l []placement.TaskResult
	status, _, err := h.pool.Whole(ctx, q, maxStageResponse, func(status int, b []byte) (mark string, err error) {
		if status == http.StatusOK {
			l, err = platform.StageResults(b, len(c.Tasks))
		}
		return platform.StageMark(b), err
	})
	var u *exchange.UnsentError
	var o *exchange.OtherProcessError
	switch {
	case errors.Is(err, relay.ErrHeldOff):
		return placement.BatchRejected, nil, err
	case errors.Is(err, exchange.ErrUnproven), errors.As(err, &o) && o.Process != "":
		return placement.BatchReplaced, nil, err
	case o != nil:
		return placement.BatchMoved, nil, err
	case errors.As(err, &u) && u.Refused:
		return placement.BatchRefused, nil, err
	case u != nil:
		return placement.BatchUnsent, nil, err
	case err != nil:
		return placement.BatchBroken, nil, err
	}
	return batchStatus(status), l, nil
}

// batchStatus returns how a batch ended, from its HTTP status. Only some statuses promise that the
// server ran nothing.
func batchStatus(status int) placement.BatchStatus {
	switch status {
	case http.StatusOK:
		return placement.BatchDone
	case http.StatusMisdirectedRequest:
		return placement.BatchMoved
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return placement.BatchRejected
	}
	return placement.BatchBroken
}

// release tells a stage server which results are not needed any more.
func (h *scheduler) release(f *placement.ReleaseResults) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	q, err := platform.StageRelease(f)
	status := 0
	if err == nil {
		q.Guard = h.guard.messageGuard(&f.Server)
		q.Interchangeable = true // at worst, results count as released some time before they are
		status, _, err = h.pool.Whole(ctx, q, maxStageResponse, func(_ int, b []byte) (string, error) {
			return platform.StageMark(b), platform.StageReleased(b)
		})
	}
	outcome := messageStatus(status, err)
	if outcome != placement.MessageDone {
		h.log.Warn("free_failed", zap.String("server", f.Server.ID), zap.Int("handles", len(f.Handles)), zap.Int("status", status), zap.Error(err))
	}
	h.do(func(p *placement.Scheduler) { p.OnRelease(f.Number, outcome) })
}

// query asks a stage server for its free capacity.
func (h *scheduler) query(l *placement.CapacityQuery) {
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	var free, started int64
	q := platform.StageQuery(l)
	q.Guard = h.guard.messageGuard(&l.Server)
	status, _, err := h.pool.Whole(ctx, q, maxStageResponse, func(status int, b []byte) (mark string, err error) {
		if status == http.StatusOK {
			free, err = platform.StageCapacity(b)
			started, _ = platform.StageStart(b) // unknown if it cannot be read
		}
		return platform.StageMark(b), err
	})
	outcome := messageStatus(status, err)
	if outcome != placement.MessageDone {
		h.log.Warn("look_failed", zap.String("server", l.Server.ID), zap.Int("status", status), zap.Error(err))
	}
	h.do(func(p *placement.Scheduler) {
		if outcome == placement.MessageDone {
			h.observeProcess(p, &l.Server, started)
		}
		p.OnCapacity(l.Number, outcome, free)
	})
}

// messageStatus returns how a message ended, from its HTTP status or error.
func messageStatus(status int, err error) placement.MessageStatus {
	u, ok := errors.AsType[*exchange.UnsentError](err)
	switch {
	case ok && u.Refused, status == http.StatusMisdirectedRequest:
		return placement.MessageRefused
	case err != nil, status != http.StatusOK:
		return placement.MessageFailed
	}
	return placement.MessageDone
}
