package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/core/limit"
)

// testView declares two domains in region pampa and one in cuyo, with n servers each.
func testView(n int, out ...string) *fleet.View {
	d := &fleet.Declaration{
		Domains: []fleet.FailureDomain{{Name: "norte", Region: "pampa"}, {Name: "sur", Region: "pampa"},
			{Name: "este", Region: "pampa"}, {Name: "centro", Region: "cuyo"}},
		Pools: []fleet.Pool{{Name: "drafting", Limit: 8, Expect: 100 * time.Millisecond}},
	}
	for _, f := range d.Domains {
		for i := range n {
			s := fleet.BackendServer{Name: fmt.Sprint(f.Name, i), Pool: "drafting", Domain: f.Name}
			d.Servers = append(d.Servers, s)
		}
	}
	for _, o := range out {
		d.Exceptions = append(d.Exceptions, fleet.Exception{Target: fleet.TargetDomain, Name: o, Out: true})
	}
	return fleet.NewView(d, 1)
}

func id(domain string) fleet.GroupID { return fleet.GroupID{Pool: "drafting", Domain: domain} }

func domains(l []fleet.GroupID) []string {
	var o []string
	for _, g := range l {
		o = append(o, g.Domain)
	}
	return o
}

func ExampleRouter_Order() {
	r := Router{Domain: "norte", Region: "pampa", LinkBytes: func(string) int64 { return 1 << 20 }}
	r.Configure(testView(1, "este"))
	q := Request{Pool: "drafting", Remaining: time.Second}
	fmt.Println(r.Order(nil, q))
	r.Update(id("norte"), limit.Summary{Usable: true, Wait: 2 * time.Second}, 0)
	fmt.Println(r.Order(nil, q))
	// Output:
	// [drafting@norte drafting@sur drafting@centro]
	// [drafting@sur drafting@norte drafting@centro]
}

// Guards against routing to a domain that is taken out, to another region without link
// bytes or a confirmed configuration, and to a farther tier while a nearer one meets
// the budget.
func TestOrder(t *testing.T) {
	busy := limit.Summary{Usable: true, Wait: 10 * time.Second}
	for _, c := range []struct {
		name    string
		out     string
		link    int64
		stale   time.Duration
		update  map[string]limit.Summary
		later   time.Duration
		sent    int
		want    []string
		noOther bool
	}{
		{name: "nearest first", link: 999, want: []string{"norte"}},
		{name: "own domain out", out: "norte", link: 999, want: []string{"este", "sur"}},
		{name: "no link bytes", link: 10, noOther: true, want: []string{"norte"}},
		{name: "unconfirmed", link: 999, stale: 61 * time.Second, noOther: true, want: []string{"norte"}},
		{name: "region busy", link: 999, update: map[string]limit.Summary{"norte": busy, "sur": busy, "este": busy}, want: []string{"centro"}},
		{name: "all busy", link: 999, want: []string{"norte"},
			update: map[string]limit.Summary{"norte": {Usable: true, Wait: 5 * time.Second}, "sur": busy, "este": busy, "centro": busy}},
		{name: "no server", update: map[string]limit.Summary{"norte": {}}, want: []string{"este", "sur"}, noOther: true},
		{name: "outdated wait", update: map[string]limit.Summary{"norte": busy}, later: 20 * time.Second, noOther: true, want: []string{"norte"}},
		{name: "own calls", sent: 40, noOther: true, want: []string{"este", "sur"},
			update: map[string]limit.Summary{"norte": {Usable: true, Free: 8, Slots: 8, MedianService: 300 * time.Millisecond}}},
	} {
		now := time.Unix(1000, 0)
		r := Router{
			Domain: "norte", Region: "pampa", Now: func() time.Time { return now },
			Unconfirmed: func() time.Duration { return c.stale },
			LinkBytes:   func(string) int64 { return c.link },
		}
		r.Configure(testView(1, c.out))
		for d, s := range c.update {
			r.Update(id(d), s, 0)
		}
		for range c.sent {
			r.OnSent(id("norte"))
		}
		for d, s := range c.update {
			r.Update(id(d), s, -time.Millisecond) // the same announcement again
		}
		now = now.Add(c.later)
		got := domains(r.Order(nil, Request{Pool: "drafting", Remaining: time.Second, Bytes: 100}))
		if !slices.Contains(c.want, got[0]) || slices.Contains(got, c.out) || slices.Contains(got, "centro") == c.noOther {
			t.Errorf("%s: order %v, want first one of %v", c.name, got, c.want)
		}
	}
}

