// Package caller serves HTTP to callers: pipelines, whole or streamed, and plain
// services.
//
// A pool of workers of fixed size runs the requests. No lock is held during I/O.
package caller

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"bergamotspring/core/claim"
	"bergamotspring/core/fleet"
	"bergamotspring/core/limit"
	"bergamotspring/core/member"
	"bergamotspring/core/record"
	"bergamotspring/core/stage"
	"bergamotspring/io/backend"
)

// Defaults of the limits of a Server.
const (
	DefaultWorkers      = 512
	DefaultQueue        = 1024
	DefaultMaxBody      = 1 << 20
	DefaultMaxHeader    = 32 << 10
	DefaultMaxInflight  = 256 << 20
	DefaultStreamBuffer = 256 << 10
)

// requestID is the response header with the id under which the request is logged
// and explained.
const requestID = "X-Request-Id"

const (
	// bodyTimeout bounds the time in which a caller must have sent its body.
	bodyTimeout = 10 * time.Second
	// grace is the time for the last bytes of an answer after the deadline.
	grace = time.Second
)

// Server serves callers. Fill its fields before the first request; View, Groups,
// Acquire, Release and Backend must be set. Without Begin, operation keys are
// refused as not run; without Suspect, no request is suspected.
type Server struct {
	Node   string // node and incarnation
	Region string
	View   func() *fleet.View                                    // nil while there is no configuration
	Groups func(pool string, left time.Duration) []fleet.GroupID // in routing order
	// Acquire gets a permit; a retry or hedge is paid for.
	Acquire func(ctx context.Context, a limit.Request, retry bool) (limit.Permit, error)
	Release func(limit.Release)
	// Begin claims a call with a key. After an error the call is not run.
	Begin   func(ctx context.Context, organisation, key string, body uint64) (claim.Verdict, error)
	Finish  func(ctx context.Context, organisation string, ticket claim.Ticket, status int, answer []byte, ran bool)
	Suspect func(fingerprint uint64) member.SuspectState
	// Preferred names the server that may have a prompt with this hash of its first bytes
	// in its cache; nil or empty: any.
	Preferred func(g fleet.GroupID, prefix uint64) string
	Backend   *backend.Client
	Clock     backend.Clock
	// Observe receives the story of each request that ended.
	Observe func(*stage.Trace)
	// Gap receives the time between two tokens that went to a caller.
	Gap    func(organisation, class string, d time.Duration)
	Record func(record.Event)
	Log    *zap.Logger

	// Limits; the defaults apply where they are 0.
	Workers      int   // requests that run at once
	Queue        int   // requests that wait for a worker
	MaxBody      int   // bytes of one body
	MaxHeader    int   // bytes of all headers of a request
	MaxInflight  int64 // bytes of all bodies
	StreamBuffer int   // bytes that wait for one slow reader

	once    sync.Once
	mux     *http.ServeMux
	jobs    chan *run
	stop    chan struct{}
	ids     atomic.Uint64
	bytes   atomic.Int64
	times   timesTable
	probes  atomic.Uint64
	pending atomic.Int64 // requests that wait for a worker or run
	workers atomic.Int64 // workers that were started; they stay

	mu       sync.Mutex
	draining bool
	active   int
	done     chan struct{}
}

func or[T int | int64](v, d T) T {
	if v > 0 {
		return v
	}
	return d
}

func (s *Server) init() {
	s.done = make(chan struct{})
	s.stop = make(chan struct{})
	s.jobs = make(chan *run, or(s.Queue, DefaultQueue))
	if s.Log == nil {
		s.Log = zap.NewNop()
	}
	s.mux = http.NewServeMux()
	s.mux.HandleFunc("POST /v1/pipelines/{pipeline}", s.pipeline)
	s.mux.HandleFunc("POST /v1/services/{service}/{operation}", s.service)
}

// submit hands x to the workers. It reports false if too many requests wait. A
// worker is started only when all are busy, since the collector scans the stack of
// each one: 2048 idle workers took a quarter of the CPU of a small node.
func (s *Server) submit(x *run) bool {
	n := s.pending.Add(1)
	select {
	case s.jobs <- x:
	default:
		s.pending.Add(-1)
		return false
	}
	for {
		w := s.workers.Load()
		if w >= n || w >= int64(or(s.Workers, DefaultWorkers)) {
			return true
		}
		if s.workers.CompareAndSwap(w, w+1) {
			go s.work()
			return true
		}
	}
}

