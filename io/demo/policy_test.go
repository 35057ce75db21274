package demo

// This file compares the policy of the nodes with two simpler ones, on the same
// stand-ins, traffic and faults. The simpler ones share the callers' server and the
// backend clients; they differ in which server gets a call, and when.

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/core/limit"
	"bergamotspring/core/outcome"
	"bergamotspring/core/record"
	"bergamotspring/io/backend"
	"bergamotspring/io/caller"
	"bergamotspring/io/standin"
)

var (
	policySeeds = flag.Int("policy_seeds", 0, "seeds of the policy comparison, 0: not run")
	policyRate  = flag.Float64("policy_rate", 0.7, "traffic as a share of what the engines carry")
)

// The policies.
const (
	ours       = "bergamotspring"
	roundRobin = "round robin, local limits"
	leastShare = "least in flight, static shares"
)

// The phases of a run: before, with the failure domain out, after its return.
const (
	phaseOut  = 15 * time.Second
	phaseBack = 35 * time.Second
	phaseEnd  = 60 * time.Second
)

// baseline chooses servers for one front. It knows its own calls and, at once, which
// failure domains are out; it passes a server over for a second after it failed.
type baseline struct {
	view   func() *fleet.View
	spec   Spec
	share  int  // fronts that share each server's limit, 1: no sharing
	robin  bool // in turn, else the least in flight
	mu     sync.Mutex
	turn   int
	ids    uint64
	flying map[string]int
	bad    map[string]time.Time
}

