package edge

// This file defines how a coordinator asks all nodes whether results of an earlier process of a stage server may still be
// read, and how a node answers; see core/placement/inquiry.go.

import (
	"context"
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"bergamotspring/core/placement"
	"bergamotspring/core/relay"
	"bergamotspring/core/roster"
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
	n.nothingRead.drop(l)
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

// nothingRead holds which nodes have answered that they read nothing of the processes before some. That holds for good, so
// they are not asked again. The zero value is ready to use.
type nothingRead struct {
	mu sync.Mutex
	by map[placement.Maker]map[string]bool // by incarnation
}

// maxNothingRead bounds the processes for which answers are kept; beyond it, nodes are asked again.
const maxNothingRead = 1 << 10

func (c *nothingRead) add(p placement.Maker, incarnation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.by == nil || len(c.by) >= maxNothingRead {
		c.by = map[placement.Maker]map[string]bool{}
	}
	if c.by[p] == nil {
		c.by[p] = map[string]bool{}
	}
	c.by[p][incarnation] = true
}

// lacking returns those of the processes that a node has not confirmed.
func (c *nothingRead) lacking(l []placement.Maker, incarnation string) []placement.Maker {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(l), func(p placement.Maker) bool { return c.by[p][incarnation] })
}

// drop forgets the confirmations for processes that are proven.
func (c *nothingRead) drop(l []placement.Maker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range l {
		delete(c.by, p)
	}
}

// inquire asks the nodes that have not confirmed yet, and passes on the longest time for each process, and whether some node did
// not answer. One at whose address nothing listens has ended, and its connections to servers with it.
func (n *Node) inquire(k placement.Inquiry) {
	ctx, cancel := context.WithTimeout(context.Background(), inquiryTimeout)
	defer cancel()
	var (
		g      sync.WaitGroup
		mu     sync.Mutex
		silent []string
	)
	read := map[placement.Maker]time.Duration{}
	for _, p := range k.Makers {
		read[p] = n.schedulerClient.readings.ReadFor(p) // the scheduler knows what its batches read
	}
	m := n.mesh.Load()
	for _, x := range n.roster.All() {
		l := n.nothingRead.lacking(k.Makers, x.Incarnation)
		if m == nil || x.Peer == n.self.Peer || len(l) == 0 {
			continue
		}
		g.Go(func() {
			times, err := m.Inquire(ctx, x.Peer, l)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil && len(times) == len(l):
				n.onTimes(x, l, times, read)
			case !errors.Is(err, syscall.ECONNREFUSED):
				silent = append(silent, x.Peer)
			}
		})
	}
	g.Wait()
	n.endInquiry(k, read, silent)
}

// onTimes takes account of a node's answer, for each process of l, in what is read.
func (n *Node) onTimes(x roster.Node, l []placement.Maker, times []time.Duration, read map[placement.Maker]time.Duration) {
	for i, p := range l {
		if times[i] == 0 {
			n.nothingRead.add(p, x.Incarnation)
		}
		read[p] = max(read[p], times[i])
	}
}

// endInquiry passes on the result of an inquiry.
func (n *Node) endInquiry(k placement.Inquiry, read map[placement.Maker]time.Duration, silent []string) {
	times := make([]time.Duration, 0, len(k.Makers))
	for _, p := range k.Makers {
		times = append(times, read[p])
		if read[p] > 0 || len(silent) > 0 {
			n.Log.Info("results_may_be_read", zap.String("server", p.ID), zap.Int64("process", p.StartedAt), zap.Duration("left", read[p]), zap.Strings("silent", silent))
		}
	}
	n.scheduler.do(func(h *placement.Scheduler) { h.OnInquiry(k.Number, times, len(silent) > 0) })
}
