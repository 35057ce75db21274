// Package standin holds simple stand-ins of the systems that bergamotspring calls:
// model servers, servers of pools and services, the table service and the VM list.
//
// They serve the published protocols through net/http handlers, so they work over
// TCP and in memory. Faults are injected through function fields. The demo, the
// benchmarks and the recorded sessions run real nodes against them. This file defines
// an in-memory network with latency, bandwidth and faults, which also runs under a
// fake clock.
package standin

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// dialTimeout limits a dial to a host that does not respond, as the TCP connect timeout
// of an operating system does. It is needed because net/http continues a dial after the
// request that started it was cancelled.
const dialTimeout = 20 * time.Second

// HostState is the reachability of a host.
type HostState uint8

// The host states.
const (
	HostUp      HostState = iota
	HostRefuses           // the process died: connections are reset, dials refused
	HostGone              // the VM vanished or is paused: dials hang, and bytes arrive only once the host is up again
)

// Network connects hosts in memory. The function fields and Window are read without a
// lock; set them before the first dial. The zero value connects all hosts without
// delay. Lock order: Network, then one direction of a connection.
type Network struct {
	// Latency returns the one-way delay between two hosts.
	Latency func(from, to string) time.Duration
	// Path returns the name of the shared path between two hosts and its bandwidth in
	// bytes per second; a path without a name is not limited.
	Path func(from, to string) (name string, rate int64)
	// Window is the number of bytes that one direction of a connection holds, 0: 64 KiB.
	Window int
	// Refuse reports whether a dial from a host to an address is refused at once.
	Refuse func(from, to string) bool
	// Drop reports whether a dial from a host to an address hangs.
	Drop func(from, to string) bool

	mu        sync.Mutex
	listeners map[string]*Listener
	hosts     map[string]HostState
	cuts      map[[2]string]bool
	oneWay    map[[2]string]bool // by sender and receiver
	delays    map[[2]string]time.Duration
	conns     map[*Conn]struct{}
	paths     map[string]*path
	dials     map[string]int
	lastID    int // of the connections
	done      chan struct{}
}

type path struct {
	freeAt time.Time // when the path has sent all bytes accepted so far
	bytes  int64
}

func dialError(address string, err error) error {
	return &net.OpError{Op: "dial", Net: "memory", Addr: addr(address), Err: err}
}

func refused(address string) error {
	return dialError(address, os.NewSyscallError("connect", syscall.ECONNREFUSED))
}

// Listen returns a listener for address, an IP:port.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = map[string]*Listener{}
	}
	if n.listeners[address] != nil {
		return nil, &net.OpError{Op: "listen", Net: "memory", Addr: addr(address), Err: syscall.EADDRINUSE}
	}
	l := &Listener{network: n, address: address, queue: make(chan net.Conn, 128), done: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Dialer returns a dial function for processes of host from.
func (n *Network) Dialer(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		return n.Dial(ctx, from, address)
	}
}

// Dial connects the host from to address.
func (n *Network) Dial(ctx context.Context, from, address string) (net.Conn, error) {
	to, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, dialError(address, err)
	}
	if !n.wait(ctx, 2*n.latency(from, to)) {
		return nil, dialError(address, os.ErrDeadlineExceeded)
	}
	n.mu.Lock()
	l, state, unreachable := n.listeners[address], n.hosts[to], n.unreachable(from, to)
	n.mu.Unlock()
	if unreachable || (n.Drop != nil && n.Drop(from, address)) {
		n.hang(ctx)
		return nil, dialError(address, os.ErrDeadlineExceeded)
	}
	if l == nil || state == HostRefuses || (n.Refuse != nil && n.Refuse(from, address)) {
		return nil, refused(address)
	}
	a, b := n.pair(from, to, address)
	select {
	case l.queue <- b:
		return a, nil
	case <-l.done:
		return nil, refused(address)
	case <-ctx.Done():
		return nil, dialError(address, os.ErrDeadlineExceeded)
	}
}

