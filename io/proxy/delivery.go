package proxy

// This file defines the delivery of a response to its caller: what is held of it, and what happens if the caller does
// not read.

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotspring/core/memory"
	"bergamotspring/core/relay"
	"bergamotspring/io/httpbody"
)

const (
	// maxBehind is how long writes to the caller may have delayed reading before a broken response counts as cut off by
	// the server. Servers wait for some seconds before they cut off.
	maxBehind = 2 * time.Second
	// caughtUp is how long a read waits, if all was read that the server had sent: more than a round trip, after which
	// a server that had to wait goes on.
	caughtUp = 100 * time.Millisecond
	// copyBuffer is the size in bytes of the buffer in which the rest of a long response is copied, smallCopyBuffer that
	// above the first threshold of memory.
	copyBuffer      = 32 << 10
	smallCopyBuffer = 4 << 10
	// receiveBuffer bounds the bytes that are received ahead above the first threshold. With 32 KiB or less, throughput
	// on a loopback, whose segments are as large, collapses.
	receiveBuffer = 64 << 10
	// requestBytes is what a request holds beside its bodies: the buffers of its two connections (4 KiB for reading each,
	// 6 KiB for writing to the caller), the headers, and the stacks of its goroutines. BenchmarkSlowReaders in io/edge
	// measures it together with the buffers of the network, which are the system's in a node.
	requestBytes = 32 << 10
	// maxChunk is the size in bytes of the largest part in which a buffered response is held and released.
	maxChunk = 64 << 10
)

var errEnded = errors.New("caller reads too slowly for the memory of this node")

// past is a deadline that ends reads and writes in progress.
var past = time.Unix(1, 0)

// ender calls a function at most once, and not after it was closed: a later request may use the connection. The zero
// value is ready to use.
type ender struct {
	mu            sync.Mutex
	ended, closed bool
}

func (e *ender) end(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.closed && !e.ended {
		e.ended = true
		f()
	}
}

// close reports whether the function was called.
func (e *ender) close() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	return e.ended
}

// ended reports whether a body was read to its end. A body that was broken off may have io.EOF as the cause of its
// error.
func ended(err error) bool { return err == io.EOF } //nolint:errorlint // see above

// delivery is the delivery of a request's response.
type delivery struct {
	out    http.ResponseWriter
	conn   lingerer // nil: unknown
	holder *memory.Holder
	ender  ender
	behind time.Duration // for which writes have kept the server waiting, see maxBehind
}

// newDelivery returns the delivery of the response to a request.
func newDelivery(q *request, r *http.Request) *delivery {
	c := memory.Responses
	if q.route.Streamed {
		c = memory.Streams
	}
	d := &delivery{out: q.out, holder: q.server.Memory.Open(c)}
	d.conn, _ = r.Context().Value(connKey{}).(lingerer)
	d.holder.Read(q.deadline, d.end)
	d.hold(requestBytes)
	return d
}

// end resets the connection to the caller.
func (d *delivery) end() {
	d.ender.end(func() {
		if d.conn != nil {
			_ = d.conn.SetLinger(0) // a closed connection fails in the writes too
		}
		_ = http.NewResponseController(d.out).SetWriteDeadline(past)
	})
}

// complete says that the whole response was written. An error says that the caller may not have it.
func (d *delivery) complete() error {
	if d.ender.close() {
		return errEnded
	}
	return nil
}

// close releases what is held.
func (d *delivery) close() {
	d.ender.close()
	d.holder.Close()
}

// hold counts n more bytes, or fewer.
func (d *delivery) hold(n int) { memory.EndAll(d.holder.Add(int64(n))) }

// write writes to the caller, and flushes if flush is set. It blocks while the caller does not read.
func (d *delivery) write(b []byte, flush bool) error {
	d.holder.Begin()
	_, err := d.out.Write(b)
	if err == nil && flush {
		err = http.NewResponseController(d.out).Flush()
	}
	d.behind += d.holder.Delivered(len(b))
	if err != nil && d.ender.close() {
		return errEnded
	}
	return err
}

// read reads from a server.
func (d *delivery) read(r io.Reader, p []byte) (int, error) {
	t := time.Now()
	n, err := r.Read(p)
	if time.Since(t) >= caughtUp {
		d.behind = 0
	}
	return n, err
}

// cutOff reports whether a server that broke off its response did so because it was not read, and logs it.
func (q *request) cutOff(t *relay.Server) bool {
	if q.delivery.behind < maxBehind {
		return false
	}
	q.log("cut_off", zap.String("server", t.ID), zap.Duration("unread", q.delivery.behind))
	return true
}

// buffer buffers the first part of a response, as far as memory allows.
func (q *request) buffer(a *attempt) {
	a.delivery = q.delivery
	for size := firstChunk; ; size = min(maxChunk, 2*size) {
		left := int(q.server.Memory.Buffer()) - a.buffered
		if left <= 0 {
			a.hasMore = true
			return
		}
		if n := a.response.Length - int64(a.buffered); a.response.Length >= 0 {
			size = min(size, int(max(1, n)))
		}
		p := make([]byte, min(size, left))
		q.delivery.hold(len(p))
		n, err := httpbody.Fill(a.response.Body, p)
		a.chunks = append(a.chunks, p[:n])
		a.buffered += n
		if ended(err) {
			return
		}
		if err != nil {
			a.err = err
			a.close()
			return
		}
	}
}

// forwardBuffered sends the buffered part of a response to the caller, and releases it.
func (q *request) forwardBuffered(a *attempt) error {
	for len(a.chunks) > 0 {
		if err := q.delivery.write(a.chunks[0], false); err != nil {
			return err
		}
		a.dropChunk()
	}
	return nil
}

// dropChunk releases the first buffered chunk.
func (a *attempt) dropChunk() {
	a.delivery.hold(-cap(a.chunks[0]))
	a.chunks[0] = nil
	a.chunks = a.chunks[1:]
}

// forwardRest sends the rest of a long response to the caller, and reads no more of it than the caller does.
func (q *request) forwardRest(a *attempt) (fromServer, err error) {
	d := q.delivery
	d.holder.SetSource(a.response.Unread)
	defer d.holder.SetSource(nil)
	p := make([]byte, copyBuffer)
	d.hold(len(p))
	defer func() { d.hold(-len(p)) }()
	for {
		if len(p) == copyBuffer && q.server.Memory.Level() > memory.Normal {
			a.response.LimitUnread(receiveBuffer)
			d.hold(smallCopyBuffer - len(p))
			p = make([]byte, smallCopyBuffer)
		}
		n, err := d.read(a.response.Body, p)
		if n > 0 {
			if e := d.write(p[:n], false); e != nil {
				return nil, e
			}
		}
		if ended(err) {
			return nil, nil
		}
		if err != nil {
			return err, err
		}
	}
}
