// Package suspect decides which requests may run, from the crashes that they were
// seen at.
//
// A request that was in flight on a server that crashed is a suspect. It runs alone
// until it ends well, which clears it, or crashes a server while alone, which
// condemns it. Sharing a crash, however often, never condemns. See
// docs/decisions/005-crash-suspects.md.
package suspect

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"bergamotspring/core/member"
)

const (
	// quiet is the time without a resend after which a condemned request may run
	// again. The minute on top covers refreshStep.
	quiet = time.Hour + refreshStep
	// refreshStep bounds how often a resend is told to the other nodes.
	refreshStep = time.Minute
	// maxSkew bounds what a peer's fast clock can add to a condemnation.
	maxSkew = 5 * time.Minute
	// spreadRounds is how many digests carry a change. Each goes to a few random
	// peers, so 320 nodes are reached in about six rounds.
	spreadRounds = 12
	defaultMax   = 4096
)

// Set holds what a node knows of suspects. The zero value is ready to use, with a
// clock that stands still. It is safe for concurrent use; its lock is a leaf.
//
// Invariant: an entry is, for each state, the newest stamp seen, so merging notes in
// any order and number gives the same entry.
type Set struct {
	// Now returns the wall time; stamps of nodes are compared.
	Now func() time.Time
	// Max bounds the entries, 0: 4096. Cleared ones go first, condemned ones last.
	Max int

	mu      sync.Mutex
	entries map[uint64]*entry
}

// entry holds the newest stamp of each state in Unix milliseconds, 0: never.
type entry struct {
	stamps [member.Poison + 1]int64
	spread int // digests that still have to carry it
}

// state returns what the stamps say at time now, and the stamp that says it.
func (e *entry) state(now int64) (member.SuspectState, int64) {
	old := now - quiet.Milliseconds()
	if s := e.stamps[member.Poison]; s > old && s != 0 {
		return member.Poison, s
	}
	c, s := e.stamps[member.Cleared], e.stamps[member.Suspected]
	if s >= c && s > old && s != 0 {
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

// Check returns the state of a request that a caller sent. A condemned one stays
// condemned for another hour.
func (t *Set) Check(fingerprint uint64) member.SuspectState {
	n := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[fingerprint]
	if e == nil {
		return member.Cleared
	}
	s, at := e.state(n)
	if s == member.Poison && n-at >= refreshStep.Milliseconds() {
		t.set(fingerprint, s, n, n)
	}
	return s
}

// ObserveCrash notes the requests that were in flight on a server that crashed. Alone
// says that the only one had run alone from its start.
func (t *Set) ObserveCrash(fingerprints []uint64, alone bool) {
	n := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := member.Suspected
	if alone && len(fingerprints) == 1 {
		s = member.Poison
	}
	for _, f := range fingerprints {
		at := n
		if e := t.entries[f]; e != nil {
			// The clearance may carry the stamp of a home whose clock is ahead.
			at = max(at, e.stamps[member.Cleared])
		}
		t.set(f, s, at, n)
	}
}

// ObserveSuccess notes that a suspect ran alone to its end.
func (t *Set) ObserveSuccess(fingerprint uint64) {
	n := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[fingerprint]
	if e == nil {
		return
	}
	// The crash may carry the stamp of a home whose clock is ahead.
	t.set(fingerprint, member.Cleared, max(n, e.stamps[member.Suspected]+1), n)
}

// Merge takes over the notes of a peer.
func (t *Set) Merge(notes []member.SuspectUpdate) {
	n := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, x := range notes {
		if x.State > member.Poison || x.Stamp <= 0 || x.Stamp <= n-quiet.Milliseconds() {
			continue
		}
		t.set(x.Fingerprint, x.State, min(x.Stamp, n+maxSkew.Milliseconds()), n)
	}
}

func (t *Set) set(fingerprint uint64, s member.SuspectState, stamp, now int64) {
	e := t.entries[fingerprint]
	if e == nil {
		if t.entries == nil {
			t.entries = map[uint64]*entry{}
		}
		e = &entry{}
		t.entries[fingerprint] = e
	}
	if stamp > e.stamps[s] {
		e.stamps[s] = stamp
		e.spread = spreadRounds
	}
	m := t.Max
	if m <= 0 {
		m = defaultMax
	}
	if len(t.entries) > m {
		t.evict(m-m/8, now)
	}
}

// evict keeps the n entries that matter most: by state, then the newest.
func (t *Set) evict(n int, now int64) {
	o := t.updates(now, func(*entry) bool { return true })
	slices.SortFunc(o, func(x, y member.SuspectUpdate) int {
		return cmp.Or(-cmp.Compare(x.State, y.State), -cmp.Compare(x.Stamp, y.Stamp),
			cmp.Compare(x.Fingerprint, y.Fingerprint))
	})
	for _, x := range o[min(n, len(o)):] {
		delete(t.entries, x.Fingerprint)
	}
}

// Tick drops the entries that say nothing any more. It is due every few seconds.
func (t *Set) Tick() {
	n := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for f, e := range t.entries {
		if e.newest() <= n-quiet.Milliseconds() {
			delete(t.entries, f)
		}
	}
}

// Updates returns at most n changes for the next digest, the newest first.
func (t *Set) Updates(n int) []member.SuspectUpdate {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.updates(now, func(e *entry) bool { return e.spread > 0 })
	slices.SortFunc(o, func(x, y member.SuspectUpdate) int {
		return cmp.Or(-cmp.Compare(x.Stamp, y.Stamp), cmp.Compare(x.Fingerprint, y.Fingerprint))
	})
	o = o[:min(n, len(o))]
	for _, x := range o {
		t.entries[x.Fingerprint].spread--
	}
	return o
}

// All returns everything, for a peer that joins or was cut off, by fingerprint.
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
	for f, e := range t.entries {
		if !keep(e) {
			continue
		}
		s, at := e.state(now)
		o = append(o, member.SuspectUpdate{Fingerprint: f, State: s, Stamp: at})
	}
	return o
}
