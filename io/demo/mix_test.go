package demo

// This file defines sessions with random combinations of faults under steady traffic,
// reproducible by seed.

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bergamotspring/core/record"
	"bergamotspring/io/standin"
)

var (
	mixSeeds     = flag.Int("seeds", 10, "number of seeds of TestMix")
	mixFirstSeed = flag.Int("first_seed", 1, "first seed of TestMix")
)

const mixLength = 60 * time.Second

// mixSession is a session with random faults. The stand-ins read the server faults.
type mixSession struct {
	*faultSession
	rand *rand.Rand

	faultyMu sync.Mutex
	faulty   map[string]standin.FaultKind // by server
}

// mixFault is a fault that lasts for d. A session has at most one of each kind.
type mixFault struct {
	name string
	kind string
	run  func(x *mixSession, r *rand.Rand, d time.Duration)
}

// mixFaults are the faults of section 1.4 of docs/design.md. Faults that would
// invalidate each other's checks share a kind.
var mixFaults = []mixFault{
	{"node killed", "kill", func(x *mixSession, r *rand.Rand, d time.Duration) {
		n := x.randomNode(r)
		x.Kill(n)
		time.Sleep(d)
		x.noError(x.Restart(n))
	}},
	{"node paused", "pause", func(x *mixSession, r *rand.Rand, d time.Duration) {
		n := x.randomNode(r)
		x.SetPaused(n, true)
		time.Sleep(d)
		x.SetPaused(n, false)
	}},
	{"node stopped", "kill", func(x *mixSession, r *rand.Rand, d time.Duration) {
		n := x.randomNode(r)
		x.StopNode(n)
		time.Sleep(d)
		x.noError(x.Restart(n))
	}},
	{"table down", "table", func(x *mixSession, _ *rand.Rand, d time.Duration) {
		x.SetTableDown(true)
		time.Sleep(d)
		x.SetTableDown(false)
	}},
	{"table slow", "table", func(x *mixSession, r *rand.Rand, d time.Duration) {
		x.SetTableDelay(time.Duration(r.IntN(1500)) * time.Millisecond)
		time.Sleep(d)
		x.SetTableDown(false)
	}},
	{"table answers lost", "table", func(x *mixSession, r *rand.Rand, d time.Duration) {
		x.LoseResponses([]string{"", "claim/", "lease/", "home/"}[r.IntN(4)], 1+r.IntN(20))
		time.Sleep(d)
		x.SetTableDown(false)
	}},
	{"VM list down", "list", func(x *mixSession, _ *rand.Rand, d time.Duration) {
		x.SetListDown(true)
		time.Sleep(d)
		x.SetListDown(false)
	}},
	{"regions cut", "cut", func(x *mixSession, _ *rand.Rand, d time.Duration) {
		a, b := x.Declaration.Regions[0].Name, x.Declaration.Regions[1].Name
		x.CutRegions(a, b, true)
		time.Sleep(d)
		x.CutRegions(a, b, false)
	}},
	{"servers turned cold", "cold", func(x *mixSession, r *rand.Rand, _ time.Duration) {
		for range 1 + r.IntN(4) {
			x.Host(x.randomServer(r, "")).TurnCold()
		}
	}},
	{"servers crashed", "crash", func(x *mixSession, r *rand.Rand, _ time.Duration) {
		for range 1 + r.IntN(3) {
			x.Host(x.randomServer(r, "")).TakeDown()
		}
	}},
	{"server leaving", "list", func(x *mixSession, r *rand.Rand, _ time.Duration) {
		x.AnnounceLeaving(x.randomServer(r, x.Declaration.Domains[0].Name)) // in the region that always reaches the VM list
	}},
	{"domain out and in", "domain", func(x *mixSession, r *rand.Rand, d time.Duration) {
		n := x.Declaration.Domains[r.IntN(2)].Name // of the region of the table service
		if x.TakeOut(x.ctx, "", n) != nil {
			return // another fault made the operator API unavailable
		}
		time.Sleep(d)
		for x.BringBack(x.ctx, "", n) != nil {
			time.Sleep(time.Second)
		}
	}},
	{"applies", "apply", func(x *mixSession, _ *rand.Rand, d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(700 * time.Millisecond) {
			_, _ = x.Apply(x.ctx, "", "weight", raiseWeight) // may be refused
		}
	}},
	{"faulty answers", "answers", func(x *mixSession, r *rand.Rand, d time.Duration) {
		s, k := x.randomServer(r, ""), standin.FaultKind(1+r.IntN(int(standin.ErrorResponse)))
		if k == standin.CrashAt {
			k = standin.Late
		}
		x.setFaulty(s, k)
		time.Sleep(d)
		x.setFaulty(s, standin.NoFault)
	}},
	{"connections silent", "silent", func(x *mixSession, r *rand.Rand, _ time.Duration) {
		h := hostName(x.Declaration.Servers[r.IntN(len(x.Declaration.Servers))].Address)
		if r.IntN(2) == 0 {
			h = x.nodeHost(r.IntN(len(x.Nodes)))
		}
		x.Network.Silence(func(from, to string) bool { return from != callerHost && (from == h || to == h) })
	}},
	{"burst", "burst", func(x *mixSession, _ *rand.Rand, d time.Duration) {
		x.startTraffic(min(d, 3*time.Second), 5*time.Millisecond)
	}},
	{"crashing request", "crash", func(x *mixSession, _ *rand.Rand, _ time.Duration) {
		q := x.targets()[len(x.Declaration.Pipelines)]
		q.Organisation, q.Class = x.Declaration.Organisations[0].Name, x.Declaration.Classes[0].Name
		q.Input = `"crash me ` + q.Path + `"`
		for range 4 {
			x.send(q)
			time.Sleep(time.Second)
		}
	}},
}

