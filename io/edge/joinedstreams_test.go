package edge

// This file tests what comes after a stream that broke off.

import (
	"fmt"
	"strings"
	"testing"

	platformstandin "bergamotspring/platform/standin"
)

// brokenAfterTwo is a stream that breaks off inside its third event.
func brokenAfterTwo(x platformstandin.Run) string {
	return head(x, "200 OK", eventStream) + fullStream(2) + "id: 3\nda"
}

// The next server of a stream that broke off answers with something else than the events that are due, or
// ends like the first: nothing of it reaches the caller, whose stream goes on at another server, or ends broken
// if there is none.
func TestNextServerOfBrokenStreamFails(t *testing.T) {
	const text, html, other = "no server\n\nno server\n\n", "<p>no server</p>\n\n", "X-Second: 1"
	notRun := []string{"X-Bergamotspring-Not-Executed: 1"}
	from := func(n int) string { return strings.TrimPrefix(fullStream(6), fullStream(n-1)) }
	for _, c := range []struct {
		status, body string
		lines        []string
	}{
		{"500 Internal Server Error", text, nil}, {"502 Bad Gateway", html, []string{"Content-Type: text/html"}},
		{"503 Service Unavailable", text, nil}, {"504 Gateway Timeout", "", nil}, {"400 Bad Request", text, nil}, {"404 Not Found", text, nil},
		{"429 Too Many Requests", text, []string{"Retry-After: 1"}}, {"500 Internal Server Error", from(3), []string{eventStream}},
		{"302 Found", text, []string{"Location: /x"}}, {"307 Temporary Redirect", "", []string{"Location: http://10.1.0.4:80/x"}},
		{"206 Partial Content", from(3), []string{eventStream}},
		{"200 OK", text, []string{"Content-Type: text/plain"}}, {"200 OK", html, []string{"Content-Type: text/html"}},
		{"200 OK", `{"error":"no server"}`, []string{"Content-Type: application/json"}}, {"200 OK", "", nil}, {"200 OK", text, nil},
		{"200 OK", "event: error\ndata: no server\n\n", []string{eventStream}}, {"200 OK", "data: no server\n\n" + from(3), []string{eventStream}},
		{"200 OK", from(1), []string{eventStream}}, {"200 OK", from(2), []string{eventStream}}, {"200 OK", from(4), []string{eventStream}},
		{"200 OK", "HTTP/1.1 500 Internal Server Error\r\n\r\nno server\n\n", []string{eventStream}},
		{"204 No Content", "", nil}, {"304 Not Modified", "", nil},
		{"503 Service Unavailable", text, notRun}, {"429 Too Many Requests", text, notRun}, {"409 Conflict", text, notRun},
		{"421 Misdirected Request", text, notRun},
	} {
		for _, framing := range []string{"neither", "length", "chunks"} {
			t.Run(fmt.Sprintf("%s %s %q", framing, c.status, c.body), func(t *testing.T) {
				fails := func(x platformstandin.Run) string {
					return framings(x, c.status, c.body, append(c.lines[:len(c.lines):len(c.lines)], other)...)[framing]
				}
				testJoin(t, fails)
			})
		}
	}
}

// testJoin checks the streams of callers whose first server breaks off and whose next ones fail.
func testJoin(t *testing.T, fails rawResponse) {
	t.Helper()
	runFleet(t, func(w *testFleet) {
		w.configureRoute(2, "draft", map[string]any{"max-attempts": 3})
		w.raw("model", brokenAfterTwo, fails)
		r := w.stream("a1", "/draft/x", "saved")
		if r.status != 200 || r.err != nil || r.body != fullStream(6) || r.header.Get("X-Second") != "" {
			t.Errorf("another server: got %d %v %q %v", r.status, r.err, r.body, r.header)
		}
		w.raw("model", brokenAfterTwo, fails, fails, fails, fails)
		r = w.stream("a1", "/draft/x", "lost")
		if r.status != 200 || r.err == nil || r.body != fullStream(2) || r.header.Get("X-Second") != "" {
			t.Errorf("no other server: got %d %v %q %v, want two events and a broken stream", r.status, r.err, r.body, r.header)
		}
	})
}

// A caller resumes its stream itself: a server that sends events again that the caller has is not taken for one
// that goes on.
func TestServerIgnoresLastEvent(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		ignores := func(x platformstandin.Run) string { return head(x, "200 OK", eventStream) + fullStream(6) }
		w.raw("model", ignores)
		r := w.stream("a1", "/draft/x", "again", "Last-Event-Id", "4")
		if want := strings.TrimPrefix(fullStream(6), fullStream(4)); r.status != 200 || r.err != nil || r.body != want {
			t.Errorf("got %d %v %q, want the events after the fourth", r.status, r.err, r.body)
		}
		w.raw("model", ignores)
		w.wantStream(w.stream("a1", "/once/x", "whole", "Last-Event-Id", "4"), "not resumable")
	})
}

// A server sends another response inside its stream, or after its last event: that is no event, and the stream has
// broken off before it.
func TestResponseInsideStream(t *testing.T) {
	for _, stream := range []string{fullStream(2), fullStream(2) + "id: 3\nda", fullStream(2) + "id: 3\ndata: ", fullStream(2) + "id: 3\ndata: 3\n", fullStream(6)} {
		for _, framing := range []string{"neither", "length", "chunks"} {
			for i, other := range []string{
				"HTTP/1.1 500 Internal Server Error\r\nX-Bergamotspring-Request-Id: old\r\nContent-Length: 4\r\n\r\nno\n\n",
				"HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\n",
			} {
				if i == 1 && strings.Contains(stream, "da") && !strings.HasSuffix(stream, "\n") {
					continue // nothing tells it from the event's text
				}
				runFleet(t, func(w *testFleet) {
					w.raw("model", func(x platformstandin.Run) string { return framings(x, "200 OK", stream+other, eventStream)[framing] })
					w.wantStream(w.stream("a1", "/draft/x", "saved"), "%s, %q", framing, stream+other)
				})
			}
		}
	}
}
