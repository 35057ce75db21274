package edge

import (
	"net/http"
	"testing"

	platformstandin "bergamotspring/platform/standin"
)

// Responses that have no body reach the caller with the length that the server stated, not with that of the
// missing body.
func TestResponsesWithoutBody(t *testing.T) {
	for _, c := range []struct{ method, status, line, want string }{
		{http.MethodHead, "200 OK", "Content-Length: 17", "17"},
		{http.MethodHead, "200 OK", "Transfer-Encoding: chunked", ""},
		{http.MethodHead, "200 OK", "X-A: b", ""},
		{http.MethodHead, "404 Not Found", "Content-Length: 9", "9"},
		{http.MethodGet, "204 No Content", "X-A: b", ""},
		{http.MethodGet, "304 Not Modified", "Content-Length: 17", ""},
		{http.MethodGet, "304 Not Modified", "X-A: b", ""},
		{http.MethodGet, "200 OK", "Content-Length: 0", "0"},
	} {
		runFleet(t, func(w *testFleet) {
			w.raw("plain", func(x platformstandin.Run) string { return head(x, c.status, c.line) })
			r := w.request("a1", c.method, "/read/x", "x")
			if got := r.header.Get("Content-Length"); r.err != nil || r.body != "" || got != c.want {
				t.Errorf("%s %s, %s: got %d %v %q with length %q, want %q", c.method, c.status, c.line, r.status, r.err, r.body, got, c.want)
			}
		})
	}
}

// A status that HTTP does not have is no response: the request goes to another server.
func TestStatusBelow100(t *testing.T) {
	for _, status := range []string{"099 Odd", "000 None"} {
		runFleet(t, func(w *testFleet) {
			w.raw("plain", func(x platformstandin.Run) string { return head(x, status, "Content-Length: 0") })
			if r := w.request("a1", http.MethodGet, "/read/x", "x"); r.status != http.StatusOK || r.err != nil {
				t.Errorf("%s: got %d %v", status, r.status, r.err)
			}
		})
	}
}

// A server answers with a status that means "not run" to callers without stating so: callers of requests that must
// not run twice are told that the outcome is unknown; others get the response.
func TestUnstatedRefusal(t *testing.T) {
	for _, status := range []string{"408 Request Timeout", "429 Too Many Requests", "503 Service Unavailable"} {
		for path, unknown := range map[string]bool{"/file/x": true, "/once/x": true, "/draft/x": false} {
			runFleet(t, func(w *testFleet) {
				answer := func(x platformstandin.Run) string { return head(x, status, "Content-Length: 0") }
				w.raw("plain", answer)
				w.raw("model", answer)
				r := w.stream("a1", path, "x")
				if got := r.status == http.StatusBadGateway; got != unknown || r.err != nil {
					t.Errorf("%s to %s: got %d %v", status, path, r.status, r.err)
				}
				if got := r.header.Get("Retry-After"); unknown && got != "" {
					t.Errorf("%s to %s: got Retry-After %s", status, path, got)
				}
			})
		}
	}
}
