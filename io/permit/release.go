package permit

// This file defines how releases reach the homes: at once in this process, in batches
// over links.

import (
	"errors"
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/core/limit"
	"bergamotspring/core/member"
)

const (
	releaseFlush = 20 * time.Millisecond
	// releaseRetry is the wait after a failed send, or while no home is known.
	releaseRetry = 250 * time.Millisecond
	// releaseTries bounds the sends of a release to about the time for which its slot
	// counts; after that it has no effect.
	releaseTries = 40
	releasesKept = 8192
)

type queuedRelease struct {
	release limit.Release
	tries   int
}

// releaseBatch is what waits for one home.
type releaseBatch struct {
	to  member.Node
	all []queuedRelease
}

// Release ends a permit.
func (p *Broker) Release(r limit.Release) {
	p.released(r)
	p.release(r)
}

func (p *Broker) release(r limit.Release) {
	if h, ok := p.Local(r.Group); ok {
		p.Deliver(h.Release(r))
		return
	}
	p.queue([]queuedRelease{{release: r}}, releaseFlush)
	if to, ok := p.Holder(r.Group); ok && p.wanted(r.Group) {
		p.flushTo(to.Peer)
	}
}

// wanted reports whether calls waited for a slot of the group when its home last told
// of it. Each 20 ms that a slot then stands idle is 3% of a call of 0.6 s.
func (p *Broker) wanted(g fleet.GroupID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	a, ok := p.heard[g]
	return ok && a.Summary.Queued > 0
}

// queue adds releases to the batches of their homes, to be flushed within d.
func (p *Broker) queue(l []queuedRelease, d time.Duration) {
	for _, q := range l {
		to, _ := p.Holder(q.release.Group)
		p.mu.Lock()
		b := p.outgoing[to.Peer]
		if b == nil {
			b = &releaseBatch{to: to}
			put(&p.outgoing, to.Peer, b)
		}
		if len(b.all) < releasesKept {
			b.all = append(b.all, q)
		}
		p.mu.Unlock()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.flushing && len(p.outgoing) > 0 {
		p.flushing = true
		time.AfterFunc(d, p.Flush)
	}
}

// Flush sends all waiting releases. It is called at a planned stop; otherwise releases
// are flushed within 20 ms.
func (p *Broker) Flush() {
	p.mu.Lock()
	l := p.outgoing
	p.outgoing = nil
	p.flushing = false
	p.mu.Unlock()
	for _, b := range l {
		p.sendBatch(b)
	}
}

// flushTo sends the releases that wait for one home.
func (p *Broker) flushTo(address string) {
	p.mu.Lock()
	b := p.outgoing[address]
	delete(p.outgoing, address)
	p.mu.Unlock()
	if b != nil {
		p.sendBatch(b)
	}
}

// sendBatch sends a batch. What no home took is queued again, for the home that is
// known then: a lost release would keep a slot until HoldUntil.
func (p *Broker) sendBatch(b *releaseBatch) {
	l := make([]limit.Release, 0, len(b.all))
	var again []queuedRelease
	for _, q := range b.all {
		if h, ok := p.Local(q.release.Group); ok {
			p.Deliver(h.Release(q.release)) // the group moved here
			continue
		}
		l = append(l, q.release)
		if q.tries++; q.tries < releaseTries {
			again = append(again, q)
		}
	}
	if len(l) == 0 {
		return
	}
	retry := func(err error) {
		if err != nil {
			p.queue(again, releaseRetry)
		}
	}
	if b.to.Peer == "" || b.to.Instance == p.Self {
		retry(errNoHome)
		return
	}
	if err := p.Links.Releases(b.to, l, retry); err != nil {
		retry(err)
	}
}

var errNoHome = errors.New("node: no home known")
