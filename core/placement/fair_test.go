package placement

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// Under a long overload by an urgent route, a less urgent one gets a share of the service.
func TestLowPriorityNotStarved(t *testing.T) {
	b := newHarness(t)
	b.keepServers("encode-a", "model-a")
	served, submitted := map[string]int{}, map[string]int{}
	var running []Decision
	for i := range 400 {
		for priority, route := range []string{"urgent", "other"} {
			if i%(2+2*priority) == 0 { // the urgent ones alone are twice what the server can serve
				b.submit(fmt.Sprint(route, " ", i), 6, 1000, func(a *Request) { a.Priority, a.Route, a.Organisation = priority, route, "o" })
				submitted[route]++
			}
		}
		for _, a := range running {
			b.scheduler.OnReport(Report{Key: Key{ID: a.ID}, Server: a.Server.ID, Status: RunDone})
		}
		running = nil
		for _, a := range b.decisions {
			route, _, _ := strings.Cut(a.ID, " ")
			if a.Granted() {
				served[route]++
				running = append(running, a)
			}
		}
		b.decisions = nil
		for _, f := range b.releases {
			b.scheduler.OnRelease(f.Number, MessageDone)
		}
		b.releases = nil
		b.collect()
		b.advance(100 * time.Millisecond)
		if i%3 == 0 && len(b.batches) > 0 {
			b.completeBatch()
		}
	}
	servedRatio := func(route string) float64 { return float64(served[route]) / float64(submitted[route]) }
	all := float64(served["urgent"]+served["other"]) / float64(submitted["urgent"]+submitted["other"])
	if got, want := servedRatio("other"), all/4; got < want {
		t.Errorf("got %.2f of the less urgent route served (%v of %v), want at least %.2f, a quarter of all", got, served, submitted, want)
	}
	if servedRatio("urgent") <= servedRatio("other") {
		t.Errorf("got %.2f of the urgent route served, want more than %.2f", servedRatio("urgent"), servedRatio("other"))
	}
}
