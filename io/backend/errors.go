package backend

import (
	"errors"
	"fmt"
)

// ErrorKind says why a call has no answer.
type ErrorKind uint8

// The faults.
const (
	Refused   ErrorKind = iota + 1 // the connection was refused
	Unreached                      // no connection could be opened in time
	TooLate                        // the permit's send-by had passed before the first byte
	Broken                         // the connection broke
	Stalled                        // nothing came within the stall timeout
	Stopped                        // the context of the call ended
	Status                         // the server answered with an error status
	Crossed                        // the answer carried the id of another call
	Late                           // the answer came after the call was given up
	Truncated                      // the answer ended inside its content
	NoEnd                          // the answer lacked its end marker
	Skipped                        // a token index was left out
	Malformed                      // the answer did not follow the protocol
	Receiver                       // the receiver of tokens returned an error
	errorKinds
)

var errorKindNames = [...]string{
	"none", "refused", "unreached", "too_late", "broken", "stalled", "stopped", "status", "crossed",
	"late", "truncated", "no_end", "skipped", "malformed", "receiver",
}

// String returns the name used in logs and metrics.
func (f ErrorKind) String() string {
	if f >= errorKinds {
		return "invalid"
	}
	return errorKindNames[f]
}

// Error is the error of every call of this package.
type Error struct {
	Kind    ErrorKind
	Sent    bool // a byte of the call may have been written; false is certain
	Stale   bool // probably an idle connection that the server closed at that moment
	Code    int  // HTTP status of a Status fault
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

// Errors that a gated connection returns to net/http instead of writing.
var (
	errTooLate = errors.New("send-by has passed")
	errResend  = errors.New("the call was already sent on another connection")
	errGivenUp = errors.New("the call was given up")
)

// ErrFencing is the cause of an order that was refused for its fencing number.
var ErrFencing = errors.New("old fencing number")
