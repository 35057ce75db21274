package edge

// This file defines the part of a node in rollouts: it reports to the node that decides, and follows its
// replies. decide.go defines the part of that node.

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotspring/core/relay"
	"bergamotspring/core/rollout"
	"bergamotspring/core/roster"
	"bergamotspring/core/store"
	"bergamotspring/io/peer"
	"bergamotspring/io/wait"
	"bergamotspring/platform"
)

const (
	// reportTimeout is how long a node waits for the reply to a report before it takes the decider for silent. An
	// allowance lives no longer, so a later reply would be of no use.
	reportTimeout = time.Second
	// replyLife is how long after its report a reply says that all requests go to the new version. It is the life of
	// an allowance.
	replyLife = time.Second
	// removedTime is how long after an order was removed the node whose turn it is looks for what is left of it. It
	// includes the time until the loss of the decider is noticed.
	removedTime = 10 * time.Second
)

// rollouts is the part of a node in rollouts. Of other locks, only those of the cache, the roster and of core/rollout
// are taken while its lock is held; it is taken after the lock of the scheduler.
type rollouts struct {
	agent   rollout.Agent
	decider rollout.Decider
	enabled bool
	self    roster.Node
	store   *platform.Store
	cache   *relay.Cache
	roster  *roster.Roster
	mesh    func() *peer.Mesh // nil until the key of the fleet is known
	tasks   *scheduler
	meter   *meter
	log     *zap.Logger

	mu        sync.Mutex
	orders    map[string]rollout.Order // in force, by service
	ordered   chan struct{}            // closed when there are orders or the decider has work
	removedAt time.Time                // when an order was last removed, zero if none ever was
	state     map[string]*serviceState
	services  map[string]bool // whose versions the agent knows
	deciding  deciding

	held sync.Map // see Agent.Held: int64 by service. The agent reads it while its own locks are held.
}

// serviceState is what a node knows of the order of a service.
type serviceState struct {
	reporting bool // a report is on its way
	reply     rollout.Reply
	sentAt    time.Time    // of the report that it answers
	main      rollout.Rule // see main
	logged    bool
	state     rollout.State // as last logged
}

// init sets what the agent and the decider need. Limits is nil if rollouts are not enabled.
func (x *rollouts) init(limits *rollout.Limits) {
	x.orders, x.state, x.services = map[string]rollout.Order{}, map[string]*serviceState{}, map[string]bool{}
	x.ordered = make(chan struct{})
	x.deciding.init()
	if x.enabled = limits != nil; !x.enabled {
		return
	}
	x.agent.Now, x.agent.Node, x.agent.Incarnation = time.Now, x.self.Name, x.self.Incarnation
	x.agent.Held = func(service, _ string) int64 { return x.heldOf(service) }
	x.decider.Now, x.decider.Limits, x.decider.Name = time.Now, *limits, x.self.Name+"/"+x.self.Incarnation
}

// setOrders takes in the rows of the operator's table. Orders for services that the configuration does not name are
// ignored.
func (x *rollouts) setOrders(rows []store.Row) {
	if !x.enabled {
		return
	}
	l, err := platform.DecodeOrders(rows)
	if err != nil {
		x.log.Warn("order_unreadable", zap.Error(err))
	}
	c := x.cache.View().Config
	l = slices.DeleteFunc(l, func(o rollout.Order) bool { return c != nil && c.Services[o.Service] == nil })
	m := make(map[string]rollout.Order, len(l))
	for _, o := range l {
		m[o.Service] = o
	}
	x.mu.Lock()
	x.agent.SetOrders(l)
	for service, o := range x.orders {
		if _, ok := m[service]; !ok {
			x.removedAt = time.Now()
			delete(x.state, service)
			x.log.Info("rollout_withdrawn", zap.String("service", service), zap.String("to", o.To))
		}
	}
	for service, o := range m {
		if x.orders[service] != o {
			x.state[service] = &serviceState{}
			x.log.Info("rollout_ordered", zap.String("service", service), zap.String("to", o.To), zap.Duration("duration", o.Duration))
		}
	}
	x.orders = m
	x.mu.Unlock()
	x.refreshMain()
	x.wake()
}

// wake wakes run and runDecider if there is work.
func (x *rollouts) wake() {
	x.mu.Lock()
	defer x.mu.Unlock()
	select {
	case <-x.ordered:
	default:
		if x.busy() {
			close(x.ordered)
		}
	}
}

// busy reports whether there are orders, or may be work left by one that was removed. The lock is held.
func (x *rollouts) busy() bool {
	return len(x.orders) > 0 || len(x.deciding.open) > 0 || time.Since(x.removedAt) < removedTime
}

