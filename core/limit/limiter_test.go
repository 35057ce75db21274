package limit

import (
	"errors"
	"slices"
	"testing"
	"time"
)

// newWarmRig returns a rig whose servers were all observed warm by a node.
func newWarmRig(t *testing.T, n int) *rig {
	r := newRig(t, n)
	var x HeldReport
	for s := range r.cold {
		x.Warm = append(x.Warm, WarmObservation{Server: s, Service: 50 * time.Millisecond})
		r.cold[s].since = r.now.Add(-time.Hour)
		r.cold[s].good = 1000
	}
	r.check(r.limiter.Adopt(x))
	return r
}

func (r *rig) submitN(n int, a Request) {
	if a.Deadline == 0 {
		a.Deadline = 3 * time.Second
	}
	for range n {
		r.submit(a)
	}
}

func (r *rig) inFlight(s string) int {
	n := 0
	for _, c := range r.held {
		if c.Server == s {
			n++
		}
	}
	return n
}

// releaseOldest releases the oldest permit at s.
func (r *rig) releaseOldest(s string, x Result) Evidence {
	i := slices.IndexFunc(r.held, func(c heldCall) bool { return c.Server == s })
	return r.release(i, x, 50*time.Millisecond)
}

func reason(o []Decision) Refusal {
	var e *RefusedError
	if len(o) == 1 && errors.As(o[0].Err, &e) {
		return e.Reason
	}
	return 0
}

// Guards against calls above the limit of a full or cold server: cold servers keep their
// cold limit, and warm ones do not exceed theirs to take the rest.
func TestColdServersKeepTheirLimit(t *testing.T) {
	for _, x := range []Result{Cold, Crashed, Refused} {
		r := newWarmRig(t, 3)
		r.submitN(3, Request{})
		r.releaseOldest("s0", x)
		r.releaseOldest("s1", x)
		r.submitN(40, Request{})
		r.tick(4 * time.Second / 10) // past the first retry of a crashed server
		if got, want := r.inFlight("s2"), 8; got != want {
			t.Errorf("result %d: %d calls at the warm server, want %d", x, got, want)
		}
		want := 2
		if x != Cold {
			want = 1 // until it has responded
		}
		if got := r.inFlight("s0"); got != want {
			t.Errorf("result %d: %d calls at the cold server, want %d", x, got, want)
		}
	}
}

// Guards against cold servers that stay cold because warm ones with free slots get
// all calls, and against calls with little remaining time on a cold server.
func TestColdServersGetProbes(t *testing.T) {
	r := newWarmRig(t, 2)
	r.submitN(2, Request{})
	r.releaseOldest("s0", Cold)
	r.tick(rampStep)
	r.submitN(1, Request{Deadline: 150 * time.Millisecond})
	if got := r.inFlight("s0"); got != 0 {
		t.Errorf("%d calls with little remaining time at the cold server", got)
	}
	r.submitN(1, Request{})
	if got, want := r.inFlight("s0"), 1; got != want {
		t.Errorf("%d calls at the cold server, want %d", got, want)
	}
}

// Guards against cold servers that stay idle because calls, all with little remaining
// time, go only to the cold server that is furthest in its ramp.
func TestColdServersShareCalls(t *testing.T) {
	r := newWarmRig(t, 3)
	r.submitN(3, Request{})
	for _, s := range []string{"s0", "s1", "s2"} {
		r.releaseOldest(s, Cold)
	}
	calls := map[string]int{}
	for range 9 {
		r.until = r.now.Add(time.Minute)
		r.tick(rampStep)
		r.submitN(1, Request{Deadline: 150 * time.Millisecond})
		for _, s := range []string{"s0", "s1", "s2"} {
			if r.inFlight(s) > 0 {
				calls[s]++
				r.releaseOldest(s, Good)
			}
		}
	}
	for _, s := range []string{"s0", "s1", "s2"} {
		if got, want := calls[s], 3; got != want {
			t.Errorf("%d calls at %s, want %d", got, s, want)
		}
	}
}

