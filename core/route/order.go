package route

import (
	"time"

	"bergamotspring/core/fleet"
)

// maxRegions bounds the other regions; calls to more are not routed.
const maxRegions = 8

// The ratios of expected finishes above which calls begin to go to the region's other
// failure domains, and to other regions, whose links are paid by volume. While the
// nearer tier alone had to be out of its budget, queues of seconds stood in one
// domain beside free slots in the next.
const (
	nearRatio = 1.5
	farRatio  = 1.5
	// leastBase keeps differences of some tens of milliseconds from counting as large.
	leastBase = 250 * time.Millisecond
	// mostLeave is the largest share that leaves for this reason. The rest keeps the
	// nearer tier's servers in use, so that cold ones become warm.
	mostLeave = 0.8
)

// ranked is a group with what Order needs to rank it.
type ranked struct {
	g      *group
	finish time.Duration
	last   bool // said that it takes no work
}

// Order appends the groups for q to dst, the best first, and returns it. Groups that
// are out, and other regions when the link or the node's state forbids them, are
// left out. It does not allocate if dst has room.
//
// The first group is of the nearest tier that is expected to meet the budget. Inside
// a tier the first is drawn by chance, with a probability that rises with the slots
// and falls with the square of the expected finish: all nodes hear the same
// announcements, and if each took the best they would all move together and back.
func (r *Router) Order(dst []fleet.GroupID, q Request) []fleet.GroupID {
	n := r.now()
	var links [maxRegions]bool
	remote := r.Unconfirmed == nil || r.Unconfirmed() <= confirmWithin
	if remote {
		r.openLinks(&links, q.Bytes)
	}
	dst, want := r.order(dst, q, n, &links)
	if want && remote {
		r.requestLinks(q)
	}
	return dst
}

// order ranks the groups; want tells that other regions may soon be needed.
func (r *Router) order(dst []fleet.GroupID, q Request, n time.Time, links *[maxRegions]bool) (_ []fleet.GroupID, want bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.seeded {
		r.random.Seed(r.Seed, 0)
		r.seeded = true
	}
	var b [maxGroups]ranked
	l := b[:0]
	for _, g := range r.pools[q.Pool] {
		if g.out || !g.reachable(links) || len(l) == maxGroups {
			continue
		}
		l = append(l, ranked{g, g.finish(n), n.Before(g.unusable)})
	}
	sortRanked(l)
	want = len(l) == 0 || l[0].last || float64(l[0].finish) > wantFrom*float64(q.Remaining)
	r.lead(l, q.Remaining)
	for i := range l {
		dst = append(dst, l[i].g.id)
	}
	return dst, want
}

// reachable reports whether the group is in the own region or behind an open link.
func (g *group) reachable(open *[maxRegions]bool) bool {
	return g.region < 0 || g.region < len(open) && open[g.region]
}

func (r *Router) requestLinks(q Request) {
	if r.RequestLinkBytes == nil {
		return
	}
	r.mu.Lock()
	n := r.regions
	r.mu.Unlock()
	for _, s := range n {
		r.RequestLinkBytes(s, max(1, q.Bytes))
	}
}

// openLinks notes the regions to which a call of so many bytes may go.
func (r *Router) openLinks(open *[maxRegions]bool, bytes int64) {
	if r.LinkBytes == nil {
		return
	}
	r.mu.Lock()
	n := r.regions
	r.mu.Unlock()
	for i := range n {
		if i < len(open) {
			open[i] = r.LinkBytes(n[i]) >= max(1, bytes)
		}
	}
}

// sortRanked orders by usable, tier and expected finish. The lists are short.
func sortRanked(l []ranked) {
	for i := 1; i < len(l); i++ {
		for j := i; j > 0 && before(&l[j], &l[j-1]); j-- {
			l[j], l[j-1] = l[j-1], l[j]
		}
	}
}

func before(a, b *ranked) bool {
	if a.last != b.last {
		return b.last
	}
	if a.g.tier != b.g.tier {
		return a.g.tier < b.g.tier
	}
	return a.finish < b.finish
}

// lead moves the chosen group to the front of l, which is sorted.
func (r *Router) lead(l []ranked, left time.Duration) {
	n := 0
	for n < len(l) && !l[n].last {
		n++
	}
	for from := 0; from < n; {
		to := from
		for to < n && l[to].g.tier == l[from].g.tier {
			to++
		}
		i := r.draw(l[from:to]) + from
		if !r.leaves(l[i].finish, left) && !r.slower(&l[i], l[to:n]) {
			toFront(l, i)
			return
		}
		from = to
	}
	// No tier meets the budget: the least expected finish of all.
	m := 0
	for i := range l[:n] {
		if l[i].finish < l[m].finish {
			m = i
		}
	}
	if n > 0 {
		toFront(l, m)
	}
}

func toFront(l []ranked, i int) {
	x := l[i]
	copy(l[1:i+1], l[:i])
	l[0] = x
}

// draw picks one of the groups of a tier.
func (r *Router) draw(l []ranked) int {
	if len(l) == 1 {
		return 0
	}
	var sum float64
	for i := range l {
		sum += l[i].share()
	}
	x := r.chance() * sum
	for i := range l {
		if x -= l[i].share(); x < 0 {
			return i
		}
	}
	return 0
}

func (x *ranked) share() float64 {
	f := max(x.finish.Seconds(), 1e-6)
	return float64(max(1, x.g.slots)) / (f * f)
}

// slower reports whether a call goes to a farther tier because x is expected to take
// much longer than the best group there. The share that leaves rises with the ratio,
// so that the tiers even out instead of taking turns.
func (r *Router) slower(x *ranked, farther []ranked) bool {
	var best *ranked
	for i := range farther {
		if best == nil || farther[i].finish < best.finish {
			best = &farther[i]
		}
	}
	if best == nil {
		return false
	}
	from := nearRatio
	if best.g.tier == 2 {
		from = farRatio
	}
	base := max(best.finish, leastBase)
	p := float64(x.finish-best.finish)/float64(base) - (from - 1)
	return p > 0 && r.chance() < min(p, mostLeave)
}

// leaves reports whether a call whose finish is expected after f leaves the tier.
func (r *Router) leaves(f, left time.Duration) bool {
	if f >= left {
		return true
	}
	x := float64(f) / float64(left)
	return x > spillFrom && r.chance() < (x-spillFrom)/(1-spillFrom)
}

func (r *Router) chance() float64 { return float64(r.random.Uint64()>>11) / (1 << 53) }