func (x *mixSession) randomNode(r *rand.Rand) string { return x.Nodes[r.IntN(len(x.Nodes))].Name }

func (x *mixSession) randomServer(r *rand.Rand, domain string) string {
	for {
		s := x.Declaration.Servers[r.IntN(len(x.Declaration.Servers))]
		if domain == "" || s.Domain == domain {
			return s.Name
		}
	}
}

func (x *mixSession) noError(err error) {
	if err != nil {
		x.t.Error(err)
	}
}

func (x *mixSession) setFaulty(server string, k standin.FaultKind) {
	x.faultyMu.Lock()
	defer x.faultyMu.Unlock()
	x.faulty[server] = k
}

// fault returns the fault that the stand-in of a server injects into a call now.
func (x *mixSession) fault(h *standin.Host, input string) standin.Fault {
	if strings.Contains(input, "crash me") {
		return standin.Fault{Kind: standin.CrashAt}
	}
	x.faultyMu.Lock()
	defer x.faultyMu.Unlock()
	f := standin.Fault{Kind: x.faulty[h.Name], At: 3}
	if f.Kind == standin.Late {
		f.Delay = 800 * time.Millisecond
	}
	return f
}

// installFaults connects the stand-ins to the faults of the session. A crashed server
// restarts cold.
func (x *mixSession) installFaults() {
	for _, b := range x.Declaration.Servers {
		h := x.Host(b.Name)
		crash := h.OnCrash
		h.OnCrash = func() {
			crash()
			time.AfterFunc(3*time.Second, h.Restart)
		}
	}
	for _, e := range x.Engines {
		e.Fault = func(c standin.Completion) standin.Fault { return x.fault(&e.Host, c.Prompt) }
	}
	for _, j := range x.JSON {
		j.Fault = func(_ string, c standin.Call) standin.Fault { return x.fault(&j.Host, string(c.Input)) }
	}
}

// startFaults starts two or three faults of different kinds at random times.
func (x *mixSession) startFaults() {
	n := 2 + x.rand.IntN(2)
	kinds := map[string]bool{}
	for n > 0 {
		f := mixFaults[x.rand.IntN(len(mixFaults))]
		if kinds[f.kind] {
			continue
		}
		kinds[f.kind] = true
		n--
		start := time.Duration(x.rand.IntN(30000)) * time.Millisecond
		d := time.Duration(2000+x.rand.IntN(15000)) * time.Millisecond
		r := rand.New(rand.NewPCG(x.rand.Uint64(), 1))
		x.t.Logf("%s from %v for %v", f.name, start, d)
		x.inFlight.Go(func() {
			time.Sleep(start)
			x.RecordNow(record.FaultInjected, record.Event{Actor: "mix", Detail: f.name})
			f.run(x, r, d)
		})
	}
}

// Guards against combinations of faults that break an invariant although each fault alone
// does not.
func TestMix(t *testing.T) {
	n := *mixSeeds
	if raceDetector {
		n = min(n, 3)
	}
	for i := range n {
		seed := uint64(*mixFirstSeed + i)
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runMix(t, seed) })
			if t.Failed() {
				t.Logf("go test ./io/demo -run TestMix -seeds 1 -first_seed %d", seed)
			}
		})
	}
}

func runMix(t *testing.T, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 7))
	name := []string{"logwerk", "ferrando"}[seed%2]
	runFaultSession(t, name, 3+r.IntN(6), func(f *Fleet) { f.Seed = seed }, func(d *faultSession) {
		x := &mixSession{faultSession: d, rand: r, faulty: map[string]standin.FaultKind{}}
		x.installFaults()
		x.startTraffic(mixLength, 100*time.Millisecond)
		x.startFaults()
		time.Sleep(mixLength)
	})
}
