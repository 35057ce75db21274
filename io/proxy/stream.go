package proxy

// This file defines how an event stream is forwarded: whole events only, each without
// delay.

import (
	"errors"
	"time"

	"bergamotspring/io/exchange"
)

// maxEvent is the largest event in bytes.
const maxEvent = 1 << 20

// streamBuffer is the size in bytes of the buffer into which a stream is read.
const streamBuffer = 4 << 10

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
	scanned    int         // bytes of the buffer that end no event, see wholeEventsFrom
	stallTimer *time.Timer // cancels a stalled attempt; nil if it cannot be resumed elsewhere
	stallAt    time.Time   // when it does
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
	d := s.request.delivery
	d.holder.SetSource(r.Unread)
	defer d.holder.SetSource(nil)
	d.behind = 0
	s.buffer, s.scanned = s.buffer[:0], 0
	s.joined = s.started
	n := 0
	p := make([]byte, streamBuffer)
	d.hold(len(p))
	defer d.hold(-len(p))
	for {
		k, err := d.read(r.Body, p)
		s.keep(append(s.buffer, p[:k]...))
		whole, next := wholeEventsFrom(s.buffer, s.scanned)
		s.scanned = max(0, next-whole)
		if whole > 0 {
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
			s.keep(s.rest(end))
		}
		if len(s.buffer) > maxEvent {
			return errEventSize
		}
		if ended(err) {
			return s.finish(r, n == 0)
		}
		if err != nil {
			return err
		}
	}
}

// keep makes b the buffer.
func (s *stream) keep(b []byte) {
	if n := cap(b) - cap(s.buffer); n != 0 {
		s.request.delivery.hold(n)
	}
	s.buffer = b
}

// rest returns the buffer without its first n bytes. A large one is not kept for a few bytes.
func (s *stream) rest(n int) []byte {
	if rest := s.buffer[n:]; cap(s.buffer) > maxChunk && len(rest) <= streamBuffer {
		return append(make([]byte, 0, streamBuffer), rest...)
	}
	return append(s.buffer[:0], s.buffer[n:]...)
}

// startStallTimer lets the server have d for its first event.
func (s *stream) startStallTimer(d time.Duration, cancel func()) {
	s.stallTimer, s.stallAt = time.AfterFunc(d, cancel), time.Now().Add(d)
}

// resetStallTimer gives the server the time for the next event.
func (s *stream) resetStallTimer() {
	s.setStallTimer(max(minStallTimeout, eventGapFactor*s.request.route.EventGap))
}

func (s *stream) setStallTimer(d time.Duration) {
	if s.stallTimer != nil {
		s.stallTimer.Reset(d)
		s.stallAt = time.Now().Add(d)
	}
}

// pauseStallTimer stops the time of the server until the function that it returns is called: a caller that does
// not read is no stall of the server.
func (s *stream) pauseStallTimer() (goOn func()) {
	if s.stallTimer == nil {
		return func() {}
	}
	left := time.Until(s.stallAt)
	s.stallTimer.Stop()
	return func() { s.setStallTimer(max(0, left)) }
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
	return s.request.delivery.complete()
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
	defer s.pauseStallTimer()()
	if err := q.delivery.write(b, true); err != nil {
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
