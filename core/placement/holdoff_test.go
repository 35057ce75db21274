package placement

import (
	"testing"
	"time"

	"bergamotspring/core/relay"
)

// A stage server that holds this node off gets no batch and no release until the hold-off ends. If all
// servers of a stage do for longer than a request has left, the request is refused at once.
func TestStageServerHoldOff(t *testing.T) {
	b := newHarness(t)
	b.keepServers("encode-a", "encode-b", "model-a", "model-b")
	b.submit("1", 1, 0, nil)
	held := b.batches[0].Server
	b.scheduler.HoldOff(held.Process(), time.Second)
	b.scheduler.OnBatch(b.batches[0].Number, BatchRejected, nil)
	b.collect()
	b.advance(2 * rejectedBackoff)
	b.submit("2", 1, 0, nil)
	for _, c := range b.batches[1:] {
		if c.Server.ID == held.ID {
			t.Errorf("%s got a batch during its hold-off", held.ID)
		}
	}
	b.want("batches", len(b.batches), 2)
	other := b.batches[1].Server
	b.scheduler.HoldOff(other.Process(), 10*time.Second)
	b.scheduler.HoldOff(relay.Process{ID: held.ID, StartedAt: 7}, 10*time.Second) // not this process
	b.advance(1100 * time.Millisecond)
	b.submit("3", 1, 0, nil)
	if c := b.batches[len(b.batches)-1]; c.Server.ID != held.ID {
		t.Errorf("got %s, want %s, whose hold-off has ended", c.Server.ID, held.ID)
	}
	b.scheduler.HoldOff(held.Process(), 10*time.Second)
	n := len(b.decisions)
	b.submit("4", 1, 0, nil)
	if len(b.decisions) != n+1 || b.decisions[n].Reason != ReasonLate || b.decisions[n].RetryAfter < minRetryAfter {
		t.Errorf("got %v, want a refusal at once", b.decisions[n:])
	}
	if got := b.scheduler.backlogTime("encode", rank{}); got < 8*time.Second {
		t.Errorf("got a backlog of %v, want the rest of the shorter hold-off at least", got)
	}
}

// Results are released at a server after its hold-off, unless they have expired by then.
func TestReleaseAfterHoldOff(t *testing.T) {
	for _, c := range []struct {
		held time.Duration
		want int
	}{{time.Second, 1}, {5 * time.Second, 0}} { // results are kept for 4 s
		b := newHarness(t)
		b.submit("1", 1, 1000, nil)
		s := b.completeBatch().Server
		b.scheduler.HoldOff(s.Process(), c.held)
		b.scheduler.OnReport(Report{Key: Key{ID: "1"}, Server: b.decisions[0].Server.ID, Status: RunDone})
		b.advance(c.held - time.Millisecond)
		b.want("releases during the hold-off", len(b.releases), 0)
		b.advance(time.Millisecond)
		b.want("releases after it", len(b.releases), c.want)
	}
}
