package exchange

// This file defines the pool of idle connections.

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds connecting, which takes a round trip of tens of milliseconds.
	dialTimeout = 400 * time.Millisecond
	// tcpUserTimeout is how long sent bytes may stay unacknowledged before the connection is
	// closed.
	tcpUserTimeout = 2 * time.Second
	// idleTimeout is how long an unused connection is kept. It is shorter than the idle
	// timeouts of servers, so that a request is not sent on a connection that its server
	// is closing.
	idleTimeout = 4 * time.Second
	// maxIdlePerServer bounds the idle connections to one server.
	maxIdlePerServer = 16
	readBuffer       = 4 << 10 // bytes, per connection
)

// FullError reports that the connections to a server are all in use.
type FullError struct {
	Address string
}

func (e *FullError) Error() string {
	return "exchange: all connections to " + e.Address + " are in use"
}

// Pool is a pool of connections to servers. The zero value is ready to use. It is safe for
// concurrent use.
type Pool struct {
	// Dial opens connections; if nil, over TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// MaxConnections returns the limit of connections to an address; nil or 0 means none.
	MaxConnections func(address string) int
	// OnForeign is called for each response that no request waits for; may be nil.
	OnForeign func(ForeignResponse)
	// OnCut is called for each response that was cut off in its body; may be nil.
	OnCut func(CutResponse)

	mu   sync.Mutex
	idle map[string][]*conn
	open map[string]int

	marks recentMarks

	witnesses map[string]*witness // by address
	unnamed   atomic.Int64        // processes that the pool has named
}

// get returns a connection for a request, on which its Echo value was not sent before: a copy of the
// earlier response would have the same value. It prefers the connection that was used last, so that
// surplus ones time out.
func (p *Pool) get(ctx context.Context, r *Request) (*conn, error) {
	for {
		c := p.take(r)
		if c == nil {
			break
		}
		if time.Since(c.idleSince) < idleTimeout && c.usable() {
			return c, nil
		}
		c.close()
	}
	return p.dial(ctx, r.Address)
}

// take removes and returns the idle connection that was used last, of those that a request may use; nil
// if there is none.
func (p *Pool) take(r *Request) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.idle[r.Address]
	for i := len(l) - 1; i >= 0; i-- {
		if c := l[i]; c.mayCarry(r) {
			p.idle[r.Address] = slices.Delete(l, i, i+1)
			return c
		}
	}
	return nil
}

func (p *Pool) put(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	if p.idle == nil {
		p.idle = map[string][]*conn{}
	}
	if len(p.idle[c.address]) < maxIdlePerServer {
		p.idle[c.address] = append(p.idle[c.address], c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	c.close()
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	err := p.reserve(address)
	for err != nil && (p.closeIdle(address) || p.closeWitness(address)) {
		err = p.reserve(address)
	}
	if err != nil {
		return nil, err
	}
	return p.openReserved(ctx, address)
}

// openReserved opens a connection that is reserved.
func (p *Pool) openReserved(ctx context.Context, address string) (*conn, error) {
	n, err := p.connect(ctx, address)
	if err != nil {
		p.release(address)
		return nil, err
	}
	l := &limitedReader{conn: n, remaining: unlimited}
	return &conn{Conn: n, pool: p, address: address, in: bufio.NewReaderSize(l, readBuffer), limit: l}, nil
}

// connect opens a connection that the pool does not count.
func (p *Pool) connect(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if p.Dial != nil {
		return p.Dial(ctx, address)
	}
	return Dial(ctx, "tcp", address)
}

// closeIdle closes the idle connection to an address that was unused longest, and reports whether there
// was one.
func (p *Pool) closeIdle(address string) bool {
	p.mu.Lock()
	l := p.idle[address]
	if len(l) == 0 {
		p.mu.Unlock()
		return false
	}
	c := l[0]
	p.idle[address] = slices.Delete(l, 0, 1)
	p.mu.Unlock()
	c.close()
	return true
}

// Probe opens a connection and closes it, also if MaxConnections are open: those of a server that has
// crashed count until their users notice. The error is an *UnsentError.
func (p *Pool) Probe(ctx context.Context, address string) error {
	c, err := p.connect(ctx, address)
	if err != nil {
		return &UnsentError{Refused: refused(err), Cause: err}
	}
	_ = c.Close() // nothing was sent
	return nil
}

func (p *Pool) reserve(address string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open == nil {
		p.open = map[string]int{}
	}
	if p.MaxConnections != nil {
		if m := p.MaxConnections(address); m > 0 && p.open[address] >= m {
			return &FullError{Address: address}
		}
	}
	p.open[address]++
	return nil
}

// report reports a response that no request waits for.
func (p *Pool) report(f ForeignResponse) {
	if p.OnForeign != nil {
		p.OnForeign(f)
	}
}

// reportCut reports a response that was cut off.
func (p *Pool) reportCut(c CutResponse) {
	if p.OnCut != nil {
		p.OnCut(c)
	}
}

func (p *Pool) release(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[address]--; p.open[address] <= 0 {
		delete(p.open, address)
	}
}

// Sweep closes connections that were idle too long. It must be called periodically.
func (p *Pool) Sweep() {
	var old []*conn
	p.mu.Lock()
	for a, l := range p.idle {
		n := 0
		for n < len(l) && time.Since(l[n].idleSince) >= idleTimeout {
			n++
		}
		old = append(old, l[:n]...)
		if p.idle[a] = append([]*conn(nil), l[n:]...); len(p.idle[a]) == 0 {
			delete(p.idle, a)
		}
	}
	old = append(old, p.sweepWitnesses()...)
	p.mu.Unlock()
	for _, c := range old {
		c.close()
	}
}

// Dial opens a TCP connection that detects an unresponsive peer within seconds.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
		Control: func(_, _ string, c syscall.RawConn) error {
			var err error
			e := c.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
			})
			return errors.Join(e, err)
		},
	}
	return d.DialContext(ctx, network, address)
}

// usable reports whether an idle connection is open and has no unread bytes. A connection
// that is no syscall.Conn counts as usable.
func (c *conn) usable() bool {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if n > 0 {
			c.pool.report(ForeignResponse{Address: c.address})
		}
		empty = errors.Is(e, syscall.EAGAIN)
		return true
	})
	return err == nil && empty
}

func isRefused(err error) bool {
	var s *os.SyscallError
	return errors.As(err, &s) && errors.Is(s.Err, syscall.ECONNREFUSED)
}
