package stage_test

import (
	"fmt"
	"testing"
	"time"

	"bergamotspring/core/limit"
	"bergamotspring/core/outcome"
	"bergamotspring/core/stage"
)

// A stream breaks after two tokens and is resumed; the resumed stream repeats a token.
func ExampleAssembler() {
	var a stage.Assembler
	for _, e := range []struct {
		index int
		text  string
		last  bool
	}{{0, "dusk ", false}, {1, "trail ", false}, {1, "trail ", false}, {2, "hint", true}} {
		if a.Accept(e.index, e.last) == stage.Fresh {
			a.Text = append(a.Text, e.text...)
		}
	}
	fmt.Printf("%s, whole: %v, dropped: %d\n", a.Text, a.End(), a.Dropped)
	// Output: dusk trail hint, whole: true, dropped: 1
}

// Guards against an outcome that promises "not run" after a byte was sent, for every
// cause and refusal, and one that forbids a resend of work that did not run.
func TestOutcomesAreTrue(t *testing.T) {
	for c := stage.CauseDeadline; c <= stage.CauseClaims; c++ {
		for _, repeatable := range []bool{false, true} {
			if o := stage.Outcome(c, true, repeatable); stage.Ran(o, true) == outcome.NotRun || o == outcome.OK {
				t.Errorf("cause %d after a send = %v, %v", c, o, stage.Ran(o, true))
			}
			if o := stage.Outcome(c, true, false); o.Resend() {
				t.Errorf("cause %d after a non-idempotent send = %v, which allows a resend", c, o)
			}
			if o := stage.Outcome(c, false, repeatable); stage.Ran(o, false) != outcome.NotRun {
				t.Errorf("cause %d before a send = %v, %v", c, o, stage.Ran(o, false))
			}
		}
	}
	for r := limit.RefusedDeadline; r <= limit.RefusedMoved; r++ {
		if got := stage.CauseOf(r); got == stage.CauseNone {
			t.Errorf("refusal %v has no cause", r)
		}
	}
}

// Guards against timeouts and hedge delays outside their bounds, and against short ones for
// servers that are cold or were not measured.
func TestWaits(t *testing.T) {
	q := stage.Quantiles{P50: 10 * time.Millisecond, P95: 15 * time.Millisecond, P99: 50 * time.Millisecond, Samples: 100}
	for _, c := range []struct {
		name      string
		got, want time.Duration
	}{
		{"stall at 8 times the p99", stage.StallTimeout(q, false), 400 * time.Millisecond},
		{"stall of a cold server", stage.StallTimeout(q, true), time.Second},
		{"stall before measurement", stage.StallTimeout(stage.Quantiles{}, false), time.Second},
		{"hedge of a tight distribution", stage.HedgeDelay(q), 20 * time.Millisecond},
		{"first byte", stage.FirstTimeout(q, 4*time.Second), 400 * time.Millisecond},
		{"first byte in half of the budget", stage.FirstTimeout(q, 500*time.Millisecond), 250 * time.Millisecond},
		{"first byte of a cold server", stage.FirstTimeout(stage.Quantiles{}, 4*time.Second), 2 * time.Second},
	} {
		if c.got != c.want {
			t.Errorf("%s = %v, want %v", c.name, c.got, c.want)
		}
	}
}
