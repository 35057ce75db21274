// Package stage decides how the stages of one request are run: how much time each
// may take, when a copy is sent to a second server, when silence counts as a
// failure, how a token stream is put together and which outcome a run has.
//
// All functions are pure; time is passed in.
package stage

// Assembler puts together the token events of one answer, over any number of
// streams that resume one another. Invariant: Text holds the text of the tokens
// 0 to Next-1, each once. The zero value expects token 0.
type Assembler struct {
	Next     int    // index of the token expected next
	Text     []byte // UTF-8 text so far
	Finished bool   // the last token was seen
	Done     bool   // the last token and the end marker were seen
	Dropped  int    // duplicates
}

// TokenAction is what to do with one token event.
type TokenAction uint8

// The verdicts.
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

// End takes the end marker. It reports whether the answer is whole.
func (a *Assembler) End() bool {
	a.Done = a.Finished
	return a.Done
}
