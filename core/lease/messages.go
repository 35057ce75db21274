// Package lease decides which node holds the lease of a group, and so may grant for
// it, and which node is the standby that takes over. Table keys, status, logs and
// wire names call the lease holder "home" and the standby "deputy".
//
// This file defines the messages between lease holder and standby, and the content
// of the table row. See "Home authority" in docs/design.md.
package lease

import (
	"time"

	"bergamotspring/core/fleet"
)

// Instance is one incarnation of a node.
type Instance struct {
	Node        string
	Incarnation string
}

// Record is the content of row home/<group>. Epoch rises with every change of
// Holder and is the fencing token of the holder's orders.
type Record struct {
	Group   fleet.GroupID
	Holder  Instance
	Standby Instance
	Epoch   uint64
	Token   string // unique to the write; identifies it when the response was lost
}

// PromiseRequest asks the standby not to take over.
type PromiseRequest struct {
	Holder Instance
	Groups []fleet.GroupID
	Epochs []uint64 // parallel to Groups
	Outage bool     // the holder has not reached the table for more than 3 s (outageAfter of io/control)
}

// Promise is the standby's response: the groups that it will not take over for
// Term. The holder counts Term from before it sent the request.
type Promise struct {
	Standby Instance
	Groups  []fleet.GroupID
	Term    time.Duration
}

// Handover sends a node a record that may not be in the table. Its meaning follows
// from the record, see Machine.Accept: the receiver is the new lease holder, the new
// standby, a standby that is asked to resign, or, when Token is empty, a node that
// is asked whether it has any right to the group. A response without an error is
// consent.
type Handover struct {
	Record Record
}
