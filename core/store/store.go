// Package store defines rows and transactions of the platform's table service.
//
// Packages under core use these types to say what to read and write; io/tables sends the
// requests over HTTP. All shared state of the system is kept in such rows.
package store

import (
	"context"
	"fmt"
	"time"
)

// Row is one row of the table. Version increases with every write of the row;
// version 0 means that the row does not exist. Versions of different eras say nothing about each
// other.
type Row struct {
	Key     string
	Era     uint64 // in which it was read
	Version uint64
	Value   []byte
}

// Condition requires that a row has a version when the transaction commits.
type Condition struct {
	Key     string
	Version uint64
}

// Write sets or deletes one row.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Tx is a transaction: all writes take effect if all conditions hold, else none.
type Tx struct {
	Conditions []Condition
	Writes     []Write
}

// Query selects rows by key and by key prefix. Rows found by prefix are returned
// only if they were written after table sequence Since; deleted rows since then
// are returned with version 0.
type Query struct {
	Keys     []string
	Prefixes []string
	Since    uint64
}

// Result holds the rows of a Query and the table sequence of the read. A table
// that was restored from an older state returns a lower sequence, and a higher era if it states eras.
type Result struct {
	Rows     []Row
	Era      uint64 // number of the last restore, 0: none, or not stated
	Sequence uint64
	Now      time.Duration // by the table's own monotonic clock, 0: not told
}

// Table is a client of the table service. Errors are *ConflictError when a
// condition failed, *UnsentError when the request cannot have taken effect, and any other
// error when the effect is unknown and must be read back.
type Table struct {
	Transact func(ctx context.Context, t Tx) (sequence uint64, err error)
	Read     func(ctx context.Context, q Query) (Result, error)
}

// ConflictError names the keys whose conditions failed. Nothing took effect.
type ConflictError struct {
	Keys []string
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("table: conditions failed for %q", e.Keys)
}

// UnsentError reports a transaction that cannot have reached the table.
type UnsentError struct {
	Cause error
}

func (e *UnsentError) Error() string { return "table: not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Cause }
