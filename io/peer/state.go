package peer

// This file carries the state of a node to the node that serves an operator's request.

import (
	"context"
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/core/member"
	"bergamotspring/schema/wire"
)

// State is the state of a node, as it reports it.
type State struct {
	Version   uint64
	Confirmed bool // against the table within the last 5 s
	Ready     bool
	Leaving   bool
	Leases    []LeaseState // groups whose lease it holds
	Servers   []ServerState
}

// LeaseState is the state of a group, as its lease holder reports it.
type LeaseState struct {
	Group     fleet.GroupID
	Epoch     uint64
	Remaining time.Duration // of authority
	Queued    int
	Wait      time.Duration // expected for a new call
}

// ServerState is the state of a backend server, as its lease holder reports it.
type ServerState struct {
	Name     string
	State    string
	Limit    int // on calls in flight, at present
	Warm     int // limit when warm
	InFlight int
}

// FetchState queries a node for its state, with Leases and Servers if full is set.
func (m *Mesh) FetchState(ctx context.Context, to member.Node, full bool) (State, error) {
	var w wire.State
	if err := m.Call(ctx, to.Peer, TypeStateQuery, &wire.StateQuery{Full: full}, TypeState, &w); err != nil {
		return State{}, err
	}
	s := State{Version: uint64(w.Version), Confirmed: w.Confirmed, Ready: w.Ready, Leaving: w.Leaving}
	s.Leases = each(w.Homes, func(x wire.HomeState) LeaseState {
		return LeaseState{Group: groupOf(x.Group), Epoch: uint64(x.Epoch), Remaining: duration(x.Left), Queued: x.Queued, Wait: duration(x.Wait)}
	})
	s.Servers = each(w.Servers, func(x wire.ServerState) ServerState {
		return ServerState{Name: x.Name, State: x.State, Limit: x.Limit, Warm: x.Warm, InFlight: x.InFlight}
	})
	return s, nil
}

func wireState(s State) *wire.State {
	w := &wire.State{Version: int(s.Version), Confirmed: s.Confirmed, Ready: s.Ready, Leaving: s.Leaving}
	w.Homes = each(s.Leases, func(x LeaseState) wire.HomeState {
		return wire.HomeState{Group: wireGroup(x.Group), Epoch: int(x.Epoch), Left: micros(x.Remaining), Queued: x.Queued, Wait: micros(x.Wait)}
	})
	w.Servers = each(s.Servers, func(x ServerState) wire.ServerState {
		return wire.ServerState{Name: x.Name, State: x.State, Limit: x.Limit, Warm: x.Warm, InFlight: x.InFlight}
	})
	return w
}
