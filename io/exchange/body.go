package exchange

// This file defines the body of a response: whether it is complete, and that its end is that of the exchange.

import (
	"errors"
	"io"
	"net/http"
	"time"

	"bergamotspring/io/httpbody"
)

const (
	// joinWait is how long the end of a body that ends inside the head of a response is delayed. A sound body hardly ever
	// ends so.
	joinWait = 200 * time.Millisecond
	// maxJoined is how much of what follows such a body is looked at, in bytes.
	maxJoined = readBuffer / 2
)

// body is the body of a response that is handed out. Its end is that of the exchange.
type body struct {
	*httpbody.Reader
}

// Close ends the exchange. If the body was not read to its end, the connection is closed too.
func (b body) Close() error {
	b.Abandon()
	return nil
}

// content is the body of a response as its connection delivers it, with the checks that its framing does not make. It is read
// through a httpbody.Reader only.
type content struct {
	io.Reader
	conn    *conn
	request *writing
	framed  bool  // see Response
	left    int64 // bytes still to be read; -1 if unknown
	scan    bodyScan
}

// body returns the body of the response to r, which was written by w. Its end is io.EOF if it is complete, and otherwise a
// *BrokenError.
func (c *conn) body(a *http.Response, r *Request, w *writing) *httpbody.Reader {
	b := &httpbody.Reader{Source: &content{
		Reader: a.Body, conn: c, request: w, framed: framed(a), left: a.ContentLength, scan: bodyScan{echo: r.Echo, seen: c.seen},
	}}
	b.OnEnd = func(end error) {
		if _, broken := errors.AsType[*BrokenError](end); broken && !c.aborted.Load() {
			c.pool.reportCut(CutResponse{Address: c.address, Target: r.Target, Echo: r.id(), Status: a.StatusCode, Length: b.Length(), Cause: end})
		}
	}
	return b
}

// Read implements io.Reader.
func (b *content) Read(p []byte) (int, error) {
	// The last bytes of a body are read through the buffer of the connection, which then has what follows them.
	if b.left >= readBuffer && int64(len(p)) >= b.left {
		p = p[:b.left-1]
	}
	n, err := b.Reader.Read(p)
	if b.left > 0 {
		b.left -= int64(n)
	}
	if err == io.EOF && !b.framed && b.request.failed() {
		err = errReset
	}
	if b.scan.found(p[:n]) || err == io.EOF && b.joins() {
		n, err = 0, errJoinedBody
	}
	if err == nil || err == io.EOF {
		return n, err
	}
	return n, &BrokenError{Cause: err}
}

// joins reports whether the body has gone over into another response whose head goes on after the end of the body. If it
// ends inside a head, the rest of that may come for joinWait.
func (b *content) joins() bool {
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
