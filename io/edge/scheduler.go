package edge

// This file defines the home of a node: core/placement under a lock, with the calls that it
// wants done.

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotspring/core/placement"
	"bergamotspring/io/exchange"
	"bergamotspring/io/wait"
	"bergamotspring/platform"
)

const (
	// homeTick is how often the home looks for requests that cannot be in time.
	homeTick = 25 * time.Millisecond
	// freeTimeout bounds the message that frees results.
	freeTimeout = time.Second
	// lookTimeout bounds the question for room, during which a server gets no call.
	lookTimeout = 300 * time.Millisecond
	// maxStageAnswer bounds the answer of a stage's server in bytes.
	maxStageAnswer = 1 << 20
)

// scheduler places requests for the nodes that take this one for the scheduler of the region.
// Its lock is a leaf; no lock is held during I/O or while an answer is delivered.
type scheduler struct {
	pool  *exchange.Pool
	log   *zap.Logger
	keep  func(id string) bool // whether the ordinary lines of a request are logged
	meter *meter
	work  sync.WaitGroup

	mu         sync.Mutex
	place      placement.Scheduler
	waiting    map[asked]func(placement.Decision)
	handedOver bool // another node is home now
}

// asked is one ask for a request.
type asked struct {
	id      string
	attempt int
}

// do runs f under the lock and then does what the home wants done.
func (h *scheduler) do(f func(*placement.Scheduler)) {
	h.mu.Lock()
	f(&h.place)
	w := h.place.Take()
	var deliver []func()
	for _, a := range w.Decisions {
		k := asked{a.ID, a.Attempt}
		if d := h.waiting[k]; d != nil {
			delete(h.waiting, k)
			deliver = append(deliver, func() { d(a) })
		}
	}
	h.mu.Unlock()
	for i := range w.Decisions {
		h.decided(&w.Decisions[i])
	}
	for _, d := range deliver {
		d()
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
}

// decided logs and counts an answer of the home.
func (h *scheduler) decided(a *placement.Decision) {
	h.meter.placed(a)
	if a.Reason == placement.ReasonMoved {
		h.log.Info("place_moved", zap.String("request", a.ID), zap.Duration("waited", a.Waited), zap.Int("made", a.ResultCount()))
		return
	}
	if !a.Granted() {
		h.log.Info("place_refused", zap.String("request", a.ID), zap.String("reason", a.Reason),
			zap.Duration("waited", a.Waited), zap.Duration("retry_after", a.RetryAfter))
		return
	}
	if h.keep(a.ID) {
		h.log.Info("placed", zap.String("request", a.ID), zap.String("server", a.Server.ID), zap.String("domain", a.Server.Domain),
			zap.Duration("waited", a.Waited), zap.Int("inputs", len(a.Inputs)), zap.Int("running", a.Running), zap.String("fetch", a.KVSource),
			zap.Int("candidates", a.Candidates), zap.Float64("load", a.Load), zap.Float64("mean_load", a.Mean))
	}
}

// submit decides on an submit; answer is called once, from any goroutine, unless the submit is
// withdrawn.
func (h *scheduler) submit(a placement.Request, answer func(placement.Decision)) {
	h.do(func(p *placement.Scheduler) {
		if h.waiting == nil {
			h.waiting = map[asked]func(placement.Decision){}
		}
		h.waiting[asked{a.ID, a.Attempt}] = answer
		p.Submit(a)
	})
}

// serve decides on an ask of another node, unless this one has left.
func (h *scheduler) serve(a placement.Request, answer func(placement.Decision)) {
	h.mu.Lock()
	left := h.handedOver
	h.mu.Unlock()
	if left {
		answer(placement.Decision{ID: a.ID, Attempt: a.Attempt, Reason: placement.ReasonMoved})
		return
	}
	h.submit(a, answer)
}

// handOver passes what waits for a place to the next home. What was granted stays with this
// one until it has ended.
func (h *scheduler) handOver() {
	h.mu.Lock()
	h.handedOver = true
	h.mu.Unlock()
	h.do((*placement.Scheduler).HandOver)
}

// report takes a report on a granted request, or a withdrawal if the server is empty.
func (h *scheduler) report(r placement.Report) {
	h.do(func(p *placement.Scheduler) {
		if r.Server == "" {
			delete(h.waiting, asked{r.ID, r.Attempt})
			p.Withdraw(r.ID, r.Attempt)
			return
		}
		p.OnReport(r)
	})
}

// run ticks until the context ends.
func (h *scheduler) run(ctx context.Context) {
	wait.Every(ctx, homeTick, func() { h.do((*placement.Scheduler).Tick) })
}

// sendBatch carries one sendBatch to a server of a stage.
func (h *scheduler) sendBatch(c *placement.Batch) {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	start := time.Now()
	end, l, err := h.exchange(ctx, c)
	var ends [placement.TaskError + 1]int
	for _, r := range l {
		ends[r.Status]++
	}
	took := time.Since(start)
	h.meter.call(c.Server.Service, end == placement.BatchDone, len(c.Tasks), took)
	h.log.Info("stage_call", zap.String("server", c.Server.ID), zap.String("service", c.Server.Service),
		zap.Int("pieces", len(c.Tasks)), zap.Int("made", ends[placement.TaskDone]), zap.Int("gone", ends[placement.TaskInputLost]),
		zap.Int("no_room", ends[placement.TaskNoCapacity]), zap.Int("waiting", c.Queued),
		zap.Duration("took", took), zap.Uint8("end", uint8(end)), zap.Error(err))
	h.do(func(p *placement.Scheduler) { p.OnBatch(c.Number, end, l) })
}

func (h *scheduler) exchange(ctx context.Context, c *placement.Batch) (placement.BatchStatus, []placement.TaskResult, error) {
	q, err := platform.StageBatch(c)
	if err != nil {
		return placement.BatchBroken, nil, err
	}
	status, b, err := h.send(ctx, q)
	var u *exchange.UnsentError
	switch {
	case errors.As(err, &u) && u.Refused:
		return placement.BatchRefused, nil, err
	case err != nil:
		return placement.BatchBroken, nil, err
	case status == http.StatusMisdirectedRequest:
		return placement.BatchMoved, nil, nil
	case status != http.StatusOK:
		return placement.BatchRejected, nil, nil
	}
	l, err := platform.StageResults(b, len(c.Tasks))
	if err != nil {
		return placement.BatchBroken, nil, err
	}
	return placement.BatchDone, l, nil
}

func (h *scheduler) send(ctx context.Context, q *exchange.Request) (int, []byte, error) {
	r, err := h.pool.Do(ctx, q)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = r.Body.Close() }() // read to its end, or given up
	b, err := io.ReadAll(io.LimitReader(r.Body, maxStageAnswer))
	return r.Status, b, err
}

