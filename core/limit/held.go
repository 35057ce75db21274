package limit

import "time"

// HeldPermit is a permit that a node holds when it sends a HeldReport.
type HeldPermit struct {
	Node        string
	Permit      Permit
	Fingerprint uint64
	Remaining   time.Duration // until HoldUntil, when the report was sent
}

// WarmObservation is a server that recently responded to a node at warm speed, on a
// permit with Cold false. Good responses during a ramp do not count: they show that
// the server handles the ramp's limit, not its warm limit.
type WarmObservation struct {
	Server  string
	Age     time.Duration
	Service time.Duration
}

// ColdObservation is a server that a node recently observed cold or crashed. It
// overrides older warm observations of other nodes.
type ColdObservation struct {
	Server string
	Age    time.Duration
}

// HeldReport is a node's response to a new lease holder of a group.
type HeldReport struct {
	Node string // node and incarnation
	Held []HeldPermit
	Warm []WarmObservation
	Cold []ColdObservation
}

// Decision is the result of one request: a permit, or an error of type *RefusedError.
type Decision struct {
	Request Request
	Permit  Permit
	Err     error
}

// Summary is the state of a group that a limiter publishes to nodes, which choose
// between groups by it.
type Summary struct {
	Free          int           // slots free now
	Slots         int           // slots of the usable servers at their current limits
	Queued        int           // calls waiting
	Wait          time.Duration // expected wait of a new call
	MedianService time.Duration // median service time
	Usable        bool          // some server takes new work
}
