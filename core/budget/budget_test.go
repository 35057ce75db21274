package budget

import (
	"testing"
	"time"
)

// No window has more retries than the slack and the ratio allow.
func TestRetries(t *testing.T) {
	b := Retries{Ratio: 0.2, Slack: 3, Window: 10 * time.Second}
	now := time.Unix(0, 0)
	var sent []time.Time
	for range 400 {
		now = now.Add(100 * time.Millisecond)
		if _, ok := b.Take(now); ok {
			sent = append(sent, now)
		}
	}
	for i := range sent {
		n := 0
		for _, s := range sent[i:] {
			if s.Sub(sent[i]) < b.Window {
				n++
			}
		}
		if n > 3 {
			t.Fatalf("%d retries within %v after %v, want at most 3", n, b.Window, sent[i])
		}
	}
	if len(sent) < 9 {
		t.Errorf("got %d retries in 40 s, want 3 in each window", len(sent))
	}
}

func TestRatioOfFirstAttempts(t *testing.T) {
	b := Retries{Ratio: 0.2, Window: 10 * time.Second}
	now := time.Unix(0, 0)
	if _, ok := b.Take(now); ok {
		t.Error("a retry is allowed without any first attempt")
	}
	for range 10 {
		b.CountFirst(now)
	}
	for _, want := range []struct {
		remaining int
		ok        bool
	}{{1, true}, {0, true}, {0, false}} {
		if remaining, ok := b.Take(now); remaining != want.remaining || ok != want.ok {
			t.Errorf("after 10 first attempts: got %d remaining, allowed: %v, want %+v", remaining, ok, want)
		}
	}
	if _, ok := b.Take(now.Add(11 * time.Second)); ok {
		t.Error("first attempts of an earlier window still count")
	}
}
