package peer

// This file carries the tables of the platform's store from node to node. Times travel as ages, as
// the clocks of nodes differ.

import (
	"context"
	"time"

	"bergamotspring/core/fanout"
	"bergamotspring/core/replica"
	"bergamotspring/core/store"
	"bergamotspring/schema/wire"
)

// TableVersion says which version of a table a node has.
type TableVersion struct {
	Table       string
	Era         uint64 // of the version
	Version     uint64
	ConfirmedAt time.Time // by the store; zero: never
}

// TablesQuery requests tables that are newer than those that the requester has.
type TablesQuery struct {
	Have []TableVersion
	// Changes says that the requester takes changes in place of whole tables. Without it, the
	// response holds whole tables, and only those that are newer.
	Changes bool
	// Wait is how long the response may be delayed until there are newer tables.
	Wait time.Duration
}

// Tables is the response to a TablesQuery.
type Tables struct {
	Reader string // peer address of the node that read the tables from the store, empty: unknown
	// RegainedAt is when the store responded again after its last outage, zero if there was
	// none of late.
	RegainedAt time.Time
	// Failures are those of nodes' own calls of the store, of late.
	Failures []fanout.Failure
	Tables   []TableChanges
}

// TableChanges holds the changes of one table.
type TableChanges struct {
	Table string
	replica.Changes
}

// FetchTables queries the node at an address for tables.
func (m *Mesh) FetchTables(ctx context.Context, to string, q TablesQuery) (Tables, error) {
	var w wire.Mirror
	if err := m.Call(ctx, to, TypeMirrorAsk, wireTablesQuery(q, time.Now()), TypeMirror, &w); err != nil {
		return Tables{}, err
	}
	return tablesOf(w, time.Now()), nil
}

// wireAge returns the age of a time in microseconds, 0 for the zero time and 1 at least for others.
func wireAge(t, now time.Time) int {
	if t.IsZero() {
		return 0
	}
	return max(1, micros(now.Sub(t)))
}

func timeOf(age int, now time.Time) time.Time {
	if age <= 0 {
		return time.Time{}
	}
	return now.Add(-duration(age))
}

func wireTablesQuery(q TablesQuery, now time.Time) *wire.MirrorAsk {
	return &wire.MirrorAsk{Changes: q.Changes, Wait: micros(q.Wait), Tables: each(q.Have, func(v TableVersion) wire.MirrorHave {
		return wire.MirrorHave{Table: v.Table, Era: int(v.Era), Version: int(v.Version), Age: wireAge(v.ConfirmedAt, now)}
	})}
}

func tablesQueryOf(w wire.MirrorAsk, now time.Time) TablesQuery {
	return TablesQuery{Changes: w.Changes, Wait: duration(w.Wait), Have: each(w.Tables, func(v wire.MirrorHave) TableVersion {
		return TableVersion{Table: v.Table, Era: uint64(v.Era), Version: uint64(v.Version), ConfirmedAt: timeOf(v.Age, now)}
	})}
}

func wireTables(t Tables, now time.Time) *wire.Mirror {
	failed := each(t.Failures, func(f fanout.Failure) wire.MirrorFailed {
		return wire.MirrorFailed{Peer: f.Peer, Age: wireAge(f.At, now)}
	})
	return &wire.Mirror{Reader: t.Reader, Regained: wireAge(t.RegainedAt, now), Failed: failed, Tables: each(t.Tables, func(c TableChanges) wire.MirrorTable {
		return wire.MirrorTable{
			Table: c.Table, Era: int(c.Era), Since: int(c.Since), Version: int(c.Version), Age: wireAge(c.ConfirmedAt, now), Sum: int(c.Sum), Removed: c.Removed,
			Rows: each(c.Rows, func(r replica.Row) wire.MirrorRow {
				return wire.MirrorRow{Key: r.Key, Version: int(r.Version), Value: string(r.Value), Age: wireAge(r.ReadAt, now)}
			}),
		}
	})}
}

func tablesOf(w wire.Mirror, now time.Time) Tables {
	failures := each(w.Failed, func(f wire.MirrorFailed) fanout.Failure { return fanout.Failure{Peer: f.Peer, At: timeOf(f.Age, now)} })
	return Tables{Reader: w.Reader, RegainedAt: timeOf(w.Regained, now), Failures: failures, Tables: each(w.Tables, func(c wire.MirrorTable) TableChanges {
		return TableChanges{Table: c.Table, Changes: replica.Changes{
			Era: uint64(c.Era), Since: uint64(c.Since), Version: uint64(c.Version), ConfirmedAt: timeOf(c.Age, now), Sum: uint64(c.Sum), Removed: c.Removed,
			Rows: each(c.Rows, func(r wire.MirrorRow) replica.Row {
				return replica.Row{Row: store.Row{Key: r.Key, Version: uint64(r.Version), Value: []byte(r.Value)}, ReadAt: timeOf(r.Age, now)}
			}),
		}}
	})}
}
