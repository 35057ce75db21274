package edge

// This file defines the home of a node: core/place under a lock, with the calls that it
// wants done.

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotspring/core/place"
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

// home places requests for the nodes that take this one for the home of the region.
// Its lock is a leaf; no lock is held during I/O or while an answer is delivered.
type home struct {
	pool  *exchange.Pool
	log   *zap.Logger
	keep  func(id string) bool // whether the ordinary lines of a request are logged
	meter *meter
	work  sync.WaitGroup

	mu      sync.Mutex
	place   place.Home
	waiting map[asked]func(place.Answer)
	left    bool // another node is home now
}

// asked is one ask for a request.
type asked struct {
	id  string
	try int
}

// do runs f under the lock and then does what the home wants done.
func (h *home) do(f func(*place.Home)) {
	h.mu.Lock()
	f(&h.place)
	w := h.place.Take()
	var deliver []func()
	for _, a := range w.Answers {
		k := asked{a.ID, a.Try}
		if d := h.waiting[k]; d != nil {
			delete(h.waiting, k)
			deliver = append(deliver, func() { d(a) })
		}
	}
	h.mu.Unlock()
	for i := range w.Answers {
		h.decided(&w.Answers[i])
	}
	for _, d := range deliver {
		d()
	}
	for i := range w.Calls {
		h.work.Go(func() { h.call(&w.Calls[i]) })
	}
	for i := range w.Frees {
		h.work.Go(func() { h.free(&w.Frees[i]) })
	}
	for i := range w.Looks {
		h.work.Go(func() { h.look(&w.Looks[i]) })
	}
}

// decided logs and counts an answer of the home.
func (h *home) decided(a *place.Answer) {
	h.meter.placed(a)
	if a.Reason == place.ReasonMoved {
		h.log.Info("place_moved", zap.String("request", a.ID), zap.Duration("waited", a.Waited), zap.Int("made", a.Results()))
		return
	}
	if !a.Granted() {
		h.log.Info("place_refused", zap.String("request", a.ID), zap.String("reason", a.Reason),
			zap.Duration("waited", a.Waited), zap.Duration("retry_after", a.RetryAfter))
		return
	}
	if h.keep(a.ID) {
		h.log.Info("placed", zap.String("request", a.ID), zap.String("server", a.Server.ID), zap.String("domain", a.Server.Domain),
			zap.Duration("waited", a.Waited), zap.Int("inputs", len(a.Inputs)), zap.Int("running", a.Running), zap.String("fetch", a.Fetch),
			zap.Int("candidates", a.Candidates), zap.Float64("load", a.Load), zap.Float64("mean_load", a.Mean))
	}
}

// ask decides on an ask; answer is called once, from any goroutine, unless the ask is
// withdrawn.
func (h *home) ask(a place.Ask, answer func(place.Answer)) {
	h.do(func(p *place.Home) {
		if h.waiting == nil {
			h.waiting = map[asked]func(place.Answer){}
		}
		h.waiting[asked{a.ID, a.Try}] = answer
		p.Ask(a)
	})
}

// serve decides on an ask of another node, unless this one has left.
func (h *home) serve(a place.Ask, answer func(place.Answer)) {
	h.mu.Lock()
	left := h.left
	h.mu.Unlock()
	if left {
		answer(place.Answer{ID: a.ID, Try: a.Try, Reason: place.ReasonMoved})
		return
	}
	h.ask(a, answer)
}

// leave passes what waits for a place to the next home. What was granted stays with this
// one until it has ended.
func (h *home) leave() {
	h.mu.Lock()
	h.left = true
	h.mu.Unlock()
	h.do((*place.Home).Leave)
}

// note takes a report on a granted request, or a withdrawal if the server is empty.
func (h *home) note(r place.Report) {
	h.do(func(p *place.Home) {
		if r.Server == "" {
			delete(h.waiting, asked{r.ID, r.Try})
			p.Withdraw(r.ID, r.Try)
			return
		}
		p.Ran(r)
	})
}

