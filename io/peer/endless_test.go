package peer

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"bergamotspring/core/lease"
	"bergamotspring/io/standin"
)

// A node dials an address at which something else listens now, whose bytes are no message and do not end: it takes
// no more than the first frame, and the connection is closed.
func TestEndlessAcceptor(t *testing.T) {
	for _, c := range []struct{ name, part string }{
		{"text", "HTTP/1.1 200 OK\r\n"}, {"empty frames", "\x00\x00\x00\x00"}, {"frames that are no message", "\x00\x00\x04\x00" + string(make([]byte, 1<<10))}, {"large frames", "\x00\x30\x00\x00x"},
	} {
		synctest.Test(t, func(t *testing.T) {
			n := &standin.Network{}
			l, err := n.Listen("b:1")
			if err != nil {
				t.Fatal(err)
			}
			e := &standin.Endless{Start: c.part, Part: c.part, Gap: time.Millisecond, Any: true}
			go e.Serve(l)
			m := &Mesh{Self: lease.Instance{Node: "a", Incarnation: "1"}, Key: []byte("key"), Dial: e.Count(n.Dialer("a")), Listen: func(_, a string) (net.Listener, error) { return n.Listen(a) }}
			for range 3 {
				if err := m.SendExhausted("b:1", "s"); err == nil {
					time.Sleep(5 * time.Second) // until the hello has failed
				}
			}
			if got, bound := e.Taken.Load(), 64<<10*e.Conns.Load(); got > bound || e.Conns.Load() == 0 {
				t.Errorf("%s: %d bytes were taken on %d connections, want %d at most", c.name, got, e.Conns.Load(), bound)
			}
			m.Close()
			n.Close()
			time.Sleep(time.Minute)
		})
	}
}
