package proxy

// This file defines how the body of a request is read, and for how long it is held.

import (
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"bergamotspring/core/memory"
	"bergamotspring/io/httpbody"
)

const (
	// firstChunk is the size in bytes of the buffer of a body without a length; it doubles as the body grows.
	firstChunk = 4 << 10
	// retryAfterMemory is the Retry-After of a body for which there is no memory: others are held for about the time
	// of a request.
	retryAfterMemory = time.Second
)

var errMemory = errors.New("no memory for the body")

// readBody reads the body of a request of at most limit bytes. If it returns false, it has sent an error response.
func (q *request) readBody(r *http.Request, limit int64) bool {
	q.delivery = newDelivery(q, r)
	q.bodyHolder = q.server.Memory.Open(memory.Bodies)
	q.bodyUses.Store(1)
	var e ender
	q.bodyHolder.Read(q.deadline, func() {
		e.end(func() { _ = http.NewResponseController(q.out).SetReadDeadline(past) }) // a closed connection fails in the reads too
	})
	b, err := q.readAll(r, limit)
	q.bodyHolder.Done()
	if e.close() {
		err = errMemory // the caller sent too slowly
	}
	q.body = b
	large, tooLarge := errors.AsType[*http.MaxBytesError](err)
	switch {
	case tooLarge:
		q.server.Log.Info("refused", zap.String("request", q.meta.ID), zap.String("reason", large.Error()))
		http.Error(q.out, "body too large", http.StatusRequestEntityTooLarge)
	case errors.Is(err, errMemory):
		q.out.Header().Set("Connection", "close") // the rest of the body is not read
		q.fail(errMemory.Error(), retryAfterMemory)
	case err != nil:
		panic(http.ErrAbortHandler) // the caller did not send the whole request
	}
	return err == nil
}

// readAll reads a body. One with a length is reserved before it is read, another as it grows.
func (q *request) readAll(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		q.out.Header().Set("Connection", "close")
		return nil, &http.MaxBytesError{Limit: limit}
	}
	in := &httpbody.Reader{Source: &upload{Reader: http.MaxBytesReader(q.out, r.Body, limit), holder: q.bodyHolder}}
	if n := r.ContentLength; n >= 0 {
		if !q.reserve(n) {
			return nil, errMemory
		}
		return httpbody.ReadAll(in, n, limit)
	}
	var b []byte
	for {
		if len(b) == cap(b) {
			n := max(firstChunk, cap(b))
			if !q.reserve(int64(n)) {
				return nil, errMemory
			}
			b = append(make([]byte, 0, cap(b)+n), b...)
		}
		n, err := in.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if ended(err) {
			return b, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// reserve decides whether the body may take n more bytes.
func (q *request) reserve(n int64) bool {
	ok, l := q.bodyHolder.Reserve(n)
	memory.EndAll(l)
	return ok
}

// upload reads a body and counts the progress of its caller.
type upload struct {
	io.Reader
	holder *memory.Holder
}

func (u *upload) Read(p []byte) (int, error) {
	u.holder.Begin()
	n, err := u.Reader.Read(p)
	u.holder.Delivered(n)
	return n, err
}

// dropBody releases the body, as the request is not sent again. It is held until a send in progress has ended.
func (q *request) dropBody() {
	if q.bodyDropped || q.bodyHolder == nil {
		return
	}
	if q.body != nil {
		q.suspect() // its fingerprint is needed later
	}
	q.bodyDropped, q.body = true, nil
	q.releaseBody()
}

// release releases all that the request holds, except for its body while a send reads it.
func (q *request) release() {
	q.dropBody()
	if q.delivery != nil {
		q.delivery.close()
	}
}

// releaseBody ends one use of the body.
func (q *request) releaseBody() {
	if q.bodyUses.Add(-1) == 0 {
		q.bodyHolder.Close()
	}
}
