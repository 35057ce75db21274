package exchange

// This file tests responses that go over into another one.

import (
	"context"
	"errors"
	"strings"
	"testing"
)

// A server stops inside the head of a late copy of an earlier response, or of the response that is due, and goes
// over into the other of them: the two do not count as one.
func TestJoinedHeads(t *testing.T) {
	const (
		refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nId: old\r\nContent-Length: 3\r\n\r\nold"
		due     = "HTTP/1.1 200 OK\r\nId: due\r\nX-A: b\r\nContent-Length: 3\r\n\r\ndue"
	)
	for _, c := range [][2]string{{refusal, due}, {due, refusal}} {
		head := strings.Index(c[0], "\r\n\r\n") + 4
		for n := 1; n < head; n++ {
			run(t, func(s *script) {
				s.requests = nil
				s.responses <- c[0][:n] + c[1] + cut
				status, b, err := s.do(context.Background(), "due")
				if _, broken := errors.AsType[*BrokenError](err); !broken {
					t.Errorf("%q and then %q: got %d %q, want a broken exchange", c[0][:n], c[1], status, b)
				}
			})
		}
	}
}
