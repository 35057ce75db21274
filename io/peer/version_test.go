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
	"bergamotspring/core/member"
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
)

// node2 is a connection of a node of dafc766, which takes only its own version in the hello.
type node2 struct {
	pairCase
	mesh *Mesh // for its identity and key
	net  net.Conn
	in   *bufio.Reader
}

func (c pairCase) node2(n net.Conn) *node2 {
	return &node2{pairCase: c, mesh: newMesh(c.net, "old"), net: n, in: bufio.NewReader(n)}
}

// dialB dials b.
func (c pairCase) dialB() (*node2, error) {
	k, err := c.net.Dial(c.Context(), "old", "b:1")
	if err != nil {
		c.Fatal(err)
	}
	n := c.node2(k)
	_, err = n.mesh.dialHello(k, n.in, 2)
	return n, err
}

// accept listens at old:1, and calls f for each connection whose hello is of version 2.
func (c pairCase) accept(f func(*node2)) net.Listener {
	l, err := c.net.Listen("old:1")
	if err != nil {
		c.Fatal(err)
	}
	go func() {
		for k, err := l.Accept(); err == nil; k, err = l.Accept() {
			if n := c.node2(k); n.acceptHello() {
				f(n)
			}
		}
	}()
	return l
}

// acceptHello returns false if it refuses the version of the other node.
func (n *node2) acceptHello() bool {
	var peer wire.Hello
	if err := n.mesh.readHello(n.in, TypeHello, &peer); err != nil {
		n.Errorf("hello: %v", err)
	}
	if peer.Protocol != 2 {
		n.mesh.writeHello(n.net, TypeFault, &wire.Fault{Code: int(CodeVersion), Text: "other protocol version"})
		n.net.Close()
		return false
	}
	mine := n.mesh.newHello(2)
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
		defer c.accept(func(n *node2) {
			n.expect(namesOfAsk2 + ask2)
			n.send(namesOfGrant2 + grant2)
			n.expect(secondOf(ask2))
			n.send(secondOf(grant2))
		}).Close()
		a := request2
		a.Prefix = 11
		for range 2 { // queued while the link is dialled, and on the open link
			got := make(chan limit.Decision, 1)
			err := c.a.RequestPermit(member.Node{Peer: "old:1"}, a, 5*time.Second, func(d limit.Decision, _ limit.Summary) { got <- d })
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
		respond(limit.Decision{Request: a, Permit: permit2}, limit.Summary{Free: 3})
	}}
	withPair(t, h, func(c pairCase) {
		n, err := c.dialB()
		if err != nil {
			c.Fatal(err)
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
		_, accepted := c.dialB()
		defer c.accept(func(*node2) { c.Error("version 2 is offered") }).Close()
		ctx, cancel := context.WithTimeout(c.Context(), 5*time.Second)
		defer cancel()
		for _, err := range []error{accepted, c.b.Call(ctx, "old:1", TypeHeldQuery, &wire.HeldQuery{}, TypeHeldReport, &wire.HeldReport{})} {
			if e, ok := errors.AsType[*RemoteError](err); !ok || e.Code != CodeVersion {
				c.Errorf("got %v, want a refusal of the version", err)
			}
		}
		if got := c.b.Stats().BadVersions; got != 1 {
			c.Errorf("bad versions: got %d, want 1", got)
		}
	})
}
