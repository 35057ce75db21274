package backend

import (
	"errors"
	"fmt"
)

// ErrorKind is the reason why a call failed.
type ErrorKind uint8

// Error kinds.
const (
	Refused   ErrorKind = iota + 1 // the connection was refused
	Unreached                      // no connection could be opened in time
	TooLate                        // the permit's send-by time had passed before the first byte was sent
	Broken                         // the connection broke
	Stalled                        // no data arrived within the stall timeout
	Stopped                        // the context of the call ended
	Status                         // the server returned an error status
	Crossed                        // the response carried the ID of another call
	Late                           // the response arrived after the call's context had ended
	Truncated                      // the response ended within its content, or was longer than maxResponse
	NoEnd                          // the response lacked its end marker
	Skipped                        // a token index was missing
	Malformed                      // the response violated the protocol
	Receiver                       // Completion.Token returned an error
	errorKinds
)

var errorKindNames = [...]string{
	"none", "refused", "unreached", "too_late", "broken", "stalled", "stopped", "status", "crossed",
	"late", "truncated", "no_end", "skipped", "malformed", "receiver",
}

// String returns the name used in logs and metrics.
func (k ErrorKind) String() string {
	if k >= errorKinds {
		return "invalid"
	}
	return errorKindNames[k]
}

// Error is the error type of all calls.
type Error struct {
	Kind    ErrorKind
	Sent    bool // a byte of the call may have been written; if false, certainly none was
	Stale   bool // the server probably closed the connection as idle at the same moment
	Code    int  // HTTP status, for kind Status
	Address string
	Cause   error
}

func (e *Error) Error() string {
	s := "unsent"
	if e.Sent {
		s = "sent"
	}
	if e.Cause == nil {
		return fmt.Sprintf("backend: %s: %s (%s)", e.Address, e.Kind, s)
	}
	return fmt.Sprintf("backend: %s: %s (%s): %v", e.Address, e.Kind, s, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Errors that conn returns to net/http instead of writing.
var (
	errTooLate   = errors.New("send-by has passed")
	errResend    = errors.New("the call was already sent on another connection")
	errGivenUp   = errors.New("the call was given up")
	errDiscarded = errors.New("the connection may hold the response to another call")
)

// ErrFencing is the cause of the error if an order was refused because of its fencing
// number.
var ErrFencing = errors.New("old fencing number")
