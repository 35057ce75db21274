package peer

import (
	"reflect"
	"testing"
	"time"

	"bergamotspring/core/placement"
	"bergamotspring/core/relay"
	"bergamotspring/core/suspect"
	"bergamotspring/schema/wire"
)

// Guards against a field of a placement request or a decision that is lost or changed in a frame.
func TestPlacementCodec(t *testing.T) {
	a := placement.Request{
		Key: placement.Key{ID: "r", Nonce: 1<<63 + 7}, Attempt: 2, Service: "model", InputKey: "k", Segments: []placement.PromptSegment{{Hash: 1<<63 + 5, Tokens: 9}}, Tokens: 7, Priority: 1,
		Goal: -time.Second, Remaining: time.Second, Regions: []string{"x"}, Avoid: []string{"s"}, Retry: true, InputLost: true,
		Stages:   []placement.StageRequest{{Service: "e", After: []int{0}, ResultBytes: 5, Tasks: 3}},
		Progress: []placement.StageProgress{{Stage: 1, Released: true, Results: []placement.StoredResult{{Index: 2, Server: "s", StartedAt: 3, Handle: "h"}}}},
	}
	var wa wire.PlaceAsk
	throughFrame(t, TypePlaceAsk, wirePlacementRequest(a), &wa)
	if got := placementRequestOf(wa); !reflect.DeepEqual(got, a) {
		t.Errorf("request: got %+v, want %+v", got, a)
	}
	g := placement.Decision{
		Key: placement.Key{ID: "r"}, Attempt: 2, Server: relay.Server{ID: "s", Address: "a:1", Domain: "d", Region: "x", Service: "model"},
		Inputs: []string{"h"}, KVSource: "b:1", Reason: "why", RetryAfter: time.Second, Progress: a.Progress,
		Makers: []placement.Maker{{Address: "c:1", Process: relay.Process{ID: "s", StartedAt: 1796665710035}}},
	}
	var wg wire.PlaceAnswer
	throughFrame(t, TypePlaceAnswer, wirePlacementDecision(g), &wg)
	got := placementDecisionOf(wg)
	got.Attempt = g.Attempt // not sent: the requester knows it
	if !reflect.DeepEqual(got, g) {
		t.Errorf("decision: got %+v, want %+v", got, g)
	}
}

// Guards against a field of a notice that is lost or changed in a frame.
func TestNoticeCodec(t *testing.T) {
	now := time.Unix(1e6, 0)
	n := []suspect.Notice{{
		Culprit:   suspect.Culprit{Segments: []uint64{1<<63 + 5, 7}, Crashes: 4},
		CrashedAt: now.Add(-3 * time.Second), RenewedAt: now.Add(-time.Second), Renewals: 2, Trials: 1,
	}}
	var w wire.CrashCulprits
	throughFrame(t, TypeCrashCulprits, wireCulprits(n, nil, now), &w)
	if got := noticesOf(w, now); !reflect.DeepEqual(got, n) {
		t.Errorf("got %+v, want %+v", got, n)
	}
}

// A trial is granted only by a wait of 0.
func TestTrialCodec(t *testing.T) {
	for wait, want := range map[time.Duration]time.Duration{0: 0, 1: time.Microsecond, time.Second: time.Second} {
		var w wire.CrashTrial
		throughFrame(t, TypeCrashTrial, wireTrial(wait), &w)
		if got := duration(w.Wait); got != want {
			t.Errorf("%v: got %v, want %v", wait, got, want)
		}
	}
}

// throughFrame encodes a body into a frame and decodes it into another.
func throughFrame(t *testing.T, k Type, body, into any) {
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

// An inquiry about many processes takes few bytes for each.
func TestInquiryBytes(t *testing.T) {
	const bound = 64 // bytes a process, both directions
	for _, n := range []int{1, 15, 160} {
		q := wire.PlaceInquiry{Makers: make([]wire.PlaceMaker, n)}
		a := wire.PlaceReadings{Left: make([]int, n)}
		for i := range n {
			q.Makers[i] = wireMaker(placement.Maker{Address: "10.100.100.100:8080", Process: relay.Process{ID: "i-0123456789", StartedAt: 1796665710035}})
		}
		out, err := encode(TypePlaceInquiry, 1<<20, &q)
		in, e := encode(TypePlaceReadings, 1<<20, &a)
		if err != nil || e != nil {
			t.Fatal(err, e)
		}
		t.Logf("%d processes: %d B out, %d B in", n, out.Len(), in.Len())
		if got := out.Len() + in.Len(); got > bound*(n+1) {
			t.Errorf("%d processes: %d bytes, want %d a process at most", n, got, bound)
		}
	}
}
