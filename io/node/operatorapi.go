package node

// This file implements the calls of the operator API.

import (
	"context"
	"errors"
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/core/member"
	"bergamotspring/core/store"
	"bergamotspring/io/control"
	"bergamotspring/io/operator"
	"bergamotspring/schema"
)

// operatorServer returns the operator API server of this node.
func (n *Node) operatorServer() *operator.Server {
	return &operator.Server{
		Token: n.Settings.OperatorToken, Apply: n.apply, Current: n.current, History: n.history,
		Status: n.status, Explain: n.explain, Ready: n.Ready,
		Release: n.releaseGroup,
	}
}

func (n *Node) releaseGroup(_ context.Context, g fleet.GroupID, reason string) error {
	if _, ok := n.groups()[g]; !ok {
		return &operator.Error{Code: operator.CodeNotFound, Message: "the declaration has no group " + g.String()}
	}
	return n.leases.Release(g, reason)
}

func (n *Node) apply(ctx context.Context, r operator.ApplyRequest) (operator.Applied, error) {
	b, err := schema.Pack(r.Declaration)
	if err != nil {
		return operator.Applied{}, err
	}
	var before fleet.Declaration
	if v := n.watch.View(); v != nil && v.Version == r.Expected {
		before = *v.Declaration
	}
	a := member.Apply{ID: r.ID, Author: n.Settings.ID, Reason: r.Reason, At: time.Now(), Base: r.Expected, Payload: b}
	v, repeated, err := n.watch.Apply(ctx, a)
	if err != nil {
		return operator.Applied{}, applyError(err)
	}
	return operator.Applied{Version: v, Repeated: repeated, Changes: fleet.Diff(&before, r.Declaration)}, nil
}

// applyError maps the error of an apply to a code, which says whether the apply may have
// taken effect.
func applyError(err error) error {
	var c *member.ConflictError
	var u *control.ApplyUnknownError
	var i *member.InvalidApplyError
	switch {
	case errors.As(err, &c):
		return &operator.Error{Code: operator.CodeConflict, Message: err.Error(), Current: c.Version}
	case errors.As(err, &u):
		return &operator.Error{Code: operator.CodeUnknown, Message: err.Error()}
	case errors.As(err, &i):
		return &operator.Error{Code: operator.CodeBadRequest, Message: err.Error()}
	}
	return &operator.Error{Code: operator.CodeUnavailable, Message: err.Error()}
}

func (n *Node) current(context.Context) (operator.Stored, error) {
	a := n.watch.ConfigResponse()
	if len(a.Head) == 0 {
		return operator.Stored{}, &operator.Error{Code: operator.CodeNotFound, Message: "no declaration is in force"}
	}
	return decodeStored(a.Head)
}

func decodeStored(value []byte) (operator.Stored, error) {
	h, err := member.DecodeHead(value)
	if err != nil {
		return operator.Stored{}, err
	}
	d, err := schema.Unpack(h.Payload)
	if err != nil {
		return operator.Stored{}, err
	}
	return operator.Stored{Version: h.Version, ApplyID: h.ApplyID, Reason: h.Reason, At: h.At, Declaration: d}, nil
}

func (n *Node) history(ctx context.Context, version uint64) (operator.Stored, error) {
	k := member.HistoryKey(version)
	r, err := n.table.Read(ctx, store.Query{Keys: []string{k}})
	if err != nil {
		return operator.Stored{}, &operator.Error{Code: operator.CodeUnavailable, Message: err.Error()}
	}
	for _, x := range r.Rows {
		if x.Key == k && x.Version > 0 {
			return decodeStored(x.Value)
		}
	}
	return operator.Stored{}, &operator.Error{Code: operator.CodeNotFound, Message: "there is no such version"}
}

func (n *Node) explain(_ context.Context, request string) (operator.Trace, error) {
	s := n.traces.Get(request)
	if s == nil {
		return operator.Trace{}, &operator.Error{Code: operator.CodeNotFound, Message: "this node does not keep that request"}
	}
	return toOperatorTrace(n.Settings.ID, s), nil
}
