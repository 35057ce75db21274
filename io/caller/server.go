// Package caller serves HTTP to callers: pipelines, with whole or streamed responses, and
// plain services.
//
// A pool of workers of bounded size runs the requests. No lock is held during I/O.
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

// Default limits of a Server.
const (
	DefaultWorkers      = 512
	DefaultQueue        = 1024
	DefaultMaxBody      = 1 << 20
	DefaultMaxHeader    = 32 << 10
	DefaultMaxInflight  = 256 << 20
	DefaultStreamBuffer = 256 << 10
)

// requestID is the response header with the ID under which the request is logged and its
// trace can be looked up.
const requestID = "X-Request-Id"

const (
	// bodyTimeout bounds reading the headers and the body of a request, and writing a
	// response that is not streamed.
	bodyTimeout = 10 * time.Second
	// grace is the time after the deadline for the last bytes of a stream.
	grace = time.Second
)

// Server serves callers. Set its fields before the first request; View, Groups,
// Acquire, Release and Backend are required. Without BeginClaim, non-idempotent requests
// with an operation key are refused as not run. Without SuspectState, the Server itself
// refuses no request as poison, and only a request that crashed a backend server in an
// earlier attempt is a suspect.
type Server struct {
	Node   string // ID of the node's instance: node name and incarnation
	Region string
	View   func() *fleet.View                                         // returns nil while there is no configuration
	Groups func(pool string, remaining time.Duration) []fleet.GroupID // in routing order
	// Acquire acquires a permit. Retries and hedges are charged to the retry budget.
	Acquire func(ctx context.Context, a limit.Request, retry bool) (limit.Permit, error)
	Release func(limit.Release)
	// BeginClaim claims the operation key of a call. After an error the call is not run.
	BeginClaim   func(ctx context.Context, organisation, key string, body uint64) (claim.Verdict, error)
	FinishClaim  func(ctx context.Context, organisation string, ticket claim.Ticket, status int, response []byte, ran bool)
	SuspectState func(fingerprint uint64) member.SuspectState
	// Preferred returns the server that may have a prompt with this prefix hash in its
	// cache. A nil function or empty result means any server.
	Preferred func(g fleet.GroupID, prefix uint64) string
	Backend   *backend.Client
	Clock     backend.Clock
	// Observe receives the trace of each request that ended, whatever its outcome, except
	// those refused while draining.
	Observe func(*stage.Trace)
	// ObserveTokenGap receives the time between two tokens sent to a caller.
	ObserveTokenGap func(organisation, class string, d time.Duration)
	Record          func(record.Event)
	Log             *zap.Logger

	// Limits; 0 selects the default.
	Workers      int   // requests that run concurrently
	Queue        int   // requests that wait for a worker
	MaxBody      int   // bytes of one body
	MaxHeader    int   // bytes of all headers of a request
	MaxInflight  int64 // bytes of all bodies
	StreamBuffer int   // bytes buffered for one stream

	once    sync.Once
	mux     *http.ServeMux
	jobs    chan *run
	stop    chan struct{}
	ids     atomic.Uint64
	bytes   atomic.Int64
	times   timesByPool
	probes  atomic.Uint64
	pending atomic.Int64 // requests that are queued or running
	workers atomic.Int64 // workers started; they run until the drain is over

	mu       sync.Mutex
	draining bool
	active   int
	done     chan struct{}
}

func orDefault[T int | int64](v, d T) T {
	if v > 0 {
		return v
	}
	return d
}

func (s *Server) init() {
	s.done = make(chan struct{})
	s.stop = make(chan struct{})
	s.jobs = make(chan *run, orDefault(s.Queue, DefaultQueue))
	if s.Log == nil {
		s.Log = zap.NewNop()
	}
	s.mux = http.NewServeMux()
	s.mux.HandleFunc("POST /v1/pipelines/{pipeline}", s.pipeline)
	s.mux.HandleFunc("POST /v1/services/{service}/{operation}", s.service)
}

// submit queues x for the workers. It reports false if the queue is full. A worker is
// started only if all others are busy, since the garbage collector scans the stack of
// each one: 2048 idle workers took a quarter of the CPU time of a small node.
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
		if w >= n || w >= int64(orDefault(s.Workers, DefaultWorkers)) {
			return true
		}
		if s.workers.CompareAndSwap(w, w+1) {
			go s.work()
			return true
		}
	}
}

// work runs queued requests until the drain is over.
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
		// net/http renews it for each request on a connection; runs set their own.
		WriteTimeout: time.Minute,
		// The handler itself refuses headers over MaxHeader, with a RequestError.
		MaxHeaderBytes: 2 * orDefault(s.MaxHeader, DefaultMaxHeader),
	}
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.once.Do(s.init)
	if !s.enter() {
		w.Header().Set("Connection", "close")
		_ = writeError(w, errDraining) // fails if the caller has disconnected
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

// addActive makes a drain wait for work that continues after the response was sent.
func (s *Server) addActive() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active++
}

func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
	s.finishDrain()
}

// finishDrain closes done and stops the workers once a drain is complete. It is called
// with mu held.
func (s *Server) finishDrain() {
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

// Drain makes the server refuse new requests with outcome draining. The returned channel
// is closed when all requests in progress have finished. Drain may be called repeatedly.
func (s *Server) Drain() <-chan struct{} {
	s.once.Do(s.init)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	s.finishDrain()
	return s.done
}

// Active returns the number of requests in progress.
func (s *Server) Active() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

// nextID returns an ID that is unique over all instances of all nodes.
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

// timesByPool holds the measured times of each pool.
type timesByPool struct {
	mu    sync.Mutex
	pools map[string]*poolTimes
}

// poolTimes holds the measured times of one pool: whole calls, time to the first token
// and gaps between tokens.
type poolTimes struct {
	whole, first, gap stage.Times
}

// quantiles returns the quantiles of pool p.
func (t *timesByPool) quantiles(at time.Time, p *fleet.Pool) (whole, first, gap stage.Quantiles) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.get(p.Name)
	whole = x.whole.Quantiles(at, p.Expect)
	first = x.first.Quantiles(at, p.Expect)
	gap = x.gap.Quantiles(at, 0)
	return whole, first, gap
}

// measured returns the quantiles of whole calls of pool p.
func (t *timesByPool) measured(at time.Time, p *fleet.Pool) stage.Quantiles {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.get(p.Name).whole.Quantiles(at, p.Expect)
}

func (t *timesByPool) update(pool string, f func(*poolTimes)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(t.get(pool))
}

func (t *timesByPool) get(pool string) *poolTimes {
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
