package limit

import (
	"slices"
	"time"

	"bergamotspring/core/member"
)

// observe updates the state of a server from the result of a call, whose permit is no
// longer counted.
func (h *Limiter) observe(p *permit, r Release) Evidence {
	s := p.server
	var e Evidence
	switch r.Result {
	case Good, Cold:
		cold := r.Result == Cold || coldByTime(r.Service, h.median(), h.pool.ColdFactor)
		h.onResponse(p, r.Service, cold, r.Result == Cold)
		if p.granted.Exclusive {
			e.Cleared = p.fingerprint
		}
		if h.Prefixes.state(p.prefix) != member.Cleared {
			e.Served = p.prefix
		}
	case Failed, Silent:
		s.health.record(response{at: h.now, failed: true})
		s.ramp.onFailure(h.now)
		h.ejectIfOutlier(s)
	case Refused:
		s.markCold(h.now)
		s.ramp.probing = true
		s.health.onUnreachable(h.now)
	case Crashed:
		e = h.onCrash(p)
	case NotSent, Abandoned:
	}
	if r.Result != Good && r.Result != Cold && r.Result != NotSent && r.Result != Refused {
		// A call that was sent and got no good response may still run at the server.
		s.mayRunUntil = max(s.mayRunUntil, p.holdUntil)
	}
	return e
}

func (h *Limiter) onResponse(p *permit, d time.Duration, cold, reportedCold bool) {
	s := p.server
	s.health.onReachable()
	if !reportedCold {
		h.samples.add(h.now, d, cold)
	}
	if cold {
		s.ramp.probing = false
		s.markCold(h.now)
		if !reportedCold && h.now-s.ramp.startAt > maxColdStart {
			s.health.record(response{at: h.now, service: d})
			h.ejectIfOutlier(s)
		}
		return
	}
	s.health.record(response{at: h.now, service: d})
	s.ramp.onGoodResponse(h.now, p.grantedAt)
	if s.ramp.done {
		s.warmAt = h.now
	}
	h.ejectIfOutlier(s)
}

// onCrash marks the server cold and returns every call that was in flight there as
// evidence. Each node reports the same crash for its own call; only the first report is
// evidence, otherwise calls granted after the crash would become suspects.
func (h *Limiter) onCrash(p *permit) Evidence {
	s := p.server
	s.markCold(h.now)
	if p.crashed {
		return Evidence{}
	}
	s.ramp.probing = true
	s.health.onUnreachable(h.now)
	e := Evidence{Exclusive: p.granted.Exclusive && !p.adopted && s.mayRunUntil <= p.grantedAt}
	e.add(p.fingerprint)
	for _, o := range h.permits {
		if o.server != s {
			continue
		}
		o.crashed = true
		e.Exclusive = false
		e.add(o.fingerprint)
	}
	e.Exclusive = e.Exclusive && len(e.Crashed) == 1
	if e.Exclusive {
		e.Prefix, e.PrefixSuspect = p.prefix, p.prefixSuspect
	}
	slices.Sort(e.Crashed)
	return e
}

// suspectTTL is how long a limiter keeps its own evidence. It is longer than gossip takes to
// bring the evidence to the requesting nodes.
const suspectTTL = time.Minute

// recordEvidence applies evidence to later and waiting requests: a caller may have sent
// the same crashing request several times.
func (h *Limiter) recordEvidence(e Evidence) {
	delete(h.suspects, e.Cleared)
	h.Prefixes.record(e)
	if len(e.Crashed) == 0 {
		return
	}
	for _, f := range e.Crashed {
		h.suspects[f] = suspectEntry{poison: e.Exclusive || h.suspects[f].poison, until: h.now + suspectTTL}
	}
}

func (e *Evidence) add(fingerprint uint64) {
	if fingerprint != 0 {
		e.Crashed = append(e.Crashed, fingerprint)
	}
}

// median returns the group's median service time; before there are eight samples, the
// declared expected time if there is one. It is 0 if neither is known.
func (h *Limiter) median() time.Duration { return h.samples.median(h.pool.Expect) }

// expectedWait returns how long c would wait for a slot. It is 0 before grants
// start, when a slot is free and nothing is queued, and when no service time is known or no
// server is usable.
func (h *Limiter) expectedWait(c *call) time.Duration {
	if !h.ready() || h.anyFreeSlot() && h.queue.n == 0 {
		return 0
	}
	w := h.weight(&c.request)
	return h.waitBehind(h.queue.ahead(&c.request, w, c.deadline))
}

// waitBehind estimates how long a call with n others ahead of it waits when all slots
// are in use.
func (h *Limiter) waitBehind(n int) time.Duration {
	k := 0
	for _, s := range h.servers {
		if h.usable(s) {
			k += s.ramp.currentLimit()
		}
	}
	if k == 0 {
		return 0
	}
	return h.median() * time.Duration(n+1) / time.Duration(k)
}
