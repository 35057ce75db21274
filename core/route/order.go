package route

import (
	"time"

	"bergamotspring/core/fleet"
)

// maxRegions bounds the number of other regions; calls are not routed to further ones.
const maxRegions = 8

// nearRatio and farRatio are the ratios of expected finish times above which calls
// begin to spill to the region's other failure domains, and to other regions, whose
// links are paid by volume. If calls spilled only when the nearer tier exceeds the budget,
// queues of seconds could build up in one domain while another has free slots.
const (
	nearRatio = 1.5
	farRatio  = 1.5
	// minRatioBase keeps differences of tens of milliseconds from giving large ratios.
	minRatioBase = 250 * time.Millisecond
	// maxSpillShare bounds the share of calls that spill because of the ratio. The rest
	// keeps the nearer tier's servers in use, so that cold ones become warm.
	maxSpillShare = 0.8
)

// candidate is a group with its sort keys.
type candidate struct {
	g        *group
	finish   time.Duration
	unusable bool // announced or refused as taking no work
}

// Order appends the groups for q to dst, best first, and returns it. It omits groups
// that are taken out, groups of other regions if the link has too few bytes or the
// configuration is unconfirmed, and those beyond maxGroups groups or maxRegions other
// regions. It does not allocate if dst has enough capacity.
//
// The first group is usually of the nearest tier expected to meet the budget. Within a
// tier it is drawn at random, with a probability that rises with the slots and falls
// with the square of the expected finish time: all nodes receive the same
// announcements, and if each chose the best group, their load would oscillate.
func (r *Router) Order(dst []fleet.GroupID, q Request) []fleet.GroupID {
	n := r.now()
	var links [maxRegions]bool
	remote := r.Unconfirmed == nil || r.Unconfirmed() <= confirmWithin
	if remote {
		r.openLinks(&links, q.Bytes)
	}
	dst, needLinks := r.order(dst, q, n, &links)
	if needLinks && remote {
		r.requestLinks(q)
	}
	return dst
}

// order ranks the groups. needLinks reports whether other regions may soon be needed.
func (r *Router) order(dst []fleet.GroupID, q Request, n time.Time, links *[maxRegions]bool) (_ []fleet.GroupID, needLinks bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.seeded {
		r.random.Seed(r.Seed, 0)
		r.seeded = true
	}
	var b [maxGroups]candidate
	l := b[:0]
	for _, g := range r.pools[q.Pool] {
		if g.out || !g.reachable(links) || len(l) == maxGroups {
			continue
		}
		l = append(l, candidate{g, g.expectedFinish(n), n.Before(g.unusableUntil)})
	}
	sortCandidates(l)
	needLinks = len(l) == 0 || l[0].unusable || float64(l[0].finish) > requestLinksFrom*float64(q.Remaining)
	r.chooseFirst(l, q.Remaining)
	for i := range l {
		dst = append(dst, l[i].g.id)
	}
	return dst, needLinks
}

// reachable reports whether the group is in the node's region or behind an open link.
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

// openLinks sets open for each region whose link has enough bytes for the call.
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

// sortCandidates sorts by usability, tier and expected finish time. It is an insertion
// sort, since the lists are short.
func sortCandidates(l []candidate) {
	for i := 1; i < len(l); i++ {
		for j := i; j > 0 && before(&l[j], &l[j-1]); j-- {
			l[j], l[j-1] = l[j-1], l[j]
		}
	}
}

func before(a, b *candidate) bool {
	if a.unusable != b.unusable {
		return b.unusable
	}
	if a.g.tier != b.g.tier {
		return a.g.tier < b.g.tier
	}
	return a.finish < b.finish
}

// chooseFirst chooses the group to try first and moves it to the front of l, which must
// be sorted.
func (r *Router) chooseFirst(l []candidate, remaining time.Duration) {
	n := 0
	for n < len(l) && !l[n].unusable {
		n++
	}
	for from := 0; from < n; {
		to := from
		for to < n && l[to].g.tier == l[from].g.tier {
			to++
		}
		i := r.pick(l[from:to]) + from
		if !r.spills(l[i].finish, remaining) && !r.spillsToFarther(&l[i], l[to:n]) {
			moveToFront(l, i)
			return
		}
		from = to
	}
	// No tier was chosen: take the earliest expected finish of all.
	m := 0
	for i := range l[:n] {
		if l[i].finish < l[m].finish {
			m = i
		}
	}
	if n > 0 {
		moveToFront(l, m)
	}
}

func moveToFront(l []candidate, i int) {
	x := l[i]
	copy(l[1:i+1], l[:i])
	l[0] = x
}

// pick returns the index of a random group of a tier, weighted by weight.
func (r *Router) pick(l []candidate) int {
	if len(l) == 1 {
		return 0
	}
	var sum float64
	for i := range l {
		sum += l[i].weight()
	}
	x := r.randFloat() * sum
	for i := range l {
		if x -= l[i].weight(); x < 0 {
			return i
		}
	}
	return 0
}

func (x *candidate) weight() float64 {
	f := max(x.finish.Seconds(), 1e-6)
	return float64(max(1, x.g.slots)) / (f * f)
}

// spillsToFarther decides at random whether a call spills to a farther tier because x
// is expected to take much longer than the best group there. The probability rises
// with the ratio, so that the tiers balance instead of alternating.
func (r *Router) spillsToFarther(x *candidate, farther []candidate) bool {
	var best *candidate
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
	base := max(best.finish, minRatioBase)
	p := float64(x.finish-best.finish)/float64(base) - (from - 1)
	return p > 0 && r.randFloat() < min(p, maxSpillShare)
}

// spills decides at random whether a call with expected finish time f leaves the tier,
// because f is close to the remaining budget. A call that would miss it always leaves.
func (r *Router) spills(f, remaining time.Duration) bool {
	if f >= remaining {
		return true
	}
	x := float64(f) / float64(remaining)
	return x > spillFrom && r.randFloat() < (x-spillFrom)/(1-spillFrom)
}

func (r *Router) randFloat() float64 { return float64(r.random.Uint64()>>11) / (1 << 53) }
