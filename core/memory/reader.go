package memory

// This file defines readers: callers to which a response is being written, some of which are ended when the bound is
// exceeded. A caller that sends a body counts as one too: its progress is what it sends.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// rateWindow is the time over which the progress of a reader is averaged: longer than the pauses of a network
	// that works, shorter than a caller's patience.
	rateWindow = 5 * time.Second
	// minWait is how long a reader has kept its response waiting, in the present write or the one before, before it
	// may be ended.
	minWait = time.Second
	// scanInterval is how long no reader is looked for after too few were found.
	scanInterval = 50 * time.Millisecond
)

// reader is the progress of a caller. The zero value has not begun.
type reader struct {
	end      func()
	unread   func() int
	deadline time.Time
	since    time.Time // begin of the present write; zero: none
	at       time.Time // of rate
	rate     float64   // bytes read, decaying over rateWindow
	waited   time.Duration
}

// Read makes the holder that of a reader whose response is due at a deadline. End ends it; it must not call the
// account.
func (h *Holder) Read(deadline time.Time, end func()) {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.readers == nil {
		a.readers = map[*Holder]struct{}{}
	}
	a.readers[h] = struct{}{}
	h.reader = reader{end: end, deadline: deadline, at: a.now()}
}

// Done says that nothing more is written to the reader.
func (h *Holder) Done() {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	delete(h.account.readers, h)
	h.reader.since = time.Time{}
}

// End calls the function that ends the reader.
func (h *Holder) End() { h.reader.end() }

// Begin says that a write to the reader begins.
func (h *Holder) Begin() {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.reader.since = h.account.now()
}

// Delivered says that a write to the reader of n bytes has ended, and returns how long it took.
func (h *Holder) Delivered(n int) time.Duration {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	r, now := &h.reader, h.account.now()
	r.rate, r.at = r.progress(now)+float64(n), now
	r.waited = now.Sub(r.since)
	r.since = time.Time{}
	h.add(-h.unread) // it is being read
	h.unread = 0
	return r.waited
}

// progress returns the recent progress.
func (r *reader) progress(now time.Time) float64 {
	return r.rate * math.Exp(-float64(now.Sub(r.at))/float64(rateWindow))
}

// mayEnd reports whether the reader is slow enough to be ended.
func (r *reader) mayEnd(now time.Time) bool {
	return !r.since.IsZero() && max(now.Sub(r.since), r.waited) >= minWait
}

// SetSource sets the function that measures how much of the reader's response was received and not read; nil: none.
func (h *Holder) SetSource(unread func() int) {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.reader.unread = unread
	h.add(-h.unread)
	h.unread = 0
}

// Waiting returns the functions that measure what was received for readers that have kept their responses waiting for
// d or longer. SetUnread gets what they return.
func (a *Account) Waiting(d time.Duration) map[*Holder]func() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := map[*Holder]func() int{}
	now := a.now()
	for h := range a.readers {
		if r := &h.reader; !r.since.IsZero() && now.Sub(r.since) >= d && r.unread != nil {
			m[h] = r.unread
		}
	}
	return m
}

// Sweep returns the readers to be ended so that the total stays within the bound, and, above the first threshold, those
// that keep responses waiting that were due. It must be called periodically.
func (a *Account) Sweep() []*Holder {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.level() == Normal {
		return nil
	}
	var l []*Holder
	now := a.now()
	for h := range a.readers {
		if h.reader.mayEnd(now) && now.After(h.reader.deadline) {
			a.markEnding(h)
			l = append(l, h)
		}
	}
	return append(l, a.overBound()...)
}

// overBound returns the readers to be ended so that the total stays within the bound. The lock is held.
func (a *Account) overBound() []*Holder {
	if a.Bound <= 0 || a.total-a.ending <= a.Bound {
		return nil
	}
	now := a.now()
	if !a.noReader.IsZero() && now.Sub(a.noReader) < scanInterval {
		return nil
	}
	var l []*Holder
	for _, h := range a.slowest(now) {
		if a.total-a.ending <= int64(endShare*float64(a.Bound)) {
			break
		}
		a.markEnding(h)
		l = append(l, h)
	}
	if a.total-a.ending > a.Bound {
		a.noReader = now
	}
	return l
}

// markEnding records that a reader is being ended. The lock is held.
func (a *Account) markEnding(h *Holder) {
	delete(a.readers, h)
	h.ending = true
	a.ending += h.held
	a.ended++
}

// slowest returns the readers that may be ended, first those that made the least progress for what they hold, and of
// those without any, those that hold most. The lock is held.
func (a *Account) slowest(now time.Time) []*Holder {
	type candidate struct {
		holder *Holder
		pace   float64
	}
	l := make([]candidate, 0, len(a.readers))
	for h := range a.readers {
		if h.held > 0 && h.reader.mayEnd(now) {
			// One byte of progress makes those without any comparable by what they hold.
			l = append(l, candidate{h, (h.reader.progress(now) + 1) / float64(h.held)})
		}
	}
	slices.SortFunc(l, func(x, y candidate) int { return cmp.Compare(x.pace, y.pace) })
	holders := make([]*Holder, len(l))
	for i, x := range l {
		holders[i] = x.holder
	}
	return holders
}

// EndAll ends readers. It must be called without a lock of the caller, as their ends may take some.
func EndAll(l []*Holder) {
	for _, h := range l {
		h.End()
	}
}