// unreachable reports whether a dial between two hosts hangs. Callers hold mu.
func (n *Network) unreachable(from, to string) bool {
	cut := n.cut(from, to) || n.oneWay[[2]string{from, to}] || n.oneWay[[2]string{to, from}]
	return cut || n.hosts[to] == HostGone || n.hosts[from] != HostUp
}

func (n *Network) hang(ctx context.Context) { n.wait(ctx, dialTimeout) }

// wait waits for d, and reports whether neither the context ended nor the network closed meanwhile.
func (n *Network) wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return !n.ended(ctx)
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
	case <-n.closing():
	}
	return false
}

// ended reports whether the context has ended or the network is closed.
func (n *Network) ended(ctx context.Context) bool {
	select {
	case <-ctx.Done():
	case <-n.closing():
	default:
		return false
	}
	return true
}

func (n *Network) closing() chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.done == nil {
		n.done = make(chan struct{})
	}
	return n.done
}

// Close aborts all pending dials, closes all listeners and resets all connections.
func (n *Network) Close() {
	d := n.closing()
	n.mu.Lock()
	defer n.mu.Unlock()
	close(d)
	for _, l := range n.listeners {
		l.once.Do(func() { close(l.done) })
	}
	n.listeners = nil
	for c := range n.conns {
		c.in.fail(errReset, time.Time{})
		c.out.fail(errReset, time.Time{})
	}
}

func (n *Network) pair(from, to, address string) (*Conn, *Conn) {
	forward, backward := newDirection(n.Window), newDirection(n.Window)
	a := &Conn{network: n, from: from, to: to, in: backward, out: forward, remote: addr(address), local: addr(from + ":0"), dialled: true}
	b := &Conn{network: n, from: to, to: from, in: forward, out: backward, remote: addr(from + ":0"), local: addr(address)}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns == nil {
		n.conns = map[*Conn]struct{}{}
		n.dials = map[string]int{}
	}
	n.dials[address]++
	n.lastID++
	a.id, b.id = n.lastID, n.lastID
	n.conns[a] = struct{}{}
	n.conns[b] = struct{}{}
	return a, b
}

func (n *Network) latency(from, to string) time.Duration {
	n.mu.Lock()
	d := n.delays[[2]string{from, to}]
	n.mu.Unlock()
	if n.Latency != nil {
		d += n.Latency(from, to)
	}
	return d
}

// Bytes returns the bytes carried by a named path.
func (n *Network) Bytes(name string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p := n.paths[name]; p != nil {
		return p.bytes
	}
	return 0
}

// arrival returns the time at which k bytes written now arrive at the other host.
func (n *Network) arrival(from, to string, k int) time.Time {
	t := time.Now()
	if n.Path != nil {
		if name, rate := n.Path(from, to); name != "" {
			t = n.reserve(name, rate, k, t)
		}
	}
	return t.Add(n.latency(from, to))
}

func (n *Network) reserve(name string, rate int64, k int, now time.Time) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paths == nil {
		n.paths = map[string]*path{}
	}
	p := n.paths[name]
	if p == nil {
		p = &path{}
		n.paths[name] = p
	}
	p.bytes += int64(k)
	if rate <= 0 {
		return now
	}
	if p.freeAt.Before(now) {
		p.freeAt = now
	}
	p.freeAt = p.freeAt.Add(time.Duration(int64(k) * int64(time.Second) / rate))
	return p.freeAt
}

// blocked reports whether no bytes can arrive between the hosts now.
func (n *Network) blocked(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut(from, to) || n.oneWay[[2]string{from, to}] || n.hosts[from] == HostGone || n.hosts[to] == HostGone
}

// Listener is the listening end of an address.
type Listener struct {
	network *Network
	address string
	queue   chan net.Conn
	once    sync.Once
	done    chan struct{}
}

// Accept waits for a connection.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close stops accepting; open connections stay.
func (l *Listener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.address] == l {
			delete(l.network.listeners, l.address)
		}
	})
	return nil
}

// Addr returns the address of the listener.
func (l *Listener) Addr() net.Addr { return addr(l.address) }

type addr string

func (a addr) Network() string { return "tcp" }
func (a addr) String() string  { return string(a) }
