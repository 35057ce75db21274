// Package replica holds a node's copy of one table of the store, and computes the changes by
// which other nodes bring their copies up to date.
package replica

import (
	"encoding/binary"
	"hash/fnv"
	"maps"
	"slices"
	"strings"
	"time"

	"bergamotspring/core/store"
)

// maxRemoved bounds the removed keys that a table remembers. A copy that misses a forgotten
// removal gets the whole table.
const maxRemoved = 1024

// Row is a row of the store. Version is that of the last change of its content, see
// Table.Content.
type Row struct {
	store.Row
	ReadAt time.Time // when the value was read from the store, by the node's own clock

	hash uint64 // of key and content, set by the table
}

// Changes bring a copy of a table from version Since to Version, both of one era. If Since is 0, Rows is
// the whole table.
type Changes struct {
	Era            uint64
	Since, Version uint64
	Rows           []Row
	Removed        []string // keys
	// ConfirmedAt is when the store last confirmed Version; zero: unknown.
	ConfirmedAt time.Time
	// Sum is the checksum of the sender's copy at Version; 0: unknown.
	Sum uint64
}

// Table is a copy of one table. The zero value is empty and of version 0. It is not safe for
// concurrent use.
//
// Invariant: era and version, compared in this order, never decrease.
type Table struct {
	// Content returns a hash of the part of a row that matters to readers of the table, which
	// excludes the counter of a heartbeat; nil: of the whole value and its version.
	Content func(Row) uint64
	// Differs reports whether a value is to be passed on although its content is that of the
	// old one; nil: never.
	Differs func(old, new Row) bool

	rows        map[string]Row
	era         uint64 // of all versions below
	version     uint64
	confirmedAt time.Time
	sum         uint64            // of the rows' keys and contents
	changed     uint64            // version of the last change
	since       uint64            // removals after this version are in removed
	removed     map[string]uint64 // version at which a key was removed
}

// Version returns the version of the copy, 0 before the first Merge.
func (t *Table) Version() uint64 { return t.version }

// Era returns the era of the version.
func (t *Table) Era() uint64 { return t.era }

// ConfirmedAt returns when the store last confirmed the version, zero if it never did.
func (t *Table) ConfirmedAt() time.Time { return t.confirmedAt }

// Rows returns the rows by key. The map must not be changed, and is valid until the next Merge.
func (t *Table) Rows() map[string]Row { return t.rows }

// ChangedAfter reports whether the content of the table changed after a version of an era.
func (t *Table) ChangedAfter(era, version uint64) bool {
	return t.era > era || t.era == era && t.changed > version
}

// Agrees reports whether the copy has the same content as the sender of changes that were just
// merged. Two nodes that read the store at different moments may have observed different
// changes between the same versions; the copy must then be replaced by the whole table. So it must if the
// changes are of a newer era, and were not the whole table.
func (t *Table) Agrees(c Changes) bool {
	if c.Era != t.era {
		return c.Era < t.era
	}
	return c.Sum == 0 || c.Version != t.version || c.Sum == t.sum
}

// Merge merges changes, read from the store or received from another node, and returns the keys
// whose content changed or that were removed. Changes that are older than the copy, or that
// leave a gap after its version, have no effect; all but the whole table do after a version of a former era.
func (t *Table) Merge(c Changes) []string {
	if !t.follows(c) {
		return nil
	}
	if c.Era > t.era {
		t.enter(c.Era)
	}
	if c.ConfirmedAt.After(t.confirmedAt) {
		t.confirmedAt = c.ConfirmedAt
	}
	if t.rows == nil {
		t.rows = map[string]Row{}
		t.removed = map[string]uint64{}
	}
	if t.version == 0 {
		t.since = c.Version
	}
	var keys []string
	for _, r := range c.Rows {
		r.Era = c.Era
		if t.put(r, c.Version) {
			keys = append(keys, r.Key)
		}
	}
	for _, k := range t.gone(c) {
		t.sum ^= t.rows[k].hash
		delete(t.rows, k)
		t.removed[k] = c.Version
		t.changed = c.Version
		keys = append(keys, k)
	}
	t.version = c.Version
	t.forget()
	return keys
}

