package relay

// This file defines what a node knows of the versions of its servers' software.

import "bergamotspring/core/rollout"

// Versions returns the registered versions of each service, with those of more servers, whose entries are about
// to be stored. Servers that are leaving count: the version that they run is still the established one.
func (s *Cache) Versions(more []*Server) map[string][]rollout.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	m := map[string][]rollout.Version{}
	changed := make(map[string]bool, len(more))
	for _, x := range more {
		changed[x.ID] = true
		addVersion(m, x)
	}
	for id, x := range s.servers {
		if !changed[id] {
			addVersion(m, x)
		}
	}
	return m
}

// addVersion adds the version of a server, with the earliest start of its servers.
func addVersion(m map[string][]rollout.Version, x *Server) {
	l := m[x.Service]
	for i := range l {
		if v := &l[i]; v.Name == x.Version {
			if x.StartedAt != 0 && (v.Born == 0 || x.StartedAt < v.Born) {
				v.Born = x.StartedAt
			}
			return
		}
	}
	m[x.Service] = append(l, rollout.Version{Name: x.Version, Born: x.StartedAt})
}
