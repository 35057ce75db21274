package edge

// This file defines how a node decodes and caches the tables of the store.

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"bergamotspring/core/relay"
	"bergamotspring/core/replica"
	"bergamotspring/core/roster"
	"bergamotspring/core/store"
	"bergamotspring/io/peer"
	"bergamotspring/platform"
)

// coldTolerance is the difference between two reports of the end of a server's cold start that is
// due to the time from the server to this node.
const coldTolerance = 1500 * time.Millisecond

// manyEntries is the number of server entries that change at once above which they are logged in
// one line.
const manyEntries = 16

// maxLoggedProblems bounds the problems of a configuration that are logged.
const maxLoggedProblems = 20

// tableCache holds the node's copies of the store's tables and applies their rows to its caches.
type tableCache struct {
	settings *platform.Settings
	protocol int // of the nodes that this one exchanges messages with
	store    *platform.Store
	cache    *relay.Cache
	roster   *roster.Roster
	log      *zap.Logger
	meter    *meter
	// onConfirm is called after the store has confirmed a table.
	onConfirm func()
	// onResponse and onFailure are called when the store has responded with servers' entries, before they
	// are merged, and when it did not.
	onResponse, onFailure func(at time.Time)
	// onServer is called after the new or changed entry of a server was cached.
	onServer func(*relay.Server)
	// onVersions is called before the new or changed entries of servers are cached, and after others were removed,
	// onOrders with the operator's rows after the configuration in them was installed.
	onVersions func([]*relay.Server)
	onOrders   func([]store.Row)

	// onNodesRestored is called after the list of nodes was replaced by that of a restored store.
	onNodesRestored func()

	otherBuilds              atomic.Int64    // registered nodes that this one does not exchange messages with
	takenOut                 map[string]bool // failure domains, as of the last change of the operator's rows
	othersUntil              time.Time       // until when the number of other builds' nodes does not fall
	reading                  readSwitch
	operator, servers, nodes *tableWatch
}

func (b *tableCache) init() {
	b.operator = b.watch(platform.TableOperator, operatorLongPoll, 0, b.onOperatorRows)
	b.servers = b.watch(platform.TableServers, 0, serversPollInterval, b.onServerRows)
	b.servers.onResponse, b.servers.onFailure = b.onResponse, b.onFailure
	b.servers.onMerge = b.cache.Confirmed
	b.servers.copy.Content = b.serverContent
	b.servers.copy.Differs = b.changesUse
	b.nodes = b.watch(platform.TableNodes, nodesLongPoll, nodesPollInterval, b.onNodeRows)
}

func (b *tableCache) watch(table string, longPoll, interval time.Duration, onChange func(map[string]replica.Row, []string, bool)) *tableWatch {
	return &tableWatch{
		table: table, longPoll: longPoll, interval: interval, store: b.store, log: b.log, reading: &b.reading, onChange: onChange, onConfirm: b.onConfirm,
	}
}

func (b *tableCache) watches() []*tableWatch { return []*tableWatch{b.operator, b.servers, b.nodes} }

// versions returns which versions of the tables this node has.
func (b *tableCache) versions() []peer.TableVersion {
	var l []peer.TableVersion
	for _, f := range b.watches() {
		l = append(l, f.version())
	}
	return l
}

