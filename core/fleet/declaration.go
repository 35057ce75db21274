// Package fleet defines the declaration: the desired configuration of the fleet, as
// written by operators.
//
// A declaration is kept in version control, validated as a whole, and installed
// under an increasing version number. The types carry no struct tags; the codec in
// package schema maps them by hand.
package fleet

import "time"

// Declaration is the whole configuration of the fleet. In a valid declaration every
// referenced name is declared and names are unique within their section.
type Declaration struct {
	Name          string
	Defaults      Defaults
	Regions       []Region
	Domains       []FailureDomain
	Links         []Link
	Pools         []Pool
	Servers       []BackendServer
	Pipelines     []Pipeline
	Services      []Service
	Organisations []Organisation
	Classes       []Class
	Exceptions    []Exception
}

// Defaults are fleet-wide values.
type Defaults struct {
	MaxCall       time.Duration // longest deadline that a caller may request
	Deadline      time.Duration // deadline of a request without one
	RetryShare    float64       // retries and hedges as a share of first attempts, 0 to 1
	WeightsPerMin int           // model loads per minute that the weight store sustains, fleet-wide
}

// Region is a set of failure domains with fast connections between them.
type Region struct {
	Name string
}

// FailureDomain is a set of VMs that fail, or are taken out, together.
type FailureDomain struct {
	Name   string
	Region string
}

// Link is the one-way connection from one region to another. BytesPerSecond bounds
// what all nodes of From together send to To.
type Link struct {
	From, To       string
	BytesPerSecond int64
}

// Protocol is the protocol that the servers of a pool speak.
type Protocol string

// The protocols of backend servers.
const (
	ProtocolEngine Protocol = "engine" // model servers: completions with server-sent events
	ProtocolJSON   Protocol = "json"   // one JSON request, one JSON response
)

// Pool is a set of backend servers of one kind.
type Pool struct {
	Name          string
	Protocol      Protocol
	Limit         int           // maximum calls in flight on a warm server
	ColdLimit     int           // maximum calls in flight on a server in a cold start
	ColdFactor    float64       // a response slower than the group's median by this factor counts as cold
	ReportsLoad   bool          // servers answer GET /v1/load
	ChecksFencing bool          // servers refuse orders with an outdated fencing token
	Expect        time.Duration // service time assumed until one is measured
	Model         string        // model to keep loaded; empty: servers get no orders
	Adapter       string
	ModelVersion  string
	Role          string
}

// BackendServer is one server of a pool. Address is IP:port.
type BackendServer struct {
	Name    string
	Pool    string
	Domain  string
	Address string
	VM      string
}

// StageKind is the kind of work of a stage.
type StageKind string

// The kinds of stage.
const (
	Encode   StageKind = "encode"
	Retrieve StageKind = "retrieve"
	Rerank   StageKind = "rerank"
	Generate StageKind = "generate"
)

// Stage is one step of a pipeline. The output of a stage is the input of the next.
type Stage struct {
	Name      string
	Kind      StageKind
	Pool      string
	MaxTokens int // generate only
}

// Pipeline is an ordered list of stages under one deadline. All stages may be retried.
type Pipeline struct {
	Name     string
	Stages   []Stage
	Deadline time.Duration // 0: Defaults.Deadline
}

// Service is a service called directly, without a pipeline, and its operations.
type Service struct {
	Name       string
	Pool       string
	Operations []Operation
}

// Operation is a call that a service offers. Undeclared operations are rejected. An
// operation that is not Repeatable runs at most once.
type Operation struct {
	Name       string
	Repeatable bool
}

// Organisation is a customer. Weight is its weight in the fair queues; 0 means 1.
type Organisation struct {
	Name   string
	Weight int
}

// Class is a priority class. Weight multiplies the organisation's weight; 0 means 1.
// Priority is passed to model servers.
type Class struct {
	Name     string
	Weight   int
	Priority int
}

// Exception overrides a declared value of one target, or takes it out. Reason must not be
// empty.
type Exception struct {
	Target Target
	Name   string // name of the failure domain, server, pool or organisation
	Out    bool   // the failure domain or server gets no work
	Limit  int    // overrides Pool.Limit for a server or pool, 0: none
	Weight int    // overrides Organisation.Weight, 0: none
	Reason string
	Since  time.Time
}

// Target is what an exception applies to.
type Target string

// The targets of exceptions.
const (
	TargetDomain       Target = "failure_domain"
	TargetServer       Target = "server"
	TargetPool         Target = "pool"
	TargetOrganisation Target = "organisation"
)

// GroupID names a group: the servers of one pool in one failure domain.
type GroupID struct {
	Pool, Domain string
}

// String returns pool@domain, as used in table keys and logs.
func (g GroupID) String() string { return g.Pool + "@" + g.Domain }
