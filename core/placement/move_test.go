package placement

import (
	"slices"
	"testing"
	"time"
)

// twoStages asks for a place with pieces of two stages.
func twoStages(a *Request) {
	a.Stages = append(a.Stages, StageRequest{Service: "rank", After: []int{0}, ResultBytes: 1000, Tasks: 1})
}

// moved ends the calls in progress at a home that leaves and returns what it answers.
func moved(t *testing.T, b *bench, ends ...TaskStatus) Decision {
	t.Helper()
	b.home.HandOver()
	b.take()
	for i, e := range ends {
		if len(b.answers) > 0 {
			t.Errorf("answered while call %d is in progress: %+v", i, b.answers)
		}
		l := make([]TaskResult, len(b.calls[0].Tasks))
		for j := range l {
			l[j] = TaskResult{Status: e}
			if e == TaskDone {
				l[j].Handle = "late"
			}
		}
		b.end(BatchDone, l)
	}
	if len(b.answers) != 1 || b.answers[0].Reason != ReasonMoved {
		t.Fatalf("got %+v, want one request that moves", b.answers)
	}
	return b.answers[0]
}

// A request moves with its results to the next home, which makes what is left and counts
// the room; the one that stopped frees and calls nothing for it.
func TestMove(t *testing.T) {
	for _, c := range []struct {
		name string
		last TaskStatus // of the second call, in progress as the home stops
		made int
	}{
		{"a call ends well", TaskDone, 12},
		{"a call fails", TaskError, 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			old, next := newBench(t), newBench(t)
			for _, b := range []*bench{old, next} {
				b.only("encode-a", "rank-a", "model-a")
			}
			old.submit("1", 12, mega, twoStages)
			old.done()
			a := moved(t, old, c.last)
			old.want("results that move", a.ResultCount(), c.made)
			old.want("frees by the home that stopped", len(old.frees), 0)
			old.pass(time.Second)
			old.want("calls by the home that stopped", len(old.calls), 0)

			next.submit("1", 12, mega, func(x *Request) { twoStages(x); x.Progress = a.Progress })
			next.want("bytes reserved at the next home", next.home.pools["encode"].stageServers["encode-a"].reserved, int64(12*mega))
			if c.made < 12 {
				next.want("pieces that it makes", len(next.done().Tasks), 12-c.made)
			}
			next.want("its next call", next.calls[0].Server.ID, "rank-a")
			if got := len(next.calls[0].Tasks[0].Inputs); got != 12 || slices.Contains(next.calls[0].Tasks[0].Inputs, "") {
				t.Errorf("got inputs %q, want 12", next.calls[0].Tasks[0].Inputs)
			}
			next.done()
			if len(next.answers) != 1 || !next.answers[0].Granted() {
				t.Errorf("got %+v, want a grant", next.answers)
			}
		})
	}
}

// A stage whose results were used and freed is not made again, and one that needs nothing
// more is granted by the home that stops.
func TestMoveLate(t *testing.T) {
	b := newBench(t)
	b.only("encode-a", "rank-a", "model-a")
	third := func(a *Request) {
		twoStages(a)
		a.Stages = append(a.Stages, StageRequest{Service: "encode", After: []int{1}, ResultBytes: 1000, Tasks: 1})
	}
	b.submit("1", 2, mega, third)
	b.done()
	b.done()
	a := moved(t, b, TaskError)
	if len(a.Progress) != 2 || !a.Progress[0].Released || len(a.Progress[1].Results) != 1 {
		t.Fatalf("got %+v, want a stage that was used and one result", a.Progress)
	}
	next := newBench(t)
	next.only("encode-a", "rank-a", "model-a")
	next.submit("1", 2, mega, func(x *Request) { third(x); x.Progress = a.Progress })
	next.want("calls", len(next.calls), 1)
	next.want("inputs of the last stage", next.calls[0].Tasks[0].Inputs[0], a.Progress[1].Results[0].Handle)

	last := newBench(t)
	last.only("encode-a", "model-a")
	last.submit("2", 2, mega, nil)
	last.home.HandOver()
	last.take()
	last.done()
	if len(last.answers) != 1 || !last.answers[0].Granted() {
		t.Errorf("got %+v, want a grant of what was complete", last.answers)
	}
}

// Results at servers that the next home does not know are made again, and nonsense does no harm.
func TestAdoptUnknown(t *testing.T) {
	b := newBench(t)
	b.only("encode-a", "model-a")
	b.submit("1", 2, mega, func(a *Request) {
		a.Progress = []StageProgress{{Stage: 7}, {Stage: -1}, {Stage: 0, Results: []StoredResult{{Index: 0, Server: "gone", Handle: "x"}, {Index: 9, Server: "encode-a", Handle: "y"}}}}
	})
	b.want("pieces that are made", len(b.done().Tasks), 2)
	b.want("answers", len(b.answers), 1)
}