func (b *baseline) acquire(ctx context.Context, a limit.Request, _ bool) (limit.Permit, error) {
	end := time.Now().Add(a.Deadline)
	for {
		if s := b.choose(a); s != nil {
			return *s, nil
		}
		if ctx.Err() != nil || !time.Now().Before(end) {
			return limit.Permit{}, &limit.RefusedError{Group: a.Group, Reason: limit.RefusedDeadline}
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (b *baseline) choose(a limit.Request) *limit.Permit {
	b.mu.Lock()
	defer b.mu.Unlock()
	v := b.view()
	var l []*fleet.BackendServer
	for _, g := range v.ByPool[a.Group.Pool] {
		for _, s := range g.Servers {
			most := max(1, v.LimitOf(s)/b.share)
			if !v.ServerOut(s) && b.flying[s.Name] < most && !slices.Contains(a.Avoid, s.Name) && time.Since(b.bad[s.Name]) > time.Second {
				l = append(l, s)
			}
		}
	}
	if len(l) == 0 {
		return nil
	}
	b.turn++
	s := l[b.turn%len(l)]
	if !b.robin {
		s = slices.MinFunc(l, func(x, y *fleet.BackendServer) int { return b.cost(v, x) - b.cost(v, y) })
	}
	b.ids++
	b.flying[s.Name]++
	return &limit.Permit{
		ID: b.ids, Group: fleet.GroupID{Pool: s.Pool, Domain: s.Domain}, Server: s.Name, Address: s.Address,
		SendBy: 500 * time.Millisecond, HoldUntil: a.Deadline,
	}
}

// cost orders servers by calls in flight, nearer ones first.
func (b *baseline) cost(v *fleet.View, s *fleet.BackendServer) int {
	far := 0
	if v.Regions[s.Domain] != v.Regions[b.spec.Domain] {
		far = 4
	} else if s.Domain != b.spec.Domain {
		far = 1
	}
	return 8*b.flying[s.Name] + far
}

func (b *baseline) release(r limit.Release) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.flying[r.Server]--
	if r.Result == limit.Crashed || r.Result == limit.Refused || r.Result == limit.Silent {
		b.bad[r.Server] = time.Now()
	}
}

// window sums up one phase of a run.
type window struct{ ok, all int }

func (w window) String() string {
	return fmt.Sprintf("%5.1f%%", 100*float64(w.ok)/float64(max(1, w.all)))
}

// score is what one run of a policy gave.
type score struct {
	phases  [3]window
	crashes int
	busy    map[string]time.Duration // of servers, by pool
	calls   int
	cross   int64 // bytes between regions
}

func (s *score) add(t score) {
	for i := range s.phases {
		s.phases[i].ok += t.phases[i].ok
		s.phases[i].all += t.phases[i].all
	}
	s.crashes += t.crashes
	s.calls += t.calls
	s.cross += t.cross
	for p, d := range t.busy {
		s.busy[p] += d
	}
}

// Compares policies over several seeds; run by
// go test ./io/demo -run TestPolicy -policy_seeds 3 -v -timeout 20m.
func TestPolicy(t *testing.T) {
	if *policySeeds == 0 {
		t.Skip("a measurement: set -policy_seeds")
	}
	for _, name := range []string{"logwerk", "ferrando"} {
		for _, warned := range []bool{true, false} {
			for _, p := range []string{ours, roundRobin, leastShare} {
				sum := score{busy: map[string]time.Duration{}}
				var mu sync.Mutex
				t.Run(fmt.Sprintf("%s/%t/%s", name, warned, p), func(t *testing.T) {
					for seed := range *policySeeds {
						t.Run(fmt.Sprint(seed), func(t *testing.T) {
							t.Parallel()
							synctest.Test(t, func(t *testing.T) {
								s := runPolicy(t, name, p, warned, uint64(seed+1))
								mu.Lock()
								defer mu.Unlock()
								sum.add(s)
							})
						})
					}
				})
				t.Log(sum.row(name, p, warned))
			}
		}
	}
}

func (s *score) row(name, policy string, warned bool) string {
	all := window{}
	for _, w := range s.phases {
		all.ok += w.ok
		all.all += w.all
	}
	how := "lost without warning"
	if warned {
		how = "taken out"
	}
	var busy time.Duration
	for _, d := range s.busy {
		busy += d
	}
	n := float64(max(1, all.ok))
	return fmt.Sprintf("| %s | %s | %s | %v | %v | %v | %v | %d | %.2f | %.0f | %.1f |", name, how, policy,
		all, s.phases[0], s.phases[1], s.phases[2], s.crashes, float64(s.calls)/n, 1000*busy.Seconds()/n, float64(s.cross)/n/1000)
}

func runPolicy(t *testing.T, name, policy string, warned bool, seed uint64) score {
	d := declaration(t, name)
	for i := range d.Pools {
		// Small limits keep the run short at the same share of capacity.
		d.Pools[i].Limit, d.Pools[i].ColdLimit = max(2, d.Pools[i].Limit/2), max(1, d.Pools[i].ColdLimit/2)
	}
	f := newPolicyFleet(d, policy, seed)
	if err := f.Start(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(10 * time.Second)
	out := d.Domains[1].Name
	start := time.Now()
	var w sync.WaitGroup
	w.Go(func() { f.cycle(start, out, warned) })
	l := f.policyTraffic(start, seed)
	w.Wait()
	s := score{busy: map[string]time.Duration{}}
	for _, x := range l {
		i := 0
		if x.at.Sub(start) >= phaseBack {
			i = 2
		} else if x.at.Sub(start) >= phaseOut {
			i = 1
		}
		s.phases[i].all++
		if x.r.Outcome == outcome.OK.String() && x.r.Took <= x.q.Timeout {
			s.phases[i].ok++
		}
	}
	s.count(f.Events())
	for _, k := range d.Links {
		s.cross += f.Network.Bytes(k.From + ">" + k.To)
	}
	f.Stop()
	for _, c := range f.all {
		<-c.Drain()
	}
	time.Sleep(10 * time.Second) // calls that were given up end at the stand-ins
	return s
}

// policyFleet is a fleet whose fronts may follow a simpler policy.
type policyFleet struct {
	*Fleet
	mu   sync.Mutex
	view *fleet.View
	ours bool
	all  []*caller.Server // fronts
}

func newPolicyFleet(d *fleet.Declaration, policy string, seed uint64) *policyFleet {
	f := &policyFleet{Fleet: buildFleet(d, nil), view: fleet.NewView(d, 1), ours: policy == ours}
	f.Seed = seed
	for i := range 7 {
		f.Nodes = append(f.Nodes, Spec{fmt.Sprint("n", i+1), d.Domains[i%len(d.Domains)].Name})
	}
	if f.ours {
		return f
	}
	base := time.Now()
	clock := backend.Clock{Boot: func() time.Duration { return time.Since(base) }}
	f.Front = func(s Spec, host string) *http.Server {
		b := &baseline{view: f.current, spec: s, share: 1, robin: policy == roundRobin, flying: map[string]int{}, bad: map[string]time.Time{}}
		if !b.robin {
			b.share = len(f.Nodes)
		}
		c := &caller.Server{
			Node: s.Name, Region: f.region(s.Domain), View: f.current, Acquire: b.acquire, Release: b.release,
			Groups:  func(p string, _ time.Duration) []fleet.GroupID { return []fleet.GroupID{{Pool: p, Domain: s.Domain}} },
			Backend: &backend.Client{Dial: f.Network.Dialer(host), Clock: clock}, Clock: clock, Record: f.Record, Workers: 256,
		}
		f.all = append(f.all, c)
		return c.HTTP()
	}
	return f
}

func (f *policyFleet) current() *fleet.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

// cycle takes a failure domain out, or loses its servers, and brings it back cold.
func (f *policyFleet) cycle(start time.Time, domain string, warned bool) {
	time.Sleep(time.Until(start.Add(phaseOut)))
	f.change(domain, warned, true)
	time.Sleep(time.Until(start.Add(phaseBack - time.Second)))
	for _, h := range f.hostsIn(domain) {
		if warned {
			h.SetCold(true)
		} else {
			h.Restart()
		}
	}
	time.Sleep(time.Second)
	f.change(domain, warned, false)
}

func (f *policyFleet) change(domain string, warned, out bool) {
	if !warned {
		for _, h := range f.hostsIn(domain) {
			if out {
				h.TakeDown()
			}
		}
		return
	}
	if f.ours {
		if out {
			_ = f.TakeOut(context.Background(), "n1", domain) // a failure shows in the row
		} else {
			_ = f.BringIn(context.Background(), "n1", domain)
		}
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.view.Declaration.WithBroughtBack(fleet.TargetDomain, domain)
	if out {
		d = d.WithTakenOut(fleet.TargetDomain, domain, "maintenance", time.Now())
	}
	f.view = fleet.NewView(d, f.view.Version+1)
}

func (f *policyFleet) hostsIn(domain string) (l []*standin.Host) {
	for _, s := range f.Declaration.Servers {
		if s.Domain != domain {
			continue
		}
		if e := f.Engines[s.Name]; e != nil {
			l = append(l, &e.Host)
		} else {
			l = append(l, &f.JSON[s.Name].Host)
		}
	}
	return l
}

// policyTraffic sends pipeline requests with random gaps, organisation by weight.
func (f *policyFleet) policyTraffic(start time.Time, seed uint64) (l []sent) {
	r := rand.New(rand.NewPCG(seed, 7))
	d := f.Declaration
	slots, engine := 0, ""
	for _, p := range d.Pools {
		if p.Protocol == fleet.ProtocolEngine {
			engine = p.Name
		}
	}
	for _, s := range d.Servers {
		if s.Pool == engine {
			slots += f.current().LimitOf(&s)
		}
	}
	v := f.current()
	per := v.Pools[engine].Expect/8 + 23*20*time.Millisecond
	gap := float64(per) / float64(slots) / *policyRate
	var mu sync.Mutex
	var w sync.WaitGroup
	for time.Since(start) < phaseEnd {
		time.Sleep(time.Duration(r.ExpFloat64() * gap))
		p := d.Pipelines[r.IntN(len(d.Pipelines))]
		o := d.Organisations[min(r.IntN(8), len(d.Organisations)-1)].Name
		q := Request{
			Path: "pipelines/" + p.Name, Organisation: o, Class: d.Classes[r.IntN(len(d.Classes))].Name,
			Timeout: p.Deadline, Stream: true, Tokens: 24,
		}
		w.Go(func() {
			at := time.Now()
			x := f.Send(context.Background(), q)
			mu.Lock()
			defer mu.Unlock()
			l = append(l, sent{q, at, x})
		})
	}
	w.Wait()
	return l
}

// count sums up what the servers did.
func (s *score) count(l []record.Event) {
	began := map[string]time.Time{}
	for _, e := range l {
		switch {
		case e.Kind == record.CallStarted:
			s.calls++
			began[e.Server+e.Call] = e.At
		case e.Kind == record.CallEnded:
			p := e.Server[:strings.LastIndexByte(e.Server, '-')]
			s.busy[p] += e.At.Sub(began[e.Server+e.Call])
		case e.Kind == record.FaultInjected && e.Detail == "server crashed":
			s.crashes++
		}
	}
}
