package node

// This file implements the callbacks that connect the components of a node to each other
// and to external services.

import (
	"context"
	"time"

	"go.uber.org/zap"

	"bergamotspring/core/fleet"
	"bergamotspring/core/member"
	"bergamotspring/core/order"
	"bergamotspring/core/stage"
	"bergamotspring/io/backend"
	"bergamotspring/io/control"
	"bergamotspring/io/operator"
	"bergamotspring/io/peer"
)

// sendOrder sends one order to a model server.
func (n *Node) sendOrder(ctx context.Context, o order.Order) error {
	s := o.State
	err := n.backend.Order(ctx, o.Address, backend.Order{Fencing: o.Fencing, Model: s.Model, Adapter: s.Adapter, Version: s.Version, Role: s.Role})
	if err != nil {
		n.alarms.raise(operator.AlarmOrder, &OrderError{Server: o.Server, Cause: err})
		return err
	}
	n.Log.Info("order taken", zap.String("server", o.Server), zap.String("model", s.Model), zap.String("version", s.Version), zap.Uint64("fencing", o.Fencing))
	return nil
}

// OrderError reports an order that a server did not accept.
type OrderError struct {
	Server string
	Cause  error
}

func (e *OrderError) Error() string { return "server " + e.Server + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *OrderError) Unwrap() error { return e.Cause }

func (n *Node) maxCall() time.Duration {
	if v := n.view.Load(); v != nil {
		return v.Declaration.Defaults.MaxCall
	}
	return 0
}

func (n *Node) holderNode(g fleet.GroupID) (member.Node, bool) {
	r := n.leases.RecordOf(g)
	if r.Epoch == 0 {
		return member.Node{}, false
	}
	x, v := n.members.Get(r.Holder.Node)
	return x, v > 0 && x.Instance == r.Holder
}

// unconfirmed returns member.IsolatedAfter if the configuration has been unconfirmed for at
// least that long, and 0 otherwise.
func (n *Node) unconfirmed() time.Duration {
	if n.watch.State().Config == member.Isolated {
		return member.IsolatedAfter
	}
	return 0
}

func (n *Node) fetchConfig(ctx context.Context, to member.Node) (control.ConfigResponse, error) {
	a, err := n.mesh.FetchConfig(ctx, to, n.watch.State().Version)
	return control.ConfigResponse{Head: a.Head, Confirmed: a.Confirmed}, err
}

func (n *Node) configResponse(have uint64) peer.ConfigResponse {
	a, v := n.watch.ConfigResponse(), n.watch.State().Version
	r := peer.ConfigResponse{Version: v, Confirmed: a.Confirmed}
	if v > have {
		r.Head = a.Head
	}
	return r
}

func (n *Node) vms(ctx context.Context) (map[string]member.VMState, error) {
	l, err := n.vmListClient.VMs(ctx)
	if err != nil {
		return nil, err
	}
	m := make(map[string]member.VMState, len(l))
	for _, x := range l {
		m[x.Name] = member.VMState(x.State)
	}
	return m, nil
}

// observe updates the metrics with the trace of a request and stores the trace. It charges
// the bytes that the request sent to and received from other regions.
func (n *Node) observe(s *stage.Trace) {
	n.metrics.Observe(s)
	n.traces.Add(s)
	v := n.view.Load()
	if v == nil {
		return
	}
	for _, p := range s.Stages {
		for _, a := range p.Attempts {
			if a.Cross > 0 {
				n.links.Settle(v.Regions[a.Group.Domain], int64(a.Cross))
			}
		}
	}
}

func (n *Node) close() {
	n.caller.Drain() // ends the workers if a component failed before the drain
	n.backend.Close()
	n.mesh.Close()
	n.tableClient.Close()
	n.vmListClient.Close()
	_ = n.metrics.Close()
	_ = n.Log.Sync() // sync fails on some kinds of standard error
}
