package standin

// This file defines the connections of the in-memory network: two buffered
// directions whose bytes become readable after the network delay.

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

var errReset error = &net.OpError{Op: "read", Net: "memory", Err: syscall.ECONNRESET}

// defaultWindow is the number of buffered bytes per direction from which on writers block.
const defaultWindow = 64 << 10

// cutPollInterval is how often a blocked reader checks whether a cut has healed or a host
// is up again.
const cutPollInterval = 50 * time.Millisecond

type chunk struct {
	at   time.Time
	data []byte
}

// direction carries bytes one way. Invariant: chunks are ordered by arrival time.
type direction struct {
	mu       sync.Mutex
	chunks   []chunk
	err      error     // returned to readers after the chunks; io.EOF after a clean close
	reset    bool      // err discards the remaining chunks
	failAt   time.Time // when readers see the reset
	silent   bool
	size     int // bytes in chunks
	window   int // size from which on writers block
	readable chan struct{}
	writable chan struct{} // signals a waiting writer
}

func newDirection(window int) *direction {
	if window <= 0 {
		window = defaultWindow
	}
	return &direction{window: window, readable: make(chan struct{}, 1), writable: make(chan struct{}, 1)}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (d *direction) wakeAll() {
	signal(d.readable)
	signal(d.writable)
}

func (d *direction) fail(err error, at time.Time) {
	d.mu.Lock()
	d.err, d.reset, d.failAt = err, true, at
	d.mu.Unlock()
	d.wakeAll()
}

func (d *direction) silence() {
	d.mu.Lock()
	d.silent = true
	d.mu.Unlock()
}

// full reports whether a writer has to block.
func (d *direction) full() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.size >= d.window && d.err == nil && !d.silent
}

func (d *direction) push(b []byte, at time.Time) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.err != nil {
		return errReset
	}
	if d.silent {
		return nil
	}
	if k := len(d.chunks); k > 0 && at.Before(d.chunks[k-1].at) {
		at = d.chunks[k-1].at
	}
	d.chunks = append(d.chunks, chunk{at: at, data: append([]byte(nil), b...)})
	d.size += len(b)
	d.wakeAll()
	return nil
}

// closeWithError makes readers get err after the bytes in transit.
func (d *direction) closeWithError(err error) {
	d.mu.Lock()
	if d.err == nil && !d.silent {
		d.err = err
	}
	d.mu.Unlock()
	d.wakeAll()
}

// pop copies arrived bytes to b. If there are none, it returns the time until the next
// arrival, or an hour if no bytes are in transit; push wakes the reader.
func (d *direction) pop(b []byte, now time.Time) (int, time.Duration, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.reset {
		if w := d.failAt.Sub(now); w > 0 {
			return 0, w, nil
		}
		return 0, 0, d.err
	}
	if len(d.chunks) == 0 {
		return 0, time.Hour, d.err
	}
	c := &d.chunks[0]
	if w := c.at.Sub(now); w > 0 {
		return 0, w, nil
	}
	k := copy(b, c.data)
	c.data = c.data[k:]
	d.size -= k
	signal(d.writable)
	if len(c.data) == 0 {
		d.chunks = d.chunks[1:]
	}
	return k, 0, nil
}

// Conn is one end of a connection of the in-memory network.
type Conn struct {
	network       *Network
	from, to      string
	in, out       *direction
	local, remote net.Addr
	dialled       bool // whether this end dialled
	id            int  // of the connection, in dial order

	mu            sync.Mutex
	closed        bool
	resetsAtClose bool
	readDeadline  time.Time
	writeDeadline time.Time
}

// Read returns bytes that have arrived, and blocks until there are any.
func (c *Conn) Read(b []byte) (int, error) {
	for {
		deadline, closed := c.readState()
		if closed {
			return 0, net.ErrClosed
		}
		now := time.Now()
		if !deadline.IsZero() && !now.Before(deadline) {
			return 0, os.ErrDeadlineExceeded
		}
		wait := cutPollInterval
		if !c.network.blocked(c.to, c.from) {
			n, w, err := c.in.pop(b, now)
			if n > 0 || err != nil {
				return n, err
			}
			wait = w
		}
		c.wait(c.in.readable, wait, deadline, now)
	}
}

func (c *Conn) readState() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readDeadline, c.closed
}

// Write queues bytes; it blocks while the window of the connection is full.
func (c *Conn) Write(b []byte) (int, error) {
	for {
		deadline, closed := c.writeState()
		if closed {
			return 0, net.ErrClosed
		}
		now := time.Now()
		if !deadline.IsZero() && !now.Before(deadline) {
			return 0, os.ErrDeadlineExceeded
		}
		if !c.out.full() {
			break
		}
		c.wait(c.out.writable, time.Hour, deadline, now)
	}
	if err := c.out.push(b, c.network.arrival(c.from, c.to, len(b))); err != nil {
		return 0, err
	}
	return len(b), nil
}

func (c *Conn) wait(wake chan struct{}, d time.Duration, deadline, now time.Time) {
	if !deadline.IsZero() {
		d = min(d, deadline.Sub(now))
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-wake:
	case <-t.C:
	}
}

func (c *Conn) writeState() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeDeadline, c.closed
}

// SetLinger is that of net.TCPConn: with 0 seconds, Close resets the connection.
func (c *Conn) SetLinger(seconds int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resetsAtClose = seconds == 0
	return nil
}

// Close closes both directions; the peer can still read what was written before, unless it gets a reset.
func (c *Conn) Close() error {
	c.mu.Lock()
	wasClosed, reset := c.closed, c.resetsAtClose
	c.closed = true
	c.mu.Unlock()
	if wasClosed {
		return nil
	}
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	if reset {
		c.out.fail(errReset, time.Time{})
	}
	c.out.closeWithError(io.EOF)
	c.in.closeWithError(io.EOF)
	return nil
}

// LocalAddr is part of net.Conn.
func (c *Conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr is part of net.Conn.
func (c *Conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline is part of net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

// SetReadDeadline is part of net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.readDeadline = t
	c.mu.Unlock()
	c.in.wakeAll()
	return nil
}

// SetWriteDeadline is part of net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	c.writeDeadline = t
	c.mu.Unlock()
	c.out.wakeAll()
	return nil
}
