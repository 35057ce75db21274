// Package lease decides which node may act as home of a group.
//
// This file defines what the home and the deputy of a group tell each other and
// what the table holds. See "Home authority" in docs/design.md.
package lease

import (
	"time"

	"bergamotspring/core/fleet"
)

// Instance identifies one incarnation of a node.
type Instance struct {
	Node        string
	Incarnation string
}

// Record is the content of row home/<group>. Epoch rises with every change of
// Holder and is the fencing number of its orders.
type Record struct {
	Group   fleet.GroupID
	Holder  Instance
	Standby Instance
	Epoch   uint64
	Token   string // unique to the write, to recognise it when the answer was lost
}

// PromiseRequest asks the deputy not to take over.
type PromiseRequest struct {
	Holder Instance
	Groups []fleet.GroupID
	Epochs []uint64 // parallel to Groups
	Outage bool     // the home has not reached the table for a while
}

// Promise is the deputy's answer: the groups that it will not take over for
// Term, counted by the home from before it sent the ask.
type Promise struct {
	Standby Instance
	Groups  []fleet.GroupID
	Term    time.Duration
}

// Handover tells a node of a record that may not be in the table. Its meaning
// follows from the record, see Machine.Accept: the receiver is the new home, the
// new deputy, a deputy that is asked to resign, or, when Token is empty, a node
// that is asked whether it has any right to the group. No error is consent.
type Handover struct {
	Record Record
}
