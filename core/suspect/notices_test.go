package suspect

import (
	"testing"
	"time"
)

// newTestPair returns a counter that knows that segments first, own and dead together crash servers, and one
// that knows nothing.
func newTestPair(t *testing.T) (a, b *testCounter) {
	a, b = newTestCounter(t), newTestCounter(t)
	for i, s := range []string{"a", "b", "c"} {
		a.crash(s, req(uint64(i), first, own, dead))
	}
	a.check("own culprit", req(9, first, own, dead), true)
	b.now = a.now
	return a, b
}

// exchange passes the notices of c to o, which takes them some time later, and back at once. What the
// other has seen cleared is cleared.
func (c *testCounter) exchange(o *testCounter, delay time.Duration) {
	age := func(l []Notice, d time.Duration) []Notice {
		for i := range l {
			l[i].CrashedAt, l[i].RenewedAt = l[i].CrashedAt.Add(d), l[i].RenewedAt.Add(d)
		}
		return l
	}
	for _, r := range o.Adopt("c", age(c.Notices(), delay)) {
		c.ObserveSuccess(r)
	}
	for _, r := range c.Adopt("o", age(o.Notices(), delay)) {
		o.ObserveSuccess(r)
	}
}

// pass lets time pass on nodes of which each exchanges notices with the next one each second, delayed by
// 900 ms.
func pass(d time.Duration, nodes ...*testCounter) {
	for ; d > 0; d -= time.Second {
		for _, c := range nodes {
			c.now = c.now.Add(time.Second)
		}
		for i, c := range nodes[1:] {
			nodes[i].exchange(c, 900*time.Millisecond)
		}
	}
}

// An adopted culprit stops requests, also waiting ones, and lives while it is resent on any node.
func TestAdopt(t *testing.T) {
	a, b := newTestPair(t)
	var found []Culprit
	b.OnFound = func(k Culprit) { found = append(found, k) }
	stopped, released := 0, 0
	a.OnReleased = func(Culprit) { released++ }
	defer b.Watch(req(9, first, own, dead), func() { stopped++ })()
	a.exchange(b, 0)
	a.exchange(b, 0)
	b.check("adopted", req(9, first, own, dead), true)
	b.check("sound", req(9, first, own), false)
	if stopped != 1 || len(found) != 1 || found[0].From != "c" || found[0].Crashes != poisonThreshold {
		t.Errorf("%d waiting requests stopped, found %+v; want 1 of each, from c", stopped, found)
	}
	for range 5 {
		pass(crashTTL/2, a, b)
		b.check("resent", req(9, first, own, dead), true)
	}
	pass(2*time.Second, a, b)
	if released > 0 {
		t.Error("the finder released it while another node refused requests")
	}
	c := newTestCounter(t)
	c.now = a.now
	a.exchange(c, 0)
	c.check("passed on by the finder, while only others refuse", req(9, first, own, dead), true)
}

// Nodes that pass a culprit on to each other, with delays, do not keep it alive.
func TestAdoptedExpires(t *testing.T) {
	a, b := newTestPair(t)
	c, released := newTestCounter(t), 0
	c.now = a.now
	b.OnReleased = func(Culprit) { released++ }
	pass(crashTTL/2, a, b, c)
	b.check("resent once", req(9, first, own, dead), true)
	pass(countedFor+5*time.Second, a, b, c)
	if l := append(a.Notices(), b.Notices()...); len(l) > 0 || released != 1 {
		t.Errorf("got notices %v, released %d times; want none, once", l, released)
	}
	a.check("finder", req(9, first, own, dead), false)
	b.check("other", req(9, first, own, dead), false)
}

// A response narrows or releases an adopted culprit. A node that was not told of it has it cleared as it
// sends its notice, unless servers crashed since.
func TestAdoptedCleared(t *testing.T) {
	a, b := newTestPair(t)
	a.exchange(b, 0)
	pass(time.Second, a, b)
	if !b.ObserveResponse(req(1, first, own)) || b.ObserveResponse(req(1, first, own)) {
		t.Error("ObserveResponse does not report what it cleared")
	}
	b.check("narrowed", req(9, dead), true)
	a.exchange(b, 0)
	a.check("narrowed where it was found", req(9, dead), true)
	b.ObserveResponse(req(1, dead))
	b.check("released", req(9, first, own, dead), false)
	a.exchange(b, 0)
	b.check("still released", req(9, first, own, dead), false)
	a.check("released where it was found", req(9, first, own, dead), false)
	for i, s := range []string{"d", "e", "f"} {
		a.crash(s, req(uint64(20+i), dead))
	}
	b.now = a.now
	a.exchange(b, 0)
	b.check("found again", req(9, dead), true)
}

// Notices that no node with the same rules sends are not adopted, and the number of others is bounded.
func TestAdoptChecks(t *testing.T) {
	c := newTestCounter(t)
	sound := Notice{Culprit: Culprit{Segments: []uint64{dead}, Crashes: poisonThreshold}, CrashedAt: c.now, RenewedAt: c.now}
	for i, change := range []func(*Notice){
		func(n *Notice) { n.Segments = nil },
		func(n *Notice) { n.Segments = make([]uint64, maxNoticeSegments+1) },
		func(n *Notice) { n.Crashes = poisonThreshold - 1 },
		func(n *Notice) { n.RenewedAt = c.now.Add(time.Second) },
		func(n *Notice) { n.RenewedAt = c.now.Add(-noticeTTL - time.Second) },
		func(n *Notice) { n.Renewals = -1 },
		func(n *Notice) { n.Renewals = maxRenewals + 1 },
	} {
		n := sound
		change(&n)
		if c.Adopt("o", []Notice{n}); len(c.Notices()) > 0 {
			t.Errorf("notice %d was adopted: %+v", i, n)
		}
	}
	for i := range uint64(3 * maxNotices) {
		n := sound
		n.Segments = []uint64{i + 1}
		c.Adopt("o", []Notice{n})
	}
	if got := len(c.culprits); got != maxNotices {
		t.Errorf("%d culprits adopted, want %d", got, maxNotices)
	}
}

// The last crash of a culprit does not seem later the longer nodes exchange it.
func TestCrashAges(t *testing.T) {
	a, b := newTestPair(t)
	crashed := a.now
	for range 60 {
		a.now, b.now = a.now.Add(time.Second), b.now.Add(time.Second)
		a.exchange(b, 50*time.Millisecond)
	}
	for _, c := range []*testCounter{a, b} {
		if got := c.Notices()[0].CrashedAt.Sub(crashed); got > maxNoticeDelay {
			t.Errorf("after a minute, the crash seems %v later than it was", got)
		}
	}
}
