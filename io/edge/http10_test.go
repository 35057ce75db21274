package edge

// This file tests callers that speak HTTP/1.0, whose responses end with their connection.

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	platformstandin "bergamotspring/platform/standin"
)

// oldStream requests a stream over HTTP/1.0.
func (w *testFleet) oldStream(path, id string) response {
	c, err := w.net.Dialer("10.8.0.1")(w.t.Context(), "tcp", w.nodes["a1"].node.Settings.Callers)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = c.Close() }()
	lines := []string{"POST " + path + " HTTP/1.0", "Host: fleet.example", "X-Bergamotspring-Request-Id: " + id, "Api-Key: key", "Content-Length: 0"}
	for i, m := 0, modelHeaders(id); i < len(m); i += 2 {
		lines = append(lines, m[i]+": "+m[i+1])
	}
	if _, err := io.WriteString(c, strings.Join(lines, "\r\n")+"\r\n\r\n"); err != nil {
		return response{err: err}
	}
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(a.Body)
	return response{status: a.StatusCode, body: string(b), err: err}
}

// A stream to a caller of HTTP/1.0, which has neither a length nor chunks, looks whole only if it is; so does a
// long plain response.
func TestBrokenResponseOverHTTP10(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		w.wantStream(w.oldStream("/once/x", "whole"), "whole stream")
		w.raw("model", brokenAfterTwo)
		if r := w.oldStream("/once/x", "broken"); r.err == nil {
			t.Errorf("broken stream: got %d %q that looks whole", r.status, r.body)
		}
		for _, end := range []string{"", "0\r\n\r\n"} {
			long := strings.Repeat("x", 2<<20)
			w.raw("plain", func(x platformstandin.Run) string {
				return head(x, "200 OK", "Transfer-Encoding: chunked") + fmt.Sprintf("%x\r\n%s\r\n", len(long), long) + end
			})
			if r := w.oldStream("/file/x", fmt.Sprint("long", len(end))); (r.err == nil) != (end != "") || r.err == nil && r.body != long {
				t.Errorf("long response ending with %q: got %d %v, %d bytes", end, r.status, r.err, len(r.body))
			}
		}
	})
}
