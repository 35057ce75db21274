// Package outcome defines the closed set of ways in which a request can end.
//
// Every request ends in exactly one Outcome. The set is closed so that callers can decide
// from the outcome alone whether work ran and whether to resend the request.
package outcome

// Outcome is how a request ended. The zero value is not a valid outcome.
type Outcome uint8

// The outcomes. Ran and Resend say what each promises.
const (
	OK Outcome = iota + 1
	BadRequest
	Conflict
	Shed
	Unavailable
	Draining
	DeadlineNotRun
	DeadlinePartial
	StageFailed
	Unknown
	Poison
	SlowReader
	Cancelled
)

// Ran says how much of a request reached a backend server.
type Ran uint8

// The degrees of execution.
const (
	// NotRun promises that no byte of a non-idempotent call and no stage of the
	// pipeline can have reached a backend server.
	NotRun Ran = iota
	// RanPartly says that some repeatable stages ran.
	RanPartly
	// RanWhole says that the request ran to its end.
	RanWhole
	// RanUnknown says that a non-idempotent call may or may not have run.
	RanUnknown
)

// String returns the name used on the wire.
func (r Ran) String() string {
	return [...]string{"not_run", "partly", "whole", "unknown"}[r]
}

// The HTTP statuses of outcomes. Core does not import net/http for them.
const (
	statusOK              = 200
	statusBadRequest      = 400
	statusConflict        = 409
	statusUnprocessable   = 422
	statusTooManyRequests = 429
	statusClientClosed    = 499 // only in logs; no response is sent
	statusInternal        = 500
	statusBadGateway      = 502
	statusUnavailable     = 503
	statusGatewayTimeout  = 504
)

type entry struct {
	name   string
	status int
	ran    Ran
	resend bool
}

var table = [...]entry{
	OK:              {"ok", statusOK, RanWhole, false},
	BadRequest:      {"bad_request", statusBadRequest, NotRun, false},
	Conflict:        {"conflict", statusConflict, NotRun, false},
	Shed:            {"shed", statusTooManyRequests, NotRun, true},
	Unavailable:     {"unavailable", statusUnavailable, NotRun, true},
	Draining:        {"draining", statusUnavailable, NotRun, true},
	DeadlineNotRun:  {"deadline_not_run", statusGatewayTimeout, NotRun, true},
	DeadlinePartial: {"deadline_partial", statusGatewayTimeout, RanPartly, true},
	StageFailed:     {"stage_failed", statusBadGateway, RanPartly, true},
	Unknown:         {"outcome_unknown", statusBadGateway, RanUnknown, false},
	Poison:          {"poison", statusUnprocessable, NotRun, false},
	SlowReader:      {"slow_reader", statusOK, RanPartly, true},
	Cancelled:       {"cancelled", statusClientClosed, RanPartly, false},
}

func (o Outcome) entry() entry {
	if int(o) >= len(table) {
		return entry{name: "invalid", status: statusInternal}
	}
	return table[o]
}

// String returns the name used on the wire and in logs.
func (o Outcome) String() string { return o.entry().name }

// Status returns the HTTP status of a response that was not yet started.
func (o Outcome) Status() int { return o.entry().status }

// Ran returns how much of the request ran.
func (o Outcome) Ran() Ran { return o.entry().ran }

// Resend reports whether the same request may be sent again as it is.
func (o Outcome) Resend() bool { return o.entry().resend }
