package backend

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"bergamotspring/core/stage"
	"bergamotspring/io/standin"
)

// A server sends bytes without end that are no response, or no progress of one: both kinds of calls
// end before their deadline, after a bounded number of bytes, and the connection is not used again.
func TestEndlessBytes(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	token := "data: {\"id\":\"c1\",\"index\":0,\"choices\":[{\"text\":\"a\"}]}\n\n"
	for _, c := range []struct {
		name, start, part string
		bound             int64 // bytes that both calls may take together
	}{
		{"status line", "HTTP/1.1 200 ", "x", 4 * maxHead},
		{"header lines", "HTTP/1.1 200 OK\r\n", "A: x\r\n", 4 * maxHead},
		{"1xx responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n", 4 * maxHead},
		{"body", head, "400\r\n" + strings.Repeat("x", 1024) + "\r\n", 2 * maxResponse},
		{"comments", head, "400\r\n" + strings.Repeat(": x\n", 256) + "\r\n", 2 * maxResponse},
		{"blank lines", head, "400\r\n" + strings.Repeat("\n", 1024) + "\r\n", 2 * maxResponse},
		{"chunk extension", head + "4;", "x", 2 * maxResponse},
		{"trailer", head + "0\r\n", "A: x\r\n", 2 * maxResponse},
		{"one event again and again", head, fmt.Sprintf("%x\r\n%s\r\n", len(token), token), 2 * maxResponse},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := &standin.Endless{Start: c.start, Part: c.part, Gap: 10 * time.Millisecond}
			withListener(t, e.Serve, func(t *testing.T, n *standin.Network, p *Client) {
				n.Latency = func(string, string) time.Duration { return time.Millisecond }
				p.Dial = e.Count(p.Dial)
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				_, invoked := p.Invoke(ctx, &Call{ID: "c1", Address: "s:80"}, "op", nil)
				_, completed := p.Complete(ctx, &Call{ID: "c1", Address: "s:80"}, &Completion{
					FirstTimeout: time.Second, StallTimeout: time.Second, Token: func(int, []byte) error { return nil },
				}, &stage.Assembler{})
				for _, err := range []error{invoked, completed} {
					if kind, sent := kindOf(err); err == nil || !sent || errors.Is(err, context.DeadlineExceeded) {
						t.Errorf("got %v of kind %v, want an error of a call that was sent, before the deadline", err, kind)
					}
				}
				p.Close()
				time.Sleep(time.Second) // until the server observes that its connections are closed
				if got := e.Conns.Load(); got < 2 {
					t.Errorf("got %d connections, want one for each call at least", got)
				}
				if got := e.Taken.Load(); got > c.bound {
					t.Errorf("%d bytes were taken, want %d at most", got, c.bound)
				}
			})
		})
	}
}
