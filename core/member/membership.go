package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"bergamotspring/core/lease"
	"bergamotspring/core/store"
)

// Proof is the kind of evidence that proved a node dead.
type Proof string

// The proofs. An instance stays dead: a new incarnation of a node is another instance.
const (
	ProofIncarnation Proof = "new_incarnation"     // another incarnation responds at its address, or has its row
	ProofVM          Proof = "vm_gone"             // the VM list reports its VM as gone
	ProofRefused     Proof = "refused_connections" // its peer address refused three connections
	ProofLeft        Proof = "left"                // its row was removed, when it left or after a proof
	ProofOperator    Proof = "operator"            // an operator released its groups and gave a reason
)

// VMState is the state of a VM in the platform's list.
type VMState string

// The states of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
	VMGone    VMState = "gone"
)

// Three refused connections, each at least 150 ms after the one before, prove that
// nothing listens at an address; a single one may be due to a full listen queue.
const (
	refusals       = 3
	refusalSpacing = 150 * time.Millisecond
)

// Membership is what a node knows of all nodes. Row node/<id> is written at join and
// overwritten only by a new incarnation at the same address or after the old one's
// VM is gone (see Join), so a row with another incarnation proves the old one dead. The
// zero value is ready to use; a Membership is not safe for concurrent use.
type Membership struct {
	nodes    map[string]entry
	dead     map[lease.Instance]Proof
	unknown  map[lease.Instance]uint64 // instances without a known node row, with the sequence of the row home/<group> that names them
	refused  map[lease.Instance]refusal
	vms      map[string]VMState
	sequence uint64
	// OnDeath, if set, is called for each instance newly proven dead.
	OnDeath func(lease.Instance, Proof)
}

type entry struct {
	node    Node
	version uint64
}

type refusal struct {
	count int
	last  time.Duration
}

// Apply takes the rows under node/ that changed up to a table sequence; a removed row
// has version 0. Rows that cannot be decoded are skipped and counted.
func (t *Membership) Apply(rows []store.Row, sequence uint64) (skipped int) {
	t.init()
	for _, r := range rows {
		id, ok := strings.CutPrefix(r.Key, lease.NodePrefix)
		if !ok {
			continue
		}
		if r.Version == 0 {
			t.remove(id)
			continue
		}
		n, err := DecodeNode(r.Value)
		if err != nil || n.Instance.Node != id {
			skipped++
			continue
		}
		t.put(n, r.Version)
	}
	t.sequence = max(t.sequence, sequence)
	t.resolveUnknown(sequence)
	return skipped
}

func (t *Membership) init() {
	if t.nodes == nil {
		t.nodes = map[string]entry{}
		t.dead = map[lease.Instance]Proof{}
		t.unknown = map[lease.Instance]uint64{}
		t.refused = map[lease.Instance]refusal{}
	}
}

func (t *Membership) put(n Node, version uint64) {
	old, ok := t.nodes[n.Instance.Node]
	if ok && version <= old.version {
		return
	}
	if ok && old.node.Instance != n.Instance {
		t.MarkDead(old.node.Instance, ProofIncarnation)
	}
	t.nodes[n.Instance.Node] = entry{node: n, version: version}
	if t.vms[n.VM] == VMGone {
		t.MarkDead(n.Instance, ProofVM)
	}
}

func (t *Membership) remove(id string) {
	if e, ok := t.nodes[id]; ok {
		delete(t.nodes, id)
		t.MarkDead(e.node.Instance, ProofLeft)
	}
}

// Advance advances the sequence for a read that showed no change, and reports whether
// Apply would have nothing else to do.
func (t *Membership) Advance(sequence uint64) bool {
	if len(t.unknown) > 0 || t.nodes == nil {
		return false
	}
	t.sequence = max(t.sequence, sequence)
	return true
}

// ObserveHolder records that a row home/<group>, read at a table sequence, names h. If
// a read of the node rows at that sequence or later shows no row of h, then h has left,
// since a node's row is written before a record can name the node.
func (t *Membership) ObserveHolder(h lease.Instance, sequence uint64) {
	t.init()
	if h == (lease.Instance{}) || t.dead[h] != "" || t.nodes[h.Node].node.Instance == h {
		return
	}
	t.unknown[h] = max(t.unknown[h], sequence)
}

