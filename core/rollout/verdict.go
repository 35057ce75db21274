package rollout

// This file defines the statistics of a verdict. A Cochran-Mantel-Haenszel test compares the new with the
// old version inside strata of route, failure domain and time, so that what affects both alike has no
// influence. It is repeated several times a second over several sets of strata, so its thresholds are high.

import (
	"fmt"
	"maps"
	"math"
	"slices"
)

const (
	// minStatistic is the least square root of the test's statistic, in standard deviations.
	minStatistic = 4
	// firstTail is the least negative logarithm of the bound of the chance of so many bad responses, if both
	// versions were alike: 12 is below one in a hundred thousand. The statistic alone is wrong far more
	// often, as few bad responses are not normally distributed.
	firstTail = 12
	// lastTail is that from the end of the test on. It is lower, as few more verdicts follow, and a bad version
	// would soon get more than its share.
	lastTail = 7
	// suspectTail is that from which the version is suspect: Moving waits for more evidence for a moment.
	suspectTail = 4.5
	// minBad is the least number of bad responses of the new version.
	minBad = 6
	// minStratum is how many responses a stratum needs; seconds with fewer are joined with the next ones. Few
	// old responses in a stratum say little of what to expect.
	minStratum = 24
	// lastSeconds is the length of the time that is also judged alone, for versions that become bad late.
	lastSeconds = 5
	// minServers is how many new servers must have evidence, if there are as many. Of fewer, one faulty
	// server would be half.
	minServers = 3
	// minExpected is how many bad responses a new server would have on average, if it were as bad as those
	// that show the fault, to have evidence. With 2, one in seven such servers has none.
	minExpected = 2
)

// minExcess is the least share of the responses by which the new version must be worse. Small differences
// are no fault that an operator would roll back for, and servers of one version differ in speed. lastExcess is
// that with lastTail, where a few failures by chance weigh more.
var (
	minExcess  = [kinds]float64{failed: 0.01, slow: 0.1, slowPace: 0.1}
	lastExcess = [kinds]float64{failed: 0.03, slow: 0.1, slowPace: 0.1}
)

// table adds up strata of the old and new versions.
type table struct {
	new      count
	bad      float64 // of both
	expected float64 // of new.bad, if both were alike
	variance float64
}

// stratum adds a stratum. One without responses of both says nothing.
func (t *table) stratum(old, new count) {
	n, bad := old.all+new.all, old.bad+new.bad
	if old.all <= 0 || new.all <= 0 || n <= 1 {
		return
	}
	t.new.add(new)
	t.bad += bad
	t.expected += new.all * bad / n
	t.variance += old.all * new.all * bad * (n - bad) / (n * n * (n - 1))
}

func (t *table) add(o table) {
	t.new.add(o.new)
	t.bad += o.bad
	t.expected += o.expected
	t.variance += o.variance
}

// statistic returns the square root of the test's statistic, negative if the new version is better.
func (t *table) statistic() float64 {
	if t.variance <= 0 {
		return 0
	}
	return (t.new.bad - t.expected) / math.Sqrt(t.variance)
}

// tail returns the negative logarithm of Chernoff's bound of the chance that the bad responses fall on the
// new version so often: a sum of independent or negatively dependent trials with the mean t.expected.
func (t *table) tail() float64 {
	if t.bad <= 0 || t.new.bad <= t.expected {
		return 0
	}
	p, q := t.new.bad/t.bad, t.expected/t.bad
	kl := p * math.Log(p/q)
	if p < 1 {
		kl += (1 - p) * math.Log((1-p)/(1-q))
	}
	return t.bad * kl
}

// worse reports whether the new version is worse beyond chance.
func (t *table) worse(k kind, minTail float64) bool {
	excess := minExcess[k]
	if minTail < firstTail {
		excess = lastExcess[k]
	}
	if t.new.bad < minBad || t.new.bad-t.expected < excess*t.new.all || t.tail() < minTail {
		return false
	}
	return minTail <= suspectTail || t.statistic() >= minStatistic
}

