package placement

import (
	"fmt"
	"testing"
	"time"
)

// A cold model server gets its share of the rate that it bears and no more.
func TestColdRate(t *testing.T) {
	b := newBench(t)
	b.only("model-a")
	b.servers[0].ColdUntil = b.now.Add(time.Minute)
	granted := 0
	for i := range 40 {
		b.submit(fmt.Sprint("c", i), 0, 0, nil)
		b.pass(20 * time.Millisecond)
	}
	for _, a := range b.answers {
		if a.Granted() {
			granted++
		}
	}
	// 0.8 s at 0.4 of 10 a second.
	b.want("grants", granted, 4)
}

// Requests that share a prompt go to one server, and fetch the prompt where it was read
// if load drives them elsewhere.
func TestPromptGroups(t *testing.T) {
	b := newBench(t)
	shared := func(a *Request) { a.Segments = []PromptSegment{{Hash: 7, Tokens: 500}, {Hash: 9, Tokens: 900}} }
	b.submit("1", 0, 0, shared)
	home := b.answers[0].Server.ID
	b.home.OnReport(Report{ID: "1", Server: home, Status: RunStarted})
	b.home.OnReport(Report{ID: "1", Server: home, Status: RunDone})
	b.submit("2", 0, 0, shared)
	b.want("second request's server", b.answers[1].Server.ID, home)
	b.want("second request's fetch", b.answers[1].KVSource, "")
	b.submit("3", 0, 0, func(a *Request) { shared(a); a.Avoid = []string{home} })
	if b.answers[2].Server.ID == home || b.answers[2].KVSource == "" {
		t.Errorf("got %+v, want another server that fetches from %s", b.answers[2], home)
	}
}

// A request that is bound to a region gets neither pieces nor a model server elsewhere.
func TestRegions(t *testing.T) {
	b := newBench(t)
	b.only("encode-a", "model-a", "model-b")
	b.submit("1", 1, 1000, func(a *Request) { a.Regions = []string{"q"} })
	b.want("refusal without a model server there", len(b.answers) == 1 && b.answers[0].Reason == ReasonNoServer, true)
	for _, s := range b.servers {
		if s.ID == "model-b" {
			s.Region = "q"
		}
	}
	b.submit("2", 1, 1000, func(a *Request) { a.Regions = []string{"q"} })
	b.want("calls outside the region", len(b.calls), 0)
}

// A model server that broke off a request is left alone for a while.
func TestModelServerBackoff(t *testing.T) {
	b := newBench(t)
	b.only("model-a", "model-b")
	b.submit("1", 0, 0, nil)
	bad := b.answers[0].Server.ID
	b.home.OnReport(Report{ID: "1", Server: bad, Status: RunConnectionLost})
	b.submit("2", 0, 0, nil)
	if b.answers[1].Server.ID == bad {
		t.Errorf("%s got the next request", bad)
	}
}
