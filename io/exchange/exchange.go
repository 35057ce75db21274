// Package exchange carries single HTTP/1.1 exchanges with backend servers, as the
// caller wrote them, and knows for certain whether a request can have been read.
//
// It keeps its own connections instead of using net/http's transport, which sends
// some requests a second time by itself and does not tell an answer that belongs to
// an earlier request on the connection from the one that is due.
package exchange

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// maxForeign is how many answers to other requests are skipped before one's own.
const maxForeign = 3

// Request is one request. The header is sent as it is, with Host, Content-Length and
// nothing else added.
type Request struct {
	Address string // IP:port
	Method  string
	Target  string // path and query as the caller wrote them
	Host    string
	Header  http.Header
	Body    []byte
	// Echo names a header that the server repeats in its answer; an answer with
	// another value belongs to another request. Empty: not checked.
	Echo string
}

// Response is the head of an answer. Body ends with io.EOF only if it is complete.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the length of the body, -1 if not known.
	Length int64
}

// UnsentError reports a request of which the server cannot have read anything.
type UnsentError struct {
	Refused bool // no process listens at the address
	Cause   error
}

func (e *UnsentError) Error() string { return "exchange: not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Cause }

// BrokenError reports a request that may have been read, without a whole answer.
type BrokenError struct {
	Cause error
}

func (e *BrokenError) Error() string { return "exchange: broken off: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

var errForeign = errors.New("answer belongs to another request")

// Do sends a request and returns the head of its answer. When the context ends, the
// connection is closed, also while the body is read. Errors are *UnsentError and
// *BrokenError.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c, err := p.get(ctx, r)
	if err != nil {
		return nil, &UnsentError{Refused: refused(err), Cause: err}
	}
	stop := context.AfterFunc(ctx, c.abort)
	n, err := c.Write(r.bytes())
	if err != nil {
		stop()
		c.close()
		if n == 0 {
			return nil, &UnsentError{Cause: err}
		}
		return nil, &BrokenError{Cause: err}
	}
	a, err := c.answer(r) //nolint:bodyclose // the body that is returned closes it
	if err != nil {
		stop()
		c.close()
		return nil, &BrokenError{Cause: err}
	}
	b := &body{ReadCloser: a.Body, conn: c, stop: stop, keep: !a.Close && keptAlive(a)}
	if a.ContentLength == 0 || a.Body == http.NoBody {
		b.end(nil)
	}
	return &Response{Status: a.StatusCode, Header: a.Header, Body: b, Length: a.ContentLength}, nil
}

// keptAlive reports whether the framing lets another answer follow.
func keptAlive(a *http.Response) bool {
	return a.ContentLength >= 0 || len(a.TransferEncoding) > 0
}

// bytes returns the whole request, so that it is sent in one write.
func (r *Request) bytes() []byte {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	_ = r.Header.Write(&b) // a buffer takes all
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// answer reads the head of the answer to r, past answers to other requests.
func (c *conn) answer(r *Request) (*http.Response, error) {
	q := &http.Request{Method: r.Method}
	for range maxForeign + 1 {
		a, err := http.ReadResponse(c.in, q)
		if err != nil {
			return nil, err
		}
		if a.StatusCode >= 100 && a.StatusCode < 200 {
			continue
		}
		if r.Echo == "" || a.Header.Get(r.Echo) == r.Header.Get(r.Echo) {
			return a, nil
		}
		c.tainted = true
		if _, err := io.Copy(io.Discard, a.Body); err != nil {
			return nil, err
		}
		if a.Close || !keptAlive(a) {
			return nil, errForeign
		}
	}
	return nil, errForeign
}

// body hands the connection back when it was read to its end.
type body struct {
	io.ReadCloser
	conn *conn
	stop func() bool
	keep bool
	done bool
}

// Read reads the body. An error other than io.EOF means that it is not complete.
func (b *body) Read(p []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}
	n, err := b.ReadCloser.Read(p)
	if err == nil {
		return n, nil
	}
	if err == io.EOF {
		b.end(nil)
		return n, io.EOF
	}
	b.end(err)
	return n, &BrokenError{Cause: err}
}

// Close ends the exchange; a body that was not read to its end takes the connection
// with it.
func (b *body) Close() error {
	if !b.done {
		b.end(context.Canceled)
	}
	return nil
}

func (b *body) end(err error) {
	b.done = true
	live := b.stop()
	if err == nil && live && b.keep && !b.conn.tainted && b.conn.in.Buffered() == 0 {
		b.conn.pool.put(b.conn)
		return
	}
	b.conn.close()
}

func refused(err error) bool {
	var o *net.OpError
	return errors.As(err, &o) && isRefused(o.Err)
}

// conn is a connection to a server.
type conn struct {
	net.Conn
	pool    *Pool
	address string
	in      *bufio.Reader
	idle    time.Time // since when
	tainted bool      // an answer to another request came on it
}

// abort closes the connection so that a read or write on it fails.
func (c *conn) abort() { _ = c.Close() } // whoever uses it sees the failure

func (c *conn) close() {
	_ = c.Close() // nothing more is expected of it
	c.pool.closed(c.address)
}
