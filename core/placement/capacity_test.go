package placement

import (
	"testing"
	"time"
)

// Results reserve capacity from the start of their batch until the server confirms the
// release.
func TestCapacity(t *testing.T) {
	b := newHarness(t)
	b.keepServers("encode-a", "model-a")
	b.submit("1", 8, mebibyte, nil)
	b.completeBatch()
	b.want("granted", b.decisions[0].Granted(), true)
	b.submit("2", 8, mebibyte, nil)
	b.want("batches without capacity for all tasks", len(b.batches), 0)
	b.scheduler.OnReport(Report{Key: Key{ID: "1"}, Server: "model-a", Status: RunStarted})
	b.collect()
	b.want("releases at the first event", len(b.releases), 1)
	b.advance(25 * time.Millisecond)
	b.want("batches before the release is confirmed", len(b.batches), 0)
	b.scheduler.OnRelease(b.releases[0].Number, MessageDone)
	b.collect()
	b.want("batches after", len(b.batches), 1)
}

// Small results overtake large ones that wait for capacity.
func TestSmallResultsOvertake(t *testing.T) {
	b := newHarness(t)
	b.keepServers("encode-a", "model-a")
	b.submit("1", 8, mebibyte, nil)
	b.completeBatch()
	b.submit("2", 8, mebibyte, nil)
	b.submit("3", 1, 1000, func(a *Request) { a.Priority = 1 })
	if len(b.batches) != 1 || requests(b.batches[0]) != "3" {
		t.Errorf("got batches %v, want one with request 3", b.batches)
	}
}

// Results whose release failed count until the server deletes them after their TTL.
func TestResultsExpire(t *testing.T) {
	b := newHarness(t)
	b.keepServers("encode-a", "model-a")
	b.submit("1", 8, mebibyte, nil)
	b.completeBatch()
	b.scheduler.OnReport(Report{Key: Key{ID: "1"}, Server: "model-a", Status: RunDone})
	b.collect()
	b.scheduler.OnRelease(b.releases[0].Number, MessageFailed)
	b.collect()
	b.want("releases at once after one failed", len(b.releases), 1)
	b.submit("2", 8, mebibyte, func(a *Request) { a.Remaining, a.Goal = 20*time.Second, 10*time.Second })
	b.advance(300 * time.Millisecond)
	b.want("releases after the delay", len(b.releases), 2)
	b.scheduler.OnRelease(b.releases[1].Number, MessageFailed)
	b.advance(4 * time.Second)
	b.want("batches after the results expired", len(b.batches), 1)
}

// A release to a server whose process ended is not sent again, and does not keep the server
// from work after its return.
func TestReleaseToEndedServer(t *testing.T) {
	b := newHarness(t)
	b.keepServers("encode-a", "model-a")
	b.submit("1", 8, mebibyte, nil)
	b.completeBatch()
	b.scheduler.OnReport(Report{Key: Key{ID: "1"}, Server: "model-a", Status: RunDone})
	b.collect()
	b.scheduler.OnRelease(b.releases[0].Number, MessageRefused)
	b.collect()
	b.submit("2", 8, mebibyte, func(a *Request) { a.Remaining = 6 * time.Second })
	for range 10 {
		b.advance(100 * time.Millisecond)
	}
	b.want("releases", len(b.releases), 1)
	b.want("batches after the backoff", len(b.batches), 1)
}

// The results of a server whose process ended are computed again elsewhere.
func TestLostResultsRecomputed(t *testing.T) {
	b := newHarness(t)
	b.submit("1", 1, 1000, func(a *Request) {
		a.Stages = append(a.Stages, StageRequest{Service: "rank", After: []int{0}, ResultBytes: 1000, Tasks: 1})
	})
	first := b.completeBatch()
	next := b.batches[0]
	b.want("next stage", next.Server.Service, "rank")
	b.want("its input", next.Tasks[0].Inputs[0], first.Server.Address+"/1")
	b.endBatch([]TaskResult{{Status: TaskInputLost}})
	retried := b.batches[0]
	b.want("service of the retried task", retried.Server.Service, "encode")
	b.completeBatch()
	b.completeBatch()
	b.want("granted", b.decisions[0].Granted(), true)
}

// A broken batch is followed by a capacity query that shows whether the process still runs.
func TestBrokenBatchQueriesServer(t *testing.T) {
	b := newHarness(t)
	b.keepServers("encode-a", "encode-b", "model-a")
	b.submit("1", 1, 1000, nil)
	c := b.batches[0]
	b.batches = nil
	b.scheduler.OnBatch(c.Number, BatchBroken, nil)
	w := b.scheduler.Take()
	if len(w.Queries) != 1 || w.Queries[0].Server.ID != c.Server.ID {
		t.Fatalf("got queries %v, want one at %s", w.Queries, c.Server.ID)
	}
	if len(w.Batches) != 1 || w.Batches[0].Server.ID == c.Server.ID {
		t.Errorf("got batches %v, want the task at the other server", w.Batches)
	}
}

// The first capacity query fails: a later response still tells how much others store at the server.
func TestLaterCapacityResponse(t *testing.T) {
	b := newHarness(t)
	b.keepServers("encode-a", "model-a")
	b.submit("1", 1, mebibyte, nil)
	s := b.scheduler.pools["encode"].stageServers["encode-a"]
	s.queried, s.untrackedUntil = false, time.Time{} // as if no response had arrived
	for _, c := range []struct {
		status MessageStatus
		want   int64
	}{{MessageFailed, 11 * mebibyte}, {MessageDone, 2 * mebibyte}} {
		b.scheduler.queryCapacity(s)
		q := b.scheduler.Take().Queries
		b.scheduler.OnCapacity(q[0].Number, c.status, 2*mebibyte)
		b.want("free bytes", s.capacity(b.config.Services["encode"].Batching, b.now), c.want)
	}
}
