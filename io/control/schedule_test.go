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
// that do not rise, under pauses, lost and late table answers, table outages,
// partitions, crashes with and without proof, restarts, planned stops and clocks that
// are off by 5%, two or three at once; and against groups that stay without a home
// when all faults have ended.
func TestOneHomeUnderFaults(t *testing.T) {
	for s := *firstSeed; s < *firstSeed+*seeds; s++ {
		t.Run(fmt.Sprint("seed", s), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { schedule(t, s) })
		})
	}
}

type faults struct {
	*world
	t      *testing.T
	epochs map[fleet.GroupID]uint64
	last   map[fleet.GroupID]*fakeNode
	ended  []*fakeNode // planned stops that are over
	dice   *rand.Rand  // of the schedule alone, so that a seed gives the same faults
}

func schedule(t *testing.T, seed uint64) {
	w := newWorld(seed, 4)
	f := &faults{world: w, t: t, epochs: map[fleet.GroupID]uint64{}, last: map[fleet.GroupID]*fakeNode{},
		dice: rand.New(rand.NewPCG(seed, 10))}
	w.lose, w.late, w.drop = float64(seed%4)*0.05, float64(seed%3)*0.03, float64(seed%5)*0.04
	w.delay = int64(seed%7) * int64(15*time.Millisecond)
	for i := range 4 {
		w.add(fmt.Sprint("n", i), fmt.Sprint("d", i%2), "r", 0.95+0.1*f.dice.Float64(), false).run()
	}
	for step := range 6000 { // 2 min in steps of 20 ms
		if step > 300 && f.dice.Float64() < 0.02 {
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
	if got := w.homed(); got != len(w.groups) {
		t.Errorf("seed %d: %d groups have a home 60 s after the last fault, want %d", seed, got, len(w.groups))
		f.dump()
	}
	w.end()
}

func (f *faults) dump() {
	for k, r := range f.table.rows {
		f.t.Logf("%s %d %s", k, r.Version, r.Value)
	}
	for _, n := range f.all() {
		f.t.Logf("%v dead %v paused %v stopping %v", n.homes.Self.Instance, n.dead, n.paused != nil, n.homes.stopping)
	}
	for _, g := range f.sorted() {
		for _, n := range f.all() {
			if !n.isDead() {
				r := n.homes.RecordOf(g)
				m := n.homes.machines[g]
				v, fresh := m.Row()
				f.t.Logf("%v at %v: %+v row %d fresh %v home %v want %d pending %v dead %v stopping %v ended %v health %v reg %v",
					g, n.homes.Self.Instance, r, v, fresh, m.IsHolder(), m.Next(n.homes.now()), m.Pending() != nil, n.homes.dead,
					n.homes.stopping, n.homes.ended, n.homes.Health.Down(), n.homes.reg)
			}
		}
	}
}

// check fails the test if a group has two homes or its epoch has not risen.
func (f *faults) check() {
	for _, g := range f.sorted() {
		l, epoch := f.holders(g)
		if len(l) > 1 {
			f.t.Errorf("%v: %d nodes have authority at once: %v and %v", g, len(l), l[0].homes.RecordOf(g), l[1].homes.RecordOf(g))
			f.dump()
			f.t.FailNow()
		}
		if len(l) == 0 {
			continue
		}
		if old := f.epochs[g]; epoch < old || epoch == old && f.last[g] != l[0] {
			f.t.Fatalf("%v: epoch %d of %v after %d", g, epoch, l[0].homes.Self.Instance, old)
		}
		f.epochs[g], f.last[g] = epoch, l[0]
	}
}

// inject starts one fault at a random node.
func (f *faults) inject() {
	n := f.all()[f.dice.IntN(len(f.all()))]
	for n.isDead() {
		if f.alive() == 0 {
			return
		}
		n = f.all()[f.dice.IntN(len(f.all()))]
	}
	d := time.Duration(f.dice.Int64N(int64(12 * time.Second)))
	k := f.dice.IntN(8)
	if *trace {
		f.t.Log(time.Now().Format("05.000"), n.homes.Self.Instance, "fault", k, d)
	}
	switch k {
	case 0, 1:
		n.pause(d)
	case 2:
		f.set(&f.down, d)
	case 3:
		n.mu.Lock()
		n.cutOff = !n.cutOff
		n.mu.Unlock()
	case 4:
		c := [2]int{n.i, f.dice.IntN(len(f.all()))}
		f.mu.Lock()
		f.cut[c] = !f.cut[c]
		f.mu.Unlock()
	case 5, 6:
		if f.alive() > 2 {
			f.crash(n, k == 5, d)
		}
	case 7:
		if f.alive() > 2 {
			f.stop(n, d)
		}
	}
}

func (f *faults) set(b *bool, d time.Duration) {
	f.mu.Lock()
	*b = true
	f.mu.Unlock()
	f.late2.Go(func() {
		time.Sleep(d * 2)
		f.mu.Lock()
		*b = false
		f.mu.Unlock()
	})
}

func (f *faults) alive() (n int) {
	for _, x := range f.all() {
		x.mu.Lock()
		if !x.dead && !x.leaving {
			n++
		}
		x.mu.Unlock()
	}
	return n
}

// crash ends n, with proof after a moment or from the VM list much later, and starts
// another incarnation at its address or another node.
func (f *faults) crash(n *fakeNode, proof bool, d time.Duration) {
	n.crash()
	p, wait := member.ProofRefused, d/16
	if !proof {
		p, wait = member.ProofVM, 10*time.Second+d
	}
	f.replace(n, p, wait)
}

// replace spreads the proof after a while and starts a successor.
func (f *faults) replace(n *fakeNode, p member.Proof, wait time.Duration) {
	name := n.homes.Self.Instance.Node
	if p == member.ProofVM {
		name = fmt.Sprint("n", len(f.all()))
	}
	x := f.add(name, n.homes.Self.Domain, "r", n.rate, true)
	f.late2.Go(func() {
		time.Sleep(wait)
		n.bury(p)
		time.Sleep(wait)
		x.mu.Lock()
		x.dead = false
		x.mu.Unlock()
		n.bury(p) // for nodes added meanwhile
		x.run()
	})
}

// stop stops n as planned, within d, and starts a successor.
func (f *faults) stop(n *fakeNode, d time.Duration) {
	n.mu.Lock()
	again := n.leaving
	n.leaving = true
	n.mu.Unlock()
	if again {
		return
	}
	f.late2.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), d/3)
		defer cancel()
		_ = n.homes.Stop(ctx)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.ended = append(f.ended, n)
	})
}

// reap ends nodes whose planned stop is over.
func (f *faults) reap() {
	f.mu.Lock()
	l := f.ended
	f.ended = nil
	f.mu.Unlock()
	for _, n := range l {
		if !n.isDead() {
			f.crash(n, true, time.Second)
		}
	}
}

// heal ends all faults and gives proof of all deaths.
func (f *faults) heal() {
	f.mu.Lock()
	f.down, f.lose, f.late, f.drop = false, 0, 0, 0
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
			n.bury(member.ProofVM)
		}
	}
}
