package standin

// This file defines servers that send each response twice.

import (
	"net"
	"sync"
	"sync/atomic"
)

// Repeater makes servers send each response once more, late: when the next request on its connection
// arrives. The zero value does nothing until On is set.
type Repeater struct {
	On atomic.Bool
	// Cut, if set, returns how many of the n bytes are sent again; with 0 they are kept for the next request. Set
	// it before On.
	Cut func(n int) int
}

// Wrap returns a listener whose connections repeat the responses that are written to them.
func (r *Repeater) Wrap(l net.Listener) net.Listener {
	return &repeatingListener{Listener: l, repeater: r}
}

type repeatingListener struct {
	net.Listener
	repeater *Repeater
}

func (l *repeatingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &repeatingConn{Conn: c, repeater: l.repeater}, nil
}

type repeatingConn struct {
	net.Conn
	repeater *Repeater

	mu       sync.Mutex
	response []byte // written and not yet repeated
}

// Read reads a part of a request. At the first part it writes the last response again.
func (c *repeatingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n == 0 || len(c.response) == 0 {
		return n, err
	}
	k := len(c.response)
	if c.repeater.Cut != nil {
		k = c.repeater.Cut(k)
	}
	if k > 0 {
		_, _ = c.Conn.Write(c.response[:k]) // a broken connection shows in the next read or write
		c.response = nil
	}
	return n, err
}

// SetLinger is that of net.TCPConn, where the connection has it.
func (c *repeatingConn) SetLinger(seconds int) error {
	if l, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return l.SetLinger(seconds)
	}
	return nil
}

// Write writes a part of a response.
func (c *repeatingConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.repeater.On.Load() {
		c.response = append(c.response, b...)
	}
	c.mu.Unlock()
	return c.Conn.Write(b)
}
