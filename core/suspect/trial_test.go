package suspect

import (
	"testing"
	"time"
)

// A culprit is tried once some time after its last crash, far later after a crash of a trial, and ever later after
// trials without an outcome. A node that adopted it grants none.
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
	if got := b.GrantTrial(r); got == 0 {
		t.Error("a node grants a trial of an adopted culprit")
	}
	grant("right after the crash", time.Second, trialDelay-time.Second)
	grant("first", trialDelay-time.Second, 0)
	grant("a second one at once", 0, grantFactor*trialDelay)
	grant("no outcome", grantFactor*trialDelay, 0)
	grant("no outcome again", trialDelay, maxTrialWait)
	a.crash("d", r)
	left := crashFactor * trialDelay
	for ; left > crashTTL; left -= crashTTL / 2 {
		grant("after a crash", crashTTL/2, min(left-crashTTL/2, maxTrialWait))
	}
	grant("long after it", left, 0)
	a.ObserveResponse(r)
	a.check("after a response", r, false)
}
