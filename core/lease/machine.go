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
//   - a standby that is alive loses its right to take over without the table only by
//     its own consent, so a holder never moves the group without the standby knowing;
//   - epochs of successive holders rise.
//
// A Machine is not safe for concurrent use.
type Machine struct {
	Self  Instance
	Group fleet.GroupID
	Terms Terms
	Dead  func(Instance) bool // proven dead; nil: nobody is

	row        store.Row // newest row home/<group> read, without value
	rowRecord  Record    // its content
	rowFresh   bool      // row is the newest as far as known
	rec        Record    // record in force; ahead of rowRecord while not recorded
	fromGossip bool      // rec came by gossip and gives this node no right
	pending    *Attempt  // transaction whose result is unknown
	txEvents   int       // resends and responses of transactions, counted

	// As lease holder.
	released        bool                       // lease passed on; nothing is granted any more
	leaseUntil      time.Duration              // on Time.Fast: end of the table lease
	promises        map[Instance]time.Duration // on Time.Fast: end of each promise received
	deadStandbys    map[Instance]bool          // standbys that died without having taken over
	resignedStandby Instance                   // standby that resigned at the present epoch

	// As standby.
	promisedUntil time.Duration    // on Time.Slow: end of the promise given
	resignedEpoch uint64           // highest epoch at which takeover without the table was given up
	observed      leaseObservation // lease row of the holder
	minEpoch      uint64           // handovers with a lower epoch are refused
}

// leaseObservation is a lease row that has not changed since a point in time.
type leaseObservation struct {
	holder  Instance
	version uint64
	since   time.Duration // on Time.Slow
	set     bool
}

// OrphanEpochStep separates the epochs of a takeover by a node that is neither holder
// nor standby from those that takeovers without the table may have used, each of which
// adds 1.
const OrphanEpochStep = 1 << 16

// Forever is the remaining time of a holder from which no node can take over.
const Forever = time.Duration(math.MaxInt64)

// Record returns the record in force as known here, zero if there is none.
func (m *Machine) Record() Record { return m.rec }

// Recorded reports whether the record in force is the one in the table.
func (m *Machine) Recorded() bool { return m.rec == m.rowRecord && m.row.Version > 0 }

// Row returns the version of row home/<group> and whether it is known to be current.
func (m *Machine) Row() (version uint64, fresh bool) { return m.row.Version, m.rowFresh }

// IsHolder reports whether this node is the lease holder, with authority or without.
func (m *Machine) IsHolder() bool {
	return m.rec.Holder == m.Self && m.rec.Epoch > 0 && !m.released && !m.fromGossip
}

// IsStandby reports whether this node is the standby and may take over without the
// table: it has not resigned, and knows of its role from more than gossip.
func (m *Machine) IsStandby() bool {
	return m.rec.Standby == m.Self && m.rec.Epoch > m.resignedEpoch && !m.fromGossip
}

// Authority returns the epoch under which this node may grant and the remaining time,
// 0 if it may not. The holder may grant while its table lease is valid, or while every
// standby is bound by a promise or died without having taken over.
func (m *Machine) Authority(now Time) (epoch uint64, remaining time.Duration) {
	if !m.IsHolder() || m.pending != nil && m.pending.Record.Holder != m.Self {
		return 0, 0
	}
	remaining = max(m.leaseUntil-now.Fast, m.untilStandbyTakeover(now))
	if remaining <= 0 {
		return 0, 0
	}
	return m.rec.Epoch, remaining
}

// untilStandbyTakeover returns how long no standby can take over an expired lease: each
// has promised not to for some time, or died without having taken over.
func (m *Machine) untilStandbyTakeover(now Time) time.Duration {
	remaining := Forever
	for _, d := range m.Standbys() {
		if m.deadStandbys[d] {
			continue
		}
		remaining = min(remaining, m.promises[d]-now.Fast)
	}
	return remaining
}

// Standbys returns the nodes that may have a standby's right to take over from this
// holder: two while the result of appointing another is unknown.
func (m *Machine) Standbys() []Instance {
	var l []Instance
	if m.rec.Standby != (Instance{}) {
		l = append(l, m.rec.Standby)
	}
	if n := m.pending; n != nil && n.Record.Holder == m.Self && n.Record.Standby != (Instance{}) && n.Record.Standby != m.rec.Standby {
		l = append(l, n.Record.Standby)
	}
	return l
}

