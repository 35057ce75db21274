package proxy

// This file defines how an event stream is forwarded: whole events only, each without
// delay.

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"bergamotspring/io/exchange"
)

// maxEvent is the largest event in bytes.
const maxEvent = 1 << 20

var errEventSize = errors.New("event too large")

// callerError reports that writing to the caller failed.
type callerError struct {
	Cause error
}

func (e *callerError) Error() string { return "writing to caller: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *callerError) Unwrap() error { return e.Cause }

// stream is the event stream to a caller, which may come from several servers in turn.
type stream struct {
	request    *request
	lastEvent  string // id of the last event that was sent to the caller
	firstEvent time.Time
	buffer     []byte
	stallTimer *time.Timer // cancels a stalled attempt; nil if it cannot be resumed elsewhere
}

// copy forwards events until the response is complete. Only whole events are forwarded; if
// the response breaks off, a truncated event is dropped, so that a resumed stream can send
// it whole. What follows the last event of a complete response is forwarded as it is.
// onEvents is called before each read that has an event with a field is forwarded, with the
// number of these reads.
func (s *stream) copy(r *exchange.Response, onEvents func(n int)) error {
	s.buffer = s.buffer[:0]
	n := 0
	p := make([]byte, 4<<10)
	for {
		k, err := r.Body.Read(p)
		s.buffer = append(s.buffer, p[:k]...)
		if end := wholeEvents(s.buffer); end > 0 {
			if hasField(s.buffer[:end]) {
				n++
				onEvents(n)
				s.resetStallTimer()
			}
			if e := s.write(r, s.buffer[:end]); e != nil {
				return e
			}
			s.buffer = append(s.buffer[:0], s.buffer[end:]...)
		}
		if len(s.buffer) > maxEvent {
			return errEventSize
		}
		if err == io.EOF {
			return s.finish(r)
		}
		if err != nil {
			return err
		}
	}
}

// resetStallTimer gives the server the time for the next event.
func (s *stream) resetStallTimer() {
	if s.stallTimer != nil {
		s.stallTimer.Reset(max(minStallTimeout, eventGapFactor*s.request.route.EventGap))
	}
}

// finish forwards what follows the last event of a complete response.
func (s *stream) finish(r *exchange.Response) error {
	if len(s.buffer) > 0 || !s.request.headerSent {
		return s.write(r, s.buffer)
	}
	return nil
}

// write forwards whole events, after the response header if that was not yet written.
func (s *stream) write(r *exchange.Response, b []byte) error {
	q := s.request
	if !q.headerSent {
		h := q.out.Header()
		for k, l := range q.server.Protocol.ResponseHeader(r.Header) {
			h[k] = l
		}
		q.headerSent = true
		s.firstEvent = time.Now()
		q.out.WriteHeader(r.Status)
	}
	if _, err := q.out.Write(b); err != nil {
		return &callerError{Cause: err}
	}
	if err := http.NewResponseController(q.out).Flush(); err != nil {
		return &callerError{Cause: err}
	}
	s.record(b)
	return nil
}

// record counts events and saves the id of the last one.
func (s *stream) record(b []byte) {
	s.request.events += bytes.Count(b, emptyLine) + bytes.Count(b, emptyLineCR)
	for line := range bytes.Lines(b) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			s.lastEvent = string(bytes.TrimSpace(id))
		}
	}
}

// hasField reports whether one of the events in b has a field. Comments, which a server may send
// while it makes no progress, have none.
func hasField(b []byte) bool {
	for line := range bytes.Lines(b) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}

// emptyLine and emptyLineCR end an event, after a line that ends with LF or CR LF.
var emptyLine, emptyLineCR = []byte("\n\n"), []byte("\n\r\n")

// wholeEvents returns the length of the complete events at the start of b.
func wholeEvents(b []byte) int {
	n := 0
	for _, end := range [][]byte{emptyLine, emptyLineCR} {
		if i := bytes.LastIndex(b, end); i >= 0 {
			n = max(n, i+len(end))
		}
	}
	return n
}
