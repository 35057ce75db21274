package standin

// This file defines the table service: rows with versions, atomic transactions, and
// reads by key, by prefix and since a table sequence.

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"bergamotspring/core/store"
)

// TableFault is a fault to inject into one operation. The zero value is no fault.
type TableFault struct {
	Down         bool          // the operation has no effect; the connection closes, and Direct returns a *store.UnsentError
	Silent       bool          // the operation has no effect and gets no response
	LoseResponse bool          // the operation takes effect, then the connection closes
	LoseSilent   bool          // the operation takes effect, but gets no response
	Delay        time.Duration // before the operation takes effect
}

// TableOperation describes an operation to a fault function.
type TableOperation struct {
	From  string // name given to Direct, or remote address
	Write bool
	Keys  []string // keys of conditions and writes, or keys and prefixes read
}

// TableCounts holds the operation counts of a table since its start.
type TableCounts struct {
	Reads        int64
	RowsRead     int64
	Transactions int64 // that took effect
	Conflicts    int64
	RowWrites    int64 // by transactions that took effect
}

// Table is a stand-in of the table service. The zero value is an empty table.
type Table struct {
	// Fault, if set, returns the fault of each operation. It may be called concurrently.
	Fault func(TableOperation) TableFault

	mu       sync.Mutex
	rows     map[string]tableRow
	sequence uint64
	counts   TableCounts
}

// tableRow is a row. Deleted rows are kept, so that reads since a sequence report them.
type tableRow struct {
	version uint64 // the table sequence of the write
	deleted bool
	value   []byte
}

// TableState is a saved state of a table, for Restore.
type TableState struct {
	rows     map[string]tableRow
	sequence uint64
}

// The errors of an operation hit by a fault.
var (
	errDown = errors.New("standin: table is down")
	errLost = errors.New("standin: answer lost")
)

// Counts returns the counts so far.
func (t *Table) Counts() TableCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// Save returns a copy of the state.
func (t *Table) Save() TableState {
	t.mu.Lock()
	defer t.mu.Unlock()
	return TableState{rows: cloneRows(t.rows), sequence: t.sequence}
}

// Restore replaces the state by a saved one. Later writes reuse sequence numbers.
func (t *Table) Restore(s TableState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows = cloneRows(s.rows)
	t.sequence = s.sequence
}

func cloneRows(m map[string]tableRow) map[string]tableRow {
	c := make(map[string]tableRow, len(m))
	for k, r := range m {
		c[k] = r
	}
	return c
}

// Direct returns a client that calls t without a connection. The fault function gets
// from as the name of the caller.
func (t *Table) Direct(from string) store.Table {
	return store.Table{
		Transact: func(ctx context.Context, x store.Tx) (uint64, error) {
			return t.transactWithFault(ctx, from, x)
		},
		Read: func(ctx context.Context, q store.Query) (store.Result, error) {
			return t.readWithFault(ctx, from, q)
		},
	}
}

func (t *Table) faultFor(from string, write bool, keys []string) TableFault {
	if t.Fault == nil {
		return TableFault{}
	}
	return t.Fault(TableOperation{From: from, Write: write, Keys: keys})
}

func (t *Table) transactWithFault(ctx context.Context, from string, x store.Tx) (uint64, error) {
	f := t.faultFor(from, true, keysOf(x))
	if err := f.before(ctx); err != nil {
		return 0, err
	}
	n, err := t.transact(x)
	if err := f.after(ctx); err != nil {
		return 0, err
	}
	return n, err
}

func (t *Table) readWithFault(ctx context.Context, from string, q store.Query) (store.Result, error) {
	f := t.faultFor(from, false, slices.Concat(q.Keys, q.Prefixes))
	if err := f.before(ctx); err != nil {
		return store.Result{}, err
	}
	r := t.read(q)
	if err := f.after(ctx); err != nil {
		return store.Result{}, err
	}
	return r, nil
}

// before applies the part of a fault that precedes the effect of the operation.
func (f TableFault) before(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return &store.UnsentError{Cause: err}
	}
	if f.Down {
		return &store.UnsentError{Cause: errDown}
	}
	if f.Silent {
		<-ctx.Done()
		return ctx.Err()
	}
	if f.Delay <= 0 {
		return nil
	}
	c := time.NewTimer(f.Delay)
	defer c.Stop()
	select {
	case <-c.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// after applies the part of a fault that follows the effect of the operation.
func (f TableFault) after(ctx context.Context) error {
	if f.LoseSilent {
		<-ctx.Done()
		return ctx.Err()
	}
	if f.LoseResponse {
		return errLost
	}
	return nil
}

func keysOf(x store.Tx) []string {
	k := make([]string, 0, len(x.Conditions)+len(x.Writes))
	for _, c := range x.Conditions {
		k = append(k, c.Key)
	}
	for _, w := range x.Writes {
		k = append(k, w.Key)
	}
	return k
}

func (t *Table) transact(x store.Tx) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var failed []string
	for _, c := range x.Conditions {
		if t.versionOf(c.Key) != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if failed != nil {
		t.counts.Conflicts++
		return 0, &store.ConflictError{Keys: failed}
	}
	t.sequence++
	t.counts.Transactions++
	t.counts.RowWrites += int64(len(x.Writes))
	if t.rows == nil {
		t.rows = map[string]tableRow{}
	}
	for _, w := range x.Writes {
		t.rows[w.Key] = tableRow{version: t.sequence, deleted: w.Delete, value: slices.Clone(w.Value)}
	}
	return t.sequence, nil
}

func (t *Table) versionOf(key string) uint64 {
	r := t.rows[key]
	if r.deleted {
		return 0
	}
	return r.version
}

func (t *Table) read(q store.Query) store.Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := store.Result{Sequence: t.sequence}
	seen := map[string]bool{}
	add := func(k string, r tableRow) {
		if seen[k] {
			return
		}
		seen[k] = true
		if r.deleted {
			r = tableRow{}
		}
		s.Rows = append(s.Rows, store.Row{Key: k, Version: r.version, Value: slices.Clone(r.value)})
	}
	for _, k := range q.Keys {
		add(k, t.rows[k])
	}
	n := len(s.Rows)
	if len(q.Prefixes) > 0 {
		t.addPrefixes(q, add)
	}
	slices.SortFunc(s.Rows[n:], func(a, b store.Row) int { return cmp.Compare(a.Key, b.Key) })
	t.counts.Reads++
	t.counts.RowsRead += int64(len(s.Rows))
	return s
}

func (t *Table) addPrefixes(q store.Query, add func(string, tableRow)) {
	for k, r := range t.rows {
		if r.version <= q.Since || r.deleted && q.Since == 0 {
			continue
		}
		if slices.ContainsFunc(q.Prefixes, func(p string) bool { return strings.HasPrefix(k, p) }) {
			add(k, r)
		}
	}
}
