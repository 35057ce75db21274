package edge

// This file defines how a node reads one table of the store while it is to do so.

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotspring/core/replica"
	"bergamotspring/core/store"
	"bergamotspring/io/peer"
	"bergamotspring/io/wait"
	"bergamotspring/platform"
)

const (
	// operatorLongPoll is how long the store holds a poll for the operator's changes. It
	// bounds how long a silent connection can hide them.
	operatorLongPoll = 1200 * time.Millisecond
	// nodesLongPoll is the same for the table of nodes.
	nodesLongPoll = 10 * time.Second
	// nodesPollInterval is the pause between polls of the table of nodes, of which many change
	// at the same time when the fleet starts.
	nodesPollInterval = 100 * time.Millisecond
	// serversPollInterval is the pause between polls of the servers, whose heartbeats would
	// end a long poll at once.
	serversPollInterval = 950 * time.Millisecond
	// retryMin and retryMax bound the backoff after an error of the store.
	retryMin = 300 * time.Millisecond
	retryMax = time.Second
)

// errRestored says that a call ended because the store was restored: the table has to be read again.
var errRestored = errors.New("store was restored")

// tableWatch holds a node's copy of one table, and reads it from the store while reading is on.
// Its lock is held while onChange updates the caches.
type tableWatch struct {
	table    string
	longPoll time.Duration // how long the store holds a poll, but for the first of a period of reading
	interval time.Duration // pause between polls
	store    *platform.Store
	log      *zap.Logger
	reading  *readSwitch
	// onChange is called with all rows and the keys of those that changed, and whether they are of a newer era than
	// the rows before.
	onChange func(rows map[string]replica.Row, keys []string, restored bool)
	// onMerge, if set, is called when the store has confirmed the copy, to this or another node, after onChange.
	onMerge func(confirmedAt time.Time)
	// onConfirm is called after the store has responded, without a lock.
	onConfirm func()
	// onResponse and onFailure, if set, are called when the store has responded, before the changes are
	// merged, and when a call failed.
	onResponse, onFailure func(at time.Time)

	mu        sync.Mutex
	copy      replica.Table
	readWhole bool // the next read must be of the whole table
	lostSince time.Time
}

// run reads the table from the store while reading is on, until the context ends.
func (f *tableWatch) run(ctx context.Context) {
	pause := retryMin
	confirmed := 0 // the period of reading in which the last call succeeded
	for {
		period := f.reading.wait(ctx)
		if period == 0 {
			return
		}
		// A poll that is held confirms nothing until it ends, and the last confirmation may be old.
		hold := f.longPoll
		if period != confirmed {
			hold = 0
		}
		restored := f.store.Restored()
		err := f.poll(ctx, hold, restored)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			pause, confirmed = retryMin, period
			sleepUntil(ctx, f.interval, restored)
			continue
		}
		confirmed = 0
		if errors.Is(err, errRestored) {
			continue // at most once for each era
		}
		if errors.Is(err, platform.ErrHistory) {
			f.onHistoryLost()
			continue
		}
		f.onStoreError(err)
		wait.Sleep(ctx, time.Duration(float64(pause)*(0.5+rand.Float64())))
		pause = min(2*pause, retryMax)
	}
}

// poll reads the changes since the last version, or the whole table if they are not available. The store
// may hold the poll for a time until there are changes. When another call learns of a newer era, the poll ends with
// errRestored. If its own response is of a newer era, the copy does not take the changes, and the next poll reads
// the whole table.
func (f *tableWatch) poll(ctx context.Context, hold time.Duration, restored <-chan struct{}) error {
	f.mu.Lock()
	era, version := f.copy.Era(), f.copy.Version()
	whole := f.readWhole || version == 0 || f.store.Era() > era
	f.mu.Unlock()
	if whole {
		return f.read(ctx)
	}
	c, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-restored:
			cancel(errRestored)
		case <-c.Done():
		}
	}()
	r, err := f.store.Changes(c, f.table, version, hold)
	if err != nil {
		return err // errRestored if the poll was ended
	}
	f.onStoreResponse(r, version)
	return nil
}

// read reads the whole table.
func (f *tableWatch) read(ctx context.Context) error {
	r, err := f.store.Read(ctx, f.table)
	if err != nil {
		return err
	}
	f.onStoreResponse(r, 0)
	return nil
}

