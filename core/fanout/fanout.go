// Package fanout decides from where a node gets the tables of the store.
//
// In each region one node, the reader, reads the store. The others form a tree below it, in
// which each node queries its parent, so that the calls to the store do not grow with the
// number of nodes, and the time until a change has reached all of them grows with its
// logarithm. Each table enters a failure domain once, and is passed on within it, as links
// between domains are slower and cost more.
//
// All nodes derive the tree from the list of nodes. Their lists may differ for a moment, so a
// node also judges its sources by the age of what they send: when its tables are stale it
// queries others, and after a delay that grows with its position it reads the store itself.
package fanout

import (
	"slices"

	"bergamotspring/core/roster"
)

// Degree is the maximum number of children that a node has in its failure domain, and of the first
// nodes of other domains that get the tables from it.
const Degree = 8

// Tree is the tree in which the nodes of a region get the tables. The zero value is empty.
type Tree struct {
	nodes      []roster.Node // by position: the reader, the node that replaces it, and the others
	self       int           // position of the node for which the tree is made
	parents    []int         // position of each node's parent; the reader's is its own
	depths     []int         // number of links between each node and the reader
	neighbours []roster.Node // the nodes of the failure domain of self
}

// NewTree returns the tree of a region's nodes, which are in the order of Roster.Coordinators, for
// one of them. If the list lacks that node, it comes last; a list of no nodes makes an empty tree.
func NewTree(l []roster.Node, self roster.Node) Tree {
	t := Tree{nodes: order(l)}
	if len(l) == 0 {
		return t
	}
	t.self = t.position(self.Peer)
	if t.self < 0 {
		t.self = len(t.nodes)
		t.nodes = append(slices.Clip(t.nodes), self)
	}
	var first []int // the first node of each failure domain
	domains := map[string][]int{}
	for i, n := range t.nodes {
		d := domains[n.Domain]
		from := d
		if len(d) == 0 {
			from = first
			first = append(first, i)
		}
		domains[n.Domain] = append(d, i)
		parent, depth := 0, 0
		if k := len(from); k > 0 {
			parent = from[(k-1)/Degree]
			depth = t.depths[parent] + 1
		}
		t.parents, t.depths = append(t.parents, parent), append(t.depths, depth)
	}
	for _, i := range domains[self.Domain] {
		t.neighbours = append(t.neighbours, t.nodes[i])
	}
	return t
}

// order returns the nodes of a region in the order of the tree.
//
// The coordinator comes last, as it has the most other work. The node that replaces the reader
// lies in another failure domain, if there is one.
func order(l []roster.Node) []roster.Node {
	if len(l) < 2 {
		return l
	}
	t := append(slices.Clone(l[1:]), l[0])
	for i := 1; i < len(t)-1; i++ {
		if t[i].Domain != t[0].Domain {
			n := t[i]
			copy(t[2:i+1], t[1:i])
			t[1] = n
			break
		}
	}
	return t
}

// position returns the position of a node, or -1 if the tree lacks it.
func (t *Tree) position(peer string) int {
	return slices.IndexFunc(t.nodes, func(n roster.Node) bool { return n.Peer == peer })
}

// links returns the number of links between the node and the reader, 0 for the node that replaces
// the reader.
func (t *Tree) links() int {
	if t.self < 2 {
		return 0
	}
	return t.depths[t.self]
}

// parent returns the peer address from which the node gets the tables, empty if there is none. The
// reader's is the node that replaces it.
func (t *Tree) parent() string {
	switch {
	case t.self > 0:
		return t.nodes[t.parents[t.self]].Peer
	case len(t.nodes) > 1:
		return t.nodes[1].Peer
	}
	return ""
}

// ancestors returns the peer addresses of the parent and of the node above it. Above the reader
// is the node that replaces it.
func (t *Tree) ancestors() []string {
	l := list(t.parent())
	if t.self == 0 {
		return l
	}
	above := t.parents[t.parents[t.self]]
	if t.parents[t.self] == 0 {
		above = 1
	}
	if above != t.self {
		l = append(l, t.nodes[above].Peer)
	}
	return l
}
