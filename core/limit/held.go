package limit

import "time"

// Held is a permit that a node still holds, as it reports it to a new home.
type Held struct {
	Node        string
	Permit      Permit
	Fingerprint uint64
	Left        time.Duration // until HoldUntil, when the report was sent
}

// WarmSighting is a server that answered a node at warm speed not long ago, on a
// permit with Cold false. Good answers during a ramp do not count: they show that
// the server bears the ramp's limit, not its whole one.
type WarmSighting struct {
	Server  string
	Age     time.Duration
	Service time.Duration
}

// ColdSighting is a server that a node saw cold or crashed not long ago. It
// outweighs older warm sightings of other nodes.
type ColdSighting struct {
	Server string
	Age    time.Duration
}

// HeldReport is a node's answer to a new home of a group.
type HeldReport struct {
	Node string // node and incarnation
	Held []Held
	Warm []WarmSighting
	Cold []ColdSighting
}

// Decision is what a home decided on one ask: a permit, or an error of type
// *RefusedError.
type Decision struct {
	Ask    Ask
	Permit Permit
	Err    error
}

// Summary is what a home tells nodes about its group, to choose between groups.
type Summary struct {
	Free    int           // slots free now
	Slots   int           // slots of the usable servers at their current limits
	Queued  int           // calls waiting
	Wait    time.Duration // expected wait of a new call
	Typical time.Duration // median service time
	Usable  bool          // some server takes new work
}