// work runs requests until the server is closed.
func (s *Server) work() {
	for {
		select {
		case r := <-s.jobs:
			r.work()
			s.pending.Add(-1)
		case <-s.stop:
			return
		}
	}
}

// HTTP returns an http.Server that serves callers within the limits of s.
func (s *Server) HTTP() *http.Server {
	return &http.Server{
		Handler:           s,
		ReadHeaderTimeout: bodyTimeout,
		IdleTimeout:       2 * time.Minute,
		// Renewed for each request on a connection; runs set their own.
		WriteTimeout: time.Minute,
		// The handler refuses headers over MaxHeader itself, with a typed error.
		MaxHeaderBytes: 2 * or(s.MaxHeader, DefaultMaxHeader),
	}
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.once.Do(s.init)
	if !s.enter() {
		w.Header().Set("Connection", "close")
		_ = writeError(w, errDraining) // a caller that left gets none
		return
	}
	defer s.leave()
	if _, p := s.mux.Handler(r); p == "" {
		s.reject(w, r, unrouted(r))
		return
	}
	s.mux.ServeHTTP(w, r)
}

func unrouted(r *http.Request) *RequestError {
	if r.Method != http.MethodPost {
		return badRequest(http.StatusBadRequest, "method", "the method must be POST")
	}
	return badRequest(http.StatusNotFound, "path", "no such path")
}

func (s *Server) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.active++
	return true
}

// hold keeps the drain waiting for work that goes on after an answer.
func (s *Server) hold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active++
}

func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
	s.finish()
}

// finish closes done and stops the workers when the drain is over. It is called
// with mu held.
func (s *Server) finish() {
	if !s.draining || s.active > 0 {
		return
	}
	select {
	case <-s.done:
	default:
		close(s.done)
		close(s.stop)
	}
}

// Drain makes the server refuse new requests as draining; running ones finish. The
// channel is closed when all have. It may be called more than once.
func (s *Server) Drain() <-chan struct{} {
	s.once.Do(s.init)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	s.finish()
	return s.done
}

// Active returns the number of requests under way.
func (s *Server) Active() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

// nextID returns an id that is unique over all nodes and incarnations.
func (s *Server) nextID() string { return s.Node + "-" + strconv.FormatUint(s.ids.Add(1), 10) }

func (s *Server) now() time.Time {
	if s.Clock.Now != nil {
		return s.Clock.Now()
	}
	return time.Now()
}

func (s *Server) record(e record.Event) {
	if s.Record == nil {
		return
	}
	e.At, e.Actor = s.now(), s.Node
	s.Record(e)
}

// timesTable holds the measured times of each pool.
type timesTable struct {
	mu    sync.Mutex
	pools map[string]*poolTimes
}

// poolTimes are the times of one pool: whole calls, waits for the first token and
// gaps between tokens.
type poolTimes struct {
	whole, first, gap stage.Times
}

// quantiles returns the quantiles of pool p.
func (t *timesTable) quantiles(at time.Time, p *fleet.Pool) (whole, first, gap stage.Quantiles) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.of(p.Name)
	whole = x.whole.Quantiles(at, p.Expect)
	first = x.first.Quantiles(at, p.Expect)
	gap = x.gap.Quantiles(at, 0)
	return whole, first, gap
}

// measured returns the quantiles of whole calls of pool p.
func (t *timesTable) measured(at time.Time, p *fleet.Pool) stage.Quantiles {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.of(p.Name).whole.Quantiles(at, p.Expect)
}

func (t *timesTable) update(pool string, f func(*poolTimes)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(t.of(pool))
}

func (t *timesTable) of(pool string) *poolTimes {
	x := t.pools[pool]
	if x == nil {
		if t.pools == nil {
			t.pools = map[string]*poolTimes{}
		}
		x = &poolTimes{}
		t.pools[pool] = x
	}
	return x
}
