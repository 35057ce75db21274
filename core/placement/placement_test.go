package placement

import (
	"fmt"
	"testing"
	"time"

	"bergamotspring/core/relay"
)

// bench is a home with a clock that tests move and servers that do what tests say.
type bench struct {
	t       *testing.T
	home    Scheduler
	now     time.Time
	servers []*relay.Server
	config  *relay.Configuration
	calls   []Batch
	frees   []ReleaseResults
	looks   []CapacityQuery
	answers []Decision
	handles int
}

const mega = 1 << 20

// newBench returns a home of region r with servers of an encode service and model servers
// in the failure domains a and b.
func newBench(t *testing.T) *bench {
	b := &bench{t: t, now: time.Unix(1000, 0)}
	b.config = &relay.Configuration{Version: 1, Services: map[string]*relay.Service{
		"encode": {Name: "encode", Batching: &relay.BatchSpec{
			Concurrency: 1, MaxBatch: 8, BatchTime: 200 * time.Millisecond, TaskTime: 20 * time.Millisecond, CapacityBytes: 12 * mega, TTL: 4 * time.Second,
		}},
		"rank": {Name: "rank", Batching: &relay.BatchSpec{
			Concurrency: 1, MaxBatch: 16, BatchTime: 200 * time.Millisecond, TaskTime: 10 * time.Millisecond, CapacityBytes: 12 * mega, TTL: 4 * time.Second,
		}},
		"model": {Name: "model", ColdRate: 10, Model: true},
	}}
	for _, d := range []string{"a", "b"} {
		for _, s := range []string{"encode", "rank", "model"} {
			b.servers = append(b.servers, &relay.Server{ID: s + "-" + d, Service: s, Address: s + d + ":1", Domain: d, Region: "r"})
		}
	}
	b.home = Scheduler{Now: func() time.Time { return b.now }, View: b.view, Region: "r"}
	return b
}

func (b *bench) view() *relay.View { return relay.NewView(b.config, b.servers, nil) }

