package edge

// This file defines how a node decodes and caches the tables that it watches.

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"bergamotspring/core/relay"
	"bergamotspring/core/roster"
	"bergamotspring/core/store"
	"bergamotspring/io/peer"
	"bergamotspring/platform"
)

// tableCache holds the watches of the store's tables and applies their rows to the node's caches.
type tableCache struct {
	settings *platform.Settings
	store    *platform.Store
	cache    *relay.Cache
	roster   *roster.Roster
	log      *zap.Logger
	// mesh returns the mesh of nodes; nil until the fleet's key is known.
	mesh func() *peer.Mesh

	operator, servers, nodes *tableWatch
}

func (b *tableCache) init() {
	b.operator = b.watch(platform.TableOperator, operatorLongPoll, 0, b.onOperatorRows)
	b.servers = b.watch(platform.TableServers, 0, serversPollInterval, b.onServerRows)
	b.servers.onReconnect = b.cache.Reconnected
	b.nodes = b.watch(platform.TableNodes, nodesLongPoll, 0, b.onNodeRows)
}

func (b *tableCache) watch(table string, longPoll, interval time.Duration, onChange func(map[string]store.Row, []string)) *tableWatch {
	return &tableWatch{table: table, longPoll: longPoll, interval: interval, store: b.store, log: b.log, onChange: onChange, fetchSnapshots: b.fetchSnapshots}
}

func (b *tableCache) watches() []*tableWatch { return []*tableWatch{b.operator, b.servers, b.nodes} }

func (b *tableCache) onOperatorRows(rows map[string]store.Row, _ []string) {
	v := make(map[string][]byte, len(rows))
	for k, r := range rows {
		v[k] = r.Value
	}
	c, out, err := platform.DecodeOperator(v)
	b.cache.TakeOut(out)
	if err != nil {
		b.log.Error("configuration_unreadable", zap.Error(err))
		return
	}
	if b.cache.Install(c) {
		b.log.Info("configuration_installed", zap.Int64("version", c.Version), zap.Int("routes", len(c.Routes)), zap.Int("taken_out", len(out)))
	}
}

func (b *tableCache) onServerRows(rows map[string]store.Row, keys []string) {
	if keys == nil {
		l := make([]*relay.Server, 0, len(rows))
		for k, r := range rows {
			if s := b.decodeServer(k, r); s != nil {
				l = append(l, s)
			}
		}
		b.cache.Replace(l)
		b.log.Info("servers_read", zap.Int("servers", len(l)))
		return
	}
	for _, k := range keys {
		r, ok := rows[k]
		if !ok {
			b.log.Info("server_entry_gone", zap.String("server", k))
			b.cache.Delete(k)
			continue
		}
		if s := b.decodeServer(k, r); s != nil {
			b.logServerChange(b.cache.Put(s), s)
		} else {
			b.cache.Delete(k)
		}
	}
}

// logServerChange logs an entry that is new (o is nil), or whose server is leaving, came back,
// changed its address or became cold.
func (b *tableCache) logServerChange(o, s *relay.Server) {
	now := time.Now()
	if o != nil && o.Leaving == s.Leaving && o.Address == s.Address && (o.Cold(now) || !s.Cold(now)) {
		return
	}
	b.log.Info("server_entry_changed", zap.String("server", s.ID), zap.String("service", s.Service), zap.String("address", s.Address),
		zap.String("domain", s.Domain), zap.Bool("new", o == nil), zap.Bool("leaving", s.Leaving), zap.Bool("cold", s.Cold(now)))
}

// decodeServer decodes an entry, or logs why it is invalid and returns nil.
func (b *tableCache) decodeServer(id string, r store.Row) *relay.Server {
	s, err := platform.DecodeServer(id, r.Value, b.settings.Domains, time.Now())
	if err != nil {
		b.log.Warn("server_entry_unreadable", zap.String("server", id), zap.Error(err))
		return nil
	}
	return s
}

func (b *tableCache) onNodeRows(rows map[string]store.Row, _ []string) {
	l := make([]roster.Node, 0, len(rows))
	for _, r := range rows {
		n, err := platform.DecodeNode(r)
		if err != nil {
			b.log.Warn("node_entry_unreadable", zap.Error(err))
			continue
		}
		l = append(l, n)
	}
	b.roster.Replace(l)
}

// fetchSnapshots requests newer tables from up to maxSnapshotPeers random peers, until one
// responds.
func (b *tableCache) fetchSnapshots(ctx context.Context) {
	m := b.mesh()
	if m == nil {
		return
	}
	have := make([]peer.TableSnapshot, 0, len(b.watches()))
	for _, f := range b.watches() {
		have = append(have, f.currentVersion())
	}
	l := b.roster.All()
	rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	tried := 0
	for _, n := range l {
		if n.Peer == b.settings.Peer || tried == maxSnapshotPeers {
			continue
		}
		tried++
		c, cancel := context.WithTimeout(ctx, snapshotTimeout)
		t, err := m.FetchSnapshots(c, n.Peer, have)
		cancel()
		if err != nil {
			b.log.Info("mirror_failed", zap.String("peer", n.Peer), zap.Error(err))
			continue
		}
		b.mergeSnapshots(n.Peer, t)
		return
	}
}

func (b *tableCache) mergeSnapshots(from string, l []peer.TableSnapshot) {
	for _, t := range l {
		for _, f := range b.watches() {
			if f.table == t.Table {
				b.log.Info("mirrored", zap.String("table", t.Table), zap.String("peer", from), zap.Uint64("version", t.Version))
				f.replace(t.Rows, t.Version, false)
			}
		}
	}
}

// newerSnapshots returns the tables that are newer here than at a peer.
func (b *tableCache) newerSnapshots(have []peer.TableSnapshot) []peer.TableSnapshot {
	var l []peer.TableSnapshot
	for _, h := range have {
		for _, f := range b.watches() {
			if f.table != h.Table {
				continue
			}
			if t, ok := f.newerSnapshot(h.Version); ok {
				l = append(l, t)
			}
		}
	}
	return l
}