// Tick records deaths of standbys. The death of a standby extends authority only if
// it is observed while authority is held: after that has expired the standby may have
// taken over before it died.
func (m *Machine) Tick(now Time) {
	if _, remaining := m.Authority(now); remaining > 0 {
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

// noneOrDead reports whether h is the zero Instance or proven dead.
func (m *Machine) noneOrDead(h Instance) bool { return h == (Instance{}) || m.dead(h) }

// Observe takes row home/<group> as read from the table, version 0 if it is absent.
func (m *Machine) Observe(r store.Row, content Record) {
	if m.pending != nil || r.Version < m.row.Version {
		return // resolved by Readback, or an older response that arrived after a newer one
	}
	m.row = store.Row{Key: r.Key, Version: r.Version}
	m.rowRecord, m.rowFresh = content, true
	if content.Epoch > m.rec.Epoch || content.Epoch == m.rec.Epoch && m.rowReplaces(content) {
		m.adopt(content)
	}
}

// rowReplaces reports whether the row replaces a known record of the same epoch. Only
// the holder changes its standby, so its own record wins; a standby appointed by peer
// message keeps that record until the holder has recorded it.
func (m *Machine) rowReplaces(content Record) bool {
	if m.fromGossip || content == m.rec {
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
		m.leaseUntil, m.promises, m.deadStandbys, m.resignedStandby = 0, nil, nil, Instance{}
		m.released = false
		m.observed = leaseObservation{}
	}
	m.rec, m.fromGossip = r, false
}

// Invalidate records that row home/<group> has changed and has to be read again.
func (m *Machine) Invalidate() { m.rowFresh = false }

// Merge takes a record that another node gossiped, and reports whether it replaced
// the known one. It gives no right, but a holder with a lower epoch yields to it. A
// record that names this node as holder is ignored: it is known here, or was sent
// before this node consented.
func (m *Machine) Merge(r Record) bool {
	if r.Epoch <= m.rec.Epoch || r.Holder == m.Self {
		return false
	}
	m.adopt(r)
	m.fromGossip = true
	return true
}

// ObserveRenewal records that a transaction sent at sentAt wrote lease/<self>, on condition
// that row home/<group> was as recorded. The table lease is valid for its term, less
// the drift margin, from sentAt on.
func (m *Machine) ObserveRenewal(now, sentAt Time) {
	if !m.IsHolder() || !m.Recorded() {
		return
	}
	m.leaseUntil = max(m.leaseUntil, sentAt.Fast+shortenForDrift(m.Terms.orDefault().Lease))
	m.Tick(now)
}

// Leased reports whether the table lease is valid at now.
func (m *Machine) Leased(now Time) bool { return m.LeaseRemaining(now) > 0 }

// LeaseRemaining returns how much longer the table lease is valid.
func (m *Machine) LeaseRemaining(now Time) time.Duration { return max(0, m.leaseUntil-now.Fast) }

// ObserveLease takes the version of the lease row of the holder's node. foreign says
// whether node/<node> belongs to another incarnation: then its renewals are not the holder's,
// and the holder itself can no longer renew.
func (m *Machine) ObserveLease(now Time, node string, version uint64, foreign bool) {
	h := m.rec.Holder
	if h.Node != node {
		return
	}
	s := &m.observed
	if s.set && s.holder == h && (s.version == version || foreign) {
		s.version = version
		return
	}
	*s = leaseObservation{holder: h, version: version, since: now.Slow, set: true}
}

// ForgetLease forgets the observed lease row. A node calls it when its table reads
// have failed for a while, so that after an outage holders have one term to renew.
func (m *Machine) ForgetLease() { m.observed = leaseObservation{} }

// leaseExpired reports whether the holder has not renewed for the term and margin.
func (m *Machine) leaseExpired(now Time) bool {
	s := m.observed
	return s.set && s.holder == m.rec.Holder && now.Slow-s.since >= extendForDrift(m.Terms.orDefault().Lease)
}
