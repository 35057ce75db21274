package peer

// This file defines how the two ends of a connection authenticate each other: each
// proves, over a nonce of the other, that it has the shared peer key.

import (
	"bufio"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"net"
	"time"

	"bergamotspring/core/lease"
	"bergamotspring/schema/wire"
)

// helloTimeout bounds dial and hello, as long as the silence of an open link may last.
const helloTimeout = 1500 * time.Millisecond

const nonceBytes = 16

// mac returns the HMAC of one side's proof. Each part is hashed with its length, so that
// two different lists of parts never give the same input.
func mac(key []byte, side string, a, b *wire.Hello) string {
	h := hmac.New(sha256.New, key)
	for _, s := range []string{side, a.Nonce, b.Nonce, a.Node, a.Incarnation, b.Node, b.Incarnation} {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(s)))
		h.Write(n[:])
		h.Write([]byte(s))
	}
	return string(h.Sum(nil))
}

// newHello returns the hello of this node in a protocol version.
func (m *Mesh) newHello(version int) *wire.Hello {
	n := make([]byte, nonceBytes)
	_, _ = rand.Read(n) // never fails
	return &wire.Hello{
		Protocol: version, Node: m.Self.Node, Incarnation: m.Self.Incarnation, Nonce: string(n),
	}
}

// dialHello authenticates a connection as the dialler, offers a protocol version, and returns the instance
// of the acceptor.
func (m *Mesh) dialHello(c net.Conn, r *bufio.Reader, version int) (lease.Instance, error) {
	_ = c.SetDeadline(time.Now().Add(helloTimeout)) // a failure shows in the reads
	mine := m.newHello(version)
	if err := m.writeHello(c, TypeHello, mine); err != nil {
		return lease.Instance{}, err
	}
	var peer wire.Hello
	if err := m.readHello(r, TypeHello, &peer); err != nil {
		return lease.Instance{}, err
	}
	if peer.Protocol != version {
		return lease.Instance{}, &HelloError{Cause: "other protocol version"}
	}
	if !hmac.Equal([]byte(peer.Mac), []byte(mac(m.Key, "acceptor", mine, &peer))) {
		return lease.Instance{}, &HelloError{Cause: "wrong key"}
	}
	p := &wire.Proof{Mac: mac(m.Key, "dialler", mine, &peer)}
	if err := m.writeHello(c, TypeProof, p); err != nil {
		return lease.Instance{}, err
	}
	return lease.Instance{Node: peer.Node, Incarnation: peer.Incarnation}, c.SetDeadline(time.Time{})
}

// acceptHello authenticates a connection as the acceptor, in the protocol version that the dialler offers,
// and returns the instance of the dialler and that version.
func (m *Mesh) acceptHello(c net.Conn, r *bufio.Reader) (lease.Instance, int, error) {
	_ = c.SetDeadline(time.Now().Add(helloTimeout)) // a failure shows in the reads
	var peer wire.Hello
	if err := m.readHello(r, TypeHello, &peer); err != nil {
		return lease.Instance{}, 0, err
	}
	if !m.speaks(peer.Protocol) {
		m.stats.badVersions.Add(1)
		_ = m.writeHello(c, TypeFault, &wire.Fault{Code: int(CodeVersion), Text: "other protocol version"})
		return lease.Instance{}, 0, &HelloError{Cause: "other protocol version"}
	}
	if len(peer.Nonce) != nonceBytes {
		return lease.Instance{}, 0, &HelloError{Cause: "bad nonce"}
	}
	mine := m.newHello(peer.Protocol)
	mine.Mac = mac(m.Key, "acceptor", &peer, mine)
	if err := m.writeHello(c, TypeHello, mine); err != nil {
		return lease.Instance{}, 0, err
	}
	var p wire.Proof
	if err := m.readHello(r, TypeProof, &p); err != nil {
		return lease.Instance{}, 0, err
	}
	if !hmac.Equal([]byte(p.Mac), []byte(mac(m.Key, "dialler", &peer, mine))) {
		m.stats.unauthenticated.Add(1)
		return lease.Instance{}, 0, &HelloError{Cause: "wrong key"}
	}
	return lease.Instance{Node: peer.Node, Incarnation: peer.Incarnation}, peer.Protocol, c.SetDeadline(time.Time{})
}

// writeHello writes one frame of the hello.
func (m *Mesh) writeHello(c net.Conn, t Type, body any) error {
	b, err := encode(t, 0, body)
	if err != nil {
		return err
	}
	defer b.free()
	_, err = c.Write(b.Bytes())
	return err
}

// readHello reads one frame of the hello.
func (m *Mesh) readHello(r *bufio.Reader, t Type, v any) error {
	var p []byte
	f, err := readFrame(r, &p, maxHelloFrame)
	if err != nil {
		return err
	}
	if f.kind == TypeFault {
		return remoteErrorOf(f.body)
	}
	if f.kind != t {
		m.stats.unauthenticated.Add(1)
		return &HelloError{Cause: "message before the hello"}
	}
	return decode(f.body, v)
}

func remoteErrorOf(body []byte) error {
	var f wire.Fault
	if err := decode(body, &f); err != nil {
		return err
	}
	return &RemoteError{Code: ErrorCode(f.Code), Text: f.Text}
}
