package edge

// This file tests responses that end before they are whole.

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"bergamotspring/io/standin"
	platformstandin "bergamotspring/platform/standin"
)

// rawResponse returns the bytes that a server sends in response to a run.
type rawResponse func(platformstandin.Run) string

// raw makes the servers of a kind send each of the responses once, in this order, and close.
func (w *testFleet) raw(kind string, l ...rawResponse) {
	var mu sync.Mutex
	for _, s := range w.all(kind) {
		s.Raw = func(x platformstandin.Run) string {
			mu.Lock()
			defer mu.Unlock()
			if len(l) == 0 {
				return ""
			}
			f := l[0]
			l = l[1:]
			return f(x)
		}
	}
}

// head returns the head of a response to a run, with the given lines in addition.
func head(x platformstandin.Run, status string, lines ...string) string {
	l := append([]string{"HTTP/1.1 " + status, "X-Bergamotspring-Request-Id: " + x.ID, "X-Bergamotspring-Server-Stamp: raw"}, lines...)
	return strings.Join(l, "\r\n") + "\r\n\r\n"
}

const eventStream = "Content-Type: text/event-stream"

// framings returns a response to a run in each framing.
func framings(x platformstandin.Run, status, body string, lines ...string) map[string]string {
	return standin.Framings(strings.TrimSuffix(head(x, status, lines...), "\r\n"), body)
}

// A stream that ends inside an event, or without length and chunks before its first one, was broken off,
// however it is framed: it is resumed where that is allowed, and else ends broken for the caller too.
func TestStreamEndsInsideEvent(t *testing.T) {
	two := fullStream(2)
	for _, c := range []struct {
		body   string
		framed bool // broken off also with a length or chunks
	}{
		{two + "id: 3\nda", true}, {two + "id: 3\ndata: 3\n", true}, {two + "id: 3\ndata: 3", true}, {two + "i", true},
		{"id: 1\ndata: 1", true}, {"overloaded", true}, {"", false}, {": hello\n\n", false},
		{strings.ReplaceAll(two, "\n", "\r\n") + "id: 3\r\ndata: 3\r\n", true}, {strings.ReplaceAll(two, "\n", "\r") + "id: 3\rdata: 3\r", true},
	} {
		for _, framing := range []string{"neither", "length", "chunks"} {
			if framing != "neither" && !c.framed {
				continue
			}
			t.Run(fmt.Sprintf("%s %q", framing, c.body), func(t *testing.T) {
				runFleet(t, func(w *testFleet) {
					raw := func(x platformstandin.Run) string { return framings(x, "200 OK", c.body, eventStream)[framing] }
					w.raw("model", raw)
					r := w.stream("a1", "/draft/x", "resumed")
					got := strings.ReplaceAll(strings.NewReplacer("\r\n", "\n", "\r", "\n").Replace(r.body), ": hello\n\n", "")
					if r.status != 200 || r.err != nil || got != fullStream(6) || w.runCount("resumed") != 2 {
						t.Errorf("resumable: got %d %v %q after %d runs", r.status, r.err, r.body, w.runCount("resumed"))
					}
					w.raw("model", raw)
					if r := w.stream("a1", "/once/x", "once"); r.err == nil && r.status == 200 || w.runCount("once") != 1 {
						t.Errorf("not resumable: got %d %v %q after %d runs, want none that looks whole", r.status, r.err, r.body, w.runCount("once"))
					}
				})
			})
		}
	}
}

