package edge

// This file defines how a node follows the tables of other nodes.

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotspring/core/fanout"
	"bergamotspring/core/relay"
	"bergamotspring/core/roster"
	"bergamotspring/io/peer"
	"bergamotspring/io/wait"
	"bergamotspring/platform"
)

const (
	// responseTimeout bounds the time to a source's response of a few changes, beyond the hold
	// of the query, and transferTimeout that to a response of whole tables.
	responseTimeout = 200 * time.Millisecond
	transferTimeout = 1500 * time.Millisecond
	// newestVersion is a version, and an era, after which no table has changes.
	newestVersion = math.MaxInt64
	// reportTime is how long a node whose search for a source has begun waits for the others' reports on
	// the store before it takes a gap between the store's responses for the loss of a reader.
	reportTime = 100 * time.Millisecond
	// regainedTime is how long the end of an outage is passed on.
	regainedTime = 10 * time.Second
	// meshPoll is the interval at which a node without the fleet's key checks for it.
	meshPoll = 20 * time.Millisecond
)

// tableFollower keeps the tables of a node up to date, from the store or from other nodes, as
// core/fanout decides, and responds to the queries of other nodes. Of other locks only those of the roster
// and the cache are taken while its lock is held.
type tableFollower struct {
	settings *platform.Settings
	tables   *tableCache
	cache    *relay.Cache
	roster   *roster.Roster
	log      *zap.Logger
	mesh     func() *peer.Mesh // nil until the fleet's key is known

	mu         sync.Mutex
	core       fanout.Follower
	outages    fanout.Outages
	ordered    []roster.Node // the nodes that order is made of
	order      fanout.Tree
	reader     string // peer address of the node that read the tables from the store
	regainedAt time.Time
	held       map[*heldQuery]bool
	logged     string // the source as last logged
}

// run follows the tables until the context ends.
func (f *tableFollower) run(ctx context.Context) {
	for ctx.Err() == nil {
		s := f.next()
		if f.mesh() == nil && len(s.Sources) > 0 {
			wait.Sleep(ctx, meshPoll)
			continue
		}
		if !f.query(ctx, s) {
			wait.Sleep(ctx, s.Pause)
		}
	}
}

// next returns the next step, and switches reading of the store on or off.
func (f *tableFollower) next() fanout.Step {
	t := fanout.Tables{ConfirmedAt: f.tables.confirmedAt(f.tables.versions())}
	f.mu.Lock()
	t.Reader = f.reader
	s := f.core.Next(f.tree(), f.roster.Others(f.settings.Region), t)
	f.mu.Unlock()
	f.tables.reading.set(s.Read)
	f.logSource(s, t)
	return s
}

// logSource logs a change of where the tables come from.
func (f *tableFollower) logSource(s fanout.Step, t fanout.Tables) {
	source := "store"
	if !s.Read {
		if s.Hold == 0 {
			return // a search, or a query of the parent
		}
		source = s.Sources[0]
	}
	if source == f.logged {
		return
	}
	f.logged = source
	var age time.Duration // 0: the tables have not been read yet
	if !t.ConfirmedAt.IsZero() {
		age = time.Since(t.ConfirmedAt)
	}
	f.log.Info("tables_source", zap.String("source", source), zap.String("reader", t.Reader), zap.Duration("age", age))
}

// tree returns the tree of the region's nodes. The lock is held.
func (f *tableFollower) tree() *fanout.Tree {
	l := f.roster.Coordinators(f.settings.Region)
	if len(l) == 0 || len(f.ordered) != len(l) || &f.ordered[0] != &l[0] {
		f.ordered, f.order = l, fanout.NewTree(l, roster.Node{Peer: f.settings.Peer, Domain: f.settings.Domain})
	}
	return &f.order
}

// query queries the sources of a step, and reports whether one has sent fresh tables.
func (f *tableFollower) query(ctx context.Context, s fanout.Step) bool {
	if len(s.Sources) == 0 {
		return false
	}
	source := s.Sources[0]
	if s.Hold == 0 {
		// The tables are fetched from one source only, as all together would fill the links.
		if source = f.findFresh(ctx, s.Sources); source == "" {
			return false
		}
	}
	c, cancel := context.WithTimeout(ctx, s.Hold+f.fetchTimeout(s.Hold))
	defer cancel()
	return f.fetch(c, source, s.Hold) && !s.Read
}

// fetchTimeout returns how long a response may take beyond the hold of its query: longer if it
// brings more than a few changes.
func (f *tableFollower) fetchTimeout(hold time.Duration) time.Duration {
	if hold == 0 || f.tables.confirmedAt(f.tables.versions()).IsZero() {
		return transferTimeout
	}
	return responseTimeout
}

// findFresh asks sources for the age of their tables, without the tables, and returns the first
// whose tables are fresh, or "".
func (f *tableFollower) findFresh(ctx context.Context, sources []string) string {
	c, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	fresh := make(chan string, len(sources))
	for _, p := range sources {
		go func() {
			if !f.isFresh(c, p) {
				p = ""
			}
			fresh <- p
		}()
	}
	for range sources {
		select {
		case p := <-fresh:
			if p != "" {
				return p
			}
		case <-c.Done():
			return ""
		}
	}
	return ""
}

// isFresh asks a source for the age of its tables, and reports whether they are fresh.
func (f *tableFollower) isFresh(ctx context.Context, source string) bool {
	t, err := f.mesh().FetchTables(ctx, source, f.ageQuery())
	if err != nil {
		f.onFailure(ctx, source, err)
		return false
	}
	f.learn(t)
	age := f.age(t)
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.IsFresh(t.Reader, age)
}

