package exchange

// This file defines how a pool tells the processes apart that listen at an address one after the other. A connection
// ends with the process that accepted it, so what is known of a connection holds for all requests on it.

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
)

const (
	// maxHandshake bounds the body of the response to a handshake in bytes.
	maxHandshake = 64 << 10
	// maxHandshakes bounds the handshakes for one request. A server may close a connection after any response.
	maxHandshakes = 3
)

// ErrUnproven says that a request was not sent, as the connection may lead to another process than Request.Same.
var ErrUnproven = errors.New("exchange: maybe another process than before")

var errNoHandshake = errors.New("server closes connections after the handshake")

// Handshake is sent on a new connection before the request that it belongs to.
type Handshake struct {
	Request *Request // without an Echo header
	// Identify returns the name of the process that sent the response, "" if the response does not tell. With an
	// error, the request is not sent.
	Identify func(status int, b []byte) (process string, err error)
}

// OtherProcessError reports that another process than Request.Process listens at the address.
type OtherProcessError struct {
	Process string // empty: unknown
}

func (e *OtherProcessError) Error() string { return "exchange: other process: " + e.Process }

// identity says which process a connection leads to. The zero value is unknown.
type identity struct {
	name string
	told bool // by the process itself; otherwise the pool has chosen the name
}

func (i identity) known() bool { return i.name != "" }

// check returns why a request must not be sent to the process, nil if it may.
func (i identity) check(r *Request) error {
	if i.told && i.name != r.Process {
		return &OtherProcessError{Process: i.name}
	}
	if r.Same != "" && i.name != r.Same {
		return ErrUnproven
	}
	return nil
}

// getVerified returns a connection for a request like get. If the request has a handshake, it leads to the right process.
func (p *Pool) getVerified(ctx context.Context, r *Request) (*conn, error) {
	for range maxHandshakes {
		c, err := p.get(ctx, r)
		if err != nil {
			return nil, err
		}
		c.echo, c.interchangeable = r.Echo, r.Interchangeable
		if r.Handshake == nil {
			return c, nil
		}
		reusable := true
		if !c.identity.known() {
			reusable, err = p.identify(ctx, c, r)
		}
		if err == nil {
			err = c.identity.check(r)
		}
		if reusable && err == nil {
			p.keepWitness(ctx, c)
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

// identify finds out which process a new connection leads to: that of the witness, if it still responds, or the one that
// the handshake tells. It reports whether the connection can be used afterwards.
func (p *Pool) identify(ctx context.Context, c *conn, r *Request) (reusable bool, err error) {
	if w := p.takeWitness(c.address); w != nil && w.responds(ctx, r) {
		c.identity = w.identity
		return true, nil
	}
	reusable, name, err := c.shakeHands(ctx, r)
	if err != nil {
		return false, err
	}
	c.identity = identity{name: name, told: true}
	if name == "" {
		c.identity = identity{name: fmt.Sprint("unnamed ", p.unnamed.Add(1))}
	}
	return reusable, nil
}

// shakeHands sends the handshake of a request, and returns the name in the response. It reports whether the connection
// can be used afterwards.
func (c *conn) shakeHands(ctx context.Context, r *Request) (reusable bool, name string, err error) {
	h := r.Handshake
	stop := context.AfterFunc(ctx, c.abort)
	defer stop()
	w := c.startWrite(h.Request.bytes(), nil)
	a, err := w.readResponse(c, h.Request) //nolint:bodyclose // it is read whole, or the connection is closed
	if err != nil {
		return false, "", err
	}
	b, name, err := readWhole(a, c.body(a, h.Request, w), nil, maxHandshake, h.Identify)
	r.Guard.onHead(a.StatusCode, a.Header)
	if err != nil {
		return false, "", err
	}
	c.greeting = b
	return framed(a) && !a.Close && w.complete() && a.StatusCode == http.StatusOK, name, nil
}

// repeatsHandshake reports whether a body is that of the response to the handshake, which came once more.
func (c *conn) repeatsHandshake(b []byte) bool {
	return len(c.greeting) > 0 && bytes.Equal(b, c.greeting)
}
