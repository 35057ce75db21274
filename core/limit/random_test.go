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

// testView declares n servers with warm limit 8 and cold limit 2.
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

// rig is a limiter with a clock and an independent model of what it may grant.
type rig struct {
	t           *testing.T
	limiter     *Limiter
	now         time.Time
	epoch       uint64
	until       time.Time // end of authority
	serverCount int
	closed      []string // out or leaving
	failing     string   // servers below this name fail
	pending     map[uint64]Request
	sent        map[uint64]time.Time
	held        []heldCall
	cold        map[string]*coldAccount
	lastID      uint64
}

type heldCall struct {
	Permit
	node        string
	fingerprint uint64
	until       time.Time
}

// coldAccount derives from the results of earlier calls how many more a server may get.
type coldAccount struct {
	since time.Time // last observed cold
	good  int
}

func newRig(t *testing.T, n int) *rig {
	r := &rig{t: t, serverCount: n, now: time.Unix(1000, 0), epoch: 1, pending: map[uint64]Request{},
		sent: map[uint64]time.Time{}, cold: map[string]*coldAccount{}}
	r.until = r.now.Add(time.Second)
	r.limiter = &Limiter{
		Now:       func() time.Time { return r.now },
		Authority: func() (uint64, time.Duration) { return r.epoch, r.until.Sub(r.now) },
		MaxQueue:  40,
	}
	for i := range n {
		r.cold[fmt.Sprint("s", i)] = &coldAccount{since: r.now}
	}
	r.check(r.limiter.Configure(testView(n), testGroup, nil))
	r.check(r.limiter.Begin(1, nil))
	return r
}

func (r *rig) submit(a Request) {
	r.lastID++
	a.ID, a.Group = r.lastID, testGroup
	r.pending[a.ID], r.sent[a.ID] = a, r.now
	r.check(r.limiter.Submit(a))
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
	if o, _ := r.limiter.Release(f); len(o) > 0 {
		r.t.Errorf("release for another server decided %+v", o)
	}
	f.Server = p.Server
	o, e := r.limiter.Release(f)
	r.check(o)
	if again, _ := r.limiter.Release(f); len(again) > 0 {
		r.t.Errorf("second release of permit %d decided %+v", p.ID, again)
	}
	return e
}

func (r *rig) tick(d time.Duration) {
	r.now = r.now.Add(d)
	r.held = slices.DeleteFunc(r.held, func(c heldCall) bool { return !c.until.After(r.now) })
	r.check(r.limiter.Tick())
}

// check checks decisions against the model.
func (r *rig) check(o []Decision) {
	r.t.Helper()
	for _, d := range o {
		a, ok := r.pending[d.Request.ID]
		if !ok {
			r.t.Errorf("request %d decided twice", d.Request.ID)
		}
		delete(r.pending, d.Request.ID)
		if d.Err == nil {
			r.granted(a, d.Permit)
		}
	}
	e := 0
	for _, s := range r.limiter.Status().Servers {
		if s.Ejected > 0 && !s.Out && !s.Leaving {
			e++
		}
	}
	if m := (r.serverCount - len(r.closed)) / 3; e > m {
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
			r.t.Errorf("permit %d shares %s with an exclusive call", p.ID, p.Server)
		}
	}
	c := r.cold[p.Server]
	steps := int(r.now.Sub(c.since)/(500*time.Millisecond)) + 1
	if m := min(8, 2+c.good/2, 2<<min(steps, 8)); n > m {
		r.t.Errorf("%d calls at %s, want at most %d (%d good responses in %d steps)", n, p.Server, m, c.good, steps)
	}
	r.held = append(r.held, heldCall{Permit: p, node: a.Node, fingerprint: a.Fingerprint, until: hold})
}

// moveHolder moves the lease to a new limiter with the next epoch. Two nodes report the
// held permits to it, in either order and one of them twice.
func (r *rig) moveHolder(g *rand.Rand) {
	r.check(r.limiter.Tick())
	r.epoch++
	var x [2]HeldReport
	for i, n := range []string{"n0", "n1"} {
		x[i].Node = n
		for _, c := range r.held {
			if c.node == n {
				x[i].Held = append(x[i].Held, HeldPermit{n, c.Permit, c.fingerprint, c.until.Sub(r.now)})
			}
		}
	}
	for n := range r.cold {
		r.cold[n] = &coldAccount{since: r.now}
	}
	f := &Limiter{Now: r.limiter.Now, Authority: r.limiter.Authority, MaxQueue: r.limiter.MaxQueue}
	old := r.limiter
	r.until, old.Authority = r.now, func() (uint64, time.Duration) { return 0, 0 }
	r.check(old.Tick())
	r.until = r.now.Add(time.Second)
	r.limiter = f
	r.check(f.Configure(testView(r.serverCount, r.closed...), testGroup, nil))
	r.check(f.Begin(r.epoch, []string{"n0", "n1"}))
	first := g.IntN(2)
	for _, i := range []int{first, first, 1 - first} {
		r.check(f.Adopt(x[i]))
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
			a.Avoid = []string{fmt.Sprint("s", g.IntN(r.serverCount))}
		}
		if g.IntN(4) == 0 {
			a.Preferred = fmt.Sprint("s", g.IntN(r.serverCount))
		}
		r.submit(a)
	case k < 80 && len(r.held) > 0:
		x := Good
		i := g.IntN(len(r.held))
		if r.held[i].Server < r.failing {
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
			r.check(r.limiter.Configure(testView(r.serverCount), testGroup, r.closed))
		} else {
			r.check(r.limiter.Configure(testView(r.serverCount, r.closed...), testGroup, nil))
		}
	case k < 99:
		r.moveHolder(g)
	case len(r.pending) > 0 && g.IntN(2) == 0:
		i := slices.Min(slices.Collect(maps.Keys(r.pending)))
		r.check(r.limiter.Withdraw(r.pending[i].Node, i))
		if _, ok := r.pending[i]; ok {
			r.t.Errorf("request %d waits after it was withdrawn", i)
		}
	default:
		r.limiter.OnLoadReport(LoadReport{Server: "s0", Running: g.IntN(20)})
	}
}

// Guards against calls above a server's limit or cold-start ramp, exclusive calls that
// share a server, too many ejections, a SendBy outside the authority, requests that are
// lost or decided twice, and a limiter that grants nothing afterwards, under random
// operations and changes of the lease holder.
func TestRandomOperations(t *testing.T) {
	for seed := range uint64(60) {
		g := rand.New(rand.NewPCG(seed, 1))
		r := newRig(t, 1+int(seed%9))
		r.failing = fmt.Sprint("s", seed%5)
		for range 1500 {
			r.step(g)
		}
		r.tick(time.Minute)
		if len(r.pending) > 0 {
			t.Errorf("%d requests without a decision", len(r.pending))
		}
		for _, s := range r.limiter.Status().Servers {
			if s.InFlight != 0 {
				t.Errorf("%s: %d calls in flight after all permits ended", s.Name, s.InFlight)
			}
		}
		r.until, r.closed = r.now.Add(time.Minute), nil
		r.cold["s0"].since = r.now
		r.check(r.limiter.Configure(testView(r.serverCount), testGroup, nil))
		for _, a := range []Request{{Deadline: time.Second}, {Deadline: time.Second, Suspect: true}} {
			if r.submit(a); len(r.held) != 1 {
				t.Fatalf("seed %d: %d permits of an idle limiter, want 1 for %+v", seed, len(r.held), a)
			}
			r.release(0, Good, time.Millisecond)
		}
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}
