package fanout

// This file defines the decisions of one node: which sources it queries, and when it reads the
// store.

import (
	"math/rand/v2"
	"slices"
	"time"

	"bergamotspring/core/roster"
)

const (
	// StaleAfter is the age of the tables above which the replacement of the reader, and the
	// reader itself, look for another source. It exceeds the reader's interval between reads
	// by the time of a slow call.
	StaleAfter = 1400 * time.Millisecond
	// stalePerLink is added to StaleAfter for each link to the reader, so that a node's parent
	// has found another source first.
	stalePerLink = 100 * time.Millisecond
	// searchInterval is the mean pause between searches while the tables are stale, and
	// longSearchInterval that after longSearch.
	searchInterval     = 150 * time.Millisecond
	longSearch         = 4 * time.Second
	longSearchInterval = time.Second
	// readerInterval is how often a node that reads the store checks whether it still should.
	readerInterval = 300 * time.Millisecond
	// parentInterval is how often a node that has another source queries its parent.
	parentInterval = 5 * time.Second
	// substituteStep is the delay of each position in the tree before a node reads the store
	// in place of the reader. It bounds the attempts of all nodes of a region together.
	substituteStep = 120 * time.Millisecond
	// substituteTime is the mean time after which a substitute gives way to any other node that
	// reads the store.
	substituteTime = 6 * time.Second
	// attemptTime is how long a node reads the store without success before it pauses.
	attemptTime = 500 * time.Millisecond
	// startPatience is how long a node that has started waits for its first tables before it
	// looks for another source.
	startPatience = 60 * time.Millisecond
	// unknownNodes is how long a node that has started waits for the list of nodes before it
	// reads all tables from the store, and startInterval how often it looks for it.
	unknownNodes  = 3 * time.Second
	startInterval = 20 * time.Millisecond
	// readerPause is the pause of a reader that cannot reach the store but has a source.
	readerPause = 5 * time.Second
	// searched is the number of nodes that a search queries besides the ancestors, half of them in
	// the own failure domain, searchedFar
	// that of nodes of other regions, and checked that of the nodes that a substitute queries.
	searched    = 8
	searchedFar = 2
	checked     = 2
)

// Tables is what a node knows about the tables that it has.
type Tables struct {
	ConfirmedAt time.Time // by the store; zero: never
	Reader      string    // peer address of the node that read them from the store
}

// Step is what a node does next.
type Step struct {
	Read bool // read the store, until the next step says otherwise
	// Sources are the peer addresses to query, all at the same time. The step ends when one
	// has sent fresh tables, or none can any more.
	Sources []string
	// Hold is how long a source may hold the query until it has newer tables; 0: it answers
	// at once.
	Hold  time.Duration
	Pause time.Duration // until the next step, unless a source has sent fresh tables
}

// Follower makes the decisions of one node. Self must be set. The zero value has a clock that
// stands still. It is not safe for concurrent use.
type Follower struct {
	Self string // peer address
	Now  func() time.Time
	// Random returns a number in [0, n); nil: of the global source.
	Random func(n int) int

	started     time.Time
	orderedAt   time.Time // when the list of nodes was first known
	source      string    // that sent fresh tables last, empty: none
	nextParent  time.Time // when the parent is queried again if it is not the source
	attemptEnd  time.Time // of the present attempt to read the store
	nextAttempt time.Time

	substitute    bool      // reads the store although it is not the reader
	substituteEnd time.Time // when it gives way to any other node that reads the store
}

func (f *Follower) now() time.Time {
	if f.Now == nil {
		return time.Time{}
	}
	return f.Now()
}

func (f *Follower) random(n int) int {
	if f.Random == nil {
		return rand.IntN(n)
	}
	return f.Random(n)
}

// Next returns the next step of a node. Others are the nodes of other regions.
func (f *Follower) Next(tree *Tree, others []roster.Node, t Tables) Step {
	now := f.now()
	if f.started.IsZero() {
		f.started = now
	}
	if len(tree.nodes) == 0 && now.Before(f.started.Add(unknownNodes)) {
		return Step{Pause: startInterval}
	}
	if f.orderedAt.IsZero() {
		f.orderedAt = now
	}
	staleAt := f.staleAt(t, tree)
	if !now.Before(staleAt) {
		return f.search(tree, others, now, staleAt)
	}
	isReader := tree.self == 0 && len(tree.nodes) > 0
	if isReader && f.readerReads(t, now) {
		f.substitute = false
		return Step{Read: true, Pause: readerInterval}
	}
	p := tree.parent()
	if f.substitute && !isReader {
		return Step{Read: true, Sources: f.choose(tree.nodes, list(p), checked), Pause: readerInterval}
	}
	if f.source == "" {
		f.source = p
	}
	if f.source != p && p != "" && !now.Before(f.nextParent) {
		f.nextParent = now.Add(f.jitter(parentInterval))
		return Step{Sources: list(p)}
	}
	if f.source == "" {
		return Step{Pause: readerInterval}
	}
	return Step{Sources: list(f.source), Hold: staleAt.Sub(now), Pause: f.jitter(searchInterval)}
}

