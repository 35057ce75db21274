package operator

import (
	"errors"
	"fmt"
	"net/http"
	"strings"

	"bergamotspring/core/fleet"
)

// Code is the reason why a call failed.
type Code string

// The codes. After CodeUnknown a change may have taken effect; after all others
// nothing changed.
const (
	CodeInvalid      Code = "invalid"      // the declaration has problems
	CodeBadRequest   Code = "bad_request"  // the request is invalid
	CodeUnauthorised Code = "unauthorised" // wrong or no token
	CodeNotFound     Code = "not_found"
	CodeConflict     Code = "conflict"    // another version is in force
	CodeUnavailable  Code = "unavailable" // the table service cannot be reached
	CodeUnknown      Code = "unknown"     // the response of the table service was lost
	CodeMethod       Code = "method"
	CodeInternal     Code = "internal"
)

var httpStatuses = map[Code]int{
	CodeInvalid: http.StatusUnprocessableEntity, CodeBadRequest: http.StatusBadRequest,
	CodeUnauthorised: http.StatusUnauthorized, CodeNotFound: http.StatusNotFound,
	CodeConflict: http.StatusConflict, CodeUnavailable: http.StatusServiceUnavailable,
	CodeUnknown: http.StatusGatewayTimeout, CodeMethod: http.StatusMethodNotAllowed,
	CodeInternal: http.StatusInternalServerError,
}

// Error is the error of a failed call. The server's function fields return it, and so
// does the client.
type Error struct {
	Code     Code
	Message  string
	Current  uint64         // CodeConflict: version in force
	Changes  []fleet.Change // CodeConflict: what changed since the expected version
	Problems []string       // CodeInvalid
}

func (e *Error) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s", e.Code, e.Message)
	if e.Code == CodeConflict && len(e.Changes) == 0 {
		b.WriteString(" none")
	}
	for _, c := range e.Changes {
		b.WriteString("\n  " + c.String())
	}
	for _, f := range e.Problems {
		b.WriteString("\n  " + f)
	}
	return b.String()
}

// UnreachableError reports that no valid response came from a node. Sent says that a
// change may have reached the node.
type UnreachableError struct {
	URL   string
	Sent  bool
	Cause error
}

func (e *UnreachableError) Error() string {
	if e.Sent {
		return fmt.Sprintf("node at %s did not answer; whether the change took effect is unknown: %v", e.URL, e.Cause)
	}
	return fmt.Sprintf("node at %s cannot be reached: %v", e.URL, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// asError converts any error to an *Error. The text of other errors is kept, since only
// operators with the token can read it.
func asError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Code: CodeInternal, Message: err.Error()}
}
