package peer

// This file defines the mesh: links are dialled when first used, watched while in
// use, and dialled again after they closed.

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"bergamotspring/core/lease"
)

const (
	pingInterval = 500 * time.Millisecond
	// silenceTimeout is checked every pingInterval, so silence is detected 1 to 1.5 s
	// after the first message that got no response.
	silenceTimeout = time.Second
	idleTimeout    = 30 * time.Second
	minBackoff     = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
	maxRedials     = 3 // after a link closed; refusals are evidence that the node is gone
	redialInterval = 150 * time.Millisecond
)

// Mesh holds the links of a node. Self and Key must be set before first use. It is
// safe for concurrent use.
type Mesh struct {
	Self lease.Instance
	Key  []byte // shared by all nodes
	// DialTLS is the TLS configuration of links that this node dials, nil: no TLS. Without
	// a ServerName, the certificate of a peer must name the IP address that was dialled.
	DialTLS   *tls.Config
	AcceptTLS *tls.Config // for links that this node accepts, nil: no TLS
	MaxFrame  int         // bytes, 0: DefaultMaxFrame
	Workers   int         // goroutines that run handlers, 0: 16

	// Dial opens connections, nil: a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Listen opens the listener of Serve, nil: net.Listen.
	Listen func(network, address string) (net.Listener, error)

	// OnHeld, if set, is called with the number of bytes of messages that are held from now on, or, if it is negative,
	// no longer: those that are queued, and those of other nodes until their handlers have returned.
	OnHeld func(n int)
	// OnHello, if set, is called with the instance that accepted a link to an address.
	OnHello func(address string, h lease.Instance)
	// OnRefused, if set, is called for each refused connection to an address at which h
	// accepted a link earlier. After a link closed there are three dials 150 ms apart.
	OnRefused func(address string, h lease.Instance)

	stats       counters
	server      server
	onlyCurrent bool // links to no node of previousProtocol

	once       sync.Once
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu     sync.Mutex
	closed bool
	links  map[string]*link
	peers  map[string]*peerState
}

// peerState is the state of an address that is kept between links.
type peerState struct {
	lastInstance     lease.Instance // that accepted the last link
	backoff          time.Duration
	noDialBefore     time.Time // zero: dial at any time
	dialError        error     // of the last dial, while noDialBefore is set
	redialsRemaining int       // dials still to be made since the last link closed
}

func (m *Mesh) start() {
	m.once.Do(func() {
		m.ctx, m.cancel = context.WithCancel(context.Background())
		m.links = map[string]*link{}
		m.peers = map[string]*peerState{}
		m.goroutines.Go(m.watch)
	})
}

// held counts messages that are held from now on, or no longer.
func (m *Mesh) held(n int) {
	if m.OnHeld != nil && n != 0 {
		m.OnHeld(n)
	}
}

func (m *Mesh) maxFrame() int {
	if m.MaxFrame > 0 {
		return m.MaxFrame
	}
	return DefaultMaxFrame
}

// Reply is the response to a request. It is valid only during the callback.
type Reply struct {
	Kind  Type
	body  []byte
	names names
}

// Decode reads the body into a pointer to a type of schema/wire.
func (r Reply) Decode(v any) error { return decode(r.body, v) }

// Start sends a request and calls done exactly once: with the response, or with an
// error of type *LinkError or *RemoteError. If it returns an error itself, nothing
// was sent and done is not called. Done must not block: the link reads no further
// messages while it runs. Within pingInterval after expire, done gets a *LinkError whose
// cause is ErrExpired.
func (m *Mesh) Start(address string, t Type, body any, expire time.Duration, done func(Reply, error)) error {
	return m.startWithProgress(address, t, body, expire, nil, done)
}

// startWithProgress is Start for a request whose progress is reported before its response.
func (m *Mesh) startWithProgress(address string, t Type, body any, expire time.Duration, progress func(Reply), done func(Reply, error)) error {
	l, err := m.link(address)
	if err == nil {
		err = l.request(t, body, expire, progress, done)
	}
	if err != nil {
		return &LinkError{Address: address, Cause: err}
	}
	return nil
}

