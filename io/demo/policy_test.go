package demo

// This file compares the placement policy of the nodes with two simpler ones, on the same
// stand-ins, traffic and faults. The simpler ones use the same server for callers and the
// same backend client; they differ in which server gets a call, and when.

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
	nodePolicy = "bergamotspring"
	roundRobin = "round robin, local limits"
	leastShare = "least in flight, static shares"
)

// The starts of the phases of a run: the failure domain is out, it is back, end of the
// run. The first phase starts at 0.
const (
	phaseOut  = 15 * time.Second
	phaseBack = 35 * time.Second
	phaseEnd  = 60 * time.Second
)

// baseline chooses servers for one front. It knows its own calls in flight and, without
// delay, which failure domains are out. It avoids a server for a second after a failure.
type baseline struct {
	view     func() *fleet.View
	spec     NodeSpec
	sharedBy int  // number of fronts among which the limit of each server is divided
	inTurn   bool // round robin, else fewest calls in flight
	mu       sync.Mutex
	turn     int
	lastID   uint64
	inFlight map[string]int
	failedAt map[string]time.Time
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
			maxInFlight := max(1, v.LimitOf(s)/b.sharedBy)
			if !v.ServerOut(s) && b.inFlight[s.Name] < maxInFlight && !slices.Contains(a.Avoid, s.Name) && time.Since(b.failedAt[s.Name]) > time.Second {
				l = append(l, s)
			}
		}
	}
	if len(l) == 0 {
		return nil
	}
	b.turn++
	s := l[b.turn%len(l)]
	if !b.inTurn {
		s = slices.MinFunc(l, func(x, y *fleet.BackendServer) int { return b.cost(v, x) - b.cost(v, y) })
	}
	b.lastID++
	b.inFlight[s.Name]++
	return &limit.Permit{
		ID: b.lastID, Group: fleet.GroupID{Pool: s.Pool, Domain: s.Domain}, Server: s.Name, Address: s.Address,
		SendBy: 500 * time.Millisecond, HoldUntil: a.Deadline,
	}
}

// cost orders servers by calls in flight; among equals, nearer ones come first.
func (b *baseline) cost(v *fleet.View, s *fleet.BackendServer) int {
	distance := 0
	if v.Regions[s.Domain] != v.Regions[b.spec.Domain] {
		distance = 4
	} else if s.Domain != b.spec.Domain {
		distance = 1
	}
	return 8*b.inFlight[s.Name] + distance
}

func (b *baseline) release(r limit.Release) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight[r.Server]--
	if r.Result == limit.Crashed || r.Result == limit.Refused || r.Result == limit.Silent {
		b.failedAt[r.Server] = time.Now()
	}
}

// phaseCount counts the requests of one phase of a run.
type phaseCount struct{ ok, total int }

func (w phaseCount) String() string {
	return fmt.Sprintf("%5.1f%%", 100*float64(w.ok)/float64(max(1, w.total)))
}

// policyResult holds the measurements of one run of a policy.
type policyResult struct {
	phases     [3]phaseCount
	crashes    int
	busy       map[string]time.Duration // of servers, by pool
	calls      int
	crossBytes int64 // bytes between regions
}

func (s *policyResult) add(t policyResult) {
	for i := range s.phases {
		s.phases[i].ok += t.phases[i].ok
		s.phases[i].total += t.phases[i].total
	}
	s.crashes += t.crashes
	s.calls += t.calls
	s.crossBytes += t.crossBytes
	for p, d := range t.busy {
		s.busy[p] += d
	}
}

