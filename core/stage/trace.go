package stage

import (
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/core/outcome"
)

// Trace is what is logged and measured of one request.
type Trace struct {
	Request      string
	Organisation string
	Class        string
	Target       string // pipelines/<name> or services/<name>/<operation>
	Version      uint64 // configuration that was in force when it began
	Fingerprint  uint64
	Key          bool // whether it had an operation key
	Streamed     bool
	Started      time.Time
	Deadline     time.Duration
	Total        time.Duration
	First        time.Duration // until the first token, 0: none
	Tokens       int
	Outcome      outcome.Outcome
	Ran          outcome.Ran
	Message      string
	BytesIn      int
	BytesOut     int
	Stages       []Span
}

// Span is one stage of a Trace.
type Span struct {
	Name     string
	Pool     string
	Took     time.Duration
	Budget   time.Duration
	Tokens   int
	Retries  int
	Hedges   int
	Attempts []Attempt
}

// Attempt is one request for a permit and the call that the permit allowed.
type Attempt struct {
	Call    string
	Group   fleet.GroupID
	Server  string
	Epoch   uint64
	Queue   time.Duration // wait for the permit
	Service time.Duration // from first byte to end
	Cross   int           // bytes sent to and received from another region
	Retry   bool
	Result  string // release result, or the refusal
	Error   string
}
