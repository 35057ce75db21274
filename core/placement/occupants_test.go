package placement

import (
	"slices"
	"testing"
	"time"

	"bergamotspring/core/relay"
)

// nextStart is the start of a process that tells it before its entry does.
const nextStart = 7

// tellStart has the next process of encode-a tell its start.
func (b *harness) tellStart() {
	s := b.encodeA()
	b.scheduler.ObserveProcess(s.Address, relay.Process{ID: s.ID, StartedAt: nextStart})
	b.advance(25 * time.Millisecond)
}

// encodeA returns the entry of encode-a.
func (b *harness) encodeA() *relay.Server {
	i := slices.IndexFunc(b.servers, func(s *relay.Server) bool { return s.ID == "encode-a" })
	return b.servers[i]
}

// batchesOn returns the number of batches in progress on a server.
func (b *harness) batchesOn(id string) int {
	n := 0
	for _, c := range b.batches {
		if c.Server.ID == id {
			n++
		}
	}
	return n
}

// A server's process tells that it is another one than its entry says: what was stored is made again there, the older
// entry changes nothing, and a later one does not lose what was made since.
func TestProcessTellsBeforeEntry(t *testing.T) {
	b := newHarness(t)
	b.keepServers("encode-a", "rank-a", "model-a")
	b.submit("0", 1, 1000, func(a *Request) { a.Stages[0].Service = "rank" })
	b.submit("1", 2, mebibyte, twoStages)
	b.completeOn("encode-a")
	b.tellStart()
	b.want("process of the batch", b.batches[1].Server.StartedAt, int64(nextStart))
	for range 2 { // while the entry is old, and when it is no longer
		b.servers = slices.Clone(b.servers)
		b.advance(25 * time.Millisecond)
		b.want("process of the batch in progress", b.batches[1].Server.StartedAt, int64(nextStart))
	}
	b.completeOn("encode-a")
	s := *b.encodeA()
	s.StartedAt = nextStart
	b.servers[slices.Index(b.servers, b.encodeA())] = &s
	b.advance(25 * time.Millisecond)
	b.completeOn("rank-a")
	b.wantInputs("the second stage", b.completeOn("rank-a").Inputs, 2, "encodea:1/1", "encodea:1/2")
}

// A process that told its start ends, which the next entry tells.
func TestEntryAfterToldProcess(t *testing.T) {
	b := newHarness(t)
	b.keepServers("encode-a", "rank-a", "model-a")
	b.tellStart()
	b.submit("0", 1, 1000, func(a *Request) { a.Stages[0].Service = "rank" })
	b.submit("1", 2, mebibyte, twoStages)
	b.completeOn("encode-a")
	b.restart("encode-a")
	b.want("process of the batch", b.batches[1].Server.StartedAt, b.encodeA().StartedAt)
	b.completeOn("encode-a")
	b.completeOn("rank-a")
	b.wantInputs("the second stage", b.completeOn("rank-a").Inputs, 2, "encodea:1/1", "encodea:1/2")
}

// A granted request may not have read its inputs yet as the process that stores them ends: the next process at the
// address, under the same id or another one, gets no batch until it has, as it may give the handles to others. Other
// servers do.
func TestNextProcessWaitsForReaders(t *testing.T) {
	for name, next := range map[string]func(b *harness) (id string){
		"same id": func(b *harness) string { b.tellStart(); return "encode-a" },
		"another id": func(b *harness) string {
			s := *b.encodeA()
			s.ID, s.StartedAt = "encode-x", nextStart
			b.servers = append(slices.DeleteFunc(b.servers, func(s *relay.Server) bool { return s.ID == "encode-a" }), &s)
			return s.ID
		},
	} {
		for _, end := range []RunStatus{RunStarted, RunDone, RunRejected, RunNotSent, RunConnectionLost, RunAbandoned} {
			b := newHarness(t)
			b.keepServers("encode-a", "encode-b", "model-a")
			b.submit("1", 2, mebibyte, nil)
			b.completeOn("encode-a")
			b.want(name+": decisions", len(b.decisions), 1)
			id := next(b)
			for _, r := range []string{"2", "3"} {
				b.submit(r, 8, 1000, nil)
			}
			b.advance(25 * time.Millisecond)
			b.want(name+": batches at the next process before the inputs were read", b.batchesOn(id), 0)
			b.want(name+": batches at the other server", b.batchesOn("encode-b"), 1)
			b.scheduler.OnReport(Report{Key: Key{ID: "1"}, Server: "model-a", Status: end})
			b.collect()
			b.advance(25 * time.Millisecond)
			// Its connection is lost, but the model server may still run it.
			after := 1
			if end == RunConnectionLost || end == RunAbandoned {
				after = 0
			}
			b.want(name+": batches at the next process after the report", b.batchesOn(id), after)
			b.advance(4 * time.Second)
			b.submit("4", 8, 1000, nil)
			b.want(name+": batches at the next process after the deadline", b.batchesOn(id), 1)
			if b.batchesOn(id) == 1 {
				b.want(name+": processes that are remembered", len(b.scheduler.occupants["encodea:1"]), 1)
			}
		}
	}
}

