package rollout

// This file defines what nodes and the decider send each other.

import "time"

// Stratum counts the responses of one kind of request since the order arrived at the node, without
// those of servers in their cold start.
type Stratum struct {
	Route  string
	Domain string // failure domain of the server
	New    bool
	Server string // of the new version; empty for old servers, which are counted together

	Responses int64
	Failed    int64
	Took      Histogram // of responses that did not fail
	Pace      Histogram // time per event, of streams that did not fail
}

// Report is what a node tells the decider. The counters are cumulative for each node, incarnation and
// order, so lost, repeated and reordered reports do no harm. With the report the node returns what it
// has not used of its allowance.
type Report struct {
	Node        string
	Incarnation string
	Seq         uint64 // rises with each report of the incarnation
	Order       Order
	Age         time.Duration // since the node learned of the order
	Requests    int64         // of the service
	Exposed     int64         // of those, to the new version
	OldInFlight int64         // requests, batches and stored results at servers of other versions
	Strata      []Stratum     // those that changed since the decider last acknowledged a report
	Step        int           // of Moving that the node's requests follow, 0 without fresh state
	State       State         // as the node knows it
	Ceiling     int64         // largest one that a decider told the node
	Opened      time.Duration
	Known       bool // the node was told State, Ceiling and Opened
	Current     bool // the version was the established one at the node before the order
}

// Reply is the decider's answer to a report.
type Reply struct {
	Decider   string // node and incarnation
	Seq       uint64 // of the report
	Order     Order
	State     State
	Share     float64  // of the node's requests that go to the new version
	Allowance int64    // how many may within the second after the report was sent
	Step      int      // of Moving; the last one, allSteps, sends everything to the new version
	Focus     []string // servers of the new version that get the traffic; empty: all
	Wanted    []string // routes whose requests go first to the new version, as evidence is missing
	Ceiling   int64
	Opened    time.Duration
	Interval  time.Duration // until the next report
}

// Observation is how an attempt ended.
type Observation struct {
	Route  string
	Domain string // failure domain of the server
	Server string
	Failed bool
	Took   time.Duration
	Pace   time.Duration // time per event of a stream, 0 without events
	Cold   bool          // the server was in its cold start
}
