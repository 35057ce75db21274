package placement

// This file defines the memory of model servers: how many tokens the requests that were granted there hold, and
// what happens to a request that none has the memory for. A server that gets more than it can hold crashes with
// all that it runs, so the bound is kept by what requests may need and not by what they use.

import (
	"slices"
	"time"

	"bergamotspring/core/load"
)

const (
	// kvFraction is the share of a model server's memory that is used: servers round up the tokens of
	// each request.
	kvFraction = 0.95
	// unknownTokens is assumed at least for a request whose tokens are not known.
	unknownTokens = 4000
	// overtakenTime is how long a request may be overtaken by later ones that need less memory.
	overtakenTime = 250 * time.Millisecond
	// releaseWindow is the time constant of the average of the tokens that ended requests release.
	releaseWindow = 2 * time.Second
)

// kvHolding holds the tokens of the requests granted at a model server. Segments that several of them share
// count once. The zero value is empty.
type kvHolding struct {
	tokens   int
	segments map[uint64]heldSegment // by hash
}

type heldSegment struct {
	tokens, requests int
}

// need returns the tokens that one more request takes.
func (k *kvHolding) need(a *Request, tokens int) int {
	for _, s := range a.Segments {
		if x, ok := k.segments[s.Hash]; ok {
			tokens -= x.tokens
		}
	}
	return max(0, tokens)
}

func (k *kvHolding) add(a *Request, tokens int) {
	if k.segments == nil {
		k.segments = map[uint64]heldSegment{}
	}
	k.tokens += privateTokens(a, tokens)
	for _, s := range a.Segments {
		x := k.segments[s.Hash]
		if x.requests == 0 {
			x.tokens = s.Tokens
			k.tokens += s.Tokens
		}
		x.requests++
		k.segments[s.Hash] = x
	}
}

func (k *kvHolding) remove(a *Request, tokens int) {
	k.tokens -= privateTokens(a, tokens)
	for _, s := range a.Segments {
		x := k.segments[s.Hash]
		if x.requests--; x.requests > 0 {
			k.segments[s.Hash] = x
			continue
		}
		k.tokens -= x.tokens
		delete(k.segments, s.Hash)
	}
}

// privateTokens returns the tokens of a request outside of shared segments.
func privateTokens(a *Request, tokens int) int {
	for _, s := range a.Segments {
		tokens -= s.Tokens
	}
	return max(0, tokens)
}

// tokens returns the tokens that a job may need.
func (h *Scheduler) tokens(j *job) int {
	if n := j.request.Tokens; n > 0 {
		return n
	}
	return max(unknownTokens, int(2*h.model(j.request.Service).tokens))
}

// memory returns the tokens that a model server of a service may hold, 0: any number.
func (h *Scheduler) memory(service string) int {
	v := h.View()
	if v.Config == nil || v.Config.Services[service] == nil {
		return 0
	}
	return int(kvFraction * float64(v.Config.Services[service].ModelTokens))
}

// fits reports whether a server has the memory for a job. Requests that it reports beyond those of this
// coordinator, as those that the one before granted, are taken to hold as much as others.
func (h *Scheduler) fits(j *job, e *modelServer, x load.Expectation, memory int) bool {
	if memory == 0 {
		return true
	}
	others := max(0, x.Requests-float64(e.load.InFlight()))
	n := e.held.need(&j.request, h.tokens(j)) + e.held.tokens + int(others*h.model(j.request.Service).tokens)
	return n <= memory || e.load.InFlight() == 0 && others < 1 && h.tokens(j) <= memory
}

// recountMemory counts the tokens of the jobs that are not granted yet.
func (h *Scheduler) recountMemory() {
	for _, m := range h.models {
		m.ungranted = 0
	}
	for _, j := range h.jobs {
		if j.granted == nil {
			h.model(j.request.Service).ungranted += h.tokens(j)
		}
	}
}

// memoryTime returns the expected time until a model server has the memory for a new job, behind the jobs that were
// admitted before it, and whether one can ever have it.
func (h *Scheduler) memoryTime(j *job) (time.Duration, bool) {
	memory := h.memory(j.request.Service)
	if memory == 0 {
		return 0, true
	}
	n := h.tokens(j)
	if n > memory {
		return 0, false
	}
	m, free := h.model(j.request.Service), 0
	for _, e := range h.candidates(j) {
		free += max(0, memory-e.held.tokens)
	}
	ahead := float64(m.ungranted + n - free)
	rate := m.released.rate(h.Now(), releaseWindow)
	if ahead <= 0 || rate <= 0 {
		return 0, true
	}
	return time.Duration(min(ahead/rate, maxMemoryTime.Seconds()) * float64(time.Second)), true
}

// maxMemoryTime bounds the estimate of the time until memory is free.
const maxMemoryTime = time.Hour

// lacksMemory refuses a new job that would get its memory too late or never, and reports whether it did.
func (h *Scheduler) lacksMemory(j *job) bool {
	w, ok := h.memoryTime(j)
	if ok && float64(w+j.grantToFirstEvent()) <= admitFraction*float64(j.request.Remaining) {
		return false
	}
	latest := h.latestReturn(j, h.Now())
	if !ok {
		w = latest
	}
	h.refuse(j, ReasonNoMemory, max(h.retryAfter(j), min(w, latest)))
	return true
}

// grantWaiting grants the jobs that wait for memory, the most urgent first. One that has waited for long is
// not overtaken.
func (h *Scheduler) grantWaiting() {
	if len(h.waiting) == 0 {
		return
	}
	l := h.waiting
	h.waiting = nil
	l = slices.DeleteFunc(l, func(j *job) bool {
		gone := h.jobs[j.request.Key] != j || j.granted != nil || j.handingOver || !j.complete()
		if gone {
			j.memorySince = time.Time{}
		}
		return gone
	})
	slices.SortStableFunc(l, func(a, b *job) int {
		if c := a.rank.compare(b.rank); c != 0 {
			return c
		}
		return a.deadline.Compare(b.deadline)
	})
	now, blocked := h.Now(), map[string]bool{}
	for _, j := range l {
		if blocked[j.request.Service] {
			h.waiting = append(h.waiting, j)
			continue
		}
		n := len(h.waiting)
		h.place(j)
		if len(h.waiting) > n && now.Sub(j.memorySince) >= overtakenTime {
			blocked[j.request.Service] = true
		}
	}
}
