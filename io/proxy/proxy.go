// Package proxy is a reverse proxy: it reads a request, finds its route, forwards it
// unchanged to a backend server, and reports exactly one outcome, which never claims more
// than is known.
//
// A non-idempotent request is retried only after a server stated that it did not run it,
// or when no byte of it was written. This file defines the server and its dependencies.
package proxy

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"bergamotspring/core/load"
	"bergamotspring/core/memory"
	"bergamotspring/core/placement"
	"bergamotspring/core/relay"
	"bergamotspring/core/rollout"
	"bergamotspring/core/suspect"
	"bergamotspring/io/exchange"
)

// maxLoggedTarget bounds the target of a request in log lines, in bytes.
const maxLoggedTarget = 128

// errStopping is the cause of the end of a context when the process is about to end.
var errStopping = errors.New("node stops")

// Meta is the request metadata that a caller sends in headers.
type Meta struct {
	ID         string
	Key        string        // API key, identifies the organisation
	Remaining  time.Duration // until the caller's deadline, if Bounded
	Bounded    bool
	Tokens     int                       // of the prompt, plus the output limit
	Prompt     int                       // tokens of the prompt
	Segments   []placement.PromptSegment // prefix of the prompt that other requests may share
	SegmentIDs []uint64                  // ids of the same segments, whatever stands before them
	Tasks      []int                     // number of tasks of each stage
	InputKey   string
	LastEvent  string // id of the last event that the caller received
}

// Upstream is the metadata sent to a server in addition to the caller's headers.
type Upstream struct {
	Server       string // id of the only server that may run the request
	Organisation string
	Remaining    time.Duration
	Model        bool // the server is a model server; Priority and Inputs are sent
	Priority     int
	Inputs       []string
	KVSource     string // address of a server with a longer cached prefix of the prompt, or empty
	LastEvent    string
}

// Protocol translates headers between callers, this proxy and servers. All fields must
// be set.
type Protocol struct {
	Echo           string // request id header, which servers echo
	Stamp          string // header that each success of a server has
	Read           func(http.Header) Meta
	Write          func(from http.Header, s Upstream) http.Header
	NotRun         func(status int, h http.Header) bool
	Load           func(http.Header) *load.Report // what a server reports of its load, nil: nothing
	ResponseHeader func(from http.Header) http.Header
}

// Server serves callers' requests. All fields but Balancer and Rollouts must be set. Its http.Server needs ConnContext.
type Server struct {
	Protocol *Protocol
	View     func() *relay.View
	Region   string
	Domain   string
	Pool     *exchange.Pool
	// Guard returns the guard of a request to a server.
	Guard func(t *relay.Server) exchange.Guard
	// HoldOff returns for how long a server wants nothing from this node, 0 if it does not say so.
	HoldOff func(t *relay.Server) time.Duration
	// Schedule requests a placement from the region coordinator.
	Schedule func(ctx context.Context, a placement.Request) (placement.Decision, error)
	// Report reports the progress of a placed request to the region coordinator, or,
	// without a server, that the request no longer needs a placement.
	Report func(placement.Report)
	// CountFirst counts attempt 1 of a request for a service. TakeRetry takes a retry from
	// the service's retry budget and returns how many remain.
	CountFirst func(service string)
	TakeRetry  func(service string) (remaining int, ok bool)
	// Suspects knows which requests must not run because they crash servers. OnBroken is
	// called when a server that may have read a request did not respond, also after a
	// timeout, or broke off an event stream or the buffered part of another response, or ended
	// one whose end does not prove that it is complete, and without segments if several events
	// had come; OnResponse when several events came, OnSuccess when a request completed, and
	// its status shows that it ran.
	Suspects              *suspect.Counter
	OnBroken              func(r suspect.Request, t *relay.Server)
	OnResponse, OnSuccess func(r suspect.Request)
	// TakeTrial reports whether a request may run that Suspects refuses: of all nodes, one does now and then. It
	// waits no longer than until the context ends.
	TakeTrial func(ctx context.Context, r suspect.Request) bool
	// OnEnd is called at the end of each request that matched a route.
	OnEnd func(Result)
	// Sample reports whether a request that ended normally is logged.
	Sample func(id string) bool
	// Stopping reports whether callers' connections are to be closed after the response.
	Stopping func() bool
	// EndArrivals, EndPlacements and EndRequests end one after the other before the process does. Requests that have
	// not been read yet are refused from the first on, as they might last longer than the process; those that wait for
	// a placement from the second on. At the third, all others get their final response.
	EndArrivals, EndPlacements, EndRequests context.Context
	Log                                     *zap.Logger
	// Memory accounts for what is held for callers.
	Memory   *memory.Account
	Balancer relay.Balancer
	// Rollouts decides which version of the servers a request goes to; nil: any.
	Rollouts *rollout.Agent
}

