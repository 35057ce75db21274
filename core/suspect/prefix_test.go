package suspect

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"bergamotspring/core/member"
)

// Guards against a prefix that is poison for the crashes of one moment or although requests with it
// succeed, one that is refused for ever, and sets that differ after updates in another order.
func TestPrefix(t *testing.T) {
	now := time.Unix(1e6, 0)
	clock := func() time.Time { return now }
	x := Set{Now: clock}
	var sent []member.SuspectUpdate
	const prefix = 7
	crash := func(wasSuspect bool) func() { return func() { x.ObservePrefixCrash(prefix, wasSuspect) } }
	success := func() { x.ObservePrefixSuccess(prefix) }
	for i, s := range []struct {
		do   func()
		want member.SuspectState
	}{
		{success, member.Cleared},
		{crash(false), member.Suspected},
		{crash(false), member.Suspected}, // as in the loss of a failure domain
		{crash(true), member.Poison},
		{success, member.Cleared}, // of an earlier request that still ran
		{crash(true), member.Cleared},
		{func() { now = now.Add(soundTTL) }, member.Cleared},
		{crash(false), member.Suspected},
		{crash(true), member.Poison},
		{func() { now = now.Add(prefixTTL) }, member.Suspected}, // may run exclusively
		{crash(true), member.Poison},
		{func() { now = now.Add(2 * entryTTL) }, member.Cleared},
	} {
		s.do()
		if got := x.CheckPrefix(prefix); got != s.want {
			t.Errorf("step %d: %v, want %v", i, got, s.want)
		}
		if i < 9 {
			sent = append(sent, x.All()...)
		}
		now = now.Add(time.Second)
	}
	x.ObservePrefixCrash(prefix, false)
	if got := x.Check(prefix); got != member.Cleared {
		t.Errorf("a request whose fingerprint equals the prefix: %v, want %v", got, member.Cleared)
	}
	now = time.Unix(1e6, 0).Add(soundTTL + time.Minute)
	var first []member.SuspectUpdate
	for seed := range uint64(20) {
		g, y := rand.New(rand.NewPCG(seed, 1)), Set{Now: clock}
		for _, i := range append(g.Perm(len(sent)), g.Perm(len(sent))...) {
			y.Merge(sent[i : i+1])
		}
		if seed == 0 {
			first = y.All()
		}
		if got := y.All(); !reflect.DeepEqual(got, first) || y.CheckPrefix(prefix) != member.Poison {
			t.Errorf("seed %d: the order of updates matters: %v, want %v", seed, got, first)
		}
	}
}
