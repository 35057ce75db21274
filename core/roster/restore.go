package roster

// This file defines which nodes stay when the store was restored from a snapshot that lacks their rows.

import "time"

// UnlistedGrace is how long a node stays that a restored store lacks. It registers again within about a
// second; until then, the other nodes' shares of what all nodes may do together must not grow.
const UnlistedGrace = 5 * time.Second

// Restore stores the complete list of nodes that a restored store holds. Nodes that it lacks stay for a time.
func (r *Roster) Restore(l []Node) {
	r.mu.Lock()
	defer r.mu.Unlock()
	until := r.now().Add(UnlistedGrace)
	for p := range r.nodes {
		if _, ok := r.unlisted[p]; ok {
			continue // since an earlier restore
		}
		if r.unlisted == nil {
			r.unlisted = map[string]time.Time{}
		}
		r.unlisted[p] = until
	}
	r.replace(l)
}

// IsListed reports whether a node is in the last list, and not only kept since an earlier one.
func (r *Roster) IsListed(peer string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, known := r.nodes[peer]
	_, unlisted := r.unlisted[peer]
	return known && !unlisted
}

// expire removes the nodes that have been kept for UnlistedGrace. The lock is held.
func (r *Roster) expire() {
	if len(r.unlisted) == 0 {
		return
	}
	now := r.now()
	for p, t := range r.unlisted {
		if now.Before(t) {
			continue
		}
		delete(r.unlisted, p)
		delete(r.nodes, p)
		delete(r.silentSince, p)
		r.changed()
	}
}
