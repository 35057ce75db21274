package peer

import (
	"bufio"
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/core/lease"
	"bergamotspring/core/limit"
	"bergamotspring/core/member"
	"bergamotspring/io/standin"
	"bergamotspring/schema/wire"
)

type pairCase struct {
	*testing.T
	net  *standin.Network
	a, b *Mesh
	to   member.Node // b
}

// newMesh returns a mesh of a host in n.
func newMesh(n *standin.Network, host string) *Mesh {
	return &Mesh{
		Self: lease.Instance{Node: host, Incarnation: "1"}, Key: []byte("key"),
		Dial:   n.Dialer(host),
		Listen: func(_, at string) (net.Listener, error) { return n.Listen(at) },
	}
}

// withPair runs f in a synctest bubble with meshes a and b, where b has the handlers h.
func withPair(t *testing.T, h Handlers, f func(pairCase)) {
	synctest.Test(t, func(t *testing.T) {
		n := &standin.Network{Latency: func(string, string) time.Duration { return time.Millisecond }}
		c := pairCase{T: t, net: n, a: newMesh(n, "a"), b: newMesh(n, "b"), to: member.Node{Peer: "b:1"}}
		h.Register(c.b)
		if _, _, err := c.b.Serve("b:1"); err != nil {
			t.Fatal(err)
		}
		defer c.a.Close()
		defer c.b.Close()
		f(c)
	})
}

func all(string, string) bool { return true }

func held(g fleet.GroupID) limit.HeldReport { return limit.HeldReport{Node: g.Pool} }

// held sends a held query from a to b and checks the response.
func (c pairCase) held() error {
	ctx, cancel := context.WithTimeout(c.Context(), 5*time.Second)
	defer cancel()
	r, err := c.a.FetchHeld(ctx, c.to, fleet.GroupID{Pool: "p"})
	if err == nil && r.Node != "p" {
		c.Errorf("held report: got node %q", r.Node)
	}
	return err
}

// Guards against a response that reaches another request when responses come late and in
// another order.
func TestCrossedReplies(t *testing.T) {
	var mu sync.Mutex
	var responses []func()
	h := Handlers{Request: func(a limit.Request, respond func(limit.Decision, limit.Summary) error) {
		mu.Lock()
		defer mu.Unlock()
		responses = append(responses, func() { respond(limit.Decision{Permit: limit.Permit{ID: a.ID}}, limit.Summary{}) })
	}}
	withPair(t, h, func(c pairCase) {
		got := map[uint64]uint64{}
		for i := range uint64(20) {
			err := c.a.RequestPermit(c.to, limit.Request{ID: i}, time.Minute, func(d limit.Decision, _ limit.Summary) {
				mu.Lock()
				defer mu.Unlock()
				got[i] = d.Permit.ID
			})
			if err != nil {
				c.Fatal(err)
			}
		}
		time.Sleep(10 * time.Second) // queued requests wait longer than the silence timeout of the link
		mu.Lock()
		for i := range responses {
			go responses[len(responses)-1-i]()
		}
		mu.Unlock()
		time.Sleep(time.Second)
		mu.Lock()
		defer mu.Unlock()
		for i := range uint64(20) {
			if d, ok := got[i]; !ok || d != i {
				c.Errorf("request %d: got the response to %d, %v", i, d, ok)
			}
		}
	})
}

// Guards against a link that went silent for good and blocks calls: they must fail within
// 1.5 s, and later calls work on a new connection.
func TestSilentLink(t *testing.T) {
	withPair(t, Handlers{Held: held}, func(c pairCase) {
		for range 3 {
			time.Sleep(170 * time.Millisecond)
			if err := c.held(); err != nil {
				c.Fatal(err)
			}
			c.net.Silence(all)
			began := time.Now()
			err := c.held()
			l, ok := errors.AsType[*LinkError](err)
			if !ok || !l.Sent || !errors.Is(err, ErrSilent) {
				c.Errorf("call on a silent link: got %v", err)
			}
			if got := time.Since(began); got > 1500*time.Millisecond {
				c.Errorf("silent link found after %v", got)
			}
			if err := c.held(); err != nil {
				c.Errorf("call on a new connection: got %v", err)
			}
		}
	})
}