// active waits until there are orders or the decider has work, and returns false when the context ends.
func (x *rollouts) active(ctx context.Context) bool {
	x.mu.Lock()
	if !x.busy() {
		select {
		case <-x.ordered:
			x.ordered = make(chan struct{})
		default:
		}
	}
	c := x.ordered
	x.mu.Unlock()
	select {
	case <-c:
		return true
	case <-ctx.Done():
		return false
	}
}

// setVersions tells the agent the versions of all services, with those of entries that are about to be stored: a
// server must not get requests before the agent knows its version.
func (x *rollouts) setVersions(more []*relay.Server) {
	if !x.enabled {
		return
	}
	x.mu.Lock()
	m := x.cache.Versions(more)
	for service, l := range m {
		x.services[service] = true
		x.agent.SetVersions(service, l)
	}
	for service := range x.services {
		if m[service] == nil {
			delete(x.services, service)
			x.agent.SetVersions(service, nil)
		}
	}
	x.mu.Unlock()
	x.refreshMain()
}

// run sends reports while there are orders, until the context ends.
func (x *rollouts) run(ctx context.Context) {
	for x.active(ctx) {
		x.setVersions(nil) // entries that expire change no row
		x.countHeld()
		x.mu.Lock()
		l := slices.Sorted(maps.Keys(x.orders))
		x.mu.Unlock()
		for _, service := range l {
			x.tasks.work.Go(func() { x.report(ctx, service) })
		}
		wait.Sleep(ctx, x.interval())
	}
}

// interval returns the time between two reports.
func (x *rollouts) interval() time.Duration { return rollout.ReportInterval(len(x.roster.All())) }

// countHeld counts batches and results at old servers. The agent does not ask the scheduler itself, which asks the
// agent while its lock is held.
func (x *rollouts) countHeld() {
	x.mu.Lock()
	orders := maps.Clone(x.orders)
	x.mu.Unlock()
	for service, n := range x.tasks.held(orders) {
		x.held.Store(service, n)
	}
}

// heldOf returns what countHeld counted last.
func (x *rollouts) heldOf(service string) int64 {
	n, _ := x.held.Load(service)
	k, _ := n.(int64)
	return k
}

// report sends a report on the order of a service to the decider, unless one is on its way.
func (x *rollouts) report(ctx context.Context, service string) {
	x.mu.Lock()
	s := x.state[service]
	if s == nil || s.reporting {
		x.mu.Unlock()
		return
	}
	s.reporting = true
	x.mu.Unlock()
	defer func() {
		x.mu.Lock()
		s.reporting = false
		x.mu.Unlock()
	}()
	r, ok := x.agent.Report(service)
	if !ok {
		return
	}
	sentAt := time.Now()
	reply, written, err := x.exchange(ctx, r)
	x.meter.countRolloutReport(service, err == nil)
	if err != nil {
		return
	}
	x.agent.OnReply(reply)
	if written {
		x.agent.SetStatus(service, reply.Order.To, reply.State, r.Order.Era, r.Order.Version+1)
	}
	x.mu.Lock()
	s.reply, s.sentAt = reply, sentAt
	x.logState(s, reply)
	x.mu.Unlock()
	x.refreshMain()
}

// exchange sends a report to the decider, which may be this node, and returns the reply, and whether the store has the
// end of the rollout.
func (x *rollouts) exchange(ctx context.Context, r rollout.Report) (reply rollout.Reply, written bool, err error) {
	to, ok := x.roster.Oldest()
	if !ok {
		return reply, false, errNoDecider
	}
	if to.Peer == x.self.Peer {
		if reply, written, ok = x.onReport(r); !ok {
			err = errNoDecider
		}
		return reply, written, err
	}
	m := x.mesh()
	if m == nil {
		return reply, false, peer.ErrNoKey
	}
	c, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	reply, written, err = m.ReportRollout(c, to.Peer, r)
	if err == nil || ctx.Err() != nil {
		return reply, written, err
	}
	if _, ok := errors.AsType[*peer.RemoteError](err); !ok { // otherwise it has not read the order or its row yet
		x.roster.MarkSilent(to.Peer)
		x.log.Info("rollout_not_reported", zap.String("peer", to.Peer), zap.String("service", r.Order.Service), zap.Error(err))
	}
	return reply, false, err
}

// logState logs a change of the state of a rollout as this node knows it. The lock is held.
func (x *rollouts) logState(s *serviceState, r rollout.Reply) {
	if s.logged && s.state == r.State {
		return
	}
	s.logged, s.state = true, r.State
	x.log.Info("rollout_state", zap.String("service", r.Order.Service), zap.String("to", r.Order.To), zap.Stringer("state", r.State), zap.String("decider", r.Decider))
}
