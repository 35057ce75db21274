// Package exchange is an HTTP/1.1 client for backend servers. It sends requests unchanged
// and reports for certain whether a server can have read one.
//
// It has its own connection pool instead of using net/http's transport, which retries
// some requests by itself and does not distinguish a late response to an earlier
// request on a connection from the expected one.
package exchange

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"

	"bergamotspring/io/httpbody"
)

const (
	// maxSkipped bounds the responses to other requests that are skipped before the expected one, and
	// maxInterim the 1xx responses before each.
	maxSkipped = 3
	maxInterim = 100
	// maxHead bounds the bytes of a status line and header, and maxForeignBody those of the
	// body of a response to another request, with its framing. A faulty server may send either
	// without end.
	maxHead        = 64 << 10
	maxForeignBody = 1 << 20
	// maxStatus is the largest status that HTTP defines a class for. net/http reads larger ones too.
	maxStatus = 599
)

// Request is one request. The header is sent as it is; only Host is added and, except to a
// GET or HEAD without a body, Content-Length.
type Request struct {
	Address string // IP:port
	Method  string
	Target  string // path and query, not normalised
	Host    string
	Header  http.Header
	Body    []byte
	// Echo names a header that the server repeats in its response; a response with another value
	// belongs to another request. If empty, this is not checked. The pool sends a value once on a
	// connection.
	Echo string
	// Interchangeable says that the response to an earlier such request will do if it comes once more in place of
	// this one's. Connections of such requests carry no others, and are used again after a 200 without a mark of Whole.
	Interchangeable bool
	// Process identifies the process at the address, as far as it is known. The next one may use the marks of Whole again.
	Process string
	// Handshake, if set, makes sure that the request is sent to Process only, and to Same only if that is set: a name
	// that OnProcess got for an earlier request. Otherwise the error is an UnsentError with an OtherProcessError or
	// ErrUnproven.
	Handshake *Handshake
	Same      string
	// OnProcess, if set, is called with the name of the process before the request is sent to it.
	OnProcess func(name string)
	// OnWritten, if set, is called once, when Body is not read any more, whether the request was sent or not.
	OnWritten func()
	// OnRead, if set, is called by Whole with the length of each part of the response that it has buffered.
	OnRead func(n int)
	Guard  Guard
}

// Response is a response whose header was read. Body ends with io.EOF only if it is
// complete.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the length of the body in bytes, -1 if unknown.
	Length int64
	// Framed reports that the body has a length or chunks. Without them it ends with its connection, and
	// its end does not prove that it is complete.
	Framed bool

	conn *conn
}

// UnsentError reports a request of which the server cannot have read any byte.
type UnsentError struct {
	Refused bool // no process listens at the address
	Cause   error
}

