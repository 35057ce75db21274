package limit

import "bergamotspring/core/member"

// This file judges calls by their fingerprint and by the prefix of their prompt, which other
// requests share.

// Prefixes is how a limiter reaches the evidence of all groups on prefixes. Methods of *suspect.Set
// implement it. They are called under the limiter's lock and must not call the limiter. The zero
// value has no evidence and takes none.
type Prefixes struct {
	// State returns how far the evidence goes: Cleared, Suspected or Poison.
	State func(prefix uint64) member.SuspectState
	// OnCrash takes a crash by an exclusive call; wasSuspect: the prefix was a suspect when the
	// call was granted.
	OnCrash func(prefix uint64, wasSuspect bool)
	// OnSuccess takes a complete response to a call with a prefix that is not Cleared.
	OnSuccess func(prefix uint64)
}

func (p *Prefixes) state(prefix uint64) member.SuspectState {
	if prefix == 0 || p.State == nil {
		return member.Cleared
	}
	return p.State(prefix)
}

// record passes evidence on before the next decision.
func (p *Prefixes) record(e Evidence) {
	if e.Prefix != 0 && p.OnCrash != nil {
		p.OnCrash(e.Prefix, e.PrefixSuspect)
	}
	if e.Served != 0 && p.OnSuccess != nil {
		p.OnSuccess(e.Served)
	}
}

// judge updates whether a waiting or new call must not run, or must run exclusively. A call
// stays a suspect once it is one, but not for its prefix: successes of other requests clear that.
func (h *Limiter) judge(c *call) {
	m, ok := h.suspects[c.request.Fingerprint]
	c.request.Suspect = c.request.Suspect || ok
	s := h.Prefixes.state(c.request.Prefix)
	c.poison = m.poison || s == member.Poison
	c.prefixSuspect = s == member.Suspected
	if !c.exclusive() {
		c.unreserve() // it can share any server now, this one too
	}
}