// Guards against a limit that fast responses more than double in a step, and one that
// rises by responses to older calls or stays high after a failure.
func TestRamp(t *testing.T) {
	var r ramp
	r.setLimits(64, 2)
	r.markCold(time.Second)
	for step, want := range []int{4, 8, 16, 32, 64} {
		now := time.Second + time.Duration(step)*rampStep
		for range 4000 {
			r.onGoodResponse(now, now)
		}
		if got := r.currentLimit(); got != want {
			t.Errorf("step %d: limit %d, want %d", step, got, want)
		}
	}
	r.markCold(time.Minute)
	for range 1000 {
		r.onGoodResponse(2*time.Minute, time.Minute-1)
	}
	if got, want := r.currentLimit(), 2; got != want {
		t.Errorf("after responses to older calls: limit %d, want %d", got, want)
	}
	r.onGoodResponse(2*time.Minute, 2*time.Minute)
	r.onGoodResponse(2*time.Minute, 2*time.Minute)
	r.onFailure(2 * time.Minute)
	if got, want := r.currentLimit(), 2; got != want {
		t.Errorf("after a failure in the ramp: limit %d, want %d", got, want)
	}
}

// Guards against a new lease holder that grants before it knows the permits of the
// previous one, and against observations whose order of arrival matters.
func TestNewHolderCollectsPermits(t *testing.T) {
	warm := HeldReport{Node: "n0", Warm: []WarmObservation{{Server: "s0", Age: time.Second}, {Server: "s1", Age: time.Second}, {Server: "s2"}}}
	cold := HeldReport{Node: "n1", Cold: []ColdObservation{{Server: "s1", Age: time.Second / 2}}}
	cold.Held = []HeldPermit{{Node: "n1", Permit: Permit{ID: 7, Epoch: 1, Group: testGroup, Server: "s2", Cold: true}, Remaining: time.Second}}
	for _, o := range [][]HeldReport{{warm, cold}, {cold, warm}, {cold, warm, cold, warm}} {
		r := newRig(t, 3)
		r.epoch = 2
		r.check(r.limiter.Begin(2, []string{"n0", "n1"}))
		r.cold["s0"].good = 1000
		r.cold["s0"].since = r.now.Add(-time.Hour)
		r.submitN(20, Request{})
		r.check(r.limiter.Adopt(o[0]))
		if got := len(r.held); got != 0 {
			t.Errorf("%d permits before all nodes reported", got)
		}
		for _, x := range o[1:] {
			r.check(r.limiter.Adopt(x))
		}
		if got, want := [3]int{r.inFlight("s0"), r.inFlight("s1"), r.inFlight("s2")}, [3]int{8, 2, 1}; got != want {
			t.Errorf("permits at the servers: %v, want %v", got, want)
		}
	}
	r := newRig(t, 1)
	r.epoch = 2
	r.until = r.now.Add(time.Hour)
	r.check(r.limiter.Begin(2, []string{"n0", "n1"}))
	r.check(r.limiter.StopAwaiting("n0"))
	r.tick(4*time.Second + 249*time.Millisecond)
	r.submitN(1, Request{})
	if got := len(r.held); got != 0 {
		t.Errorf("%d permits while a silent node may hold some", got)
	}
	r.tick(time.Millisecond)
	if got, want := len(r.held), 1; got != want {
		t.Errorf("%d permits after the longest call, want %d", got, want)
	}
}