// onStoreResponse merges what the store sent, all rows or those that changed since a version.
func (f *tableWatch) onStoreResponse(r store.Result, since uint64) {
	now := time.Now()
	f.reached(now)
	c := replica.Changes{Era: r.Era, Since: since, Version: r.Sequence, ConfirmedAt: now}
	for _, x := range r.Rows {
		if x.Version == 0 {
			c.Removed = append(c.Removed, x.Key)
			continue
		}
		c.Rows = append(c.Rows, replica.Row{Row: x, ReadAt: now})
	}
	f.merge(c)
	f.onConfirm()
}

// merge merges changes and reports whether the copy then agrees with that of their sender.
func (f *tableWatch) merge(c replica.Changes) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	era, version := f.copy.Era(), f.copy.Version()
	keys := f.copy.Merge(c)
	if c.Since == 0 && c.Era == f.copy.Era() {
		f.readWhole = false
	}
	f.store.LearnEra(f.copy.Era()) // so that its client takes nothing older, if another node sent the table
	restored := version > 0 && f.copy.Era() > era
	if restored {
		f.log.Warn("table_restored", zap.String("table", f.table), zap.Uint64("era", f.copy.Era()), zap.Uint64("version", f.copy.Version()), zap.Int("changed", len(keys)))
	}
	if len(keys) > 0 || restored {
		f.onChange(f.copy.Rows(), keys, restored)
	}
	if f.onMerge != nil {
		f.onMerge(f.copy.ConfirmedAt())
	}
	return f.copy.Agrees(c)
}

func (f *tableWatch) onHistoryLost() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.log.Warn("store_history_lost", zap.String("table", f.table), zap.Uint64("version", f.copy.Version()))
	f.readWhole = true
}

// onStoreError reports a failed call, and logs the beginning of an outage of the store.
func (f *tableWatch) onStoreError(err error) {
	if f.onFailure != nil {
		f.onFailure(time.Now())
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lostSince.IsZero() {
		f.lostSince = time.Now()
		f.log.Warn("store_lost", zap.String("table", f.table), zap.Uint64("version", f.copy.Version()), zap.Error(err))
	}
}

// reached reports that the store responded, and logs the end of an outage if there was one.
func (f *tableWatch) reached(now time.Time) {
	f.mu.Lock()
	lost := f.lostSince
	f.lostSince = time.Time{}
	f.mu.Unlock()
	if !lost.IsZero() {
		f.log.Info("store_regained", zap.String("table", f.table), zap.Duration("away", now.Sub(lost)))
	}
	if f.onResponse != nil {
		f.onResponse(now)
	}
}

// version returns which version of the table this node has.
func (f *tableWatch) version() peer.TableVersion {
	f.mu.Lock()
	defer f.mu.Unlock()
	return peer.TableVersion{Table: f.table, Era: f.copy.Era(), Version: f.copy.Version(), ConfirmedAt: f.copy.ConfirmedAt()}
}

// changedAfter reports whether the table changed after a version of an era.
func (f *tableWatch) changedAfter(era, version uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.copy.ChangedAfter(era, version)
}

// after returns the changes after a version of an era.
func (f *tableWatch) after(era, version uint64) peer.TableChanges {
	f.mu.Lock()
	defer f.mu.Unlock()
	return peer.TableChanges{Table: f.table, Changes: f.copy.After(era, version)}
}

// sleepUntil waits for a time, or until the context ends or a channel is closed.
func sleepUntil(ctx context.Context, d time.Duration, c <-chan struct{}) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	case <-c:
	}
}

// isOn reports whether the node reads the store.
func (s *readSwitch) isOn() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.on
}

// readSwitch says whether a node reads the store. The zero value is off.
type readSwitch struct {
	mu      sync.Mutex
	on      bool
	period  int           // how many times it was switched on
	changed chan struct{} // closed when it is switched on
}

// set switches reading on or off, and reports whether that is a change.
func (s *readSwitch) set(on bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.on == on {
		return false
	}
	s.on = on
	if on {
		s.period++
	}
	if on && s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
	return true
}

// wait waits until reading is on and returns the number of the period of reading, from 1, or 0 when the
// context ends.
func (s *readSwitch) wait(ctx context.Context) int {
	for ctx.Err() == nil {
		s.mu.Lock()
		if s.on {
			defer s.mu.Unlock()
			return s.period
		}
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		c := s.changed
		s.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-c:
		}
	}
	return 0
}
