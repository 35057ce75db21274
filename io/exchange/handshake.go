package exchange

// This file defines handshakes: how a client learns which process of a server a connection leads to.

import (
	"bytes"
	"context"
	"errors"
	"net/http"
)

const (
	// maxHandshake bounds the body of the response to a handshake in bytes.
	maxHandshake = 64 << 10
	// maxHandshakes bounds the handshakes for one request. A server may close a connection after any response.
	maxHandshakes = 3
)

var errNoHandshake = errors.New("server closes connections after the handshake")

// Handshake is sent on each new connection before the request that it belongs to. A connection ends with the
// process that accepted it, so the response holds for all requests on the connection.
type Handshake struct {
	Request *Request // without an Echo header
	// Identify returns the process that sent the response, "" if the response does not tell. With an error, the
	// request is not sent.
	Identify func(status int, b []byte) (process string, err error)
}

// OtherProcessError reports that another process than Request.Process listens at the address.
type OtherProcessError struct {
	Process string // empty: unknown
}

func (e *OtherProcessError) Error() string { return "exchange: other process: " + e.Process }

// getVerified returns a connection for a request like get, after its handshake. Whether the connection leads to
// the process of the request was checked.
func (p *Pool) getVerified(ctx context.Context, r *Request) (*conn, error) {
	for range maxHandshakes {
		c, err := p.get(ctx, r)
		if err != nil {
			return nil, err
		}
		c.echo, c.interchangeable = r.Echo, r.Interchangeable
		if r.Handshake == nil || c.shaken {
			return c, nil
		}
		reusable, err := c.shakeHands(ctx, r)
		if err == nil && !c.leadsTo(r.Process) {
			err = &OtherProcessError{Process: c.process}
		}
		if reusable && err == nil {
			return c, nil
		}
		if reusable {
			p.put(c)
		} else {
			c.close()
		}
		if err != nil {
			return nil, err
		}
	}
	return nil, errNoHandshake
}

// shakeHands sends the handshake of a request and reads the response. It reports whether the connection can be used
// afterwards.
func (c *conn) shakeHands(ctx context.Context, r *Request) (reusable bool, err error) {
	h := r.Handshake
	stop := context.AfterFunc(ctx, c.abort)
	defer stop()
	w := c.startWrite(h.Request.bytes())
	a, err := w.readResponse(c, h.Request) //nolint:bodyclose // it is read whole, or the connection is closed
	if err != nil {
		return false, err
	}
	b, process, err := readWhole(a, maxHandshake, h.Identify)
	r.Guard.onHead(a.StatusCode, a.Header)
	if err != nil {
		return false, err
	}
	c.shaken, c.process, c.greeting = true, process, b
	return framed(a) && !a.Close && w.complete() && a.StatusCode == http.StatusOK, nil
}

// leadsTo reports whether the connection leads to a process, as far as its handshake tells.
func (c *conn) leadsTo(process string) bool {
	return c.process == "" || c.process == process
}

// repeatsHandshake reports whether a body is that of the response to the handshake, which came once more.
func (c *conn) repeatsHandshake(b []byte) bool {
	return len(c.greeting) > 0 && bytes.Equal(b, c.greeting)
}
