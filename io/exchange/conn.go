package exchange

// This file defines the state of a connection between exchanges.

import (
	"bufio"
	"net"
	"sync/atomic"
	"time"
)

// conn is a connection to a server.
type conn struct {
	net.Conn
	pool      *Pool
	address   string
	in        *bufio.Reader
	limit     *limitedReader // that in reads from
	idleSince time.Time
	tainted   bool   // a response to another request was read from it
	limited   bool   // its receive buffer is small
	echo      string // Request.Echo of its requests
	// interchangeable is Request.Interchangeable of its requests.
	interchangeable bool
	seen            ids
	aborted         atomic.Bool // the context of its exchange has ended

	identity identity // of the process that it leads to
	greeting []byte   // body of the response to its handshake; nil: there was none
}

// isNew adds the mark of a response to r to the known ones, and returns false if it was known. A connection knows its
// marks for as long as it is used, the pool those of a process on all connections for some time.
func (c *conn) isNew(r *Request, mark string) bool {
	if mark == "" {
		return true
	}
	if c.seen.has(mark) || !c.pool.marks.add(r.Process+" "+mark, time.Now()) {
		return false
	}
	c.seen.add(mark)
	return true
}

// mayCarry reports whether a request may be sent on a connection that was used before: its requests had
// their ids in the same header, if any, and none had that of r. A copy of an earlier response is then
// told from that to r. The connection leads to the process of r, as far as it is known.
func (c *conn) mayCarry(r *Request) bool {
	return c.echo == r.Echo && c.interchangeable == r.Interchangeable && !c.seen.has(r.id()) && (!c.identity.known() || c.identity.check(r) == nil)
}

// reusable reports whether the connection can be used for another request.
func (c *conn) reusable() bool {
	return !c.tainted && !c.limited && c.in.Buffered() == 0 && len(c.seen) < maxIDs
}

// buffered returns what was read from the connection beyond the present response.
func (c *conn) buffered() []byte {
	b, _ := c.in.Peek(c.in.Buffered()) // never more than there is
	return b
}

// onForeign takes account of a response that is not that of r: the connection is not used again.
func (c *conn) onForeign(r *Request, status int) {
	c.tainted = true
	c.pool.report(ForeignResponse{Address: c.address, Target: r.Target, Echo: r.id(), Status: status})
}

// abort closes the connection, so that a read or write in progress fails.
func (c *conn) abort() {
	c.aborted.Store(true)
	_ = c.Close() // the user of the connection gets the error
}

func (c *conn) close() {
	_ = c.Close() // the connection is not used again
	c.pool.release(c.address)
}