// Guards against ignored preferred, avoided or less loaded servers, against queued calls
// that stay in a group that was taken out, and against an older view that replaces the
// installed one.
func TestPreferredAndMoved(t *testing.T) {
	r := newWarmRig(t, 3)
	r.submitN(3, Request{Preferred: "s1"})
	r.submitN(2, Request{Avoid: []string{"s0", "s1"}})
	if got, want := [3]int{r.inFlight("s0"), r.inFlight("s1"), r.inFlight("s2")}, [3]int{0, 3, 2}; got != want {
		t.Errorf("permits at the servers: %v, want %v", got, want)
	}
	r.limiter.OnLoadReport(LoadReport{Server: "s0", Running: 9})
	r.submitN(1, Request{})
	if got, want := r.inFlight("s2"), 3; got != want {
		t.Errorf("%d calls at the idle server, want %d: load report ignored", got, want)
	}
	r.submitN(30, Request{})
	r.lastID++
	only := Request{ID: r.lastID, Group: testGroup, Deadline: time.Second, Avoid: []string{"s0", "s1"}}
	r.limiter.Submit(only)
	r.closed = []string{"s2"}
	r.pending[only.ID] = only
	o := r.limiter.Configure(testView(3, r.closed...), testGroup, nil)
	r.check(o)
	r.releaseOldest("s0", Good)
	if _, ok := r.pending[only.ID]; ok {
		t.Error("a call that must avoid all remaining servers still waits")
	}
	r.closed = []string{"s0", "s1", "s2"}
	o = r.limiter.Configure(testView(3, r.closed...), testGroup, nil)
	if got, want := len(o), len(r.pending); got != want || reason(o[:1]) != RefusedMoved {
		t.Errorf("%d queued calls came back with %v, want %d moved", got, o[0].Err, want)
	}
	older := *testView(3)
	older.Version = 0
	r.check(r.limiter.Configure(&older, testGroup, nil))
	for _, c := range []struct {
		request Request
		want    Refusal
	}{
		{Request{Group: testGroup, Deadline: time.Second}, RefusedNoServer},
		{Request{Deadline: time.Second}, RefusedNotHolder},
	} {
		if got := reason(r.limiter.Submit(c.request)); got != c.want {
			t.Errorf("refused with %v, want %v", got, c.want)
		}
	}
}

// Guards against queueing calls that cannot end before their deadline.
func TestRefusesEarly(t *testing.T) {
	r := newWarmRig(t, 1)
	r.submitN(10, Request{})
	for range 8 {
		r.releaseOldest("s0", Good)
	}
	r.submitN(30, Request{Deadline: 100 * time.Millisecond})
	// Service takes 50 ms, so 50 ms remain for waiting: 8 calls for 8 slots.
	if got, want := len(r.pending), 8; got != want {
		t.Errorf("%d calls with 100 ms remaining wait, want %d", got, want)
	}
	// After a slow period all deadlines are too short, but only for shortServiceTTL.
	r = newWarmRig(t, 1)
	r.until = r.now.Add(time.Hour)
	for range 5000 {
		if r.submitN(1, Request{}); len(r.held) > 0 {
			r.release(0, Good, 4*time.Second)
		}
	}
	for i, want := range []int{0, 1} {
		r.tick(time.Duration(i) * (shortServiceTTL + time.Millisecond))
		r.submitN(1, Request{})
		if got := len(r.held); got != want {
			t.Errorf("%d permits %v after the last response, want %d", got, time.Duration(i)*shortServiceTTL, want)
		}
	}
}

