// Package httpbody reads the bodies of HTTP messages: responses, requests, and what the store sends.
//
// A body may end before it is complete, and the layers that read it (chunks, lengths, buffers, limits) each report
// that once. The readers of net/http return io.EOF after some errors, and io.ReadFull drops an error that comes with the
// last bytes that it asked for. Bodies are therefore read through this package only: Reader knows how a body ended,
// and Fill and ReadAll lose no error.
package httpbody

import (
	"errors"
	"fmt"
	"io"
)

// ErrClosed is the end of a body that was closed before it was read to its end.
var ErrClosed = errors.New("httpbody: closed before its end")

// TooLongError reports a body that is longer than its reader allows.
type TooLongError struct {
	Limit int64 // in bytes
}

func (e *TooLongError) Error() string { return fmt.Sprintf("httpbody: longer than %d bytes", e.Limit) }

// Reader reads a body and keeps its end. Source must be set. It is not safe for concurrent use.
//
// Invariant: once a read has returned an error, all later ones return the same. No read returns bytes together with an
// error.
type Reader struct {
	// Source returns the body. Its first error other than nil is the end of the body, and io.EOF means that it is complete.
	Source io.Reader
	// OnEnd, if set, is called once with the end of the body, before a read returns it. What Source reads from is in use until
	// then.
	OnEnd func(end error)

	last error // of Source; it is the end once the bytes that came with it were returned
	end  error
	read int64
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if r.last == nil && r.end == nil {
		var n int
		n, r.last = r.Source.Read(p)
		r.read += int64(n)
		if n > 0 {
			return n, nil
		}
	}
	if r.end == nil && r.last != nil {
		r.finish(r.last)
	}
	return 0, r.end
}

func (r *Reader) finish(end error) {
	r.end = end
	if r.OnEnd != nil {
		r.OnEnd(end)
	}
}

// Abandon ends a body that is not read on, with ErrClosed unless all of it was read.
func (r *Reader) Abandon() {
	switch {
	case r.end != nil:
	case r.last != nil:
		r.finish(r.last)
	default:
		r.finish(ErrClosed)
	}
}

// End returns how the body ended: nil if it has not, io.EOF if it is complete, and otherwise why it is not.
func (r *Reader) End() error { return r.end }

// Complete reports whether the whole body was read.
func (r *Reader) Complete() bool { return r.end == io.EOF } //nolint:errorlint // a broken body may have io.EOF as its cause

// Length returns how many bytes were read.
func (r *Reader) Length() int64 { return r.read }

// Fill reads until p is full or the body ends, and returns the number of bytes read. Unlike that of io.ReadFull, its
// error is the end of the body as r reports it: io.EOF if that is complete, also if only a part of p was filled.
func Fill(r io.Reader, p []byte) (int, error) {
	n := 0
	for n < len(p) {
		k, err := r.Read(p[n:])
		n += k
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// firstBuffer is the size in bytes of the buffer of a body whose length is not known; it doubles as the body grows.
const firstBuffer = 4 << 10

// ReadAll reads a body to its end. The length is that which its message states, -1 if none. The error is nil only if the
// body is complete. It is a *TooLongError if the body is longer than limit bytes.
func ReadAll(r io.Reader, length, limit int64) ([]byte, error) {
	if length > limit {
		return nil, &TooLongError{Limit: limit}
	}
	size := length + 1 // so that the end is read with the last bytes
	if length < 0 {
		size = firstBuffer
	}
	b := make([]byte, 0, size)
	for {
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case int64(len(b)) > limit:
			return nil, &TooLongError{Limit: limit}
		case err == io.EOF: // a broken body may have it as its cause
			return b, nil
		case err != nil:
			return nil, err
		}
		if len(b) == cap(b) {
			b = append(make([]byte, 0, 2*cap(b)), b...)
		}
	}
}
