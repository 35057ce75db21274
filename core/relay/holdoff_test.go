package relay

import (
	"testing"
	"time"
)

// A hold-off lasts for its time, at most MaxHoldOff, and belongs to one process; a shorter one does not
// end a longer one.
func TestHoldOffs(t *testing.T) {
	now := time.Unix(100, 0)
	h := HoldOffs{Now: func() time.Time { return now }}
	p := Process{ID: "1", StartedAt: 5}
	if got := h.Remaining(p); got != 0 {
		t.Errorf("before: got %v, want 0", got)
	}
	if first, again := h.Begin(p, 2*time.Second), h.Begin(p, time.Second); !first || again {
		t.Errorf("got %v and %v, want a new one and none", first, again)
	}
	for _, c := range []struct{ after, want time.Duration }{
		{0, 2 * time.Second}, {1500 * time.Millisecond, 500 * time.Millisecond}, {2 * time.Second, 0}, {time.Hour, 0},
	} {
		now = time.Unix(100, 0).Add(c.after)
		if got := h.Remaining(p); got != c.want {
			t.Errorf("after %v: got %v, want %v", c.after, got, c.want)
		}
	}
	h.Begin(Process{ID: "2"}, 1<<62)
	if got := h.Remaining(Process{ID: "2"}); got != MaxHoldOff || len(h.all) != 1 {
		t.Errorf("got %v and %d hold-offs, want %v and 1", got, len(h.all), MaxHoldOff)
	}
}

// A response does not tell which process of its server sent it. The hold-off binds for a later process too if that
// ran by then, and whatever the process if a start is not known; it does not for one that started after it.
func TestHoldOffOfNextProcess(t *testing.T) {
	at := func(millis int64) time.Time { return time.UnixMilli(millis) }
	for _, c := range []struct {
		asked, process int64
		want           time.Duration
	}{{1000, 1000, time.Second}, {1000, 4999, time.Second}, {1000, 5001, 0}, {1000, 0, time.Second}, {0, 1000, time.Second}, {4999, 1000, time.Second}} {
		h := HoldOffs{Now: func() time.Time { return at(5000) }}
		h.Begin(Process{ID: "1", StartedAt: c.asked}, time.Second)
		p := Process{ID: "1", StartedAt: c.process}
		if got := h.Remaining(p); got != c.want {
			t.Errorf("asked for %d: got %v for %d, want %v", c.asked, got, c.process, c.want)
		}
		if got := h.Begin(p, time.Second/2); got != (c.want == 0) {
			t.Errorf("asked for %d: got %v when %d asks too", c.asked, got, c.process)
		}
		if got := h.Remaining(p); got != max(c.want, time.Second/2) {
			t.Errorf("asked for %d, then for %d: got %v", c.asked, c.process, got)
		}
	}
}
