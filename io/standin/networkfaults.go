package standin

// This file defines how the faults of a network are set: slow and cut paths, hosts that are down, connections that
// are silenced or reset.

import (
	"slices"
	"time"
)

// SetDelay adds a delay to what two hosts send to each other from now on; 0 ends it.
func (n *Network) SetDelay(a, b string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.delays == nil {
		n.delays = map[[2]string]time.Duration{}
	}
	n.delays[[2]string{a, b}], n.delays[[2]string{b, a}] = d, d
}

// cut reports whether the path between the hosts is cut. Callers hold mu.
func (n *Network) cut(from, to string) bool {
	return n.cuts[[2]string{from, to}] || n.cuts[[2]string{to, from}]
}

// SetCut cuts or heals the path between two hosts. What is written during a cut
// arrives after it, as with TCP retransmission.
func (n *Network) SetCut(a, b string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cuts == nil {
		n.cuts = map[[2]string]bool{}
	}
	n.cuts[[2]string{a, b}] = on
	for c := range n.conns {
		c.in.wakeAll()
	}
}

// SetCutOneWay cuts or heals one direction of the path between two hosts: nothing arrives from the
// one at the other, and neither can dial the other.
func (n *Network) SetCutOneWay(from, to string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.oneWay == nil {
		n.oneWay = map[[2]string]bool{}
	}
	n.oneWay[[2]string{from, to}] = on
	for c := range n.conns {
		c.in.wakeAll()
	}
}

// SetHost sets the state of a host. HostRefuses resets its connections.
func (n *Network) SetHost(host string, s HostState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.hosts == nil {
		n.hosts = map[string]HostState{}
	}
	n.hosts[host] = s
	if s == HostRefuses {
		n.forEachLocked(func(from, to string) bool { return from == host || to == host }, resetLater)
	}
}

// Silence makes the matching open connections drop everything written from now on, in
// both directions, without an error. New connections are not affected. It returns the
// number of silenced connections.
func (n *Network) Silence(match func(from, to string) bool) int {
	return n.forEach(match, func(d *direction, _ int) { d.silence() })
}

// Break resets the matching open connections and returns their number.
func (n *Network) Break(match func(from, to string) bool) int {
	return n.forEach(match, resetLater)
}

// Between matches the connections of two hosts, whichever of them dialled.
func Between(a, b string) func(from, to string) bool {
	return func(from, to string) bool {
		return (from == a && to == b) || (from == b && to == a)
	}
}

// To matches the connections that were dialled to a host.
func To(host string) func(from, to string) bool {
	return func(_, to string) bool { return to == host }
}

// Dials returns how many connections to address were opened.
func (n *Network) Dials(address string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials[address]
}

// resetInterval separates the resets of connections that break together, so that they
// have a definite order under a fake clock.
const resetInterval = 37 * time.Microsecond

func resetLater(d *direction, i int) {
	d.fail(errReset, time.Now().Add(time.Duration(i)*resetInterval))
}

func (n *Network) forEach(match func(from, to string) bool, do func(*direction, int)) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.forEachLocked(match, do)
}

// forEachLocked calls do for both directions of the matching connections, in dial order,
// and returns the number of connections. Callers hold mu.
func (n *Network) forEachLocked(match func(from, to string) bool, do func(*direction, int)) int {
	var l []*Conn
	for c := range n.conns {
		if c.dialled && match(c.from, c.to) {
			l = append(l, c)
		}
	}
	slices.SortFunc(l, func(a, b *Conn) int { return a.id - b.id })
	for i, c := range l {
		do(c.in, i)
		do(c.out, i)
	}
	return len(l)
}
