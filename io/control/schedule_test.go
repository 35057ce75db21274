package control

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/core/member"
)

var (
	firstSeed = flag.Uint64("first-seed", 1, "first seed of the schedules of faults")
	trace     = flag.Bool("trace-faults", false, "log the faults")
	seeds     = flag.Uint64("seeds", 6, "number of schedules of faults")
)

// Guards against two nodes with authority over one group at once, and against epochs
// that do not rise, under pauses, lost and late table responses, table outages,
// partitions, crashes with and without proof, restarts, planned stops and clocks that
// are off by 5%, two or three at once; and against groups that stay without a lease
// holder when all faults have ended.
func TestOneHolderUnderFaults(t *testing.T) {
	for s := *firstSeed; s < *firstSeed+*seeds; s++ {
		t.Run(fmt.Sprint("seed", s), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runSchedule(t, s) })
		})
	}
}

type faultSchedule struct {
	*fakeFleet
	t            *testing.T
	epochs       map[fleet.GroupID]uint64
	last         map[fleet.GroupID]*fakeNode
	stopped      []*fakeNode // nodes whose planned stop is over
	scheduleRand *rand.Rand  // for the schedule alone, so that a seed gives the same faults
}

func runSchedule(t *testing.T, seed uint64) {
	w := newFakeFleet(seed, 4)
	f := &faultSchedule{fakeFleet: w, t: t, epochs: map[fleet.GroupID]uint64{}, last: map[fleet.GroupID]*fakeNode{},
		scheduleRand: rand.New(rand.NewPCG(seed, 10))}
	w.lostResponses, w.lateTransactions, w.lostMessages = float64(seed%4)*0.05, float64(seed%3)*0.03, float64(seed%5)*0.04
	w.maxDelay = int64(seed%7) * int64(15*time.Millisecond)
	for i := range 4 {
		w.add(fmt.Sprint("n", i), fmt.Sprint("d", i%2), "r", 0.95+0.1*f.scheduleRand.Float64(), false).run()
	}
	for step := range 6000 { // 2 min in steps of 20 ms
		if step > 300 && f.scheduleRand.Float64() < 0.02 {
			f.inject()
		}
		time.Sleep(20 * time.Millisecond)
		f.reap()
		f.check()
	}
	f.heal()
	for range 3000 {
		time.Sleep(20 * time.Millisecond)
		f.check()
	}
	if got := w.groupsHeld(); got != len(w.groups) {
		t.Errorf("seed %d: %d groups have a lease holder 60 s after the last fault, want %d", seed, got, len(w.groups))
		f.dump()
	}
	w.end()
}

func (f *faultSchedule) dump() {
	for k, r := range f.table.rows {
		f.t.Logf("%s %d %s", k, r.Version, r.Value)
	}
	for _, n := range f.all() {
		f.t.Logf("%v dead %v paused %v stopping %v", n.leases.Self.Instance, n.dead, n.paused != nil, n.leases.stopping)
	}
	for _, g := range f.sorted() {
		for _, n := range f.all() {
			if !n.isDead() {
				r := n.leases.RecordOf(g)
				m := n.leases.machines[g]
				v, fresh := m.Row()
				f.t.Logf("%v at %v: %+v row %d fresh %v holder %v action %d pending %v dead %v stopping %v ended %v health %v reg %v",
					g, n.leases.Self.Instance, r, v, fresh, m.IsHolder(), m.Next(n.leases.now()), m.Pending() != nil, n.leases.dead,
					n.leases.stopping, n.leases.ended, n.leases.Health.Down(), n.leases.reg)
			}
		}
	}
}

// check fails the test if two nodes have authority over a group, or if its epoch falls or
// passes to another node unchanged.
func (f *faultSchedule) check() {
	for _, g := range f.sorted() {
		l, epoch := f.holders(g)
		if len(l) > 1 {
			f.t.Errorf("%v: %d nodes have authority at once: %v and %v", g, len(l), l[0].leases.RecordOf(g), l[1].leases.RecordOf(g))
			f.dump()
			f.t.FailNow()
		}
		if len(l) == 0 {
			continue
		}
		if old := f.epochs[g]; epoch < old || epoch == old && f.last[g] != l[0] {
			f.t.Fatalf("%v: epoch %d of %v after %d", g, epoch, l[0].leases.Self.Instance, old)
		}
		f.epochs[g], f.last[g] = epoch, l[0]
	}
}

