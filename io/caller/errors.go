package caller

import (
	"net/http"
	"strconv"

	"github.com/go-json-experiment/json/jsontext"

	"bergamotspring/core/outcome"
)

// RequestError is the error of a request that ended without a complete response. It is
// sent as JSON or as the error event of a stream.
type RequestError struct {
	Outcome    outcome.Outcome
	Code       int    // HTTP status; 0: the status of Outcome
	Field      string // the header or input that is invalid, for BadRequest
	Message    string
	Ran        outcome.Ran
	RetryAfter int // in seconds; 0: no Retry-After header, or 1 s if the request was shed
}

func (e *RequestError) Error() string { return "caller: " + e.Outcome.String() + ": " + e.Message }

// Status returns the HTTP status.
func (e *RequestError) Status() int {
	if e.Code != 0 {
		return e.Code
	}
	return e.Outcome.Status()
}

func badRequest(code int, field, message string) *RequestError {
	return &RequestError{Outcome: outcome.BadRequest, Code: code, Field: field, Message: message}
}

var errNoConfiguration = &RequestError{Outcome: outcome.Unavailable, Message: "this node has no configuration yet"}

var errDraining = &RequestError{Outcome: outcome.Draining, Message: "this node is being stopped"}

// appendError appends e as JSON.
func appendError(b []byte, e *RequestError) []byte {
	b = append(b, `{"outcome":"`...)
	b = append(b, e.Outcome.String()...)
	b = append(b, `","message":`...)
	b, _ = jsontext.AppendQuote(b, e.Message) // replaces invalid UTF-8
	b = append(b, `,"field":`...)
	b, _ = jsontext.AppendQuote(b, e.Field)
	b = append(b, `,"ran":"`...)
	b = append(b, e.Ran.String()...)
	b = append(b, `","resend":`...)
	b = strconv.AppendBool(b, e.Outcome.Resend())
	return append(b, '}')
}

// writeError sends e as a whole response.
func writeError(w http.ResponseWriter, e *RequestError) error {
	if e.Outcome == outcome.Shed || e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(max(e.RetryAfter, 1)))
	}
	return writeJSON(w, e.Status(), appendError(nil, e))
}

func writeJSON(w http.ResponseWriter, status int, b []byte) error {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, err := w.Write(b)
	return err
}
