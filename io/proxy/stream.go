package proxy

// This file defines how a stream of events is relayed: whole events only, each at once.

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"bergamotspring/io/exchange"
)

// maxEvent bounds one event in bytes.
const maxEvent = 1 << 20

var errEventSize = errors.New("event too large")

// callerError reports that the caller's connection failed.
type callerError struct {
	Cause error
}

func (e *callerError) Error() string { return "caller: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *callerError) Unwrap() error { return e.Cause }

// stream is the answer to a caller, which may come from several servers in turn.
type stream struct {
	request *request
	last    string // id of the last event that the caller has
	first   time.Time
	buffer  []byte
	stall   *time.Timer // leaves a silent server; nil: it is waited for
}

// copy relays events until the answer is complete. Only whole events are passed on; an
// event that is cut off is dropped. Started is called with the first event.
func (s *stream) copy(r *exchange.Response, started func()) error {
	s.buffer = s.buffer[:0]
	n := 0
	p := make([]byte, 4<<10)
	for {
		k, err := r.Body.Read(p)
		s.buffer = append(s.buffer, p[:k]...)
		if end := wholeEvents(s.buffer); end > 0 {
			if n == 0 {
				started()
			}
			n++
			if s.stall != nil {
				s.stall.Reset(max(leastPatience, gapPatience*s.request.route.EventGap))
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

// finish passes on what follows the last event of a complete answer.
func (s *stream) finish(r *exchange.Response) error {
	if len(s.buffer) > 0 || !s.request.started {
		return s.write(r, s.buffer)
	}
	return nil
}

// write passes whole events on, after the head of the answer.
func (s *stream) write(r *exchange.Response, b []byte) error {
	q := s.request
	if !q.started {
		h := q.out.Header()
		for k, l := range q.server.Protocol.Answer(r.Header) {
			h[k] = l
		}
		q.started = true
		s.first = time.Now()
		q.out.WriteHeader(r.Status)
	}
	if _, err := q.out.Write(b); err != nil {
		return &callerError{Cause: err}
	}
	if err := http.NewResponseController(q.out).Flush(); err != nil {
		return &callerError{Cause: err}
	}
	s.note(b)
	return nil
}

// note counts events and keeps the id of the last one.
func (s *stream) note(b []byte) {
	s.request.events += bytes.Count(b, []byte("\n\n"))
	for line := range bytes.Lines(b) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			s.last = string(bytes.TrimSpace(id))
		}
	}
}

// wholeEvents returns the length of the whole events at the start of b.
func wholeEvents(b []byte) int {
	if n := bytes.LastIndex(b, []byte("\n\n")); n >= 0 {
		return n + 2
	}
	return 0
}
