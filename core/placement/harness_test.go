package placement

// This file defines the set-up of the tests.

import (
	"fmt"
	"testing"
	"time"

	"bergamotspring/core/relay"
)

// harness is a scheduler with a clock and servers that tests control.
type harness struct {
	t         *testing.T
	scheduler Scheduler
	now       time.Time
	servers   []*relay.Server
	config    *relay.Configuration
	batches   []Batch
	releases  []ReleaseResults
	queries   []CapacityQuery
	decisions []Decision
	handles   int
}

const mebibyte = 1 << 20

// newHarness returns a scheduler of region r with servers of an encode service and model
// servers in the failure domains a and b.
func newHarness(t *testing.T) *harness {
	b := &harness{t: t, now: time.Unix(1000, 0)}
	b.config = &relay.Configuration{Version: 1, Services: map[string]*relay.Service{
		"encode": {Name: "encode", Batching: &relay.BatchSpec{
			Concurrency: 1, MaxBatch: 8, BatchTime: 200 * time.Millisecond, TaskTime: 20 * time.Millisecond, CapacityBytes: 12 * mebibyte, TTL: 4 * time.Second,
		}},
		"rank": {Name: "rank", Batching: &relay.BatchSpec{
			Concurrency: 1, MaxBatch: 16, BatchTime: 200 * time.Millisecond, TaskTime: 10 * time.Millisecond, CapacityBytes: 12 * mebibyte, TTL: 4 * time.Second,
		}},
		"model": {Name: "model", ColdRate: 10, Model: true},
	}}
	for _, d := range []string{"a", "b"} {
		for _, s := range []string{"encode", "rank", "model"} {
			b.servers = append(b.servers, &relay.Server{ID: s + "-" + d, Service: s, Address: s + d + ":1", Domain: d, Region: "r"})
		}
	}
	b.scheduler = Scheduler{Now: func() time.Time { return b.now }, View: b.view, Region: "r"}
	return b
}

func (b *harness) view() *relay.View { return relay.NewView(b.config, b.servers, nil) }

// fixView keeps the present view, as a node does while neither configuration nor servers change.
func (b *harness) fixView() {
	v := b.view()
	b.scheduler.View = func() *relay.View { return v }
}

// keepServers keeps only the servers with these IDs.
func (b *harness) keepServers(ids ...string) {
	var l []*relay.Server
	for _, s := range b.servers {
		for _, id := range ids {
			if s.ID == id {
				l = append(l, s)
			}
		}
	}
	b.servers = l
}

// collect takes the scheduler's work, and responds to capacity queries that all is free.
func (b *harness) collect() {
	for {
		w := b.scheduler.Take()
		b.batches = append(b.batches, w.Batches...)
		b.releases = append(b.releases, w.Releases...)
		b.decisions = append(b.decisions, w.Decisions...)
		b.queries = append(b.queries, w.Queries...)
		if len(w.Queries) == 0 {
			return
		}
		for _, l := range w.Queries {
			b.scheduler.OnCapacity(l.Number, MessageDone, 12*mebibyte)
		}
	}
}

// submit submits a request with n tasks of one encode stage.
func (b *harness) submit(id string, n int, bytes int64, change func(*Request)) {
	a := Request{
		Key: Key{ID: id}, Service: "model", InputKey: "key-" + id, Tokens: 500, Goal: 2 * time.Second, Remaining: 4 * time.Second,
		Stages: []StageRequest{{Service: "encode", ResultBytes: bytes, Tasks: n}},
	}
	if change != nil {
		change(&a)
	}
	b.scheduler.Submit(a)
	b.collect()
}

// completeBatch ends the oldest batch with a result for each task.
func (b *harness) completeBatch() Batch {
	if len(b.batches) == 0 {
		b.t.Fatal("no batch to end")
	}
	c := b.batches[0]
	b.batches = b.batches[1:]
	l := make([]TaskResult, len(c.Tasks))
	for i := range l {
		b.handles++
		l[i].Handle = fmt.Sprintf("%s/%d", c.Server.Address, b.handles)
	}
	b.scheduler.OnBatch(c.Number, BatchDone, l)
	b.collect()
	return c
}

// endBatch ends the oldest batch with results.
func (b *harness) endBatch(l []TaskResult) {
	c := b.batches[0]
	b.batches = b.batches[1:]
	b.scheduler.OnBatch(c.Number, BatchDone, l)
	b.collect()
}

func (b *harness) advance(d time.Duration) {
	b.now = b.now.Add(d)
	b.scheduler.Tick()
	b.collect()
}

// requests returns the IDs of the requests with tasks in a batch, in order.
func requests(c Batch) string {
	s := ""
	for _, p := range c.Tasks {
		if len(s) == 0 || s[len(s)-1:] != p.RequestID {
			s += p.RequestID
		}
	}
	return s
}

func (b *harness) want(what string, got, want any) {
	b.t.Helper()
	if got != want {
		b.t.Errorf("%s: got %v, want %v", what, got, want)
	}
}
