package permit

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/core/lease"
	"bergamotspring/core/limit"
	"bergamotspring/core/member"
	"bergamotspring/io/peer"
	"bergamotspring/io/standin"
)

var permitGroup = fleet.GroupID{Pool: "p", Domain: "d"}

// oneSlotLimiter is a limiter of one server with one slot.
type oneSlotLimiter struct {
	mu    sync.Mutex
	epoch uint64
	used  uint64 // permit that holds the slot, 0: none
	last  uint64
	queue []limit.Request
}

func (s *oneSlotLimiter) limiter() LocalLimiter {
	return LocalLimiter{Submit: s.submit, Release: s.release, Summary: func() limit.Summary { return limit.Summary{Usable: true} }}
}

func (s *oneSlotLimiter) submit(a limit.Request) []limit.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = append(s.queue, a)
	return s.grant()
}

func (s *oneSlotLimiter) release(r limit.Release) []limit.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Epoch == s.epoch && r.Permit == s.used {
		s.used = 0
	}
	return s.grant()
}

func (s *oneSlotLimiter) grant() []limit.Decision {
	if s.used != 0 || len(s.queue) == 0 {
		return nil
	}
	a := s.queue[0]
	s.queue = s.queue[1:]
	s.last++
	s.used = s.last
	m := limit.Permit{
		ID: s.last, Epoch: s.epoch, RequestID: a.ID, Group: a.Group, Server: "s",
		SendBy: 500 * time.Millisecond, HoldUntil: a.Deadline + decisionGrace,
	}
	return []limit.Decision{{Request: a, Permit: m}}
}

func (s *oneSlotLimiter) inUse() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used
}

// permitCase has a node a that holds no lease, and nodes b and c that can hold it.
type permitCase struct {
	*testing.T
	net      *standin.Network
	brokers  map[string]*Broker
	limiters map[string]*oneSlotLimiter

	mu     *sync.Mutex
	holder string // the lease holder that all nodes know
}

func withPermits(t *testing.T, f func(*permitCase)) {
	synctest.Test(t, func(t *testing.T) {
		c := &permitCase{T: t, net: &standin.Network{}, brokers: map[string]*Broker{}, limiters: map[string]*oneSlotLimiter{}, mu: &sync.Mutex{}}
		c.net.Latency = func(string, string) time.Duration { return 2 * time.Millisecond }
		c.move("b")
		for i, n := range []string{"a", "b", "c"} {
			c.limiters[n] = &oneSlotLimiter{epoch: uint64(i)}
			defer c.start(n).Close()
		}
		f(c)
	})
}

func (c *permitCase) move(to string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holder = to
}

func (c *permitCase) current() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holder
}

func (c *permitCase) start(name string) *peer.Mesh {
	m := &peer.Mesh{
		Self: lease.Instance{Node: name, Incarnation: "1"}, Key: []byte("k"), Dial: c.net.Dialer(name),
		Listen: func(_, at string) (net.Listener, error) { return c.net.Listen(at) },
	}
	p := &Broker{
		Self: m.Self,
		Holder: func(fleet.GroupID) (member.Node, bool) {
			n := c.current()
			return member.Node{Instance: lease.Instance{Node: n, Incarnation: "1"}, Peer: n + ":1"}, true
		},
		Local: func(fleet.GroupID) (LocalLimiter, bool) { return c.limiters[name].limiter(), c.current() == name },
		Links: Links{Request: m.RequestPermit, Releases: m.Releases, Withdraw: m.Withdraw},
	}
	h := peer.Handlers{Request: p.OnRequest, Releases: p.OnReleases, Withdraw: p.OnWithdraw, Held: p.HeldReport}
	h.Register(m)
	if _, _, err := m.Serve(name + ":1"); err != nil {
		c.Fatal(err)
	}
	c.brokers[name] = p
	return m
}

func (c *permitCase) acquire(node string, deadline time.Duration) (limit.Permit, error) {
	ctx, cancel := context.WithTimeout(c.Context(), deadline)
	defer cancel()
	return c.brokers[node].Acquire(ctx, limit.Request{Group: permitGroup, Deadline: deadline, Fingerprint: 9})
}

func (c *permitCase) mustAcquire(node string) limit.Permit {
	c.Helper()
	m, err := c.acquire(node, 4*time.Second)
	if err != nil {
		c.Fatalf("acquire at %s: %v", node, err)
	}
	return m
}

func (c *permitCase) releaseAs(node string, m limit.Permit, r limit.Result) {
	c.brokers[node].Release(limit.Release{Permit: m.ID, Epoch: m.Epoch, Group: m.Group, Server: m.Server, Result: r, Service: time.Second})
}

