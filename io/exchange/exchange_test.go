package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"bergamotspring/io/standin"
)

const address = "10.0.0.1:80"

// script answers each request on a connection with the next text; an empty text closes
// the connection.
type script struct {
	t     *testing.T
	net   *standin.Network
	pool  Pool
	texts chan string
	seen  chan *http.Request
	conns int
}

func run(t *testing.T, f func(*script)) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{t: t, net: &standin.Network{}, texts: make(chan string, 10), seen: make(chan *http.Request, 10)}
		s.pool.Dial = func(ctx context.Context, a string) (net.Conn, error) { return s.net.Dial(ctx, "10.0.0.9", a) }
		l, err := s.net.Listen(address)
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				s.conns++
				go s.serve(c)
			}
		}()
		f(s)
		close(s.texts)
		s.net.Close()
	})
}

func (s *script) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		s.seen <- r
		x := <-s.texts
		if x == "" {
			return
		}
		if _, err := io.WriteString(c, x); err != nil || strings.Contains(x, "close") {
			return
		}
	}
}

func (s *script) do(ctx context.Context, id string) (int, string, error) {
	r, err := s.pool.Do(ctx, &Request{
		Address: address, Method: http.MethodPost, Target: "/x?y", Host: "h", Body: []byte("body"),
		Header: http.Header{"Id": {id}}, Echo: "Id",
	})
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	return r.Status, string(b), err
}

func text(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

// Connections are kept, and requests arrive as they were written.
func TestKeepsConnections(t *testing.T) {
	run(t, func(s *script) {
		for range 3 {
			s.texts <- text("1", "ok")
			if n, b, err := s.do(context.Background(), "1"); n != 200 || b != "ok" || err != nil {
				t.Errorf("got %d %q %v", n, b, err)
			}
			if r := <-s.seen; r.Host != "h" || r.RequestURI != "/x?y" || r.ContentLength != 4 {
				t.Errorf("the server saw %s %s with %d bytes", r.Host, r.RequestURI, r.ContentLength)
			}
		}
		if s.conns != 1 {
			t.Errorf("got %d connections, want 1", s.conns)
		}
		time.Sleep(idleTime)
		s.pool.Sweep()
		s.texts <- text("1", "ok")
		if _, _, err := s.do(context.Background(), "1"); err != nil || s.conns != 2 {
			t.Errorf("after the idle time: %v, %d connections, want 2", err, s.conns)
		}
	})
}

// An answer to another request is skipped, and its connection is not kept.
func TestForeignAnswer(t *testing.T) {
	run(t, func(s *script) {
		s.texts <- text("old", "no") + text("2", "yes")
		if n, b, err := s.do(context.Background(), "2"); n != 200 || b != "yes" || err != nil {
			t.Errorf("got %d %q %v, want the second answer", n, b, err)
		}
		s.texts <- text("3", "ok")
		if _, _, err := s.do(context.Background(), "3"); err != nil || s.conns != 2 {
			t.Errorf("got %v on %d connections, want a second one", err, s.conns)
		}
	})
}

// Bytes after a complete answer belong to no request.
func TestExtraBytes(t *testing.T) {
	run(t, func(s *script) {
		s.texts <- text("1", "ok") + text("1", "again")
		if _, b, err := s.do(context.Background(), "1"); b != "ok" || err != nil {
			t.Errorf("got %q %v", b, err)
		}
		s.texts <- text("2", "new")
		if _, b, _ := s.do(context.Background(), "2"); b != "new" || s.conns != 2 {
			t.Errorf("got %q on %d connections, want the answer of a second one", b, s.conns)
		}
	})
}

// What is known of a failed request: whether the server can have read it.
func TestErrors(t *testing.T) {
	run(t, func(s *script) {
		var u *UnsentError
		s.net.SetHost("10.0.0.1", standin.HostRefuses)
		if _, _, err := s.do(context.Background(), "1"); !errors.As(err, &u) || !u.Refused {
			t.Errorf("refused: got %v", err)
		}
		s.net.SetHost("10.0.0.1", standin.HostUp)
	})
	for name, x := range map[string]string{
		"closed without an answer": "", "not HTTP": "ok close\r\n\r\n",
		"cut off": "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\nConnection: close\r\n\r\nok",
	} {
		run(t, func(s *script) {
			var b *BrokenError
			s.texts <- x
			if _, _, err := s.do(context.Background(), "1"); !errors.As(err, &b) {
				t.Errorf("%s: got %v, want a broken exchange", name, err)
			}
		})
	}
}

// An answer without a length is complete when its connection ends.
func TestAnswerWithoutLength(t *testing.T) {
	run(t, func(s *script) {
		s.texts <- "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\nall of it"
		if _, b, err := s.do(context.Background(), "1"); b != "all of it" || err != nil {
			t.Errorf("got %q %v", b, err)
		}
	})
}

// When the context ends, the connection closes, so that the server stops work.
func TestCancel(t *testing.T) {
	run(t, func(s *script) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		start := time.Now()
		if _, _, err := s.do(ctx, "1"); err == nil || time.Since(start) != time.Second {
			t.Errorf("got %v after %v, want an error after 1 s", err, time.Since(start))
		}
	})
}

// The bound of connections to a server holds.
func TestMostConnections(t *testing.T) {
	run(t, func(s *script) {
		s.pool.MaxConnections = func(string) int { return 1 }
		go func() { _, _, _ = s.do(context.Background(), "1") }()
		<-s.seen
		var u *UnsentError
		if _, _, err := s.do(context.Background(), "2"); !errors.As(err, &u) {
			t.Errorf("got %v, want an unsent request", err)
		}
		s.texts <- text("1", "ok")
	})
}
