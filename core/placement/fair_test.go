package placement

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// Under a long overload by an urgent route, a less urgent one gets a part of the service.
func TestNobodyIsStarved(t *testing.T) {
	b := newBench(t)
	b.only("encode-a", "model-a")
	served, asked := map[string]int{}, map[string]int{}
	var running []Decision
	for i := range 400 {
		for rank, route := range []string{"urgent", "other"} {
			if i%(2+2*rank) == 0 { // the urgent ones alone are twice what the server makes
				b.submit(fmt.Sprint(route, " ", i), 6, 1000, func(a *Request) { a.Priority, a.Route, a.Organisation = rank, route, "o" })
				asked[route]++
			}
		}
		for _, a := range running {
			b.home.OnReport(Report{ID: a.ID, Server: a.Server.ID, Status: RunDone})
		}
		running = nil
		for _, a := range b.answers {
			route, _, _ := strings.Cut(a.ID, " ")
			if a.Granted() {
				served[route]++
				running = append(running, a)
			}
		}
		b.answers = nil
		for _, f := range b.frees {
			b.home.OnRelease(f.Number, MessageDone)
		}
		b.frees = nil
		b.take()
		b.pass(100 * time.Millisecond)
		if i%3 == 0 && len(b.calls) > 0 {
			b.done()
		}
	}
	part := func(route string) float64 { return float64(served[route]) / float64(asked[route]) }
	all := float64(served["urgent"]+served["other"]) / float64(asked["urgent"]+asked["other"])
	if got, want := part("other"), all/4; got < want {
		t.Errorf("got %.2f of the less urgent route served (%v of %v), want at least %.2f, a quarter of all", got, served, asked, want)
	}
	if part("urgent") <= part("other") {
		t.Errorf("got %.2f of the urgent route served, want more than %.2f", part("urgent"), part("other"))
	}
}
