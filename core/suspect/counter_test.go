package suspect

import (
	"slices"
	"strconv"
	"testing"
	"time"
)

// testCounter is a Counter with a clock that the test sets.
type testCounter struct {
	Counter
	t   *testing.T
	now time.Time
}

func newTestCounter(t *testing.T) *testCounter {
	c := &testCounter{t: t, now: time.Unix(1e6, 0)}
	c.Now = func() time.Time { return c.now }
	return c
}

// crash records a crash of a server, a second after the last one.
func (c *testCounter) crash(server string, r ...Request) {
	c.now = c.now.Add(time.Second)
	c.ObserveCrash(server, r)
}

// check checks whether a request is poison.
func (c *testCounter) check(what string, r Request, want bool) {
	c.t.Helper()
	if _, got := c.IsPoison(r); got != want {
		c.t.Errorf("%s: poison %v, want %v", what, got, want)
	}
}

func req(fingerprint uint64, segments ...uint64) Request {
	return Request{Fingerprint: fingerprint, Segments: segments}
}

// A request that was on three servers when they crashed does not run again as long as it is
// resent.
func TestCounter(t *testing.T) {
	c := newTestCounter(t)
	for _, s := range []string{"a", "b", "b", "c"} { // two reports on the crash of b
		c.check("before "+s, req(1), false)
		c.crash(s, req(1))
	}
	for range 5 {
		c.now = c.now.Add(crashTTL - time.Second)
		c.check("resent", req(1), true)
	}
	c.check("another request", req(2), false)
	c.now = c.now.Add(crashTTL + time.Second)
	c.check("after the TTL", req(1), false)
}

// A server that restarts under its id crashes more than once.
func TestCounterCountsRestartedServer(t *testing.T) {
	c := newTestCounter(t)
	for range poisonThreshold {
		c.now = c.now.Add(sameCrash)
		c.crash("a", req(1))
	}
	c.check("after three crashes", req(1), true)
}

// A request that succeeds between crashes was on the crashed servers by chance.
func TestCounterClearedBySuccess(t *testing.T) {
	c := newTestCounter(t)
	c.crash("a", req(1))
	c.crash("b", req(1))
	if !c.ObserveSuccess(req(1)) || c.ObserveSuccess(req(1)) {
		t.Error("ObserveSuccess does not report whether crashes were counted")
	}
	c.crash("c", req(1))
	c.check("it succeeded", req(1), false)
}

const dead, first, own = 0xdead, 0xf, 0xe

// Requests that share one deadly segment, no two alike: the segment is found at the third
// crash, although all have sound segments in common and sound requests were on the servers.
func TestCounterFindsSegment(t *testing.T) {
	c := newTestCounter(t)
	var found []Culprit
	c.OnFound = func(k Culprit) { found = append(found, k) }
	stopped := 0
	defer c.Watch(req(9, first, own, dead), func() { stopped++ })()
	for i, s := range []string{"a", "b", "c"} {
		c.check("before "+s, req(8, first, own, dead), false)
		c.crash(s, req(uint64(i/2), first, own, dead), req(50, first, 7), req(51, 0x77))
	}
	c.check("deadly segment", req(9, first, own, dead), true)
	c.check("the other segments", req(9, first, own), false)
	c.check("a request that was on all three servers", req(50, first, 7), false)
	if stopped != 1 {
		t.Errorf("a waiting request was stopped %d times, want 1", stopped)
	}
	c.check("another order, not known yet", req(9, dead, first), false)
	if !c.ObserveResponse(req(0, first, own)) {
		t.Error("a response with suspected segments does not count")
	}
	c.check("alone, as the others are cleared", req(9, dead), true)
	if l := found[len(found)-1].Segments; !slices.Equal(l, []uint64{dead}) {
		t.Errorf("culprit %x, want %x", l, dead)
	}
	c.crash("d", req(50, first, 7))
	c.check("after a crash that nothing explains", req(50, first, 7), false)
}

