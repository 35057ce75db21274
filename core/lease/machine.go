package lease

import (
	"math"
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/core/store"
)

// Machine is what one node knows of one group, and what it may do about it.
//
// Invariants, over all nodes and at any instant:
//   - at most one node that is not dead has Authority;
//   - a deputy that is alive loses its right to take over without the table only by
//     its own consent, so a home never moves the group behind its deputy's back;
//   - epochs of successive homes rise.
//
// A Machine is not safe for concurrent use.
type Machine struct {
	Self  Instance
	Group fleet.GroupID
	Terms Terms
	Dead  func(Instance) bool // proven dead; nil: nobody is

	row      store.Row // newest home row read, without value
	inRow    Record    // its content
	rowFresh bool      // row is the newest as far as known
	rec      Record    // record in force; ahead of inRow while not recorded
	hearsay  bool      // rec came by gossip and gives this node no right
	next     *Attempt  // transaction whose result is open
	answers  int       // sendings and answers of transactions

	// As home.
	released     bool // passed on; nothing is granted any more
	lease        time.Duration
	promises     map[Instance]time.Duration // on Time.Fast: end of each promise received
	deadStandbys map[Instance]bool          // deputies that died without having taken over
	consent      Instance                   // deputy that resigned at the present epoch

	// As deputy.
	given    time.Duration // on Time.Slow: end of the promise given
	resigned uint64        // highest epoch for which unrecorded takeover was given up
	seen     sighting      // of the home's lease row
	floor    uint64        // unrecorded records below this epoch are refused
}

// sighting is a lease row that has not changed since a point in time.
type sighting struct {
	home    Instance
	version uint64
	since   time.Duration // on Time.Slow
	set     bool
}

// OrphanEpochStep separates the epochs of a takeover by a node that is neither home nor
// deputy from those that unrecorded takeovers may have used, one at a time.
const OrphanEpochStep = 1 << 16

// Forever is the time left to a home whose authority nobody can take.
const Forever = time.Duration(math.MaxInt64)

// Record returns the record in force as known here, zero if there is none.
func (m *Machine) Record() Record { return m.rec }

// Recorded reports whether the record in force is the one in the table.
func (m *Machine) Recorded() bool { return m.rec == m.inRow && m.row.Version > 0 }

// Row returns the version of the home row and whether it is known to be current.
func (m *Machine) Row() (version uint64, fresh bool) { return m.row.Version, m.rowFresh }

// IsHolder reports whether this node is home, with authority or without.
func (m *Machine) IsHolder() bool {
	return m.rec.Holder == m.Self && m.rec.Epoch > 0 && !m.released && !m.hearsay
}

// IsStandby reports whether this node is the deputy with all rights.
func (m *Machine) IsStandby() bool {
	return m.rec.Standby == m.Self && m.rec.Epoch > m.resigned && !m.hearsay
}

// Authority returns the epoch under which this node may grant and how much longer,
// 0 if it may not.
func (m *Machine) Authority(now Time) (epoch uint64, left time.Duration) {
	if !m.IsHolder() || m.next != nil && m.next.Record.Holder != m.Self {
		return 0, 0
	}
	left = max(m.lease-now.Fast, m.byStandbys(now))
	if left <= 0 {
		return 0, 0
	}
	return m.rec.Epoch, left
}

// byStandbys returns how long no deputy can take over by lease: rules (b) and (c).
func (m *Machine) byStandbys(now Time) time.Duration {
	left := Forever
	for _, d := range m.Standbys() {
		if m.deadStandbys[d] {
			continue
		}
		left = min(left, m.promises[d]-now.Fast)
	}
	return left
}

// Standbys returns the nodes that may hold a deputy's right against this home: two
// while the result of naming another is open.
func (m *Machine) Standbys() []Instance {
	var l []Instance
	if m.rec.Standby != (Instance{}) {
		l = append(l, m.rec.Standby)
	}
	if n := m.next; n != nil && n.Record.Holder == m.Self && n.Record.Standby != (Instance{}) && n.Record.Standby != m.rec.Standby {
		l = append(l, n.Record.Standby)
	}
	return l
}

