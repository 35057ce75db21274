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
	if got := h.Remaining(Process{ID: "1", StartedAt: 6}); got != 0 {
		t.Errorf("another process: got %v, want 0", got)
	}
	h.Begin(Process{ID: "2"}, 1<<62)
	if got := h.Remaining(Process{ID: "2"}); got != MaxHoldOff || len(h.until) != 1 {
		t.Errorf("got %v and %d hold-offs, want %v and 1", got, len(h.until), MaxHoldOff)
	}
}
