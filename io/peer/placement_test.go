package peer

import (
	"reflect"
	"testing"
	"time"

	"bergamotspring/core/placement"
	"bergamotspring/core/relay"
	"bergamotspring/core/store"
	"bergamotspring/schema/wire"
)

// What one node says of places and tables is what the other reads, after the bytes too.
func TestPlaceCodec(t *testing.T) {
	a := placement.Request{
		ID: "r", Attempt: 2, Service: "model", InputKey: "k", Segments: []placement.PromptSegment{{Hash: 1<<63 + 5, Tokens: 9}}, Tokens: 7, Priority: 1,
		Goal: -time.Second, Remaining: time.Second, Regions: []string{"x"}, Avoid: []string{"s"}, Retry: true, InputLost: true,
		Stages: []placement.StageRequest{{Service: "e", After: []int{0}, ResultBytes: 5, Tasks: 3}},
	}
	var wa wire.PlaceAsk
	over(t, TypePlaceAsk, wirePlacementRequest(a), &wa)
	if got := placementRequestOf(wa); !reflect.DeepEqual(got, a) {
		t.Errorf("ask: got %+v, want %+v", got, a)
	}
	g := placement.Decision{
		ID: "r", Attempt: 2, Server: relay.Server{ID: "s", Address: "a:1", Domain: "d", Region: "x", Service: "model"},
		Inputs: []string{"h"}, KVSource: "b:1", Reason: "why", RetryAfter: time.Second,
	}
	var wg wire.PlaceAnswer
	over(t, TypePlaceAnswer, wirePlacementDecision(g), &wg)
	got := placementDecisionOf(wg)
	got.Attempt = g.Attempt // the asker knows it
	if !reflect.DeepEqual(got, g) {
		t.Errorf("answer: got %+v, want %+v", got, g)
	}
	m := TableSnapshot{Table: "t", Version: 8, Rows: []store.Row{{Key: "k", Version: 7, Value: []byte{0, 255}}}}
	var wm wire.Mirror
	over(t, TypeMirror, &wire.Mirror{Tables: []wire.MirrorTable{wireTableSnapshot(m)}}, &wm)
	if got := tableSnapshotOf(wm.Tables[0]); !reflect.DeepEqual(got, m) {
		t.Errorf("table: got %+v, want %+v", got, m)
	}
}

// over passes a body through the bytes of a frame.
func over(t *testing.T, k Type, body, into any) {
	t.Helper()
	b, err := encode(k, 1, body)
	if err != nil {
		t.Fatal(err)
	}
	m, err := parse(b.Bytes()[headerBytes:])
	if err != nil {
		t.Fatal(err)
	}
	if err := decode(m.body, into); err != nil {
		t.Fatal(err)
	}
}