// Tick notes deaths of deputies. A death counts for rule (c) only if it is learnt
// while authority is held: after a lapse the deputy may have taken over first.
func (m *Machine) Tick(now Time) {
	if _, left := m.Authority(now); left > 0 {
		m.recordDeadStandbys()
	}
}

func (m *Machine) recordDeadStandbys() {
	for _, d := range m.Standbys() {
		if m.dead(d) {
			if m.deadStandbys == nil {
				m.deadStandbys = map[Instance]bool{}
			}
			m.deadStandbys[d] = true
		}
	}
}

func (m *Machine) dead(h Instance) bool { return m.Dead != nil && m.Dead(h) }

// gone reports whether h is nobody or proven dead.
func (m *Machine) gone(h Instance) bool { return h == (Instance{}) || m.dead(h) }

// Observe takes the home row as read from the table, version 0 if it is absent.
func (m *Machine) Observe(r store.Row, content Record) {
	if m.next != nil || r.Version < m.row.Version {
		return // settled by Readback, or an older answer overtaken by a newer one
	}
	m.row = store.Row{Key: r.Key, Version: r.Version}
	m.inRow, m.rowFresh = content, true
	if content.Epoch > m.rec.Epoch || content.Epoch == m.rec.Epoch && m.yields(content) {
		m.adopt(content)
	}
}

// yields reports whether the row replaces a known record of the same epoch. Only
// the home changes its deputy, so its own record wins; a deputy named by the home
// waits until the home has recorded it.
func (m *Machine) yields(content Record) bool {
	if m.hearsay || content == m.rec {
		return true
	}
	if m.IsHolder() && content.Holder == m.Self {
		return false
	}
	return !m.IsStandby() || content.Standby == m.Self
}

// adopt makes r the record in force.
func (m *Machine) adopt(r Record) {
	if r.Epoch != m.rec.Epoch || r.Holder != m.rec.Holder {
		m.lease, m.promises, m.deadStandbys, m.consent = 0, nil, nil, Instance{}
		m.released = false
		m.seen = sighting{}
	}
	m.rec, m.hearsay = r, false
}

// Invalidate notes that the home row has changed and has to be read again.
func (m *Machine) Invalidate() { m.rowFresh = false }

// Merge takes a record that another node spread. It gives no right, but a home
// with a lower epoch yields to it. What names this node as home is no news to it, or
// was sent before it consented.
func (m *Machine) Merge(r Record) bool {
	if r.Epoch <= m.rec.Epoch || r.Holder == m.Self {
		return false
	}
	m.adopt(r)
	m.hearsay = true
	return true
}

// Renewed notes that lease/<self> was written, on condition that the home row was
// as recorded, by a transaction sent at sent: rule (a).
func (m *Machine) Renewed(now, sent Time) {
	if !m.IsHolder() || !m.Recorded() {
		return
	}
	m.lease = max(m.lease, sent.Fast+holderShare(m.Terms.orDefault().Lease))
	m.Tick(now)
}

// Leased reports whether rule (a) holds at now.
func (m *Machine) Leased(now Time) bool { return m.LeaseLeft(now) > 0 }

// LeaseLeft returns how much longer rule (a) holds.
func (m *Machine) LeaseLeft(now Time) time.Duration { return max(0, m.lease-now.Fast) }

// ObserveLease takes the version of the lease row of the home's node. foreign says
// that node/<node> belongs to another incarnation, so that its renewals are not the
// home's; the home itself can renew no more since then.
func (m *Machine) ObserveLease(now Time, node string, version uint64, foreign bool) {
	h := m.rec.Holder
	if h.Node != node {
		return
	}
	s := &m.seen
	if s.set && s.home == h && (s.version == version || foreign) {
		s.version = version
		return
	}
	*s = sighting{home: h, version: version, since: now.Slow, set: true}
}

// ForgetLease forgets the lease row seen. A node calls it when its table reads have
// failed for a while, so that after an outage homes get a term to renew first.
func (m *Machine) ForgetLease() { m.seen = sighting{} }

// lapsed reports whether the home has not renewed for the term and margin.
func (m *Machine) lapsed(now Time) bool {
	s := m.seen
	return s.set && s.home == m.rec.Holder && now.Slow-s.since >= waiterShare(m.Terms.orDefault().Lease)
}
