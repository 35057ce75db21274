package placement

import (
	"slices"
	"testing"
	"time"
)

// twoStages adds a second stage to a request.
func twoStages(a *Request) {
	a.Stages = append(a.Stages, StageRequest{Service: "rank", After: []int{0}, ResultBytes: 1000, Tasks: 1})
}

// handOver ends the batches in progress at a scheduler that hands over and returns its
// decision.
func handOver(t *testing.T, b *harness, ends ...TaskStatus) Decision {
	t.Helper()
	b.scheduler.HandOver()
	b.collect()
	for i, e := range ends {
		if len(b.decisions) > 0 {
			t.Errorf("decided while batch %d is in progress: %+v", i, b.decisions)
		}
		l := make([]TaskResult, len(b.batches[0].Tasks))
		for j := range l {
			l[j] = TaskResult{Status: e}
			if e == TaskDone {
				l[j].Handle = "late"
			}
		}
		b.endBatch(l)
	}
	if len(b.decisions) != 1 || b.decisions[0].Reason != ReasonMoved {
		t.Fatalf("got %+v, want one request that moves", b.decisions)
	}
	return b.decisions[0]
}

// A request moves with its results to the next coordinator, which computes what is missing
// and reserves the capacity; the coordinator that stopped sends no release and no batch
// for it any more.
func TestHandOver(t *testing.T) {
	for _, c := range []struct {
		name    string
		last    TaskStatus // of the second batch, in progress as the scheduler stops
		results int
	}{
		{"a batch ends well", TaskDone, 12},
		{"a batch fails", TaskError, 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			old, next := newHarness(t), newHarness(t)
			for _, b := range []*harness{old, next} {
				b.keepServers("encode-a", "rank-a", "model-a")
			}
			old.submit("1", 12, mebibyte, twoStages)
			old.completeBatch()
			a := handOver(t, old, c.last)
			old.want("results that move", a.ResultCount(), c.results)
			old.want("releases by the scheduler that stopped", len(old.releases), 0)
			old.advance(time.Second)
			old.want("batches by the scheduler that stopped", len(old.batches), 0)

			next.submit("1", 12, mebibyte, func(x *Request) { twoStages(x); x.Progress = a.Progress })
			next.want("bytes reserved at the next scheduler", next.scheduler.pools["encode"].stageServers["encode-a"].reserved, int64(12*mebibyte))
			if c.results < 12 {
				next.want("tasks that it runs", len(next.completeBatch().Tasks), 12-c.results)
			}
			next.want("its next batch", next.batches[0].Server.ID, "rank-a")
			if got := len(next.batches[0].Tasks[0].Inputs); got != 12 || slices.Contains(next.batches[0].Tasks[0].Inputs, "") {
				t.Errorf("got inputs %q, want 12", next.batches[0].Tasks[0].Inputs)
			}
			next.completeBatch()
			if len(next.decisions) != 1 || !next.decisions[0].Granted() {
				t.Errorf("got %+v, want a grant", next.decisions)
			}
		})
	}
}

// A request moves while a batch of another one is in progress: the next coordinator leaves room for
// what that batch stores, until those results are its own.
func TestHandOverDuringBatch(t *testing.T) {
	old, next := newHarness(t), newHarness(t)
	for _, b := range []*harness{old, next} {
		b.keepServers("encode-a", "model-a")
	}
	old.submit("1", 8, mebibyte, nil)
	old.submit("2", 8, mebibyte, nil)
	old.scheduler.HandOver()
	old.collect()
	if len(old.decisions) != 1 || old.decisions[0].ID != "2" {
		t.Fatalf("got %+v, want request 2 to move at once", old.decisions)
	}
	next.submit("2", 8, mebibyte, func(a *Request) { a.InBatches = old.decisions[0].InBatches })
	next.want("batches, as 4 of 12 MiB are left", len(next.batches), 0)
	next.submit("1", 8, mebibyte, func(a *Request) {
		a.Progress = []StageProgress{{Results: []StoredResult{{Server: "encode-a", Handle: "x"}}}}
	})
	s := next.scheduler.pools["encode"].stageServers["encode-a"]
	next.want("bytes of the old batch that are left", s.expectedBytes, int64(7*mebibyte))
	next.advance(inBatchTime)
	next.want("bytes left free when the batch must have ended", s.capacity(next.config.Services["encode"].Batching, next.now)+s.reserved, int64(12*mebibyte))
}

