package rollout

// This file defines which version of a service a node uses for requests that no allowance sends to the
// new one.

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// goneAfter is how long servers of the old version must be missing from the table before a node
// without news from a decider uses the new one. A version that restarts is missing for a moment.
const goneAfter = time.Second

// service is what a node knows of a service. Its lock protects its tally too.
type service struct {
	name string
	rule atomic.Pointer[Rule] // while no order is in force, or after its end

	mu       sync.Mutex
	versions []Version
	// established is the version that gets requests which no order moves, empty if it is not known. It
	// stays while it has servers: restarts of all of them must not make a later version the oldest.
	established string
	gone        time.Time // when the last server of an old version disappeared, zero if none was seen
	hadOld      bool
	tally       *tally // of the order in force
	seq         uint64 // of the last report
	inFlight    map[string]*atomic.Int64
}

// update follows a change of the versions, the order or its state. The lock is held.
func (s *service) update(now time.Time) {
	t := s.tally
	to := ""
	if t != nil && !t.current {
		to = t.order.To // is not established before it is completed
	}
	switch {
	case t != nil && t.state == Completed:
		s.established = t.order.To
	case len(s.versions) > 0:
		s.establish(to)
	}
	old := slices.ContainsFunc(s.versions, func(v Version) bool { return v.Name != to })
	if s.hadOld && !old {
		s.gone = now
	}
	s.hadOld = old
	switch {
	case t == nil:
		s.rule.Store(&Rule{Service: s.name, Version: s.established})
	case t.written:
		r := s.otherwise(now)
		s.rule.Store(&r)
	default:
		s.rule.Store(nil)
	}
}

// establish chooses the version with the earliest start unless the established one still has servers.
// The version of an order that is not completed is not chosen.
func (s *service) establish(to string) {
	if s.established != to && s.registered(s.established) {
		return
	}
	s.established = ""
	first := int64(0)
	for _, v := range s.versions {
		if v.Name == to {
			continue
		}
		if v.Born == 0 {
			s.established = ""
			return
		}
		if first == 0 || v.Born < first {
			s.established, first = v.Name, v.Born
		}
	}
}

// registered reports whether a version has servers.
func (s *service) registered(version string) bool {
	return slices.ContainsFunc(s.versions, func(v Version) bool { return v.Name == version })
}

// otherwise returns the rule of a request for which there is no allowance, while an order is in force.
// The lock is held.
func (s *service) otherwise(now time.Time) Rule {
	t := s.tally
	r := Rule{Service: s.name, Version: s.established, tally: t}
	switch {
	case t.current || t.state == Completed:
		r.Version = t.order.To
	case t.state == RolledBack || s.hadOld || !s.registered(t.order.To) || now.Sub(s.gone) < goneAfter:
		if s.established == "" {
			r.Not = t.order.To
		}
	default: // nothing else can serve the request
		t.exposed++
		r.Version, r.New = t.order.To, true
	}
	return r
}

// inFlightTotal returns how many attempts are in flight at all servers. The lock is held.
func (s *service) inFlightTotal() int64 {
	n := int64(0)
	for _, k := range s.inFlight {
		n += k.Load()
	}
	return n
}

// inFlightExcept returns how many attempts are in flight at servers of other versions. The lock is held.
func (s *service) inFlightExcept(version string) int64 {
	n := int64(0)
	for v, c := range s.inFlight {
		if v != version {
			n += c.Load()
		}
	}
	return n
}

// dropCounters drops the counters of versions that are gone. The lock is held.
func (s *service) dropCounters() {
	for v, c := range s.inFlight {
		if c.Load() == 0 && !s.registered(v) {
			delete(s.inFlight, v)
		}
	}
}
