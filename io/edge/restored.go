package edge

// This file defines which rows a node writes again when the store was restored from a snapshot that lacks them.

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"bergamotspring/io/wait"
	"bergamotspring/platform"
)

const (
	// registrationSpread is the time for each node of the fleet, up to maxRegistrationSpread, over which the nodes
	// write their rows again: at most 250 writes a second, as the store takes several hundred.
	registrationSpread    = 4 * time.Millisecond
	maxRegistrationSpread = time.Second
	// rowPatience is how long a node waits until it gets its row through the tree before it writes it once more.
	rowPatience = 2 * time.Second
	// rowPoll is how often it looks for it.
	rowPoll = 50 * time.Millisecond
	// keyInterval is how often a node that reads the store checks whether the fleet's key has to be looked for, also
	// when it has begun to read after the reader before it found the restore.
	keyInterval = time.Second
)

// onNodesRestored makes this node register again if a restored store lacks its row.
func (n *Node) onNodesRestored() {
	if n.registered() {
		return
	}
	n.registering.Store(true)
	select {
	case n.unlisted <- struct{}{}:
	default: // it is to do so already
	}
}

// registerAgain writes the row of this node each time that a restored store lacks it, until the context ends. Unlike
// the first registration it reads no table, as all nodes may do this at once.
func (n *Node) registerAgain(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.unlisted:
		}
		spread := min(maxRegistrationSpread, time.Duration(len(n.roster.All()))*registrationSpread)
		wait.Sleep(ctx, rand.N(spread+1))
		for ctx.Err() == nil && !n.registered() && !n.stopping.Load() {
			if !n.writeRow(ctx) {
				wait.Sleep(ctx, retryMin+rand.N(retryMax))
				continue
			}
			n.awaitRow(ctx)
		}
		n.registering.Store(false)
	}
}

// awaitRow waits until this node gets its row, for rowPatience at most.
func (n *Node) awaitRow(ctx context.Context) {
	for until := time.Now().Add(rowPatience); ctx.Err() == nil && !n.registered() && time.Now().Before(until); {
		wait.Sleep(ctx, rowPoll)
	}
}

// keepPeerKey writes the fleet's key again when a restored store lacks it, while this node reads the store, until the
// context ends.
func (n *Node) keepPeerKey(ctx context.Context, key []byte) {
	kept := uint64(0) // era in which the key was last found or written
	for ctx.Err() == nil {
		restored := n.store.Restored()
		if era := n.store.Era(); era > kept && n.tableCache.reading.isOn() {
			err := platform.KeepPeerKey(ctx, &n.store, key)
			switch {
			case errors.Is(err, platform.ErrOtherPeerKey):
				n.Log.Error("peer_key_replaced", zap.Uint64("era", era), zap.Error(err))
				kept = era
			case err != nil:
				n.Log.Warn("peer_key_failed", zap.Error(err))
			default:
				kept = era
			}
		}
		sleepUntil(ctx, keyInterval, restored)
	}
}
