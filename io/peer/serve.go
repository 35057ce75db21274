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
	defaultWorkers    = 16
	controlWorkers    = 2 // only for control messages, so that others cannot block them
	maxQueuedRequests = 2048
	maxAcceptedConns  = 4096
	// acceptedIdleTimeout is the silence after which the acceptor closes a connection. It is
	// longer than idleTimeout, after which the dialler should have closed it.
	acceptedIdleTimeout = idleTimeout + 15*time.Second
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
func (r *Request) Decode(v any) error {
	if a, ok := v.(*wire.Ask); ok && r.conn.previous {
		return decodePreviousAsk(r.body, a)
	}
	return decode(r.body, v)
}

// ExpectsReply reports whether the sender waits for a response.
func (r *Request) ExpectsReply() bool { return r.seq != 0 }

// Reply responds to the request. It may be called after the handler returned, once, from
// any goroutine. An error means that the response was not queued; one that is too large is replaced
// by a fault.
func (r *Request) Reply(t Type, body any) error {
	if r.seq == 0 {
		return nil
	}
	err := r.conn.send(t, r.seq, body)
	if _, ok := errors.AsType[*OversizedError](err); ok {
		r.Fail(CodeRefused, err.Error())
	}
	return err
}

// SendProgress sends a message about the request before its response; it may be lost without an error.
func (r *Request) SendProgress(t Type, body any) { _ = r.conn.send(t, r.seq, body) }

// Fail responds that the request was not handled.
func (r *Request) Fail(c ErrorCode, text string) {
	_ = r.Reply(TypeFault, &wire.Fault{Code: int(c), Text: text}) // the link broke; the requester sees it
}

// Handler handles a message. It runs on one of the fixed workers.
type Handler func(*Request)

// server is the accepting side of a mesh.
type server struct {
	mu              sync.Mutex
	handlers        map[Type]Handler
	listener        net.Listener
	conns           map[*conn]bool
	handshaking     map[net.Conn]bool
	requests        chan *Request
	controlRequests chan *Request
	started         bool
}

// Handle sets the handler of a type of message. It must be called before Serve.
func (m *Mesh) Handle(t Type, h Handler) {
	s := &m.server
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
	m.goroutines.Go(func() {
		defer close(d)
		m.accept(l)
	})
	return l.Addr(), d, nil
}

func (m *Mesh) startWorkers(l net.Listener) {
	s := &m.server
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = l
	if s.started {
		return
	}
	s.started = true
	s.conns = map[*conn]bool{}
	s.handshaking = map[net.Conn]bool{}
	s.requests = make(chan *Request, maxQueuedRequests)
	s.controlRequests = make(chan *Request, maxQueuedRequests)
	n := m.Workers
	if n <= 0 {
		n = defaultWorkers
	}
	for range n {
		m.goroutines.Go(func() { m.handleAll(s.requests) })
	}
	for range controlWorkers {
		m.goroutines.Go(func() { m.handleAll(s.controlRequests) })
	}
}

func (m *Mesh) handleAll(jobs <-chan *Request) {
	for {
		select {
		case <-m.ctx.Done():
			return
		case r := <-jobs:
			m.server.handlers[r.Kind](r)
			m.held(-len(r.body))
		}
	}
}

// accept accepts connections until the listener closes. After a transient error, such as
// too many open files, it waits minBackoff and retries.
func (m *Mesh) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) || m.ctx.Err() != nil {
				return
			}
			time.Sleep(minBackoff)
			continue
		}
		if !m.server.admit(c) {
			m.stats.dropped.Add(1)
			_ = c.Close() // refused
			continue
		}
		m.goroutines.Go(func() { m.serveConn(c) })
	}
}

func (m *Mesh) serveConn(n net.Conn) {
	raw := n
	if m.AcceptTLS != nil {
		n = tls.Server(n, m.AcceptTLS)
	}
	c := newConn(n, newReader(n), &m.stats)
	c.held = m.held
	c.maxFrame = m.maxFrame()
	h, v, err := m.acceptHello(n, c.in)
	c.previous = v == previousProtocol
	if err != nil || !m.server.register(raw, c) {
		m.stats.bad(err)
		_ = n.Close() // refused
		m.server.remove(raw, c)
		return
	}
	m.goroutines.Go(c.write)
	_ = c.read(m.maxFrame(), func(f message) error { return m.dispatch(c, h, f) }) // read has counted the error
	m.server.remove(raw, c)
}

// dispatch queues a message for the workers; the response to a ping is sent at once.
func (m *Mesh) dispatch(c *conn, h lease.Instance, f message) error {
	if f.kind == TypeNames {
		return c.peerNames.add(f.body)
	}
	r := &Request{From: h, Kind: f.kind, seq: f.seq, conn: c, names: c.peerNames}
	if f.kind == TypePing {
		return r.Reply(TypeDone, &wire.Done{Ok: true})
	}
	s := &m.server
	if s.handlers[f.kind] == nil {
		r.Fail(CodeUnknown, "no handler for the type")
		return nil
	}
	r.body = append([]byte(nil), f.body...)
	q := s.requests
	if f.kind.control() {
		q = s.controlRequests
	}
	m.held(len(r.body)) // before a worker may have handled it
	select {
	case q <- r:
	default:
		m.held(-len(r.body))
		m.stats.dropped.Add(1)
		r.Fail(CodeBusy, "too many messages queued")
	}
	return nil
}

func (s *server) admit(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil || len(s.conns)+len(s.handshaking) >= maxAcceptedConns {
		return false
	}
	s.handshaking[c] = true
	return true
}

func (s *server) register(raw net.Conn, c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.handshaking, raw)
	if s.listener == nil {
		return false
	}
	s.conns[c] = true
	return true
}

func (s *server) remove(raw net.Conn, c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.handshaking, raw)
	delete(s.conns, c)
}

// closeIdle closes connections whose dialler disappeared without closing them.
func (s *server) closeIdle(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.silentFor(now) >= acceptedIdleTimeout {
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
	_ = s.listener.Close() // an error would change nothing
	s.listener = nil
	for c := range s.conns {
		c.close(ErrClosed)
	}
	for c := range s.handshaking {
		_ = c.Close() // as above
	}
}