// confirmedAt returns when the store last confirmed all of the given tables, zero if it never
// confirmed one of them. A table whose polls the store holds counts as confirmed for as long as
// it may hold them.
func (b *tableCache) confirmedAt(l []peer.TableVersion) time.Time {
	var first time.Time
	for _, v := range l {
		if v.ConfirmedAt.IsZero() {
			return time.Time{}
		}
		at := v.ConfirmedAt
		if f := b.find(v.Table); f != nil {
			at = at.Add(f.longPoll)
		}
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first
}

// find returns the watch of a table, or nil.
func (b *tableCache) find(table string) *tableWatch {
	for _, f := range b.watches() {
		if f.table == table {
			return f
		}
	}
	return nil
}

// serverContent hashes what the nodes use of a server's entry.
func (b *tableCache) serverContent(r replica.Row) uint64 {
	h := fnv.New64a()
	s, err := platform.DecodeServer(r.Key, r.Value, b.settings.Domains, r.ReadAt)
	if err != nil {
		_, _ = h.Write(r.Value) // never fails; logged when the entry is used
		return h.Sum64()
	}
	_, _ = fmt.Fprintln(h, s.Service, s.Address, s.Domain, s.Slots, s.Leaving, s.StartedAt, s.Version, s.ColdUntil.IsZero())
	return h.Sum64()
}

// changesUse reports whether a server's cold start ends at another time than was known, or its process wrote an entry
// again that was not used since it was from a snapshot.
func (b *tableCache) changesUse(old, new replica.Row) bool {
	s, err := platform.DecodeServer(old.Key, old.Value, b.settings.Domains, old.ReadAt)
	t, e := platform.DecodeServer(new.Key, new.Value, b.settings.Domains, new.ReadAt)
	if b.cache.IsFormer(old.Key) {
		return err == nil && e == nil && t.Sequence > s.Sequence // it may be used now
	}
	return err == nil && e == nil && t.ColdUntil.Sub(s.ColdUntil).Abs() > coldTolerance
}

func (b *tableCache) onOperatorRows(rows map[string]replica.Row, _ []string, restored bool) {
	v := make(map[string][]byte, len(rows))
	for k, r := range rows {
		v[k] = r.Value
	}
	c, out, err := platform.DecodeOperator(v)
	if restored {
		b.keepTakenOut(out)
	}
	b.takeOut(out)
	defer func() { b.onOrders(storeRows(rows)) }()
	b.meter.reportUnreadable(err != nil)
	if err != nil {
		b.log.Error("configuration_unreadable", zap.Error(err))
		return
	}
	if !b.cache.Install(c) {
		return
	}
	b.meter.reportConfiguration(c)
	b.log.Info("configuration_installed", zap.Int64("version", c.Version), zap.Int("routes", len(c.Routes)), zap.Int("taken_out", len(out)))
	for _, p := range c.Problems[:min(len(c.Problems), maxLoggedProblems)] {
		b.log.Error("configuration_part_unreadable", zap.Int64("version", c.Version), zap.Int("problems", len(c.Problems)), zap.Error(p))
	}
}

// keepTakenOut keeps the failure domains taken out whose rows a restored store lacks.
func (b *tableCache) keepTakenOut(out map[string]bool) {
	var l []string
	for d := range b.takenOut {
		if !out[d] {
			l = append(l, d)
		}
	}
	if len(l) > 0 {
		slices.Sort(l)
		b.log.Warn("domains_kept_out", zap.Strings("domains", l))
	}
	b.cache.KeepTakenOut()
}

func storeRows(rows map[string]replica.Row) []store.Row {
	l := make([]store.Row, 0, len(rows))
	for _, r := range rows {
		l = append(l, r.Row)
	}
	return l
}

// takeOut replaces the set of failure domains that are taken out.
func (b *tableCache) takeOut(out map[string]bool) {
	if !maps.Equal(out, b.takenOut) {
		b.log.Info("domains_taken_out", zap.Strings("domains", slices.Sorted(maps.Keys(out))))
	}
	b.takenOut = out
	b.cache.TakeOut(out)
}

func (b *tableCache) onServerRows(rows map[string]replica.Row, keys []string, restored bool) {
	if restored {
		b.cache.Restored()
	}
	if len(keys) > manyEntries {
		b.log.Info("servers_read", zap.Int("servers", len(rows)), zap.Int("changed", len(keys)))
	}
	changed := make(map[string]*relay.Server, len(keys))
	for _, k := range keys {
		if r, ok := rows[k]; ok {
			if s := b.decodeServer(k, r); s != nil {
				changed[k] = s
			}
		}
	}
	b.onVersions(slices.Collect(maps.Values(changed)))
	defer b.onVersions(nil)
	for _, k := range keys {
		_, ok := rows[k]
		s := changed[k]
		if s == nil {
			b.cache.Delete(k)
		} else {
			b.putServer(s, len(keys) <= manyEntries)
		}
		if !ok && len(keys) <= manyEntries {
			b.log.Info("server_entry_gone", zap.String("server", k))
		}
	}
}

func (b *tableCache) putServer(s *relay.Server, logged bool) {
	o := b.cache.Put(s)
	if b.cache.IsFormer(s.ID) {
		b.log.Info("server_entry_former", zap.String("server", s.ID), zap.Bool("leaving", s.Leaving))
		return
	}
	if logged {
		b.logServerChange(o, s)
	}
	b.onServer(s)
}

// logServerChange logs an entry that is new (o is nil), or whose server is leaving, came back,
// changed its address or became cold.
func (b *tableCache) logServerChange(o, s *relay.Server) {
	now := time.Now()
	if o != nil && o.Leaving == s.Leaving && o.Address == s.Address && o.Version == s.Version && (o.Cold(now) || !s.Cold(now)) {
		return
	}
	b.log.Info("server_entry_changed", zap.String("server", s.ID), zap.String("service", s.Service), zap.String("address", s.Address),
		zap.String("domain", s.Domain), zap.String("server_version", s.Version), zap.Bool("new", o == nil), zap.Bool("leaving", s.Leaving), zap.Bool("cold", s.Cold(now)))
}

// decodeServer decodes an entry, or logs why it is invalid and returns nil.
func (b *tableCache) decodeServer(id string, r replica.Row) *relay.Server {
	s, err := platform.DecodeServer(id, r.Value, b.settings.Domains, r.ReadAt)
	if err != nil {
		b.log.Warn("server_entry_unreadable", zap.String("server", id), zap.Error(err))
		return nil
	}
	s.Era = r.Era
	return s
}

func (b *tableCache) onNodeRows(rows map[string]replica.Row, _ []string, restored bool) {
	l, others := make([]roster.Node, 0, len(rows)), int64(0)
	for _, r := range rows {
		n, err := platform.DecodeNode(r.Row)
		if err != nil {
			b.log.Warn("node_entry_unreadable", zap.Error(err))
			continue
		}
		if n.Protocol != b.protocol {
			others++
			continue // of another build: it cannot be reached, and its own build removes it
		}
		l = append(l, n)
	}
	if restored {
		b.othersUntil = time.Now().Add(roster.UnlistedGrace)
	}
	if time.Now().Before(b.othersUntil) {
		others = max(others, b.otherBuilds.Load())
	}
	b.otherBuilds.Store(others)
	if !restored {
		b.roster.Replace(l)
		return
	}
	b.roster.Restore(l)
	b.onNodesRestored()
}
