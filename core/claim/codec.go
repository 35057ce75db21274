package claim

// This file encodes rows as a msgpack array that starts with the format version.

import (
	"bytes"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// formatVersion is the first element of an encoded row.
const formatVersion = 1

// fieldCount is the count of elements of an encoded row.
const fieldCount = 8

// FormatError reports a row that this version cannot read.
type FormatError struct {
	Cause string
}

func (e *FormatError) Error() string { return "claim: unreadable row: " + e.Cause }

// Encode returns the table value of r.
func Encode(r Row) []byte {
	var b bytes.Buffer
	e := msgpack.NewEncoder(&b)
	e.UseCompactInts(true)
	// Writes to a buffer do not fail.
	_ = e.EncodeArrayLen(fieldCount)
	_ = e.EncodeInt(formatVersion)
	_ = e.EncodeUint(r.Body)
	_ = e.EncodeString(r.Token)
	_ = e.EncodeString(r.Node)
	_ = e.EncodeInt(int64(r.State))
	_ = e.EncodeInt(int64(r.Status))
	_ = e.EncodeBytes(r.Response)
	_ = e.EncodeBool(r.Dropped)
	return b.Bytes()
}

// Decode reads the table value of a row. Its error is a *FormatError.
func Decode(v []byte) (Row, error) {
	d := msgpack.NewDecoder(bytes.NewReader(v))
	n, err := d.DecodeArrayLen()
	if err != nil {
		return Row{}, &FormatError{Cause: err.Error()}
	}
	f, err := d.DecodeInt()
	if err != nil || f != formatVersion || n != fieldCount {
		return Row{}, &FormatError{Cause: fmt.Sprintf("format %d with %d fields", f, n)}
	}
	r, err := decodeFields(d)
	if err != nil {
		return Row{}, &FormatError{Cause: err.Error()}
	}
	return r, nil
}

func decodeFields(d *msgpack.Decoder) (Row, error) {
	var r Row
	var s uint8
	err := d.DecodeMulti(&r.Body, &r.Token, &r.Node, &s, &r.Status, &r.Response, &r.Dropped)
	r.State = State(s)
	return r, err
}
