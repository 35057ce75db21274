// Package claim decides whether a non-idempotent call may run.
//
// A call runs only while its node holds the claim on its key: a row of the table,
// inserted before the first byte is sent. A claim never expires. A node that reads a
// row that another attempt has only claimed does not know whether the call ran, and must
// not run it.
package claim

import (
	"strings"

	"bergamotspring/core/store"
)

// Prefix is the key prefix of all claim rows.
const Prefix = "claim/"

// MaxResponse is the largest response, in bytes, that is recorded.
const MaxResponse = 256 << 10

// State is the progress of a claimed call.
type State uint8

// The states.
const (
	Claimed      State = iota + 1 // the call may have run
	Done                          // the call ended, with a response
	FailedNotRun                  // no byte of the call was sent; the key may be claimed again
)

// Row is the content of a claim's row.
type Row struct {
	Body     uint64 // hash of the request body
	Token    string // unique to the attempt that wrote the claim
	Node     string // node and incarnation that wrote the claim
	State    State
	Status   int    // of the response, when Done
	Response []byte // when Done
	Dropped  bool   // when Done: the response was larger than MaxResponse
}

// Request is one attempt to run a call.
type Request struct {
	Key   string // of the row, see Key
	Body  uint64
	Token string
	Node  string
}

// Ticket returns the right to run q, which is valid once the claim is known to be held.
func (q Request) Ticket() Ticket { return Ticket{Key: q.Key, Body: q.Body, Token: q.Token} }

// Ticket is the right to run one call. It is issued once for each Token.
type Ticket struct {
	Key   string
	Body  uint64
	Token string
}

// End is the end of a claimed call: its response or, if no byte was sent, nothing.
type End struct {
	Ticket   Ticket
	Sent     bool // with Status and Response; if not, the claim is released
	Status   int
	Response []byte
}

// Kind says what a node does with a call.
type Kind uint8

// The kinds of verdict. Only Run permits a send.
const (
	Unknown  Kind = iota // another attempt claimed the key; it may or may not have run
	Run                  // the claim is held; send once
	Recorded             // the call ran; return its recorded response
	Conflict             // the key was used for another body
)

// String returns the name used in logs.
func (k Kind) String() string {
	n := [...]string{"unknown", "run", "recorded", "conflict"}
	if int(k) >= len(n) {
		return "invalid"
	}
	return n[k]
}

// Verdict is what to do with a call. The zero value is Unknown, which is always safe.
type Verdict struct {
	Kind     Kind
	Ticket   Ticket // when Run
	Status   int    // when Recorded
	Response []byte // when Recorded
	Ended    bool   // when Unknown: the call ended, but its response was too large to record
}

// RefusedError is the error of a call that could not be claimed. Nothing was sent,
// and the node will not send it.
type RefusedError struct {
	Cause error
}

func (e *RefusedError) Error() string { return "claim: refused as not run: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Cause }

var escaper = strings.NewReplacer("%", "%25", "/", "%2F")

// Key returns the row key of an operation key. Both names are escaped, so that no
// name can reach into the rows of another organisation.
func Key(organisation, key string) string {
	return Prefix + escaper.Replace(organisation) + "/" + escaper.Replace(key)
}

// Step is what to do after reading a claim's row: return the verdict, or acquire the
// claim by a write on condition that the row still has version Version.
type Step struct {
	Acquire bool
	Version uint64
	Verdict Verdict
}

// Decide returns what to do for request q, given its row. Version 0 means that there is
// no row.
func Decide(q Request, s store.Row) Step {
	if s.Version == 0 {
		return Step{Acquire: true}
	}
	r, err := Decode(s.Value)
	if err != nil {
		return Step{} // unreadable: nothing shows that the call did not run
	}
	if r.Body != q.Body {
		return Step{Verdict: Verdict{Kind: Conflict}}
	}
	switch r.State {
	case FailedNotRun:
		return Step{Acquire: true, Version: s.Version}
	case Done:
		return Step{Verdict: recorded(r)}
	case Claimed:
		if r.Token == q.Token {
			return Step{Verdict: Verdict{Kind: Run, Ticket: q.Ticket()}}
		}
	}
	return Step{}
}

func recorded(r Row) Verdict {
	if r.Dropped {
		return Verdict{Ended: true}
	}
	return Verdict{Kind: Recorded, Status: r.Status, Response: r.Response}
}

// Acquire adds to t the condition and the write that claim q, if the row has version v.
func Acquire(t *store.Tx, q Request, v uint64) {
	r := Row{Body: q.Body, Token: q.Token, Node: q.Node, State: Claimed}
	addConditional(t, q.Key, v, r)
}

// Finish adds to t the write that records a response. It needs no condition: only the
// owner of the ticket writes the row while it is claimed, and Done is never
// overwritten. Without a condition, the response is also recorded after the table was
// restored from an older state.
func Finish(t *store.Tx, k Ticket, node string, status int, response []byte) {
	r := Row{Body: k.Body, Token: k.Token, Node: node, State: Done, Status: status, Response: response}
	if len(response) > MaxResponse {
		r.Response = nil
		r.Dropped = true
	}
	t.Writes = append(t.Writes, store.Write{Key: k.Key, Value: Encode(r)})
}

// Release adds to t the write that lets the key be claimed again, if the row has version
// v. Without the condition, a write that arrives late could release a later claim.
func Release(t *store.Tx, k Ticket, v uint64, node string) {
	addConditional(t, k.Key, v, Row{Body: k.Body, Token: k.Token, Node: node, State: FailedNotRun})
}

func addConditional(t *store.Tx, key string, v uint64, r Row) {
	t.Conditions = append(t.Conditions, store.Condition{Key: key, Version: v})
	t.Writes = append(t.Writes, store.Write{Key: key, Value: Encode(r)})
}

// NeedsRelease reports whether a ticket that will not be used has to be released, given
// its row. A claim is uncertain when the result of its write is unknown: the write can
// still take effect, and the release prevents that by raising the row's version above
// the one that the write requires.
func NeedsRelease(k Ticket, uncertain bool, s store.Row) bool {
	if s.Version == 0 {
		return uncertain
	}
	r, err := Decode(s.Value)
	if err != nil {
		return false
	}
	if r.State == Claimed {
		return r.Token == k.Token
	}
	return r.State == FailedNotRun && r.Token != k.Token && uncertain
}
