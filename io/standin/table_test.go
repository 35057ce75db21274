package standin

import (
	"fmt"
	"testing"

	"bergamotspring/core/store"
)

// Guards against errors of the stand-in that would hide faults of the nodes: reused
// versions, deletions missing from a read since a sequence, and transactions that take
// effect in part.
func TestTable(t *testing.T) {
	b := &Table{}
	s := b.Direct("t")
	put := func(key string, v uint64, del bool) error {
		_, err := s.Transact(t.Context(), store.Tx{
			Conditions: []store.Condition{{Key: key, Version: v}},
			Writes:     []store.Write{{Key: key, Value: []byte("x"), Delete: del}, {Key: "other" + key}},
		})
		return err
	}
	steps := []struct {
		key  string
		at   uint64
		del  bool
		fail bool
	}{
		{"a/1", 0, false, false}, {"a/1", 0, false, true}, {"a/2", 0, false, false},
		{"a/1", 1, true, false}, {"a/1", 1, false, true}, {"a/1", 0, false, false},
		{"a/1", 1, false, true}, {"a/2", 2, true, false},
	}
	for i, c := range steps {
		if err := put(c.key, c.at, c.del); (err != nil) != c.fail {
			t.Errorf("step %d: got %v", i, err)
		}
	}
	tests := []struct {
		query store.Query
		want  string
	}{
		{store.Query{Prefixes: []string{"a/"}}, "5 [a/1=4]"},
		{store.Query{Prefixes: []string{"a/"}, Since: 3}, "5 [a/1=4 a/2=0]"},
		{store.Query{Prefixes: []string{"a/"}, Since: 5}, "5 []"},
		{store.Query{Keys: []string{"c", "a/1", "a/1"}, Since: 9}, "5 [c=0 a/1=4]"},
	}
	for _, c := range tests {
		r, err := s.Read(t.Context(), c.query)
		l := []string{}
		for _, x := range r.Rows {
			l = append(l, fmt.Sprintf("%s=%d", x.Key, x.Version))
		}
		if got := fmt.Sprint(r.Sequence, " ", l); got != c.want || err != nil {
			t.Errorf("%+v: got %s, %v, want %s", c.query, got, err, c.want)
		}
	}
	if got, want := b.Counts(), (TableCounts{Reads: 4, RowsRead: 5, Transactions: 5, Conflicts: 3, RowWrites: 10}); got != want {
		t.Errorf("counts: got %+v, want %+v", got, want)
	}
}
