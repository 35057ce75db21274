package edge

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"bergamotspring/io/standin"
	platformstandin "bergamotspring/platform/standin"
)

// contactTime is the platform's bound for what happened to be known to all nodes.
const contactTime = 4 * time.Second

// crashOnSegment makes all model servers crash on prompt segment dead; each is back after 3 s. It
// returns a function that returns the times of the crashes.
func (w *testFleet) crashOnSegment() func() []time.Time {
	crashes := make(chan time.Time, 1000)
	for _, s := range w.all("model") {
		ip, _, _ := net.SplitHostPort(s.Address)
		s.FatalSegment = "dead"
		s.Crash = func() {
			time.Sleep(1500 * time.Microsecond) // what was sent arrives
			crashes <- time.Now()
			w.net.SetHost(ip, standin.HostRefuses)
			time.AfterFunc(3*time.Second, func() { w.net.SetHost(ip, standin.HostUp) })
		}
	}
	var l []time.Time
	return func() []time.Time {
		for len(crashes) > 0 {
			l = append(l, <-crashes)
		}
		return l
	}
}

// crashingSegmentTest is a case of TestCrashingPromptSegment.
type crashingSegmentTest struct {
	name          string
	deadly, sound []string // segments of the requests, in turn; empty: none is sent
	lost          float64  // share of the sound ones that may miss their first attempt, all of which get it before
	prepare       func(*testFleet)
}

// Requests that share one prompt segment crash server after server, no two alike: at most three
// reach a server from 4 s after the fifth crash on, and from 8 s on requests with their other
// segments are served at their first attempt.
func TestCrashingPromptSegment(t *testing.T) {
	bad, good := []string{"aa:800,dead:100"}, []string{"aa:800"}
	rare := []string{bad[0], "", "", "", ""}
	changing := slices.Concat(rare, rare, rare, bad, slices.Repeat([]string{"0e:300,dead:100"}, 14))
	for _, c := range []crashingSegmentTest{
		{name: "one sound segment", deadly: bad, sound: good},
		{name: "two sound segments", deadly: []string{"aa:800,0e:300,dead:100"}, sound: []string{"aa:800,0e:300"}},
		{name: "deadly segment first", deadly: []string{"dead:100,aa:800"}, sound: good},
		{name: "deadly segment between sound ones", deadly: []string{"aa:800,dead:100,0e:300"}, sound: []string{"aa:800,0e:300", "aa:800", "0e:300"}},
		{name: "segments in another order", deadly: []string{"aa:800,dead:100,0e:300", "dead:100,0e:300,aa:800", "0e:300,aa:800,dead:100"}, sound: []string{"aa:800,0e:300"}},
		{name: "only the key is shared", deadly: bad, sound: []string{"cc:800"}},
		{name: "two deadly segments", deadly: []string{"aa:800,dead:100", "0e:300,1dead:100"}, sound: []string{"aa:800", "0e:300", "aa:800,0e:300"}},
		{name: "two deadly segments beside one sound", deadly: []string{"aa:800,dead:100", "aa:800,1dead:100"}, sound: good},
		{name: "other segments later, none of them sound", deadly: changing, sound: []string{"cc:800"}, lost: 0.5, prepare: (*testFleet).retryAtOnce},
		{name: "other crashes", deadly: bad, sound: good, lost: 0.5, prepare: (*testFleet).crashInTurn},
		{name: "responses that are no event streams", deadly: bad, sound: good, prepare: (*testFleet).serveWholeResponses},
		{name: "errors", deadly: bad, sound: good, prepare: func(w *testFleet) { w.failEveryThird("500 Internal Server Error") }},
		{name: "requests that are too long", deadly: bad, sound: good, prepare: func(w *testFleet) { w.failEveryThird("413 Content Too Large") }},
		{name: "streams without length and chunks", deadly: bad, sound: good, prepare: (*testFleet).crashAfterFirstEvent},
	} {
		t.Run(c.name, func(t *testing.T) {
			runFleet(t, func(w *testFleet) {
				if c.prepare != nil {
					c.prepare(w)
				}
				w.testCrashingSegment(t, &c)
			})
		})
	}
}

// retryAtOnce makes requests need no stages, so that a second attempt follows the first at once.
func (w *testFleet) retryAtOnce() {
	w.configureRoute(3, "draft", map[string]any{"stages": []any{}})
	time.Sleep(2 * time.Second)
}

// crashInTurn crashes a model server every 3.7 s; it is back after 2 s.
func (w *testFleet) crashInTurn() {
	w.serving.Go(func() {
		for i := range 11 {
			time.Sleep(3700 * time.Millisecond)
			ip, _, _ := net.SplitHostPort(w.all("model")[i%3].Address)
			w.net.SetHost(ip, standin.HostRefuses)
			time.AfterFunc(2*time.Second, func() { w.net.SetHost(ip, standin.HostUp) })
		}
	})
}

