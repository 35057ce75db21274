package placement

import (
	"testing"
	"time"

	"bergamotspring/core/relay"
)

// newInquiring returns a harness whose scheduler is one of several coordinators.
func newInquiring(t *testing.T) *harness {
	b := newHarness(t)
	b.keepServers("encode-a", "model-a")
	b.scheduler.StartedLately = func(relay.Process) bool { return true }
	b.scheduler.Coordinates = func() bool { return true }
	return b
}

// answer answers the inquiries of the scheduler: for how long results may be read, and whether a node is silent. It returns
// their number.
func (b *harness) answer(read time.Duration, silent bool) int {
	w := b.scheduler.Take()
	b.batches = append(b.batches, w.Batches...)
	for _, l := range w.Queries {
		b.scheduler.OnCapacity(l.Number, MessageDone, 12*mebibyte)
	}
	for _, k := range w.Inquiries {
		b.scheduler.OnInquiry(k.Number, []time.Duration{read}, silent)
	}
	b.batches = append(b.batches, b.scheduler.Take().Batches...)
	return len(w.Inquiries)
}

// A process that started lately gets its first batch once no node reads results of an earlier one, or does not answer for
// long; one that is proven gets it at once.
func TestInquiry(t *testing.T) {
	for _, c := range []struct {
		name   string
		read   time.Duration
		silent bool
		lasts  time.Duration // as long as read and silent hold
		limit  time.Duration // longest time limit of a route with stages
		want   time.Duration // of the first batch
	}{
		{"nothing is read", 0, false, 0, 8 * time.Second, 0},
		{"results are read", time.Second, false, time.Second, 8 * time.Second, time.Second},
		{"a node is silent for a while", 0, true, time.Second, 8 * time.Second, time.Second},
		{"a node stays silent", 0, true, time.Minute, time.Second, silentPatience},
		{"a node stays silent, and its requests may be long", 0, true, time.Minute, 8 * time.Second, 8 * time.Second},
		{"a node stays silent, and results are read", time.Second, true, 4 * time.Second, time.Second, 4 * time.Second},
	} {
		b := newInquiring(t)
		b.config.Routes = []relay.Route{{Timeout: c.limit, Stages: []relay.Stage{{Service: "encode"}}}, {Timeout: time.Minute}}
		start := b.now
		b.scheduler.Submit(Request{
			Key: Key{ID: "1"}, Service: "model", InputKey: "k", Tokens: 1, Goal: 20 * time.Second, Remaining: 30 * time.Second,
			Stages: []StageRequest{{Service: "encode", Tasks: 1}},
		})
		for len(b.batches) == 0 && b.now.Sub(start) < 20*time.Second {
			if b.now.Sub(start) >= c.lasts {
				b.answer(0, false)
			} else {
				b.answer(c.read, c.silent)
			}
			b.now = b.now.Add(25 * time.Millisecond)
			b.scheduler.Tick()
		}
		if got := b.now.Sub(start); got < c.want || got > c.want+inquiryInterval+50*time.Millisecond {
			t.Errorf("%s: first batch after %v, want %v", c.name, got, c.want)
		}
	}
}

// A coordinator asks before there are requests, and none where it was told that the process is proven.
func TestProven(t *testing.T) {
	b := newInquiring(t)
	b.scheduler.Tick()
	w := b.scheduler.Take()
	if len(w.Inquiries) != 1 || len(w.Inquiries[0].Makers) != 1 {
		t.Fatalf("got inquiries %+v, want one about encode-a", w.Inquiries)
	}
	b.scheduler.OnInquiry(w.Inquiries[0].Number, []time.Duration{0}, false)
	proven := b.scheduler.Take().Proven
	if len(proven) != 1 || proven[0] != w.Inquiries[0].Makers[0] {
		t.Fatalf("got %+v, want encode-a", proven)
	}
	next := newInquiring(t)
	next.scheduler.OnProven(proven)
	next.submit("1", 1, 1000, nil)
	if n := next.answer(0, false); n != 0 || len(next.batches) != 1 {
		t.Errorf("%d inquiries and %d batches of the next coordinator, want none and one", n, len(next.batches))
	}
}

// Another coordinator asks about the process that follows one whose results are read here: it hears for how long, and nothing
// new reads results of the one before.
func TestReadForOtherCoordinator(t *testing.T) {
	b := newHarness(t)
	b.keepServers("encode-a", "model-a")
	for _, s := range b.servers {
		s.StartedAt = 5
	}
	next := Maker{b.encodeA().Address, relay.Process{ID: "encode-a", StartedAt: 6}}
	former := Maker{next.Address, relay.Process{ID: "encode-a", StartedAt: 4}}
	b.want("read before any request", b.scheduler.ReadFor(former), time.Duration(0))
	b.submit("1", 1, 1000, nil)
	b.completeBatch()
	if got := b.decisions[0].Makers; len(got) != 1 || got[0] != (Maker{next.Address, relay.Process{ID: "encode-a", StartedAt: 5}}) {
		t.Errorf("got makers %+v, want encode-a", got)
	}
	b.submit("2", 1, 1000, nil)
	b.completeBatch()
	b.want("by an inquiry about an earlier process", b.scheduler.ReadFor(former), time.Duration(0))
	b.want("while it is read", b.scheduler.ReadFor(next), 4*time.Second)
	for _, d := range b.decisions {
		b.scheduler.OnReport(Report{Key: d.Key, Attempt: d.Attempt, Server: d.Server.ID, Status: RunStarted})
	}
	b.want("after it was read", b.scheduler.ReadFor(next), time.Duration(0))
}

// A node's requests read results until they have begun to run, or until their deadline.
func TestReadings(t *testing.T) {
	now := time.Unix(1e9, 0)
	r := Readings{Now: func() time.Time { return now }}
	at := func(start int64) Maker { return Maker{"a:1", relay.Process{ID: "s", StartedAt: start}} }
	k := Key{ID: "1"}
	if !r.Begin(k, 0, []Maker{at(1)}, now.Add(4*time.Second)) || !r.Begin(k, 1, []Maker{{"b:1", relay.Process{ID: "t"}}}, now.Add(6*time.Second)) {
		t.Fatal("a request may not read")
	}
	want := func(what string, p Maker, d time.Duration) {
		t.Helper()
		if got := r.ReadFor(p); got != d {
			t.Errorf("%s: got %v, want %v", what, got, d)
		}
	}
	want("the same process", at(1), 0)
	want("another address", Maker{"c:1", relay.Process{ID: "s", StartedAt: 2}}, 0)
	want("the next process", at(2), 4*time.Second)
	want("a process that does not say when it started", Maker{"b:1", relay.Process{ID: "u"}}, 6*time.Second)
	if r.Begin(k, 2, []Maker{at(1)}, now.Add(time.Second)) {
		t.Error("a request begins to read results of the process before")
	}
	if !r.Begin(k, 2, []Maker{at(2)}, now.Add(time.Second)) {
		t.Error("a request may not read results of the present process")
	}
	r.End(k, 1)
	want("after its end", Maker{"b:1", relay.Process{ID: "u"}}, 0)
	now = now.Add(4 * time.Second)
	want("after its deadline", at(2), 0)
}