// inject starts one fault at a random node.
func (f *faultSchedule) inject() {
	n := f.all()[f.scheduleRand.IntN(len(f.all()))]
	for n.isDead() {
		if f.countLive() == 0 {
			return
		}
		n = f.all()[f.scheduleRand.IntN(len(f.all()))]
	}
	d := time.Duration(f.scheduleRand.Int64N(int64(12 * time.Second)))
	k := f.scheduleRand.IntN(8)
	if *trace {
		f.t.Log(time.Now().Format("05.000"), n.leases.Self.Instance, "fault", k, d)
	}
	switch k {
	case 0, 1:
		n.pause(d)
	case 2:
		f.failFor(&f.down, d)
	case 3:
		n.mu.Lock()
		n.cutOff = !n.cutOff
		n.mu.Unlock()
	case 4:
		c := [2]int{n.i, f.scheduleRand.IntN(len(f.all()))}
		f.mu.Lock()
		f.cut[c] = !f.cut[c]
		f.mu.Unlock()
	case 5, 6:
		if f.countLive() > 2 {
			f.crash(n, k == 5, d)
		}
	case 7:
		if f.countLive() > 2 {
			f.stop(n, d)
		}
	}
}

func (f *faultSchedule) failFor(b *bool, d time.Duration) {
	f.mu.Lock()
	*b = true
	f.mu.Unlock()
	f.background.Go(func() {
		time.Sleep(d * 2)
		f.mu.Lock()
		*b = false
		f.mu.Unlock()
	})
}

func (f *faultSchedule) countLive() (n int) {
	for _, x := range f.all() {
		x.mu.Lock()
		if !x.dead && !x.leaving {
			n++
		}
		x.mu.Unlock()
	}
	return n
}

// crash ends n. With proof, the proof follows soon and another incarnation starts at its
// address; otherwise the VM list reports the death much later and another node starts.
func (f *faultSchedule) crash(n *fakeNode, proof bool, d time.Duration) {
	n.crash()
	p, wait := member.ProofRefused, d/16
	if !proof {
		p, wait = member.ProofVM, 10*time.Second+d
	}
	f.replaceNode(n, p, wait)
}

// replaceNode gives every node the proof of death after a delay and starts a successor.
func (f *faultSchedule) replaceNode(n *fakeNode, p member.Proof, wait time.Duration) {
	name := n.leases.Self.Instance.Node
	if p == member.ProofVM {
		name = fmt.Sprint("n", len(f.all()))
	}
	x := f.add(name, n.leases.Self.Domain, "r", n.rate, true)
	f.background.Go(func() {
		time.Sleep(wait)
		n.proveDead(p)
		time.Sleep(wait)
		x.mu.Lock()
		x.dead = false
		x.mu.Unlock()
		n.proveDead(p) // for nodes that were added in between
		x.run()
	})
}

// stop makes a planned stop of n, within d/3; reap then replaces it.
func (f *faultSchedule) stop(n *fakeNode, d time.Duration) {
	n.mu.Lock()
	stopping := n.leaving
	n.leaving = true
	n.mu.Unlock()
	if stopping {
		return
	}
	f.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), d/3)
		defer cancel()
		_ = n.leases.Stop(ctx)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.stopped = append(f.stopped, n)
	})
}

// reap ends nodes whose planned stop is over.
func (f *faultSchedule) reap() {
	f.mu.Lock()
	l := f.stopped
	f.stopped = nil
	f.mu.Unlock()
	for _, n := range l {
		if !n.isDead() {
			f.crash(n, true, time.Second)
		}
	}
}

// heal ends all faults and gives every node the proofs of all deaths.
func (f *faultSchedule) heal() {
	f.mu.Lock()
	f.down, f.lostResponses, f.lateTransactions, f.lostMessages = false, 0, 0, 0
	clear(f.cut)
	f.mu.Unlock()
	for _, n := range f.all() {
		n.mu.Lock()
		n.cutOff = false
		n.mu.Unlock()
	}
	time.Sleep(30 * time.Second) // pauses, late transactions, stops and starts are over
	f.reap()
	time.Sleep(3 * time.Second)
	for _, n := range f.all() {
		if n.isDead() {
			n.proveDead(member.ProofVM)
		}
	}
}
