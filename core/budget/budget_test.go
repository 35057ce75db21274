package budget

import (
	"testing"
	"time"
)

// In no window are there more repeats than the slack and the ratio allow.
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
			t.Fatalf("%d repeats within %v after %v, want at most 3", n, b.Window, sent[i])
		}
	}
	if len(sent) < 9 {
		t.Errorf("got %d repeats in 40 s, want 3 in each window", len(sent))
	}
}

func TestRatioFollowsFirstSends(t *testing.T) {
	b := Retries{Ratio: 0.2, Window: 10 * time.Second}
	now := time.Unix(0, 0)
	if _, ok := b.Take(now); ok {
		t.Error("a repeat without any first send")
	}
	for range 10 {
		b.First(now)
	}
	for _, want := range []struct {
		left int
		ok   bool
	}{{1, true}, {0, true}, {0, false}} {
		if left, ok := b.Take(now); left != want.left || ok != want.ok {
			t.Errorf("after 10 first sends: got %d left, taken: %v, want %+v", left, ok, want)
		}
	}
	if _, ok := b.Take(now.Add(11 * time.Second)); ok {
		t.Error("first sends of an earlier window still count")
	}
}