// ageQuery returns a query for the age of a node's tables, whose response holds no rows.
func (f *tableFollower) ageQuery() peer.TablesQuery {
	have := f.tables.versions()
	for i := range have {
		have[i].Era, have[i].Version = newestVersion, newestVersion
	}
	return peer.TablesQuery{Have: have, Changes: true}
}

// fetch queries one source, merges what it sends and reports whether its tables are fresh.
func (f *tableFollower) fetch(ctx context.Context, source string, hold time.Duration) bool {
	q := peer.TablesQuery{Have: f.tables.versions(), Changes: true, Wait: hold}
	t, err := f.mesh().FetchTables(ctx, source, q)
	if err != nil {
		f.onFailure(ctx, source, err)
		return false
	}
	if whole := f.merge(t); len(whole) > 0 {
		// Its copy has another history than that from which ours was made.
		f.log.Info("tables_reread", zap.String("peer", source), zap.Int("tables", len(whole)))
		q = peer.TablesQuery{Have: whole, Changes: true}
		if t, err = f.mesh().FetchTables(ctx, source, q); err != nil {
			f.onFailure(ctx, source, err)
			return false
		}
		f.merge(t)
	}
	age := f.age(t)
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.OnResponse(f.tree(), source, t.Reader, age)
}

// age returns the age of the tables of a response. Those of an older era than this node's are of no use to it,
// however late the store confirmed them to a node that did not see that it was restored.
func (f *tableFollower) age(t peer.Tables) time.Duration {
	for _, c := range t.Tables {
		if w := f.tables.find(c.Table); w != nil && c.Era < w.version().Era {
			return math.MaxInt64
		}
	}
	return time.Since(f.tables.confirmedAt(confirmations(t)))
}

// confirmations returns the versions of the tables in a response.
func confirmations(t peer.Tables) []peer.TableVersion {
	var l []peer.TableVersion
	for _, c := range t.Tables {
		l = append(l, peer.TableVersion{Table: c.Table, Version: c.Version, ConfirmedAt: c.ConfirmedAt})
	}
	return l
}

// onFailure records that a source did not respond.
func (f *tableFollower) onFailure(ctx context.Context, source string, err error) {
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return // another source has responded
	}
	f.mu.Lock()
	f.core.OnFailure(source)
	f.mu.Unlock()
	if !isSilence(err) {
		return
	}
	f.log.Info("mirror_failed", zap.String("peer", source), zap.Error(err))
	f.roster.MarkSilent(source)
}

// isSilence reports whether an error shows that a node does not run or cannot be reached. A response
// that is only late, or a full queue, does not.
func isSilence(err error) bool {
	var l *peer.LinkError
	if !errors.As(err, &l) {
		return false
	}
	for _, e := range []error{peer.ErrExpired, peer.ErrFull, peer.ErrClosed, peer.ErrNoKey, context.DeadlineExceeded} {
		if errors.Is(err, e) {
			return false
		}
	}
	return true
}

// merge merges the tables of a response, and returns those that must be fetched whole.
func (f *tableFollower) merge(t peer.Tables) (whole []peer.TableVersion) {
	f.learn(t)
	before := f.tables.confirmedAt(f.tables.versions())
	for _, c := range t.Tables {
		if w := f.tables.find(c.Table); w != nil && !w.merge(c.Changes) {
			whole = append(whole, peer.TableVersion{Table: c.Table})
		}
	}
	if f.tables.confirmedAt(f.tables.versions()).After(before) {
		f.mu.Lock()
		f.reader = t.Reader
		f.mu.Unlock()
	}
	f.notify()
	return whole
}

// onConfirm takes account of a response of the store.
func (f *tableFollower) onConfirm() {
	f.mu.Lock()
	f.reader = f.settings.Peer
	f.mu.Unlock()
	f.notify()
}

// learn takes account of what another node reports about calls of the store.
func (f *tableFollower) learn(t peer.Tables) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !t.RegainedAt.IsZero() && f.outages.Admits(t.RegainedAt) {
		f.setRegained(t.RegainedAt)
	}
	for _, x := range t.Failures {
		if x.Peer != f.settings.Peer {
			f.outages.OnFailure(x)
		}
	}
	for _, c := range t.Tables {
		if c.Table == platform.TableServers {
			f.outages.OnResponse(c.ConfirmedAt)
		}
	}
}

// onStoreFailure takes account of a call of the store by this node that failed.
func (f *tableFollower) onStoreFailure(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outages.OnFailure(fanout.Failure{Peer: f.settings.Peer, At: at})
}

// onStoreResponse takes account of a response of the store to this node, before its changes. It waits for
// reportTime if the gap before it may be an outage of the store, or only the loss of a reader.
func (f *tableFollower) onStoreResponse(at time.Time) {
	f.mu.Lock()
	unclear := f.outages.IsUnclear(at)
	f.mu.Unlock()
	if unclear {
		time.Sleep(reportTime)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.outages.EndsWith(at) {
		f.log.Info("outage_ended")
		f.setRegained(at)
	}
	f.outages.OnResponse(at)
}

// setRegained records the end of an outage. The lock is held.
func (f *tableFollower) setRegained(at time.Time) {
	f.cache.Reconnected(at)
	if at.After(f.regainedAt) {
		f.regainedAt = at
	}
}