// Guards against a node that is gone but not reported by OnRefused, and against reports
// less than 150 ms apart.
func TestRefusals(t *testing.T) {
	withPair(t, Handlers{Held: held}, func(c pairCase) {
		var mu sync.Mutex
		var at []time.Time
		c.a.OnRefused = func(a string, h lease.Instance) {
			mu.Lock()
			defer mu.Unlock()
			at = append(at, time.Now())
			if a != "b:1" || h != c.b.Self {
				c.Errorf("refused: got %s, %v", a, h)
			}
		}
		if err := c.held(); err != nil {
			c.Fatal(err)
		}
		c.b.Close()
		time.Sleep(400 * time.Millisecond)
		mu.Lock()
		defer mu.Unlock()
		if len(at) != 3 {
			c.Fatalf("refusals: got %d, want 3", len(at))
		}
		for i := range 2 {
			if d := at[i+1].Sub(at[i]); d < redialInterval {
				c.Errorf("refusals %v apart", d)
			}
		}
		if err := c.held(); !errors.Is(err, ErrBackoff) {
			c.Errorf("call right after a refusal: got %v, want %v", err, ErrBackoff)
		}
	})
}

// Guards against a response above the limit that closes the link, with the requests that wait on it.
func TestOversizedResponse(t *testing.T) {
	large := func(fleet.GroupID) limit.HeldReport { return limit.HeldReport{Node: strings.Repeat("x", 2000)} }
	withPair(t, Handlers{Held: large}, func(c pairCase) {
		c.a.MaxFrame, c.b.MaxFrame = 1000, 1000
		_, err := c.a.FetchHeld(c.Context(), c.to, fleet.GroupID{Pool: "p"})
		if _, refused := errors.AsType[*RemoteError](err); !refused {
			c.Errorf("got %v, want a refusal", err)
		}
	})
}

