package suspect

// This file decides when a node writes the record. One call stores all that a node knows, and without news there is
// none. The node that registered first among those that respond writes; a few others look after it in turn, as it
// may not reach the store.

import "time"

const (
	// learnedDelay is how long the record waits for the reports of other nodes on a crash, clearedDelay for more that is
	// cleared: most requests of a crashed server run elsewhere within that time.
	learnedDelay = 100 * time.Millisecond
	clearedDelay = 2 * time.Second
	// recordInterval is the minimum time between two records of a node.
	recordInterval = 300 * time.Millisecond
	// recordRefresh is how often the record is written while requests are refused: their culprits live for
	// crashTTL after the last refusal.
	recordRefresh = 20 * time.Minute
	// recorders is the number of nodes that see to the record, rankDelay how much later each one does than the one
	// before.
	recorders = 4
	rankDelay = time.Second
	// minRecordPause and maxRecordPause bound the pause after a failed attempt, which doubles.
	minRecordPause = 300 * time.Millisecond
	maxRecordPause = 5 * time.Second
)

// Recorder decides when a node writes the record. The zero value has written none. It is not safe for concurrent use.
type Recorder struct {
	recorded  Revision  // what the stored record is known to hold
	learnedAt time.Time // when Due first saw something learned that it lacks; zero: nothing
	clearedAt time.Time // the same of something that was cleared
	doneAt    time.Time // of the last record
	notBefore time.Time
	pause     time.Duration // after the next failure
}

// Due reports whether the record is to be written at a revision. Rank is the number of nodes that come before this one.
func (r *Recorder) Due(now time.Time, v Revision, rank int) bool {
	r.learnedAt = since(r.learnedAt, now, v.Learned > r.recorded.Learned)
	r.clearedAt = since(r.clearedAt, now, v.Cleared > r.recorded.Cleared)
	if rank >= recorders || now.Before(r.notBefore) {
		return false
	}
	if !r.learnedAt.IsZero() && now.Sub(r.learnedAt) >= learnedDelay+time.Duration(rank)*rankDelay {
		return true
	}
	return rank == 0 && !r.clearedAt.IsZero() && now.Sub(r.clearedAt) >= clearedDelay
}

// since returns since when something holds: at, or now if it holds anew.
func since(at, now time.Time, holds bool) time.Time {
	switch {
	case !holds:
		return time.Time{}
	case at.IsZero():
		return now
	}
	return at
}

// Refresh reports whether the record is old enough to be written without news while requests are refused.
func (r *Recorder) Refresh(now time.Time, rank int) bool {
	return rank == 0 && !r.doneAt.IsZero() && now.Sub(r.doneAt) >= recordRefresh && !now.Before(r.notBefore)
}

// Done says that the stored record holds what a Counter knew at a revision.
func (r *Recorder) Done(now time.Time, v Revision) {
	r.recorded, r.doneAt = v, now
	r.learnedAt, r.clearedAt = time.Time{}, time.Time{}
	r.notBefore, r.pause = now.Add(recordInterval), 0
}

// Failed says that an attempt failed.
func (r *Recorder) Failed(now time.Time) {
	r.pause = min(max(minRecordPause, 2*r.pause), maxRecordPause)
	r.notBefore = now.Add(r.pause)
}

// Lost says that the stored record may lack anything, as the store was restored.
func (r *Recorder) Lost() { r.recorded = Revision{Learned: -1, Cleared: -1} }
