package rollout

// This file defines how a decider's state and the row in the store follow each other.

import (
	"errors"
	"fmt"
	"time"
)

const (
	// confirmEvery is how often the decider writes its row at least, to notice another decider and its verdict.
	confirmEvery = time.Second
	// confirmLife is for how long a written row lets the decider give allowances, at most half of the bound of
	// the deployment for a stop. It is longer than a slow store takes for a write.
	confirmLife = 2500 * time.Millisecond
)

// retryAfter is how long a decider waits after a write that the store did not take.
const retryAfter = 200 * time.Millisecond

// row is the row of a rollout: as the store has it, and the write in progress.
type row struct {
	stored      *Record   // nil if the store has none, or it is not known
	confirmed   time.Time // when the write of stored was begun
	pending     *Record
	pendingFrom time.Time
	needed      bool // the outcome of pending is unknown, or another decider wrote
	dirty       bool // the state has changed since the last write
	retry       time.Time
	serial      uint64 // largest one seen or written
}

// valid reports whether no other decider can have stopped the rollout long ago.
func (r *rollout) valid(now time.Time) bool {
	return now.Sub(r.row.confirmed) < min(confirmLife, r.stopWithin()/2)
}

// change returns the write that is due.
func (r *rollout) change(now time.Time) (Change, bool) {
	if !r.rec.State.Final() && now.Sub(r.row.confirmed) >= confirmEvery {
		r.row.dirty = true
	}
	if !r.row.dirty || r.row.pending != nil || r.row.needed || now.Before(r.row.retry) {
		return Change{}, false
	}
	r.row.dirty = false
	r.row.serial++
	r.rec.Order, r.rec.Writer, r.rec.Serial = r.order, r.writer, r.row.serial
	r.rec.Requests = r.requests()
	p := r.rec
	r.row.pending, r.row.pendingFrom = &p, now
	return Change{Service: r.order.Service, Record: p, Logs: r.takeLogs()}, true
}

// written takes the outcome of a write.
func (r *rollout) written(c Change, err error, now time.Time) {
	if r.row.pending == nil || r.row.pending.Serial != c.Record.Serial {
		return
	}
	switch {
	case err == nil:
		r.confirm(now)
	case errors.Is(err, ErrNotWritten):
		r.row.pending, r.row.dirty, r.row.retry = nil, true, now.Add(retryAfter)
	default:
		r.row.needed = true
	}
}

// confirm takes in that the store has the pending row.
func (r *rollout) confirm(now time.Time) {
	p := r.row.pending
	r.row.stored, r.row.confirmed = p, r.row.pendingFrom
	r.row.pending, r.row.needed = nil, false
	r.ledger.ceiling = max(r.ledger.ceiling, p.Ceiling)
	r.startMoving(now)
}

// adopt starts a rollout from the row that another decider, or this node earlier, left.
func (r *rollout) adopt(rec *Record, now time.Time) {
	if rec == nil {
		r.row.dirty = true
		return
	}
	r.row.serial = rec.Serial
	stored := *rec
	r.row.stored = &stored
	if !r.order.continues(rec.Order, rec.State) {
		r.row.dirty = true
		return
	}
	opened := r.rec.Opened
	r.rec = *rec
	if rec.Opened == 0 {
		r.rec.Opened = opened
	}
	r.ledger.reserve(rec.Ceiling)
	r.row.dirty = rec.Order != r.order
	if r.step = rec.Step; r.step > 0 {
		r.stepSince = now
	}
	r.startMoving(now)
}

// merge takes in the row as it was read again.
func (r *rollout) merge(rec *Record, now time.Time) {
	w := &r.row
	switch {
	case w.pending != nil && !w.needed: // read before the write in progress, whose outcome is to come
		return
	case rec == nil:
		w.dirty = w.dirty || w.stored != nil || w.pending != nil
		w.stored = nil
	case w.pending != nil && rec.Writer == r.writer && rec.Serial == w.pending.Serial:
		r.confirm(now)
		return
	case w.stored != nil && rec.Writer == w.stored.Writer && rec.Serial == w.stored.Serial:
		w.dirty = w.dirty || w.pending != nil || rec.Order != r.order
	case rec.Writer == r.writer || rec.Serial < w.serial: // the store was restored from a snapshot
		stored := *rec
		w.stored, w.dirty = &stored, true
		r.ledger.reserve(min(rec.Ceiling, r.ledger.ceiling))
	default:
		r.overtaken(*rec, now)
	}
	w.pending, w.needed = nil, false
}

// overtaken takes in the row of another decider.
func (r *rollout) overtaken(rec Record, now time.Time) {
	r.row.stored = &rec
	r.row.serial = max(r.row.serial, rec.Serial)
	r.ledger.conflict(rec.Ceiling)
	for _, m := range r.ordered {
		m.grant = 0
	}
	if !r.order.continues(rec.Order, rec.State) {
		r.row.dirty = true
		return
	}
	r.log(fmt.Sprintf("row was written by %s: %v", rec.Writer, rec.State))
	r.floor = max(r.floor, rec.Requests)
	r.rec.Opened = min(r.rec.Opened, rec.Opened)
	r.rec.Ceiling = max(r.rec.Ceiling, rec.Ceiling)
	switch {
	case rec.State.Final():
		r.rec.State, r.rec.Reason = rec.State, rec.Reason
	case r.rec.State == RolledBack:
		r.row.dirty = true
	case r.rec.State == Completed: // not written: work may have begun at old servers
		r.rec.State = rec.State
	default:
		r.rec.State, r.rec.Step = max(r.rec.State, rec.State), max(r.rec.Step, rec.Step)
	}
	r.startMoving(now)
}
