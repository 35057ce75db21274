// Package place decides, at the home of a region, when and where model requests run:
// whether they are admitted, which pieces of their stages go into the next call of
// which server, and which model server they get.
//
// The home's state is soft: when it is lost, nodes ask the next home and pieces are
// made again. Only nodes send requests that must not run twice. This file defines
// what passes between a node, the home and the servers of stages.
package place

import (
	"time"

	"bergamotspring/core/relay"
)

// Ask is a model request that wants a place. Durations count from when the home got it.
type Ask struct {
	ID      string // request id; unique among the requests in progress
	Try     int    // how often the node has asked for it before
	Service string // of model servers
	Stages  []StageAsk
	Key     string // that pieces without inputs are made from
	Parts   []Part // of the prompt that other requests share, in order
	Tokens  int    // prompt and answer
	Rank    int    // 0 is the most urgent
	// Route and Organisation are whose service is compared, so that nobody is starved.
	Route        string
	Organisation string
	Goal         time.Duration
	Left         time.Duration
	Regions      []string // the only ones that may serve it; empty: all
	Avoid        []string // ids of servers that do not take it
	// Elsewhere says that another region can be asked, so that a request which is
	// expected to miss its goal is refused.
	Elsewhere bool
	// Again says that the request was placed before and not run; what was made for it is
	// used again, unless Gone says that an input did not exist any more.
	Again bool
	Gone  bool
	// Made is what a home that stopped had made for it.
	Made []MadeStage
}

// MadeStage is what a home has made of one stage of a request.
type MadeStage struct {
	Stage    int
	Released bool // all was made, used and freed
	Pieces   []MadePiece
}

// MadePiece is a result that exists.
type MadePiece struct {
	Index  int
	Server string // id
	Handle string
}

// Part is a part of a prompt that other requests share.
type Part struct {
	Hash   uint64 // of this part and all before it
	Tokens int
}

// StageAsk is one stage of a request.
type StageAsk struct {
	Service     string
	After       []int
	ResultBytes int64
	Pieces      int // 0: the stage is left out
}

// Answer ends an Ask: with a grant, or with a refusal if Server is empty.
type Answer struct {
	ID     string
	Try    int // of the ask
	Server relay.Server
	Inputs []string // handles for the model server
	Fetch  string   // address of a model server that has more of the prompt, or empty
	Reason string   // of a refusal
	// What decided, for the log of the home; nodes are not told Candidates, Load and Mean.
	Waited     time.Duration // from the ask
	Running    int           // other requests at the server
	Candidates int           // usable servers
	Load       float64       // of the server
	Mean       float64       // load of the candidates
	Made       []MadeStage   // of a request that moves to the next home
	// RetryAfter is the time after which a refused request is worth sending again.
	RetryAfter time.Duration
}

// Granted reports whether the answer is a grant.
func (a *Answer) Granted() bool { return a.Server.ID != "" }

// Results returns the number of results that move with a request.
func (a *Answer) Results() int {
	n := 0
	for _, m := range a.Made {
		n += len(m.Pieces)
	}
	return n
}

// Reasons of refusals.
const (
	ReasonLate     = "the stages would end after the time limit"
	ReasonBusy     = "the goal would be missed here"
	ReasonNoServer = "no usable server"
	ReasonFailed   = "a stage failed repeatedly"
	ReasonMoved    = "another node is home now"
)

// Piece is one item of a call to a server of a stage.
type Piece struct {
	Request string
	Stage   int
	Index   int      // of the piece in its stage
	Key     string   // for stages that need no results
	Inputs  []string // handles, for the others
	Left    time.Duration
}

// Call is a call to a server of a stage.
type Call struct {
	Number  uint64
	Server  relay.Server
	Pieces  []Piece
	Waiting int           // pieces that stay in the queue
	Timeout time.Duration // after which the server counts as silent
}

// Free tells a server that results are not needed any more.
type Free struct {
	Number  uint64
	Server  relay.Server
	Handles []string
}

// Look asks a server how much room for results it has.
type Look struct {
	Number uint64
	Server relay.Server
}

// Work is what the home wants done: calls, frees and looks are sent at once and reported
// by Called, Freed and Looked; answers go to the nodes.
type Work struct {
	Answers []Answer
	Calls   []Call
	Frees   []Free
	Looks   []Look
}

// MessageEnd says how a Free or a Look ended.
type MessageEnd uint8

// The ends of a message.
const (
	MessageDone    MessageEnd = iota
	MessageRefused            // no process of the server listens at the address
	MessageFailed             // not known whether it was taken
)

// CallEnd says how a call ended.
type CallEnd uint8

// The ends of a call.
const (
	CallDone     CallEnd = iota // answered, see the pieces
	CallRejected                // the server states that nothing was done
	CallMoved                   // another server has the address
	CallRefused                 // no process listens at the address
	CallBroken                  // no connection, cut off or silent
)

// PieceEnd says what became of a piece.
type PieceEnd uint8

// The ends of a piece.
const (
	PieceMade  PieceEnd = iota
	PieceLate           // its time had passed
	PieceGone           // an input no longer exists
	PieceRoom           // no room for the result
	PieceError          // the server failed on it
)

// Report tells the home how a request that it placed goes on.
type Report struct {
	ID     string
	Try    int // of the ask that it was placed by; messages may overtake each other
	Server string
	End    RunEnd
}

// PieceResult is the answer to one piece.
type PieceResult struct {
	End    PieceEnd
	Handle string // if made
}

// RunEnd says how a granted request ended at its model server.
type RunEnd uint8

// The ends of a run.
const (
	RunStarted  RunEnd = iota // the first event came; the inputs are not needed any more
	RunDone                   // ended well
	RunRejected               // the server states that it did not run it
	RunUnsent                 // it could not be reached, or another server has its address
	RunBroken                 // no connection, cut off or silent
	RunLeft                   // the caller left, or the time limit passed
)
