package suspect

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"bergamotspring/core/member"
)

func ExampleSet() {
	var t Set
	t.ObserveCrash([]uint64{1, 2}, false) // both were in flight on a server that crashed
	t.ObserveSuccess(1)                   // ran exclusively to its end
	t.ObserveCrash([]uint64{2}, true)     // crashed another server while exclusive
	fmt.Println(t.Check(1) == member.Cleared, t.Check(2) == member.Poison)
	// Output: true true
}

// Guards against a request that is marked as poison for crashes it shared with others, and
// one whose poison mark expires too early or too late.
func TestStates(t *testing.T) {
	now := time.Unix(1e6, 0)
	x := Set{Now: func() time.Time { return now }}
	for range 50 {
		x.ObserveCrash([]uint64{1, 2}, false)
		x.ObserveCrash([]uint64{1, 3}, true) // two requests are not exclusive, whatever the flag says
	}
	if got, want := x.Check(1), member.Suspected; got != want {
		t.Errorf("after shared crashes: %v, want %v", got, want)
	}
	x.ObserveCrash([]uint64{1}, true)
	for i, c := range []struct {
		after time.Duration
		want  member.SuspectState
	}{
		{59 * time.Minute, member.Poison}, // a resend extends it by an hour
		{60 * time.Minute, member.Poison},
		{62 * time.Minute, member.Cleared},
	} {
		now = now.Add(c.after)
		if got := x.Check(1); got != c.want {
			t.Errorf("resend %d: %v, want %v", i, got, c.want)
		}
	}
	x.Tick()
	if got := x.All(); len(got) != 0 {
		t.Errorf("kept %v after their TTL", got)
	}
}

// Guards against a set that grows without bound or evicts poison requests first.
func TestBounded(t *testing.T) {
	now := time.Unix(1e6, 0)
	x := Set{Now: func() time.Time { return now }, Max: 100}
	x.ObserveCrash([]uint64{7}, true)
	for i := range uint64(1000) {
		now = now.Add(time.Second)
		x.ObserveCrash([]uint64{i + 10}, false)
		if got := len(x.entries); got > 100 {
			t.Fatalf("%d entries, want at most 100", got)
		}
	}
	if got, want := x.Check(7), member.Poison; got != want {
		t.Errorf("poison request: %v, want %v", got, want)
	}
	if got, want := x.Check(1009), member.Suspected; got != want {
		t.Errorf("newest suspect: %v, want %v", got, want)
	}
}

// Guards against sets that stay different after updates that arrived late, twice or in
// another order, and against requests marked as poison that never crashed a server.
// Requests below 10 crash servers; clocks are up to 2 s apart.
func TestRandomGossip(t *testing.T) {
	for seed := range uint64(30) {
		g := rand.New(rand.NewPCG(seed, 3))
		now := time.Unix(1e6, 0)
		var x [4]Set
		for i := range x {
			skew := time.Duration(g.IntN(2000)) * time.Millisecond
			x[i].Now = func() time.Time { return now.Add(skew) }
		}
		var messages [][]member.SuspectUpdate
		gossip := func() {
			for i := range x {
				messages = append(messages, x[i].Updates(5), x[i].All())
			}
			for range 4 {
				x[g.IntN(4)].Merge(messages[g.IntN(len(messages))])
			}
		}
		for range 300 {
			now = now.Add(time.Duration(g.IntN(500)) * time.Millisecond)
			i, f := g.IntN(4), uint64(g.IntN(40))
			switch x[i].Check(f) {
			case member.Cleared:
				if f < 10 {
					x[i].ObserveCrash([]uint64{f, 10 + uint64(g.IntN(30))}, false)
				}
			case member.Suspected:
				if f < 10 {
					x[i].ObserveCrash([]uint64{f}, true)
				} else {
					x[i].ObserveSuccess(f)
				}
			case member.Poison:
				if f >= 10 {
					t.Fatalf("seed %d: request %d is poison and never crashed a server", seed, f)
				}
			}
			gossip()
		}
		for range 2 {
			for i := range x {
				for j := range x {
					x[j].Merge(x[i].All())
				}
			}
		}
		for i := range x[1:] {
			if got, want := x[1+i].All(), x[0].All(); !reflect.DeepEqual(got, want) {
				t.Fatalf("seed %d: sets differ:\n%v\n%v", seed, got, want)
			}
		}
		var y [2]Set
		for i := range y {
			y[i].Now = x[0].Now
			for _, j := range append(g.Perm(len(messages)), g.Perm(len(messages))...) {
				y[i].Merge(messages[j])
			}
		}
		if got, want := y[1].All(), y[0].All(); !reflect.DeepEqual(got, want) {
			t.Fatalf("seed %d: the order of updates matters:\n%v\n%v", seed, got, want)
		}
		for f := range uint64(40) {
			if got := x[0].Check(f); f >= 10 && got == member.Poison {
				t.Errorf("seed %d: request %d: %v", seed, f, got)
			}
		}
	}
}
