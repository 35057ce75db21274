package suspect

// This file decides which prompt prefixes may run: requests of one organisation whose prompts
// begin alike share one.

import (
	"time"

	"bergamotspring/core/member"
)

const (
	// prefixTTL is the time after the last crash for which a poison prefix is refused. After it,
	// requests with the prefix run exclusively, as those of a suspect: they may be sound.
	prefixTTL = 5 * time.Minute
	// soundTTL is the time after its clearance for which crashes say nothing about a prefix: a
	// request that crashes servers does so for something else than how it begins.
	soundTTL = 5 * time.Minute
)

// CheckPrefix returns the state of a prefix: whether requests with it may run, must run
// exclusively, or must not run.
func (t *Set) CheckPrefix(prefix uint64) member.SuspectState {
	n := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.checkPrefix(prefix, n)
}

func (t *Set) checkPrefix(prefix uint64, now int64) member.SuspectState {
	e := t.entries[key{prefix, true}]
	if e == nil {
		return member.Cleared
	}
	s, _ := e.prefixState(now)
	return s
}

// ObservePrefixCrash records that a request with the prefix crashed a server on which it ran
// exclusively. Unless the prefix was cleared within soundTTL, it is then a suspect. If it was one
// when the request was granted, it is poison: two requests have shown it.
func (t *Set) ObservePrefixCrash(prefix uint64, wasSuspect bool) {
	n := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	k, s := key{prefix, true}, member.Suspected
	if e := t.entries[k]; e != nil && e.stamps[member.Cleared] > n-soundTTL.Milliseconds() {
		return
	}
	if wasSuspect {
		s = member.Poison
	}
	t.set(k, s, n, n)
}

// ObservePrefixSuccess clears a prefix: a request with it, exclusive or not, succeeded.
func (t *Set) ObservePrefixSuccess(prefix uint64) {
	n := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	k := key{prefix, true}
	if e := t.entries[k]; e != nil {
		t.set(k, member.Cleared, max(n, e.newest()+1), n)
	}
}

// prefixState is state for the entry of a prefix. A success clears poison too.
func (e *entry) prefixState(now int64) (member.SuspectState, int64) {
	c, p := e.stamps[member.Cleared], e.stamps[member.Poison]
	if p >= c && p > now-prefixTTL.Milliseconds() && p != 0 {
		return member.Poison, p
	}
	s := max(p, e.stamps[member.Suspected])
	if s >= c && s > now-entryTTL.Milliseconds() && s != 0 {
		return member.Suspected, s
	}
	return member.Cleared, c
}
