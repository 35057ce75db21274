// Package backend calls backend servers: model engines over completions with
// server-sent events, pools and plain services over JSON.
//
// An answer that is late, crossed, truncated or without its end marker reaches no
// caller. No call is sent twice, and every error says whether a byte of the call
// can have been written.
package backend

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// maxAnswer bounds the answer of a JSON call, in bytes.
	maxAnswer = 8 << 20
	// maxCancels bounds the cancellations under way at once; more are dropped,
	// since closing the connection stops the engine as well.
	maxCancels = 64
	// cancelTimeout bounds one cancellation.
	cancelTimeout = 500 * time.Millisecond
	// idleTimeout closes idle connections early, since open connections can go
	// silent for good while new ones work.
	idleTimeout = 5 * time.Second
	// dialTimeout is the longest send-by of a permit. A later connection is of no use.
	dialTimeout = 500 * time.Millisecond
	// staleTime is two round trips between regions and some margin. A reused
	// connection that breaks within it may have been closed as idle, which says
	// nothing about the server.
	staleTime = 30 * time.Millisecond
)

// Client calls backend servers. The zero value dials TCP. Close it after use.
type Client struct {
	Dial  func(ctx context.Context, network, address string) (net.Conn, error)
	Clock Clock
	// MaxIdle is the number of idle connections kept for each server, 64 if 0.
	MaxIdle int

	once    sync.Once
	keep    *http.Transport // reuses connections, for repeatable calls
	fresh   *http.Transport // one connection for each call
	cancels chan struct{}

	mu      sync.Mutex
	closed  bool           // no cancellation begins any more
	running sync.WaitGroup // cancellations; added to under mu, while not closed

	errorCounts [errorKinds]atomic.Uint64
}

// Call is what every call has.
type Call struct {
	ID           string // unique to each send
	Address      string // IP:port
	Organisation string
	Key          string        // operation key of a non-idempotent call
	Asked        Mark          // when the permit was asked for
	SendBy       time.Duration // after Asked; 0: no permit needed
	Fresh        bool          // use a connection that no call used before
}

// ErrorCount returns how many calls ended with fault f.
func (c *Client) ErrorCount(f ErrorKind) uint64 { return c.errorCounts[f].Load() }

// Close closes idle connections and waits for cancellations under way. Calls that still
// run are not cancelled by message any more; the server sees their connections close.
func (c *Client) Close() {
	c.once.Do(c.init)
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.running.Wait()
	c.keep.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// begin counts a cancellation that Close has to wait for, unless the client is closed.
func (c *Client) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.running.Add(1)
	}
	return !c.closed
}

func (c *Client) init() {
	c.cancels = make(chan struct{}, maxCancels)
	n := c.MaxIdle
	if n <= 0 {
		n = 64
	}
	c.keep = &http.Transport{
		DialContext:         c.dial,
		DisableCompression:  true,
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: n,
		IdleConnTimeout:     idleTimeout,
	}
	c.fresh = &http.Transport{
		DialContext:        c.dial,
		DisableCompression: true,
		DisableKeepAlives:  true,
	}
}

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := c.Dial
	if d == nil {
		d = (&net.Dialer{}).DialContext
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	n, err := d(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: n}, nil
}

// exchange is one call under way.
type exchange struct {
	client *Client
	call   *Call
	send   *sending
	ctx    context.Context
}

// send sends one request and returns the response with status 200 or 204. The
// context must end when the body has been read.
func (c *Client) send(ctx context.Context, k *Call, method, path string, body *parts) (*exchange, *http.Response, error) {
	c.once.Do(c.init)
	x := &exchange{client: c, call: k, send: newSending(c.Clock, k), ctx: ctx}
	x.send.body = body != nil
	r := (&http.Request{
		Method:     method,
		URL:        target(k.Address, path),
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		Header:     header(k, body != nil),
		Host:       k.Address,
	}).WithContext(httptrace.WithClientTrace(ctx, &x.send.trace))
	if body != nil {
		r.Body = body
		r.ContentLength = body.size()
	}
	t := c.keep
	if k.Fresh || k.Key != "" {
		t = c.fresh
	}
	p, err := t.RoundTrip(r)
	if err != nil {
		return x, nil, x.failed(err)
	}
	if p.StatusCode != http.StatusOK && p.StatusCode != http.StatusNoContent {
		_, _ = io.CopyN(io.Discard, p.Body, 4096)
		_ = p.Body.Close()
		e := x.fault(Status, nil)
		e.Code = p.StatusCode
		return x, nil, e
	}
	return x, p, nil
}

// plain are the headers of calls without a key. They are shared and never changed.
var (
	contentType = []string{"application/json"}
	plain       = http.Header{"Content-Type": contentType}
)

// header returns the headers of k. The key never goes out as Idempotency-Key,
// because net/http resends calls that carry that header.
func header(k *Call, body bool) http.Header {
	switch {
	case !body:
		return http.Header{}
	case k.Key == "":
		return plain
	}
	return http.Header{"Content-Type": contentType, "X-Operation-Key": []string{k.Key}}
}

// target returns the URL of an escaped path at address.
func target(address, path string) *url.URL {
	u := &url.URL{Scheme: "http", Host: address, Path: path}
	if p, err := url.PathUnescape(path); err == nil && p != path {
		u.Path, u.RawPath = p, path
	}
	return u
}

// failed converts an error of net/http.
func (x *exchange) failed(err error) *Error {
	sent := x.send.giveUp()
	switch {
	case x.send.state.Load() == stateTooLate:
		return x.fault(TooLate, err)
	case errors.Is(context.Cause(x.ctx), errStalled):
		return x.fault(Stalled, err)
	case x.ctx.Err() != nil:
		return x.fault(Stopped, context.Cause(x.ctx))
	case !sent && errors.Is(err, syscall.ECONNREFUSED):
		return x.fault(Refused, err)
	case !x.send.got.Load():
		return x.fault(Unreached, err)
	}
	e := x.fault(Broken, err)
	e.Stale = sent && x.send.reused.Load() && x.send.service() < staleTime
	return e
}

// fault counts and returns an error of this call.
func (x *exchange) fault(f ErrorKind, cause error) *Error {
	x.client.errorCounts[f].Add(1)
	return &Error{Kind: f, Sent: x.send.giveUp(), Address: x.call.Address, Cause: cause}
}

// errStalled is the cause of a context that a stall timeout ended.
var errStalled = errors.New("stall timeout")
