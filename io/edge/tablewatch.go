package edge

// This file defines how a node watches the tables of the store. While it cannot reach the store,
// it reads its peers' snapshots.

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotspring/core/store"
	"bergamotspring/io/peer"
	"bergamotspring/io/wait"
	"bergamotspring/platform"
)

const (
	// operatorLongPoll is how long the store holds a poll for the operator's changes. It
	// bounds how long a silent connection can hide them.
	operatorLongPoll = 1500 * time.Millisecond
	// nodesLongPoll is the same for the table of nodes.
	nodesLongPoll = 10 * time.Second
	// serversPollInterval is the pause between polls of the servers, whose heartbeats would
	// end a long poll at once.
	serversPollInterval = 900 * time.Millisecond
	// retryMin and retryMax bound the backoff after an error of the store.
	retryMin = 150 * time.Millisecond
	retryMax = time.Second
	// minOutage is the shortest outage of the store after which onReconnect is called: entries
	// may then have expired only because heartbeats did not reach the store.
	minOutage = 1500 * time.Millisecond
	// snapshotTimeout bounds a request for a peer's snapshots.
	snapshotTimeout = 600 * time.Millisecond
	// maxSnapshotPeers bounds the peers that are tried after one error of the store.
	maxSnapshotPeers = 3
)

// tableWatch watches one table. Its lock is held while onChange updates the caches.
type tableWatch struct {
	table    string
	longPoll time.Duration // how long the store holds a poll
	interval time.Duration // pause between polls
	store    *platform.Store
	log      *zap.Logger
	// onChange is called with all rows and the keys of those that changed; keys is nil after
	// the whole table was read.
	onChange func(rows map[string]store.Row, keys []string)
	// onReconnect, if set, is called when the store responds again after an outage of
	// minOutage or more.
	onReconnect func()
	// fetchSnapshots reads the tables from peers while the store cannot be reached.
	fetchSnapshots func(context.Context)

	mu        sync.Mutex
	rows      map[string]store.Row
	version   uint64
	complete  bool // rows are complete up to version
	lostSince time.Time
}

// run watches the table until the context ends.
func (f *tableWatch) run(ctx context.Context) {
	pause := retryMin
	for ctx.Err() == nil {
		err := f.poll(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			f.onStoreResponse()
			pause = retryMin
			wait.Sleep(ctx, f.interval)
			continue
		}
		if errors.Is(err, platform.ErrHistory) {
			f.log.Warn("store_history_lost", zap.String("table", f.table), zap.Uint64("version", f.version))
			f.mu.Lock()
			f.complete = false
			f.mu.Unlock()
			continue
		}
		f.onStoreError(err)
		f.fetchSnapshots(ctx)
		wait.Sleep(ctx, time.Duration(float64(pause)*(0.5+rand.Float64())))
		pause = min(2*pause, retryMax)
	}
}

// poll reads the changes since the last poll, or the whole table if it is not complete.
func (f *tableWatch) poll(ctx context.Context) error {
	f.mu.Lock()
	whole, version := f.complete, f.version
	f.mu.Unlock()
	if !whole {
		r, err := f.store.Read(ctx, f.table)
		if err != nil {
			return err
		}
		f.replace(r.Rows, r.Sequence, true)
		return nil
	}
	r, err := f.store.Changes(ctx, f.table, version, f.longPoll)
	if err != nil {
		return err
	}
	f.apply(r)
	return nil
}

// replace installs a whole table, unless it is older than the present one. A peer's snapshot
// must be newer.
func (f *tableWatch) replace(rows []store.Row, version uint64, fromStore bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version < f.version || !fromStore && version == f.version {
		return
	}
	f.rows = make(map[string]store.Row, len(rows))
	for _, r := range rows {
		f.rows[r.Key] = r
	}
	f.version = version
	f.complete = true
	f.onChange(f.rows, nil)
}

func (f *tableWatch) apply(r store.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version = max(f.version, r.Sequence)
	if len(r.Rows) == 0 {
		return
	}
	keys := make([]string, 0, len(r.Rows))
	for _, x := range r.Rows {
		keys = append(keys, x.Key)
		if x.Version == 0 {
			delete(f.rows, x.Key)
		} else {
			f.rows[x.Key] = x
		}
	}
	f.onChange(f.rows, keys)
}

// onStoreError logs the beginning of an outage of the store.
func (f *tableWatch) onStoreError(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lostSince.IsZero() {
		f.lostSince = time.Now()
		f.log.Warn("store_lost", zap.String("table", f.table), zap.Uint64("version", f.version), zap.Error(err))
	}
}

// onStoreResponse ends an outage of the store, if there was one.
func (f *tableWatch) onStoreResponse() {
	f.mu.Lock()
	lost := f.lostSince
	f.lostSince = time.Time{}
	f.mu.Unlock()
	if lost.IsZero() {
		return
	}
	away := time.Since(lost)
	f.log.Info("store_regained", zap.String("table", f.table), zap.Duration("away", away))
	if away >= minOutage && f.onReconnect != nil {
		f.onReconnect()
	}
}

// currentVersion returns the name and version of the table, without rows.
func (f *tableWatch) currentVersion() peer.TableSnapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return peer.TableSnapshot{Table: f.table, Version: f.version}
}

// newerSnapshot returns the whole table if it is complete and newer than a version.
func (f *tableWatch) newerSnapshot(version uint64) (peer.TableSnapshot, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := peer.TableSnapshot{Table: f.table, Version: f.version}
	if !f.complete || f.version <= version {
		return t, false
	}
	for _, r := range f.rows {
		t.Rows = append(t.Rows, r)
	}
	return t, true
}
