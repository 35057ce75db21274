package exchange

// This file tests responses that go over into another one.

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"bergamotspring/io/standin"
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
				s.responses <- c[0][:n] + c[1] + cut
				status, b, err := s.do(context.Background(), "due")
				if _, broken := errors.AsType[*BrokenError](err); !broken {
					t.Errorf("%q and then %q: got %d %q, want a broken exchange", c[0][:n], c[1], status, b)
				}
			})
		}
	}
}

// Responses arrive between the check of an idle connection and the request that is sent on it. One that does not name
// the request is not its response, whatever it promises; after too many, or one that closes the connection, the
// exchange is broken off.
func TestResponsesBeforeTheDueOne(t *testing.T) {
	const (
		due     = "HTTP/1.1 200 OK\r\nId: due\r\nContent-Length: 3\r\n\r\ndue"
		refusal = "HTTP/1.1 503 Service Unavailable\r\nId: old\r\nContent-Length: 3\r\n\r\nold"
		chunks  = "HTTP/1.1 200 OK\r\nId: old\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nold\r\n0\r\n\r\n"
		empty   = "HTTP/1.1 204 No Content\r\nId: old\r\n\r\n"
		noID    = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
		timeout = "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
		endless = "HTTP/1.1 503 Service Unavailable\r\nId: old\r\n\r\nold"
	)
	for _, c := range []struct {
		before string
		served bool
	}{
		{"", true}, {refusal, true}, {chunks, true}, {empty, true}, {noID, true}, {refusal + chunks + empty, true},
		{"HTTP/1.1 103 Early Hints\r\nId: due\r\n\r\n" + refusal, true}, {strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 20) + refusal, true}, {"HTTP/1.1 304 Not Modified\r\nId: old\r\nContent-Length: 3\r\n\r\n", true},
		{strings.Repeat(refusal, 4), false}, {timeout, false}, {endless, false}, {"old" + refusal, false}, {"\r\n\r\n", false},
		{"HTTP/1.1 421 Misdirected Request\r\nId: old\r\nId: due\r\nContent-Length: 0\r\n\r\n", true},
	} {
		run(t, func(s *script) {
			s.responses <- okResponse("before", "x")
			if _, _, err := s.do(context.Background(), "before"); err != nil {
				t.Errorf("the request before: %v", err)
			}
			s.responses <- c.before + due + cut
			status, b, err := s.do(context.Background(), "due")
			if _, broken := errors.AsType[*BrokenError](err); broken == c.served || c.served && (status != 200 || b != "due") || s.conns != 1 {
				t.Errorf("%q: got %d %q %v on %d connections, want served: %v", c.before, status, b, err, s.conns, c.served)
			}
		})
	}
}

// A copy of a response to HEAD has the length of a body that does not follow: no other request is sent where it may
// come.
func TestCopiedResponseToHead(t *testing.T) {
	run(t, func(s *script) {
		const old = "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 3\r\n\r\n"
		s.responses <- old
		r, err := s.open(http.MethodHead, "old")
		if err != nil || r.Body.Close() != nil {
			t.Errorf("HEAD: %v", err)
		}
		s.responses <- okResponse("due", "x")
		if _, b, err := s.do(context.Background(), "due"); b != "x" || err != nil || s.conns != 2 {
			t.Errorf("got %q %v on %d connections, want the response on a second one", b, err, s.conns)
		}
	})
}

// A copy of an earlier response comes before the response to HEAD: its body, here one that reads like a response, is
// not taken for it.
func TestCopyBeforeResponseToHead(t *testing.T) {
	run(t, func(s *script) {
		const old = "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 49\r\n\r\nHTTP/1.1 404 Gone\r\nId: due\r\nContent-Length: 2\r\n\r\n"
		s.responses <- old
		if _, _, err := s.do(context.Background(), "old"); err != nil {
			t.Error(err)
		}
		s.responses <- old + "HTTP/1.1 200 OK\r\nId: due\r\nContent-Length: 3\r\n\r\n"
		r, err := s.open(http.MethodHead, "due")
		if err != nil || r.Status != 200 || r.Length != 3 || r.Body.Close() != nil || s.conns != 1 {
			t.Errorf("got %+v %v on %d connections, want the response after the copy", r, err, s.conns)
		}
	})
}