// compare adds up the strata of a cell from a second on.
func (c *cell) compare(k kind, from int) table {
	var t table
	var x, y count
	old, new := c.old.from(from), c.new.from(from)
	for len(old) > 0 || len(new) > 0 {
		second := math.MaxInt
		if len(old) > 0 {
			second = old[0].second
		}
		if len(new) > 0 {
			second = min(second, new[0].second)
		}
		if len(old) > 0 && old[0].second == second {
			x.add(old[0].counts[k])
			old = old[1:]
		}
		if len(new) > 0 && new[0].second == second {
			y.add(new[0].counts[k])
			new = new[1:]
		}
		if x.all+y.all >= minStratum {
			t.stratum(x, y)
			x, y = count{}, count{}
		}
	}
	t.stratum(x, y)
	return t
}

// verdict is what the evidence says.
type verdict struct {
	minTail float64
	bad     bool
	reason  string
	suspect bool                // nearly worse
	unclear bool                // worse, but too few servers have evidence
	enough  map[string]struct{} // servers with evidence, if unclear
}

// judge compares the versions over all routes and over each one, since the order and in the last seconds.
// servers is the number of new servers.
func (e *evidence) judge(second, servers int, minTail float64) verdict {
	v := verdict{minTail: minTail}
	names := make([]string, 0, len(e.routes))
	for name := range e.routes {
		names = append(names, name)
	}
	slices.Sort(names)
	for k := range kinds {
		for _, from := range []int{0, second - lastSeconds} {
			var all table
			var routes []*routeEvidence
			for _, name := range names {
				r := e.routes[name]
				var t table
				for _, c := range r.ordered {
					t.add(c.compare(k, from))
				}
				all.add(t)
				routes = append(routes, r)
				if len(names) > 1 {
					v.consider(t, k, "route "+name, []*routeEvidence{r}, from, servers)
				}
			}
			v.consider(all, k, "all routes", routes, from, servers)
			if v.bad {
				return v
			}
		}
	}
	return v
}

// consider takes in the result of one test.
func (v *verdict) consider(t table, k kind, scope string, routes []*routeEvidence, from, registered int) {
	v.suspect = v.suspect || t.worse(k, suspectTail)
	if v.bad || !t.worse(k, v.minTail) {
		return
	}
	enough, shown := spread(byServer(routes, k, from), (t.new.bad+t.expected)/(2*t.new.all))
	// At the end of the test two servers have to do: Moving shows more.
	need := min(minServers, registered)
	if v.minTail <= lastTail {
		need = min(need, minServers-1)
	}
	half := 2*shown == len(enough) && (len(enough) >= minServers || len(enough) >= registered)
	switch {
	case len(enough) < need:
		v.unclear, v.enough = true, enough
	case 2*shown > len(enough) || half:
		v.bad = true
		v.reason = fmt.Sprintf("%s, %s: %.0f of %.0f responses of the new version, expected %.1f; %d of %d servers",
			kindNames[k], scope, t.new.bad, t.new.all, t.expected, shown, len(enough))
	}
}

// spread returns which servers have evidence of a fault, and how many of them show it: their share of bad
// responses is at least middle, which is between that of the version and that of the old one.
func spread(servers map[string]count, middle float64) (enough map[string]struct{}, shown int) {
	shows := func(c count) bool { return c.bad/c.all >= middle }
	var worst count // of all servers that show the fault
	names := slices.Sorted(maps.Keys(servers))
	for _, name := range names {
		c := servers[name]
		if shows(c) {
			worst.add(c)
		}
	}
	rate := worst.bad / max(worst.all, 1)
	enough = map[string]struct{}{}
	var rest count // of servers that have too little evidence alone
	var others []string
	for _, server := range names {
		c := servers[server]
		if c.all*rate < minExpected {
			rest.add(c)
			others = append(others, server)
			continue
		}
		enough[server] = struct{}{}
		if shows(c) {
			shown++
		}
	}
	if rest.all*rate >= minExpected {
		for _, server := range others {
			enough[server] = struct{}{}
		}
		if shows(rest) {
			shown += len(others)
		}
	}
	return enough, shown
}
