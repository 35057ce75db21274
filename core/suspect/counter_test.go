package suspect

import (
	"fmt"
	"testing"
	"time"
)

// A request that was on three servers when they crashed does not run again as long as it is
// resent.
func TestCounter(t *testing.T) {
	now := time.Unix(0, 0)
	c := Counter{Now: func() time.Time { return now }}
	for i, s := range []string{"a", "b", "b", "c"} {
		if c.IsPoison(1) {
			t.Fatalf("poison after %d crashes", i)
		}
		c.ObserveCrash(1, s)
	}
	for range 5 {
		now = now.Add(crashTTL - time.Second)
		if !c.IsPoison(1) {
			t.Fatal("not poison although it is resent")
		}
	}
	if c.IsPoison(2) {
		t.Error("another request is poison")
	}
	now = now.Add(crashTTL + time.Second)
	if c.IsPoison(1) {
		t.Error("still poison after the TTL")
	}
}

// A request that succeeds between crashes was on the crashed servers by chance.
func TestCounterClearedBySuccess(t *testing.T) {
	var c Counter
	c.ObserveCrash(1, "a")
	c.ObserveCrash(1, "b")
	if !c.ObserveSuccess(1) || c.ObserveSuccess(1) {
		t.Error("ObserveSuccess does not report whether crashes were counted")
	}
	c.ObserveCrash(1, "c")
	if c.IsPoison(1) {
		t.Error("poison although it succeeded")
	}
}

func TestCounterIsBounded(t *testing.T) {
	now := time.Unix(0, 0)
	c := Counter{Now: func() time.Time { return now }}
	for i := range maxCounted + 10 {
		now = now.Add(time.Millisecond)
		c.ObserveCrash(uint64(i), fmt.Sprint(i))
	}
	if n := len(c.records); n > maxCounted {
		t.Errorf("got %d requests, want at most %d", n, maxCounted)
	}
}
