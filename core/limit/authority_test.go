package limit

import (
	"errors"
	"math"
	"testing"
	"time"

	"bergamotspring/core/fleet"
)

// Guards against a limiter that refuses everything because the end of its authority
// overflows: without a standby, authority has no end.
func TestUnlimitedAuthorityGrants(t *testing.T) {
	h, g := oneServer(math.MaxInt64)
	l := h.Submit(Request{Node: "n", ID: 1, Group: g, Deadline: time.Second})
	if len(l) != 1 || l[0].Err != nil {
		t.Fatalf("Submit = %+v, want one permit", l)
	}
	if got, want := l[0].Permit.Server, "s"; got != want {
		t.Errorf("server = %q, want %q", got, want)
	}
}

// Guards against calls that wait until their deadlines for a group whose servers are
// all down, while groups in other failure domains have free slots.
func TestQueuedCallsLeaveUnreachableGroup(t *testing.T) {
	h, g := oneServer(time.Hour)
	p := h.Submit(Request{Node: "n", ID: 1, Group: g, Deadline: time.Second})[0].Permit
	if l := h.Submit(Request{Node: "n", ID: 2, Group: g, Deadline: time.Second}); len(l) != 0 {
		t.Fatalf("second request = %+v, want it to wait", l)
	}
	l, _ := h.Release(Release{Permit: p.ID, Epoch: p.Epoch, Group: g, Server: p.Server, Result: Crashed})
	l = append(l, h.Submit(Request{Node: "n", ID: 3, Group: g, Deadline: time.Second})...)
	if len(l) != 2 {
		t.Fatalf("decisions = %+v, want two refusals", l)
	}
	for _, d := range l {
		if e, ok := errors.AsType[*RefusedError](d.Err); !ok || e.Reason != RefusedMoved {
			t.Errorf("request %d: %v, want moved", d.Request.ID, d.Err)
		}
	}
}

// oneServer returns a limiter for a group of one server with a limit of one call.
func oneServer(remaining time.Duration) (*Limiter, fleet.GroupID) {
	d := &fleet.Declaration{
		Domains: []fleet.FailureDomain{{Name: "d", Region: "r"}},
		Pools:   []fleet.Pool{{Name: "p", Limit: 1, ColdLimit: 1}},
		Servers: []fleet.BackendServer{{Name: "s", Pool: "p", Domain: "d"}},
	}
	g := fleet.GroupID{Pool: "p", Domain: "d"}
	h := &Limiter{
		Now:       func() time.Time { return time.Unix(1, 0) },
		Authority: func() (uint64, time.Duration) { return 1, remaining },
	}
	h.Configure(fleet.NewView(d, 1), g, nil)
	h.Begin(1, nil)
	return h, g
}

// Guards against a second call on a cold server while a call that its node gave up may
// still be in its prefill, which was seen to end 268 ms after the cancellation, later than
// holdGrace.
func TestAbandonedCallCountsOnColdServer(t *testing.T) {
	d := &fleet.Declaration{
		Domains: []fleet.FailureDomain{{Name: "d", Region: "r"}},
		Pools:   []fleet.Pool{{Name: "p", Limit: 2, ColdLimit: 1, ColdFactor: 3, Expect: 500 * time.Millisecond}},
		Servers: []fleet.BackendServer{{Name: "s", Pool: "p", Domain: "d"}},
	}
	g := fleet.GroupID{Pool: "p", Domain: "d"}
	now := time.Unix(1, 0)
	h := &Limiter{Now: func() time.Time { return now }, Authority: func() (uint64, time.Duration) { return 1, time.Hour }}
	h.Configure(fleet.NewView(d, 1), g, nil)
	h.Begin(1, nil)
	request := Request{Node: "n", ID: 1, Group: g, Deadline: 4 * time.Second}
	p := h.Submit(request)[0].Permit
	h.Release(Release{Permit: p.ID, Epoch: p.Epoch, Group: g, Server: p.Server, Result: Abandoned})
	request.ID = 2
	l := h.Submit(request)
	now = now.Add(1400 * time.Millisecond)
	if l = append(l, h.Tick()...); len(l) != 0 {
		t.Fatalf("within the time of a cold response: %+v, want the call to wait", l)
	}
	now = now.Add(200 * time.Millisecond)
	if l = h.Tick(); len(l) != 1 || l[0].Err != nil {
		t.Errorf("after it: %+v, want one permit", l)
	}
}
