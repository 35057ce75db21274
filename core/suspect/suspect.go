// Package suspect decides which requests may run, from the server crashes that they were
// involved in.
//
// With Set, a request that was in flight on a server that crashed is a suspect. It runs
// exclusively on a server until it succeeds, which clears it, or the server crashes, which
// marks it as poison: it no longer runs. Crashes shared with other requests, however many,
// never mark a request as poison. Prompt prefixes that several requests share are judged likewise:
// see ObservePrefixCrash. See docs/decisions/005-crash-suspects.md.
//
// Counter is for servers on which a request cannot run exclusively: there, poisonThreshold
// crashed servers mark a request as poison, shared or not.
package suspect

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"bergamotspring/core/member"
)

const (
	// entryTTL is the time without a resend after which a poison request may run again,
	// and without a crash after which a suspect is cleared. It exceeds an hour by
	// refreshInterval, since a resend may go unrecorded for that long.
	entryTTL = time.Hour + refreshInterval
	// refreshInterval is the minimum time between two updates to the other nodes about
	// resends of a poison request.
	refreshInterval = time.Minute
	// maxSkew bounds the time that a peer's fast clock can add to the TTL of an entry.
	maxSkew = 5 * time.Minute
	// gossipRounds is how many digests carry an update. Each goes to a few random
	// peers, so 320 nodes are reached in about six rounds.
	gossipRounds      = 12
	defaultMaxEntries = 4096
)

// Set holds the suspect and poison requests that a node knows of. The zero value is ready
// to use, with a clock that stands still. It is safe for concurrent use; no other lock is
// taken while its lock is held.
//
// Invariant: an entry holds the newest stamp seen of each state, so that merging updates
// in any order, and any number of times, gives the same entry.
type Set struct {
	// Now returns the wall-clock time, since stamps of different nodes are compared.
	Now func() time.Time
	// Max bounds the entries, 0: 4096. Cleared ones are evicted first, poison ones last.
	Max int

	mu      sync.Mutex
	entries map[key]*entry
}

// key identifies an entry: the fingerprint of a request, or a prefix.
type key struct {
	hash   uint64
	prefix bool
}

func keyOf(u member.SuspectUpdate) key {
	return key{u.Fingerprint, u.State >= member.PrefixCleared}
}

// entry holds the newest stamp of each state in Unix milliseconds, 0: never.
type entry struct {
	stamps         [member.Poison + 1]int64
	pendingDigests int // digests that have yet to carry it
}

// state returns the state at time now, and the stamp that it derives from.
func (e *entry) state(now int64) (member.SuspectState, int64) {
	cutoff := now - entryTTL.Milliseconds()
	if s := e.stamps[member.Poison]; s > cutoff && s != 0 {
		return member.Poison, s
	}
	c, s := e.stamps[member.Cleared], e.stamps[member.Suspected]
	if s >= c && s > cutoff && s != 0 {
		return member.Suspected, s
	}
	return member.Cleared, c
}

func (e *entry) newest() int64 { return slices.Max(e.stamps[:]) }

// now returns Unix milliseconds; 0 stands for "never" in entries.
func (t *Set) now() int64 {
	if t.Now == nil {
		return 1
	}
	return max(1, t.Now().UnixMilli())
}

// Check returns the state of a request that a caller sent. A poison one stays poison for
// another hour.
func (t *Set) Check(fingerprint uint64) member.SuspectState {
	n := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	k := key{fingerprint, false}
	e := t.entries[k]
	if e == nil {
		return member.Cleared
	}
	s, at := e.state(n)
	if s == member.Poison && n-at >= refreshInterval.Milliseconds() {
		t.set(k, s, n, n)
	}
	return s
}

// ObserveCrash records the requests that were in flight on a server that crashed.
// Exclusive says that a single one had run exclusively from its start.
func (t *Set) ObserveCrash(fingerprints []uint64, exclusive bool) {
	n := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := member.Suspected
	if exclusive && len(fingerprints) == 1 {
		s = member.Poison
	}
	for _, f := range fingerprints {
		k, at := key{f, false}, n
		if e := t.entries[k]; e != nil {
			// The clearance may carry the stamp of a lease holder whose clock is ahead.
			at = max(at, e.stamps[member.Cleared])
		}
		t.set(k, s, at, n)
	}
}

