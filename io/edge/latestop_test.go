package edge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// lateCaller has an open connection, on which it sends a request later.
type lateCaller struct{ conn net.Conn }

// connect opens a connection to a node.
func (w *testFleet) connect(node string) *lateCaller {
	c, err := w.net.Dialer("10.8.0.1")(context.Background(), "tcp", w.nodes[node].node.Settings.Callers)
	if err != nil {
		w.t.Fatal(err)
	}
	return &lateCaller{c}
}

// send sends a POST request, its body after a pause, and returns its response.
func (c *lateCaller) send(path, id string, pause time.Duration) response {
	const body = "body"
	lines := []string{
		"POST " + path + " HTTP/1.1", "Host: fleet.example", "X-Bergamotspring-Request-Id: " + id, "X-Bergamotspring-Deadline-Ms: 8000", "Api-Key: key",
		fmt.Sprint("Content-Length: ", len(body)),
	}
	for i, m := 0, modelHeaders(id); i < len(m); i += 2 {
		lines = append(lines, m[i]+": "+m[i+1])
	}
	if _, err := io.WriteString(c.conn, strings.Join(lines, "\r\n")+"\r\n\r\n"); err != nil {
		return response{err: err}
	}
	time.Sleep(pause)
	if _, err := io.WriteString(c.conn, body); err != nil {
		return response{err: err}
	}
	a, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(a.Body)
	return response{status: a.StatusCode, close: a.Close, body: string(b), err: err}
}

// A node stops as planned, in calm. A request that is whole only late in the grace, on a connection from before, might
// last longer than the process: it is refused at once, and runs nowhere. One that begins late is not read. Those that
// are whole earlier are served.
func TestRequestsLateInGrace(t *testing.T) {
	const soon, late = 2500 * time.Millisecond, 6500 * time.Millisecond // after the stop
	for _, path := range []string{"/file/x", "/once/x"} {
		for _, c := range []struct {
			name       string
			head, body time.Duration // when they are sent
			status     int           // 0: the connection ends without a response
		}{
			{"soon", soon, soon, 200},
			{"whole soon", 100 * time.Millisecond, soon, 200},
			{"whole late", soon, late, 503},
			{"whole just before the end", soon, 7600 * time.Millisecond, 503},
			{"late", late, late, 0},
		} {
			runFleet(t, func(w *testFleet) {
				w.configure(2, func(c map[string]any) {
					for _, r := range c["route-table"].([]any) {
						r.(map[string]any)["timeout-ms"] = 8000
					}
				})
				for _, d := range []string{"a", "b", "c"} {
					w.servers["plain-"+d].ServiceTime = 2 * time.Second
					w.servers["model-"+d].Gap = 400 * time.Millisecond
				}
				time.Sleep(time.Second)
				start := time.Now()
				w.nodes["b1"].stop()
				time.Sleep(min(c.head, soon))
				x := w.connect("b1")
				time.Sleep(time.Until(start.Add(c.head)))
				sentAt := start.Add(c.body)
				r := x.send(path, "id", time.Until(sentAt))
				if r.status != c.status || (r.err != nil) != (c.status == 0) || c.status != 0 && !r.close {
					t.Errorf("%s, %s: got %d %v, connection closed: %v, want %d", path, c.name, r.status, r.err, r.close, c.status)
				}
				if n := w.runCount("id"); (n > 0) != (c.status == 200) {
					t.Errorf("%s, %s: %d runs for status %d", path, c.name, n, c.status)
				}
				if took := time.Since(sentAt); c.status != 200 && took > 50*time.Millisecond {
					t.Errorf("%s, %s: the end came after %v, want it at once", path, c.name, took)
				}
			})
		}
	}
}
