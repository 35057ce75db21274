// Package backend is a client of backend servers: model servers are called with
// completion requests and answer with server-sent events, pools and plain services
// are called over JSON.
//
// A response that is late, truncated, without its end marker or that belongs to
// another call is never passed on, and after one without the ID of its call the
// connection is closed. No call is sent twice, and every error states whether a byte of
// the call may have been written.
package backend

import (
	"context"
	"errors"
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
	// maxResponse bounds the response to a JSON call, in bytes.
	maxResponse = 8 << 20
	// maxHead bounds the head of a response, with those of the 1xx responses before it, in bytes.
	maxHead = 64 << 10
	// maxCancels bounds the concurrent cancellation requests. Further ones are dropped,
	// since closing the connection stops the model server as well.
	maxCancels = 64
	// cancelTimeout bounds one cancellation request.
	cancelTimeout = 500 * time.Millisecond
	// idleTimeout closes idle connections early, because an open connection can stop
	// delivering data for good while new connections work.
	idleTimeout = 5 * time.Second
	// dialTimeout is the longest send-by time of a permit. A connection opened later is
	// of no use.
	dialTimeout = 500 * time.Millisecond
	// staleTime is two round trips between regions plus a margin. If a reused
	// connection breaks within it, the server may have closed the connection as idle,
	// which says nothing about the state of the server.
	staleTime = 30 * time.Millisecond
)

// Client calls backend servers. The zero value dials TCP. Close it after use.
type Client struct {
	Dial  func(ctx context.Context, network, address string) (net.Conn, error)
	Clock Clock
	// MaxIdle is the number of idle connections kept for each server, 64 if 0.
	MaxIdle int

	once        sync.Once
	pooled      *http.Transport // reuses connections; for idempotent calls
	fresh       *http.Transport // opens a connection for each call
	cancelSlots chan struct{}

	mu             sync.Mutex
	closed         bool           // no further cancellation may start
	cancelsRunning sync.WaitGroup // cancellations in progress; Add is called under mu while not closed

	errorCounts [errorKinds]atomic.Uint64
}

// Call holds the parameters common to all calls.
type Call struct {
	ID           string // unique to each attempt
	Address      string // IP:port
	Organisation string
	Key          string        // operation key of a non-idempotent call
	RequestedAt  Mark          // when the permit was requested
	SendBy       time.Duration // after RequestedAt; 0: no permit needed
	Fresh        bool          // use a new connection
}

// ErrorCount returns how many calls ended with an error of kind k.
func (c *Client) ErrorCount(k ErrorKind) uint64 { return c.errorCounts[k].Load() }

// Close closes idle connections and waits for cancellation requests in progress. For
// calls that still run no cancellation request is sent after that; the server sees their
// connections close.
func (c *Client) Close() {
	c.once.Do(c.init)
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancelsRunning.Wait()
	c.pooled.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// beginCancel registers a cancellation that Close has to wait for. It returns false if
// the client is closed.
func (c *Client) beginCancel() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.cancelsRunning.Add(1)
	}
	return !c.closed
}

func (c *Client) init() {
	c.cancelSlots = make(chan struct{}, maxCancels)
	n := c.MaxIdle
	if n <= 0 {
		n = 64
	}
	c.pooled = &http.Transport{
		DialContext:            c.dial,
		DisableCompression:     true,
		MaxIdleConns:           0,
		MaxIdleConnsPerHost:    n,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHead,
	}
	c.fresh = &http.Transport{
		DialContext:            c.dial,
		DisableCompression:     true,
		DisableKeepAlives:      true,
		MaxResponseHeaderBytes: maxHead,
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

// exchange is a call in progress.
type exchange struct {
	client *Client
	call   *Call
	gate   *sendGate
	ctx    context.Context
}

// send sends one request and returns a response with status 200 or 204; any other
// status is an error. ctx also governs the reading of the response body, so it must not
// end before the body has been read; the caller must close the body.
func (c *Client) send(ctx context.Context, k *Call, method, path string, body *parts) (*exchange, *http.Response, error) {
	c.once.Do(c.init)
	x := &exchange{client: c, call: k, gate: newSendGate(c.Clock, k), ctx: ctx}
	x.gate.body = body != nil
	r := (&http.Request{
		Method:     method,
		URL:        target(k.Address, path),
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		Header:     header(k, body != nil),
		Host:       k.Address,
	}).WithContext(httptrace.WithClientTrace(ctx, &x.gate.trace))
	if body != nil {
		r.Body = body
		r.ContentLength = body.size()
	}
	t := c.pooled
	if k.Fresh || k.Key != "" {
		t = c.fresh
	}
	p, err := x.roundTrip(t, r, body)
	if err != nil {
		return x, nil, x.transportError(err)
	}
	if p.StatusCode != http.StatusOK && p.StatusCode != http.StatusNoContent {
		x.gate.discard()
		_ = p.Body.Close()
		e := x.newError(Status, nil)
		e.Code = p.StatusCode
		return x, nil, e
	}
	return x, p, nil
}

// roundTrip sends a request. If its connection was discarded before the first byte was written, it uses a
// new one.
func (x *exchange) roundTrip(t *http.Transport, r *http.Request, body *parts) (*http.Response, error) {
	var b parts
	if body != nil {
		b = *body // net/http may read from the original
	}
	p, err := t.RoundTrip(r)
	if err == nil || !x.gate.gotDiscarded() {
		return p, err
	}
	r = r.Clone(r.Context())
	if body != nil {
		r.Body = &parts{b[0], b[1], b[2]}
	}
	return x.client.fresh.RoundTrip(r)
}

// jsonHeader holds the headers of calls without an operation key. It is shared and must
// not be modified.
var (
	contentType = []string{"application/json"}
	jsonHeader  = http.Header{"Content-Type": contentType}
)

// header returns the headers of k. The key is never sent as Idempotency-Key, because
// net/http retries requests that carry that header.
func header(k *Call, body bool) http.Header {
	switch {
	case !body:
		return http.Header{}
	case k.Key == "":
		return jsonHeader
	}
	return http.Header{"Content-Type": contentType, "X-Operation-Key": []string{k.Key}}
}

// target returns the URL of path, which is already escaped, at address.
func target(address, path string) *url.URL {
	u := &url.URL{Scheme: "http", Host: address, Path: path}
	if p, err := url.PathUnescape(path); err == nil && p != path {
		u.Path, u.RawPath = p, path
	}
	return u
}

// transportError converts an error returned by net/http.
func (x *exchange) transportError(err error) *Error {
	sent := x.gate.giveUp()
	switch {
	case x.gate.state.Load() == stateTooLate:
		return x.newError(TooLate, err)
	case errors.Is(context.Cause(x.ctx), errStalled):
		return x.newError(Stalled, err)
	case x.ctx.Err() != nil:
		return x.newError(Stopped, context.Cause(x.ctx))
	case !sent && errors.Is(err, syscall.ECONNREFUSED):
		return x.newError(Refused, err)
	case !x.gate.connected.Load():
		return x.newError(Unreached, err)
	}
	e := x.newError(Broken, err)
	e.Stale = sent && x.gate.reused.Load() && x.gate.service() < staleTime
	return e
}

// newError returns an error of this call and counts it.
func (x *exchange) newError(k ErrorKind, cause error) *Error {
	x.client.errorCounts[k].Add(1)
	return &Error{Kind: k, Sent: x.gate.giveUp(), Address: x.call.Address, Cause: cause}
}

// errStalled is the cause of a context that was cancelled by a stall timeout.
var errStalled = errors.New("stall timeout")
