package edge

// This file defines how a coordinator asks all nodes whether results of an earlier process of a stage server may still be
// read, and how a node answers; see core/placement/inquiry.go.

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"bergamotspring/core/placement"
	"bergamotspring/core/relay"
)

// inquiryTimeout bounds the wait for the answers of other nodes. It is longer than a message between regions takes and back.
const inquiryTimeout = 400 * time.Millisecond

// startedLately reports whether results of a process before may still be read, by the age of a process.
func (n *Node) startedLately(p relay.Process) bool {
	return n.cache.StartedWithin(p, placement.ReadTime)
}

// readFor returns for how long, at most, requests and batches of this node may read results of earlier processes in the
// place of one.
func (n *Node) readFor(p placement.Maker) time.Duration {
	d := n.schedulerClient.readings.ReadFor(p)
	n.scheduler.do(func(h *placement.Scheduler) { d = max(d, h.ReadFor(p)) })
	return d
}

// onProven takes over what another coordinator has found.
func (n *Node) onProven(l []placement.Maker) {
	n.scheduler.do(func(h *placement.Scheduler) { h.OnProven(l) })
}

// tellProven tells all other nodes of processes before which no results are read any more.
func (n *Node) tellProven(l []placement.Maker) {
	m := n.mesh.Load()
	for _, x := range n.roster.All() {
		if m == nil || x.Peer == n.self.Peer {
			continue
		}
		if err := m.SendProven(x.Peer, l); err != nil {
			n.Log.Info("proof_not_told", zap.String("peer", x.Peer), zap.Error(err)) // it asks if it becomes coordinator
		}
	}
}

// coordinates reports whether this node is the coordinator of its region.
func (n *Node) coordinates() bool {
	l := n.roster.Coordinators(n.self.Region)
	return len(l) > 0 && l[0].Peer == n.self.Peer
}

// inquire asks all nodes, and passes on the longest time for each process, and whether some node did not answer. One at whose
// address nothing listens has ended, and its connections to servers with it.
func (n *Node) inquire(k placement.Inquiry) {
	ctx, cancel := context.WithTimeout(context.Background(), inquiryTimeout)
	defer cancel()
	var (
		g      sync.WaitGroup
		mu     sync.Mutex
		silent []string
	)
	read := make([]time.Duration, len(k.Makers))
	merge := func(l []time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		for i := range read {
			read[i] = max(read[i], l[i])
		}
	}
	own := make([]time.Duration, len(k.Makers))
	for i, p := range k.Makers {
		own[i] = n.schedulerClient.readings.ReadFor(p) // the scheduler knows its own
	}
	merge(own)
	m := n.mesh.Load()
	for _, x := range n.roster.All() {
		if m == nil || x.Peer == n.self.Peer {
			continue
		}
		g.Go(func() {
			l, err := m.Inquire(ctx, x.Peer, k.Makers)
			if err == nil && len(l) == len(read) {
				merge(l)
				return
			}
			if errors.Is(err, syscall.ECONNREFUSED) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			silent = append(silent, x.Peer)
		})
	}
	g.Wait()
	for i, p := range k.Makers {
		if read[i] > 0 || len(silent) > 0 {
			n.Log.Info("results_may_be_read", zap.String("server", p.ID), zap.Int64("process", p.StartedAt), zap.Duration("left", read[i]), zap.Strings("silent", silent))
		}
	}
	n.scheduler.do(func(h *placement.Scheduler) { h.OnInquiry(k.Number, read, len(silent) > 0) })
}
