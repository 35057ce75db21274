package edge

// This file defines how what the nodes know of crashes is kept in the store, so that it outlives all of them: at its
// start, a node gets it with the fleet's key, in one call.

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"bergamotspring/core/suspect"
	"bergamotspring/io/wait"
	"bergamotspring/platform"
)

const (
	// recordCheck is how often a node checks whether it has to write.
	recordCheck = 100 * time.Millisecond
	// lastRecordTimeout bounds the write of a node that ends.
	lastRecordTimeout = 150 * time.Millisecond
	// storedFrom is where notices of the record are said to be from.
	storedFrom = "store"
)

// crashRecord keeps the record of crashes in the store. It is used by one goroutine.
type crashRecord struct {
	store    *platform.Store
	crashes  *suspect.Counter
	rank     func() int // number of nodes that are to write before this one
	log      *zap.Logger
	recorder suspect.Recorder

	era     uint64 // of the store in which version was read or written
	version uint64 // of the row
	known   bool   // version is the newest one that this node knows of
}

// run writes the record when it is due, until the context ends, and then once more if something is missing in it.
func (k *crashRecord) run(ctx context.Context) {
	wait.Every(ctx, recordCheck, func() { k.check(ctx, time.Now()) })
	last, cancel := context.WithTimeout(context.Background(), lastRecordTimeout)
	defer cancel()
	k.check(last, time.Now())
}

func (k *crashRecord) check(ctx context.Context, now time.Time) {
	if era := k.store.Era(); era != k.era {
		k.era, k.known = era, false
		k.recorder.Lost()
	}
	rank := k.rank()
	v := k.crashes.Revision()
	due := k.recorder.Due(now, v, rank)
	if !due && k.recorder.Refresh(now, rank) {
		due = len(k.crashes.Notices()) > 0
	}
	if !due {
		return
	}
	if err := k.update(ctx, rank); err != nil {
		k.known = false // the row may have been written
		k.recorder.Failed(time.Now())
		k.log.Warn("crashes_not_recorded", zap.Error(err))
	}
}

// update makes the stored record hold what this node knows. Only the first node writes without looking at the row,
// as long as it knows of no other version.
func (k *crashRecord) update(ctx context.Context, rank int) error {
	if rank > 0 || !k.known {
		complete, err := k.read(ctx)
		if complete || err != nil {
			return err
		}
	}
	err := k.write(ctx)
	if !errors.Is(err, platform.ErrCrashesChanged) {
		return err
	}
	complete, err := k.read(ctx)
	if complete || err != nil {
		return err
	}
	return k.write(ctx)
}

// read reads the row, and reports whether it lacks nothing that this node knows.
func (k *crashRecord) read(ctx context.Context) (complete bool, err error) {
	row, err := platform.ReadCrashes(ctx, k.store)
	if err != nil {
		return false, err
	}
	v := k.crashes.Revision()
	r := k.restore(row)
	if k.crashes.Lacks(r) {
		return false, nil
	}
	k.recorder.Done(time.Now(), v)
	return true, nil
}

// restore takes over what a row holds, and returns it. A row that cannot be read is written over.
func (k *crashRecord) restore(row platform.CrashRow) suspect.Record {
	k.version, k.known = row.Version, true
	r, err := row.Decode(time.Now())
	if err != nil {
		k.log.Error("crash_record_unreadable", zap.Error(err))
		return suspect.Record{}
	}
	if added := k.crashes.Restore(storedFrom, r); added > 0 {
		_, culprits := k.crashes.Known()
		k.log.Info("crashes_restored", zap.Int("crashes", added), zap.Int("culprits", culprits))
	}
	return r
}

func (k *crashRecord) write(ctx context.Context) error {
	r, v := k.crashes.Record()
	version, err := platform.WriteCrashes(ctx, k.store, r, time.Now(), k.version)
	if err != nil {
		return err
	}
	k.version, k.known = version, true
	k.recorder.Done(time.Now(), v)
	k.log.Info("crashes_recorded", zap.Int("crashes", len(r.Crashes)), zap.Int("culprits", len(r.Notices)))
	return nil
}
