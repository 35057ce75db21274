package exchange

// This file defines the sending of a request, during which its response may come.

import (
	"net"
	"net/http"
)

// maxInline is the length in bytes up to which a request is written before its response is read: no server
// has to read that much before the buffers of a connection take the rest.
const maxInline = 64 << 10

// maxCopied is the length in bytes up to which a body is copied behind the head of its request.
const maxCopied = 4 << 10

// writing is a request that is being written. The other fields are valid when done is closed.
type writing struct {
	done chan struct{}
	n    int64 // bytes written
	err  error
}

// startWrite writes a request, a long one while its response is read: a server may respond before it has read it.
// A write that does not end by itself ends when the connection is closed.
// OnEnd is called then, if it is set.
func (c *conn) startWrite(b net.Buffers, onEnd func()) *writing {
	w := &writing{done: make(chan struct{})}
	size := 0
	for _, x := range b {
		size += len(x)
	}
	write := func() {
		defer close(w.done)
		w.n, w.err = b.WriteTo(c.Conn)
		if onEnd != nil {
			onEnd()
		}
	}
	if size <= maxInline {
		write()
	} else {
		go write()
	}
	return w
}

// ended reports whether the writing has ended, and its error if it has.
func (w *writing) ended() (bool, error) {
	select {
	case <-w.done:
		return true, w.err
	default:
		return false, nil
	}
}

// readResponse reads the header of the response to r, unless r could not be written.
func (w *writing) readResponse(c *conn, r *Request) (*http.Response, error) {
	if _, err := w.ended(); err != nil {
		return nil, err
	}
	return c.readResponse(r)
}

// complete reports whether the whole request was written.
func (w *writing) complete() bool {
	ended, err := w.ended()
	return ended && err == nil
}

// failed waits until the writing has ended, and reports whether it failed. If the server reset the connection, the write
// may have got the error of it; a read then ends as if the server had closed the connection.
func (w *writing) failed() bool {
	<-w.done
	return w.err != nil
}

// failure returns the error of an exchange that ended with err, on a connection that is closed.
func (w *writing) failure(err error) error {
	<-w.done
	if w.n == 0 && w.err != nil {
		return &UnsentError{Cause: w.err}
	}
	return &BrokenError{Cause: err}
}
