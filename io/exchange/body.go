package exchange

// This file defines the body of a response, at whose end the exchange ends.

import (
	"context"
	"io"
	"time"
)

const (
	// joinWait is how long the end of a body that ends inside the head of a response is delayed. A sound body hardly ever
	// ends so.
	joinWait = 200 * time.Millisecond
	// maxJoined is how much of what follows such a body is looked at, in bytes.
	maxJoined = readBuffer / 2
)

// body is a response body that returns the connection to the pool at its end.
type body struct {
	io.ReadCloser
	cut     CutResponse // as it is reported if the body is cut off
	conn    *conn
	request *writing
	stop    func() bool
	reuse   bool
	framed  bool // see Response
	done    bool
	left    int64 // bytes still to be read; -1 if unknown
	scan    bodyScan
}

// Read reads the body. An error other than io.EOF means that it is not complete.
func (b *body) Read(p []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}
	// The last bytes of a body are read through the buffer of the connection, which then has what follows them.
	if b.left >= readBuffer && int64(len(p)) >= b.left {
		p = p[:b.left-1]
	}
	n, err := b.ReadCloser.Read(p)
	b.cut.Length += int64(n)
	if b.left > 0 {
		b.left -= int64(n)
	}
	if err == io.EOF && !b.framed && b.request.failed() {
		err = errReset
	}
	if b.scan.found(p[:n]) || err == io.EOF && b.joins() {
		n, err = 0, errJoinedBody
	}
	if err == nil {
		return n, nil
	}
	if err == io.EOF {
		b.end(nil)
		return n, io.EOF
	}
	if b.cut.Cause = err; !b.conn.aborted.Load() {
		b.conn.pool.reportCut(b.cut)
	}
	b.end(err)
	return n, &BrokenError{Cause: err}
}

// joins reports whether the body has gone over into another response whose head goes on after the end of the body. If it
// ends inside a head, the rest of that may come for joinWait.
func (b *body) joins() bool {
	if b.scan.joins(b.conn.buffered()) {
		return true
	}
	if !b.scan.endsInHead() {
		return false
	}
	_ = b.conn.SetReadDeadline(time.Now().Add(joinWait)) // a closed connection fails in the reads too
	defer func() { _ = b.conn.SetReadDeadline(time.Time{}) }()
	for n := b.conn.in.Buffered(); n < maxJoined; n = b.conn.in.Buffered() {
		if _, err := b.conn.in.Peek(n + 1); err != nil {
			return false
		}
		if b.scan.joins(b.conn.buffered()) {
			return true
		}
	}
	return false
}

// Close ends the exchange. If the body was not read to its end, the connection is closed
// too.
func (b *body) Close() error {
	if !b.done {
		b.end(context.Canceled)
	}
	return nil
}

func (b *body) end(err error) {
	b.done = true
	active := b.stop()
	if err == nil && b.conn.in.Buffered() > 0 {
		b.conn.pool.report(ForeignResponse{Address: b.conn.address})
	}
	if err == nil && active && b.reuse && b.request.complete() && b.conn.reusable() {
		b.conn.pool.put(b.conn)
		return
	}
	b.conn.close()
}