func (e *UnsentError) Error() string { return "exchange: not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Cause }

// BrokenError reports a request that the server may have read, without a complete response.
type BrokenError struct {
	Cause error
}

func (e *BrokenError) Error() string { return "exchange: broken off: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// ForeignResponse describes a response that came on a connection on which that of another request, or
// none, was expected.
type ForeignResponse struct {
	Address string
	Target  string // of the request that waited; empty: none did
	Echo    string // value of its Echo header; empty: the request has none
	Status  int    // 0: not read
}

// CutResponse describes a response whose body ended before it was complete. Bodies that were not read to their end, as their
// context ended or they were closed, are not reported.
type CutResponse struct {
	Address string
	Target  string // of the request
	Echo    string // value of its Echo header; empty: the request has none
	Status  int
	Length  int64 // bytes of the body that were read
	Cause   error
}

var (
	errForeignResponse = errors.New("answer belongs to another request")
	errInterim         = errors.New("too many 1xx responses")
	errTooLarge        = errors.New("response too large")
	errStatus          = errors.New("status outside 100 to 599")
	errReset           = errors.New("connection ended before the request was sent")
	errJoinedBody      = errors.New("body goes over into another response")
	errJoinedHeads     = errors.New("response goes over into another one")
)

// Do sends a request and returns its response once the header was read. Without an Echo header, the
// connection is not used again: see Whole. When the context
// ends, the connection is closed, also while the body is read. The error is an *UnsentError
// or a *BrokenError.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	a, x, err := p.do(ctx, r) //nolint:bodyclose // closed by the returned body
	if err != nil {
		return nil, err
	}
	r.Guard.onHead(a.StatusCode, a.Header)
	b := x.conn.body(a, r, x.request)
	report := b.OnEnd
	b.OnEnd = func(end error) {
		report(end)
		x.end(b.Complete())
	}
	if a.ContentLength == 0 || a.Body == http.NoBody {
		_, _ = b.Read(make([]byte, 1)) // there is none, so that the exchange ends
	}
	return &Response{Status: a.StatusCode, Header: a.Header, Body: body{b}, Length: a.ContentLength, Framed: framed(a), conn: x.conn}, nil
}

// inProgress is an exchange whose response is being read.
type inProgress struct {
	conn    *conn
	request *writing
	stop    func() bool // ends the watch on the context, and reports whether that has not ended
	reuse   bool        // the connection may be used again if the response is complete
}

// end ends the exchange: the connection is returned to the pool if the response is complete, and else closed.
func (x *inProgress) end(complete bool) {
	active := x.stop()
	if complete && x.conn.in.Buffered() > 0 {
		x.conn.pool.report(ForeignResponse{Address: x.conn.address})
	}
	if complete && active && x.reuse && x.request.complete() && x.conn.reusable() {
		x.conn.pool.put(x.conn)
		return
	}
	x.conn.close()
}

// do sends a request and returns its response, whose body is still to be read, and the exchange, which is still to be ended.
func (p *Pool) do(ctx context.Context, r *Request) (*http.Response, *inProgress, error) {
	onWritten := r.OnWritten
	defer func() {
		if onWritten != nil {
			onWritten()
		}
	}()
	if err := r.Guard.admit(ctx); err != nil {
		return nil, nil, &UnsentError{Cause: err}
	}
	c, err := p.getVerified(ctx, r)
	if err != nil {
		return nil, nil, &UnsentError{Refused: refused(err), Cause: err}
	}
	if err := r.Guard.admit(ctx); err != nil {
		p.put(c)
		return nil, nil, &UnsentError{Cause: err}
	}
	if r.OnProcess != nil {
		r.OnProcess(c.identity.name)
	}
	c.seen.add(r.id())
	stop := context.AfterFunc(ctx, c.abort)
	w := c.startWrite(r.bytes(), onWritten)
	onWritten = nil
	a, err := w.readResponse(c, r)
	if err != nil {
		stop()
		c.close()
		return nil, nil, w.failure(err)
	}
	// A copy of a response to HEAD would take the length of its missing body from the response that follows.
	reuse := r.Echo != "" && !a.Close && framed(a) && r.Method != http.MethodHead
	return a, &inProgress{conn: c, request: w, stop: stop, reuse: reuse}, nil
}

// Identify decides whether a response belongs to a request whose server echoes no id. It returns a mark
// that no other response has, or "" if the response has none; the error says that it does not belong to
// the request.
type Identify func(status int, b []byte) (mark string, err error)

// Whole sends a request whose server echoes no id, and reads its whole response. A response with the mark
// of an earlier one is a copy and is skipped. After one without a mark the connection is not used again,
// as nothing would tell a copy of it from the response to the next request, unless these are interchangeable
// and it is a 200. If the response does not belong to the request, or is longer than limit bytes, the exchange
// counts as broken off.
func (p *Pool) Whole(ctx context.Context, r *Request, limit int64, identify Identify) (int, []byte, error) {
	a, x, err := p.do(ctx, r) //nolint:bodyclose // ended below
	if err != nil {
		return 0, nil, err
	}
	var b []byte
	for n := 0; ; n++ {
		var mark string
		b, mark, err = readWhole(a, x.conn.body(a, r, x.request), r.OnRead, limit, identify)
		if !x.conn.repeatsHandshake(b) && x.conn.isNew(r, mark) {
			r.Guard.onHead(a.StatusCode, a.Header)
			x.reuse = (mark != "" || r.Interchangeable && a.StatusCode == http.StatusOK) && framed(a) && !a.Close
			break
		}
		x.conn.onForeign(r, a.StatusCode)
		if n == maxSkipped || a.Close || !framed(a) {
			err = errForeignResponse
			break
		}
		if a, err = x.conn.readResponse(r); err != nil { //nolint:bodyclose // ended below
			break
		}
	}
	x.end(err == nil)
	if _, broken := errors.AsType[*BrokenError](err); broken {
		return 0, nil, err
	}
	if err != nil {
		return 0, nil, &BrokenError{Cause: err}
	}
	p.confirmWitness(x.conn)
	return a.StatusCode, b, nil
}

// readWhole reads the body of a response and identifies it.
func readWhole(a *http.Response, in io.Reader, onRead func(n int), limit int64, identify Identify) (b []byte, mark string, err error) {
	if onRead != nil {
		in = &countingReader{Reader: in, onRead: onRead}
	}
	b, err = httpbody.ReadAll(in, a.ContentLength, limit)
	if err != nil {
		return nil, "", err
	}
	mark, err = identify(a.StatusCode, b)
	return b, mark, err
}

// countingReader calls onRead with the length of each part that it reads.
type countingReader struct {
	io.Reader
	onRead func(n int)
}

func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.onRead(n)
	return n, err
}

