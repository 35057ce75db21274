// Package proxy serves callers whose requests are passed on to backend servers as they
// are: it reads a request, finds its route, sends it to a server, and ends it in one
// outcome that is true.
//
// A request that must not run twice is sent again only after a server stated that it
// did not run it, or when no byte of it was written. This file defines the server
// and what it needs from outside.
package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"bergamotspring/core/placement"
	"bergamotspring/core/relay"
	"bergamotspring/io/exchange"
)

// Meta is what a caller says about its request in headers.
type Meta struct {
	ID        string
	Key       string        // proves the organisation
	Remaining time.Duration // how long the caller will wait, if Bounded
	Bounded   bool
	Tokens    int                       // of the prompt and, at most, of the answer
	Segments  []placement.PromptSegment // of the prompt that other requests share
	Tasks     []int                     // of each stage
	InputKey  string
	LastEvent string // id of the last event that the caller has
}

// Upstream is what a server is told beside the caller's own headers.
type Upstream struct {
	Server       string // id of the only server that may run it
	Organisation string
	Remaining    time.Duration
	Model        bool // it goes to a model server, and Priority and Inputs hold
	Priority     int
	Inputs       []string
	KVSource     string // address of a server that has more of the prompt, or empty
	LastEvent    string
}

// Protocol translates headers. All fields must be set.
type Protocol struct {
	Echo   string // header with the request id, which servers repeat
	Read   func(http.Header) Meta
	Write  func(from http.Header, s Upstream) http.Header
	NotRun func(status int, h http.Header) bool
	Answer func(from http.Header) http.Header
}

// Server answers callers. All fields but Balancer must be set.
type Server struct {
	Protocol *Protocol
	View     func() *relay.View
	Region   string
	Domain   string
	Pool     *exchange.Pool
	// Schedule asks the home for a place.
	Schedule func(ctx context.Context, a placement.Request) (placement.Decision, error)
	// Report reports to the home how a granted request goes on, or, without a server, that
	// it needs no place any more.
	Report func(placement.Report)
	// CountFirst counts a request for a service, TakeRetry takes the right to send one to
	// a second server and tells how many more may be.
	CountFirst func(service string)
	TakeRetry  func(service string) (left int, ok bool)
	// IsPoison reports whether a request must not run, since it crashes servers; OnBroken
	// is told that a server broke it off, and OnSuccess that it ended well.
	IsPoison  func(fingerprint uint64) bool
	OnBroken  func(fingerprint uint64, t *relay.Server)
	OnSuccess func(fingerprint uint64)
	// OnEnd is told how each request ended that a route was found for.
	OnEnd func(Result)
	// Sample reports whether the ordinary lines of a request are logged.
	Sample func(id string) bool
	// Stopping reports whether connections should not be kept.
	Stopping func() bool
	Log      *zap.Logger
	Balancer relay.Balancer
}

// request is a caller's request on its way to one outcome.
type request struct {
	server  *Server
	meta    Meta
	route   *relay.Route
	org     *relay.Organisation
	service string
	version int64 // of the configuration that the request was matched by
	method  string
	target  string
	host    string
	header  http.Header
	body    []byte
	arrived time.Time
	limit   time.Time // final answer due
	out     http.ResponseWriter

	asked   int    // asks for a place before the present one
	sends   int    // that a server can have read
	sentTo  string // server of the last of these
	events  int    // that the caller got
	mayRun  bool   // a server may have run it
	started bool   // the head of the answer was written
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := &request{server: s, arrived: time.Now(), out: w, method: r.Method, target: r.RequestURI, host: r.Host, header: r.Header}
	if s.Stopping() {
		w.Header().Set("Connection", "close")
	}
	if !q.read(r) {
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.limit)
	defer cancel()
	if s.IsPoison(q.fingerprint()) {
		q.fail("crashes servers", retryCondemned)
		return
	}
	s.CountFirst(q.service)
	if v := s.View(); v.Config.Services[q.service] != nil && v.Config.Services[q.service].Model {
		q.generate(ctx)
		return
	}
	q.call(ctx)
}

// retry takes the right to send the request to another server than t.
func (q *request) retry(t *relay.Server) bool {
	left, ok := q.server.TakeRetry(q.service)
	if !ok {
		q.log("repeat_denied", zap.String("server", t.ID))
		return false
	}
	q.log("repeated", zap.String("server", t.ID), zap.Int("repeats_left", left))
	return true
}

func (q *request) organisation() string {
	if q.org == nil {
		return ""
	}
	return q.org.Name
}

// fingerprint is the same for a request that is sent again.
func (q *request) fingerprint() uint64 {
	h := xxhash.New()
	for _, s := range []string{q.organisation(), q.method, q.host, q.target} {
		_, _ = h.WriteString(s + "\x00") // never fails
	}
	_, _ = h.Write(q.body)
	return h.Sum64()
}

// left returns the time until the answer is due.
func (q *request) left() time.Duration { return time.Until(q.limit) }

// Result is how a request ended.
type Result struct {
	Event        string // as in the log
	Organisation string
	Priority     int
	Took         time.Duration
	First        time.Duration // to the first event of a stream, 0: none
}

// log writes a line about the request.
func (q *request) log(event string, fields ...zap.Field) {
	q.server.Log.Info(event, append([]zap.Field{
		zap.String("request", q.meta.ID), zap.String("route", q.route.Name), zap.String("service", q.service),
		zap.Int64("version", q.version), zap.Duration("after", time.Since(q.arrived)), zap.Int("sends", q.sends),
	}, fields...)...)
}

// end writes the line about the end of the request and counts it. Good ends may be left
// out of the log under load.
func (q *request) end(event string, good bool, first time.Duration, fields ...zap.Field) {
	q.server.OnEnd(Result{
		Event: event, Organisation: q.organisation(), Priority: relay.Priority(q.route, q.org), Took: time.Since(q.arrived), First: first,
	})
	if !good || q.server.Sample(q.meta.ID) {
		q.log(event, fields...)
	}
}
