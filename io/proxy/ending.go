package proxy

// This file defines how responses to callers of HTTP/1.0 end. Without a length, their end is that of the
// connection, so the connection of one that is not whole has to be reset.

import (
	"context"
	"net"
	"net/http"
)

type connKey struct{}

// ConnContext is the ConnContext of an http.Server that serves a Server.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// lingerer is a connection whose close can be made a reset, such as a *net.TCPConn.
type lingerer interface{ SetLinger(seconds int) error }

// ending resets the connection of a response that does not become whole, for whatever reason it closes. The
// zero value does nothing.
type ending struct {
	conn   lingerer // nil: the caller speaks HTTP/1.1, in which a response announces its end
	resets bool
}

func endingOf(r *http.Request) ending {
	if r.ProtoAtLeast(1, 1) {
		return ending{}
	}
	c, _ := r.Context().Value(connKey{}).(lingerer)
	return ending{conn: c}
}

// begin is called before the header of a response is written.
func (e *ending) begin(h http.Header) {
	if e.conn != nil && h.Get("Content-Length") == "" {
		e.resets = e.conn.SetLinger(0) == nil // a closed connection fails in the writes too
	}
}

// complete is called when the whole response was written. The error says that it was not sent.
func (e *ending) complete(w http.ResponseWriter) error {
	if !e.resets {
		return nil
	}
	if err := http.NewResponseController(w).Flush(); err != nil {
		return err
	}
	return e.conn.SetLinger(-1)
}
