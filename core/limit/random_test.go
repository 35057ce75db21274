package limit

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bergamotspring/core/fleet"
)

var testGroup = fleet.GroupID{Pool: "drafting", Domain: "pampa-sur"}

// testView declares n servers with warm limit 8 that bear 2 calls when cold.
func testView(n int, out ...string) *fleet.View {
	d := &fleet.Declaration{
		Defaults: fleet.Defaults{MaxCall: 4 * time.Second, RetryShare: 0.1},
		Domains:  []fleet.FailureDomain{{Name: testGroup.Domain, Region: "pampa"}},
		Pools:    []fleet.Pool{{Name: testGroup.Pool, Limit: 8, ColdLimit: 2, ColdFactor: 5}},
		Organisations: []fleet.Organisation{
			{Name: "large", Weight: 4}, {Name: "small", Weight: 1},
		},
	}
	for i := range n {
		s := fleet.BackendServer{Name: fmt.Sprint("s", i), Pool: testGroup.Pool, Domain: testGroup.Domain}
		d.Servers = append(d.Servers, s)
	}
	for _, o := range out {
		d.Exceptions = append(d.Exceptions, fleet.Exception{Target: fleet.TargetServer, Name: o, Out: true})
	}
	return fleet.NewView(d, 1)
}

// rig is a home with a clock and an independent account of what it may do.
type rig struct {
	t       *testing.T
	h       *Limiter
	now     time.Time
	epoch   uint64
	until   time.Time // end of authority
	n       int
	closed  []string // out or leaving
	sick    string   // servers below this name fail
	pending map[uint64]Request
	sent    map[uint64]time.Time
	held    []heldCall
	cold    map[string]*coldAccount
	lastID  uint64
}

type heldCall struct {
	Permit
	node  string
	print uint64
	until time.Time
}

// coldAccount bounds what a server may be given from what it answered.
type coldAccount struct {
	since time.Time // last seen cold
	good  int
}

func newRig(t *testing.T, n int) *rig {
	r := &rig{t: t, n: n, now: time.Unix(1000, 0), epoch: 1, pending: map[uint64]Request{},
		sent: map[uint64]time.Time{}, cold: map[string]*coldAccount{}}
	r.until = r.now.Add(time.Second)
	r.h = &Limiter{
		Now:       func() time.Time { return r.now },
		Authority: func() (uint64, time.Duration) { return r.epoch, r.until.Sub(r.now) },
		MaxQueue:  40,
	}
	for i := range n {
		r.cold[fmt.Sprint("s", i)] = &coldAccount{since: r.now}
	}
	r.see(r.h.Configure(testView(n), testGroup, nil))
	r.see(r.h.Begin(1, nil))
	return r
}

func (r *rig) submit(a Request) {
	r.lastID++
	a.ID, a.Group = r.lastID, testGroup
	r.pending[a.ID], r.sent[a.ID] = a, r.now
	r.see(r.h.Submit(a))
}

func (r *rig) release(i int, x Result, d time.Duration) Evidence {
	p := r.held[i]
	r.held = slices.Delete(r.held, i, i+1)
	c := r.cold[p.Server]
	switch x {
	case Good:
		c.good++
	case Cold, Crashed, Refused:
		*c = coldAccount{since: r.now}
	}
	f := Release{Permit: p.ID, Epoch: p.Epoch, Group: testGroup, Server: "elsewhere", Result: x, Service: d}
	if o, _ := r.h.Release(f); len(o) > 0 {
		r.t.Errorf("release for another server decided %+v", o)
	}
	f.Server = p.Server
	o, e := r.h.Release(f)
	r.see(o)
	if again, _ := r.h.Release(f); len(again) > 0 {
		r.t.Errorf("second release of permit %d decided %+v", p.ID, again)
	}
	return e
}

func (r *rig) tick(d time.Duration) {
	r.now = r.now.Add(d)
	r.held = slices.DeleteFunc(r.held, func(c heldCall) bool { return !c.until.After(r.now) })
	r.see(r.h.Tick())
}

// see checks decisions against the account.
func (r *rig) see(o []Decision) {
	r.t.Helper()
	for _, d := range o {
		a, ok := r.pending[d.Request.ID]
		if !ok {
			r.t.Errorf("ask %d decided twice", d.Request.ID)
		}
		delete(r.pending, d.Request.ID)
		if d.Err == nil {
			r.granted(a, d.Permit)
		}
	}
	e := 0
	for _, s := range r.h.Status().Servers {
		if s.Ejected > 0 && !s.Out && !s.Leaving {
			e++
		}
	}
	if m := (r.n - len(r.closed)) / 3; e > m {
		r.t.Errorf("%d servers ejected, want at most %d", e, m)
	}
}

func (r *rig) granted(a Request, p Permit) {
	r.t.Helper()
	sent := r.sent[a.ID]
	by, hold := sent.Add(p.SendBy), sent.Add(p.HoldUntil)
	if by.After(r.until) || by.After(r.now.Add(500*time.Millisecond)) {
		r.t.Errorf("permit %d may be sent until %v, authority ends %v", p.ID, by, r.until)
	}
	if got, want := hold, sent.Add(a.Deadline+250*time.Millisecond); !got.Equal(want) {
		r.t.Errorf("held until %v, want %v", got, want)
	}
	if slices.Contains(r.closed, p.Server) || slices.Contains(a.Avoid, p.Server) {
		r.t.Errorf("permit for %s, which is closed or to be avoided", p.Server)
	}
	n := 1
	for _, c := range r.held {
		if c.Server != p.Server {
			continue
		}
		n++
		if c.Exclusive || p.Exclusive {
			r.t.Errorf("permit %d shares %s with a call that runs alone", p.ID, p.Server)
		}
	}
	c := r.cold[p.Server]
	steps := int(r.now.Sub(c.since)/(500*time.Millisecond)) + 1
	if m := min(8, 2+c.good/2, 2<<min(steps, 8)); n > m {
		r.t.Errorf("%d calls at %s, which bears %d (%d good answers in %d steps)", n, p.Server, m, c.good, steps)
	}
	r.held = append(r.held, heldCall{Permit: p, node: a.Node, print: a.Fingerprint, until: hold})
}

