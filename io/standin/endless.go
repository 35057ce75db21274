package standin

// This file defines a server that sends bytes without end.

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Endless is a server in trouble: it answers each request with Start, and then repeats Part until
// the connection closes. The fields must be set before Serve.
type Endless struct {
	Start, Part string
	Gap         time.Duration // between writes
	Any         bool          // it answers anything that connects, not only requests
	// Taken counts the bytes that were read from connections of Count, Conns the connections.
	Taken, Conns atomic.Int64
}

// Count returns a dialer whose connections count what is read from them. What the server has sent
// says less, as it may run ahead of its reader.
func (e *Endless) Count(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: c, taken: &e.Taken}, nil
	}
}

type countedConn struct {
	net.Conn
	taken *atomic.Int64
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.taken.Add(int64(n))
	return n, err
}

// Serve serves the connections of a listener until it closes.
func (e *Endless) Serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go e.serve(c)
	}
}

func (e *Endless) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	e.Conns.Add(1)
	if !e.Any {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
	}
	part := strings.Repeat(e.Part, 1+4096/len(e.Part))
	for x := e.Start; ; x = part {
		if _, err := io.WriteString(c, x); err != nil {
			return
		}
		time.Sleep(e.Gap)
	}
}
