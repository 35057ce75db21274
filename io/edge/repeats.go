package edge

// This file defines the node's share of the requests that may be sent a second time.

import (
	"time"

	"bergamotspring/core/budget"
)

const (
	// spareNodes are counted beside the registered ones, for nodes that join meanwhile.
	spareNodes = 3
	// repeatShare of what all nodes may send together is used.
	repeatShare = 0.7
)

// first counts a request for a service.
func (n *Node) first(service string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.budget(service).First(time.Now())
}

// repeat takes the right to send a request for a service to a second server.
func (n *Node) repeat(service string) bool {
	nodes := len(n.roster.All()) + spareNodes
	n.mu.Lock()
	defer n.mu.Unlock()
	b := n.budget(service)
	b.Slack = repeatShare * n.Settings.RepeatSlack / float64(nodes)
	return b.Take(time.Now())
}

// budget returns the budget of a service. The lock is held.
func (n *Node) budget(service string) *budget.Repeats {
	if n.repeats == nil {
		n.repeats = map[string]*budget.Repeats{}
	}
	b := n.repeats[service]
	if b == nil {
		b = &budget.Repeats{Ratio: repeatShare * n.Settings.RepeatRatio, Window: n.Settings.RepeatWindow}
		n.repeats[service] = b
	}
	return b
}
