package edge

import (
	"testing"

	"go.uber.org/zap"

	"bergamotspring/core/placement"
	"bergamotspring/io/peer"
)

// Guards against a panic, and so no answer, at the end of a request that was to be placed by another node before this one had
// the fleet's key.
func TestReportWithoutMesh(t *testing.T) {
	p := schedulerClient{self: "a:1", mesh: func() *peer.Mesh { return nil }, log: zap.NewNop()}
	k := placement.Key{ID: "1"}
	p.remember(k, "b:1")
	p.report(placement.Report{Key: k, Status: placement.RunAbandoned})
	if len(p.coordinatorOf) > 0 {
		t.Errorf("%d requests are remembered after their end", len(p.coordinatorOf))
	}
}
