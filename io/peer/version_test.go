package peer

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"reflect"
	"testing"
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/core/limit"
	"bergamotspring/schema/wire"
)

// Frames as the build of dafc766 sends them, whose Protocol is 2: the request and the permit below, each
// after its names.
const (
	namesOfAsk2   = "\x00\x00\x00\x12\x93\x1b\x00\x92\x01\x95\xa3p\x00d\xa1o\xa1c\xa1s\xa1u"
	ask2          = "\x00\x00\x00\x1a\x93\x06\x01\x99\x91\x05\x03\xce\x00-\xc6\xc0\xd3\x80\x00\x00\x00\x00\x00\x00\x05\x01\a\x02\xc3\x04"
	namesOfGrant2 = "\x00\x00\x00\f\x93\x1b\x00\x92\x01\x92\xa1s\xa3a:1"
	grant2        = "\x00\x00\x00\x1b\x93\a\x01\x99\x02\xc2\xc2\x02\xce\x00=\t\x00\t\xce\x00\x0fB@\x01\x96\x03\x00\x00\x00\xc2\x00"
)

var (
	request2 = limit.Request{
		ID: 7, Group: fleet.GroupID{Pool: "p", Domain: "d"}, Organisation: "o", Class: "c", Deadline: 3 * time.Second,
		Fingerprint: 1<<63 + 5, Suspect: true, Preferred: "s", Avoid: []string{"u"},
	}
	permit2 = limit.Permit{
		ID: 9, Epoch: 2, RequestID: 7, Group: request2.Group, Server: "s", Address: "a:1", SendBy: time.Second, HoldUntil: 4 * time.Second,
	}
	summary2 = limit.Summary{Free: 3}
)

// node2 speaks as a node of dafc766: it takes only its own version in the hello.
type node2 struct {
	*testing.T
	mesh *Mesh // for its identity and key
	net  net.Conn
	in   *bufio.Reader
}

func newNode2(t *testing.T, m *Mesh, n net.Conn) *node2 {
	return &node2{T: t, mesh: m, net: n, in: bufio.NewReader(n)}
}

func (n *node2) hello() *wire.Hello {
	return &wire.Hello{Protocol: 2, Node: "old", Incarnation: "1", Nonce: "0123456789abcdef"}
}

// dial returns false if the other node refuses version 2.
func (n *node2) dial() bool {
	mine := n.hello()
	n.mesh.writeHello(n.net, TypeHello, mine)
	var peer wire.Hello
	if err := n.mesh.readHello(n.in, TypeHello, &peer); err != nil || peer.Protocol != 2 {
		return false
	}
	if peer.Mac != mac(n.mesh.Key, "acceptor", mine, &peer) {
		n.Error("wrong proof of the acceptor")
	}
	n.mesh.writeHello(n.net, TypeProof, &wire.Proof{Mac: mac(n.mesh.Key, "dialler", mine, &peer)})
	return true
}

// accept returns false if it refuses the version of the other node.
func (n *node2) accept() bool {
	var peer wire.Hello
	if err := n.mesh.readHello(n.in, TypeHello, &peer); err != nil {
		n.Errorf("hello: %v", err)
	}
	if peer.Protocol != 2 {
		n.mesh.writeHello(n.net, TypeFault, &wire.Fault{Code: int(CodeVersion), Text: "other protocol version"})
		n.net.Close()
		return false
	}
	mine := n.hello()
	mine.Mac = mac(n.mesh.Key, "acceptor", &peer, mine)
	n.mesh.writeHello(n.net, TypeHello, mine)
	var p wire.Proof
	if err := n.mesh.readHello(n.in, TypeProof, &p); err != nil || p.Mac != mac(n.mesh.Key, "dialler", &peer, mine) {
		n.Errorf("wrong proof of the dialler: %v", err)
	}
	return true
}

func (n *node2) send(frames string) { n.net.Write([]byte(frames)) }

// expect reads frames, byte by byte those wanted.
func (n *node2) expect(want string) {
	n.Helper()
	got := make([]byte, len(want))
	n.net.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := io.ReadFull(n.in, got); err != nil || string(got) != want {
		n.Errorf("got frames %q, %v, want %q", got, err, want)
	}
}

