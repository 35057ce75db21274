package suspect

import (
	"fmt"
	"testing"
	"time"
)

// A request that was on three servers as they crashed does not run again while it is resent.
func TestCounter(t *testing.T) {
	now := time.Unix(0, 0)
	c := Counter{Now: func() time.Time { return now }}
	for i, s := range []string{"a", "b", "b", "c"} {
		if c.IsPoison(1) {
			t.Fatalf("condemned after %d crashes", i)
		}
		c.ObserveCrash(1, s)
	}
	for range 5 {
		now = now.Add(remembered - time.Second)
		if !c.IsPoison(1) {
			t.Fatal("not condemned although it is resent")
		}
	}
	if c.IsPoison(2) {
		t.Error("another request is condemned")
	}
	now = now.Add(remembered + time.Second)
	if c.IsPoison(1) {
		t.Error("condemned for ever")
	}
}

// One that ends well in between was on the crashed servers by chance.
func TestCounterClears(t *testing.T) {
	var c Counter
	c.ObserveCrash(1, "a")
	c.ObserveCrash(1, "b")
	if !c.ObserveSuccess(1) || c.ObserveSuccess(1) {
		t.Error("Ran does not tell whether crashes were counted")
	}
	c.ObserveCrash(1, "c")
	if c.IsPoison(1) {
		t.Error("condemned although it ended well")
	}
}

func TestCounterIsBounded(t *testing.T) {
	now := time.Unix(0, 0)
	c := Counter{Now: func() time.Time { return now }}
	for i := range mostCounted + 10 {
		now = now.Add(time.Millisecond)
		c.ObserveCrash(uint64(i), fmt.Sprint(i))
	}
	if n := len(c.seen); n > mostCounted {
		t.Errorf("got %d requests, want at most %d", n, mostCounted)
	}
}
