package placement

import (
	"fmt"
	"testing"
	"time"
)

// A cold model server gets a fixed share of its cold rate and no more.
func TestColdRate(t *testing.T) {
	b := newHarness(t)
	b.keepServers("model-a")
	b.servers[0].ColdUntil = b.now.Add(time.Minute)
	granted := 0
	for i := range 40 {
		b.submit(fmt.Sprint("c", i), 0, 0, nil)
		b.advance(20 * time.Millisecond)
	}
	for _, a := range b.decisions {
		if a.Granted() {
			granted++
		}
	}
	// 0.8 s at 0.4 of 10 a second.
	b.want("grants", granted, 4)
}

// Requests that share a prompt go to one server, and fetch the prompt from the server that
// read it if they have to go elsewhere.
func TestPromptGroups(t *testing.T) {
	b := newHarness(t)
	shared := func(a *Request) { a.Segments = []PromptSegment{{Hash: 7, Tokens: 500}, {Hash: 9, Tokens: 900}} }
	b.submit("1", 0, 0, shared)
	server := b.decisions[0].Server.ID
	b.scheduler.OnReport(Report{Key: Key{ID: "1"}, Server: server, Status: RunStarted})
	b.scheduler.OnReport(Report{Key: Key{ID: "1"}, Server: server, Status: RunDone})
	b.submit("2", 0, 0, shared)
	b.want("second request's server", b.decisions[1].Server.ID, server)
	b.want("second request's KV source", b.decisions[1].KVSource, "")
	b.submit("3", 0, 0, func(a *Request) { shared(a); a.Avoid = []string{server} })
	if b.decisions[2].Server.ID == server || b.decisions[2].KVSource == "" {
		t.Errorf("got %+v, want another server that fetches from %s", b.decisions[2], server)
	}
}

// A request that is bound to a region gets neither tasks nor a model server elsewhere.
func TestRegions(t *testing.T) {
	b := newHarness(t)
	b.keepServers("encode-a", "model-a", "model-b")
	b.submit("1", 1, 1000, func(a *Request) { a.Regions = []string{"q"} })
	b.want("refusal without a model server there", len(b.decisions) == 1 && b.decisions[0].Reason == ReasonNoServer, true)
	for _, s := range b.servers {
		if s.ID == "model-b" {
			s.Region = "q"
		}
	}
	b.submit("2", 1, 1000, func(a *Request) { a.Regions = []string{"q"} })
	b.want("batches outside the region", len(b.batches), 0)
}

// Requests that wait for a stage are refused when its service is known to be absent, but not those all of whose tasks
// run in a batch that has not ended.
func TestAbsentStage(t *testing.T) {
	for _, absent := range []bool{false, true} {
		b := newHarness(t)
		b.scheduler.Absent = func(service string) bool { return absent && service == "encode" }
		b.keepServers("encode-a", "model-a")
		b.submit("runs", 8, 1000, nil)
		b.submit("waits", 8, 1000, nil)
		b.keepServers("model-a")
		b.advance(100 * time.Millisecond)
		refused := len(b.decisions) == 1 && b.decisions[0].ID == "waits" && b.decisions[0].Reason == ReasonNoServer && b.decisions[0].RetryAfter > 0
		b.want("refusal of the one that waits", refused, absent)
		b.completeBatch()
		last := b.decisions[len(b.decisions)-1]
		b.want("grant of the other", last.ID == "runs" && last.Granted(), true)
	}
}

// A model server that failed a request gets none for a while.
func TestModelServerBackoff(t *testing.T) {
	b := newHarness(t)
	b.keepServers("model-a", "model-b")
	b.submit("1", 0, 0, nil)
	bad := b.decisions[0].Server.ID
	b.scheduler.OnReport(Report{Key: Key{ID: "1"}, Server: bad, Status: RunConnectionLost})
	b.submit("2", 0, 0, nil)
	if b.decisions[1].Server.ID == bad {
		t.Errorf("%s got the next request", bad)
	}
}
