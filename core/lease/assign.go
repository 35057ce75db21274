package lease

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"bergamotspring/core/fleet"
)

// Candidate is a live node of a group's region, with the number of groups whose
// lease it holds.
type Candidate struct {
	Instance Instance
	Domain   string
	Leases   int
}

// weight is the rendezvous hash of node n for group g. Nodes that know the same
// candidates compute the same order, and a node that joins or leaves moves only the
// groups for which it comes or came first.
func weight(g fleet.GroupID, n string) uint64 {
	return xxhash.Sum64String(g.Pool + "\x00" + g.Domain + "\x00" + n)
}

// Rank orders candidates for the lease of g: nodes of the group's failure domain
// first, then by rendezvous hash.
func Rank(g fleet.GroupID, l []Candidate) []Candidate {
	return sortCandidates(g, l, func(c Candidate) bool { return c.Domain == g.Domain })
}

// PickStandby returns the standby for g beside holder, the zero Instance if there is
// no other candidate. It prefers a failure domain other than the holder's.
func PickStandby(g fleet.GroupID, holder Instance, l []Candidate) Instance {
	var d string
	var others []Candidate
	for _, c := range l {
		if c.Instance.Node == holder.Node {
			d = c.Domain
			continue
		}
		others = append(others, c)
	}
	r := sortCandidates(g, others, func(c Candidate) bool { return c.Domain != d })
	if len(r) == 0 {
		return Instance{}
	}
	return r[0].Instance
}

// BetterStandby returns another standby if the present one shares its failure domain
// with the holder although another domain has a candidate.
func BetterStandby(r Record, l []Candidate) (Instance, bool) {
	domain := map[Instance]string{}
	for _, c := range l {
		domain[c.Instance] = c.Domain
	}
	if domain[r.Standby] == "" || domain[r.Standby] != domain[r.Holder] {
		return Instance{}, false
	}
	d := PickStandby(r.Group, r.Holder, l)
	return d, d != (Instance{}) && domain[d] != domain[r.Holder]
}

// sortCandidates returns a sorted copy of l: preferred candidates first, then by hash.
func sortCandidates(g fleet.GroupID, l []Candidate, preferred func(Candidate) bool) []Candidate {
	l = slices.Clone(l)
	slices.SortFunc(l, func(a, b Candidate) int {
		if x, y := preferred(a), preferred(b); x != y {
			if x {
				return -1
			}
			return 1
		}
		if c := cmp.Compare(weight(g, b.Instance.Node), weight(g, a.Instance.Node)); c != 0 {
			return c
		}
		return cmp.Compare(a.Instance.Node, b.Instance.Node)
	})
	return l
}

// PickMove returns which of its groups holder should transfer, and to which node. It
// balances the number of leases per node after nodes joined. Only a holder with at
// least two groups more than another node moves one, so that moves terminate. A move
// into the group's own failure domain is preferred.
func PickMove(holder Instance, groups []fleet.GroupID, l []Candidate) (fleet.GroupID, Instance, bool) {
	least := len(groups)
	for _, c := range l {
		if c.Instance != holder {
			least = min(least, c.Leases)
		}
	}
	if len(groups) < least+2 {
		return fleet.GroupID{}, Instance{}, false
	}
	var idle []Candidate
	for _, c := range l {
		if c.Instance != holder && c.Leases == least {
			idle = append(idle, c)
		}
	}
	g := groups[0]
	to := Rank(g, idle)[0]
	for _, x := range groups[1:] {
		c := Rank(x, idle)[0]
		if c.Domain == x.Domain && to.Domain != g.Domain {
			g, to = x, c
		}
	}
	return g, to.Instance, true
}
