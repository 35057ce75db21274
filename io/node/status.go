package node

// This file collects the status that operators read: the state of this node, and of the
// other nodes as they report it over peer links.

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/core/limit"
	"bergamotspring/core/member"
	"bergamotspring/io/control"
	"bergamotspring/io/operator"
	"bergamotspring/io/peer"
)

// maxStatusRequests bounds the concurrent state requests to other nodes.
const maxStatusRequests = 32

// state returns the state of this node as reported to other nodes. Only a full state
// lists the groups for which this node is the lease holder, and their servers.
func (n *Node) state(full bool) peer.State {
	s := n.watch.State()
	r := peer.State{Version: s.Version, Confirmed: s.Confirmed, Ready: n.Ready() == nil, Leaving: n.leaving.Load()}
	if !full {
		return r
	}
	for _, h := range n.limiters.Status() {
		if !h.IsHolder {
			continue
		}
		_, remaining := n.leases.Authority(h.Group)
		r.Leases = append(r.Leases, peer.LeaseState{Group: h.Group, Epoch: h.Epoch, Remaining: remaining, Queued: h.Queued, Wait: expectedWait(h)})
		for _, x := range h.Servers {
			r.Servers = append(r.Servers, peer.ServerState{Name: x.Name, State: serverState(x, h.Ready), Limit: x.Limit, Warm: x.Warm, InFlight: x.InFlight})
		}
	}
	return r
}

// Authority returns the epoch under which this node may grant permits of a group now
// and the remaining time for which it may, 0 if it may not.
func (n *Node) Authority(g fleet.GroupID) (epoch uint64, remaining time.Duration) {
	if !n.started.Load() {
		return 0, 0
	}
	return n.leases.Authority(g)
}

func expectedWait(h limit.Status) time.Duration {
	k := 0
	for _, s := range h.Servers {
		k += s.Limit
	}
	if k == 0 {
		return 0
	}
	return h.MedianService * time.Duration(h.Queued) / time.Duration(k)
}

func serverState(s limit.ServerStatus, open bool) string {
	switch {
	case s.Out:
		return "out"
	case s.Leaving:
		return "leaving"
	case !open:
		return "held"
	case s.Ejected > 0 || s.Down > 0:
		return "ejected"
	case s.Cold:
		return "cold"
	}
	return "warm"
}

// status requests the state of all nodes and merges their responses.
func (n *Node) status(ctx context.Context) (operator.Status, error) {
	v := n.view.Load()
	s := n.watch.State()
	r := operator.Status{Version: s.Version, Confirmed: s.Confirmed, Table: n.tableState(), Alarms: n.alarms.list()}
	servers := map[string]peer.ServerState{}
	leases := map[fleet.GroupID]peer.LeaseState{}
	for _, a := range n.states(ctx) {
		r.Nodes = append(r.Nodes, nodeStatus(a))
		if a.node.Instance == n.self.Instance {
			r.Node = nodeStatus(a)
		}
		for _, x := range a.state.Servers {
			servers[x.Name] = x
		}
		for _, x := range a.state.Leases {
			leases[x.Group] = x
		}
	}
	if v == nil {
		return r, nil
	}
	r.Homes = n.leaseStatus(v, leases)
	r.Servers = serverStatus(v, servers)
	r.Permits = n.permitStatus()
	r.Exceptions = operator.Exceptions(v.Declaration, time.Now())
	return r, nil
}

type nodeResponse struct {
	node  member.Node
	state peer.State
	err   error
}

// states returns the states of this node and of all live nodes, sorted by node ID.
func (n *Node) states(ctx context.Context) []nodeResponse {
	l := []nodeResponse{{node: n.self, state: n.state(true)}}
	var mu sync.Mutex
	var w sync.WaitGroup
	slots := make(chan struct{}, maxStatusRequests)
	for _, x := range n.members.Live("") {
		if x.Instance == n.self.Instance {
			continue
		}
		w.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			c, cancel := context.WithTimeout(ctx, control.PeerTimeout)
			defer cancel()
			s, err := n.mesh.FetchState(c, x, true)
			mu.Lock()
			defer mu.Unlock()
			l = append(l, nodeResponse{x, s, err})
		})
	}
	w.Wait()
	slices.SortFunc(l, func(a, b nodeResponse) int { return cmp.Compare(a.node.Instance.Node, b.node.Instance.Node) })
	return l
}

func nodeStatus(a nodeResponse) operator.NodeStatus {
	s := operator.NodeStatus{
		Node: a.node.Instance.Node, Incarnation: a.node.Instance.Incarnation, VM: a.node.VM, Domain: a.node.Domain,
		Region: a.node.Region, Operator: a.node.Operator, Version: a.state.Version, Confirmed: a.state.Confirmed,
		State: operator.NodeStarting,
	}
	switch {
	case a.err != nil:
		s.State = operator.NodeUnreachable
	case a.state.Leaving:
		s.State = operator.NodeLeaving
	case a.state.Ready:
		s.State = operator.NodeReady
	}
	return s
}

func (n *Node) leaseStatus(v *fleet.View, reported map[fleet.GroupID]peer.LeaseState) []operator.HomeStatus {
	var l []operator.HomeStatus
	for id := range v.Groups {
		rec := n.leases.RecordOf(id)
		h := operator.HomeStatus{Group: id, Home: rec.Holder.Node, Deputy: rec.Standby.Node, Epoch: rec.Epoch, Authority: "none"}
		if x, ok := reported[id]; ok {
			// Without a live standby, authority has no end, so the time is bounded.
			h.Remaining, h.Queued, h.Wait, h.Authority = min(x.Remaining, time.Hour), x.Queued, x.Wait, "held"
		}
		l = append(l, h)
	}
	slices.SortFunc(l, func(a, b operator.HomeStatus) int { return cmp.Compare(a.Group.String(), b.Group.String()) })
	return l
}

func serverStatus(v *fleet.View, reported map[string]peer.ServerState) []operator.ServerStatus {
	var l []operator.ServerStatus
	for i := range v.Declaration.Servers {
		b := &v.Declaration.Servers[i]
		s := operator.ServerStatus{Server: b.Name, Pool: b.Pool, Domain: b.Domain, VM: b.VM, State: "unknown", FullLimit: v.LimitOf(b)}
		if x, ok := reported[b.Name]; ok {
			s.State, s.Limit, s.InFlight = x.State, x.Limit, x.InFlight
		}
		l = append(l, s)
	}
	return l
}

func (n *Node) permitStatus() []operator.PermitStatus {
	var l []operator.PermitStatus
	for _, h := range n.broker.HeldPermits() {
		l = append(l, operator.PermitStatus{Group: h.Permit.Group, Server: h.Permit.Server, ID: h.Permit.ID, Epoch: h.Permit.Epoch, Remaining: h.Remaining})
	}
	return l
}

func (n *Node) tableState() string {
	switch {
	case n.watch.State().Regressed:
		return "regressed"
	case n.health.Down() > 0:
		return "down"
	}
	return "ok"
}
