package edge

// This file defines what a node makes of the tables that it follows.

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

// tableCache holds the followers of a node and what they feed.
type tableCache struct {
	settings *platform.Settings
	store    *platform.Store
	cache    *relay.Cache
	roster   *roster.Roster
	log      *zap.Logger
	// peers returns the links to other nodes, nil until the fleet's key is known.
	peers func() *peer.Mesh

	operator, servers, nodes *tableWatch
}

func (b *tableCache) init() {
	b.operator = b.watch(platform.TableOperator, waitOperator, 0, b.operatorChanged)
	b.servers = b.watch(platform.TableServers, 0, serversEvery, b.serversChanged)
	b.servers.returned = b.cache.Reconnected
	b.nodes = b.watch(platform.TableNodes, waitNodes, 0, b.nodesChanged)
}

func (b *tableCache) watch(table string, wait, every time.Duration, changed func(map[string]store.Row, []string)) *tableWatch {
	return &tableWatch{table: table, wait: wait, every: every, store: b.store, log: b.log, changed: changed, fetchSnapshots: b.fetchSnapshots}
}

func (b *tableCache) all() []*tableWatch { return []*tableWatch{b.operator, b.servers, b.nodes} }

func (b *tableCache) operatorChanged(rows map[string]store.Row, _ []string) {
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

func (b *tableCache) serversChanged(rows map[string]store.Row, keys []string) {
	if keys == nil {
		l := make([]*relay.Server, 0, len(rows))
		for k, r := range rows {
			if s := b.server(k, r); s != nil {
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
		if s := b.server(k, r); s != nil {
			b.noteServer(b.cache.Put(s), s)
		} else {
			b.cache.Delete(k)
		}
	}
}

// noteServer logs an entry that is new (o is nil), or says that its server leaves, came back,
// moved or turned cold.
func (b *tableCache) noteServer(o, s *relay.Server) {
	now := time.Now()
	if o != nil && o.Leaving == s.Leaving && o.Address == s.Address && (o.Cold(now) || !s.Cold(now)) {
		return
	}
	b.log.Info("server_entry_changed", zap.String("server", s.ID), zap.String("service", s.Service), zap.String("address", s.Address),
		zap.String("domain", s.Domain), zap.Bool("new", o == nil), zap.Bool("leaving", s.Leaving), zap.Bool("cold", s.Cold(now)))
}

// server decodes an entry; nil: it names no server to use.
func (b *tableCache) server(id string, r store.Row) *relay.Server {
	s, err := platform.DecodeServer(id, r.Value, b.settings.Domains, time.Now())
	if err != nil {
		b.log.Warn("server_entry_unreadable", zap.String("server", id), zap.Error(err))
		return nil
	}
	return s
}

func (b *tableCache) nodesChanged(rows map[string]store.Row, _ []string) {
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

// fetchSnapshots asks some peers for what they have read, until one answers.
func (b *tableCache) fetchSnapshots(ctx context.Context) {
	m := b.peers()
	if m == nil {
		return
	}
	have := make([]peer.TableSnapshot, 0, len(b.all()))
	for _, f := range b.all() {
		have = append(have, f.have())
	}
	l := b.roster.All()
	rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	asked := 0
	for _, n := range l {
		if n.Peer == b.settings.Peer || asked == mostMirrors {
			continue
		}
		asked++
		c, cancel := context.WithTimeout(ctx, mirrorTimeout)
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
		for _, f := range b.all() {
			if f.table == t.Table {
				b.log.Info("mirrored", zap.String("table", t.Table), zap.String("peer", from), zap.Uint64("version", t.Version))
				f.replace(t.Rows, t.Version, false)
			}
		}
	}
}

// newer returns the tables that are newer than those of a peer.
func (b *tableCache) newer(have []peer.TableSnapshot) []peer.TableSnapshot {
	var l []peer.TableSnapshot
	for _, h := range have {
		for _, f := range b.all() {
			if f.table != h.Table {
				continue
			}
			if t, ok := f.newer(h.Version); ok {
				l = append(l, t)
			}
		}
	}
	return l
}