// A stage whose results were used and released is not run again, and a request whose
// stages are complete is granted by the scheduler that stops.
func TestHandOverLastStages(t *testing.T) {
	b := newHarness(t)
	b.keepServers("encode-a", "rank-a", "model-a")
	threeStages := func(a *Request) {
		twoStages(a)
		a.Stages = append(a.Stages, StageRequest{Service: "encode", After: []int{1}, ResultBytes: 1000, Tasks: 1})
	}
	b.submit("1", 2, mebibyte, threeStages)
	b.completeBatch()
	b.completeBatch()
	a := handOver(t, b, TaskError)
	if len(a.Progress) != 2 || !a.Progress[0].Released || len(a.Progress[1].Results) != 1 {
		t.Fatalf("got %+v, want a stage that was used and one result", a.Progress)
	}
	next := newHarness(t)
	next.keepServers("encode-a", "rank-a", "model-a")
	next.submit("1", 2, mebibyte, func(x *Request) { threeStages(x); x.Progress = a.Progress })
	next.want("batches", len(next.batches), 1)
	next.want("inputs of the last stage", next.batches[0].Tasks[0].Inputs[0], a.Progress[1].Results[0].Handle)

	last := newHarness(t)
	last.keepServers("encode-a", "model-a")
	last.submit("2", 2, mebibyte, nil)
	last.scheduler.HandOver()
	last.collect()
	last.completeBatch()
	if len(last.decisions) != 1 || !last.decisions[0].Granted() {
		t.Errorf("got %+v, want a grant of the complete request", last.decisions)
	}
}

// A result at a server that the next coordinator does not know has to be made again, but the results
// from which it was made are released: all stages are run again, and what is left is released.
func TestAdoptWithoutInputs(t *testing.T) {
	b := newHarness(t)
	b.keepServers("encode-a", "rank-a", "model-a")
	b.submit("1", 2, mebibyte, func(a *Request) {
		twoStages(a)
		a.Stages = append(a.Stages, StageRequest{Service: "encode", ResultBytes: 1000, Tasks: 1})
		a.Progress = []StageProgress{
			{Stage: 0, Released: true},
			{Stage: 1, Results: []StoredResult{{Server: "gone", Handle: "x"}}},
			{Stage: 2, Results: []StoredResult{{Server: "encode-a", Handle: "y"}}},
		}
	})
	for len(b.decisions) == 0 {
		for _, x := range b.completeBatch().Tasks {
			if x.Stage == 1 && len(x.Inputs) != 2 {
				t.Errorf("got inputs %q of the second stage, want 2", x.Inputs)
			}
		}
	}
	if len(b.releases) == 0 || !slices.Equal(b.releases[0].Handles, []string{"y"}) {
		t.Errorf("got releases %+v, want y first", b.releases)
	}
}

// Results at servers that the next coordinator does not know are computed again, and invalid
// progress is ignored.
func TestAdoptUnknown(t *testing.T) {
	b := newHarness(t)
	b.keepServers("encode-a", "model-a")
	b.submit("1", 2, mebibyte, func(a *Request) {
		a.Progress = []StageProgress{{Stage: 7}, {Stage: -1}, {Stage: 0, Results: []StoredResult{{Index: 0, Server: "gone", Handle: "x"}, {Index: 9, Server: "encode-a", Handle: "y"}}}}
	})
	b.want("tasks that are run", len(b.completeBatch().Tasks), 2)
	b.want("decisions", len(b.decisions), 1)
}

// A server loses its results while their request moves: the scheduler that stops does not make them again.
func TestHandOverOfLostResults(t *testing.T) {
	b := newHarness(t)
	b.keepServers("encode-a", "model-a")
	b.submit("1", 12, mebibyte, nil)
	b.completeBatch()
	b.scheduler.HandOver()
	b.restart("encode-a")
	b.want("batches in progress", len(b.batches), 1)
	b.endBatch(make([]TaskResult, 4))
	b.advance(time.Second)
	b.want("later batches", len(b.batches), 0)
	if len(b.decisions) != 1 || b.decisions[0].Reason != ReasonMoved || b.decisions[0].ResultCount() != 0 {
		t.Errorf("got %+v, want a request that moves without results", b.decisions)
	}
}

// A server with results of a request starts again before the next coordinator takes the request over: the results
// are made again.
func TestAdoptAfterRestart(t *testing.T) {
	old, next := newHarness(t), newHarness(t)
	for _, b := range []*harness{old, next} {
		b.keepServers("encode-a", "rank-a", "model-a")
	}
	old.submit("1", 12, mebibyte, nil)
	made := old.completeBatch()
	a := handOver(t, old, TaskError)
	next.restart("encode-a")
	next.submit("1", 12, mebibyte, func(x *Request) { x.Progress = a.Progress })
	next.want("first tasks that run again", len(next.completeBatch().Tasks), len(made.Tasks))
}
