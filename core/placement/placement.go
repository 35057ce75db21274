// Package placement decides, at the home of a region, when and where model requests run:
// whether they are admitted, which pieces of their stages go into the next call of
// which server, and which model server they get.
//
// The home's state is soft: when it is lost, nodes ask the next home and pieces are
// made again. Only nodes send requests that must not run twice. This file defines
// what passes between a node, the home and the servers of stages.
package placement

import (
	"time"

	"bergamotspring/core/relay"
)

// Request is a model request that wants a place. Durations count from when the home got it.
type Request struct {
	ID       string // request id; unique among the requests in progress
	Attempt  int    // how often the node has asked for it before
	Service  string // of model servers
	Stages   []StageRequest
	InputKey string          // that pieces without inputs are made from
	Segments []PromptSegment // of the prompt that other requests share, in order
	Tokens   int             // prompt and answer
	Priority int             // 0 is the most urgent
	// Route and Organisation are whose service is compared, so that nobody is starved.
	Route        string
	Organisation string
	Goal         time.Duration
	Remaining    time.Duration
	Regions      []string // the only ones that may serve it; empty: all
	Avoid        []string // ids of servers that do not take it
	// HasFallback says that another region can be asked, so that a request which is
	// expected to miss its goal is refused.
	HasFallback bool
	// Retry says that the request was placed before and not run; what was made for it is
	// used again, unless InputLost says that an input did not exist any more.
	Retry     bool
	InputLost bool
	// Progress is what a home that stopped had made for it.
	Progress []StageProgress
}

// StageProgress is what a home has made of one stage of a request.
type StageProgress struct {
	Stage    int
	Released bool // all was made, used and freed
	Results  []StoredResult
}

// StoredResult is a result that exists.
type StoredResult struct {
	Index  int
	Server string // id
	Handle string
}

// PromptSegment is a part of a prompt that other requests share.
type PromptSegment struct {
	Hash   uint64 // of this part and all before it
	Tokens int
}

// StageRequest is one stage of a request.
type StageRequest struct {
	Service     string
	After       []int
	ResultBytes int64
	Tasks       int // 0: the stage is left out
}

// Decision ends a Request: with a grant, or with a refusal if Server is empty.
type Decision struct {
	ID       string
	Attempt  int // of the ask
	Server   relay.Server
	Inputs   []string // handles for the model server
	KVSource string   // address of a model server that has more of the prompt, or empty
	Reason   string   // of a refusal
	// What decided, for the log of the home; nodes are not told Candidates, Load and Mean.
	Waited     time.Duration   // from the ask
	Running    int             // other requests at the server
	Candidates int             // usable servers
	Load       float64         // of the server
	Mean       float64         // load of the candidates
	Progress   []StageProgress // of a request that moves to the next home
	// RetryAfter is the time after which a refused request is worth sending again.
	RetryAfter time.Duration
}

// Granted reports whether the answer is a grant.
func (a *Decision) Granted() bool { return a.Server.ID != "" }

// ResultCount returns the number of results that move with a request.
func (a *Decision) ResultCount() int {
	n := 0
	for _, m := range a.Progress {
		n += len(m.Results)
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

// Task is one item of a call to a server of a stage.
type Task struct {
	Request   string
	Stage     int
	Index     int      // of the piece in its stage
	InputKey  string   // for stages that need no results
	Inputs    []string // handles, for the others
	Remaining time.Duration
}

// Batch is a call to a server of a stage.
type Batch struct {
	Number  uint64
	Server  relay.Server
	Tasks   []Task
	Queued  int           // pieces that stay in the queue
	Timeout time.Duration // after which the server counts as silent
}

// ReleaseResults tells a server that results are not needed any more.
type ReleaseResults struct {
	Number  uint64
	Server  relay.Server
	Handles []string
}

// CapacityQuery asks a server how much room for results it has.
type CapacityQuery struct {
	Number uint64
	Server relay.Server
}

// Work is what the home wants done: calls, frees and looks are sent at once and reported
// by OnBatch, OnRelease and OnCapacity; answers go to the nodes.
type Work struct {
	Decisions []Decision
	Batches   []Batch
	Releases  []ReleaseResults
	Queries   []CapacityQuery
}

// MessageStatus says how a ReleaseResults or a CapacityQuery ended.
type MessageStatus uint8

// The ends of a message.
const (
	MessageDone    MessageStatus = iota
	MessageRefused               // no process of the server listens at the address
	MessageFailed                // not known whether it was taken
)

// BatchStatus says how a call ended.
type BatchStatus uint8

// The ends of a call.
const (
	BatchDone     BatchStatus = iota // answered, see the pieces
	BatchRejected                    // the server states that nothing was done
	BatchMoved                       // another server has the address
	BatchRefused                     // no process listens at the address
	BatchBroken                      // no connection, cut off or silent
)

// TaskStatus says what became of a piece.
type TaskStatus uint8

// The ends of a piece.
const (
	TaskDone       TaskStatus = iota
	TaskExpired               // its time had passed
	TaskInputLost             // an input no longer exists
	TaskNoCapacity            // no room for the result
	TaskError                 // the server failed on it
)

// Report tells the home how a request that it placed goes on.
type Report struct {
	ID      string
	Attempt int // of the ask that it was placed by; messages may overtake each other
	Server  string
	Status  RunStatus
}

// TaskResult is the answer to one piece.
type TaskResult struct {
	Status TaskStatus
	Handle string // if made
}

// RunStatus says how a granted request ended at its model server.
type RunStatus uint8

// The ends of a run.
const (
	RunStarted        RunStatus = iota // the first event came; the inputs are not needed any more
	RunDone                            // ended well
	RunRejected                        // the server states that it did not run it
	RunNotSent                         // it could not be reached, or another server has its address
	RunConnectionLost                  // no connection, cut off or silent
	RunAbandoned                       // the caller left, or the time limit passed
)