// A stream that ends after an event is whole, whatever its framing and line ends, also with a comment
// after its last event. A response that is no event stream reaches the caller as it is.
func TestWholeStreams(t *testing.T) {
	stream := fullStream(6) + ": end\n"
	for _, c := range []struct{ body, line string }{
		{stream, eventStream}, {strings.ReplaceAll(stream, "\n", "\r\n"), eventStream}, {strings.ReplaceAll(stream, "\n", "\r"), eventStream},
		{`{"a":1}`, "Content-Type: application/json"},
	} {
		for _, framing := range []string{"neither", "length", "chunks"} {
			runFleet(t, func(w *testFleet) {
				w.raw("model", func(x platformstandin.Run) string { return framings(x, "200 OK", c.body, c.line)[framing] })
				if r := w.stream("a1", "/once/x", "once"); r.status != 200 || r.err != nil || r.body != c.body || w.runCount("once") != 1 {
					t.Errorf("%s, %q: got %d %v %q after %d runs", framing, c.body, r.status, r.err, r.body, w.runCount("once"))
				}
			})
		}
	}
}

// Servers close their connections inside the head of a response, or before the end that it announces: callers get
// none that looks whole.
func TestCutResponses(t *testing.T) {
	const step = 7 // bytes
	for _, c := range []struct{ kind, path string }{{"plain", "/read/x"}, {"plain", "/file/x"}, {"model", "/draft/x"}, {"model", "/once/x"}} {
		for _, framing := range []string{"neither", "length", "chunks"} {
			t.Run(c.path+" "+framing, func(t *testing.T) {
				runFleet(t, func(w *testFleet) {
					for cut, sent := 1, false; !sent; cut += step {
						response := func(x platformstandin.Run) string {
							b := framings(x, "200 OK", fullStream(6), eventStream)[framing]
							end := len(b)
							if framing == "neither" {
								end = strings.Index(b, "\r\n\r\n") + 4
							}
							sent = cut+step >= end
							return b[:cut]
						}
						w.raw(c.kind, response, response, response)
						id := fmt.Sprint("cut", cut)
						r := w.stream("a1", c.path, id)
						if r.err == nil && r.status == http.StatusOK || w.runCount(id) == 0 {
							t.Errorf("cut after %d bytes: got %d %v %q after %d runs", cut, r.status, r.err, r.body, w.runCount(id))
						}
						w.raw(c.kind)
						time.Sleep(2 * time.Second) // servers are used again
					}
				})
			})
		}
	}
}

// A server cuts off its response at the end of a chunk that fills a buffer of the node, and goes on with bytes that are no
// chunk: no caller gets the part as a whole success, and a request that may run again goes to another server. A sound
// response in such chunks is delivered. Guards against review case 11.
func TestCutAtEndOfBuffer(t *testing.T) {
	const size = 30000
	body := strings.Repeat("0123456789", size/10)
	response := func(x platformstandin.Run, chunk, end int, rest string) string {
		b := head(x, "200 OK", "Transfer-Encoding: chunked")
		for at := 0; at < end; at += chunk {
			n := min(chunk, size-at)
			b += fmt.Sprintf("%x\r\n%s\r\n", n, body[at:at+n])
		}
		return b + rest
	}
	for _, chunk := range []int{4096, 12288, 28672} {
		for _, rest := range []string{"server error: worker thread ended\r\n", "\r\n", ""} {
			runFleet(t, func(w *testFleet) {
				cut := func(x platformstandin.Run) string { return response(x, chunk, chunk, rest) }
				whole := func(x platformstandin.Run) string { return response(x, chunk, size, "0\r\n\r\n") }
				for path, want := range map[string]int{"/read/x": http.StatusOK, "/file/x": http.StatusBadGateway} {
					w.raw("plain", cut, whole)
					if r := w.request("a1", http.MethodPost, path, "cut"+path); r.status != want || want == http.StatusOK && r.body != body {
						t.Errorf("%s, chunks of %d, then %q: got %d %v and %d of %d bytes, want %d", path, chunk, rest, r.status, r.err, len(r.body), size, want)
					}
					w.raw("plain", whole)
					if r := w.request("a1", http.MethodPost, path, "whole"+path); r.status != http.StatusOK || r.err != nil || r.body != body {
						t.Errorf("%s, chunks of %d: got %d %v and %d of %d bytes of a sound response", path, chunk, r.status, r.err, len(r.body), size)
					}
				}
			})
		}
	}
}