// framed reports whether the end of a body is known without that of the connection.
func framed(a *http.Response) bool {
	return a.ContentLength >= 0 || len(a.TransferEncoding) > 0
}

// id returns the value of the Echo header, "" if there is none.
func (r *Request) id() string {
	if r.Echo == "" {
		return ""
	}
	return r.Header.Get(r.Echo)
}

// isNamed reports whether the header of a response names r, and no other request beside it.
func (r *Request) isNamed(h http.Header) bool {
	l, id := h.Values(r.Echo), r.id()
	return len(l) > 0 && !slices.ContainsFunc(l, func(x string) bool { return x != id })
}

// bytes returns the encoded request. A short one is sent in one write; the body of a longer one is not copied, as the
// copy would be held until the server has read it.
func (r *Request) bytes() net.Buffers {
	var b bytes.Buffer
	b.Grow(512 + min(len(r.Body), maxCopied))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	_ = r.Header.Write(&b) // a buffer returns no errors
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	if len(r.Body) > maxCopied {
		return net.Buffers{b.Bytes(), r.Body}
	}
	b.Write(r.Body)
	return net.Buffers{b.Bytes()}
}

// readResponse reads the header of the response to r and skips responses to other requests.
func (c *conn) readResponse(r *Request) (*http.Response, error) {
	for range maxSkipped + 1 {
		a, err := c.readFinalHead()
		if err != nil {
			return nil, err
		}
		if r.Echo == "" || r.isNamed(a.Header) {
			if r.Method == http.MethodHead {
				a.Body = http.NoBody
			}
			return a, nil
		}
		c.onForeign(r, a.StatusCode)
		if err := c.skipBody(a); err != nil {
			return nil, err
		}
		if a.Close || !framed(a) {
			return nil, errForeignResponse
		}
	}
	return nil, errForeignResponse
}

// readFinalHead reads one response up to its body, after any 1xx responses.
func (c *conn) readFinalHead() (*http.Response, error) {
	for range maxInterim + 1 {
		a, err := c.readHead()
		if err != nil || a.StatusCode >= http.StatusOK {
			return a, err
		}
	}
	return nil, errInterim
}

// readHead reads one response up to its body. It counts on a body also if the request that waits is a HEAD, as
// a response before the due one may have one.
func (c *conn) readHead() (*http.Response, error) {
	c.limit.remaining = maxHead
	defer func() { c.limit.remaining = unlimited }()
	old := c.readsHTTP10()
	a, err := http.ReadResponse(c.in, nil)
	if err == nil && old {
		a.Close = true
	}
	if err == nil && holdsStatusLine(a) {
		return nil, errJoinedHeads
	}
	if err == nil && (a.StatusCode < http.StatusContinue || a.StatusCode > maxStatus) {
		return nil, errStatus
	}
	return a, err
}

// readsHTTP10 reports whether the next response is one over HTTP/1.0, and if so makes it one over HTTP/1.1: net/http
// forgets the Transfer-Encoding of the former, which it should not have, and takes its chunks for the body.
func (c *conn) readsHTTP10() bool {
	b, err := c.in.Peek(len("HTTP/1.0"))
	if err != nil || string(b) != "HTTP/1.0" {
		return false
	}
	b[len(b)-1] = '1'
	return true
}

// skipBody reads and drops the body of a response to another request.
func (c *conn) skipBody(a *http.Response) error {
	c.limit.remaining = maxForeignBody
	defer func() { c.limit.remaining = unlimited }()
	_, err := io.Copy(io.Discard, &httpbody.Reader{Source: a.Body})
	return err
}

// unlimited is the value of limitedReader.remaining without a limit.
const unlimited = -1

// limitedReader reads from a connection until a number of bytes has been read.
type limitedReader struct {
	conn      net.Conn
	remaining int
}

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining == 0 {
		return 0, errTooLarge
	}
	if l.remaining > 0 && len(p) > l.remaining {
		p = p[:l.remaining]
	}
	n, err := l.conn.Read(p)
	if l.remaining > 0 {
		l.remaining -= n
	}
	return n, err
}

func refused(err error) bool {
	var o *net.OpError
	return errors.As(err, &o) && isRefused(o.Err)
}