// ObserveSuccess clears a suspect that ran exclusively to its end.
func (t *Set) ObserveSuccess(fingerprint uint64) {
	n := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	k := key{fingerprint, false}
	e := t.entries[k]
	if e == nil {
		return
	}
	// The crash may carry the stamp of a lease holder whose clock is ahead.
	t.set(k, member.Cleared, max(n, e.stamps[member.Suspected]+1), n)
}

// Merge merges the updates of a peer.
func (t *Set) Merge(updates []member.SuspectUpdate) {
	n := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, x := range updates {
		if x.State > member.PrefixPoison || x.Stamp <= 0 || x.Stamp <= n-entryTTL.Milliseconds() {
			continue
		}
		t.set(keyOf(x), baseState(x.State), min(x.Stamp, n+maxSkew.Milliseconds()), n)
	}
}

// baseState returns the state of a fingerprint that an update on a prefix corresponds to.
func baseState(s member.SuspectState) member.SuspectState { return s % member.PrefixCleared }

func (t *Set) set(k key, s member.SuspectState, stamp, now int64) {
	e := t.entries[k]
	if e == nil {
		if t.entries == nil {
			t.entries = map[key]*entry{}
		}
		e = &entry{}
		t.entries[k] = e
	}
	if stamp > e.stamps[s] {
		e.stamps[s] = stamp
		e.pendingDigests = gossipRounds
	}
	m := t.Max
	if m <= 0 {
		m = defaultMaxEntries
	}
	if len(t.entries) > m {
		t.evict(m-m/8, now)
	}
}

// evict keeps n entries: poison before suspects before cleared ones, the newest first.
func (t *Set) evict(n int, now int64) {
	o := t.updates(now, func(*entry) bool { return true })
	slices.SortFunc(o, func(x, y member.SuspectUpdate) int {
		return cmp.Or(-cmp.Compare(baseState(x.State), baseState(y.State)), -cmp.Compare(x.Stamp, y.Stamp),
			cmp.Compare(x.Fingerprint, y.Fingerprint))
	})
	for _, x := range o[min(n, len(o)):] {
		delete(t.entries, keyOf(x))
	}
}

// Tick deletes the expired entries. It is to be called every few seconds.
func (t *Set) Tick() {
	n := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, e := range t.entries {
		if e.newest() <= n-entryTTL.Milliseconds() {
			delete(t.entries, k)
		}
	}
}

// Updates returns at most n updates for the next digest, the newest first.
func (t *Set) Updates(n int) []member.SuspectUpdate {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.updates(now, func(e *entry) bool { return e.pendingDigests > 0 })
	slices.SortFunc(o, func(x, y member.SuspectUpdate) int {
		return cmp.Or(-cmp.Compare(x.Stamp, y.Stamp), cmp.Compare(x.Fingerprint, y.Fingerprint))
	})
	o = o[:min(n, len(o))]
	for _, x := range o {
		t.entries[keyOf(x)].pendingDigests--
	}
	return o
}

// All returns all entries, sorted by fingerprint, for a peer that joins or was cut off.
func (t *Set) All() []member.SuspectUpdate {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.updates(now, func(*entry) bool { return true })
	slices.SortFunc(o, func(x, y member.SuspectUpdate) int { return cmp.Compare(x.Fingerprint, y.Fingerprint) })
	return o
}

func (t *Set) updates(now int64, keep func(*entry) bool) []member.SuspectUpdate {
	var o []member.SuspectUpdate
	for k, e := range t.entries {
		if !keep(e) {
			continue
		}
		s, at := e.state(now)
		if k.prefix {
			s, at = e.prefixState(now)
			s += member.PrefixCleared
		}
		o = append(o, member.SuspectUpdate{Fingerprint: k.hash, State: s, Stamp: at})
	}
	return o
}