// serveWholeResponses makes the responses of model servers no event streams.
func (w *testFleet) serveWholeResponses() {
	w.configureRoute(2, "draft", map[string]any{"route-kind": "safe", "resumable": false})
	time.Sleep(2 * time.Second)
}

// failEveryThird makes model servers answer every third of the deadly requests with an error before they run it.
func (w *testFleet) failEveryThird(status string) {
	var n atomic.Int32
	w.answerDeadly(func(_ *platformstandin.Server, x platformstandin.Run) string {
		if n.Add(1)%3 != 0 {
			return ""
		}
		return head(x, status, "Content-Length: 0")
	})
}

// crashAfterFirstEvent makes model servers crash after the first event of a deadly request, whose stream, with
// neither a length nor chunks, ends there.
func (w *testFleet) crashAfterFirstEvent() {
	w.answerDeadly(func(s *platformstandin.Server, x platformstandin.Run) string {
		go s.Crash()
		return head(x, "200 OK", eventStream) + fullStream(1)
	})
}

// answerDeadly makes model servers send f's response, if any, to requests whose id begins with d.
func (w *testFleet) answerDeadly(f func(*platformstandin.Server, platformstandin.Run) string) {
	for _, s := range w.all("model") {
		s.Raw = func(x platformstandin.Run) string {
			if x.ID[0] != 'd' {
				return ""
			}
			return f(s, x)
		}
	}
}

// prefix returns the header with the segments l and one that only request id has.
func prefix(id, l string) []string {
	return []string{"X-Bergamotspring-Prefix-Hash", fmt.Sprintf("%s,bb%s:200", l, id)}
}

// testCrashingSegment sends a deadly request each second, beside a sound one with the same key.
func (w *testFleet) testCrashingSegment(t *testing.T, c *crashingSegmentTest) {
	nodes := []string{"a1", "b1", "c1", "a2"}
	sendSound := func(id string, i int) (atFirst bool) {
		r := w.stream(nodes[(i+1)%len(nodes)], "/draft/x", id, sharedKey(prefix(id, c.sound[i%len(c.sound)]))...)
		return r.status == 200 && r.body == fullStream(6) && w.runCount(id) == 1
	}
	for i := range 5 {
		if !sendSound(fmt.Sprint("c", i), i) {
			t.Fatalf("sound request %d was not served at its first attempt before any crash", i)
		}
	}
	crashes := w.crashOnSegment()
	sent, reached, served, sound := 0, 0, 0, 0
	for i := range 30 {
		node := nodes[i%len(nodes)]
		known := contactTime
		if l := crashes(); len(l) >= 5 {
			known = time.Since(l[4])
		} else if i > 10 {
			known = 2 * contactTime // fewer crashes than five: they were soon traced
		}
		bad, good := fmt.Sprint("d", i), fmt.Sprint("e", i)
		if l := c.deadly[i%len(c.deadly)]; l != "" {
			w.serving.Go(func() { w.stream(node, "/draft/x", bad, sharedKey(prefix(bad, l))...) })
		}
		atFirst := sendSound(good, i)
		time.Sleep(time.Second)
		if known > contactTime {
			sent++
			reached += w.runCount(bad)
		}
		if known >= 2*contactTime {
			sound++
			if atFirst {
				served++
			}
		}
	}
	t.Logf("%d crashes, %d runs of %d deadly requests, %d of %d sound ones at their first attempt", len(crashes()), reached, sent, served, sound)
	if reached > 3 || sent < 5 {
		t.Errorf("%d runs of %d requests that crash servers, want at most 3 (%d crashes)", reached, sent, len(crashes()))
	}
	if float64(served) < (1-c.lost)*float64(sound) || sound < 5 {
		t.Errorf("%d of %d sound requests were served at their first attempt", served, sound)
	}
	last := c.deadly[len(c.deadly)-1]
	if r := w.stream("b1", "/draft/x", "last", prefix("last", last)...); r.status != 503 || r.header.Get("Retry-After") == "" || r.took > 10*time.Millisecond || !strings.Contains(r.body, "not run") {
		t.Errorf("got %d %q after %v, want a refusal at once", r.status, r.body, r.took)
	}
}

func sharedKey(headers []string) []string {
	return append(headers, "X-Bergamotspring-Chunk-Key", "shared")
}

