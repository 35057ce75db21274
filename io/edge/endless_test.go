package edge

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// endlessResponse is a response of a server in trouble: start, in which {id} is the id of the request, and then part
// without end.
type endlessResponse struct{ name, start, part string }

const (
	endlessHead = "HTTP/1.1 200 OK\r\nX-Bergamotspring-Request-Id: {id}\r\nX-Bergamotspring-Server-Stamp: s\r\n"
	chunked     = "Transfer-Encoding: chunked\r\n\r\n"
)

var endlessResponses = []endlessResponse{
	{"no line", "", "\x00"},
	{"status line", "HTTP/1.1 200 ", "x"},
	{"header", endlessHead, "A: x\r\n"},
	{"header line", endlessHead + "A: ", "x"},
	{"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	{"interim responses with fields", "", "HTTP/1.1 103 Early Hints\r\nA: " + strings.Repeat("x", 1000) + "\r\n\r\n"},
	{"header of an interim response", "HTTP/1.1 103 Early Hints\r\n", "A: x\r\n"},
	{"body without a length", endlessHead + "\r\n", "x"},
	{"body with a length", endlessHead + "Content-Length: 1000000000000\r\n\r\n", "x"},
	{"chunks", endlessHead + chunked, "4\r\nbody\r\n"},
	{"chunks with extensions", endlessHead + chunked, "1;" + strings.Repeat("e", 1000) + "\r\nx\r\n"},
	{"chunk size", endlessHead + chunked, "0"},
	{"chunk extension", endlessHead + chunked + "4;", "x"},
	{"trailer", endlessHead + chunked + "4\r\nbody\r\n0\r\n", "A: x\r\n"},
	{"trailer line", endlessHead + chunked + "0\r\nA: ", "x"},
	{"event", endlessHead + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", "x"},
	{"lines of an event", endlessHead + "Content-Type: text/event-stream\r\n\r\n", "data: x\n"},
	{"comments", endlessHead + "Content-Type: text/event-stream\r\n" + chunked, "5\r\n: x\n\n\r\n"},
	{"body of an error", strings.Replace(endlessHead, "200 OK", "500 Internal Server Error", 1) + "\r\n", "x"},
	{"body of a refusal", strings.Replace(endlessHead, "200 OK", "503 Service Unavailable", 1) + "X-Bergamotspring-Not-Executed: 1\r\n\r\n", "x"},
	{"text of JSON", endlessHead + "Content-Type: application/json\r\n\r\n{\"items\":[", "{},"},
	{"JSON string", endlessHead + "Content-Type: application/json\r\n\r\n{\"born\":1,\"free-mb\":9,\"items\":[{\"handle\":\"", "x"},
}

// serve answers a request, and writes until its caller closes the connection.
func (e *endlessResponse) serve(w http.ResponseWriter, r *http.Request, gap time.Duration) {
	_, _ = io.Copy(io.Discard, r.Body)
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	part := strings.Repeat(e.part, 1+16<<10/len(e.part))
	for x := strings.ReplaceAll(e.start, "{id}", r.Header.Get("X-Bergamotspring-Request-Id")); ; x = part {
		if _, err := io.WriteString(c, x); err != nil {
			return
		}
		time.Sleep(gap)
	}
}

// peakHeld samples how many bytes a node holds until the function that it returns is called, which returns the most.
func (n *Node) peakHeld() (stop func() int64) {
	done, peak := make(chan struct{}), make(chan int64)
	go func() {
		most := int64(0)
		for {
			select {
			case <-done:
				peak <- most
				return
			case <-time.After(20 * time.Millisecond):
				most = max(most, n.memory.Usage().Total)
			}
		}
	}()
	return func() int64 {
		close(done)
		return <-peak
	}
}

// Guards against a server whose bytes are no response and do not end, in a head, a body, interim responses or a trailer: a
// node holds a bounded part of them, and nothing after the request has ended, and other requests are served meanwhile.
func TestEndlessServers(t *testing.T) {
	const (
		requests = 4
		bound    = requests * (3 << 20) // of 128 MiB that a node may hold
	)
	for _, kind := range []string{"plain", "model", "encode"} {
		for _, e := range endlessResponses {
			t.Run(kind+"/"+e.name, func(t *testing.T) {
				runFleet(t, func(w *testFleet) {
					for _, s := range w.all(kind) {
						w.processes.Store(s.Address, http.HandlerFunc(func(a http.ResponseWriter, r *http.Request) { e.serve(a, r, 5*time.Millisecond) }))
					}
					peaks := map[string]func() int64{}
					for _, n := range allNodes {
						peaks[n] = w.nodes[n].node.peakHeld()
					}
					ended := make(chan response, requests)
					for i := range requests {
						go func() {
							if kind == "plain" {
								ended <- w.request("a1", http.MethodPost, []string{"/read/x", "/file/x"}[i%2], fmt.Sprint("q", i), "X-Bergamotspring-Deadline-Ms", "1000")
								return
							}
							ended <- w.stream("a1", []string{"/draft/x", "/once/x"}[i%2], fmt.Sprint("q", i), "X-Bergamotspring-Deadline-Ms", "1000")
						}()
					}
					time.Sleep(500 * time.Millisecond)
					if kind != "plain" {
						w.wantOK(w.request("a1", http.MethodGet, "/read/x", "sound"), "a request to other servers")
					}
					for range requests {
						if r := <-ended; r.took > 1100*time.Millisecond || r.status == 200 && r.err == nil {
							t.Errorf("got %d %v after %v, want a failure in time", r.status, r.err, r.took)
						}
					}
					time.Sleep(1500 * time.Millisecond) // batches and queries end
					for n, peak := range peaks {
						if got := peak(); got > bound {
							t.Errorf("%s held %d bytes, want %d at most", n, got, bound)
						}
						if u := w.nodes[n].node.memory.Usage(); u.Total > 1<<20 {
							t.Errorf("%s holds %+v after the end", n, u)
						}
					}
				})
			})
		}
	}
}