// Send sends a message that has no response. It may be lost without an error.
func (m *Mesh) Send(address string, t Type, body any) error {
	l, err := m.link(address)
	if err == nil {
		err = l.sendOneWay(t, body)
	}
	if err != nil {
		return &LinkError{Address: address, Cause: err}
	}
	return nil
}

// Call sends a request and decodes its response, of type want, into reply.
func (m *Mesh) Call(ctx context.Context, address string, t Type, body any, want Type, reply any) error {
	end := make(chan error, 1)
	var mu sync.Mutex
	abandoned := false
	expire := helloTimeout + idleTimeout // without a deadline: to connect, then as long as a link may be idle
	if d, ok := ctx.Deadline(); ok {
		expire = time.Until(d)
	}
	err := m.Start(address, t, body, expire, func(r Reply, err error) {
		mu.Lock()
		defer mu.Unlock()
		if err == nil && !abandoned {
			err = r.decodeAs(want, reply)
		}
		end <- err
	})
	if err != nil {
		return err
	}
	select {
	case err := <-end:
		return err
	case <-ctx.Done():
	}
	mu.Lock() // with abandoned set under the lock, the callback does not write reply
	defer mu.Unlock()
	abandoned = true
	return &LinkError{Address: address, Sent: true, Cause: context.Cause(ctx)}
}

func (r Reply) decodeAs(want Type, v any) error {
	if r.Kind != want {
		return &FrameError{Cause: "answer of another type"}
	}
	return r.Decode(v)
}

// link returns the link to an address, dialling it if there is none.
func (m *Mesh) link(address string) (*link, error) {
	m.start()
	if len(m.Key) == 0 {
		return nil, ErrNoKey
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return nil, ErrClosed
	}
	if l := m.links[address]; l != nil {
		return l, nil
	}
	p := m.peer(address)
	if time.Now().Before(p.noDialBefore) {
		return nil, fmt.Errorf("%w: %w", ErrBackoff, p.dialError)
	}
	return m.open(address), nil
}

// peer returns the state of an address. The lock is held.
func (m *Mesh) peer(address string) *peerState {
	p := m.peers[address]
	if p == nil {
		p = &peerState{}
		m.peers[address] = p
	}
	return p
}

// open starts a link. The lock is held.
func (m *Mesh) open(address string) *link {
	l := newLink(m, address)
	m.links[address] = l
	m.goroutines.Go(func() { m.run(l) })
	return l
}

// run dials a link and reads from it until it closes.
func (m *Mesh) run(l *link) {
	c, h, err := m.connect(l.address)
	if err != nil {
		m.onDialFailed(l, err)
		return
	}
	m.stats.opened.Add(1)
	m.onConnected(l, h)
	l.attach(c)
	m.goroutines.Go(c.write)
	err = c.read(m.maxFrame(), l.receive)
	m.onLinkLost(l, err)
}

// connect dials an address and authenticates the connection. A peer that refuses this version is offered the
// previous one.
func (m *Mesh) connect(address string) (*conn, lease.Instance, error) {
	ctx, cancel := context.WithTimeout(m.ctx, helloTimeout)
	defer cancel()
	c, h, err := m.connectAs(ctx, address, Protocol)
	if e, ok := errors.AsType[*RemoteError](err); ok && e.Code == CodeVersion && m.speaks(previousProtocol) {
		return m.connectAs(ctx, address, previousProtocol)
	}
	return c, h, err
}

