package exchange

// This file defines what is known of the bytes that were received and not read.

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Unread returns how many bytes of the response were received and not read, 0 if that is not known. It is called
// before Body was closed or has ended, and may be called while nothing is read.
func (r *Response) Unread() int {
	s, ok := r.conn.Conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	if raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCINQ) }) != nil || err != nil {
		return 0 // closed
	}
	return n
}

// LimitUnread bounds the bytes that are received before they are read, and keeps the connection from being used for
// another response. It is called while Body is not being read.
func (r *Response) LimitUnread(n int) {
	r.conn.limited = true
	if c, ok := r.conn.Conn.(*net.TCPConn); ok {
		_ = c.SetReadBuffer(n) // a failure leaves the buffer as it is
	}
}