// follows reports whether changes can be merged.
func (t *Table) follows(c Changes) bool {
	if c.Era != t.era {
		return c.Era > t.era && c.Since == 0
	}
	return c.Version >= t.version && c.Since <= t.version
}

// enter begins a new era. What is known of versions no longer holds: rows that are not in the new era's
// table will be removed, the others get their versions from it.
func (t *Table) enter(era uint64) {
	t.era, t.version, t.changed = era, 0, 0
	t.confirmedAt = time.Time{}
	clear(t.removed)
}

// put stores a row from changes of a version, and reports whether its content changed. If it
// did not, the row keeps its version.
func (t *Table) put(r Row, version uint64) bool {
	old, ok := t.rows[r.Key]
	if ok && old.Era == r.Era && old.Version > version {
		return false
	}
	r.hash = t.hash(r)
	if ok && old.hash == r.hash && (t.Differs == nil || !t.Differs(old, r)) {
		if old.Era == r.Era {
			r.Version = old.Version
		}
		if old.Era < r.Era || r.ReadAt.After(old.ReadAt) {
			t.rows[r.Key] = r
		}
		return false
	}
	t.sum ^= old.hash ^ r.hash
	if t.Content != nil && r.Version <= t.version {
		r.Version = version // so that copies of this copy get it; without Content, the version itself counts
	}
	t.rows[r.Key] = r
	delete(t.removed, r.Key)
	t.changed = max(t.changed, r.Version)
	return true
}

// hash returns a hash of the key and content of a row.
func (t *Table) hash(r Row) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(r.Key)) // never fails
	var b [8]byte
	if t.Content != nil {
		binary.BigEndian.PutUint64(b[:], t.Content(r))
	} else {
		_, _ = h.Write(r.Value)
		binary.BigEndian.PutUint64(b[:], r.Version)
	}
	_, _ = h.Write(b[:])
	return h.Sum64()
}

// gone returns the keys of present rows that changes remove.
func (t *Table) gone(c Changes) []string {
	var l []string
	if c.Since > 0 {
		for _, k := range c.Removed {
			if r, ok := t.rows[k]; ok && r.Version <= c.Version {
				l = append(l, k)
			}
		}
		return l
	}
	keep := make(map[string]bool, len(c.Rows))
	for _, r := range c.Rows {
		keep[r.Key] = true
	}
	for k := range t.rows {
		if !keep[k] {
			l = append(l, k)
		}
	}
	slices.Sort(l)
	return l
}

// forget drops the older half of the removals when there are too many.
func (t *Table) forget() {
	if len(t.removed) <= maxRemoved {
		return
	}
	l := slices.Sorted(maps.Values(t.removed))
	t.since = max(t.since, l[len(l)/2])
	maps.DeleteFunc(t.removed, func(_ string, v uint64) bool { return v <= t.since })
}

// After returns the changes after a version of an era, or the whole table if the removals since then are
// no longer known or the version is of a former era. Of a table that was never merged, or whose era the
// requester is ahead of, it returns nothing.
func (t *Table) After(era, version uint64) Changes {
	c := Changes{Era: t.era, Since: version, Version: t.version, ConfirmedAt: t.confirmedAt, Sum: t.sum}
	if era > t.era {
		return c
	}
	if version < t.since || era < t.era {
		c.Since = 0
	}
	if t.version == 0 || c.Since > 0 && t.changed <= version {
		return c
	}
	for _, r := range t.rows {
		if r.Version > c.Since || c.Since == 0 {
			c.Rows = append(c.Rows, r)
		}
	}
	slices.SortFunc(c.Rows, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	if c.Since == 0 {
		return c
	}
	for k, v := range t.removed {
		if v > c.Since {
			c.Removed = append(c.Removed, k)
		}
	}
	slices.Sort(c.Removed)
	return c
}
