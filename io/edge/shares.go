package edge

// This file defines the node's share of what the platform bounds for all nodes together:
// requests that are sent a second time, and connections to a server.

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotspring/core/budget"
	"bergamotspring/platform"
)

const (
	// spareNodes are counted beside the registered ones, for nodes that join meanwhile.
	spareNodes = 3
	// leastConnections is what a node may open to a server at any rate.
	leastConnections = 2
	// retryShare of what all nodes may send together is used.
	retryShare = 0.7
)

// retries holds the budgets of what a node sends, by service. Its lock is a leaf.
type retries struct {
	settings *platform.Settings
	share    func() float64 // of the slack of all nodes

	mu  sync.Mutex
	all map[string]*budget.Retries
}

// first counts what is sent to a service for the first time.
func (r *retries) first(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(service).First(time.Now())
}

// retry takes the right to send something to a service a second time, and tells how often
// that is left.
func (r *retries) retry(service string) (left int, ok bool) {
	share := r.share()
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.budget(service)
	b.Slack = retryShare * r.settings.RetrySlack * share
	return b.Take(time.Now())
}

// budget returns the budget of a service. The lock is held.
func (r *retries) budget(service string) *budget.Retries {
	if r.all == nil {
		r.all = map[string]*budget.Retries{}
	}
	b := r.all[service]
	if b == nil {
		b = &budget.Retries{Ratio: retryShare * r.settings.RetryRatio, Window: r.settings.RetryWindow}
		r.all[service] = b
	}
	return b
}

// nodeShare is the part of the slack that one node of the fleet may use for requests.
func (n *Node) nodeShare() float64 { return 1 / float64(len(n.roster.All())+spareNodes) }

// connections is the part of the connections to a server that this node may open.
func (n *Node) connections(address string) int {
	most := n.cache.View().Connections(address)
	if most == 0 {
		return 0
	}
	return max(leastConnections, int(float64(most)*n.nodeShare()))
}

// retryTask takes the right of this home to make a piece again.
func (n *Node) retryTask(service string) bool {
	_, ok := n.tasks.retry(service)
	if !ok {
		n.Log.Info("piece_repeat_denied", zap.String("service", service))
	}
	return ok
}

// coordinatorShare is the part that the home of one region may use for pieces. An old and a new
// home of a region may both be at work for a while.
func (n *Node) coordinatorShare() float64 { return 1 / float64(2*max(1, len(n.roster.Regions()))) }
