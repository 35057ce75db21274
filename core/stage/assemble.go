// Package stage decides how the stages of one request are run: how much time each may
// take, when a hedge is sent to a second server, when a silent stream counts as failed,
// how a token stream is assembled and which outcome a run has.
//
// All functions are pure; time is passed in.
package stage

// Assembler assembles the token events of one response from any number of streams, each
// of which resumes the one before. Invariant: Text holds the text of the tokens
// 0 to Next-1, each once. The zero value expects token 0.
type Assembler struct {
	Next     int    // index of the token expected next
	Text     []byte // UTF-8 text so far
	Finished bool   // the last token was seen
	Done     bool   // the last token and the end marker were seen
	Dropped  int    // duplicates
}

// TokenAction says what to do with one token event.
type TokenAction uint8

// The token actions.
const (
	Fresh     TokenAction = iota // pass it on
	Duplicate                    // drop it
	Gap                          // the stream is broken; resume at Next
)

// Accept decides on the event with the given index and, if it is Fresh, counts it.
// The caller then appends its text to Text.
func (a *Assembler) Accept(index int, last bool) TokenAction {
	if index < a.Next {
		a.Dropped++
		return Duplicate
	}
	if index > a.Next || a.Finished {
		return Gap
	}
	a.Next++
	a.Finished = last
	return Fresh
}

// End records the end marker and reports whether the response is complete.
func (a *Assembler) End() bool {
	a.Done = a.Finished
	return a.Done
}