// Compares the policies over several seeds. Run it with
// go test ./io/demo -run TestPolicy -policy_seeds 3 -v -timeout 20m.
func TestPolicy(t *testing.T) {
	if *policySeeds == 0 {
		t.Skip("a measurement: set -policy_seeds")
	}
	for _, name := range []string{"logwerk", "ferrando"} {
		for _, warned := range []bool{true, false} {
			for _, p := range []string{nodePolicy, roundRobin, leastShare} {
				sum := policyResult{busy: map[string]time.Duration{}}
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

func (s *policyResult) row(name, policy string, warned bool) string {
	all := phaseCount{}
	for _, w := range s.phases {
		all.ok += w.ok
		all.total += w.total
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
		all, s.phases[0], s.phases[1], s.phases[2], s.crashes, float64(s.calls)/n, 1000*busy.Seconds()/n, float64(s.crossBytes)/n/1000)
}

func runPolicy(t *testing.T, name, policy string, warned bool, seed uint64) policyResult {
	d := loadExample(t, name)
	for i := range d.Pools {
		// Smaller limits shorten the run at the same share of capacity.
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
	w.Go(func() { f.runOutage(start, out, warned) })
	l := f.policyTraffic(start, seed)
	w.Wait()
	s := policyResult{busy: map[string]time.Duration{}}
	for _, x := range l {
		i := 0
		if x.at.Sub(start) >= phaseBack {
			i = 2
		} else if x.at.Sub(start) >= phaseOut {
			i = 1
		}
		s.phases[i].total++
		if x.r.Outcome == outcome.OK.String() && x.r.Took <= x.q.Timeout {
			s.phases[i].ok++
		}
	}
	s.countCalls(f.Events())
	for _, k := range d.Links {
		s.crossBytes += f.Network.Bytes(k.From + ">" + k.To)
	}
	f.Stop()
	for _, c := range f.fronts {
		<-c.Drain()
	}
	time.Sleep(10 * time.Second) // until abandoned calls have ended at the stand-ins
	return s
}

// policyFleet is a fleet of nodes, or of fronts with a simpler policy.
type policyFleet struct {
	*Fleet
	mu     sync.Mutex
	view   *fleet.View
	nodes  bool
	fronts []*caller.Server
}

func newPolicyFleet(d *fleet.Declaration, policy string, seed uint64) *policyFleet {
	f := &policyFleet{Fleet: buildFleet(d, nil), view: fleet.NewView(d, 1), nodes: policy == nodePolicy}
	f.Seed = seed
	for i := range 7 {
		f.Nodes = append(f.Nodes, NodeSpec{fmt.Sprint("n", i+1), d.Domains[i%len(d.Domains)].Name})
	}
	if f.nodes {
		return f
	}
	base := time.Now()
	clock := backend.Clock{Boot: func() time.Duration { return time.Since(base) }}
	f.Front = func(s NodeSpec, host string) *http.Server {
		b := &baseline{view: f.current, spec: s, sharedBy: 1, inTurn: policy == roundRobin, inFlight: map[string]int{}, failedAt: map[string]time.Time{}}
		if !b.inTurn {
			b.sharedBy = len(f.Nodes)
		}
		c := &caller.Server{
			Node: s.Name, Region: f.region(s.Domain), View: f.current, Acquire: b.acquire, Release: b.release,
			Groups:  func(p string, _ time.Duration) []fleet.GroupID { return []fleet.GroupID{{Pool: p, Domain: s.Domain}} },
			Backend: &backend.Client{Dial: f.Network.Dialer(host), Clock: clock}, Clock: clock, Record: f.Record, Workers: 256,
		}
		f.fronts = append(f.fronts, c)
		return c.HTTP()
	}
	return f
}

func (f *policyFleet) current() *fleet.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

// runOutage takes a failure domain out, or crashes its servers, and brings it back cold.
func (f *policyFleet) runOutage(start time.Time, domain string, warned bool) {
	time.Sleep(time.Until(start.Add(phaseOut)))
	f.setDomainOut(domain, warned, true)
	time.Sleep(time.Until(start.Add(phaseBack - time.Second)))
	for _, h := range f.hostsIn(domain) {
		if warned {
			h.SetCold(true)
		} else {
			h.Restart()
		}
	}
	time.Sleep(time.Second)
	f.setDomainOut(domain, warned, false)
}

func (f *policyFleet) setDomainOut(domain string, warned, out bool) {
	if !warned {
		for _, h := range f.hostsIn(domain) {
			if out {
				h.TakeDown()
			}
		}
		return
	}
	if f.nodes {
		if out {
			_ = f.TakeOut(context.Background(), "n1", domain) // an error shows in the results
		} else {
			_ = f.BringBack(context.Background(), "n1", domain)
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

// policyTraffic sends pipeline requests at random intervals for random organisations among
// the first eight. If there are fewer than eight, the last one gets the remaining share.
func (f *policyFleet) policyTraffic(start time.Time, seed uint64) (l []sentRequest) {
	r := rand.New(rand.NewPCG(seed, 7))
	d := f.Declaration
	slots, enginePool := 0, ""
	for _, p := range d.Pools {
		if p.Protocol == fleet.ProtocolEngine {
			enginePool = p.Name
		}
	}
	for _, s := range d.Servers {
		if s.Pool == enginePool {
			slots += f.current().LimitOf(&s)
		}
	}
	v := f.current()
	// The prefill and the 23 gaps between the 24 tokens, as in newEngine.
	serviceTime := v.Pools[enginePool].Expect/8 + 23*20*time.Millisecond
	gap := float64(serviceTime) / float64(slots) / *policyRate
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
			l = append(l, sentRequest{q, at, x})
		})
	}
	w.Wait()
	return l
}

// countCalls adds the calls, busy times and crashes of the servers.
func (s *policyResult) countCalls(l []record.Event) {
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
