package edge

// This file defines the node's share of the bounds that the platform sets for all nodes together:
// retries, and connections to a backend server.

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotspring/core/budget"
	"bergamotspring/core/relay"
	"bergamotspring/platform"
)

const (
	// spareNodes is added to the number of registered nodes when a bound is divided, for
	// nodes that have joined and are not known here yet.
	spareNodes = 3
	// minConnections is the number of connections to a server that a node may always open.
	minConnections = 2
	// retryFraction is the fraction of the platform's retry budget that all nodes together use.
	retryFraction = 0.7
)

// retries holds retry budgets by service: a node has one set for its requests and one for the
// tasks that it schedules. No other lock is taken while its lock is held.
type retries struct {
	settings   *platform.Settings
	slackShare func() float64 // returns the part of the slack of all nodes that this node may use

	mu        sync.Mutex
	byService map[string]*budget.Retries
}

// countFirst counts a first attempt at a service.
func (r *retries) countFirst(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(service).CountFirst(time.Now())
}

// takeRetry takes a retry from the budget of a service, and returns how many remain.
func (r *retries) takeRetry(service string) (remaining int, ok bool) {
	share := r.slackShare()
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.budget(service)
	b.Slack = retryFraction * r.settings.RetrySlack * share
	return b.Take(time.Now())
}

// budget returns the budget of a service. The lock is held.
func (r *retries) budget(service string) *budget.Retries {
	if r.byService == nil {
		r.byService = map[string]*budget.Retries{}
	}
	b := r.byService[service]
	if b == nil {
		b = &budget.Retries{Ratio: retryFraction * r.settings.RetryRatio, Window: r.settings.RetryWindow}
		r.byService[service] = b
	}
	return b
}

// nodeShare is the part of the retry slack for requests, and of the connections to a server, that
// one node may use. Nodes of other builds have a share too.
func (n *Node) nodeShare() float64 {
	return 1 / float64(len(n.roster.All())+int(n.tableCache.otherBuilds.Load())+spareNodes)
}

// maxConnections returns how many of the connections to a server this node may open; 0: no limit
// is set.
func (n *Node) maxConnections(address string) int {
	limit := n.cache.View().Connections(address)
	if limit == 0 {
		return 0
	}
	return max(minConnections, int(float64(limit)*n.nodeShare()))
}

// coldShare returns how many requests a second this node may send to a cold plain server.
func (n *Node) coldShare(server string, rate float64) int {
	var l []string
	for _, x := range n.roster.All() {
		l = append(l, x.Peer)
	}
	return relay.ColdShare(server, rate, n.self.Peer, l)
}

// takeTaskRetry takes a retry of a task from this coordinator's budget.
func (n *Node) takeTaskRetry(service string) bool {
	_, ok := n.taskRetries.takeRetry(service)
	if !ok {
		n.Log.Info("piece_repeat_denied", zap.String("service", service))
	}
	return ok
}

// coordinatorShare is the part of the retry slack that the coordinator of one region may use for
// tasks. It allows for two coordinators a region, as an old and a new one may both be active for
// a while.
func (n *Node) coordinatorShare() float64 { return 1 / float64(2*max(1, len(n.roster.Regions()))) }
