package placement

// This file defines a job and its stages.

import (
	"slices"
	"time"

	"bergamotspring/core/rollout"
)

// job is a request from its submission until its run has ended.
type job struct {
	request     Request
	arrived     time.Time
	goal        time.Time
	deadline    time.Time
	stages      []*jobStage
	domain      string // failure domain of the model server expected to run it
	taskRetries int
	// admittedLate says that the job was expected to miss its goal behind the backlog, and
	// still is.
	admittedLate bool
	judged       bool         // against the share of its owner, see shares.go
	rank         rank         // its priority is that of the request, or starvedPriority if an owner is starved
	counted      bool         // counted as served in fairness
	handingOver  bool         // it moves to the next coordinator once none of its tasks is in a batch
	granted      *modelServer // nil until granted
	grant        grantState   // of its run at granted
	memorySince  time.Time    // since when it waits for the memory of a model server; zero: it does not
	reads        reads        // of its inputs by the model server
}

// jobStage is the progress of one stage of a job.
type jobStage struct {
	index     int
	request   *StageRequest
	tasks     []*task
	remaining int // tasks without a result
	inBatch   int // tasks in batches
	released  bool
	started   bool // its tasks are queued
}

// task is one task of one stage of a job.
type task struct {
	job         *job
	stage       *jobStage
	index       int // in its stage
	queuedAt    time.Time
	stageServer *stageServer // that runs it or stores its result
	handle      string
	rule        rollout.Rule // under which it was sent last
}

// complete reports whether all results of a job exist.
func (j *job) complete() bool {
	return !slices.ContainsFunc(j.stages, func(s *jobStage) bool { return s.remaining > 0 })
}

// ready reports whether all inputs of a stage exist.
func (j *job) ready(s *jobStage) bool {
	for _, n := range s.request.After {
		if n >= 0 && n < len(j.stages) && (j.stages[n].remaining > 0 || j.stages[n].released) {
			return false
		}
	}
	return true
}

// needsReleased reports whether a result has to be made, or made again, from results that were released.
func (j *job) needsReleased() bool {
	return slices.ContainsFunc(j.stages, func(s *jobStage) bool {
		return s.remaining > 0 && slices.ContainsFunc(s.request.After, func(n int) bool { return n >= 0 && n < len(j.stages) && j.stages[n].released })
	})
}

// leafHandles returns the handles of the results that no other stage uses.
func (j *job) leafHandles() []string {
	var l []string
	for n, s := range j.stages {
		if !j.hasFollower(n) {
			l = append(l, s.handles()...)
		}
	}
	return l
}

// leafBytes returns the size of the results that no other stage uses.
func (j *job) leafBytes() int64 {
	n := int64(0)
	for i, s := range j.stages {
		if !j.hasFollower(i) {
			n += int64(s.request.Tasks) * s.request.ResultBytes
		}
	}
	return n
}

// hasFollower reports whether another stage needs the results of stage n.
func (j *job) hasFollower(n int) bool {
	return slices.ContainsFunc(j.stages, func(f *jobStage) bool { return slices.Contains(f.request.After, n) })
}

func (s *jobStage) handles() []string {
	l := make([]string, 0, len(s.tasks))
	for _, p := range s.tasks {
		l = append(l, p.handle)
	}
	return l
}

// lacksInputs reports whether the caller left out all stages whose results another one uses.
func (a *Request) lacksInputs() bool {
	return slices.ContainsFunc(a.Stages, func(s StageRequest) bool {
		return s.Tasks > 0 && len(s.After) > 0 && !slices.ContainsFunc(s.After, func(n int) bool {
			return n >= 0 && n < len(a.Stages) && a.Stages[n].Tasks > 0
		})
	})
}

// isRetriedBy reports whether b may be a retry of a, which has the same ID: its stages have the same results, and the
// same servers may run it.
func (a *Request) isRetriedBy(b *Request) bool {
	return a.Service == b.Service && slices.Equal(a.Regions, b.Regions) && a.InputKey == b.InputKey &&
		slices.EqualFunc(a.Stages, b.Stages, func(s, t StageRequest) bool {
			return s.Service == t.Service && s.Tasks == t.Tasks && slices.Equal(s.After, t.After)
		})
}

// isGranted reports whether the job was granted on a server.
func (j *job) isGranted(server string) bool { return j.granted != nil && j.granted.server.ID == server }

// lost reports whether the process that holds one of the results has ended.
func (s *jobStage) lost() bool {
	return slices.ContainsFunc(s.tasks, func(p *task) bool { return p.stageServer != nil && p.stageServer.lost })
}

// toTask returns what a batch holds of a task.
func (p *task) toTask(now time.Time) Task {
	i := Task{
		RequestID: p.job.request.ID, Stage: p.stage.index, Index: p.index, Remaining: p.job.deadline.Sub(now), Route: p.job.request.Route, Rule: p.rule,
	}
	if len(p.stage.request.After) == 0 {
		i.InputKey = p.job.request.InputKey
		return i
	}
	for _, n := range p.stage.request.After {
		i.Inputs = append(i.Inputs, p.job.stages[n].handles()...)
	}
	return i
}
