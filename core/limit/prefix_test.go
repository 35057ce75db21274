package limit

import (
	"slices"
	"testing"
	"time"

	"bergamotspring/core/member"
	"bergamotspring/core/suspect"
)

// withSet connects the limiter of r to a set and returns it.
func withSet(r *rig) *suspect.Set {
	x := &suspect.Set{Now: func() time.Time { return r.now }}
	r.limiter.Prefixes = Prefixes{State: x.CheckPrefix, OnCrash: x.ObservePrefixCrash, OnSuccess: x.ObservePrefixSuccess}
	return x
}

// Guards against sound requests that are held back or refused since others that begin alike crashed
// servers, and against deadly ones that run beside other calls. Servers that crash together show
// nothing more than one crash.
func TestPrefixEvidence(t *testing.T) {
	const prefix = 5
	r := newWarmRig(t, 9)
	x := withSet(r)
	crashExclusive := func() Evidence {
		i := slices.IndexFunc(r.held, func(c heldCall) bool { return c.Exclusive })
		return r.releaseOldest(r.held[i].Server, Crashed)
	}
	r.submitN(1, Request{Prefix: prefix, Fingerprint: 1})
	r.submitN(1, Request{Prefix: prefix, Fingerprint: 2, Suspect: true})
	r.submitN(1, Request{Prefix: prefix, Fingerprint: 3, Suspect: true})
	for range 2 {
		if e := crashExclusive(); e.Prefix != prefix || e.PrefixSuspect {
			t.Errorf("crash of a lost failure domain: %+v, want prefix %d, not a suspect before", e, prefix)
		}
	}
	r.submitN(1, Request{Prefix: prefix, Fingerprint: 4})
	if got := r.held[len(r.held)-1]; !got.Exclusive {
		t.Errorf("a call with a suspect prefix: %+v, want it exclusive", got)
	}
	if e := r.releaseOldest(r.held[0].Server, Good); e.Served != prefix {
		t.Errorf("a success of the prefix: %+v, want it served", e)
	}
	r.submitN(3, Request{Prefix: prefix, Fingerprint: 6})
	for _, c := range r.held[1:] {
		if c.Exclusive {
			t.Errorf("a call after a success of its prefix: %+v, want it not exclusive", c)
		}
	}
	if e := crashExclusive(); !e.PrefixSuspect {
		t.Errorf("crash of a call with a suspect prefix: %+v, want its prefix a suspect before", e)
	}
	if got, want := x.CheckPrefix(prefix), member.Cleared; got != want {
		t.Errorf("a prefix with a success: %v, want %v", got, want)
	}
	x.ObservePrefixCrash(prefix+1, true)
	n := len(r.held)
	r.submitN(1, Request{Prefix: prefix + 1, Fingerprint: 7})
	if got, want := len(r.held), n; got != want {
		t.Errorf("%d calls with a poison prefix run", got-want)
	}
}

// Guards against a call that waits on for a server of its own after a success has cleared its prefix.
func TestClearedPrefixRunsWaitingCall(t *testing.T) {
	r := newWarmRig(t, 1)
	x := withSet(r)
	r.submitN(2, Request{Prefix: 5})
	x.ObservePrefixCrash(5, false)
	r.submitN(1, Request{Prefix: 5})
	if got, want := len(r.held), 2; got != want {
		t.Errorf("%d calls run beside a suspect prefix, want %d", got, want)
	}
	r.releaseOldest("s0", Good)
	if got, want := len(r.held), 2; got != want || r.held[1].Exclusive {
		t.Errorf("%d calls %+v after a success, want %d that share the server", got, r.held, want)
	}
}
