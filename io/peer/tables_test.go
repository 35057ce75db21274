package peer

import (
	"reflect"
	"testing"
	"time"

	"bergamotspring/core/fanout"
	"bergamotspring/core/replica"
	"bergamotspring/core/store"
	"bergamotspring/schema/wire"
)

// Guards against a field of a query for tables, or of its response, that is lost or changed in a
// frame. Times are kept as ages, to a microsecond.
func TestTablesCodec(t *testing.T) {
	now := time.Unix(1000, 0)
	q := TablesQuery{Have: []TableVersion{{Table: "t", Version: 1<<63 + 1, ConfirmedAt: now.Add(-time.Second)}, {Table: "u"}}, Changes: true, Wait: time.Second}
	var wq wire.MirrorAsk
	throughFrame(t, TypeMirrorAsk, wireTablesQuery(q, now), &wq)
	if got := tablesQueryOf(wq, now); !reflect.DeepEqual(got, q) {
		t.Errorf("query: got %+v, want %+v", got, q)
	}
	r := Tables{Reader: "p:1", RegainedAt: now.Add(-time.Minute), Failures: []fanout.Failure{{Peer: "p:2", At: now.Add(-time.Second)}}, Tables: []TableChanges{{Table: "t", Changes: replica.Changes{
		Since: 3, Version: 8, ConfirmedAt: now.Add(-time.Millisecond), Sum: 1<<63 + 7, Removed: []string{"gone"},
		Rows: []replica.Row{{Row: store.Row{Key: "k", Version: 7, Value: []byte{0, 255}}, ReadAt: now.Add(-2 * time.Second)}},
	}}}}
	var wr wire.Mirror
	throughFrame(t, TypeMirror, wireTables(r, now), &wr)
	if got := tablesOf(wr, now); !reflect.DeepEqual(got, r) {
		t.Errorf("response: got %+v, want %+v", got, r)
	}
}
