package edge

// This file defines how a node follows the tables of the store, and what it does while
// it cannot reach it: it reads what its peers have read.

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
	// waitOperator is how long the store holds a question for the operator's changes. It
	// bounds how long a connection that went silent hides them.
	waitOperator = 1500 * time.Millisecond
	// waitNodes is the same for changes of the nodes.
	waitNodes = 10 * time.Second
	// serversEvery is the pause between two questions for changes of the servers, whose
	// heartbeats would end any wait at once.
	serversEvery = 900 * time.Millisecond
	// retryMin and retryMax bound the pause after the store did not answer.
	retryMin = 150 * time.Millisecond
	retryMax = time.Second
	// outageAfter is how long the store must be away for entries to lapse meanwhile.
	outageAfter = 1500 * time.Millisecond
	// mirrorTimeout bounds a question to a peer.
	mirrorTimeout = 600 * time.Millisecond
	// mostMirrors bounds the peers that are asked after one failure.
	mostMirrors = 3
)

// tableWatch follows one table. Its lock is a leaf.
type tableWatch struct {
	table string
	wait  time.Duration // for which the store holds a question
	every time.Duration // pause between two questions
	store *platform.Store
	log   *zap.Logger
	// changed is told of each change: all rows, and which ones are new. Nil keys mean
	// that the whole table was read.
	changed func(rows map[string]store.Row, keys []string)
	// returned, if set, is called when the store answers again after an outage.
	returned func()
	// fetchSnapshots asks the peers for the table while the store is away.
	fetchSnapshots func(context.Context)

	mu      sync.Mutex
	rows    map[string]store.Row
	version uint64
	whole   bool // rows are complete up to version
	lost    time.Time
}

// run follows the table until the context ends.
func (f *tableWatch) run(ctx context.Context) {
	pause := retryMin
	for ctx.Err() == nil {
		err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			f.reached()
			pause = retryMin
			wait.Sleep(ctx, f.every)
			continue
		}
		if errors.Is(err, platform.ErrHistory) {
			f.log.Warn("store_history_lost", zap.String("table", f.table), zap.Uint64("version", f.version))
			f.mu.Lock()
			f.whole = false
			f.mu.Unlock()
			continue
		}
		f.failed(err)
		f.fetchSnapshots(ctx)
		wait.Sleep(ctx, time.Duration(float64(pause)*(0.5+rand.Float64())))
		pause = min(2*pause, retryMax)
	}
}

// step reads the table or its changes once.
func (f *tableWatch) step(ctx context.Context) error {
	f.mu.Lock()
	whole, version := f.whole, f.version
	f.mu.Unlock()
	if !whole {
		r, err := f.store.Read(ctx, f.table)
		if err != nil {
			return err
		}
		f.replace(r.Rows, r.Sequence, true)
		return nil
	}
	r, err := f.store.Changes(ctx, f.table, version, f.wait)
	if err != nil {
		return err
	}
	f.apply(r)
	return nil
}

// replace takes the whole table, unless it is older than what is known.
func (f *tableWatch) replace(rows []store.Row, version uint64, read bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version < f.version || !read && version == f.version {
		return
	}
	f.rows = make(map[string]store.Row, len(rows))
	for _, r := range rows {
		f.rows[r.Key] = r
	}
	f.version = version
	f.whole = true
	f.changed(f.rows, nil)
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
	f.changed(f.rows, keys)
}

// failed notes that the store did not answer.
func (f *tableWatch) failed(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lost.IsZero() {
		f.lost = time.Now()
		f.log.Warn("store_lost", zap.String("table", f.table), zap.Uint64("version", f.version), zap.Error(err))
	}
}

// reached notes that the store answers.
func (f *tableWatch) reached() {
	f.mu.Lock()
	lost := f.lost
	f.lost = time.Time{}
	f.mu.Unlock()
	if lost.IsZero() {
		return
	}
	away := time.Since(lost)
	f.log.Info("store_regained", zap.String("table", f.table), zap.Duration("away", away))
	if away >= outageAfter && f.returned != nil {
		f.returned()
	}
}

// have returns the version of the table.
func (f *tableWatch) have() peer.TableSnapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return peer.TableSnapshot{Table: f.table, Version: f.version}
}

// newer returns the whole table if it is newer than a version.
func (f *tableWatch) newer(version uint64) (peer.TableSnapshot, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := peer.TableSnapshot{Table: f.table, Version: f.version}
	if !f.whole || f.version <= version {
		return t, false
	}
	for _, r := range f.rows {
		t.Rows = append(t.Rows, r)
	}
	return t, true
}
