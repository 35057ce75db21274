package proxy

// This file defines how an event stream is forwarded: whole events only, each without
// delay.

import (
	"errors"
	"io"
	"net/http"
	"time"

	"bergamotspring/io/exchange"
)

// maxEvent is the largest event in bytes.
const maxEvent = 1 << 20

var (
	errEventSize   = errors.New("event too large")
	errInsideEvent = errors.New("ended inside an event")
	errOrder       = errors.New("event does not follow the last one")
	errResponse    = errors.New("another response inside the stream")
	errNoEvent     = errors.New("ended before its first event")
)

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
	order      eventOrder
	started    bool // an event with a field was received, here or, as the caller says, by an earlier request
	joined     bool // the next event is the first of a server that goes on after another one
	firstEvent time.Time
	buffer     []byte
	stallTimer *time.Timer // cancels a stalled attempt; nil if it cannot be resumed elsewhere
}

// newStream returns the stream of a request. On a route whose streams may be resumed, it goes on after the event that
// its caller has. Whether ids skip numbers is not known then.
func newStream(q *request) *stream {
	if !q.route.Resumable || q.meta.LastEvent == "" {
		return &stream{request: q}
	}
	return &stream{request: q, order: eventOrder{last: q.meta.LastEvent, skips: true}, started: true}
}

// copy forwards events until the response is complete. Only whole events are forwarded; if
// the response breaks off, a truncated event is dropped, so that a resumed stream can send
// it whole. A response that ends inside an event has broken off, whatever its framing; so has one with
// an event that does not follow the last one, of this server or an earlier one.
// onEvents is called before each read that has an event with a field is forwarded, with the
// number of these reads.
func (s *stream) copy(r *exchange.Response, onEvents func(n int)) error {
	s.buffer = s.buffer[:0]
	s.joined = s.started
	n := 0
	p := make([]byte, 4<<10)
	for {
		k, err := r.Body.Read(p)
		s.buffer = append(s.buffer, p[:k]...)
		if whole := wholeEvents(s.buffer); whole > 0 {
			end, wrong := s.follow(s.buffer[:whole])
			if hasField(s.buffer[:end]) {
				n++
				onEvents(n)
				s.resetStallTimer()
			}
			if end > 0 {
				if e := s.write(r, s.buffer[:end]); e != nil {
					return e
				}
			}
			if wrong != nil {
				return wrong
			}
			s.buffer = append(s.buffer[:0], s.buffer[end:]...)
		}
		if len(s.buffer) > maxEvent {
			return errEventSize
		}
		if err == io.EOF {
			return s.finish(r, n == 0)
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

// finish ends the stream with the response, of which what follows the last event is in the buffer. A response
// without events has broken off if it has neither a length nor chunks, or goes on after another server and does not
// say that it is an event stream.
func (s *stream) finish(r *exchange.Response, empty bool) error {
	switch {
	case insideEvent(s.buffer):
		return errInsideEvent
	case empty && (!r.Framed || s.joined && r.Header.Get("Content-Type") == ""):
		return errNoEvent
	}
	if len(s.buffer) > 0 || !s.request.headerSent {
		if err := s.write(r, s.buffer); err != nil {
			return err
		}
	}
	if err := s.request.ending.complete(s.request.out); err != nil {
		return &callerError{Cause: err}
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
		q.ending.begin(h)
		s.firstEvent = time.Now()
		q.out.WriteHeader(r.Status)
	}
	if _, err := q.out.Write(b); err != nil {
		return &callerError{Cause: err}
	}
	if err := http.NewResponseController(q.out).Flush(); err != nil {
		return &callerError{Cause: err}
	}
	return nil
}

// follow counts whole events and follows their ids. It returns the length of the events before the first one
// that does not follow the one before it or belongs to another response, and an error if there is one.
func (s *stream) follow(b []byte) (int, error) {
	event := 0 // where the event of the line begins
	for n := 0; n < len(b); {
		line, k := cutLine(b[n:])
		if n += k; len(line) > 0 {
			continue
		}
		if x := b[event:n]; hasField(x) {
			if holdsResponse(x, s.request.server.Protocol.Echo) {
				return event, errResponse
			}
			id := eventID(x)
			if (id != "" || s.joined) && !s.order.next(id, s.joined) {
				return event, errOrder
			}
			s.started, s.joined = true, false
		}
		s.request.events++
		event = n
	}
	return event, nil
}
