package limit

import "time"

// HeldPermit is a permit that a node still holds, as it reports it to a new home.
type HeldPermit struct {
	Node        string
	Permit      Permit
	Fingerprint uint64
	Remaining   time.Duration // until HoldUntil, when the report was sent
}

// WarmObservation is a server that answered a node at warm speed not long ago, on a
// permit with Cold false. Good answers during a ramp do not count: they show that
// the server bears the ramp's limit, not its whole one.
type WarmObservation struct {
	Server  string
	Age     time.Duration
	Service time.Duration
}

// ColdObservation is a server that a node saw cold or crashed not long ago. It
// outweighs older warm sightings of other nodes.
type ColdObservation struct {
	Server string
	Age    time.Duration
}

// HeldReport is a node's answer to a new home of a group.
type HeldReport struct {
	Node string // node and incarnation
	Held []HeldPermit
	Warm []WarmObservation
	Cold []ColdObservation
}

// Decision is what a home decided on one ask: a permit, or an error of type
// *RefusedError.
type Decision struct {
	Request Request
	Permit  Permit
	Err     error
}

// Summary is what a home tells nodes about its group, to choose between groups.
type Summary struct {
	Free          int           // slots free now
	Slots         int           // slots of the usable servers at their current limits
	Queued        int           // calls waiting
	Wait          time.Duration // expected wait of a new call
	MedianService time.Duration // median service time
	Usable        bool          // some server takes new work
}