// Guards against a queued request that gets no permit when the slot becomes free,
// whichever node waits and whichever node frees it.
func TestPermitsQueued(t *testing.T) {
	withPermits(t, func(c *permitCase) {
		for _, free := range []string{"a", "b", "c"} {
			for _, wait := range []string{"a", "b", "c"} {
				m := c.mustAcquire(free)
				go func() {
					time.Sleep(time.Second)
					c.releaseAs(free, m, limit.Good)
				}()
				began := time.Now()
				next := c.mustAcquire(wait)
				if got := time.Since(began); got < time.Second || got > time.Second+50*time.Millisecond {
					c.Errorf("%s after %s: permit after %v, want 1 s", wait, free, got)
				}
				c.releaseAs(wait, next, limit.Good)
				time.Sleep(50 * time.Millisecond)
			}
		}
	})
}

// Guards against a slot that stays in use for a request whose caller gave up.
func TestPermitsGivenUp(t *testing.T) {
	withPermits(t, func(c *permitCase) {
		for _, n := range []string{"a", "b"} {
			m := c.mustAcquire("c")
			_, err := c.acquire(n, time.Second)
			if r, ok := errors.AsType[*limit.RefusedError](err); !ok || r.Reason != limit.RefusedDeadline {
				c.Errorf("%s: got %v, want refused for the deadline", n, err)
			}
			c.releaseAs("c", m, limit.Good)
			time.Sleep(30 * time.Millisecond) // too short for the permit to be sent and released
			if got := c.limiters["b"].inUse(); got != 0 {
				c.Errorf("%s: permit %d still holds the slot", n, got)
			}
		}
	})
}

// Guards against calls that fail because the lease moved or a link went silent, and
// against a permit whose times are extended by the retry.
func TestPermitsMoved(t *testing.T) {
	withPermits(t, func(c *permitCase) {
		c.releaseAs("a", c.mustAcquire("a"), limit.Good)
		c.net.Silence(func(string, string) bool { return true })
		began := time.Now()
		m := c.mustAcquire("a")
		if got := time.Since(began); got > 1600*time.Millisecond {
			c.Errorf("permit over a new connection after %v", got)
		}
		if got, want := m.SendBy, time.Since(began)+500*time.Millisecond; got > want {
			c.Errorf("send by: got %v, want at most %v", got, want)
		}
		c.move("")
		c.brokers["a"].Holder = func(fleet.GroupID) (member.Node, bool) {
			n := "b"
			if time.Since(began) > 2*time.Second {
				n = "c"
			}
			return member.Node{Instance: lease.Instance{Node: n, Incarnation: "1"}, Peer: n + ":1"}, true
		}
		_, err := c.acquire("a", 3*time.Second)
		if r, ok := errors.AsType[*limit.RefusedError](err); !ok || r.Reason != limit.RefusedNotHolder {
			c.Errorf("no lease holder: got %v, want refused by a node that does not hold the lease", err)
		}
		c.move("c")
		time.Sleep(time.Until(began.Add(1900 * time.Millisecond)))
		if m := c.mustAcquire("a"); m.Epoch != 2 {
			c.Errorf("epoch: got %d, want that of c", m.Epoch)
		}
	})
}

// Guards against a new lease holder that does not know of a permit in use: a grant that
// was in transit when the node reported must not be used.
func TestPermitsHeld(t *testing.T) {
	withPermits(t, func(c *permitCase) {
		a := c.brokers["a"]
		c.releaseAs("a", c.mustAcquire("a"), limit.Good)
		m := c.mustAcquire("a")
		time.Sleep(time.Second)
		r := a.HeldReport(permitGroup)
		if len(r.Held) != 1 || r.Held[0].Permit.ID != m.ID || r.Held[0].Fingerprint != 9 || r.Held[0].Remaining != m.HoldUntil-time.Second-4*time.Millisecond {
			c.Errorf("held: got %+v", r.Held)
		}
		if len(r.Warm) != 1 || r.Warm[0].Server != "s" || r.Warm[0].Service != time.Second {
			c.Errorf("warm: got %+v", r.Warm)
		}
		done := make(chan limit.Permit)
		go func() { done <- c.mustAcquire("a") }()
		time.Sleep(time.Second)
		a.HeldReport(permitGroup)
		c.releaseAs("a", m, limit.Cold)
		if got := <-done; got.ID != m.ID+2 {
			c.Errorf("permit: got %d, want %d, granted after the report", got.ID, m.ID+2)
		}
		if r := a.HeldReport(permitGroup); len(r.Held) != 1 || len(r.Warm) != 0 {
			c.Errorf("after a cold response: got %+v", r)
		}
	})
}