// run ticks until the context ends.
func (h *home) run(ctx context.Context) {
	wait.Every(ctx, homeTick, func() { h.do((*place.Home).Tick) })
}

// call carries one call to a server of a stage.
func (h *home) call(c *place.Call) {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	start := time.Now()
	end, l, err := h.exchange(ctx, c)
	var ends [place.PieceError + 1]int
	for _, r := range l {
		ends[r.End]++
	}
	took := time.Since(start)
	h.meter.call(c.Server.Service, end == place.CallDone, len(c.Pieces), took)
	h.log.Info("stage_call", zap.String("server", c.Server.ID), zap.String("service", c.Server.Service),
		zap.Int("pieces", len(c.Pieces)), zap.Int("made", ends[place.PieceMade]), zap.Int("gone", ends[place.PieceGone]),
		zap.Int("no_room", ends[place.PieceRoom]), zap.Int("waiting", c.Waiting),
		zap.Duration("took", took), zap.Uint8("end", uint8(end)), zap.Error(err))
	h.do(func(p *place.Home) { p.Called(c.Number, end, l) })
}

func (h *home) exchange(ctx context.Context, c *place.Call) (place.CallEnd, []place.PieceResult, error) {
	q, err := platform.StageCall(c)
	if err != nil {
		return place.CallBroken, nil, err
	}
	status, b, err := h.send(ctx, q)
	var u *exchange.UnsentError
	switch {
	case errors.As(err, &u) && u.Refused:
		return place.CallRefused, nil, err
	case err != nil:
		return place.CallBroken, nil, err
	case status == http.StatusMisdirectedRequest:
		return place.CallMoved, nil, nil
	case status != http.StatusOK:
		return place.CallRejected, nil, nil
	}
	l, err := platform.StageResults(b, len(c.Pieces))
	if err != nil {
		return place.CallBroken, nil, err
	}
	return place.CallDone, l, nil
}

func (h *home) send(ctx context.Context, q *exchange.Request) (int, []byte, error) {
	r, err := h.pool.Do(ctx, q)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = r.Body.Close() }() // read to its end, or given up
	b, err := io.ReadAll(io.LimitReader(r.Body, maxStageAnswer))
	return r.Status, b, err
}

// free tells a server which results are not needed any more.
func (h *home) free(f *place.Free) {
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	q, err := platform.StageFree(f)
	status := 0
	if err == nil {
		status, _, err = h.send(ctx, q)
	}
	end := messageEnd(status, err)
	if end != place.MessageDone {
		h.log.Warn("free_failed", zap.String("server", f.Server.ID), zap.Int("handles", len(f.Handles)), zap.Int("status", status), zap.Error(err))
	}
	h.do(func(p *place.Home) { p.Freed(f.Number, end) })
}

// look asks a server how much room it has.
func (h *home) look(l *place.Look) {
	ctx, cancel := context.WithTimeout(context.Background(), lookTimeout)
	defer cancel()
	free := int64(0)
	status, b, err := h.send(ctx, platform.StageLook(l))
	if err == nil && status == http.StatusOK {
		free, err = platform.StageRoom(b)
	}
	end := messageEnd(status, err)
	if end != place.MessageDone {
		h.log.Warn("look_failed", zap.String("server", l.Server.ID), zap.Int("status", status), zap.Error(err))
	}
	h.do(func(p *place.Home) { p.Looked(l.Number, end, free) })
}

// messageEnd says how a message with an answer, or an error, ended.
func messageEnd(status int, err error) place.MessageEnd {
	u, ok := errors.AsType[*exchange.UnsentError](err)
	switch {
	case ok && u.Refused, status == http.StatusMisdirectedRequest:
		return place.MessageRefused
	case err != nil, status != http.StatusOK:
		return place.MessageFailed
	}
	return place.MessageDone
}
