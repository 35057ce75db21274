package fleet

import "time"

// PoolCapacity compares the concurrency of a pool before and after a change: the sum
// of the warm limits of its servers that are not taken out.
type PoolCapacity struct {
	Pool    string
	Region  string // empty: sum over all regions
	Before  int    // calls in flight
	After   int
	Servers int // servers not taken out after the change
}

// Share returns After divided by Before, or 1 if Before is 0.
func (c PoolCapacity) Share() float64 {
	if c.Before == 0 {
		return 1
	}
	return float64(c.After) / float64(c.Before)
}

// Capacity compares the capacity of each pool under a and b, over all regions and in
// each region, in the order of b. Pools that only a declares come last. Both
// declarations must be valid.
func Capacity(a, b *Declaration) []PoolCapacity {
	x, y := NewView(a, 0), NewView(b, 0)
	var l []PoolCapacity
	for _, p := range b.Pools {
		l = append(l, poolCapacity(x, y, p.Name)...)
	}
	for _, p := range a.Pools {
		if y.Pools[p.Name] == nil {
			l = append(l, poolCapacity(x, y, p.Name)...)
		}
	}
	return l
}

// CapacityWithout compares the capacity of d before and after a failure domain is
// taken out.
func CapacityWithout(d *Declaration, domain string) []PoolCapacity {
	return Capacity(d, d.WithTakenOut(TargetDomain, domain, "preview", time.Time{}))
}

func poolCapacity(x, y *View, pool string) []PoolCapacity {
	t := PoolCapacity{Pool: pool}
	var l []PoolCapacity
	for _, r := range regionsOf(x, y) {
		c := PoolCapacity{Pool: pool, Region: r}
		c.Before, _ = slots(x, pool, r)
		c.After, c.Servers = slots(y, pool, r)
		t.Before += c.Before
		t.After += c.After
		t.Servers += c.Servers
		if c.Before > 0 || c.After > 0 {
			l = append(l, c)
		}
	}
	return append([]PoolCapacity{t}, l...)
}

func regionsOf(x, y *View) []string {
	var l []string
	seen := map[string]bool{}
	for _, w := range []*View{y, x} {
		for _, r := range w.Declaration.Regions {
			if !seen[r.Name] {
				l = append(l, r.Name)
			}
			seen[r.Name] = true
		}
	}
	return l
}

// slots returns the sum of the limits of the servers of a pool in a region that are
// not taken out, and the number of those servers.
func slots(w *View, pool, region string) (n, servers int) {
	for _, g := range w.ByPool[pool] {
		if g.Region != region {
			continue
		}
		for _, s := range g.Servers {
			if w.ServerOut(s) {
				continue
			}
			n += w.LimitOf(s)
			servers++
		}
	}
	return n, servers
}