// A segment that comes after different ones is found by its own crashes.
func TestCounterFindsSegmentAmongOthers(t *testing.T) {
	c := newTestCounter(t)
	for i, s := range []string{"a", "b", "c", "d"} {
		c.crash(s, req(uint64(i), uint64(i), dead))
	}
	c.check("after new segments", req(9, 5, 6, dead), true)
}

// A deadly segment that comes with others than in its first crashes is found after two more; a single
// crash of another cause does not condemn a sound one that always came with it.
func TestCounterFindsSegmentInOtherCompany(t *testing.T) {
	c := newTestCounter(t)
	for i, s := range []string{"a", "b", "c"} {
		c.crash(s, req(uint64(i), first, own, dead))
	}
	c.crash("other cause", req(70, first, 7))
	c.check("sound", req(71, first, 8), false)
	c.check("deadly", req(9, first, own, dead), true)
	for i, s := range []string{"d", "e"} {
		c.check("before "+s, req(9, 5, 6, dead), false)
		c.crash(s, req(uint64(10+i), uint64(20+i), uint64(30+i), dead))
	}
	c.check("in other company", req(9, 5, 6, dead), true)
	c.check("sound", req(71, first, own), false)
}

// Sound popular segments are not found: servers that crash together count once, and a response
// between crashes clears a segment.
func TestCounterSparesSoundSegments(t *testing.T) {
	c := newTestCounter(t)
	for i, s := range []string{"a", "b", "c", "d"} {
		c.ObserveCrash(s, []Request{req(uint64(i), first)})
	}
	c.check("servers that crashed together", req(9, first), false)
	for _, s := range []string{"p", "q", "r"} {
		c.now = c.now.Add(10 * time.Millisecond)
		c.ObserveCrash(s, []Request{req(70)})
	}
	c.check("equal requests on servers that crashed together", req(70), false)
	c.ObserveResponse(req(0, first))
	for i, s := range []string{"e", "f", "g", "h"} {
		c.crash(s, req(uint64(i), own))
		c.ObserveResponse(req(0, own))
	}
	c.check("cleared by responses", req(9, own), false)
	for _, s := range []string{"i", "j", "k"} {
		c.crash(s, req(99, first, own))
	}
	c.check("the request that crashes servers", req(99, first, own), true)
	c.check("another one with its segments", req(9, first, own), false)
}

// Sound segments that were on three servers by chance are released once the deadly one, which came in other
// company each time, has two more crashes; nothing else would clear them, as they do not run.
func TestCounterReleasesWrongSegments(t *testing.T) {
	c := newTestCounter(t)
	for i, s := range []string{"a", "b", "c", "d", "e"} {
		l := []Request{req(uint64(i), 0x100+uint64(i), dead)}
		if i < poisonThreshold {
			l = append(l, req(50+uint64(i), first, own))
		}
		c.crash(s, l...)
	}
	c.check("deadly", req(9, 5, dead), true)
	c.check("sound", req(10, first, own), false)
}

// Two deadly segments at the same time are both found.
func TestCounterFindsTwoSegments(t *testing.T) {
	c := newTestCounter(t)
	for i := range uint64(4) {
		c.crash(string(rune('a'+i)), req(i, first, dead), req(40+i, 2))
		c.crash(string(rune('p'+i)), req(20+i, first, own))
		c.ObserveResponse(req(0, first, 2))
	}
	c.check("first one", req(9, dead), true)
	c.check("second one", req(9, own), true)
	c.check("sound one", req(9, first, 2), false)
}

// The crashes of a segment that is refused are not evicted for those of many servers at once.
func TestCounterKeepsCulprits(t *testing.T) {
	c := newTestCounter(t)
	for i, s := range []string{"a", "b", "c"} {
		c.crash(s, req(uint64(i), dead))
	}
	c.check("found", req(9, dead), true)
	c.now = c.now.Add(time.Second)
	for i := range uint64(maxCounted) {
		c.ObserveCrash(string(rune('A'+i%30)), []Request{req(100+i, i)})
	}
	c.check("after the loss of 30 servers", req(9, dead), true)
}

