package suspect

import (
	"fmt"
	"testing"
	"time"
)

// burst records crashes of n servers within some milliseconds, with the same requests.
func (c *testCounter) burst(n int, r ...Request) {
	c.now = c.now.Add(time.Second)
	for i := range n {
		c.now = c.now.Add(2 * time.Millisecond)
		c.ObserveCrash(fmt.Sprint(c.now, i), append([]Request{req(uint64(1000 + i))}, r...))
	}
}

// A request that is sent from several sides at once crashes three servers at the same moment: it is refused from then
// on, but for one trial after some seconds, which crashes a fourth one and is the last for long.
func TestBurst(t *testing.T) {
	c := newTestCounter(t)
	c.burst(2, req(1))
	c.check("after two crashes", req(1), false)
	c.burst(1, req(1))
	c.check("after three crashes in two groups", req(1), true)

	c = newTestCounter(t)
	c.burst(3, req(1))
	c.check("after three crashes at once", req(1), true)
	c.check("one that was on one of the servers", req(1000), false)
	if got := c.GrantTrial(req(1)); got != burstTrialDelay {
		t.Errorf("a trial at once: wait %v, want %v", got, burstTrialDelay)
	}
	trials := 0
	for start := c.now; c.now.Sub(start) < 8*time.Minute; c.now = c.now.Add(time.Second) {
		c.check("later", req(1), true)
		if c.GrantTrial(req(1)) == 0 {
			trials++
			c.crash(fmt.Sprint("trial", trials), req(1))
		}
	}
	if trials != 2 {
		t.Errorf("got %d trials in 8 minutes, each of which crashed a server, want 2", trials)
	}
}

// A burst counts although another server crashes at that moment. Servers that are lost with sound requests on some of
// them are no burst.
func TestBurstOrLoss(t *testing.T) {
	for _, x := range []struct {
		with, without int
		want          bool
	}{{3, 0, true}, {3, 1, true}, {3, 2, false}, {4, 2, false}, {5, 2, true}, {2, 0, false}} {
		c := newTestCounter(t)
		c.now = c.now.Add(time.Second)
		for i := range x.without {
			c.ObserveCrash(fmt.Sprint("other", i), []Request{req(uint64(i + 100))})
		}
		for i := range x.with {
			c.ObserveCrash(fmt.Sprint("with", i), []Request{req(1), req(uint64(i + 200))})
		}
		c.check(fmt.Sprintf("%d crashes with the request, %d without it", x.with, x.without), req(1), x.want)
		c.check("a request that was on one server", req(200), false)
	}
}

// A burst in one failure domain is told from the loss of the domain by the requests that were not in it.
func TestBurstInOneDomain(t *testing.T) {
	for without, want := range map[int]bool{0: true, 4: false} {
		c := newTestCounter(t)
		c.Domain = func(string) string { return "a" }
		c.burst(without)
		c.now = c.now.Add(time.Millisecond - time.Second) // the same moment
		c.burst(4, req(1))
		c.check(fmt.Sprintf("%d crashes without it", without), req(1), want)
	}
}

// A sound request that was on all servers which were lost at one moment runs again after its trial.
func TestBurstOfSoundRequest(t *testing.T) {
	c := newTestCounter(t)
	c.burst(3, req(1))
	c.check("on all servers that were lost", req(1), true)
	if k, _ := c.IsPoison(req(1)); k.RetryAfter() != burstTrialDelay {
		t.Errorf("its callers are to wait for %v, want %v", k.RetryAfter(), burstTrialDelay)
	}
	c.now = c.now.Add(burstTrialDelay)
	if got := c.GrantTrial(req(1)); got != 0 {
		t.Errorf("the first trial: wait %v, want none", got)
	}
	c.ObserveSuccess(req(1))
	c.check("after its trial", req(1), false)
}
