package proxy

// This file defines how the events of a stream are found in its bytes, and how their ids are followed
// from one server to the next.

import (
	"bytes"
	"mime"
	"net/http"
	"strconv"
)

const eventStreamType = "text/event-stream"

// isEventStream reports whether a response may be an event stream: its type says so or is missing.
func isEventStream(h http.Header) bool {
	t := h.Get("Content-Type")
	m, _, err := mime.ParseMediaType(t)
	return t == "" || err == nil && m == eventStreamType
}

// cutLine returns the first line of b without its end, and its length with its end. A line ends with LF,
// CR LF or CR; the length is 0 if the end is missing.
func cutLine(b []byte) (line []byte, n int) {
	i := bytes.IndexAny(b, "\r\n")
	if i < 0 {
		return b, 0
	}
	n = i + 1
	if b[i] == '\r' && n < len(b) && b[n] == '\n' {
		n++
	}
	return b[:i], n
}

// wholeEvents returns the length of the complete events at the start of b. An event ends with an empty
// line.
func wholeEvents(b []byte) int {
	whole, _ := wholeEventsFrom(b, 0)
	return whole
}

// wholeEventsFrom is wholeEvents for bytes whose lines before from are known to end no event. Once more bytes were added
// to b, it need not look at those before next again.
func wholeEventsFrom(b []byte, from int) (whole, next int) {
	last := byte(0)
	if from > 0 {
		last = b[from-1]
	}
	next = from
	for n := from; n < len(b); last = b[n-1] {
		line, k := cutLine(b[n:])
		if k == 0 || last == '\n' && string(b[n:]) == "\r" {
			break // the LF of an empty line may be still to come
		}
		if n += k; len(line) == 0 {
			whole = n
		}
		if n < len(b) || b[n-1] != '\r' {
			next = n
		} // the LF of a line may be still to come too
	}
	return whole, next
}

// hasField reports whether one of the events in b has a field. Comments, which a server may send
// while it makes no progress, have none.
func hasField(b []byte) bool {
	for len(b) > 0 {
		line, n := cutLine(b)
		if len(line) > 0 && line[0] != ':' {
			return true
		}
		if n == 0 {
			return false
		}
		b = b[n:]
	}
	return false
}

// insideEvent reports whether a stream that ends with b, after its last whole event, ends inside another
// event or a line.
func insideEvent(b []byte) bool {
	return hasField(b) || len(b) > 0 && b[len(b)-1] != '\n' && b[len(b)-1] != '\r'
}

// eventOrder follows the ids of a stream's events, which increase.
type eventOrder struct {
	last  string // id of the last event; empty: none
	skips bool   // a server skipped numbers
}

// next reports whether an event with an id may follow the last one, and if so records the id. If joined is set,
// the event is the first of a server that goes on after another one: where no server skips numbers, its id must
// be the next number.
func (o *eventOrder) next(id string, joined bool) bool {
	last, errLast := strconv.ParseUint(o.last, 10, 64)
	n, err := strconv.ParseUint(id, 10, 64)
	numbers := errLast == nil && err == nil
	if joined && (!numbers || n <= last || n > last+1 && !o.skips) || numbers && n <= last {
		return false
	}
	o.skips = o.skips || numbers && n > last+1
	o.last = id
	return true
}

// eventID returns the id of an event, "" if it has none.
func eventID(event []byte) string {
	id := ""
	for len(event) > 0 {
		line, n := cutLine(event)
		if x, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(x))
		}
		event = event[n:]
	}
	return id
}

// holdsResponse reports whether an event has a line of a response's head: a status line, or the field that names
// the request in each response.
func holdsResponse(event []byte, echo string) bool {
	for len(event) > 0 {
		line, n := cutLine(event)
		name, _, _ := bytes.Cut(line, []byte(":"))
		if bytes.HasPrefix(line, []byte("HTTP/1.")) || bytes.EqualFold(name, []byte(echo)) {
			return true
		}
		event = event[n:]
	}
	return false
}
