// Package placement decides, on the coordinator of a region, when and where model requests
// run: whether they are admitted, which tasks of their stages go into the next batch of
// which server, and which model server they get.
//
// The scheduler's state is soft: when it is lost, nodes submit their requests to the next
// coordinator, and results are computed again. Tasks, which the coordinator sends, may run
// twice; model requests must not, so only nodes send them. This file defines what
// passes between a node, the scheduler and the stage servers.
package placement

import (
	"cmp"
	"strings"
	"time"

	"bergamotspring/core/load"
	"bergamotspring/core/relay"
	"bergamotspring/core/rollout"
)

// Request is a model request to be placed. Durations count from when the scheduler received
// it.
type Request struct {
	Key
	Attempt  int    // number of earlier submissions by the node
	Service  string // of the model servers
	Stages   []StageRequest
	InputKey string          // input of the tasks of stages that follow none
	Segments []PromptSegment // of the prompt that other requests share, in order
	Tokens   int             // of prompt and response, 0: unknown
	Prompt   int             // tokens of the prompt
	// EventGap is the longest time between two events of its stream that is on time, 0: any.
	EventGap time.Duration
	Priority int // 0 is the most urgent
	// Route and Organisation are, beside the prompt group of Segments, the owners whose
	// share of service is compared, so that none is starved.
	Route        string
	Organisation string
	Goal         time.Duration // until the latency goal of the first event
	Remaining    time.Duration // until the deadline
	Regions      []string      // the only ones that may serve it; empty: all
	Avoid        []string      // IDs of servers that must not get it
	// Rule says which versions of model servers may get it. Only what Admits and Prefers use is sent. If no
	// such server is usable and AnyVersion is set, another one may be granted: the node decides whether to send there.
	Rule       rollout.Rule
	AnyVersion bool
	// HasFallback says whether another region can be asked; if so, a request that is
	// expected to miss its goal is refused.
	HasFallback bool
	// Retry says whether the request was granted before and not run. Its stored results
	// are then used again, unless InputLost is set: an input no longer existed.
	Retry     bool
	InputLost bool
	// Progress holds the results stored for it by a coordinator that stopped, and InBatches what
	// that coordinator's batches will still store for others.
	Progress  []StageProgress
	InBatches []ServerBytes
}

// Key identifies a request among those in progress.
type Key struct {
	ID    string // that the caller gave it
	Nonce uint64 // chosen by the request's node; tells apart requests that callers gave the same ID
}

func (k Key) compare(o Key) int {
	return cmp.Or(strings.Compare(k.ID, o.ID), cmp.Compare(k.Nonce, o.Nonce))
}

// StageProgress is the progress of one stage of a request.
type StageProgress struct {
	Stage    int
	Released bool // complete, used and released
	Results  []StoredResult
}

// StoredResult is a result that exists on a stage server.
type StoredResult struct {
	Index     int
	Server    string // ID
	StartedAt int64  // of the process that holds it, as in relay.Process
	Handle    string
}

// ServerBytes is the size of results at a stage server.
type ServerBytes struct {
	Server string // ID
	Bytes  int64
}

// PromptSegment is a segment of a prompt that other requests share.
type PromptSegment struct {
	Hash   uint64 // of this segment and all before it
	Tokens int
}

// StageRequest is one stage of a request.
type StageRequest struct {
	Service     string
	After       []int // indices of the stages whose results it uses
	ResultBytes int64 // of each task
	Tasks       int   // 0: the stage is left out
}

// Decision answers a Request: with a grant, or with a refusal if Server is empty.
type Decision struct {
	Key
	Attempt  int // of the request
	Server   relay.Server
	Inputs   []string // handles for the model server
	Makers   []Maker  // processes that made the inputs
	KVSource string   // address of a model server that holds more of the prompt, or empty
	Reason   string   // of a refusal
	// Outdated says that a process which made inputs has ended, as the request's node knows: they must not be read. It is
	// not sent.
	Outdated bool
	// What the decision was based on, for the coordinator's log. It is not sent to nodes.
	Waited     time.Duration // since the submission
	Running    int           // other requests at the server
	Candidates int           // usable servers
	Cost       time.Duration // predicted for the server
	MeanCost   time.Duration // of the candidates
	Held       int           // tokens of the other requests at the server
	OverShare  bool          // the request went behind others, as its organisation or route had its share
	// Progress and InBatches are set for a request that moves to the next coordinator.
	Progress  []StageProgress
	InBatches []ServerBytes
	// RetryAfter is the time after which a refused request is worth retrying.
	RetryAfter time.Duration
}

