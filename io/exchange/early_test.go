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
