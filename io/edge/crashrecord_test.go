package edge

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"bergamotspring/io/standin"
)

// endAll ends all nodes at the same moment, as planned or not, and starts them again a second later.
func (w *testFleet) endAll(planned bool) {
	for _, n := range allNodes {
		if planned {
			w.nodes[n].stop()
		} else {
			w.kill(n)
		}
	}
	if planned {
		for _, n := range allNodes {
			<-w.nodes[n].done
			w.nodes[n].done <- nil // for close
		}
	}
	time.Sleep(time.Second)
	for _, n := range allNodes {
		w.restart(n)
	}
	time.Sleep(contactTime)
}

// Guards against the loss of what the nodes know of crashes when all of them end: later than 4 s after their start, a
// request that has crashed three servers reaches a server in three retries at most, however often the nodes end.
func TestCrashesOutliveAllNodes(t *testing.T) {
	for _, c := range []struct {
		name    string
		planned bool
		before  int // requests before each end
		prepare func(*testFleet)
	}{
		{name: "killed", before: 10},
		{name: "stopped", before: 10, planned: true},
		{name: "killed after each crash", before: 1},
		{name: "killed after each second crash", before: 2},
		{name: "the oldest nodes are cut off from the store", before: 10, prepare: func(w *testFleet) { w.store.Refuse("10.0.0.1", true) }},
		{name: "responses of the store are lost", before: 2, prepare: func(w *testFleet) { w.store.DropResponses(2) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			runFleet(t, func(w *testFleet) {
				crashes := w.crashOnSegment()
				if c.prepare != nil {
					c.prepare(w)
				}
				for n := 0; len(crashes()) < 3; n++ {
					w.sendDeadlyRequest(fmt.Sprint("d", n, "-"), c.before)
					w.store.Refuse("10.0.0.1", false)
					w.endAll(c.planned)
				}
				before := len(crashes())
				for n := range 4 {
					w.sendDeadlyRequest(fmt.Sprint("e", n, "-"), 4)
					w.endAll(c.planned)
				}
				if got := len(crashes()) - before; got > 3 {
					t.Errorf("%d more crashes while all nodes ended four times, want 3 at most", got)
				}
			})
		})
	}
}

// sendDeadlyRequest sends the same request n times, one a second.
func (w *testFleet) sendDeadlyRequest(id string, n int) {
	for i := range n {
		x := fmt.Sprint(id, i)
		w.request(allNodes[i%len(allNodes)], http.MethodPost, "/draft/x", x, slices.Concat([]string{"X-Body", "deadly"}, modelHeaders(x), []string{"X-Bergamotspring-Prefix-Hash", "dead:100"})...)
		time.Sleep(time.Second)
	}
}

// What is kept of crashes holds no sound request back: not those that ran on servers which crashed, not those of a
// culprit that was cleared before all nodes ended, and none if the record is no record or the store does not take it.
func TestCrashRecordHoldsNothingBack(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(*testFleet)
	}{
		{"servers crash under sound requests", func(w *testFleet) { w.crashAll() }},
		{"a culprit is cleared", func(w *testFleet) {
			crashes := w.crashOnSegment()
			for n := 0; len(crashes()) < 3; n++ {
				w.sendDeadly(fmt.Sprint("d", n, "-"), allNodes[n%4:], 1)
			}
			for _, s := range w.all("model") {
				s.FatalSegment = ""
			}
			w.sendDeadly("t", allNodes, 20) // a trial clears it
		}},
		{"no record", func(w *testFleet) { w.store.PutBytes("fleet", "crashes", []byte("no record")) }},
		{"an empty record", func(w *testFleet) { w.store.PutBytes("fleet", "crashes", nil) }},
		{"the store takes no writes", func(w *testFleet) {
			for i := range allNodes {
				w.store.RefuseWrites(fmt.Sprintf("10.0.0.%d", i+1), true)
			}
			w.crashAll()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			runFleet(t, func(w *testFleet) {
				c.do(w)
				w.endAll(false)
				for i, n := range allNodes {
					w.wantOK(w.request(n, http.MethodGet, "/read/x", fmt.Sprint("r", i)), "read at %s", n)
					x := fmt.Sprint("s", i)
					w.wantStream(w.stream(n, "/draft/x", x, prefix(x, "aa:800,dead:100")...), "draft at %s", n)
				}
			})
		})
	}
}

// The record costs no call of the store while no server crashes, and a few for each crash.
func TestCrashRecordCalls(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		records := func() int { return len(w.log.matching("crashes_recorded")) }
		reads := func() int {
			n := 0
			for k, x := range w.store.Reads() {
				if strings.HasSuffix(k, " fleet") {
					n += x
				}
			}
			return n
		}
		joined := len(allNodes)
		time.Sleep(30 * time.Second)
		if records() > 0 || reads() > joined {
			t.Errorf("%d writes and %d reads without a crash, want one read for each of %d nodes", records(), reads(), joined)
		}
		crashes := w.crashOnSegment()
		w.sendDeadlyRequest("d", 10)
		time.Sleep(30 * time.Second)
		n := len(crashes())
		if records() == 0 || records() > 2*n || reads() > joined+2*n*len(allNodes) {
			t.Errorf("%d writes and %d reads for %d crashes", records(), reads()-joined, n)
		}
		before := records() + reads()
		time.Sleep(30 * time.Second)
		if got := records() + reads() - before; got > 0 {
			t.Errorf("%d calls while nothing changed", got)
		}
	})
}

// crashAll crashes all model servers under sound requests, one after the other and three times.
func (w *testFleet) crashAll() {
	for i := range 9 {
		w.serving.Go(func() {
			x := fmt.Sprint("under", i)
			w.stream(allNodes[i%4], "/draft/x", x, prefix(x, "aa:800,dead:100")...)
		})
		time.Sleep(500 * time.Millisecond)
		ip := fmt.Sprintf("10.1.0.%d", 4*(i%3+1))
		w.net.SetHost(ip, standin.HostRefuses)
		time.AfterFunc(2*time.Second, func() { w.net.SetHost(ip, standin.HostUp) })
		time.Sleep(2500 * time.Millisecond)
	}
}