// readerReads reports whether the reader reads the store. While the store does not serve it but
// another node, it only makes an attempt now and then.
func (f *Follower) readerReads(t Tables, now time.Time) bool {
	if t.Reader == f.Self || t.Reader == "" {
		f.nextAttempt = time.Time{}
		return true
	}
	if now.Before(f.nextAttempt) {
		return now.Before(f.attemptEnd)
	}
	f.attemptEnd = now.Add(attemptTime)
	f.nextAttempt = f.attemptEnd.Add(readerPause)
	return true
}

// staleAt returns when the node's tables become stale.
func (f *Follower) staleAt(t Tables, tree *Tree) time.Time {
	if t.ConfirmedAt.IsZero() {
		return f.orderedAt.Add(startPatience)
	}
	return t.ConfirmedAt.Add(StaleAfter + time.Duration(tree.links())*stalePerLink)
}

// search returns the step of a node whose tables are stale. It queries nodes of other regions too,
// as the store may refuse all nodes of its own.
func (f *Follower) search(tree *Tree, others []roster.Node, now, staleAt time.Time) Step {
	s := Step{Sources: f.choose(tree.neighbours, tree.ancestors(), searched/2), Pause: f.jitter(searchInterval)}
	s.Sources = f.choose(tree.nodes, s.Sources, searched/2)
	s.Sources = f.choose(others, s.Sources, searchedFar)
	if now.Sub(staleAt) > longSearch {
		s.Pause = f.jitter(longSearchInterval)
	}
	f.source = ""
	s.Read = tree.self == 0 || f.attempt(len(tree.nodes), tree.self, now, staleAt)
	if s.Read && tree.self > 0 && !f.substitute {
		f.substituteEnd = now.Add(f.jitter(substituteTime))
	}
	f.substitute = s.Read && tree.self > 0
	return s
}

// choose adds n other nodes, chosen at random, to a list.
func (f *Follower) choose(nodes []roster.Node, l []string, n int) []string {
	for range min(n, len(nodes)) {
		p := nodes[f.random(len(nodes))].Peer
		if p != f.Self && !slices.Contains(l, p) {
			l = append(l, p)
		}
	}
	return l
}

// attempt reports whether the node at a position is to read the store in place of the reader.
// Its replacement does so at once. Nodes far down choose a delay at random, as those before them
// may all be lost.
func (f *Follower) attempt(nodes, i int, now, staleAt time.Time) bool {
	if now.Before(f.attemptEnd) {
		return true
	}
	if f.nextAttempt.Before(staleAt) {
		f.nextAttempt = staleAt
		if i > 1 {
			f.nextAttempt = staleAt.Add(time.Duration(1+min(i-1, f.random(nodes+1))) * substituteStep)
		}
	}
	if now.Before(f.nextAttempt) {
		return false
	}
	f.attemptEnd = now.Add(attemptTime)
	f.nextAttempt = f.attemptEnd.Add(max(attemptTime, f.jitter(time.Duration(nodes)*substituteStep)))
	return true
}

// IsFresh reports whether tables of the given age, which the reader has read, are of use to this
// node. Those that it has read itself are not.
func (f *Follower) IsFresh(reader string, age time.Duration) bool {
	return reader != f.Self && reader != "" && age < StaleAfter
}

// OnResponse takes account of the tables of a source, which are of the given age, and reports
// whether they are fresh.
func (f *Follower) OnResponse(tree *Tree, source, reader string, age time.Duration) bool {
	if !f.IsFresh(reader, age) {
		f.OnFailure(source)
		return false
	}
	if f.substitute {
		// Of two substitutes, the one that comes first in the tree goes on. As the two may see
		// different trees, the other also goes on only for a while.
		p := tree.position(reader)
		if (p < 0 || p > tree.self) && f.now().Before(f.substituteEnd) {
			return false
		}
		f.substitute = false
	}
	f.source = source
	return true
}

// OnFailure records that a source did not respond, or sent stale tables.
func (f *Follower) OnFailure(source string) {
	if f.source == source {
		f.source = ""
	}
}

// jitter returns a random duration of the mean d.
func (f *Follower) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(f.random(int(d)+1))
}

// list returns a list of one address, or none if it is empty.
func list(p string) []string {
	if p == "" {
		return nil
	}
	return []string{p}
}