// secondOf returns a frame with one byte of sequence number as the second request has it, whose names
// are known.
func secondOf(frame string) string { return frame[:headerBytes+2] + "\x02" + frame[headerBytes+3:] }

// Guards against nodes of this build and of the one before that do not work together while a deployment is
// updated: this one dials.
func TestDialPreviousVersion(t *testing.T) {
	withPair(t, Handlers{}, func(c pairCase) {
		l, err := c.net.Listen("old:1")
		if err != nil {
			c.Fatal(err)
		}
		defer l.Close()
		go func() {
			for range 2 { // it is refused with its own version
				k, err := l.Accept()
				if err != nil {
					return
				}
				if n := newNode2(c.T, newMesh(c.net, "old"), k); n.accept() {
					n.expect(namesOfAsk2 + ask2)
					n.send(namesOfGrant2 + grant2)
					n.expect(secondOf(ask2))
					n.send(secondOf(grant2))
				}
			}
		}()
		a := request2
		a.Prefix = 11
		for range 2 { // queued while the link is dialled, and on the open link
			got := make(chan limit.Decision, 1)
			to := c.to
			to.Peer = "old:1"
			err := c.a.RequestPermit(to, a, 5*time.Second, func(d limit.Decision, _ limit.Summary) { got <- d })
			if err != nil {
				c.Fatal(err)
			}
			if d := <-got; d.Err != nil || d.Permit != permit2 {
				c.Fatalf("got %+v, %v, want %+v", d.Permit, d.Err, permit2)
			}
		}
	})
}

// As above, where the node of the build before dials.
func TestAcceptPreviousVersion(t *testing.T) {
	var got []limit.Request
	h := Handlers{Request: func(a limit.Request, respond func(limit.Decision, limit.Summary) error) {
		got = append(got, a)
		respond(limit.Decision{Request: a, Permit: permit2}, summary2)
	}}
	withPair(t, h, func(c pairCase) {
		k, err := c.net.Dial(c.Context(), "old", "b:1")
		if err != nil {
			c.Fatal(err)
		}
		defer k.Close()
		n := newNode2(c.T, newMesh(c.net, "old"), k)
		if !n.dial() {
			c.Fatal("version 2 is refused")
		}
		n.send(namesOfAsk2 + ask2)
		n.expect(namesOfGrant2 + grant2)
		n.send(secondOf(ask2))
		n.expect(secondOf(grant2))
		want := request2
		want.Node = "old/1"
		if !reflect.DeepEqual(got, []limit.Request{want, want}) {
			c.Errorf("got %+v, want %+v twice", got, want)
		}
	})
}

// Guards against nodes of the users' platform that link to another version, whose messages of
// PlacementHandlers they cannot decode.
func TestPlacementRefusesPreviousVersion(t *testing.T) {
	withPair(t, Handlers{}, func(c pairCase) {
		PlacementHandlers{}.Register(c.b)
		k, err := c.net.Dial(c.Context(), "old", "b:1")
		if err != nil {
			c.Fatal(err)
		}
		defer k.Close()
		if newNode2(c.T, newMesh(c.net, "old"), k).dial() {
			c.Error("version 2 is accepted")
		}
		if got := c.b.Stats().BadVersions; got != 1 {
			c.Errorf("bad versions: got %d, want 1", got)
		}
		l, err := c.net.Listen("old:1")
		if err != nil {
			c.Fatal(err)
		}
		defer l.Close()
		go func() {
			for k, err := l.Accept(); err == nil; k, err = l.Accept() {
				if newNode2(c.T, newMesh(c.net, "old"), k).accept() {
					c.Error("version 2 is offered")
				}
			}
		}()
		ctx, cancel := context.WithTimeout(c.Context(), 5*time.Second)
		defer cancel()
		err = c.b.Call(ctx, "old:1", TypeHeldQuery, &wire.HeldQuery{}, TypeHeldReport, &wire.HeldReport{})
		if e, ok := errors.AsType[*RemoteError](err); !ok || e.Code != CodeVersion {
			c.Errorf("got %v, want a refusal of the version", err)
		}
	})
}
