package fanout

// This file tells an outage of the store from the loss of a node that read it.

import (
	"maps"
	"slices"
	"time"
)

const (
	// minOutage is the shortest time without a response of the store to any node after which
	// servers' entries may have expired only because heartbeats did not reach the store.
	minOutage = 1500 * time.Millisecond
	// witnesses is how many other nodes' calls must have failed for a node whose own did not fail. A
	// single one may be a reader that alone does not reach the store.
	witnesses = 2
	// failureTime is how long failures are passed on, and passedOn how many besides the own: with them
	// each node gets two of other nodes.
	failureTime = 10 * time.Second
	passedOn    = witnesses
	// ageError bounds the error of a time that came from another node as an age.
	ageError = 100 * time.Millisecond
)

// Failure says that a node's own call of the store failed.
type Failure struct {
	Peer string    // peer address of the node
	At   time.Time // of the last call that failed
}

// Outages holds what a node knows about the calls of all nodes to the store, from its own calls and from
// what others report. Self must be set. It is not safe for concurrent use.
//
// The age of tables is not enough to tell an outage, as tables also age while the loss of a reader is
// not yet known: a node whose calls failed must have said so.
type Outages struct {
	Self string // peer address

	failedAt    map[string]time.Time // of the last call of each node that failed
	respondedAt time.Time            // when the store last responded to any node
	// The last gap of minOutage or more between two responses.
	gapStart, gapEnd time.Time
}

// OnFailure takes account of a failed call of a node.
func (o *Outages) OnFailure(f Failure) {
	if o.failedAt == nil {
		o.failedAt = map[string]time.Time{}
	}
	if f.At.After(o.failedAt[f.Peer]) {
		o.failedAt[f.Peer] = f.At
	}
	maps.DeleteFunc(o.failedAt, func(_ string, t time.Time) bool { return f.At.Sub(t) > failureTime })
}

// OnResponse takes account of a response of the store to any node.
func (o *Outages) OnResponse(at time.Time) {
	if !at.After(o.respondedAt) {
		return
	}
	if o.isGap(at) {
		o.gapStart, o.gapEnd = o.respondedAt, at
	}
	o.respondedAt = at
}

// isGap reports whether the store responded to no node for minOutage before a time.
func (o *Outages) isGap(at time.Time) bool {
	return !o.respondedAt.IsZero() && at.Sub(o.respondedAt) >= minOutage
}

// EndsWith reports whether a response of the store to this node, which is not yet accounted for, ends an
// outage: the store responded to no node for minOutage, and calls of this node or of several others
// failed in that time.
func (o *Outages) EndsWith(at time.Time) bool {
	if !o.isGap(at) {
		return false
	}
	n := 0
	for p, t := range o.failedAt {
		switch {
		case !t.After(o.respondedAt):
		case p == o.Self:
			return true
		default:
			n++
		}
	}
	return n >= witnesses
}

// IsUnclear reports whether a response of the store to this node came after a time without one to any node,
// and too few failures are known for an outage.
func (o *Outages) IsUnclear(at time.Time) bool { return o.isGap(at) && !o.EndsWith(at) }

// Admits reports whether an outage can have ended at a time, as another node reports: not if the store
// responded to nodes shortly before. That node may have been without the store alone.
func (o *Outages) Admits(end time.Time) bool {
	if o.respondedAt.IsZero() || o.isGap(end.Add(ageError)) {
		return true
	}
	return !o.gapEnd.IsZero() && end.Sub(o.gapStart) >= minOutage-ageError && !end.After(o.gapEnd.Add(ageError))
}

// Failures returns the failures to pass on, the latest ones and that of this node, at most three.
func (o *Outages) Failures(now time.Time) []Failure {
	var own, l []Failure
	for p, t := range o.failedAt {
		switch {
		case now.Sub(t) > failureTime:
		case p == o.Self:
			own = append(own, Failure{p, t})
		default:
			l = append(l, Failure{p, t})
		}
	}
	slices.SortFunc(l, func(a, b Failure) int { return b.At.Compare(a.At) })
	return append(own, l[:min(len(l), passedOn)]...)
}
