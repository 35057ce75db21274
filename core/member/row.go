package member

import (
	"encoding/json"

	"bergamotspring/core/lease"
	"bergamotspring/core/store"
)

// RowError reports a row that cannot be decoded.
type RowError struct {
	Row   string // node or config head
	Cause error
}

func (e *RowError) Error() string { return "member: " + e.Row + " row: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *RowError) Unwrap() error { return e.Cause }

type nodeRow struct {
	Node        string `json:"node"`
	Incarnation string `json:"incarnation"`
	VM          string `json:"vm"`
	Domain      string `json:"failure_domain"`
	Region      string `json:"region"`
	Peer        string `json:"peer_address"`
	Operator    string `json:"operator_address,omitempty"`
	Leaving     bool   `json:"leaving,omitempty"`
}

// EncodeNode returns the value of row node/<id>.
func EncodeNode(n Node) []byte {
	b, _ := json.Marshal(nodeRow{ // strings always encode
		Node: n.Instance.Node, Incarnation: n.Instance.Incarnation, VM: n.VM,
		Domain: n.Domain, Region: n.Region, Peer: n.Peer, Operator: n.Operator,
		Leaving: n.Leaving,
	})
	return b
}

// DecodeNode reads the value of row node/<id>. Its error is a *RowError.
func DecodeNode(b []byte) (Node, error) {
	var r nodeRow
	if err := json.Unmarshal(b, &r); err != nil {
		return Node{}, &RowError{Row: "node", Cause: err}
	}
	return Node{
		Instance: lease.Instance{Node: r.Node, Incarnation: r.Incarnation}, VM: r.VM,
		Domain: r.Domain, Region: r.Region, Peer: r.Peer, Operator: r.Operator,
		Leaving: r.Leaving,
	}, nil
}

// InUseError reports a node id whose row belongs to a node at another address that
// may be alive.
type InUseError struct {
	Holder  Node
	Address string
}

func (e *InUseError) Error() string {
	return "member: node id " + e.Holder.Instance.Node + " is in use at " + e.Holder.Peer +
		", not " + e.Address + "; start under another id or wait until VM " + e.Holder.VM + " is gone"
}

// Join returns the transaction that writes the row of n over the row read before
// (version 0: none). The node listens at n.Peer already, so an older incarnation at
// that address has ended. gone says that the VM of the older row is gone.
func Join(n Node, old store.Row, gone bool) (store.Tx, error) {
	k := lease.NodeKey(n.Instance.Node)
	if old.Version > 0 && !gone {
		o, err := DecodeNode(old.Value)
		if err != nil {
			return store.Tx{}, err
		}
		if o.Peer != n.Peer {
			return store.Tx{}, &InUseError{Holder: o, Address: n.Peer}
		}
	}
	return store.Tx{
		Conditions: []store.Condition{{Key: k, Version: old.Version}},
		Writes:     []store.Write{{Key: k, Value: EncodeNode(n)}},
	}, nil
}

// Leave returns the transaction that removes the rows of a node that has given up all
// roles.
func Leave(id string, version uint64) store.Tx {
	k := lease.NodeKey(id)
	return store.Tx{
		Conditions: []store.Condition{{Key: k, Version: version}},
		Writes:     []store.Write{{Key: k, Delete: true}, {Key: lease.Key(id), Delete: true}},
	}
}
