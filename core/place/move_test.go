package place

import (
	"slices"
	"testing"
	"time"
)

// twoStages asks for a place with pieces of two stages.
func twoStages(a *Ask) {
	a.Stages = append(a.Stages, StageAsk{Service: "rank", After: []int{0}, ResultBytes: 1000, Pieces: 1})
}

// moved ends the calls in progress at a home that leaves and returns what it answers.
func moved(t *testing.T, b *bench, ends ...PieceEnd) Answer {
	t.Helper()
	b.home.Leave()
	b.take()
	for i, e := range ends {
		if len(b.answers) > 0 {
			t.Errorf("answered while call %d is in progress: %+v", i, b.answers)
		}
		l := make([]PieceResult, len(b.calls[0].Pieces))
		for j := range l {
			l[j] = PieceResult{End: e}
			if e == PieceMade {
				l[j].Handle = "late"
			}
		}
		b.end(CallDone, l)
	}
	if len(b.answers) != 1 || b.answers[0].Reason != ReasonMoved {
		t.Fatalf("got %+v, want one request that moves", b.answers)
	}
	return b.answers[0]
}

// A request moves with its results to the next home, which makes what is left and counts
// the room; the one that stopped frees and calls nothing for it.
func TestMove(t *testing.T) {
	for _, c := range []struct {
		name string
		last PieceEnd // of the second call, in progress as the home stops
		made int
	}{
		{"a call ends well", PieceMade, 12},
		{"a call fails", PieceError, 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			old, next := newBench(t), newBench(t)
			for _, b := range []*bench{old, next} {
				b.only("encode-a", "rank-a", "model-a")
			}
			old.ask("1", 12, mega, twoStages)
			old.done()
			a := moved(t, old, c.last)
			old.want("results that move", a.Results(), c.made)
			old.want("frees by the home that stopped", len(old.frees), 0)
			old.pass(time.Second)
			old.want("calls by the home that stopped", len(old.calls), 0)

			next.ask("1", 12, mega, func(x *Ask) { twoStages(x); x.Made = a.Made })
			next.want("bytes reserved at the next home", next.home.pools["encode"].workers["encode-a"].reserved, int64(12*mega))
			if c.made < 12 {
				next.want("pieces that it makes", len(next.done().Pieces), 12-c.made)
			}
			next.want("its next call", next.calls[0].Server.ID, "rank-a")
			if got := len(next.calls[0].Pieces[0].Inputs); got != 12 || slices.Contains(next.calls[0].Pieces[0].Inputs, "") {
				t.Errorf("got inputs %q, want 12", next.calls[0].Pieces[0].Inputs)
			}
			next.done()
			if len(next.answers) != 1 || !next.answers[0].Granted() {
				t.Errorf("got %+v, want a grant", next.answers)
			}
		})
	}
}

// A stage whose results were used and freed is not made again, and one that needs nothing
// more is granted by the home that stops.
func TestMoveLate(t *testing.T) {
	b := newBench(t)
	b.only("encode-a", "rank-a", "model-a")
	third := func(a *Ask) {
		twoStages(a)
		a.Stages = append(a.Stages, StageAsk{Service: "encode", After: []int{1}, ResultBytes: 1000, Pieces: 1})
	}
	b.ask("1", 2, mega, third)
	b.done()
	b.done()
	a := moved(t, b, PieceError)
	if len(a.Made) != 2 || !a.Made[0].Released || len(a.Made[1].Pieces) != 1 {
		t.Fatalf("got %+v, want a stage that was used and one result", a.Made)
	}
	next := newBench(t)
	next.only("encode-a", "rank-a", "model-a")
	next.ask("1", 2, mega, func(x *Ask) { third(x); x.Made = a.Made })
	next.want("calls", len(next.calls), 1)
	next.want("inputs of the last stage", next.calls[0].Pieces[0].Inputs[0], a.Made[1].Pieces[0].Handle)

	last := newBench(t)
	last.only("encode-a", "model-a")
	last.ask("2", 2, mega, nil)
	last.home.Leave()
	last.take()
	last.done()
	if len(last.answers) != 1 || !last.answers[0].Granted() {
		t.Errorf("got %+v, want a grant of what was complete", last.answers)
	}
}

// Results at servers that the next home does not know are made again, and nonsense does no harm.
func TestAdoptUnknown(t *testing.T) {
	b := newBench(t)
	b.only("encode-a", "model-a")
	b.ask("1", 2, mega, func(a *Ask) {
		a.Made = []MadeStage{{Stage: 7}, {Stage: -1}, {Stage: 0, Pieces: []MadePiece{{Index: 0, Server: "gone", Handle: "x"}, {Index: 9, Server: "encode-a", Handle: "y"}}}}
	})
	b.want("pieces that are made", len(b.done().Pieces), 2)
	b.want("answers", len(b.answers), 1)
}
