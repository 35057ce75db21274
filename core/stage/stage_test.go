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

// Checks the stage budgets, which are no fixed shares of the deadline, the rule that
// refuses a request without enough time, and the quantiles of measured times.
func TestBudgets(t *testing.T) {
	q := func(ms int) stage.Quantiles {
		d := time.Duration(ms) * time.Millisecond
		return stage.Quantiles{P50: d, P95: 2 * d, P99: 3 * d}
	}
	if got, want := stage.Budget(time.Second, []stage.Quantiles{q(10), q(30)}), 250*time.Millisecond; got != want {
		t.Errorf("budget = %v, want %v", got, want)
	}
	if stage.CanFinish(39*time.Millisecond, []stage.Quantiles{q(10), q(30)}) {
		t.Error("39 ms count as enough for 40 ms of work")
	}
	var m stage.Times
	at := time.Unix(0, 0)
	for i := range 100 {
		m.Record(at, time.Duration(i)*time.Millisecond)
	}
	if got := m.Quantiles(at, time.Second); got.P50 < 48*time.Millisecond || got.P50 > 52*time.Millisecond {
		t.Errorf("p50 = %v, want about 50 ms", got.P50)
	}
	if got := m.Quantiles(at.Add(2*time.Minute), time.Second); got.P50 != time.Second {
		t.Errorf("p50 after two minutes = %v, want the declared time", got.P50)
	}
}
