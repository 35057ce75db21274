package lease

import (
	"encoding/json"

	"bergamotspring/core/fleet"
)

// Prefixes of the table keys of this package. A lease row is rewritten at each renewal;
// only its version matters to others.
const (
	HomePrefix  = "home/"
	LeasePrefix = "lease/"
	NodePrefix  = "node/"
)

// HomeKey returns the key of the row of g.
func HomeKey(g fleet.GroupID) string { return HomePrefix + g.String() }

// Key returns the key of the lease row of a node.
func Key(node string) string { return LeasePrefix + node }

// NodeKey returns the key of the membership row of a node.
func NodeKey(node string) string { return NodePrefix + node }

// RowError reports a row home/<group> that cannot be decoded.
type RowError struct {
	Cause error
}

func (e *RowError) Error() string { return "lease: home row: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *RowError) Unwrap() error { return e.Cause }

type homeRow struct {
	Pool               string `json:"pool"`
	Domain             string `json:"domain"`
	Holder             string `json:"home"`
	HolderIncarnation  string `json:"home_incarnation"`
	Standby            string `json:"deputy,omitempty"`
	StandbyIncarnation string `json:"deputy_incarnation,omitempty"`
	Epoch              uint64 `json:"epoch"`
	Token              string `json:"token"`
}

// EncodeRecord returns the value of row home/<group>.
func EncodeRecord(r Record) []byte {
	b, _ := json.Marshal(homeRow{ // strings and numbers always encode
		Pool: r.Group.Pool, Domain: r.Group.Domain,
		Holder: r.Holder.Node, HolderIncarnation: r.Holder.Incarnation,
		Standby: r.Standby.Node, StandbyIncarnation: r.Standby.Incarnation,
		Epoch: r.Epoch, Token: r.Token,
	})
	return b
}

// DecodeRecord reads the value of row home/<group>. Its error is a *RowError.
func DecodeRecord(b []byte) (Record, error) {
	var h homeRow
	if err := json.Unmarshal(b, &h); err != nil {
		return Record{}, &RowError{Cause: err}
	}
	return Record{
		Group:   fleet.GroupID{Pool: h.Pool, Domain: h.Domain},
		Holder:  Instance{Node: h.Holder, Incarnation: h.HolderIncarnation},
		Standby: Instance{Node: h.Standby, Incarnation: h.StandbyIncarnation},
		Epoch:   h.Epoch, Token: h.Token,
	}, nil
}