func TestCounterIsBounded(t *testing.T) {
	c := newTestCounter(t)
	for i := range uint64(maxCounted) { // three times as much is counted
		c.now = c.now.Add(time.Millisecond)
		c.ObserveCrash(string(rune(i%1000)), []Request{req(i, i, i+1)})
		if c.counted > maxCounted {
			t.Fatalf("%d counted, want at most %d", c.counted, maxCounted)
		}
	}
}

// A deadly segment is found on servers that are full, also if two more crash in between.
func TestCounterFindsSegmentOnFullServers(t *testing.T) {
	c := newTestCounter(t)
	id := uint64(1000)
	crashFull := func(server string, more ...Request) {
		for range 400 {
			id += 2
			more = append(more, req(id, id%4, id%150, id+1))
		}
		c.ObserveCrash(server, more)
	}
	for i, s := range []string{"a", "b", "c"} {
		c.now = c.now.Add(time.Minute)
		crashFull(s, req(uint64(i), first, dead))
		c.ObserveResponse(req(9, first, 0, 1, 2, 3))
		for j := range uint64(150) {
			c.ObserveResponse(req(9, j))
		}
		for j := range 2 {
			if i == 1 {
				crashFull(string(rune('A' + j)))
			}
		}
	}
	c.check("after three crashes", req(900, first, dead), true)
	c.check("sound", req(900, first, 3), false)
}

// A failure domain that is lost is seen server by server: its crashes do not condemn what its servers ran, but those
// of a deadly segment that is sent to one domain do, once they go on.
func TestCounterSparesLostDomain(t *testing.T) {
	c := newTestCounter(t)
	c.Domain = func(server string) string { return server[:1] }
	for i, s := range []string{"a1", "a2", "a3", "a4"} {
		c.now = c.now.Add(600 * time.Millisecond)
		c.ObserveCrash(s, []Request{req(uint64(i), first), req(70)})
	}
	c.check("on the servers of a lost domain", req(9, first), false)
	c.check("equal requests there", req(70), false)
	c.now = c.now.Add(time.Minute)
	for i, s := range []string{"b1", "b2", "b3", "b4"} {
		c.crash(s, req(uint64(20+i), dead))
	}
	c.check("goes on", req(9, dead), true)
}

// Requests with a deadly segment that come now and then are found as well.
func TestCounterFindsRareSegment(t *testing.T) {
	c := newTestCounter(t)
	for i, s := range []string{"a", "b", "c"} {
		c.now = c.now.Add(20 * time.Minute)
		c.crash(s, req(uint64(i), first, dead))
		c.ObserveResponse(req(40, first))
	}
	c.now = c.now.Add(20 * time.Minute)
	c.check("after three crashes", req(9, first, dead), true)
}

// A response to a request that was in no crash costs little, however much is recorded.
func BenchmarkResponse(b *testing.B) {
	now := time.Unix(1e6, 0)
	c := &Counter{Now: func() time.Time { return now }}
	id := uint64(maxCounted)
	for i := range maxCounted / 64 {
		now = now.Add(time.Second)
		var l []Request
		for range 8 {
			l = append(l, req(id, id+1, id+2, id+3, id+4, id+5, id+6, id+7))
			id += 8
		}
		c.ObserveCrash(strconv.Itoa(i), l)
	}
	r := req(1, 1, 2, 3, 4, 5, 6, 7, 8)
	for b.Loop() {
		c.ObserveResponse(r)
	}
}

// The check of a request costs little, however many servers crashed in the last hours.
func BenchmarkIsPoison(b *testing.B) {
	now := time.Now().Add(-time.Hour)
	c := &Counter{Now: func() time.Time { return now }}
	for i := range 1000 {
		now = now.Add(time.Second)
		c.ObserveCrash(strconv.Itoa(i), []Request{req(1, uint64(i))})
		c.ObserveSuccess(req(1, uint64(i)))
	}
	c.Now = time.Now
	for b.Loop() {
		c.IsPoison(req(2, 3000))
	}
}
