package placement

import (
	"slices"
	"testing"
	"time"
)

// restart gives a server a new process under its ID.
func (b *harness) restart(id string) {
	for i, s := range b.servers {
		if s.ID == id {
			c := *s
			c.StartedAt++
			b.servers[i] = &c
		}
	}
	b.advance(25 * time.Millisecond)
}

// completeOn ends the batch in progress on a server, and returns its first task.
func (b *harness) completeOn(id string) Task {
	b.t.Helper()
	i := slices.IndexFunc(b.batches, func(c Batch) bool { return c.Server.ID == id })
	if i < 0 {
		b.t.Fatalf("no batch on %s in %+v", id, b.batches)
	}
	b.batches[0], b.batches[i] = b.batches[i], b.batches[0]
	return b.completeBatch().Tasks[0]
}

// wantInputs checks that a task or a granted request has n inputs, all made by running processes.
func (b *harness) wantInputs(what string, got []string, n int, lost ...string) {
	b.t.Helper()
	if len(got) != n || slices.Contains(got, "") || slices.ContainsFunc(got, func(h string) bool { return slices.Contains(lost, h) }) {
		b.t.Errorf("inputs of %s: got %q, want %d, none of %q", what, got, n, lost)
	}
}

// A task waits in a queue as the server that holds its inputs restarts: it runs once all of them
// exist again.
func TestQueuedTaskLosesInputs(t *testing.T) {
	b := newHarness(t)
	b.keepServers("encode-a", "rank-a", "model-a")
	b.submit("0", 1, 1000, func(a *Request) { a.Stages[0].Service = "rank" })
	b.submit("1", 2, mebibyte, twoStages)
	b.completeOn("encode-a")
	b.restart("encode-a")
	b.completeOn("rank-a")
	b.want("batches before the inputs exist", len(b.batches), 1)
	b.completeOn("encode-a")
	b.wantInputs("the second stage", b.completeOn("rank-a").Inputs, 2)
	b.want("decisions", len(b.decisions), 2)
}

// The server of a second stage restarts after the results of the first, from which its own was made,
// were released: the request's stages run again, also those of a request from another coordinator.
func TestLostResultOfReleasedInputs(t *testing.T) {
	for _, adopted := range []bool{false, true} {
		b := newHarness(t)
		b.keepServers("encode-a", "rank-a", "model-a")
		threeStages := func(a *Request) {
			twoStages(a)
			a.Stages = append(a.Stages, StageRequest{Service: "encode", After: []int{1}, ResultBytes: 1000, Tasks: 1})
			if adopted {
				a.Progress = []StageProgress{{Released: true}, {Stage: 1, Results: []StoredResult{{Server: "rank-a", Handle: "x"}}}}
			}
		}
		b.submit("1", 2, mebibyte, threeStages)
		var released []string
		if !adopted {
			b.completeOn("encode-a")
			released = []string{"encodea:1/1", "encodea:1/2"}
			b.completeOn("rank-a")
		}
		b.restart("rank-a")
		b.endBatch([]TaskResult{{Status: TaskError}})
		b.advance(25 * time.Millisecond)
		b.want("stage that runs", b.completeOn("encode-a").Stage, 0)
		b.wantInputs("the second stage", b.completeOn("rank-a").Inputs, 2, released...)
		b.wantInputs("the last stage", b.completeOn("encode-a").Inputs, 1, "x")
	}
}

// A request is granted again after the server with its results restarted: not with the handles that it
// had, which a new process may give to others.
func TestGrantedAgainAfterRestart(t *testing.T) {
	b := newHarness(t)
	b.keepServers("encode-a", "model-a", "model-b")
	b.submit("1", 2, mebibyte, nil)
	b.completeOn("encode-a")
	b.restart("encode-a")
	b.submit("1", 2, mebibyte, func(a *Request) { a.Attempt, a.Retry = 1, true })
	b.want("decisions before the stage ran again", len(b.decisions), 1)
	b.completeOn("encode-a")
	b.wantInputs("the second grant", b.decisions[1].Inputs, 2, b.decisions[0].Inputs...)
}

// A batch ends well after its server restarted: the results may be those of the process that ended.
func TestBatchOfEndedProcess(t *testing.T) {
	b := newHarness(t)
	b.keepServers("encode-a", "model-a")
	b.submit("1", 2, mebibyte, nil)
	b.restart("encode-a")
	b.completeBatch()
	b.want("decisions", len(b.decisions), 0)
	b.completeOn("encode-a")
	b.wantInputs("the grant", b.decisions[0].Inputs, 2, "encodea:1/1", "encodea:1/2")
}