// connectAs dials an address and authenticates the connection in a protocol version.
func (m *Mesh) connectAs(ctx context.Context, address string, version int) (*conn, lease.Instance, error) {
	dial := m.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	n, err := dial(ctx, "tcp", address)
	if err != nil {
		return nil, lease.Instance{}, err
	}
	if m.DialTLS != nil {
		n = tls.Client(n, m.dialTLS(address))
	}
	stop := context.AfterFunc(ctx, func() { _ = n.Close() })
	c := newConn(n, newReader(n), &m.stats)
	c.held = m.held
	c.previous = version == previousProtocol
	h, err := m.dialHello(n, c.in, version)
	if err != nil || !stop() {
		_ = n.Close() // the error of the hello is returned
		return nil, lease.Instance{}, errors.Join(err, context.Cause(ctx))
	}
	return c, h, nil
}

// dialTLS returns the TLS configuration for an address.
func (m *Mesh) dialTLS(address string) *tls.Config {
	if m.DialTLS.ServerName != "" {
		return m.DialTLS
	}
	c := m.DialTLS.Clone()
	c.ServerName = address
	if h, _, err := net.SplitHostPort(address); err == nil {
		c.ServerName = h
	}
	return c
}

func (m *Mesh) onConnected(l *link, h lease.Instance) {
	m.mu.Lock()
	p := m.peer(l.address)
	p.lastInstance = h
	p.backoff = 0
	p.redialsRemaining = 0
	m.mu.Unlock()
	if m.OnHello != nil {
		m.OnHello(l.address, h)
	}
}

// onDialFailed ends a link that could not be dialled.
func (m *Mesh) onDialFailed(l *link, err error) {
	m.mu.Lock()
	p := m.peer(l.address)
	p.backoff = min(max(2*p.backoff, minBackoff), maxBackoff)
	p.noDialBefore, p.dialError = time.Now().Add(p.backoff), err
	h := p.lastInstance
	m.mu.Unlock()
	m.remove(l, err)
	if errors.Is(err, syscall.ECONNREFUSED) && m.OnRefused != nil && h != (lease.Instance{}) {
		m.OnRefused(l.address, h)
	}
	m.redial(l.address)
}

// onLinkLost ends a link that was open. Unless this side closed it, its address is dialled
// again at once: a refusal now is the first evidence that the node is gone.
func (m *Mesh) onLinkLost(l *link, err error) {
	m.remove(l, err)
	if errors.Is(err, errIdle) || errors.Is(err, ErrClosed) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peer(l.address).redialsRemaining = maxRedials
	m.redialNow(l.address)
}

// redial dials an address again after redialInterval, while redials remain.
func (m *Mesh) redial(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed || m.peer(address).redialsRemaining == 0 {
		return
	}
	m.goroutines.Go(func() {
		t := time.NewTimer(redialInterval)
		defer t.Stop()
		select {
		case <-m.ctx.Done():
			return
		case <-t.C:
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		m.redialNow(address)
	})
}

// redialNow dials an address unless it has a link or no redials remain. The lock is held.
func (m *Mesh) redialNow(address string) {
	p := m.peer(address)
	if m.closed || p.redialsRemaining == 0 || m.links[address] != nil {
		return
	}
	p.redialsRemaining--
	m.open(address)
}

// remove deletes a link and fails the requests that wait on it.
func (m *Mesh) remove(l *link, err error) {
	m.mu.Lock()
	if m.links[l.address] == l {
		delete(m.links, l.address)
	}
	m.mu.Unlock()
	l.fail(err)
}

// watch checks the links until Close.
func (m *Mesh) watch() {
	t := time.NewTicker(pingInterval)
	defer t.Stop()
	for {
		select {
		case <-m.ctx.Done():
			return
		case now := <-t.C:
			for _, l := range m.all() {
				l.check(now)
			}
			m.server.closeIdle(now)
		}
	}
}

func (m *Mesh) all() []*link {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := make([]*link, 0, len(m.links))
	for _, l := range m.links {
		s = append(s, l)
	}
	return s
}

// Close closes the listener and all links, and returns when their goroutines ended.
func (m *Mesh) Close() {
	m.start()
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.cancel()
	for _, l := range m.all() {
		l.close(ErrClosed)
	}
	m.server.close()
	m.goroutines.Wait()
}