// Guards against groups that are ranked twice, omitted, or included against the rules,
// under random updates and configurations.
func TestRandomOrder(t *testing.T) {
	for seed := range uint64(200) {
		g := rand.New(rand.NewPCG(seed, 4))
		now, link, stale, out := time.Unix(1000, 0), int64(0), time.Duration(0), ""
		all := []string{"norte", "sur", "este", "centro"}
		r := Router{
			Domain: "norte", Region: "pampa", Seed: seed, Now: func() time.Time { return now },
			Unconfirmed: func() time.Duration { return stale },
			LinkBytes:   func(string) int64 { return link },
		}
		r.Configure(testView(1))
		for range 200 {
			now = now.Add(time.Duration(g.IntN(300)) * time.Millisecond)
			d := id(all[g.IntN(4)])
			switch g.IntN(6) {
			case 0:
				s := limit.Summary{Usable: g.IntN(5) > 0, Wait: time.Duration(g.IntN(2000)) * time.Millisecond, Slots: 8, Free: g.IntN(8)}
				r.Update(d, s, time.Duration(g.IntN(1000))*time.Millisecond)
			case 1:
				r.OnRefused(&limit.RefusedError{Group: d, Reason: limit.Refusal(1 + g.IntN(7)), Wait: time.Second})
			case 2:
				link, stale = int64(g.IntN(2)*100), time.Duration(g.IntN(2)*61)*time.Second
			case 3:
				out = append(all, "")[g.IntN(5)]
				r.Configure(testView(1, out))
			case 4:
				r.OnSent(d)
			case 5:
				r.OnEnded(d)
			}
			got := domains(r.Order(nil, Request{Pool: "drafting", Remaining: time.Second, Bytes: 100}))
			for _, d := range all {
				open := d != out && (d != "centro" || link >= 100 && stale <= time.Minute)
				if slices.Contains(got, d) != open {
					t.Fatalf("seed %d: order %v; %s may be used: %v", seed, got, d, open)
				}
			}
			slices.Sort(got)
			if len(slices.Compact(got)) != len(got) {
				t.Fatalf("seed %d: a group twice in %v", seed, got)
			}
		}
	}
}

// Guards against oscillation: all nodes moving to the group announced as best, and back.
// 40 nodes in another domain share two groups of 40 slots. Announcements come once a
// second, so that they are up to a second old. The load is 90% of the slots.
func TestNoOscillation(t *testing.T) {
	const step = 50 * time.Millisecond
	const service = 200 * time.Millisecond
	now := time.Unix(1000, 0)
	var nodes [40]Router
	for i := range nodes {
		nodes[i] = Router{Domain: "norte", Region: "pampa", Now: func() time.Time { return now }, Seed: uint64(i)}
		nodes[i].Configure(testView(5, "norte"))
	}
	var queue [2]int
	var arrivals [2]int
	names := []string{"este", "sur"}
	worst := 0.0
	for k := range 600 {
		now = now.Add(step)
		if k%20 == 0 {
			if n := arrivals[0] + arrivals[1]; k >= 200 {
				worst = max(worst, float64(max(arrivals[0], arrivals[1]))/float64(n))
			}
			arrivals = [2]int{}
			for g := range queue {
				s := limit.Summary{Usable: true, Slots: 40, Queued: max(0, queue[g]-40), Free: max(0, 40-queue[g]), MedianService: service}
				s.Wait = service * time.Duration(s.Queued) / 40
				for i := range nodes {
					nodes[i].Update(id(names[g]), s, 0)
				}
			}
		}
		for i := range 18 { // 360 calls a second; the two groups serve up to 400
			o := nodes[(k*18+i)%len(nodes)].Order(nil, Request{Pool: "drafting", Remaining: 4 * time.Second})
			g := slices.Index(names, o[0].Domain)
			queue[g]++
			arrivals[g]++
		}
		for g := range queue {
			queue[g] -= min(queue[g], 40) * int(step) / int(service)
		}
	}
	if worst > 0.7 {
		t.Errorf("a group got %.0f%% of the calls of a second, want at most 70%%", 100*worst)
	}
	t.Logf("largest share of one group in a second: %.2f", worst)
}

func BenchmarkOrder(b *testing.B) {
	for _, n := range []int{25, 100, 300, 920} {
		b.Run(fmt.Sprint(n, "servers"), func(b *testing.B) {
			d := &fleet.Declaration{Pools: []fleet.Pool{{Name: "drafting", Expect: time.Second}}}
			for i := range 10 {
				f := fleet.FailureDomain{Name: fmt.Sprint("domain", i), Region: fmt.Sprint("region", i%3)}
				d.Domains = append(d.Domains, f)
			}
			for i := range n {
				s := fleet.BackendServer{Name: fmt.Sprint("s", i), Pool: "drafting", Domain: d.Domains[i%10].Name}
				d.Servers = append(d.Servers, s)
			}
			now := time.Unix(1000, 0)
			r := Router{Domain: "domain0", Region: "region0", Now: func() time.Time { return now },
				LinkBytes: func(string) int64 { return 1 << 20 }}
			r.Configure(fleet.NewView(d, 1))
			for i := range 10 {
				s := limit.Summary{Usable: true, Wait: time.Duration(i) * time.Millisecond, Slots: 8, MedianService: 80 * time.Millisecond}
				r.Update(fleet.GroupID{Pool: "drafting", Domain: fmt.Sprint("domain", i)}, s, 0)
			}
			dst := make([]fleet.GroupID, 0, 16)
			q := Request{Pool: "drafting", Remaining: 50 * time.Millisecond, Bytes: 2000}
			b.ReportAllocs()
			for b.Loop() {
				dst = r.Order(dst[:0], q)
			}
		})
	}
}
