package edge

// This file defines how coordinators tell each other which prompt segments the servers of their regions have read.

import (
	"time"

	"go.uber.org/zap"
)

// announceInterval is how often a coordinator tells the others what was read since. A segment is read again if the next
// request for it comes to another region sooner.
const announceInterval = 200 * time.Millisecond

// announceSegments tells the coordinators of the other regions which segments servers have read, if this node placed
// requests. A message that is lost costs a segment that is read again.
func (n *Node) announceSegments() {
	l := n.scheduler.takeAnnouncements()
	m := n.mesh.Load()
	if len(l) == 0 || m == nil {
		return
	}
	for _, r := range n.roster.Regions() {
		c := n.roster.Coordinators(r)
		if r == n.self.Region || len(c) == 0 {
			continue
		}
		if err := m.SendSegments(c[0].Peer, l); err != nil {
			n.Log.Info("segments_not_told", zap.String("peer", c[0].Peer), zap.Error(err))
		}
	}
}
