package stage

import (
	"bergamotspring/core/limit"
	"bergamotspring/core/outcome"
)

// Cause is the reason why a run did not reach its end.
type Cause uint8

// The causes.
const (
	CauseNone       Cause = iota
	CauseDeadline         // the deadline passed or cannot be met
	CauseFull             // the fair queue is full
	CauseNoServer         // no server accepts the call
	CauseFailed           // calls were sent and failed
	CausePoison           // the request is marked as poison
	CauseSlowReader       // the caller reads too slowly
	CauseCancelled        // the caller disconnected
	CauseClaims           // claims cannot be acquired at the moment
)

// CauseOf converts the refusal of a permit to a cause.
func CauseOf(r limit.Refusal) Cause {
	switch r {
	case limit.RefusedDeadline:
		return CauseDeadline
	case limit.RefusedFull:
		return CauseFull
	case limit.RefusedPoison:
		return CausePoison
	case limit.RefusedBudget:
		return CauseFailed
	}
	return CauseNoServer
}

// Outcome returns the outcome of a run that ended with c. Sent says whether a byte of any
// call can have reached a backend server; repeatable says whether all calls were
// repeatable. After a send, the outcome never promises "not run".
func Outcome(c Cause, sent, repeatable bool) outcome.Outcome {
	if sent && !repeatable && c != CauseNone {
		return outcome.Unknown
	}
	switch c {
	case CauseNone:
		return outcome.OK
	case CauseSlowReader:
		return outcome.SlowReader
	case CauseCancelled:
		return outcome.Cancelled
	case CausePoison:
		return outcome.Poison
	case CauseDeadline:
		if sent {
			return outcome.DeadlinePartial
		}
		return outcome.DeadlineNotRun
	}
	if sent {
		return outcome.StageFailed
	}
	if c == CauseFull {
		return outcome.Shed
	}
	return outcome.Unavailable
}

// Ran returns how much of a run with outcome o reached a server. It corrects what
// the outcome promises in general: a run that was refused or cancelled before
// anything was sent did not run, and one that was found to be poison between stages did.
func Ran(o outcome.Outcome, sent bool) outcome.Ran {
	r := o.Ran()
	switch {
	case !sent && r == outcome.RanPartly:
		return outcome.NotRun
	case sent && r == outcome.NotRun:
		return outcome.RanPartly
	}
	return r
}