// only keeps the servers with these ids.
func (b *bench) only(ids ...string) {
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

// take collects what the home wants done, and answers its looks: all room is free.
func (b *bench) take() {
	for {
		w := b.home.Take()
		b.calls = append(b.calls, w.Batches...)
		b.frees = append(b.frees, w.Releases...)
		b.answers = append(b.answers, w.Decisions...)
		b.looks = append(b.looks, w.Queries...)
		if len(w.Queries) == 0 {
			return
		}
		for _, l := range w.Queries {
			b.home.OnCapacity(l.Number, MessageDone, 12*mega)
		}
	}
}

// submit asks for a place with n pieces of one encode stage.
func (b *bench) submit(id string, n int, bytes int64, change func(*Request)) {
	a := Request{
		ID: id, Service: "model", InputKey: "key-" + id, Tokens: 500, Goal: 2 * time.Second, Remaining: 4 * time.Second,
		Stages: []StageRequest{{Service: "encode", ResultBytes: bytes, Tasks: n}},
	}
	if change != nil {
		change(&a)
	}
	b.home.Submit(a)
	b.take()
}

// done ends the oldest call; each piece is made.
func (b *bench) done() Batch {
	if len(b.calls) == 0 {
		b.t.Fatal("no call to end")
	}
	c := b.calls[0]
	b.calls = b.calls[1:]
	l := make([]TaskResult, len(c.Tasks))
	for i := range l {
		b.handles++
		l[i].Handle = fmt.Sprintf("%s/%d", c.Server.Address, b.handles)
	}
	b.home.OnBatch(c.Number, BatchDone, l)
	b.take()
	return c
}

// end ends the oldest call in another way.
func (b *bench) end(e BatchStatus, l []TaskResult) {
	c := b.calls[0]
	b.calls = b.calls[1:]
	b.home.OnBatch(c.Number, e, l)
	b.take()
}

func (b *bench) pass(d time.Duration) {
	b.now = b.now.Add(d)
	b.home.Tick()
	b.take()
}

// requests returns which requests have pieces in a call, in order.
func requests(c Batch) string {
	s := ""
	for _, p := range c.Tasks {
		if len(s) == 0 || s[len(s)-1:] != p.Request {
			s += p.Request
		}
	}
	return s
}

func (b *bench) want(what string, got, want any) {
	b.t.Helper()
	if got != want {
		b.t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

// What waits while a server works goes into its next call together.
func TestBatchCollectsWhatWaits(t *testing.T) {
	b := newBench(t)
	b.only("encode-a", "model-a")
	b.submit("1", 1, 1000, nil)
	for _, id := range []string{"2", "3", "4"} {
		b.submit(id, 2, 1000, nil)
	}
	b.want("calls at first", len(b.calls), 1)
	b.done()
	b.want("pieces in the next call", len(b.calls[0].Tasks), 6)
}

// A call holds no more pieces than the service takes, and a stage's pieces stay together.
func TestBatchKeepsStagesWhole(t *testing.T) {
	b := newBench(t)
	b.only("encode-a", "model-a")
	b.submit("1", 1, 1000, nil)
	for _, id := range []string{"2", "3", "4"} {
		b.submit(id, 3, 1000, nil)
	}
	b.done()
	b.want("first call", requests(b.calls[0]), "23")
	b.done()
	b.want("second call", requests(b.calls[0]), "4")
}

// The more urgent rank goes first; within it what can still be in time, then what has
// the least time to spare.
func TestOrder(t *testing.T) {
	b := newBench(t)
	b.only("encode-a", "model-a")
	b.submit("1", 8, 1000, nil)
	b.submit("2", 8, 1000, func(a *Request) { a.Priority = 2 })
	b.submit("3", 8, 1000, func(a *Request) { a.Priority, a.Goal = 1, 10*time.Millisecond })
	b.submit("4", 8, 1000, func(a *Request) { a.Priority, a.Goal = 1, 3*time.Second })
	b.submit("5", 8, 1000, func(a *Request) { a.Priority, a.Goal = 1, 2500*time.Millisecond })
	got := ""
	for range 5 {
		got += requests(b.calls[0])
		b.done()
	}
	b.want("order", got, "15432")
}

// What cannot be in time is refused at once, with a time to come back.
func TestAdmission(t *testing.T) {
	b := newBench(t)
	b.only("encode-a", "model-a")
	for i := range 12 {
		b.submit(fmt.Sprint("x", i), 8, 1000, func(a *Request) { a.Remaining, a.Goal = 60*time.Second, 50*time.Second })
	}
	b.answers = nil
	b.submit("y", 8, 1000, nil)
	if len(b.answers) != 1 || b.answers[0].Granted() || b.answers[0].RetryAfter < retryMin {
		t.Errorf("got %+v, want one refusal with a time to come back", b.answers)
	}
	b.answers = nil
	b.submit("z", 8, 1000, func(a *Request) { a.Priority = -1 })
	b.want("answers to a request that goes before all", len(b.answers), 0)
}

// A request that waits behind others is refused when it is expected to miss its time limit,
// not only when the limit is there.
func TestMissedLimitIsRefusedEarly(t *testing.T) {
	b := newBench(t)
	b.only("encode-a", "model-a")
	b.submit("1", 8, 1000, nil)
	b.submit("2", 8, 1000, func(a *Request) { a.Priority = 1 })
	b.want("answers while there is time", len(b.answers), 0)
	for i := range 12 {
		b.submit(fmt.Sprint("x", i), 8, 1000, func(a *Request) { a.Remaining, a.Goal = 60*time.Second, 50*time.Second })
	}
	b.pass(1500 * time.Millisecond)
	got := 0
	for _, a := range b.answers {
		if a.ID == "2" && !a.Granted() {
			got++
		}
	}
	b.want("refusals of the one behind, 2.5 s before its limit", got, 1)
}

// Where another region can be asked, a request that would miss its goal is refused at once.
func TestElsewhere(t *testing.T) {
	b := newBench(t)
	b.only("encode-a", "model-a")
	for i := range 6 {
		b.submit(fmt.Sprint("x", i), 8, 1000, nil)
	}
	b.answers = nil
	b.submit("y", 1, 1000, func(a *Request) { a.HasFallback, a.Remaining = true, 20*time.Second })
	if len(b.answers) != 1 || b.answers[0].Reason != ReasonBusy {
		t.Errorf("got %+v, want a refusal for another region", b.answers)
	}
	b.answers = nil
	b.submit("y", 1, 1000, func(a *Request) { a.Remaining = 20 * time.Second })
	b.want("answers without another region", len(b.answers), 0)
}

// A request that waits is refused as soon as it cannot be in time any more, and what it
// holds is freed.
func TestLateIsRefused(t *testing.T) {
	b := newBench(t)
	b.only("encode-a", "rank-a", "model-a")
	b.submit("1", 2, mega, func(a *Request) {
		a.Stages = append(a.Stages, StageRequest{Service: "rank", After: []int{0}, ResultBytes: 1000, Tasks: 1})
	})
	b.done()
	b.pass(3900 * time.Millisecond)
	if len(b.answers) != 1 || b.answers[0].Granted() {
		t.Fatalf("got %+v, want a refusal", b.answers)
	}
	b.want("frees", len(b.frees), 1)
	b.want("handles freed", len(b.frees[0].Handles), 2)
}

// A withdrawn request holds nothing, also not the results of its call in progress.
func TestWithdraw(t *testing.T) {
	b := newBench(t)
	b.only("encode-a", "model-a")
	b.submit("1", 2, mega, nil)
	b.home.Withdraw("1", 0)
	b.take()
	b.done()
	b.want("frees of what was made for nobody", len(b.frees), 1)
}

// A large result that only the model server needs is made when the longer chain of the
// other stages nears its end.
func TestLargeResultsWait(t *testing.T) {
	b := newBench(t)
	b.submit("1", 1, mega, func(a *Request) {
		a.Goal, a.Remaining = 5*time.Second, 8*time.Second
		a.Stages = append(a.Stages,
			StageRequest{Service: "encode", ResultBytes: 100, Tasks: 1},
			StageRequest{Service: "rank", After: []int{1}, ResultBytes: 100, Tasks: 48},
			StageRequest{Service: "rank", After: []int{2}, ResultBytes: 100, Tasks: 48})
	})
	for _, c := range b.calls {
		for _, p := range c.Tasks {
			if p.Stage == 0 {
				t.Error("the large result is made first")
			}
		}
	}
}

// Pieces that are made again are paid for; without a budget the request is refused.
func TestRetriesUseBudget(t *testing.T) {
	for _, paid := range []bool{true, false} {
		b := newBench(t)
		b.only("encode-a", "model-a")
		first, repeats := 0, 0
		b.home.CountFirst = func(string) { first++ }
		b.home.TakeRetry = func(string) bool { repeats++; return paid }
		b.submit("1", 3, 1000, nil)
		l := []TaskResult{{Handle: "x/1"}, {Status: TaskError}, {Handle: "x/2"}}
		b.end(BatchDone, l)
		b.want("first pieces", first, 3)
		b.want("repeats", repeats, 1)
		b.want("calls for the piece that failed", len(b.calls) == 1, paid)
		b.want("refusals", len(b.answers) == 1, !paid)
	}
}

// A server that starts anew under its id holds nothing of before: its results are made
// again in the room that they took, and it has read no prompts.
func TestStartsAnewUnderItsID(t *testing.T) {
	b := newBench(t)
	b.only("encode-a", "rank-a", "model-a")
	anew := func(n int) {
		s := *b.servers[n]
		s.StartedAt++
		b.servers[n] = &s
	}
	parts := []PromptSegment{{Hash: 7, Tokens: 500}, {Hash: 9, Tokens: 900}}
	b.submit("1", 2, mega, func(a *Request) {
		a.Segments = parts
		a.Stages = append(a.Stages, StageRequest{Service: "rank", After: []int{0}, ResultBytes: 1000, Tasks: 1})
	})
	b.done()
	b.want("calls after the first stage", len(b.calls), 1)
	anew(0)
	b.pass(25 * time.Millisecond)
	b.want("calls after its server started anew", len(b.calls), 2)
	b.want("bytes reserved there", b.home.pools["encode"].stageServers["encode-a"].reserved, int64(2*mega))
	b.home.prompts.read(parts, "model-a", b.now)
	anew(2)
	b.submit("2", 0, 0, nil)
	if l := b.home.prompts.segments[9]; len(l) != 0 {
		t.Errorf("got %+v for a prompt that no process has read", l)
	}
}

// A report on an earlier try that arrives after the next ask does not end that one.
func TestLateReport(t *testing.T) {
	b := newBench(t)
	b.only("encode-a", "model-a", "model-b")
	b.submit("1", 1, 1000, nil)
	b.done()
	server := b.answers[0].Server.ID
	b.submit("1", 1, 1000, func(a *Request) { a.Attempt, a.Avoid = 1, []string{server} })
	b.home.OnReport(Report{ID: "1", Server: server, Status: RunConnectionLost})
	b.home.Withdraw("1", 0)
	b.take()
	b.done()
	if len(b.answers) != 2 || !b.answers[1].Granted() {
		t.Errorf("got answers %+v, want a second grant", b.answers)
	}
}

// BenchmarkRequest measures what the home spends on one request with a stage of four
// pieces, while forty others wait.
func BenchmarkRequest(b *testing.B) {
	x := newBench(nil)
	for i := range 40 {
		x.submit(fmt.Sprint("w", i), 4, 1000, func(a *Request) { a.Remaining, a.Goal = time.Hour, time.Hour })
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		x.submit(fmt.Sprint(i), 4, 1000, func(a *Request) { a.Remaining, a.Goal = time.Hour, time.Hour })
		x.done()
		for _, a := range x.answers {
			x.home.OnReport(Report{ID: a.ID, Server: a.Server.ID, Status: RunStarted})
			x.home.OnReport(Report{ID: a.ID, Server: a.Server.ID, Status: RunDone})
		}
		x.answers = x.answers[:0]
		x.take()
		for _, f := range x.frees {
			x.home.OnRelease(f.Number, MessageDone)
		}
		x.frees = x.frees[:0]
		x.take()
	}
}

func ExampleScheduler() {
	server := &relay.Server{ID: "model-1", Service: "model", Address: "10.0.0.1:80", Region: "north"}
	view := relay.NewView(&relay.Configuration{Services: map[string]*relay.Service{"model": {Name: "model"}}}, []*relay.Server{server}, nil)
	h := Scheduler{Now: time.Now, View: func() *relay.View { return view }, Region: "north"}
	h.Submit(Request{ID: "r1", Service: "model", Goal: time.Second, Remaining: 4 * time.Second})
	fmt.Println(h.Take().Decisions[0].Server.ID)
	// Output: model-1
}

// BenchmarkBacklog measures a tick of a home with a long queue for ten servers.
func BenchmarkBacklog(b *testing.B) {
	x := newBench(&testing.T{})
	x.config.Services["encode"].Batching.CapacityBytes = 1 << 40
	for i := range 10 {
		x.servers = append(x.servers, &relay.Server{ID: fmt.Sprint("encode-", i), Service: "encode", Address: fmt.Sprint(i, ":1"), Domain: "a", Region: "r"})
	}
	for i := range 200 {
		x.submit(fmt.Sprint(i), 8, 1000, func(a *Request) { a.Remaining, a.Goal = time.Hour, time.Hour })
	}
	b.ReportAllocs()
	for b.Loop() {
		// Ten servers end their calls without having made anything.
		for range len(x.calls) {
			c := x.calls[0]
			x.calls = x.calls[1:]
			x.home.OnBatch(c.Number, BatchRejected, nil)
		}
		x.now = x.now.Add(time.Second)
		x.home.Tick()
		x.take()
	}
}
