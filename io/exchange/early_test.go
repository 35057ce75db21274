package exchange

// This file tests responses that come while the request is still being sent.

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"bergamotspring/io/standin"
)

// smallWrites is a connection that takes a request in several parts, each once there is space for it.
type smallWrites struct{ net.Conn }

func (c smallWrites) Write(b []byte) (n int, err error) {
	for k := 0; n < len(b) && err == nil; n += k {
		k, err = c.Conn.Write(b[n:min(n+16<<10, len(b))])
	}
	return n, err
}

// A server responds before it has read a long body, and reads on later or never: the response comes at once, and no
// other request takes the place of the rest of the body.
func TestResponseBeforeEndOfBody(t *testing.T) {
	for _, pause := range []time.Duration{0, time.Second, time.Hour} {
		synctest.Test(t, func(t *testing.T) {
			n := &standin.Network{}
			l, err := n.Listen(address)
			if err != nil {
				t.Fatal(err)
			}
			go func() {
				for c, err := l.Accept(); err == nil; c, err = l.Accept() {
					go respondEarly(t, c, pause)
				}
			}()
			p := &Pool{Dial: func(ctx context.Context, a string) (net.Conn, error) {
				c, err := n.Dial(ctx, "10.0.0.9", a)
				return smallWrites{c}, err
			}}
			for i := range 3 {
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				start := time.Now()
				r, err := p.Do(ctx, &Request{
					Address: address, Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, 1<<20),
					Header: http.Header{"Id": {fmt.Sprint(i)}}, Echo: "Id",
				})
				if err != nil || time.Since(start) > 500*time.Millisecond {
					t.Errorf("request %d, pause %v: got %v after %v", i, pause, err, time.Since(start))
				} else if b, err := io.ReadAll(r.Body); string(b) != "ok" || err != nil {
					t.Errorf("request %d, pause %v: got %q %v", i, pause, b, err)
				}
				cancel()
			}
			n.Close()
			time.Sleep(2 * time.Hour) // the servers end
		})
	}
}

// respondEarly responds to each request on a connection once it has read the head, and reads on after a pause.
func respondEarly(t *testing.T, c net.Conn, pause time.Duration) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, okResponse(r.Header.Get("Id"), "ok"))
		time.Sleep(pause)
		b, err := io.ReadAll(r.Body)
		for _, x := range b {
			if x != 0 {
				t.Errorf("got other bytes than the body's: %v", err)
				return
			}
		}
	}
}

// reportsOnce is a connection that reports a reset once, as Linux does: a read after a write that failed ends like one
// after the end of the connection.
type reportsOnce struct {
	net.Conn
	reported chan struct{} // closed when a write has failed
}

func (c reportsOnce) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if err != nil {
		close(c.reported)
	}
	return n, err
}

func (c reportsOnce) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		<-c.reported
		err = io.EOF
	}
	return n, err
}

// A server that has not read a long body resets the connection inside a response without a length, and the sending of
// the request takes the error: the response is not complete.
func TestResetBeforeEndOfBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &standin.Network{}
		l, err := n.Listen(address)
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart")
			time.Sleep(time.Second)
			_ = c.(*standin.Conn).SetLinger(0)
			_ = c.Close()
		}()
		p := &Pool{Dial: func(ctx context.Context, a string) (net.Conn, error) {
			c, err := n.Dial(ctx, "10.0.0.9", a)
			return reportsOnce{smallWrites{c}, make(chan struct{})}, err
		}}
		r, err := p.Do(t.Context(), &Request{
			Address: address, Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, 1<<20),
			Header: http.Header{"Id": {"1"}}, Echo: "Id",
		})
		if err != nil {
			t.Fatal(err)
		}
		if b, err := io.ReadAll(r.Body); err == nil {
			t.Errorf("got %q as a whole response, want a broken exchange", b)
		}
		n.Close()
	})
}
