package peer

// This file defines a link: the dialler's side of a connection, with the requests
// that wait for a response.

import (
	"bufio"
	"io"
	"sync"
	"time"

	"bergamotspring/schema/wire"
)

const errIdle = plainError("idle")

// maxEarlyFrames bounds the messages queued while a link is dialled.
const maxEarlyFrames = 1024

func newReader(r io.Reader) *bufio.Reader { return bufio.NewReaderSize(r, bufferBytes) }

// link carries the messages of this node to one address.
type link struct {
	mesh    *Mesh
	address string

	mu       sync.Mutex
	conn     *conn // nil while dialling
	early    []earlyFrame
	ownNames numbering
	seq      uint64
	pending  map[uint64]pending
	lastUsed time.Time // last message other than a ping
	// waitingSince is when the first message since the last received frame was sent,
	// zero: none was. Any response of the peer, also to a ping, ends the wait, because a
	// queued request may get its response late while the link works.
	waitingSince time.Time
	ended        bool
	cause        error
}

type earlyFrame struct {
	kind  Type
	frame *buffer
}

type pending struct {
	done     func(Reply, error)
	progress func(Reply) // gets each TypePlaceProgress before the response; nil: none may come
	expires  time.Time
}

func newLink(m *Mesh, address string) *link {
	return &link{mesh: m, address: address, pending: map[uint64]pending{}, lastUsed: time.Now()}
}

// request sends a message whose response goes to done, and its progress to progress, if set.
func (l *link) request(t Type, body any, expire time.Duration, progress func(Reply), done func(Reply, error)) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return l.cause
	}
	l.seq++
	if err := l.send(t, l.seq, body); err != nil {
		return err
	}
	l.pending[l.seq] = pending{done: done, progress: progress, expires: l.lastUsed.Add(expire)}
	return nil
}

func (l *link) sendOneWay(t Type, body any) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return l.cause
	}
	return l.send(t, 0, body)
}

// send encodes and queues a message other than a ping. The lock is held.
func (l *link) send(t Type, seq uint64, body any) error {
	l.lastUsed = time.Now()
	if l.conn != nil && l.waitingSince.IsZero() {
		l.waitingSince = l.lastUsed
	}
	return sendNamed(&l.ownNames, t, seq, body, l.enqueue)
}

// enqueue queues a frame, on the connection or until there is one. The lock is held.
func (l *link) enqueue(t Type, b *buffer) error {
	if n := b.Len() - headerBytes; n > l.mesh.maxFrame() {
		b.free()
		return &OversizedError{Size: n, Limit: l.mesh.maxFrame()}
	}
	if l.conn != nil {
		return l.conn.enqueue(t, b)
	}
	if len(l.early) >= maxEarlyFrames {
		b.free()
		return ErrFull
	}
	l.early = append(l.early, earlyFrame{t, b})
	l.mesh.held(b.Len())
	return nil
}

// attach sets the connection and sends the frames that were queued meanwhile.
func (l *link) attach(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn = c
	if l.ended {
		c.close(l.cause)
		return
	}
	for _, e := range l.early {
		l.mesh.held(-e.frame.Len())
		// maxEarlyFrames is below maxQueueFrames, so the queue is full only if the early
		// frames exceed maxQueueBytes. Requests that do not fit then expire; other
		// messages are lost.
		_ = c.enqueue(e.kind, e.frame)
	}
	if len(l.early) > 0 {
		l.waitingSince = time.Now()
	}
	l.early = nil
}

// receive passes a response to the request that waits for it. A response without one is
// late and dropped; any other message violates the protocol.
func (l *link) receive(m message) error {
	if m.kind == TypeNames {
		return l.conn.peerNames.add(m.body)
	}
	if m.seq == 0 {
		return &FrameError{Cause: "message from the acceptor that is no answer"}
	}
	l.mu.Lock()
	l.waitingSince = time.Time{}
	p, ok := l.pending[m.seq]
	if m.kind != TypePlaceProgress {
		delete(l.pending, m.seq)
	}
	l.mu.Unlock()
	if ok && m.kind == TypePlaceProgress {
		if p.progress == nil {
			return &FrameError{Cause: "progress of a request that has none"}
		}
		p.progress(Reply{Kind: m.kind, body: m.body, names: l.conn.peerNames})
		return nil
	}
	if !ok || p.done == nil {
		return nil
	}
	if m.kind == TypeFault {
		p.done(Reply{}, remoteErrorOf(m.body))
		return nil
	}
	p.done(Reply{Kind: m.kind, body: m.body, names: l.conn.peerNames}, nil)
	return nil
}

// check pings, expires requests and closes the link if it is silent or idle.
func (l *link) check(now time.Time) {
	l.mu.Lock()
	c := l.conn
	expired := l.takeExpired(now)
	if c == nil {
		l.mu.Unlock()
		failAll(expired, &LinkError{Address: l.address, Cause: ErrExpired})
		return
	}
	silent := !l.waitingSince.IsZero() && now.Sub(l.waitingSince) >= silenceTimeout
	idle := len(l.pending) == 0 && now.Sub(l.lastUsed) >= idleTimeout
	// A link counts as in use for two ping intervals after its last message.
	inUse := len(l.pending) > 0 || now.Sub(l.lastUsed) < 2*pingInterval
	if !silent && inUse && c.silentFor(now) >= pingInterval {
		l.ping(now)
	}
	l.mu.Unlock()
	failAll(expired, &LinkError{Address: l.address, Sent: true, Cause: ErrExpired})
	if silent {
		l.mesh.stats.silent.Add(1)
		l.close(ErrSilent)
	} else if idle {
		l.close(errIdle)
	}
}

// ping sends a ping, so that a working peer sends a frame. The lock is held.
func (l *link) ping(now time.Time) {
	l.seq++
	b, err := encode(TypePing, l.seq, &wire.Ping{Sent: int(now.UnixMicro())})
	if err != nil || l.conn.enqueue(TypePing, b) != nil {
		return
	}
	if l.waitingSince.IsZero() {
		l.waitingSince = now
	}
}

// takeExpired removes and returns the requests that have expired. The lock is held.
func (l *link) takeExpired(now time.Time) []pending {
	var s []pending
	for k, p := range l.pending {
		if now.After(p.expires) {
			delete(l.pending, k)
			s = append(s, p)
		}
	}
	return s
}

func failAll(l []pending, err error) {
	for _, p := range l {
		if p.done != nil {
			p.done(Reply{}, err)
		}
	}
}

func (l *link) close(cause error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		l.conn.close(cause)
		return
	}
	l.ended = true
	l.cause = cause
}

// fail ends the link and the requests that wait on it.
func (l *link) fail(cause error) {
	l.mu.Lock()
	l.ended = true
	l.cause = cause
	sent := l.conn != nil
	s := make([]pending, 0, len(l.pending))
	for _, p := range l.pending {
		s = append(s, p)
	}
	l.pending = nil
	for _, e := range l.early {
		l.mesh.held(-e.frame.Len())
		e.frame.free()
	}
	l.early = nil
	l.mu.Unlock()
	failAll(s, &LinkError{Address: l.address, Sent: sent, Cause: cause})
}
