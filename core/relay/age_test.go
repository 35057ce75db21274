package relay

import (
	"testing"
	"time"
)

// A process has not started lately if its entry is old, or the start that it states. A new process, or one at another address,
// counts from its own entry on.
func TestStartedWithin(t *testing.T) {
	now := time.Unix(1e9, 0)
	c := Cache{Now: func() time.Time { return now }}
	put := func(address string, started int64) Process {
		s := &Server{ID: "s", Address: address, StartedAt: started}
		c.Put(s)
		return s.Process()
	}
	want := func(what string, p Process, want bool) {
		t.Helper()
		if got := c.StartedWithin(p, time.Minute); got != want {
			t.Errorf("%s: got %v, want %v", what, got, want)
		}
	}
	want("unknown process", Process{ID: "s", StartedAt: now.UnixMilli()}, true)
	p := put("a", 0)
	want("new entry", p, true)
	now = now.Add(time.Minute)
	want("old entry", put("a", 0), false)
	want("other address", put("b", 0), true)
	now = now.Add(time.Minute)
	want("next process", put("b", now.UnixMilli()), true)
	want("a process before it", p, true)
	want("new entry of an old process", put("b", now.Add(-2*time.Minute).UnixMilli()), false)
	c.Delete("s")
	want("removed", Process{ID: "s"}, true)
}