// release tells a server which results are not needed any more.
func (h *scheduler) release(f *placement.ReleaseResults) {
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	q, err := platform.StageRelease(f)
	status := 0
	if err == nil {
		status, _, err = h.send(ctx, q)
	}
	end := messageEnd(status, err)
	if end != placement.MessageDone {
		h.log.Warn("free_failed", zap.String("server", f.Server.ID), zap.Int("handles", len(f.Handles)), zap.Int("status", status), zap.Error(err))
	}
	h.do(func(p *placement.Scheduler) { p.OnRelease(f.Number, end) })
}

// query asks a server how much room it has.
func (h *scheduler) query(l *placement.CapacityQuery) {
	ctx, cancel := context.WithTimeout(context.Background(), lookTimeout)
	defer cancel()
	free := int64(0)
	status, b, err := h.send(ctx, platform.StageQuery(l))
	if err == nil && status == http.StatusOK {
		free, err = platform.StageCapacity(b)
	}
	end := messageEnd(status, err)
	if end != placement.MessageDone {
		h.log.Warn("look_failed", zap.String("server", l.Server.ID), zap.Int("status", status), zap.Error(err))
	}
	h.do(func(p *placement.Scheduler) { p.OnCapacity(l.Number, end, free) })
}

// messageEnd says how a message with an answer, or an error, ended.
func messageEnd(status int, err error) placement.MessageStatus {
	u, ok := errors.AsType[*exchange.UnsentError](err)
	switch {
	case ok && u.Refused, status == http.StatusMisdirectedRequest:
		return placement.MessageRefused
	case err != nil, status != http.StatusOK:
		return placement.MessageFailed
	}
	return placement.MessageDone
}
