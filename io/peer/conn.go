package peer

// This file defines one open connection: a bounded queue in which control messages
// come first, and a writer that flushes once for the messages queued together.

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxQueueBytes  = 8 << 20 // twice DefaultMaxFrame, so that one largest frame leaves space for others
	maxQueueFrames = 8192
	writeTimeout   = 1500 * time.Millisecond // for chunkBytes, or all control messages that are queued
	chunkBytes     = 64 << 10                // bytes of other messages after which control messages are looked for again
	bufferBytes    = 16 << 10                // each of the reader and the writer of a connection
)

// conn is one open connection of either side.
type conn struct {
	net      net.Conn
	in       *bufio.Reader
	maxFrame int  // limit of the bytes of a message to be sent; 0: the sender checks
	previous bool // both ends use previousProtocol
	stats    *counters
	held     func(n int) // see Mesh.OnHeld; nil: not counted

	lastReceived atomic.Int64 // Unix nanoseconds of the last frame received
	peerNames    names        // in the peer's messages; only the reader changes it

	sendMu   sync.Mutex // held from numbering names to queueing; taken before mu
	ownNames numbering

	mu      sync.Mutex
	control []*buffer
	other   []*buffer
	bytes   int // in both queues
	cause   error
	done    chan struct{} // closed with the connection
	wake    chan struct{}
}

func newConn(c net.Conn, r *bufio.Reader, s *counters) *conn {
	k := &conn{net: c, in: r, stats: s, done: make(chan struct{}), wake: make(chan struct{}, 1)}
	k.lastReceived.Store(time.Now().UnixNano())
	return k
}

// send encodes and queues a message, after the names that it is the first to use.
func (c *conn) send(t Type, seq uint64, body any) error {
	c.sendMu.Lock()
	defer c.sendMu.Unlock()
	return sendNamed(&c.ownNames, t, seq, body, c.enqueue)
}

// enqueue queues a frame. The frame is not sent if it returns an error.
func (c *conn) enqueue(t Type, b *buffer) error {
	if c.previous {
		var err error
		if b, err = toPrevious(t, b); err != nil {
			return err
		}
	}
	if n := b.Len() - headerBytes; c.maxFrame > 0 && n > c.maxFrame {
		b.free()
		return &OversizedError{Size: n, Limit: c.maxFrame}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cause != nil {
		b.free()
		return c.cause
	}
	if c.bytes+b.Len() > maxQueueBytes || len(c.control)+len(c.other) >= maxQueueFrames {
		b.free()
		c.stats.dropped.Add(1)
		return ErrFull
	}
	c.bytes += b.Len()
	c.count(b.Len())
	if t.control() {
		c.control = append(c.control, b)
	} else {
		c.other = append(c.other, b)
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return nil
}

// dequeue removes all control messages or, if there are none, the first of the others until
// they amount to chunkBytes, and appends them to l.
func (c *conn) dequeue(l []*buffer) []*buffer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.control) > 0 {
		l = append(l, c.control...)
		c.control = c.control[:0]
	} else {
		n, size := 0, 0
		for n < len(c.other) && size < chunkBytes {
			size += c.other[n].Len()
			n++
		}
		l = append(l, c.other[:n]...)
		c.other = append(c.other[:0], c.other[n:]...)
	}
	for _, b := range l {
		c.bytes -= b.Len()
	}
	return l
}

// write sends the queued messages until the connection closes.
func (c *conn) write() {
	w := bufio.NewWriterSize(c.net, bufferBytes)
	var l []*buffer
	for {
		select {
		case <-c.done:
			return
		case <-c.wake:
		}
		for l = c.dequeue(l[:0]); len(l) > 0; l = c.dequeue(l[:0]) {
			c.limitWrites()
			if err := c.writeAll(w, l); err != nil {
				c.close(err)
				return
			}
		}
		c.limitWrites()
		if err := w.Flush(); err != nil {
			c.close(err)
			return
		}
	}
}

// limitWrites gives the next writes their time.
func (c *conn) limitWrites() {
	_ = c.net.SetWriteDeadline(time.Now().Add(writeTimeout)) // a failure shows in the writes
}

func (c *conn) writeAll(w *bufio.Writer, l []*buffer) error {
	size := 0
	for _, b := range l {
		size += b.Len()
	}
	defer c.count(-size)
	for _, b := range l {
		n, err := w.Write(b.Bytes())
		c.stats.bytesOut.Add(int64(n))
		c.stats.framesOut.Add(1)
		b.free()
		if err != nil {
			return err
		}
	}
	return nil
}

// read handles frames until the connection closes, and returns why it did.
func (c *conn) read(limit int, handle func(message) error) error {
	var b []byte
	for {
		m, err := readFrame(c.in, &b, limit)
		if err == nil {
			c.lastReceived.Store(time.Now().UnixNano())
			c.stats.framesIn.Add(1)
			c.stats.bytesIn.Add(int64(m.size))
			err = handle(m)
		}
		if err != nil {
			c.stats.bad(err)
			c.close(err)
			return c.reason()
		}
	}
}

// count counts bytes that are held from now on, or no longer.
func (c *conn) count(n int) {
	if c.held != nil {
		c.held(n)
	}
}

// close closes the connection; the first cause is kept.
func (c *conn) close(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cause != nil {
		return
	}
	c.cause = cause
	c.count(-c.bytes) // nothing that is queued is sent any more
	c.bytes, c.control, c.other = 0, nil, nil
	close(c.done)
	_ = c.net.Close() // the cause is known; an error would add nothing
}

func (c *conn) reason() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cause
}

// silentFor returns the time since the last frame was received.
func (c *conn) silentFor(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, c.lastReceived.Load()))
}
