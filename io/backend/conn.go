package backend

import (
	"bytes"
	"io"
	"net"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// States of a sendGate. The gate leaves stateUnsent at most once, so a call reported as
// unsent has certainly not been sent.
const (
	stateUnsent int32 = iota
	stateSent
	stateTooLate
	stateGivenUp
)

// sendGate decides, immediately before the first byte of a call is written, whether the
// call may still be sent. It also prevents net/http from sending a call a second time.
type sendGate struct {
	clock       Clock
	requestedAt Mark
	sendBy      time.Duration
	state       atomic.Int32
	got         atomic.Pointer[conn] // that net/http obtained last
	conn        atomic.Pointer[conn] // that the call was written on
	connected   atomic.Bool          // net/http obtained a connection
	reused      atomic.Bool          // the connection was used by an earlier call
	body        bool                 // the request has a body
	start       time.Time
	trace       httptrace.ClientTrace
}

func newSendGate(c Clock, k *Call) *sendGate {
	s := &sendGate{clock: c, requestedAt: k.RequestedAt, sendBy: k.SendBy}
	s.trace.GotConn = s.gotConn
	return s
}

func (s *sendGate) gotConn(i httptrace.GotConnInfo) {
	s.connected.Store(true)
	s.reused.Store(i.Reused)
	if c, ok := i.Conn.(*conn); ok {
		s.got.Store(c)
		c.gate.Store(s)
	}
}

// allow is called before each write on c. It returns nil if the write may proceed.
func (s *sendGate) allow(c *conn) error {
	if s.state.Load() == stateSent {
		if s.conn.Load() != c {
			return errResend
		}
		return nil
	}
	if c.discarded.Load() {
		return errDiscarded
	}
	if s.sendBy > 0 && s.clock.Elapsed(s.requestedAt) > s.sendBy {
		s.state.CompareAndSwap(stateUnsent, stateTooLate)
		return errTooLate
	}
	s.conn.Store(c)
	s.start = s.clock.now()
	if !s.state.CompareAndSwap(stateUnsent, stateSent) {
		return errGivenUp
	}
	return nil
}

// gotDiscarded reports whether the call is unsent since its connection was discarded.
func (s *sendGate) gotDiscarded() bool {
	c := s.got.Load()
	return c != nil && c.discarded.Load() && s.state.Load() == stateUnsent
}

// giveUp prevents the call from being sent from now on and reports whether a byte may
// already have been written.
func (s *sendGate) giveUp() (sent bool) {
	s.state.CompareAndSwap(stateUnsent, stateGivenUp)
	return s.state.Load() == stateSent
}

// service returns the time since the first byte was written, 0 if none was.
func (s *sendGate) service() time.Duration {
	if s.state.Load() != stateSent {
		return 0
	}
	return s.clock.now().Sub(s.start)
}

// conn checks the gate of the call that uses it before each write. It writes headers and
// body in one system call: net/http flushes the headers before any body that is not one
// of its own reader types, which doubles the writes here and the reads at the server.
type conn struct {
	net.Conn
	gate      atomic.Pointer[sendGate]
	head      []byte // buffered headers, to be written with the body
	headGate  *sendGate
	discarded atomic.Bool // no further call may be written
}

// discard closes the connection of a call, also if net/http keeps it for another one. It is for responses
// without the ID of the call: they may be copies of earlier ones, with the call's own still to come.
func (s *sendGate) discard() {
	if c := s.conn.Load(); c != nil {
		c.discarded.Store(true)
		_ = c.Close() // not used again
	}
}

// Write writes p if the current call may be sent.
func (c *conn) Write(p []byte) (int, error) {
	s := c.gate.Load()
	if s == nil {
		return 0, errGivenUp
	}
	// A body ends with a brace, so this matches only headers.
	if s.body && c.headGate != s && bytes.HasSuffix(p, headEnd) {
		c.headGate = s
		c.head = append(c.head[:0], p...)
		return len(p), nil
	}
	if err := s.allow(c); err != nil {
		return 0, err
	}
	if len(c.head) == 0 {
		return c.Conn.Write(p)
	}
	h := len(c.head)
	n, err := c.writeAll(net.Buffers{c.head, p})
	return max(0, int(n)-h), err
}

var headEnd = []byte("\r\n\r\n")

// ReadFrom writes a body. The parts of a request body are written together with the
// headers, without copying.
func (c *conn) ReadFrom(r io.Reader) (int64, error) {
	l, ok := r.(*io.LimitedReader)
	if !ok {
		return io.Copy(writeOnly{c}, r)
	}
	p, ok := l.R.(*parts)
	s := c.gate.Load()
	if !ok || s == nil || c.headGate != s || p.size() != l.N {
		return io.Copy(writeOnly{c}, r)
	}
	if err := s.allow(c); err != nil {
		return 0, err
	}
	h, n := int64(len(c.head)), l.N
	w, err := c.writeAll(net.Buffers{c.head, p[0], p[1], p[2]})
	*p = parts{}
	l.N = 0
	if err != nil {
		return max(0, w-h), err
	}
	return n, nil
}

func (c *conn) writeAll(b net.Buffers) (int64, error) {
	n, err := b.WriteTo(c.Conn)
	c.head = c.head[:0]
	return n, err
}

// writeOnly hides ReadFrom from io.Copy.
type writeOnly struct{ io.Writer }
