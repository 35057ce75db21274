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

// helloTime bounds dial and hello, like the silence of a link.
const helloTime = 1500 * time.Millisecond

const nonceBytes = 16

// mac returns the keyed hash of one side's proof. Each part carries its length, so
// that no two different lists of parts hash alike.
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

func (m *Mesh) hello() *wire.Hello {
	n := make([]byte, nonceBytes)
	_, _ = rand.Read(n) // never fails
	return &wire.Hello{
		Protocol: Protocol, Node: m.Self.Node, Incarnation: m.Self.Incarnation, Nonce: string(n),
	}
}

// greet opens a connection as the dialler and returns who accepted it.
func (m *Mesh) greet(c net.Conn, r *bufio.Reader) (lease.Instance, error) {
	_ = c.SetDeadline(time.Now().Add(helloTime)) // a failure shows in the reads
	mine := m.hello()
	if err := m.put(c, TypeHello, mine); err != nil {
		return lease.Instance{}, err
	}
	var peer wire.Hello
	if err := m.get(r, TypeHello, &peer); err != nil {
		return lease.Instance{}, err
	}
	if peer.Protocol != Protocol {
		return lease.Instance{}, &HelloError{Cause: "other protocol version"}
	}
	if !hmac.Equal([]byte(peer.Mac), []byte(mac(m.Key, "acceptor", mine, &peer))) {
		return lease.Instance{}, &HelloError{Cause: "wrong key"}
	}
	p := &wire.Proof{Mac: mac(m.Key, "dialler", mine, &peer)}
	if err := m.put(c, TypeProof, p); err != nil {
		return lease.Instance{}, err
	}
	return lease.Instance{Node: peer.Node, Incarnation: peer.Incarnation}, c.SetDeadline(time.Time{})
}

// welcome opens a connection as the acceptor and returns who dialled it.
func (m *Mesh) welcome(c net.Conn, r *bufio.Reader) (lease.Instance, error) {
	_ = c.SetDeadline(time.Now().Add(helloTime)) // a failure shows in the reads
	var peer wire.Hello
	if err := m.get(r, TypeHello, &peer); err != nil {
		return lease.Instance{}, err
	}
	if peer.Protocol != Protocol {
		m.stats.badVersions.Add(1)
		_ = m.put(c, TypeFault, &wire.Fault{Code: int(CodeVersion), Text: "other protocol version"})
		return lease.Instance{}, &HelloError{Cause: "other protocol version"}
	}
	if len(peer.Nonce) != nonceBytes {
		return lease.Instance{}, &HelloError{Cause: "bad nonce"}
	}
	mine := m.hello()
	mine.Mac = mac(m.Key, "acceptor", &peer, mine)
	if err := m.put(c, TypeHello, mine); err != nil {
		return lease.Instance{}, err
	}
	var p wire.Proof
	if err := m.get(r, TypeProof, &p); err != nil {
		return lease.Instance{}, err
	}
	if !hmac.Equal([]byte(p.Mac), []byte(mac(m.Key, "dialler", &peer, mine))) {
		m.stats.unauthenticated.Add(1)
		return lease.Instance{}, &HelloError{Cause: "wrong key"}
	}
	return lease.Instance{Node: peer.Node, Incarnation: peer.Incarnation}, c.SetDeadline(time.Time{})
}

// put writes one frame of the hello.
func (m *Mesh) put(c net.Conn, t Type, body any) error {
	b, err := encode(t, 0, body)
	if err != nil {
		return err
	}
	defer b.free()
	_, err = c.Write(b.Bytes())
	return err
}

// get reads one frame of the hello.
func (m *Mesh) get(r *bufio.Reader, t Type, v any) error {
	var p []byte
	f, err := readFrame(r, &p, helloFrame)
	if err != nil {
		return err
	}
	if f.kind == TypeFault {
		return faultOf(f.body)
	}
	if f.kind != t {
		m.stats.unauthenticated.Add(1)
		return &HelloError{Cause: "message before the hello"}
	}
	return decode(f.body, v)
}

func faultOf(body []byte) error {
	var f wire.Fault
	if err := decode(body, &f); err != nil {
		return err
	}
	return &RemoteError{Code: ErrorCode(f.Code), Text: f.Text}
}
