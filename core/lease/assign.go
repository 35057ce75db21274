package lease

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"bergamotspring/core/fleet"
)

// Candidate is a live node of a group's region, with the number of groups that it
// is home of.
type Candidate struct {
	Instance Instance
	Domain   string
	Leases   int
}

// weight is the rendezvous hash of node n for group g: nodes that know the same
// candidates agree on the order, and a node that joins or leaves moves only the
// groups that it wins or held.
func weight(g fleet.GroupID, n string) uint64 {
	return xxhash.Sum64String(g.Pool + "\x00" + g.Domain + "\x00" + n)
}

// Rank orders candidates for the home of g: nodes of the group's failure domain
// first, then by rendezvous hash.
func Rank(g fleet.GroupID, l []Candidate) []Candidate {
	return ranked(g, l, func(c Candidate) bool { return c.Domain == g.Domain })
}

// PickStandby returns the deputy for g beside home, nobody if there is no other
// candidate. It prefers a failure domain other than home's.
func PickStandby(g fleet.GroupID, home Instance, l []Candidate) Instance {
	var d string
	var others []Candidate
	for _, c := range l {
		if c.Instance.Node == home.Node {
			d = c.Domain
			continue
		}
		others = append(others, c)
	}
	r := ranked(g, others, func(c Candidate) bool { return c.Domain != d })
	if len(r) == 0 {
		return Instance{}
	}
	return r[0].Instance
}

// BetterStandby returns another deputy if the present one shares its failure domain
// with the home although another domain has a candidate.
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

// ranked sorts a copy of l: candidates that are first, then by hash.
func ranked(g fleet.GroupID, l []Candidate, first func(Candidate) bool) []Candidate {
	l = slices.Clone(l)
	slices.SortFunc(l, func(a, b Candidate) int {
		if x, y := first(a), first(b); x != y {
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

// Move returns the node to which home should give one of its groups, and which. It
// evens out the numbers of homes after nodes joined: only a home with at least two
// groups more than another node moves one, so that moves come to an end. A move
// into the group's own failure domain is preferred.
func Move(home Instance, groups []fleet.GroupID, l []Candidate) (fleet.GroupID, Instance, bool) {
	least := len(groups)
	for _, c := range l {
		if c.Instance != home {
			least = min(least, c.Leases)
		}
	}
	if len(groups) < least+2 {
		return fleet.GroupID{}, Instance{}, false
	}
	var idle []Candidate
	for _, c := range l {
		if c.Instance != home && c.Leases == least {
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