func (t *Membership) resolveUnknown(sequence uint64) {
	for h, s := range t.unknown {
		if sequence < s {
			continue
		}
		delete(t.unknown, h)
		switch e, ok := t.nodes[h.Node]; {
		case !ok:
			t.MarkDead(h, ProofLeft)
		case e.node.Instance != h:
			t.MarkDead(h, ProofIncarnation)
		}
	}
}

// SetVMs replaces the VM list and marks the nodes dead whose VM is gone.
func (t *Membership) SetVMs(list map[string]VMState) {
	t.init()
	t.vms = list
	for _, id := range t.ids() {
		if n := t.nodes[id].node; list[n.VM] == VMGone {
			t.MarkDead(n.Instance, ProofVM)
		}
	}
}

// ObserveInstance records that instance h responds at a peer address. Any other instance known
// at that address is dead.
func (t *Membership) ObserveInstance(address string, h lease.Instance) {
	t.init()
	for _, id := range t.ids() {
		n := t.nodes[id].node
		if n.Peer == address && n.Instance != h {
			t.MarkDead(n.Instance, ProofIncarnation)
		}
	}
	delete(t.refused, h)
}

// ObserveRefusal records that the peer address of h refused a connection after the link to it
// had closed, at now on any monotonic time line.
func (t *Membership) ObserveRefusal(h lease.Instance, now time.Duration) {
	t.init()
	r := t.refused[h]
	if r.count > 0 && now-r.last < refusalSpacing {
		return
	}
	r.count, r.last = r.count+1, now
	t.refused[h] = r
	if r.count >= refusals {
		t.MarkDead(h, ProofRefused)
	}
}

// ObserveConnection clears the refusals of h, since its listener accepts connections.
func (t *Membership) ObserveConnection(h lease.Instance) { delete(t.refused, h) }

// MarkDead records a proof of death.
func (t *Membership) MarkDead(h lease.Instance, p Proof) {
	t.init()
	if h == (lease.Instance{}) || t.dead[h] != "" {
		return
	}
	t.dead[h] = p
	delete(t.refused, h)
	if t.OnDeath != nil {
		t.OnDeath(h, p)
	}
}

// Dead reports whether h is proven dead.
func (t *Membership) Dead(h lease.Instance) bool { return t.dead[h] != "" }

// Deaths returns the instances proven dead, in no order.
func (t *Membership) Deaths() (l []lease.Instance) {
	for h := range t.dead {
		l = append(l, h)
	}
	return l
}

// ProofOf returns the proof of death of h, empty if there is none.
func (t *Membership) ProofOf(h lease.Instance) Proof { return t.dead[h] }

// Get returns the node with an id and the version of its row, 0 if it is unknown.
func (t *Membership) Get(id string) (Node, uint64) {
	e := t.nodes[id]
	return e.node, e.version
}

// VM returns the state of a VM, empty if the list does not have it.
func (t *Membership) VM(name string) VMState { return t.vms[name] }

// Sequence returns the newest table sequence that was applied.
func (t *Membership) Sequence() uint64 { return t.sequence }

// Live returns the nodes not proven dead, in order of id; of one region, or of all
// if region is empty.
func (t *Membership) Live(region string) []Node {
	var l []Node
	for _, id := range t.ids() {
		n := t.nodes[id].node
		if !t.Dead(n.Instance) && (region == "" || n.Region == region) {
			l = append(l, n)
		}
	}
	return l
}

// DeadRows returns the row keys and versions of nodes that are proven dead and still
// have a row, which any node may now remove.
func (t *Membership) DeadRows() []store.Condition {
	var l []store.Condition
	for _, id := range t.ids() {
		if e := t.nodes[id]; t.Dead(e.node.Instance) {
			l = append(l, store.Condition{Key: lease.NodeKey(id), Version: e.version})
		}
	}
	return l
}

func (t *Membership) ids() []string {
	l := make([]string, 0, len(t.nodes))
	for id := range t.nodes {
		l = append(l, id)
	}
	slices.SortFunc(l, cmp.Compare)
	return l
}

// Sample returns up to n of the nodes at random.
func Sample(r *rand.Rand, l []Node, n int) []Node {
	l = slices.Clone(l)
	r.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	return l[:min(n, len(l))]
}
