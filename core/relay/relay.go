// Package relay decides how a relayed request is routed: which route it matches, which
// organisation it belongs to, and which servers may run it at the moment.
//
// A relayed request is passed on to a backend server as the caller wrote it, unlike
// a pipeline of the product's own interface. This file defines the routes,
// services and organisations of a configuration.
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
	// Streamed responses are event streams.
	Streamed bool
	// Resumable streams may be continued on another server after the last event received.
	Resumable bool
	// Public routes need no key.
	Public   bool
	Attempts int // maximum number of servers that one request is sent to
	// Timeout bounds how long the operator wants a caller kept waiting.
	Timeout time.Duration
	// Goal is the latency objective: the longest time to a response, or to the first
	// event of a stream, that is on time.
	Goal time.Duration
	// EventGap is the longest time between events of a stream that is still on time.
	EventGap time.Duration
	Priority int      // 0 is the most urgent
	Regions  []string // regions that may serve it; empty: all
	Stages   []Stage
	// Unreadable says that only Name, Host and Prefix are known. Requests are refused until a version can be read.
	Unreadable bool
}

// Target is a share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Stage is work that must be done before a request can run. Stages are numbered by
// their index in the route.
type Stage struct {
	Service     string
	After       []int // indexes of the stages whose results it needs
	ResultBytes int64 // approximate size of one result
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name string
	// MaxConnections bounds the connections to one server from all nodes together, 0: no
	// bound.
	MaxConnections int
	// ColdRate is the number of requests per second that a cold server can take, 0: any.
	ColdRate float64
	Model    bool // its servers run models
	// ModelSlots is the number of requests that a model server runs at once, ModelTokens how many tokens of
	// prompts and responses it holds: it crashes if it gets more. 0: not known.
	ModelSlots, ModelTokens int
	Batching                *BatchSpec // set if its servers run stages
}

// BatchSpec describes the servers of a stage's service. All values are for one server.
type BatchSpec struct {
	Concurrency   int           // batches in progress at the same time
	MaxBatch      int           // tasks in one batch
	BatchTime     time.Duration // of a batch, without its tasks
	TaskTime      time.Duration // of each task, approximate
	CapacityBytes int64         // for stored results
	TTL           time.Duration // how long a result is stored
}

// Organisation is the customer that a request is made for.
type Organisation struct {
	Name        string
	HasPriority bool // Priority takes precedence over the route's
	Priority    int
	Regions     []string // regions that may serve it; empty: all
}

// Configuration is one version of what operators have declared. It is immutable.
type Configuration struct {
	Version  int64
	Routes   []Route
	Services map[string]*Service
	MaxBody  int64 // maximum size of a request's body in bytes
	// Keys maps each key to its organisation. Nil: requests carry no keys.
	Keys map[string]*Organisation
	// HidesRoutes and HidesKeys say that it has routes, or keys, that could not be read. What is not found may be one
	// of them, and is neither allowed nor unknown.
	HidesRoutes, HidesKeys bool
	// Problems lists what could not be read. The other parts are in force.
	Problems []error
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
	Version   string    // of its software; empty: not stated
	StartedAt int64     // Unix milliseconds of its start, 0: unknown
	Sequence  int64     // rises with each write of the entry by its process
	Era       uint64    // of the store in which the entry was read
	ColdUntil time.Time // by the node's own clock; zero: warm
}