// A server stops inside a body and responds once more on the same connection, to this request or to an earlier one:
// the second response does not fill up the first, wherever the first would end and however long it is. A body that
// reads like the response to another request is whole, and so is one that is followed by another response.
func TestResponseInsideBody(t *testing.T) {
	type test struct {
		half, id string
		fill     int // bytes of the second response that the body holds; -1: it ends with its connection
		read     func(io.Reader) ([]byte, error)
		broken   bool
	}
	bytewise := func(r io.Reader) ([]byte, error) { return io.ReadAll(iotest.OneByteReader(r)) }
	atOnce := func(r io.Reader) ([]byte, error) {
		b := make([]byte, 64<<10)
		n, err := io.ReadFull(r, b)
		if err == io.ErrUnexpectedEOF {
			err = nil
		}
		return b[:n], err
	}
	long := strings.Repeat("long", 3<<10)
	l := []test{{"half", "due", -1, bytewise, true}, {"half", "any", -1, bytewise, false}}
	for n := range 57 {
		for _, id := range []string{"due", "old", "any"} {
			broken := n > 0 && id != "any"
			l = append(l, test{"half", id, n, bytewise, broken}, test{long, id, n, atOnce, broken})
		}
	}
	for _, c := range l {
		run(t, func(s *script) {
			s.responses <- okResponse("old", "")
			if _, _, err := s.do(context.Background(), "old"); err != nil {
				t.Error(err)
			}
			length := ""
			if c.fill >= 0 {
				length = fmt.Sprintf("Content-Length: %d\r\n", len(c.half)+c.fill)
			}
			s.responses <- "HTTP/1.1 200 OK\r\nId: due\r\n" + length + "\r\n" + c.half + "HTTP/1.1 200 OK\r\nX-A: b\r\nid: " + c.id + "\r\n\r\n" + strings.Repeat("fill", 9) + cut
			r, err := s.open(http.MethodGet, "due")
			if err != nil {
				t.Fatal(err)
			}
			if b, err := c.read(r.Body); (err != nil) != c.broken || s.conns != 1 {
				t.Errorf("%d bytes of the response to %s inside a body of %d: got %d bytes, %v", c.fill, c.id, len(c.half)+c.fill, len(b), err)
			}
			_ = r.Body.Close()
		})
	}
}

// Guards against a truncated body that is filled up by the start of another response whose rest comes later: it counts as
// broken off. A body that ends like that by itself is delivered, a little later, and others without delay.
func TestResponseBeginsAtEndOfBody(t *testing.T) {
	const other = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nId: old\r\nContent-Length: 4\r\n\r\nbody"
	due := func(length int, body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: due\r\nContent-Length: %d\r\n\r\n%s", length, body)
	}
	for _, c := range []struct {
		name, body, rest string
		after            time.Duration // until the rest is sent
		broken           bool
		took             time.Duration
	}{
		{"in the status line", "half" + other[:8], other[8:], 20 * time.Millisecond, true, 20 * time.Millisecond},
		{"after the status line", "half" + other[:17], other[17:], 20 * time.Millisecond, true, 20 * time.Millisecond},
		{"in a field", "half" + other[:40], other[40:], 20 * time.Millisecond, true, 20 * time.Millisecond},
		{"in a field, the rest in two parts", "half" + other[:40], other[40:42], 20 * time.Millisecond, false, joinWait},
		{"in a field, and nothing follows", "half" + other[:40], "", 0, false, joinWait},
		{"in a field, and the connection ends", "half" + other[:40], cut, 20 * time.Millisecond, false, 20 * time.Millisecond},
		{"in the head of no request of the connection", "half" + other[:40], strings.ReplaceAll(other[40:], "old", "any"), 20 * time.Millisecond, false, joinWait},
		{"a whole body", "whole body", other, 20 * time.Millisecond, false, 0},
		{"a whole head in the body", "about " + strings.ReplaceAll(other, "old", "any"), "", 0, false, 0},
		{"a name of the protocol", "HTTP", "", 0, false, 0},
	} {
		run(t, func(s *script) {
			s.responses <- okResponse("old", "")
			if _, _, err := s.do(context.Background(), "old"); err != nil {
				t.Error(err)
			}
			s.responses <- standin.Later(due(len(c.body), c.body), c.after, c.rest)
			start := time.Now()
			status, b, err := s.do(context.Background(), "due")
			if (err != nil) != c.broken || !c.broken && (status != 200 || b != c.body) || time.Since(start) != c.took {
				t.Errorf("%s: got %d %q %v after %v, want broken: %v after %v", c.name, status, b, err, time.Since(start), c.broken, c.took)
			}
			time.Sleep(time.Second)
		})
	}
}
