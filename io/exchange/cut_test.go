package exchange

// This file tests responses that end, or go over into another one, before they are whole.

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"bergamotspring/io/standin"
)

// bodies are the ends of heads with bodies, by their framing.
var bodies = map[string]string{
	"neither": "\r\nhello", "length": "Content-Length: 5\r\n\r\nhello",
	"chunks": "Transfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n",
}

// A server closes the connection at any byte before the end of its response: the exchange is broken off, on a
// new connection and on one used before. Without a length and chunks, that holds for the bytes of the head.
func TestCutResponse(t *testing.T) {
	for framing, rest := range bodies {
		for _, before := range []string{"", "HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n"} {
			run(t, func(s *script) {
				s.requests = nil
				ids := 0
				response := func() string {
					ids++
					return fmt.Sprintf("%sHTTP/1.1 200 OK\r\nId: %08d\r\nX-A: b\r\n%s", before, ids, rest)
				}
				bytes := len(response())
				if framing == "neither" {
					bytes -= len("hello")
				}
				for n := range bytes {
					for _, kept := range []bool{false, true} {
						if kept {
							s.responses <- fmt.Sprintf("HTTP/1.1 200 OK\r\nId: kept%d\r\nContent-Length: 0\r\n\r\n", n)
							if _, _, err := s.do(context.Background(), fmt.Sprint("kept", n)); err != nil {
								t.Errorf("the response before: %v", err)
							}
						}
						x := response()[:n]
						s.responses <- x + cut
						status, b, err := s.do(context.Background(), fmt.Sprintf("%08d", ids))
						if e, ok := errors.AsType[*BrokenError](err); !ok {
							t.Errorf("%s, kept %v, cut after %q: got %d %q %v, want a broken exchange", framing, kept, x, status, b, e)
						}
					}
				}
				s.responses <- response() + cut
				if status, b, err := s.do(context.Background(), fmt.Sprintf("%08d", ids)); status != 200 || b != "hello" || err != nil {
					t.Errorf("%s: got %d %q %v of the whole response", framing, status, b, err)
				}
			})
		}
	}
}

// A response to a HEAD request, which has no body, is broken off too if its head is.
func TestCutResponseToHead(t *testing.T) {
	run(t, func(s *script) {
		s.requests = nil
		const whole = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\n"
		for n := range len(whole) + 1 {
			s.responses <- whole[:n] + cut
			r, err := s.pool.Do(context.Background(), &Request{
				Address: address, Method: http.MethodHead, Target: "/", Host: "h", Header: http.Header{"Id": {"1"}}, Echo: "Id",
			})
			if (err == nil) != (n == len(whole)) {
				t.Errorf("cut after %q: got %v", whole[:n], err)
			}
			if err == nil && (r.Length != 5 || r.Body.Close() != nil) {
				t.Errorf("got length %d, want 5", r.Length)
			}
		}
	})
}

// A response without a length and chunks whose connection is reset is not complete.
func TestResetResponse(t *testing.T) {
	run(t, func(s *script) {
		s.responses <- "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart"
		time.AfterFunc(time.Second, func() { s.net.SetHost("10.0.0.1", standin.HostRefuses) })
		if _, b, err := s.do(context.Background(), "1"); err == nil {
			t.Errorf("got %q and no error, want a broken exchange", b)
		}
	})
}
