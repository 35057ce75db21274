package edge

import (
	"testing"

	"bergamotspring/core/placement"
)

// A node that has answered that it reads nothing is not asked again, but its next incarnation is, and after the proof all are
// forgotten.
func TestNothingRead(t *testing.T) {
	var c nothingRead
	p, q := placement.Maker{Address: "a:1"}, placement.Maker{Address: "b:1"}
	l := []placement.Maker{p, q}
	want := func(what, incarnation string, want int) {
		t.Helper()
		if got := len(c.lacking(l, incarnation)); got != want {
			t.Errorf("%s: %d processes to ask about, want %d", what, got, want)
		}
	}
	want("before any answer", "1", 2)
	c.add(p, "1")
	want("after an answer", "1", 1)
	want("another incarnation", "2", 2)
	c.drop(l)
	want("after the proof", "1", 2)
	for i := range maxNothingRead {
		c.add(placement.Maker{Address: string(rune(i + 1<<10))}, "1")
	}
	if len(c.by) > maxNothingRead {
		t.Errorf("answers about %d processes are kept", len(c.by))
	}
}