// The entry of a server with results, of some size or none, vanishes, and returns with a new process: the results are
// made again.
func TestServerReturnsWithNewProcess(t *testing.T) {
	for _, bytes := range []int64{mebibyte, 0} {
		b := newHarness(t)
		b.keepServers("encode-a", "rank-a", "model-a")
		b.submit("0", 1, 1000, func(a *Request) { a.Stages[0].Service = "rank" })
		b.submit("1", 2, bytes, twoStages)
		b.completeOn("encode-a")
		all := slices.Clone(b.servers)
		b.keepServers("rank-a", "model-a")
		b.advance(25 * time.Millisecond)
		b.servers = all
		b.restart("encode-a")
		b.completeOn("rank-a")
		b.want("stage that runs", b.completeOn("encode-a").Stage, 0)
		b.wantInputs("the second stage", b.completeOn("rank-a").Inputs, 2, "encodea:1/2", "encodea:1/1")
	}
}

// Two requests in progress have the same id, against the rules: none is granted with the results of the other, or
// where only the other may run.
func TestRepeatedID(t *testing.T) {
	b := newHarness(t)
	b.keepServers("encode-a", "model-a", "model-b")
	b.submit("1", 2, mebibyte, nil)
	b.completeOn("encode-a")
	b.submit("1", 2, mebibyte, func(a *Request) { a.InputKey = "another" })
	b.completeOn("encode-a")
	b.submit("1", 2, mebibyte, func(a *Request) { a.Attempt, a.Retry = 1, true })
	b.completeOn("encode-a")
	b.wantInputs("the first request's second grant", b.decisions[2].Inputs, 2, b.decisions[1].Inputs...)

	b = newHarness(t)
	b.keepServers("rank-a", "model-a", "model-b")
	b.submit("1", 0, 0, nil)
	b.submit("1", 0, 0, func(a *Request) { a.Service = "rank" })
	b.submit("1", 0, 0, func(a *Request) { a.Attempt, a.Retry = 1, true })
	b.want("service of the first request's second grant", b.decisions[2].Server.Service, "model")
}

// A report on the run of one of two requests with the same id does not end the other, which still waits.
func TestReportOfRepeatedID(t *testing.T) {
	for _, e := range []RunStatus{RunStarted, RunDone} {
		b := newHarness(t)
		b.keepServers("encode-a", "model-a")
		b.submit("1", 0, 0, nil)
		b.submit("1", 2, mebibyte, nil)
		b.scheduler.OnReport(Report{Key: Key{ID: "1"}, Server: b.decisions[0].Server.ID, Status: e})
		b.completeOn("encode-a")
		b.want("decisions", len(b.decisions), 2)
	}
}

// A request that its node gives up without naming a server is dropped, whether it waits or was granted.
func TestAbandonedRequest(t *testing.T) {
	for _, tasks := range []int{0, 2} {
		b := newHarness(t)
		b.keepServers("encode-a", "model-a")
		b.submit("1", tasks, mebibyte, nil)
		b.scheduler.OnReport(Report{Key: Key{ID: "1"}, Status: RunAbandoned})
		b.want("jobs", len(b.scheduler.jobs), 0)
	}
}

// A batch ends after its server restarted, as the process that had it refuses connections: the results of the next
// process stay known, and are lost with it.
func TestLateEndOfBatchOfEndedProcess(t *testing.T) {
	b := newHarness(t)
	b.keepServers("encode-a", "rank-a", "model-a")
	b.submit("0", 1, 1000, func(a *Request) { a.Stages[0].Service = "rank" })
	b.submit("1", 1, 1000, nil)
	late := b.batches[1]
	b.batches = b.batches[:1]
	b.restart("encode-a")
	b.submit("2", 2, mebibyte, twoStages)
	b.completeOn("encode-a")
	b.scheduler.OnBatch(late.Number, BatchRefused, nil)
	b.collect()
	b.restart("encode-a")
	b.completeOn("rank-a")
	b.completeOn("encode-a") // request 1
	b.completeOn("encode-a")
	b.wantInputs("the second stage", b.completeOn("rank-a").Inputs, 2, "encodea:1/1", "encodea:1/2")
}

// A caller leaves out the stage whose results the next one uses: no task runs without inputs.
func TestStageWithoutInputs(t *testing.T) {
	b := newHarness(t)
	b.submit("1", 0, mebibyte, twoStages)
	b.want("batches", len(b.batches), 0)
	if len(b.decisions) != 1 || b.decisions[0].Reason != ReasonNoInputs {
		t.Errorf("got %+v, want a refusal", b.decisions)
	}
}