// moveHolder passes the group to a new epoch: the reports of two nodes, in either
// order and one of them twice, tell the new home what is held.
func (r *rig) moveHolder(g *rand.Rand) {
	r.see(r.h.Tick())
	r.epoch++
	var x [2]HeldReport
	for i, n := range []string{"n0", "n1"} {
		x[i].Node = n
		for _, c := range r.held {
			if c.node == n {
				x[i].Held = append(x[i].Held, HeldPermit{n, c.Permit, c.print, c.until.Sub(r.now)})
			}
		}
	}
	for n := range r.cold {
		r.cold[n] = &coldAccount{since: r.now}
	}
	f := &Limiter{Now: r.h.Now, Authority: r.h.Authority, MaxQueue: r.h.MaxQueue}
	old := r.h
	r.until, old.Authority = r.now, func() (uint64, time.Duration) { return 0, 0 }
	r.see(old.Tick())
	r.until = r.now.Add(time.Second)
	r.h = f
	r.see(f.Configure(testView(r.n, r.closed...), testGroup, nil))
	r.see(f.Begin(r.epoch, []string{"n0", "n1"}))
	first := g.IntN(2)
	for _, i := range []int{first, first, 1 - first} {
		r.see(f.Adopt(x[i]))
	}
}

func (r *rig) step(g *rand.Rand) {
	switch k := g.IntN(100); {
	case k < 45:
		a := Request{
			Node: fmt.Sprint("n", g.IntN(2)), Organisation: []string{"large", "small", "other"}[g.IntN(3)],
			Deadline:    time.Duration(g.IntN(3500)) * time.Millisecond,
			Fingerprint: g.Uint64(), Suspect: g.IntN(12) == 0,
		}
		if g.IntN(4) == 0 {
			a.Avoid = []string{fmt.Sprint("s", g.IntN(r.n))}
		}
		if g.IntN(4) == 0 {
			a.Preferred = fmt.Sprint("s", g.IntN(r.n))
		}
		r.submit(a)
	case k < 80 && len(r.held) > 0:
		x := Good
		i := g.IntN(len(r.held))
		if r.held[i].Server < r.sick {
			x = Failed
		} else if g.IntN(6) == 0 {
			x = Result(g.IntN(int(Refused) + 1))
		}
		r.release(i, x, time.Duration(20+g.IntN(60))*time.Millisecond)
	case k < 95:
		r.until = r.now.Add(time.Duration(200+g.IntN(900)) * time.Millisecond)
		r.tick(time.Duration(g.IntN(120)) * time.Millisecond)
	case k < 98:
		if r.closed == nil {
			r.closed = []string{"s0"}
		} else {
			r.closed, r.cold["s0"] = nil, &coldAccount{since: r.now}
		}
		if g.IntN(2) == 0 {
			r.see(r.h.Configure(testView(r.n), testGroup, r.closed))
		} else {
			r.see(r.h.Configure(testView(r.n, r.closed...), testGroup, nil))
		}
	case k < 99:
		r.moveHolder(g)
	case len(r.pending) > 0 && g.IntN(2) == 0:
		i := slices.Min(slices.Collect(maps.Keys(r.pending)))
		r.see(r.h.Withdraw(r.pending[i].Node, i))
		if _, ok := r.pending[i]; ok {
			r.t.Errorf("ask %d waits after it was withdrawn", i)
		}
	default:
		r.h.Load(Load{Server: "s0", Running: g.IntN(20)})
	}
}

// Guards against a server above its limit or its cold-start ramp, shared servers of
// calls that must run alone, too many ejections, send-by outside the authority and
// asks that are lost or decided twice, and a home that grants nothing afterwards, under
// random operations and home changes.
func TestRandomOperations(t *testing.T) {
	for seed := range uint64(60) {
		g := rand.New(rand.NewPCG(seed, 1))
		r := newRig(t, 1+int(seed%9))
		r.sick = fmt.Sprint("s", seed%5)
		for range 1500 {
			r.step(g)
		}
		r.tick(time.Minute)
		if len(r.pending) > 0 {
			t.Errorf("%d asks without a decision", len(r.pending))
		}
		for _, s := range r.h.Status().Servers {
			if s.InFlight != 0 {
				t.Errorf("%s: %d calls in flight after all permits ended", s.Name, s.InFlight)
			}
		}
		r.until, r.closed = r.now.Add(time.Minute), nil
		r.cold["s0"].since = r.now
		r.see(r.h.Configure(testView(r.n), testGroup, nil))
		for _, a := range []Request{{Deadline: time.Second}, {Deadline: time.Second, Suspect: true}} {
			if r.submit(a); len(r.held) != 1 {
				t.Fatalf("seed %d: %d permits of an idle home, want 1 for %+v", seed, len(r.held), a)
			}
			r.release(0, Good, time.Millisecond)
		}
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}
