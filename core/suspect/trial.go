package suspect

// This file defines trials. Nothing runs with what a culprit refuses, so no response would clear a wrong one.
// So one request is let through for all nodes some time after the culprit's last crash. A response clears the
// culprit; a crash confirms it, and the next trial is far later. One node, the arbiter, grants the trials.
// A request that is a culprit by itself is tried as late as if a trial had crashed a server: only its copies
// are refused for it. One that only bursts have shown is tried earlier; see burst.go.

import (
	"slices"
	"time"
)

const (
	// trialDelay is how long after its last crash a culprit is first tried. By then all nodes know of the
	// crash, and what ran before it was known has ended.
	trialDelay = 5 * time.Second
	// crashFactor is how many times as long the delay is after each trial that crashed a server.
	crashFactor = 100
	// maxTrialCrashes bounds the crashes of trials that extend the delay, which is years by then.
	maxTrialCrashes = 4
	// grantFactor is how many times as long the arbiter waits after each trial that had no outcome.
	grantFactor = 4
	// askInterval is the minimum time between two questions of a node to the arbiter.
	askInterval = time.Second
	// maxTrialWait bounds how long a node is told to wait, as the culprit may change meanwhile.
	maxTrialWait = time.Minute
)

// trial is what a node remembers of the trials of a culprit.
type trial struct {
	Culprit
	notBefore time.Time     // no trial is granted, or asked for, earlier
	pause     time.Duration // after the last grant of this node
}

// trials holds what a node remembers of the trials of its culprits.
type trials []trial

// of returns the record of a culprit, or of one that it was a part of.
func (l *trials) of(k Culprit) *trial {
	i := slices.IndexFunc(*l, func(t trial) bool { return t.includes(k) || k.includes(t.Culprit) })
	if i < 0 {
		i = len(*l)
		*l = append(*l, trial{Culprit: k, pause: trialDelay})
	}
	return &(*l)[i]
}

// retain deletes what is no longer about any culprit.
func (l *trials) retain(culprits []Culprit) {
	*l = slices.DeleteFunc(*l, func(t trial) bool {
		return !slices.ContainsFunc(culprits, func(k Culprit) bool { return t.includes(k) || k.includes(t.Culprit) })
	})
}

// AskTrial reports whether the arbiter is to be asked for a trial of a request that is refused. The next
// question follows after askInterval, or as DelayTrial says.
func (c *Counter) AskTrial(r Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.trialWait(r) > 0 {
		return false
	}
	c.delayTrial(r, askInterval)
	return true
}

// DelayTrial records how long the arbiter wants to hear no more of a request's culprits.
func (c *Counter) DelayTrial(r Request, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delayTrial(r, min(wait, maxTrialWait))
}

func (c *Counter) delayTrial(r Request, wait time.Duration) {
	for _, k := range c.culpritsOf(r) {
		c.trials.of(k).notBefore = c.now().Add(wait)
	}
}

// GrantTrial returns 0 if a request may run although it is refused; the arbiter calls it. Otherwise it returns
// how long it is to be asked no more.
func (c *Counter) GrantTrial(r Request) (wait time.Duration) {
	c.mu.Lock()
	notify := func() {}
	if c.stale {
		notify = c.search()
	}
	wait = c.grantTrial(r)
	c.mu.Unlock()
	notify()
	return wait
}

func (c *Counter) grantTrial(r Request) (wait time.Duration) {
	l := c.culpritsOf(r)
	if len(l) == 0 {
		return trialDelay // cleared, as the other node will hear
	}
	if w := c.trialWait(r); w > 0 {
		return min(w, maxTrialWait)
	}
	for _, k := range l {
		t := c.trials.of(k)
		t.pause *= grantFactor
		t.notBefore = c.now().Add(t.pause)
	}
	return 0
}

// culpritsOf returns all culprits of a request. The lock is held.
func (c *Counter) culpritsOf(r Request) []Culprit {
	return slices.DeleteFunc(slices.Clone(c.culprits), func(k Culprit) bool { return !k.matches(r) })
}

// trialWait returns the time until a trial of a request is due, at most 0 if it is. The lock is held.
func (c *Counter) trialWait(r Request) time.Duration {
	var due time.Time
	for _, k := range c.culpritsOf(r) {
		for _, t := range []time.Time{c.notices.trialAt(k), c.trials.of(k).notBefore} {
			if due.Before(t) {
				due = t
			}
		}
	}
	return due.Sub(c.now())
}
