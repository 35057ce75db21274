package limit

import (
	"slices"
	"time"
)

// observe updates what the home knows of a server from the end of a call. The permit
// is no longer counted.
func (h *Limiter) observe(p *permit, r Release) Evidence {
	s := p.server
	var e Evidence
	switch r.Result {
	case Good, Cold:
		cold := r.Result == Cold || coldByTime(r.Service, h.median(), h.pool.ColdFactor)
		h.answered(p, r.Service, cold, r.Result == Cold)
		if p.granted.Exclusive {
			e.Cleared = p.print
		}
	case Failed, Silent:
		s.health.record(answer{at: h.now, failed: true})
		s.ramp.failed(h.now)
		h.judge(s)
	case Refused:
		s.sawCold(h.now)
		s.ramp.probing = true
		s.health.fail(h.now)
	case Crashed:
		e = h.crashed(p)
	case Unsent, Abandoned:
	}
	if r.Result != Good && r.Result != Cold && r.Result != Unsent && r.Result != Refused {
		// The server may still run a call that its node gave up.
		s.unsureUntil = max(s.unsureUntil, p.holdUntil)
	}
	return e
}

func (h *Limiter) answered(p *permit, d time.Duration, cold, said bool) {
	s := p.server
	s.health.reached()
	if !said {
		h.samples.add(h.now, d, cold)
	}
	if cold {
		s.ramp.probing = false
		s.sawCold(h.now)
		if !said && h.now-s.ramp.startAt > coldLongest {
			s.health.record(answer{at: h.now, service: d})
			h.judge(s)
		}
		return
	}
	s.health.record(answer{at: h.now, service: d})
	s.ramp.goodAnswer(h.now, p.since)
	if s.ramp.done {
		s.seenWarm = h.now
	}
	h.judge(s)
}

// crashed makes the server cold and names every call that was in flight there. All
// nodes report the same crash, each for its call; only the first report is evidence,
// or calls granted after it would be suspected for it.
func (h *Limiter) crashed(p *permit) Evidence {
	s := p.server
	s.sawCold(h.now)
	if p.crashed {
		return Evidence{}
	}
	s.ramp.probing = true
	s.health.fail(h.now)
	e := Evidence{Exclusive: p.granted.Exclusive && !p.adopted && s.unsureUntil <= p.since}
	e.add(p.print)
	for _, o := range h.permits {
		if o.server != s {
			continue
		}
		o.crashed = true
		e.Exclusive = false
		e.add(o.print)
	}
	e.Exclusive = e.Exclusive && len(e.Crashed) == 1
	slices.Sort(e.Crashed)
	return e
}

// markFor is longer than the table of suspects takes to reach the asking nodes.
const markFor = time.Minute

// mark notes evidence for later asks and for those that wait: a caller may have sent
// a request that crashes servers several times.
func (h *Limiter) mark(e Evidence) {
	delete(h.marks, e.Cleared)
	if len(e.Crashed) == 0 {
		return
	}
	for _, f := range e.Crashed {
		h.marks[f] = mark{condemned: e.Exclusive || h.marks[f].condemned, until: h.now + markFor}
	}
}

func (e *Evidence) add(print uint64) {
	if print != 0 {
		e.Crashed = append(e.Crashed, print)
	}
}

// median returns the group's typical service time, 0 if nothing is known.
func (h *Limiter) median() time.Duration { return h.samples.median(h.pool.Expect) }

// expectedWait returns how long c would wait for a slot. It is 0 when a slot is free
// or nothing is known.
func (h *Limiter) expectedWait(c *call) time.Duration {
	if !h.open() || h.anyFree() && h.queue.n == 0 {
		return 0
	}
	w := h.weight(&c.request)
	return h.waitOf(h.queue.ahead(&c.request, w, c.deadline))
}

// waitOf returns how long a call with n others before it waits when all slots are
// in use.
func (h *Limiter) waitOf(n int) time.Duration {
	k := 0
	for _, s := range h.servers {
		if h.usable(s) {
			k += s.ramp.bound()
		}
	}
	if k == 0 {
		return 0
	}
	return h.median() * time.Duration(n+1) / time.Duration(k)
}