// A batch may not have read its inputs yet as the process that stores them ends.
func TestNextProcessWaitsForBatches(t *testing.T) {
	for status, after := range map[BatchStatus]int{BatchDone: 1, BatchRejected: 1, BatchUnsent: 1, BatchBroken: 0} {
		b := newHarness(t)
		b.keepServers("encode-a", "rank-a", "model-a")
		b.submit("1", 2, mebibyte, twoStages)
		b.completeOn("encode-a")
		b.tellStart()
		b.want("batches at the next process", b.batchesOn("encode-a"), 0)
		reading := b.batches[0]
		b.batches = nil
		b.scheduler.OnBatch(reading.Number, status, []TaskResult{{Handle: "x"}})
		b.collect()
		b.advance(25 * time.Millisecond)
		b.want("batches at the next process after the one that reads ended", b.batchesOn("encode-a"), after)
	}
}

// A release of results is on its way as their process ends: the next one stores none that it would name.
func TestNextProcessWaitsForRelease(t *testing.T) {
	b := newHarness(t)
	b.keepServers("encode-a", "model-a")
	b.submit("1", 2, mebibyte, nil)
	b.completeOn("encode-a")
	b.scheduler.OnReport(Report{Key: Key{ID: "1"}, Server: "model-a", Status: RunStarted})
	b.collect()
	b.want("releases", len(b.releases), 1)
	b.tellStart()
	b.submit("2", 1, 1000, nil)
	b.want("batches before the release ended", b.batchesOn("encode-a"), 0)
	b.scheduler.OnRelease(b.releases[0].Number, MessageFailed)
	b.advance(25 * time.Millisecond)
	b.want("batches after it", b.batchesOn("encode-a"), 1)
	b.want("releases to the next process", len(b.releases), 1)
}

// The entry of a server with results stays, as another one has its address: it gets no batch before it is known which
// of the two listens there, and then the results are made again.
func TestTwoEntriesWithOneAddress(t *testing.T) {
	b := newHarness(t)
	b.keepServers("encode-a", "rank-a", "model-a")
	b.submit("0", 1, 1000, func(a *Request) { a.Stages[0].Service = "rank" })
	b.submit("1", 2, mebibyte, twoStages)
	b.completeOn("encode-a")
	s := *b.encodeA()
	s.ID, s.StartedAt = "encode-x", nextStart
	b.servers = append(slices.Clone(b.servers), &s)
	b.submit("2", 8, 1000, nil)
	b.submit("3", 8, 1000, nil)
	b.want("batches at the new server", b.batchesOn("encode-x"), 0)
	b.scheduler.ObserveProcess(s.Address, relay.Process{ID: "encode-x"})
	b.advance(25 * time.Millisecond)
	b.completeOn("encode-a") // a process at the address still answers to the old id, as its entry is there
	b.want("batches at the new server", b.batchesOn("encode-x"), 1)
}

// A batch is sent only to the process that has the results in use. If that cannot be proven, they are made again, and
// the tasks of the batch cost no retry.
func TestBatchOfUnprovenProcess(t *testing.T) {
	b := newHarness(t)
	b.keepServers("encode-a", "rank-a", "model-a")
	retries := 0
	b.scheduler.TakeRetry = func(string) bool { retries++; return true }
	b.submit("0", 1, 1000, func(a *Request) { a.Stages[0].Service = "rank" })
	b.submit("1", 2, mebibyte, twoStages)
	c := b.batches[1]
	b.want("process of the first batch", c.Process, "")
	b.scheduler.OnProcess(c.Number, "p1")
	b.completeOn("encode-a")
	b.submit("2", 6, 1000, nil)
	c = b.batches[1]
	b.want("process of the next batch", c.Process, "p1")
	b.batches = b.batches[:1]
	b.scheduler.OnBatch(c.Number, BatchReplaced, nil)
	b.collect()
	b.want("retries", retries, 0)
	c = b.batches[1]
	b.want("process of the batch after that", c.Process, "")
	b.want("its tasks, those of both requests", len(c.Tasks), 8)
	b.scheduler.OnProcess(c.Number, "p2")
	b.completeOn("encode-a")
	b.completeOn("rank-a")
	b.wantInputs("the second stage", b.completeOn("rank-a").Inputs, 2, "encodea:1/1", "encodea:1/2")
}

// Nothing is in use at a server: it gets a batch whichever process listens there, and is not taken for another one.
func TestBatchOfIdleServer(t *testing.T) {
	b := newHarness(t)
	b.keepServers("encode-a", "model-a")
	for _, p := range []string{"p1", "p2"} {
		b.submit(p, 2, mebibyte, nil)
		b.want("process of the batch", b.batches[0].Process, "")
		b.scheduler.OnProcess(b.batches[0].Number, p)
		b.completeOn("encode-a")
		b.scheduler.OnReport(Report{Key: Key{ID: p}, Server: "model-a", Status: RunStarted})
		b.collect()
		b.scheduler.OnRelease(b.releases[len(b.releases)-1].Number, MessageDone)
		b.collect()
	}
	b.want("decisions", len(b.decisions), 2)
}

// Two batches at the same time reach two processes of a server: the results of the first one are made again.
func TestBatchesOfTwoProcesses(t *testing.T) {
	b := newHarness(t)
	b.keepServers("encode-a", "model-a")
	b.config.Services["encode"].Batching.Concurrency = 2
	b.submit("1", 2, mebibyte, nil)
	b.submit("2", 2, mebibyte, nil)
	for i, c := range b.batches[:2] {
		b.scheduler.OnProcess(c.Number, []string{"p1", "p2"}[i])
	}
	b.completeBatch()
	b.completeBatch()
	b.want("decisions on results of two processes", len(b.decisions), 0)
}