// Guards against links that stay open without use, and against pings on them.
func TestIdleLink(t *testing.T) {
	withPair(t, Handlers{Held: held}, func(c pairCase) {
		if err := c.held(); err != nil {
			c.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		before := c.a.Stats().FramesOut
		time.Sleep(20 * time.Second)
		if got := c.a.Stats().FramesOut - before; got != 0 {
			c.Errorf("frames on an idle link: got %d, want 0", got)
		}
		time.Sleep(10 * time.Second)
		if got := len(c.a.all()); got != 0 {
			c.Errorf("links after 30 s without use: got %d, want 0", got)
		}
		if got := c.a.Stats().Silent; got != 0 {
			c.Errorf("silent links: got %d, want 0", got)
		}
	})
}

// Guards against invalid bytes from a peer that crash a node or are handled as a message.
func TestBadPeers(t *testing.T) {
	raw := func(b string) func(*Mesh, net.Conn) {
		return func(_ *Mesh, n net.Conn) { n.Write([]byte(b)) }
	}
	after := func(b string) func(*Mesh, net.Conn) {
		return func(m *Mesh, n net.Conn) {
			m.dialHello(n, bufio.NewReader(n), Protocol)
			n.Write([]byte(b))
		}
	}
	tests := []struct {
		name string
		send func(*Mesh, net.Conn)
		want Stats
	}{
		{"no frame", raw("GET / HTTP/1.1\r\n\r\n"), Stats{Oversized: 1}},
		{"large hello", raw("\x00\x00\x08\x00"), Stats{Oversized: 1}},
		{"request before hello", raw("\x00\x00\x00\x04\x93\x06\x01\xc0"), Stats{Unauthenticated: 1}},
		{"other version", func(m *Mesh, n net.Conn) {
			h := m.newHello(Protocol)
			h.Protocol++
			m.writeHello(n, TypeHello, h)
		}, Stats{BadVersions: 1}},
		{"version before the previous one", func(m *Mesh, n net.Conn) {
			m.writeHello(n, TypeHello, m.newHello(previousProtocol-1))
		}, Stats{BadVersions: 1}},
		{"wrong key", func(m *Mesh, n net.Conn) {
			r := bufio.NewReader(n)
			m.writeHello(n, TypeHello, m.newHello(Protocol))
			m.readHello(r, TypeHello, &wire.Hello{})
			m.writeHello(n, TypeProof, &wire.Proof{Mac: strings.Repeat("x", 32)})
		}, Stats{Unauthenticated: 1}},
		{"oversized", after("\xff\xff\xff\xff"), Stats{Oversized: 1}},
		{"unknown type", after("\x00\x00\x00\x04\x93\x7f\x01\xc0"), Stats{BadFrames: 1}},
		{"array of 4 billion", after("\x00\x00\x00\x08\x93\x06\x01\xdd\xff\xff\xff\xff"), Stats{BadFrames: 1}},
		{"string of 4 billion", after("\x00\x00\x00\x09\x93\x0b\x01\x91\xdb\xff\xff\xff\xff"), Stats{BadFrames: 1}},
		{"other fields", after("\x00\x00\x00\x05\x93\x0b\x01\x91\x01"), Stats{BadFrames: 1}},
		{"unknown name", after("\x00\x00\x00\x06\x93\x0a\x01\x92\x01\x05"), Stats{BadFrames: 1}},
		{"names out of order", after("\x00\x00\x00\x06\x93\x1b\x00\x92\x05\x90"), Stats{BadFrames: 1}},
		{"nothing", func(*Mesh, net.Conn) {}, Stats{}},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			withPair(t, Handlers{Held: held, Withdraw: func(lease.Instance, fleet.GroupID, uint64) {}}, func(c pairCase) {
				n, err := c.net.Dial(c.Context(), "x", "b:1")
				if err != nil {
					c.Fatal(err)
				}
				x.send(c.a, n)
				time.Sleep(2 * time.Second)
				n.SetReadDeadline(time.Now().Add(time.Second))
				for err == nil {
					_, err = n.Read(make([]byte, 512))
				}
				if e, ok := errors.AsType[net.Error](err); ok && e.Timeout() {
					c.Error("link is still open")
				}
				got := c.b.Stats()
				got = Stats{BadFrames: got.BadFrames, Oversized: got.Oversized, BadVersions: got.BadVersions, Unauthenticated: got.Unauthenticated}
				if got != x.want {
					c.Errorf("counts: got %+v, want %+v", got, x.want)
				}
				if err := c.held(); err != nil {
					c.Errorf("call of a good peer: got %v", err)
				}
			})
		})
	}
}

// Guards against a dialler that accepts a peer without the key.
func TestWrongAcceptor(t *testing.T) {
	withPair(t, Handlers{Held: held}, func(c pairCase) {
		c.a.Key = []byte("other")
		var h *HelloError
		if err := c.held(); !errors.As(err, &h) {
			c.Errorf("got %v, want *HelloError", err)
		}
	})
}

// Guards against promises that wait for busy handlers of other messages, and against an
// unbounded queue of requests.
func TestBusyHandlers(t *testing.T) {
	var blocked atomic.Int32
	h := Handlers{
		Held: func(fleet.GroupID) limit.HeldReport {
			blocked.Add(1)
			time.Sleep(time.Minute)
			return limit.HeldReport{}
		},
		Promise: func(a lease.PromiseRequest) lease.Promise { return lease.Promise{Standby: a.Holder} },
	}
	withPair(t, h, func(c pairCase) {
		var busy atomic.Int32
		for range maxQueuedRequests + defaultWorkers + 10 {
			err := c.a.Start("b:1", TypeHeldQuery, &wire.HeldQuery{}, time.Hour, func(_ Reply, err error) {
				if f, ok := errors.AsType[*RemoteError](err); ok && f.Code == CodeBusy {
					busy.Add(1)
				}
			})
			if err != nil {
				time.Sleep(time.Millisecond)
			}
		}
		time.Sleep(time.Second)
		p, err := c.a.Promise(c.Context(), c.to, lease.PromiseRequest{Holder: c.a.Self})
		if err != nil || p.Standby != c.a.Self {
			c.Errorf("promise: got %v, %v", p, err)
		}
		if got := blocked.Load(); got != defaultWorkers {
			c.Errorf("handlers at work: got %d, want %d", got, defaultWorkers)
		}
	})
}
