package member

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"time"

	"bergamotspring/core/store"
)

// Table keys of the configuration.
const (
	HeadKey       = "config/head"
	HistoryPrefix = "config/history/"
	ApplyPrefix   = "config/apply/"
)

// Head is the content of row config/head and of the history rows.
type Head struct {
	Version uint64
	ApplyID string
	Author  string    // node that accepted the change
	Reason  string    // given by the operator
	At      time.Time // when it was accepted, to the second
	Payload []byte    // declaration, opaque here
}

// headMagic opens every encoded head; its last byte is the version of the format.
const headMagic = "bsh\x01"

// maxField bounds the apply id, the author and the reason, in bytes.
const maxField = 1024

// EncodeHead returns the row value of h.
func EncodeHead(h Head) []byte {
	b := append([]byte(nil), headMagic...)
	b = binary.AppendUvarint(b, h.Version)
	b = binary.AppendVarint(b, h.At.Unix())
	for _, s := range []string{h.ApplyID, h.Author, h.Reason} {
		b = binary.AppendUvarint(b, uint64(len(s)))
		b = append(b, s...)
	}
	return append(b, h.Payload...)
}

var errHead = errors.New("not a configuration head of format 1")

// DecodeHead reads a row value. Payload refers to b. Its error is a *RowError.
func DecodeHead(b []byte) (Head, error) {
	bad := &RowError{Row: "config head", Cause: errHead}
	if len(b) < len(headMagic) || string(b[:len(headMagic)]) != headMagic {
		return Head{}, bad
	}
	b = b[len(headMagic):]
	v, n := binary.Uvarint(b)
	if n <= 0 || v == 0 {
		return Head{}, bad
	}
	h := Head{Version: v}
	b = b[n:]
	at, n := binary.Varint(b)
	if n <= 0 {
		return Head{}, bad
	}
	h.At = time.Unix(at, 0).UTC()
	b = b[n:]
	for _, p := range []*string{&h.ApplyID, &h.Author, &h.Reason} {
		l, n := binary.Uvarint(b)
		if n <= 0 || l > maxField || l > uint64(len(b)-n) {
			return Head{}, bad
		}
		*p = string(b[n : n+int(l)])
		b = b[n+int(l):]
	}
	h.Payload = b
	return h, nil
}

// HistoryKey returns the key under which version v is kept.
func HistoryKey(v uint64) string { return HistoryPrefix + strconv.FormatUint(v, 10) }

// Apply is one change of the configuration. ID makes retries idempotent.
type Apply struct {
	ID      string
	Author  string
	Reason  string
	At      time.Time
	Base    uint64 // version that the change was made from
	Payload []byte
}

// ConflictError reports an apply that conflicts with another: the version in force is
// not the one that the change was made from. Nothing was applied.
type ConflictError struct {
	Base    uint64
	Version uint64 // in force
	Author  string // of the version in force
	Payload []byte // in force, to show what differs
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("member: version %d by %q is in force, the change was made from %d", e.Version, e.Author, e.Base)
}

// RegressedError reports a table that responds with an older version than is known.
type RegressedError struct {
	Table, Known uint64
}

func (e *RegressedError) Error() string {
	return fmt.Sprintf("member: the table has regressed: it holds version %d, but version %d is in force", e.Table, e.Known)
}

// InvalidApplyError reports an apply that can never succeed.
type InvalidApplyError struct {
	Field string
}

func (e *InvalidApplyError) Error() string {
	return "member: apply: " + e.Field + " is empty or longer than " + strconv.Itoa(maxField) + " bytes"
}

// Keys returns the rows to read before Plan.
func (a Apply) Keys() []string { return []string{HeadKey, ApplyPrefix + a.ID} }

// Plan returns the transaction of the apply, given the rows of Keys and the highest
// version known here. done says that the apply has taken effect before, as version.
// Errors are *InvalidApplyError, *ConflictError, *RegressedError and *RowError.
func (a Apply) Plan(rows []store.Row, known uint64) (t store.Tx, version uint64, done bool, err error) {
	if a.ID == "" || len(a.ID) > maxField {
		return t, 0, false, &InvalidApplyError{Field: "id"}
	}
	if len(a.Author) > maxField {
		return t, 0, false, &InvalidApplyError{Field: "author"}
	}
	if len(a.Reason) > maxField {
		return t, 0, false, &InvalidApplyError{Field: "reason"}
	}
	head, row, applied, err := a.decodeRows(rows)
	if err != nil {
		return t, 0, false, err
	}
	if applied > 0 {
		return t, applied, true, nil
	}
	if head.Version < known {
		return t, 0, false, &RegressedError{Table: head.Version, Known: known}
	}
	if head.Version != a.Base {
		return t, 0, false, &ConflictError{Base: a.Base, Version: head.Version, Author: head.Author, Payload: head.Payload}
	}
	return a.transaction(row), a.Base + 1, false, nil
}

func (a Apply) decodeRows(rows []store.Row) (head Head, row, applied uint64, err error) {
	for _, r := range rows {
		switch {
		case r.Version == 0:
		case r.Key == HeadKey:
			row = r.Version
			head, err = DecodeHead(r.Value)
		case r.Key == ApplyPrefix+a.ID:
			applied, err = strconv.ParseUint(string(r.Value), 10, 64)
			if err != nil {
				err = &RowError{Row: "config apply", Cause: err}
			}
		}
		if err != nil {
			return Head{}, 0, 0, err
		}
	}
	return head, row, applied, nil
}

func (a Apply) transaction(row uint64) store.Tx {
	v := a.Base + 1
	b := EncodeHead(Head{Version: v, ApplyID: a.ID, Author: a.Author, Reason: a.Reason, At: a.At, Payload: a.Payload})
	return store.Tx{
		Conditions: []store.Condition{
			{Key: HeadKey, Version: row},
			{Key: ApplyPrefix + a.ID},
			{Key: HistoryKey(v)},
		},
		Writes: []store.Write{
			{Key: HeadKey, Value: b},
			{Key: HistoryKey(v), Value: b},
			{Key: ApplyPrefix + a.ID, Value: strconv.AppendUint(nil, v, 10)},
		},
	}
}