// Granted reports whether the decision is a grant.
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
	ReasonShare    = "its organisation or route has its share, and the rest is not enough"
	ReasonBusy     = "the goal would be missed here"
	ReasonNoServer = "no usable server"
	ReasonNoMemory = "no model server has the memory in time"
	ReasonFailed   = "a stage failed repeatedly"
	ReasonNoInputs = "a stage has no inputs"
	ReasonMoved    = "another node is home now"
)

// Task is one task of a batch.
type Task struct {
	RequestID string
	Stage     int
	Index     int      // of the task in its stage
	InputKey  string   // for stages without inputs from other stages
	Inputs    []string // handles, for the others
	Remaining time.Duration
	Route     string       // of the request
	Rule      rollout.Rule // under which it is sent
}

// Batch is a call to a stage server with one or more tasks.
type Batch struct {
	Number  uint64
	Server  relay.Server
	Process string // the only one that may get it, see OnProcess; empty: any
	Tasks   []Task
	Queued  int           // tasks left in the queue
	Timeout time.Duration // after which the server counts as silent
	// Weight is the expected time of the batch relative to that of a single task, by the configuration. Times of
	// batches of different sizes are compared after division by it.
	Weight float64
}

// ReleaseResults tells a server that results are no longer needed.
type ReleaseResults struct {
	Number  uint64
	Server  relay.Server
	Handles []string
}

// CapacityQuery asks a server how many bytes of results it can still store.
type CapacityQuery struct {
	Number uint64
	Server relay.Server
}

// Work is what the scheduler wants done. Batches, releases and queries are sent at once, and
// their ends are passed to OnBatch, OnRelease and OnCapacity; decisions go to the nodes, inquiries to all of them.
type Work struct {
	Progress  []ProgressReport
	Decisions []Decision
	Batches   []Batch
	Releases  []ReleaseResults
	Queries   []CapacityQuery
	Inquiries []Inquiry
	Proven    []Maker  // of which the schedulers of all nodes are to know
	Exhausted []string // IDs of model servers that crashed for want of memory
}

// ProgressReport states which results exist for a request that waits. The node of the request keeps
// it for the next coordinator, should this one crash.
type ProgressReport struct {
	Key
	Attempt  int // of the request
	Progress []StageProgress
}

// MessageStatus says how a ReleaseResults or a CapacityQuery ended.
type MessageStatus uint8

// Values of MessageStatus.
const (
	MessageDone    MessageStatus = iota
	MessageRefused               // no process of the server listens at the address
	MessageFailed                // not known whether the server got it
)

// BatchStatus says how a batch ended.
type BatchStatus uint8

// Values of BatchStatus.
const (
	BatchDone     BatchStatus = iota // the server responded with a result for each task
	BatchRejected                    // an HTTP status that promises that nothing was run
	BatchMoved                       // another server has the address
	BatchRefused                     // no process listens at the address
	BatchUnsent                      // the server could not be reached
	BatchBroken                      // no usable response: connection lost, silent, unreadable, or another status
	BatchReplaced                    // not sent: another process of the server listens at the address, or may
)

// TaskStatus says how a task ended.
type TaskStatus uint8

// Values of TaskStatus.
const (
	TaskDone       TaskStatus = iota
	TaskExpired               // its deadline had passed
	TaskInputLost             // an input no longer exists
	TaskNoCapacity            // no capacity for the result
	TaskError                 // the server failed on it
	TaskUnsent                // its batch was not sent
)

// Report tells the scheduler about the run of a granted request.
type Report struct {
	Key
	Attempt int // of the request that was granted; messages may overtake each other
	Server  string
	Status  RunStatus
	// Load is what the server reported of its load with its response, nil: nothing.
	Load *load.Report
	// Events is the number of events of a run that is done, 0: not stated.
	Events int
}

// TaskResult is the result of one task of a batch.
type TaskResult struct {
	Status TaskStatus
	Handle string // if the status is TaskDone
}

// RunStatus says how the run of a granted request goes at its model server.
type RunStatus uint8

// Values of RunStatus.
const (
	RunStarted        RunStatus = iota // the first event arrived; the inputs are no longer needed
	RunDone                            // ended well
	RunRejected                        // the server states that it did not run it
	RunNotSent                         // the server was unreachable, or another one has its address
	RunConnectionLost                  // connection lost, or server silent, after something may have been sent
	RunAbandoned                       // the caller disconnected, or the deadline passed
)