// Guards against marking calls as poison that only shared a server with others when it
// crashed, and against suspects that share a server.
func TestCrashEvidence(t *testing.T) {
	for _, c := range []struct {
		name  string
		first Result // of the call before the suspect
		want  Evidence
	}{
		{"exclusive", Good, Evidence{Crashed: []uint64{9}, Exclusive: true}},
		{"an abandoned call may still run", Abandoned, Evidence{Crashed: []uint64{9}}},
	} {
		r := newWarmRig(t, 1)
		r.submitN(2, Request{Fingerprint: 3})
		r.submitN(1, Request{Fingerprint: 9, Suspect: true})
		r.submitN(5, Request{Fingerprint: 4})
		if got, want := len(r.held), 2; got != want {
			t.Errorf("%s: %d permits while the server is emptied, want %d", c.name, got, want)
		}
		r.releaseOldest("s0", c.first)
		r.releaseOldest("s0", c.first)
		if got, want := len(r.held), 1; got != want {
			t.Errorf("%s: %d permits beside a suspect, want %d", c.name, got, want)
		}
		e := r.releaseOldest("s0", Crashed)
		if !slices.Equal(e.Crashed, c.want.Crashed) || e.Exclusive != c.want.Exclusive {
			t.Errorf("%s: evidence %+v, want %+v", c.name, e, c.want)
		}
	}
	r := newWarmRig(t, 1)
	for i := range uint64(3) {
		r.submitN(1, Request{Fingerprint: i + 1})
	}
	e := r.releaseOldest("s0", Crashed)
	if want := []uint64{1, 2, 3}; !slices.Equal(e.Crashed, want) || e.Exclusive {
		t.Errorf("shared crash: %+v, want all of %v, not exclusive", e, want)
	}
	if e := r.releaseOldest("s0", Crashed); e.Crashed != nil {
		t.Errorf("second report of a crash: evidence %+v, want none", e)
	}
	r = newWarmRig(t, 1)
	r.submitN(2, Request{Fingerprint: 5})
	if e := r.releaseOldest("s0", Refused); e.Crashed != nil {
		t.Errorf("refused connection: evidence %+v, want none", e)
	}
	// Copies of a request that crashes servers wait while the first one runs.
	r = newWarmRig(t, 1)
	r.until = r.now.Add(time.Hour)
	r.submitN(8, Request{Fingerprint: 6, Deadline: time.Second})
	for range 8 {
		r.releaseOldest("s0", Crashed)
	}
	r.tick(time.Second + holdGrace)       // the first ones cannot run any more
	r.submitN(3, Request{Fingerprint: 6}) // none waits while the only server is down
	if len(r.held) != 1 || !r.held[0].Exclusive {
		t.Errorf("copies of a suspect run as %+v, want one exclusive", r.held)
	}
	r.releaseOldest("s0", Crashed)
	r.tick(time.Second)
	if len(r.held)+len(r.pending) != 0 {
		t.Errorf("%d copies of a poison request run, %d wait, want none", len(r.held), len(r.pending))
	}
}

// Guards against outliers that keep getting work, and against ejecting more than a
// third of the servers when most look bad.
func TestEjection(t *testing.T) {
	for _, c := range []struct {
		name   string
		failed string // servers below this name fail
		want   []string
	}{
		{"one fails, one is slow", "s1", []string{"s0", "s4"}},
		{"most fail", "s4", nil},
	} {
		r := newWarmRig(t, 6)
		r.until = r.now.Add(time.Hour)
		for range 200 {
			r.submitN(1, Request{})
			x, d := Good, 10*time.Millisecond
			if s := r.held[0].Server; s < c.failed {
				x = Failed
			} else if s == "s4" {
				d = 45 * time.Millisecond
			}
			r.release(0, x, d)
		}
		var got []string
		for _, s := range r.limiter.Status().Servers {
			if s.Ejected > 0 {
				got = append(got, s.Name)
			}
		}
		if len(got) != 2 || c.want != nil && !slices.Equal(got, c.want) {
			t.Errorf("%s: ejected %v, want 2, %v", c.name, got, c.want)
		}
		r.closed = []string{"s2", "s3"}
		r.check(r.limiter.Configure(testView(6, r.closed...), testGroup, nil))
	}
	var h health
	now := time.Hour
	for _, want := range []time.Duration{5, 10, 20, 40, 60, 60} {
		h.eject(now)
		if got, want := h.ejectedUntil-now, want*time.Second; got != want {
			t.Errorf("ejected for %v, want %v", got, want)
		}
		now = h.ejectedUntil + time.Second
	}
}
