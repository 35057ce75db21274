package placement

import (
	"testing"
	"time"
)

// Results take room from the call on; it is free again when the server has confirmed.
func TestCapacity(t *testing.T) {
	b := newBench(t)
	b.only("encode-a", "model-a")
	b.submit("1", 8, mega, nil)
	b.done()
	b.want("granted", b.answers[0].Granted(), true)
	b.submit("2", 8, mega, nil)
	b.want("calls without room for all pieces", len(b.calls), 0)
	b.home.OnReport(Report{ID: "1", Server: "model-a", Status: RunStarted})
	b.take()
	b.want("frees at the first event", len(b.frees), 1)
	b.pass(25 * time.Millisecond)
	b.want("calls before the free is confirmed", len(b.calls), 0)
	b.home.OnRelease(b.frees[0].Number, MessageDone)
	b.take()
	b.want("calls after", len(b.calls), 1)
}

// Small results overtake large ones that wait for room.
func TestSmallResultsOvertake(t *testing.T) {
	b := newBench(t)
	b.only("encode-a", "model-a")
	b.submit("1", 8, mega, nil)
	b.done()
	b.submit("2", 8, mega, nil)
	b.submit("3", 1, 1000, func(a *Request) { a.Priority = 1 })
	if len(b.calls) != 1 || requests(b.calls[0]) != "3" {
		t.Errorf("got calls %v, want one with request 3", b.calls)
	}
}

// Results that could not be freed count until the server drops them by itself.
func TestResultsLapse(t *testing.T) {
	b := newBench(t)
	b.only("encode-a", "model-a")
	b.submit("1", 8, mega, nil)
	b.done()
	b.home.OnReport(Report{ID: "1", Server: "model-a", Status: RunDone})
	b.take()
	b.home.OnRelease(b.frees[0].Number, MessageFailed)
	b.take()
	b.want("frees at once after one failed", len(b.frees), 1)
	b.submit("2", 8, mega, func(a *Request) { a.Remaining, a.Goal = 20*time.Second, 10*time.Second })
	b.pass(300 * time.Millisecond)
	b.want("frees after the pause", len(b.frees), 2)
	b.home.OnRelease(b.frees[1].Number, MessageFailed)
	b.pass(4 * time.Second)
	b.want("calls after the results lapsed", len(b.calls), 1)
}

// A free to a server whose process ended is not sent again, and does not keep the server
// from work after its return.
func TestFreeToEndedServer(t *testing.T) {
	b := newBench(t)
	b.only("encode-a", "model-a")
	b.submit("1", 8, mega, nil)
	b.done()
	b.home.OnReport(Report{ID: "1", Server: "model-a", Status: RunDone})
	b.take()
	b.home.OnRelease(b.frees[0].Number, MessageRefused)
	b.take()
	b.submit("2", 8, mega, func(a *Request) { a.Remaining = 6 * time.Second })
	for range 10 {
		b.pass(100 * time.Millisecond)
	}
	b.want("frees", len(b.frees), 1)
	b.want("calls after the pause", len(b.calls), 1)
}

// The results of a server whose process ended are made again elsewhere.
func TestLostResultsAreMadeAgain(t *testing.T) {
	b := newBench(t)
	b.submit("1", 1, 1000, func(a *Request) {
		a.Stages = append(a.Stages, StageRequest{Service: "rank", After: []int{0}, ResultBytes: 1000, Tasks: 1})
	})
	first := b.done()
	rank := b.calls[0]
	b.want("next stage", rank.Server.Service, "rank")
	b.want("its input", rank.Tasks[0].Inputs[0], first.Server.Address+"/1")
	b.end(BatchDone, []TaskResult{{Status: TaskInputLost}})
	again := b.calls[0]
	b.want("made again", again.Server.Service, "encode")
	b.done()
	b.done()
	b.want("granted", b.answers[0].Granted(), true)
}

// A broken call is followed by a question that shows whether the process still runs.
func TestBrokenCallShowsCrash(t *testing.T) {
	b := newBench(t)
	b.only("encode-a", "encode-b", "model-a")
	b.submit("1", 1, 1000, nil)
	c := b.calls[0]
	b.calls = nil
	b.home.OnBatch(c.Number, BatchBroken, nil)
	w := b.home.Take()
	if len(w.Queries) != 1 || w.Queries[0].Server.ID != c.Server.ID {
		t.Fatalf("got looks %v, want one at %s", w.Queries, c.Server.ID)
	}
	if len(w.Batches) != 1 || w.Batches[0].Server.ID == c.Server.ID {
		t.Errorf("got calls %v, want the piece at the other server", w.Batches)
	}
}
