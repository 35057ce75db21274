package peer

// This file defines the accepting side: connections of other nodes, and the fixed
// pool of workers that handles their messages.

import (
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"

	"bergamotspring/core/lease"
	"bergamotspring/schema/wire"
)

const (
	defaultWorkers = 16
	controlWorkers = 2 // only for control messages, so that others cannot hold them up
	jobsQueued     = 2048
	acceptedConns  = 4096
	// acceptedIdle closes connections that the dialler should have closed as idle.
	acceptedIdle = idleAfter + 15*time.Second
)

// Request is a message of another node.
type Request struct {
	From lease.Instance // authenticated by the hello
	Kind Type

	seq   uint64
	body  []byte
	conn  *conn
	names names
}

// Decode reads the body into a pointer to a type of schema/wire.
func (r *Request) Decode(v any) error { return decode(r.body, v) }

// Answered reports whether the sender waits for an answer.
func (r *Request) Answered() bool { return r.seq != 0 }

// Reply answers the request. It may be called after the handler returned, once, from
// any goroutine. The error tells that the answer was not queued.
func (r *Request) Reply(t Type, body any) error {
	if r.seq == 0 {
		return nil
	}
	return r.conn.send(t, r.seq, body)
}

// Fail answers that the request was not handled.
func (r *Request) Fail(c ErrorCode, text string) {
	_ = r.Reply(TypeFault, &wire.Fault{Code: int(c), Text: text}) // the link broke; the asker sees it
}

// Handler handles a message. It runs on one of the fixed workers.
type Handler func(*Request)

// server is the accepting side of a mesh.
type server struct {
	mu       sync.Mutex
	handlers map[Type]Handler
	listener net.Listener
	conns    map[*conn]bool
	opening  map[net.Conn]bool
	jobs     chan *Request
	urgent   chan *Request
	started  bool
}

// Handle sets the handler of a type of message. It must be called before Serve.
func (m *Mesh) Handle(t Type, h Handler) {
	s := &m.serve
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.handlers == nil {
		s.handlers = map[Type]Handler{}
	}
	s.handlers[t] = h
}

// Serve listens at an address and returns the address it got. Messages are handled
// until Close. Done is closed when the listener has failed or was closed.
func (m *Mesh) Serve(address string) (at net.Addr, done <-chan struct{}, err error) {
	m.start()
	if len(m.Key) == 0 {
		return nil, nil, ErrNoKey
	}
	listen := m.Listen
	if listen == nil {
		listen = net.Listen
	}
	l, err := listen("tcp", address)
	if err != nil {
		return nil, nil, err
	}
	m.startWorkers(l)
	d := make(chan struct{})
	m.work.Go(func() {
		defer close(d)
		m.accept(l)
	})
	return l.Addr(), d, nil
}

func (m *Mesh) startWorkers(l net.Listener) {
	s := &m.serve
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = l
	if s.started {
		return
	}
	s.started = true
	s.conns = map[*conn]bool{}
	s.opening = map[net.Conn]bool{}
	s.jobs = make(chan *Request, jobsQueued)
	s.urgent = make(chan *Request, jobsQueued)
	n := m.Workers
	if n <= 0 {
		n = defaultWorkers
	}
	for range n {
		m.work.Go(func() { m.handleAll(s.jobs) })
	}
	for range controlWorkers {
		m.work.Go(func() { m.handleAll(s.urgent) })
	}
}

func (m *Mesh) handleAll(jobs <-chan *Request) {
	for {
		select {
		case <-m.ctx.Done():
			return
		case r := <-jobs:
			m.serve.handlers[r.Kind](r)
		}
	}
}

// accept takes connections until the listener closes. A passing error, such as too
// many open files, is waited out.
func (m *Mesh) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) || m.ctx.Err() != nil {
				return
			}
			time.Sleep(backoffMin)
			continue
		}
		if !m.serve.admit(c) {
			m.stats.dropped.Add(1)
			_ = c.Close() // refused
			continue
		}
		m.work.Go(func() { m.welcomeAndRead(c) })
	}
}

func (m *Mesh) welcomeAndRead(n net.Conn) {
	raw := n
	if m.Accepted != nil {
		n = tls.Server(n, m.Accepted)
	}
	c := newConn(n, newReader(n), &m.stats)
	h, err := m.welcome(n, c.in)
	if err != nil || !m.serve.opened(raw, c) {
		m.stats.bad(err)
		_ = n.Close() // refused
		m.serve.drop(raw, c)
		return
	}
	m.work.Go(c.write)
	_ = c.read(m.maxFrame(), func(f message) error { return m.take(c, h, f) }) // counted where it arose
	m.serve.drop(raw, c)
}

// take queues a message for the workers; a ping is answered at once.
func (m *Mesh) take(c *conn, h lease.Instance, f message) error {
	if f.kind == TypeNames {
		return c.theirs.learn(f.body)
	}
	r := &Request{From: h, Kind: f.kind, seq: f.seq, conn: c, names: c.theirs}
	if f.kind == TypePing {
		return r.Reply(TypeDone, &wire.Done{Ok: true})
	}
	s := &m.serve
	if s.handlers[f.kind] == nil {
		r.Fail(CodeUnknown, "no handler for the type")
		return nil
	}
	r.body = append([]byte(nil), f.body...)
	q := s.jobs
	if f.kind.control() {
		q = s.urgent
	}
	select {
	case q <- r:
	default:
		m.stats.dropped.Add(1)
		r.Fail(CodeBusy, "too many messages queued")
	}
	return nil
}

func (s *server) admit(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil || len(s.conns)+len(s.opening) >= acceptedConns {
		return false
	}
	s.opening[c] = true
	return true
}

func (s *server) opened(raw net.Conn, c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.opening, raw)
	if s.listener == nil {
		return false
	}
	s.conns[c] = true
	return true
}

func (s *server) drop(raw net.Conn, c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.opening, raw)
	delete(s.conns, c)
}

// check closes connections whose dialler is gone without a sign.
func (s *server) check(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.quiet(now) >= acceptedIdle {
			c.close(errIdle)
		}
	}
}

func (s *server) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return
	}
	_ = s.listener.Close() // nothing more is expected of it
	s.listener = nil
	for c := range s.conns {
		c.close(ErrClosed)
	}
	for c := range s.opening {
		_ = c.Close() // as above
	}
}