// All nodes learn of a prompt segment that crashed servers before they started, or while they were cut
// off: later than 4 s after that, no request with it reaches a server.
func TestCulpritOutlivesNodes(t *testing.T) {
	all := []string{"a1", "b1", "c1", "a2"}
	t.Run("restarts", func(t *testing.T) {
		runFleet(t, func(w *testFleet) {
			w.crashOnSegment()
			w.sendDeadly("d", all, 10)
			for _, n := range all {
				w.kill(n)
				time.Sleep(500 * time.Millisecond)
				w.restart(n)
				time.Sleep(1500 * time.Millisecond)
			}
			time.Sleep(contactTime)
			if got := w.sendDeadly("e", all, 8); got > 0 {
				t.Errorf("%d runs of 8 requests that crash servers, after each node has restarted", got)
			}
		})
	})
	t.Run("cut", func(t *testing.T) {
		runFleet(t, func(w *testFleet) {
			w.crashOnSegment()
			w.net.SetHost("10.0.0.2", standin.HostGone) // a2
			time.Sleep(6 * time.Second)
			w.sendDeadly("d", all[:3], 10)
			w.net.SetHost("10.0.0.2", standin.HostUp)
			time.Sleep(contactTime)
			if got := w.sendDeadly("e", all[3:], 4); got > 0 {
				t.Errorf("%d runs of 4 requests that crash servers, at a node that was cut off", got)
			}
		})
	})
}

// sendDeadly sends n requests with segment dead, one a second, and returns how often they reached a server.
func (w *testFleet) sendDeadly(id string, nodes []string, n int) int {
	runs := 0
	for i := range n {
		x := fmt.Sprint(id, i)
		w.stream(nodes[i%len(nodes)], "/draft/x", x, prefix(x, "aa:800,dead:100")...)
		runs += w.runCount(x)
		time.Sleep(time.Second)
	}
	return runs
}

// Requests with a culprit are tried one at a time, long after its last crash: one that crashes no servers is
// released, also if the node that grants trials vanishes or no node saw a crash, and a deadly one crashes a single
// server more.
func TestCulpritIsTried(t *testing.T) {
	for _, what := range []string{"sound", "sound, arbiter gone", "sound, nodes restarted", "deadly"} {
		t.Run(what, func(t *testing.T) { runFleet(t, func(w *testFleet) { w.testTrial(t, what) }) })
	}
}

func (w *testFleet) testTrial(t *testing.T, what string) {
	crashes := w.crashOnSegment()
	nodes := []string{"a1", "b1", "c1", "a2"}
	for n := 0; len(crashes()) < 3; n++ {
		w.sendDeadly(fmt.Sprint("d", n, "-"), nodes[n%4:], 1)
	}
	synctest.Wait()
	if what == "sound, nodes restarted" {
		for _, n := range nodes {
			w.kill(n)
			w.restart(n)
			time.Sleep(time.Second)
		}
		synctest.Wait()
	}
	if what != "deadly" {
		for _, d := range []string{"a", "b", "c"} {
			w.servers["model-"+d].FatalSegment = ""
		}
	}
	if what == "sound, arbiter gone" {
		w.net.SetHost("10.0.0.1", standin.HostGone) // a1
		nodes = nodes[1:]
	}
	before := len(crashes())
	early := w.sendDeadly("e", nodes, 10)
	if late := w.sendDeadly("f", nodes, 60); what != "deadly" && late < 60 {
		t.Errorf("%d of 60 requests served, %d runs before", late, early)
	}
	if got := len(crashes()) - before; what == "deadly" && got != 1 {
		t.Errorf("%d crashes by trials, want 1", got)
	}
}

// A request that is refused does not wait long for an arbiter that is silent, and not past its deadline.
func TestTrialOfSilentArbiter(t *testing.T) {
	for _, c := range []struct {
		deadline string
		want     time.Duration
	}{{"300", 300 * time.Millisecond}, {"4000", time.Second}} {
		t.Run(c.deadline, func(t *testing.T) {
			runFleet(t, func(w *testFleet) {
				w.crashOnSegment()
				w.sendDeadly("d", []string{"a1", "b1", "c1", "a2"}, 4)
				time.Sleep(10 * time.Second)
				w.net.SetHost("10.0.0.1", standin.HostGone) // a1
				r := w.stream("b1", "/draft/x", "e", append(prefix("e", "aa:800,dead:100"), "X-Bergamotspring-Deadline-Ms", c.deadline)...)
				if r.status != 503 || r.took > c.want {
					t.Errorf("got %d after %v, want a refusal within %v", r.status, r.took, c.want)
				}
			})
		})
	}
}

// Servers that crash and listen again before they are probed, as a new process, count as crashed.
func TestCrashingPromptSegmentOfServersBackAtOnce(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		runs := w.crashOnSegment()
		for i, d := range []string{"a", "b", "c"} {
			s, started := w.servers["model-"+d], 1000*i+1
			w.registerProcess(s, "model", d, started, 1)
			crash := s.Crash
			s.Crash = func() {
				crash()
				ip, _, _ := net.SplitHostPort(s.Address)
				w.net.SetHost(ip, standin.HostUp)
				started++
				w.registerProcess(s, "model", d, started, 1)
			}
		}
		time.Sleep(2 * time.Second)
		all := []string{"a1", "b1", "c1", "a2"}
		w.sendDeadly("d", all, 8)
		if got := w.sendDeadly("e", all, 4); got > 0 {
			t.Errorf("%d runs of 4 requests that crash servers, after %d crashes", got, len(runs()))
		}
	})
}
