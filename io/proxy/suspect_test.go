package proxy

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/zap"

	"bergamotspring/core/placement"
	"bergamotspring/core/relay"
	"bergamotspring/core/suspect"
)

// newCulprits returns a counter for which the given segments are culprits, and a function that makes another one.
func newCulprits(segments ...uint64) (c *suspect.Counter, add func(segment uint64)) {
	now, n := time.Unix(1e6, 0), uint64(0)
	c = &suspect.Counter{Now: func() time.Time { return now }}
	add = func(s uint64) {
		for _, server := range []string{"a", "b", "c"} {
			now, n = now.Add(3*time.Second), n+1
			c.ObserveCrash(server, []suspect.Request{{Fingerprint: n, Segments: []uint64{s}}})
		}
	}
	for _, s := range segments {
		add(s)
	}
	return c, add
}

// A request on trial waits for its placement also when something else is found to crash servers.
func TestTrialWaitsForPlacement(t *testing.T) {
	c, add := newCulprits(1)
	q := &request{route: &relay.Route{}, meta: Meta{SegmentIDs: []uint64{1}}, trialAt: time.Now(), hash: 1}
	q.server = &Server{
		Suspects: c, Log: zap.NewNop(), EndPlacements: t.Context(), View: func() *relay.View { return &relay.View{} },
		Schedule: func(ctx context.Context, _ placement.Request) (placement.Decision, error) {
			add(2)
			return placement.Decision{}, ctx.Err()
		},
	}
	if _, err := q.schedule(t.Context(), placement.Request{}, nil); err != nil {
		t.Errorf("the wait ended: %v", err)
	}
}

// A request whose wait for a placement ended since it crashes servers is not put on trial: it would not be sent.
func TestTrialNotTakenAfterWait(t *testing.T) {
	c, _ := newCulprits(1)
	asked := 0
	q := &request{route: &relay.Route{}, meta: Meta{SegmentIDs: []uint64{1}}, hash: 1, out: httptest.NewRecorder()}
	q.server = &Server{
		Suspects: c, Log: zap.NewNop(), Report: func(placement.Report) {}, OnEnd: func(Result) {}, Sample: func(string) bool { return false },
		Protocol: &Protocol{}, TakeTrial: func(context.Context, suspect.Request) bool { asked++; return true },
	}
	if q.placed(t.Context(), &placement.Decision{}, errPoison) || asked > 0 {
		t.Errorf("%d trials taken, want none", asked)
	}
}
