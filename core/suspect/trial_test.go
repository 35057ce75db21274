package suspect

import (
	"testing"
	"time"
)

// A culprit is tried once some time after its last crash, far later after a crash of a trial, and ever later after
// trials without an outcome. Nodes that adopted it know what trials have shown.
func TestTrials(t *testing.T) {
	a, b := newTestPair(t)
	r := req(9, first, own, dead)
	grant := func(what string, after, want time.Duration) {
		t.Helper()
		a.now = a.now.Add(after)
		a.check("resent", r, true)
		if got := a.GrantTrial(r); got != want {
			t.Errorf("%s: wait %v, want %v", what, got, want)
		}
	}
	a.exchange(b, 0)
	b.now = b.now.Add(trialDelay)
	if !b.AskTrial(r) || b.AskTrial(r) {
		t.Error("a node asks for no trial, or for two at once")
	}
	grant("right after the crash", time.Second, trialDelay-time.Second)
	grant("first", trialDelay-time.Second, 0)
	grant("a second one at once", 0, grantFactor*trialDelay)
	grant("no outcome", grantFactor*trialDelay, 0)
	grant("no outcome again", trialDelay, maxTrialWait)
	a.crash("d", r)
	b.now = a.now
	a.exchange(b, 0)
	c := newTestCounter(t)
	c.now = a.now.Add(2 * trialDelay)
	b.now = c.now
	b.exchange(c, 0)
	for _, x := range []*testCounter{b, c} {
		if got := x.GrantTrial(r); got != maxTrialWait {
			t.Errorf("a node that adopted the culprit, after the crash: wait %v, want %v", got, maxTrialWait)
		}
	}
	left := crashFactor * trialDelay
	for ; left > crashTTL; left -= crashTTL / 2 {
		grant("after a crash", crashTTL/2, min(left-crashTTL/2, maxTrialWait))
	}
	grant("long after it", left, 0)
	a.ObserveResponse(r)
	a.check("after a response", r, false)
	for _, s := range []string{"x", "y", "z"} {
		a.crash(s, req(1))
	}
	r = req(1)
	grant("a request by itself", trialDelay, maxTrialWait)
	grant("a request by itself, long after it", crashFactor*trialDelay, 0)
}
