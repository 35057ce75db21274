// Package relay decides where a relayed request may go: which route it takes, which
// organisation it belongs to, and which servers may run it now.
//
// A relayed request is passed on to a backend server as the caller wrote it, unlike
// a pipeline of the product's own interface. This file defines what a
// configuration says of routes, services and organisations.
package relay

import "time"

// Route says how requests of one host and path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	// Targets are the services that share the requests by weight; at least one.
	Targets []Target
	// Repeatable requests may run more than once.
	Repeatable bool
	// Streamed answers are event streams.
	Streamed bool
	// Resumable streams may go on at another server after the last event received.
	Resumable bool
	// Public routes need no key.
	Public   bool
	Attempts int // most servers that one request may be sent to
	// Timeout bounds how long the operator wants a caller kept waiting.
	Timeout time.Duration
	// Goal is the time to the answer, or to the first event, that earns full credit.
	Goal time.Duration
	// EventGap is the longest pause between events that is still on time.
	EventGap time.Duration
	Priority int      // 0 is the most urgent
	Regions  []string // the only ones that may serve it; empty: all
	Stages   []Stage
}

// Target is a share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Stage is work that must be done before a request can run. Stages are numbered by
// their place in the route.
type Stage struct {
	Service     string
	After       []int // stages whose results it needs
	ResultBytes int64 // approximate size of one result
}

// Service is a set of equal backend servers.
type Service struct {
	Name string
	// MaxConnections bounds the connections to one server from all callers together.
	MaxConnections int
	// ColdRate is the number of requests a second that a cold server bears, 0: any.
	ColdRate float64
	Model    bool       // its servers run models
	Batching *BatchSpec // set for servers of stages
}

// BatchSpec describes the servers of a stage's service. All values are for one server.
type BatchSpec struct {
	Concurrency   int           // in progress at the same time
	MaxBatch      int           // pieces in one call
	BatchTime     time.Duration // of a call, without its pieces
	TaskTime      time.Duration // of each piece, approximate
	CapacityBytes int64         // for results
	TTL           time.Duration // how long a result stays
}

// Organisation is who a request is made for.
type Organisation struct {
	Name        string
	HasPriority bool // Priority takes precedence over the route's
	Priority    int
	Regions     []string // the only ones that may serve it; empty: all
}

// Configuration is one version of what operators say. It is not changed after it
// was made.
type Configuration struct {
	Version  int64
	Routes   []Route
	Services map[string]*Service
	MaxBody  int64 // most bytes of a request's body
	// Keys maps each key to its organisation. Nil: requests carry no keys.
	Keys map[string]*Organisation
}

// Server is a backend server as it registered itself.
type Server struct {
	ID        string
	Service   string
	Address   string // IP:port
	Domain    string // failure domain
	Region    string
	Slots     int
	Leaving   bool
	StartedAt int64     // Unix milliseconds of its start, 0: not said
	ColdUntil time.Time // by the node's own clock; zero: warm
}
