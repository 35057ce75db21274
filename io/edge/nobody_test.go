package edge

import (
	"net/http"
	"strings"
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

// A success that does not bear its server's stamp is none: the request goes to another server if it may run again, and
// else its outcome is unknown. A server that declares the stamp a header of its connection has sent it all the same.
func TestSuccessWithoutStamp(t *testing.T) {
	const stamp = "X-Bergamotspring-Server-Stamp"
	for _, status := range []string{"200 OK", "201 Created", "204 No Content"} {
		for path, want := range map[string]int{"/read/x": 200, "/draft/x": 200, "/file/x": 502, "/once/x": 502} {
			runFleet(t, func(w *testFleet) {
				answer := func(x platformstandin.Run) string {
					return strings.Replace(head(x, status, "Content-Length: 0"), stamp+": raw\r\n", "", 1)
				}
				w.raw("plain", answer)
				w.raw("model", answer)
				r := w.stream("a1", path, "x")
				if r.status != want || r.err != nil || r.header.Get(stamp) == "" && want == 200 {
					t.Errorf("%s to %s: got %d %v with stamp %q, want %d", status, path, r.status, r.err, r.header.Get(stamp), want)
				}
			})
		}
	}
	runFleet(t, func(w *testFleet) {
		w.raw("plain", func(x platformstandin.Run) string {
			return head(x, "200 OK", "Content-Length: 0", "Connection: "+stamp)
		})
		if r := w.request("a1", http.MethodGet, "/read/x", "x"); r.status != 200 || r.err != nil || r.header.Get(stamp) != "raw" {
			t.Errorf("got %d %v with stamp %q", r.status, r.err, r.header.Get(stamp))
		}
	})
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
