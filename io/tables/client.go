// Package tables holds the clients of the table service and of the platform's VM list, and
// the group commit of claims.
//
// This file defines the exchange that all requests share: JSON over HTTP/1.1,
// with the timeout that detects a silent connection.
package tables

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"bergamotspring/io/httpbody"
)

const (
	// minProgressTimeout is how long a connection may make no progress, unless the service
	// is slow.
	minProgressTimeout = 1500 * time.Millisecond
	// maxProgressTimeout bounds how far a slow service raises that time.
	maxProgressTimeout = 5 * time.Second
	// progressTimeoutFactor is the time allowed relative to that of the last response.
	progressTimeoutFactor = 3
	// idleConnTimeout is how long an idle connection is kept: less than the usual keep-alive
	// of servers, so that a server rarely closes a connection just as a request is sent on it.
	idleConnTimeout = 20 * time.Second
	// defaultMaxResponseBytes is the default maximum size of a response.
	defaultMaxResponseBytes = 64 << 20
	// maxHead bounds the head of a response, in bytes.
	maxHead = 64 << 10
)

// Client talks to the table service and the VM list. Table or List must be set
// before first use; the other fields may stay zero. It is safe for concurrent use.
type Client struct {
	Table            string      // base URL of the table service
	List             string      // base URL of the VM list
	Token            string      // bearer token, empty: none
	TLS              *tls.Config // for https URLs, nil: the standard library's defaults
	MaxResponseBytes int64       // maximum size of a response, 0: 64 MiB

	// Dial opens connections, nil: a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	once sync.Once
	http *http.Client

	mu              sync.Mutex
	progressTimeout time.Duration // adapted to the last responses; at least minProgressTimeout applies
}

// SilentError reports a connection that made no progress within After.
type SilentError struct {
	After time.Duration
}

func (e *SilentError) Error() string {
	return "tables: no progress on the connection for " + e.After.String()
}

// StatusError reports a response whose status the protocol does not define.
type StatusError struct {
	Status int
	Body   string // its first bytes
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("tables: unexpected status %d: %s", e.Status, e.Body)
}

// TooLargeError reports a response of more than Limit bytes.
type TooLargeError struct {
	Limit int64
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("tables: response exceeds %d bytes", e.Limit)
}

// response is the result of one exchange.
type response struct {
	status int
	body   []byte
	sent   bool // a connection was obtained, so bytes may have gone out
	reused bool // on a connection that had carried earlier requests
}

// client returns the HTTP client, which the first call builds. HTTP/2 is off: its requests
// share one connection, so a silent one would delay all of them.
func (c *Client) client() *http.Client {
	c.once.Do(func() {
		d := c.Dial
		if d == nil {
			d = (&net.Dialer{Timeout: minProgressTimeout}).DialContext
		}
		t := &http.Transport{
			DialContext: d, TLSClientConfig: c.TLS, TLSHandshakeTimeout: minProgressTimeout,
			MaxIdleConnsPerHost: 4, IdleConnTimeout: idleConnTimeout, DisableCompression: true,
			MaxResponseHeaderBytes: maxHead,
		}
		c.http = &http.Client{
			Transport:     t,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}
	})
	return c.http
}

// Close closes the idle connections.
func (c *Client) Close() { c.client().CloseIdleConnections() }

func (c *Client) currentTimeout() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(c.progressTimeout, minProgressTimeout)
}

// adaptTimeout adapts the time allowed without progress. A new connection without a
// response means that the service is slow or down, so waiting longer helps; on a reused
// one, it may be just this connection that is silent.
func (c *Client) adaptTimeout(took time.Duration, reused bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.progressTimeout = min(progressTimeoutFactor*took, maxProgressTimeout)
		return
	}
	if _, ok := errors.AsType[*SilentError](err); ok && !reused {
		c.progressTimeout = min(2*max(c.progressTimeout, minProgressTimeout), maxProgressTimeout)
	}
}

// exchange sends one request and reads the whole response. It never sends a request with a
// body twice: net/http resends one only if GetBody is set.
func (c *Client) exchange(ctx context.Context, method, url string, body []byte) (response, error) {
	var a response
	limit := c.currentTimeout()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w := time.AfterFunc(limit, func() { cancel(&SilentError{After: limit}) })
	defer w.Stop()
	progress := func() { w.Reset(limit) }
	q, err := c.request(withConnTrace(ctx, &a), method, url, body, progress)
	if err != nil {
		return a, err
	}
	began := time.Now()
	err = c.receive(q, &a, progress)
	if err != nil && ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	c.adaptTimeout(time.Since(began), a.reused, err)
	if err != nil {
		// Other idle connections may have gone silent as well.
		c.client().CloseIdleConnections()
	}
	return a, err
}

func withConnTrace(ctx context.Context, a *response) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) { a.sent, a.reused = true, i.Reused },
	})
}

func (c *Client) request(ctx context.Context, method, url string, body []byte, progress func()) (*http.Request, error) {
	var r io.Reader
	if body != nil {
		r = &progressReader{r: bytes.NewReader(body), progress: progress}
	}
	q, err := http.NewRequestWithContext(ctx, method, url, r)
	if err != nil {
		return nil, err
	}
	if body != nil {
		q.ContentLength = int64(len(body))
		q.Header.Set("Content-Type", "application/json")
	}
	if c.Token != "" {
		q.Header.Set("Authorization", "Bearer "+c.Token)
	}
	return q, nil
}

func (c *Client) receive(q *http.Request, a *response, progress func()) error {
	s, err := c.client().Do(q)
	if err != nil {
		return err
	}
	defer s.Body.Close() //nolint:errcheck // the body was read or is discarded
	progress()
	limit := c.MaxResponseBytes
	if limit == 0 {
		limit = defaultMaxResponseBytes
	}
	a.status = s.StatusCode
	a.body, err = httpbody.ReadAll(&httpbody.Reader{Source: &progressReader{r: s.Body, progress: progress}}, s.ContentLength, limit)
	if e, ok := errors.AsType[*httpbody.TooLongError](err); ok {
		return &TooLargeError{Limit: e.Limit}
	}
	return err
}

// statusError describes a response that the protocol does not define.
func statusError(a response) error {
	b := a.body
	if len(b) > 200 {
		b = b[:200]
	}
	return &StatusError{Status: a.status, Body: string(b)}
}

// progressReader reports progress with each read.
type progressReader struct {
	r        io.Reader
	progress func()
}

func (w *progressReader) Read(p []byte) (int, error) {
	w.progress()
	return w.r.Read(p)
}
