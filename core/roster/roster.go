// Package roster decides which node is the coordinator of a region, and in which order
// the others take over.
//
// Nodes register in the platform's store with the processor time of their VM. The store's
// version counter orders the registrations, so that all nodes agree on the order without a
// lease: the coordinator is, of the nodes with the most processor time that respond, the one
// with the oldest registration.
package roster

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"
)

// lostAfter is how long a node must be silent to count as gone for good.
const lostAfter = 30 * time.Second

// Node is a registered node.
type Node struct {
	Name        string
	Peer        string // IP:port for links between nodes
	Domain      string
	Region      string
	Incarnation string
	Protocol    int    // version of the messages that it exchanges with other nodes
	CPU         int    // processor time that it may use, in thousandths of a core; 0: unknown
	Era         uint64 // of the store in which its registration was read
	Order       uint64 // of its registration; the lowest comes first
}

// Roster holds the registered nodes. The zero value is ready to use, with a clock that
// stands still. It is safe for concurrent use.
type Roster struct {
	Now func() time.Time

	mu          sync.Mutex
	nodes       map[string]Node      // by peer address
	silentSince map[string]time.Time // when a node, by peer address, became silent
	unlisted    map[string]time.Time // nodes that a restored store lacks, and until when they stay

	// Results of earlier calls, dropped when the nodes or their silence change.
	all          []Node
	coordinators map[string][]Node // by region
}

func (r *Roster) now() time.Time {
	if r.Now == nil {
		return time.Time{}
	}
	return r.Now()
}

// Replace stores the complete list of nodes. A node that has restarted does not count as
// silent because its previous incarnation was.
func (r *Roster) Replace(l []Node) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replace(l)
}

// replace stores the list of nodes, and those that are kept without being in it. The lock is held.
func (r *Roster) replace(l []Node) {
	old := r.nodes
	r.nodes = make(map[string]Node, len(l))
	for _, n := range l {
		r.nodes[n.Peer] = n
		if old[n.Peer].Incarnation != n.Incarnation {
			delete(r.silentSince, n.Peer)
		}
		delete(r.unlisted, n.Peer)
	}
	for p := range r.unlisted {
		r.nodes[p] = old[p]
	}
	for p := range r.silentSince {
		if _, ok := r.nodes[p]; !ok {
			delete(r.silentSince, p)
		}
	}
	r.changed()
}

// changed drops the results of earlier calls. The lock is held.
func (r *Roster) changed() { r.all, r.coordinators = nil, nil }

// MarkSilent records that a node did not respond. It is placed after the others until
// MarkAlive, or until it registers again.
func (r *Roster) MarkSilent(peer string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.nodes[peer]; !ok {
		return
	}
	if r.silentSince == nil {
		r.silentSince = map[string]time.Time{}
	}
	if _, ok := r.silentSince[peer]; !ok {
		r.silentSince[peer] = r.now()
		r.changed()
	}
}

// MarkAlive records that a node responded.
func (r *Roster) MarkAlive(peer string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.silentSince[peer]; ok {
		delete(r.silentSince, peer)
		r.changed()
	}
}

// Coordinators returns the nodes of a region in the order in which they become its
// coordinator: those that respond before the silent ones, and in each group those with more
// processor time first, then in the order of registration. The result must not be changed.
func (r *Roster) Coordinators(region string) []Node {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire()
	if l, ok := r.coordinators[region]; ok {
		return l
	}
	var l []Node
	for _, n := range r.nodes {
		if n.Region == region {
			l = append(l, n)
		}
	}
	slices.SortFunc(l, func(a, b Node) int {
		return cmp.Or(cmp.Compare(r.rank(a), r.rank(b)), cmp.Compare(b.CPU, a.CPU), cmp.Compare(a.Order, b.Order), strings.Compare(a.Peer, b.Peer))
	})
	if r.coordinators == nil {
		r.coordinators = map[string][]Node{}
	}
	r.coordinators[region] = l
	return l
}

// rank sorts silent nodes last. The lock is held.
func (r *Roster) rank(n Node) int {
	if _, ok := r.silentSince[n.Peer]; ok {
		return 1
	}
	return 0
}

// Silent returns the nodes that are silent, and those of them that count as gone for good: they
// have been silent for lostAfter and patience.
func (r *Roster) Silent(patience time.Duration) (silent, lost []Node) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire()
	for p, since := range r.silentSince {
		n := r.nodes[p]
		silent = append(silent, n)
		if r.now().Sub(since) >= lostAfter+patience {
			lost = append(lost, n)
		}
	}
	byName := func(a, b Node) int { return strings.Compare(a.Name, b.Name) }
	slices.SortFunc(silent, byName)
	slices.SortFunc(lost, byName)
	return silent, lost
}

// All returns all nodes, sorted by name. The result must not be changed.
func (r *Roster) All() []Node {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire()
	if r.all != nil {
		return r.all
	}
	l := make([]Node, 0, len(r.nodes))
	for _, n := range r.nodes {
		l = append(l, n)
	}
	slices.SortFunc(l, func(a, b Node) int { return strings.Compare(a.Name, b.Name) })
	r.all = l
	return l
}

// Oldest returns the node that responds and registered first. It has run longest, as a node that restarts
// registers anew.
func (r *Roster) Oldest() (Node, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire()
	var oldest Node
	for _, n := range r.nodes {
		if r.rank(n) == 0 && (oldest.Peer == "" || cmp.Or(cmp.Compare(n.Order, oldest.Order), strings.Compare(n.Peer, oldest.Peer)) < 0) {
			oldest = n
		}
	}
	return oldest, oldest.Peer != ""
}

// Before returns the number of nodes that respond and registered before a node, or, if it is not registered, of all that
// respond.
func (r *Roster) Before(peer string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire()
	self, registered := r.nodes[peer]
	n := 0
	for _, x := range r.nodes {
		if x.Peer != peer && r.rank(x) == 0 && (!registered || cmp.Or(cmp.Compare(x.Order, self.Order), strings.Compare(x.Peer, peer)) < 0) {
			n++
		}
	}
	return n
}

// Others returns the nodes that are not in a region.
func (r *Roster) Others(region string) []Node {
	return slices.DeleteFunc(slices.Clone(r.All()), func(n Node) bool { return n.Region == region })
}

// Regions returns the regions that have nodes, sorted by name.
func (r *Roster) Regions() []string {
	var l []string
	for _, n := range r.All() {
		if !slices.Contains(l, n.Region) {
			l = append(l, n.Region)
		}
	}
	slices.Sort(l)
	return l
}