// request is a caller's request in progress.
type request struct {
	server   *Server
	meta     Meta
	route    *relay.Route
	org      *relay.Organisation
	service  string
	version  int64 // of the configuration that matched the request
	method   string
	target   string // as it arrived; see originForm
	host     string
	header   http.Header
	body     []byte
	hash     uint64 // see fingerprint; 0: not computed yet
	arrived  time.Time
	deadline time.Time // when the response is due
	out      http.ResponseWriter
	ending   ending
	delivery *delivery

	bodyHolder  *memory.Holder
	bodyUses    atomic.Int32 // sends that read the body, and one more until it is dropped
	bodyDropped bool
	versioned

	trialAt    time.Time     // when a trial was granted; zero: never
	key        placement.Key // of its placement requests
	attempt    int           // placement requests before the current one
	sends      int           // sends that a server may have read
	lastServer string        // server of the last send
	events     int           // events sent to the caller
	mayHaveRun bool          // a server may have run the request
	headerSent bool          // the response header was written
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := &request{server: s, arrived: time.Now(), out: w, method: r.Method, target: originForm(r), host: r.Host, header: r.Header, ending: endingOf(r)}
	if s.Stopping() {
		w.Header().Set("Connection", "close")
	}
	defer q.release()
	if !q.read(r) {
		return
	}
	if s.EndArrivals.Err() != nil {
		q.fail(errStopping.Error(), retryAfterBusy)
		return
	}
	ctx, end := context.WithCancelCause(r.Context())
	defer end(nil)
	defer context.AfterFunc(s.EndRequests, func() { end(errStopping) })()
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	if q.refusePoison(ctx, nil) {
		return
	}
	s.CountFirst(q.service)
	q.takeRule()
	defer q.endAttempt()
	if v := s.View(); v.Config.Services[q.service] != nil && v.Config.Services[q.service].Model {
		q.generate(ctx)
		return
	}
	q.call(ctx)
}

// retry takes a retry from the budget, to send the request to a server other than t.
func (q *request) retry(t *relay.Server) bool {
	remaining, ok := q.server.TakeRetry(q.service)
	if !ok {
		q.log("repeat_denied", zap.String("server", t.ID))
		return false
	}
	q.log("repeated", zap.String("server", t.ID), zap.Int("repeats_left", remaining))
	return true
}

func (q *request) organisation() string {
	if q.org == nil {
		return ""
	}
	return q.org.Name
}

// remaining returns the time until the response is due.
func (q *request) remaining() time.Duration { return time.Until(q.deadline) }

// Result describes how a request ended.
type Result struct {
	Event        string // name of the log event
	Organisation string
	Priority     int
	Took         time.Duration
	First        time.Duration // to the first event of a stream; 0 if none was sent
}

// loggedTarget returns the target of the request, cut to maxLoggedTarget.
func (q *request) loggedTarget() string { return q.target[:min(len(q.target), maxLoggedTarget)] }

// log logs an event of the request.
func (q *request) log(event string, fields ...zap.Field) {
	q.server.Log.Info(event, append([]zap.Field{
		zap.String("request", q.meta.ID), zap.String("target", q.loggedTarget()), zap.String("route", q.route.Name), zap.String("service", q.service),
		zap.Int64("version", q.version), zap.Duration("after", time.Since(q.arrived)), zap.Int("sends", q.sends),
	}, fields...)...)
}

// end records the outcome of the request and logs it. Successful requests may be
// left out of the log under load.
func (q *request) end(event string, good bool, first time.Duration, fields ...zap.Field) {
	q.server.OnEnd(Result{
		Event: event, Organisation: q.organisation(), Priority: relay.Priority(q.route, q.org), Took: time.Since(q.arrived), First: first,
	})
	if !good || q.server.Sample(q.meta.ID) {
		q.log(event, fields...)
	}
}
