package claim

import (
	"bytes"
	"testing"

	"bergamotspring/core/store"
)

func row(r Row) store.Row { return store.Row{Key: "claim/o/k", Version: 3, Value: Encode(r)} }

// Guards against a second run of a call, and against a retry whose verdict is neither
// the recorded response nor that the outcome is unknown.
func TestDecide(t *testing.T) {
	q := Request{Key: "claim/o/k", Body: 7, Token: "mine", Node: "n"}
	other := Row{Body: 7, Token: "other", State: Claimed}
	done := Row{Body: 7, Token: "other", State: Done, Status: 201, Response: []byte("a")}
	large := Row{Body: 7, Token: "other", State: Done, Status: 201, Dropped: true}
	tests := []struct {
		name string
		row  store.Row
		want Step
	}{
		{"absent", store.Row{}, Step{Acquire: true}},
		{"own after a lost response", row(Row{Body: 7, Token: "mine", State: Claimed}),
			Step{Verdict: Verdict{Kind: Run, Ticket: Ticket{Key: q.Key, Body: 7, Token: "mine"}}}},
		{"claimed by another", row(other), Step{}},
		{"other body", row(Row{Body: 8, Token: "other", State: Claimed}), Step{Verdict: Verdict{Kind: Conflict}}},
		{"other body, done", row(Row{Body: 8, State: Done}), Step{Verdict: Verdict{Kind: Conflict}}},
		{"done", row(done), Step{Verdict: Verdict{Kind: Recorded, Status: 201, Response: []byte("a")}}},
		{"done, response too large", row(large), Step{Verdict: Verdict{Ended: true}}},
		{"own, done", row(Row{Body: 7, Token: "mine", State: Done}), Step{Verdict: Verdict{Kind: Recorded}}},
		{"not run", row(Row{Body: 7, Token: "other", State: FailedNotRun}), Step{Acquire: true, Version: 3}},
		{"state of a later version", row(Row{Body: 7, Token: "mine", State: 9}), Step{}},
		{"unreadable", store.Row{Version: 3, Value: []byte{0xc1}}, Step{}},
		{"empty", store.Row{Version: 3}, Step{}},
	}
	for _, c := range tests {
		got := Decide(q, c.row)
		same := got.Acquire == c.want.Acquire && got.Version == c.want.Version &&
			got.Verdict.Kind == c.want.Verdict.Kind && got.Verdict.Ticket == c.want.Verdict.Ticket &&
			got.Verdict.Status == c.want.Verdict.Status && got.Verdict.Ended == c.want.Verdict.Ended &&
			bytes.Equal(got.Verdict.Response, c.want.Verdict.Response)
		if !same {
			t.Errorf("%s: got %+v, want %+v", c.name, got, c.want)
		}
	}
}

// Guards against releasing the claim of another attempt, and against a claim whose
// write takes effect late and blocks its key.
func TestNeedsRelease(t *testing.T) {
	k := Ticket{Key: "claim/o/k", Body: 7, Token: "mine"}
	tests := []struct {
		name         string
		row          store.Row
		sure, unsure bool
	}{
		{"absent", store.Row{}, false, true},
		{"own", row(Row{Token: "mine", State: Claimed}), true, true},
		{"other's", row(Row{Token: "other", State: Claimed}), false, false},
		{"own, done", row(Row{Token: "mine", State: Done}), false, false},
		{"own, released", row(Row{Token: "mine", State: FailedNotRun}), false, false},
		{"other's, released", row(Row{Token: "other", State: FailedNotRun}), false, true},
		{"unreadable", store.Row{Version: 3}, false, false},
	}
	for _, c := range tests {
		if got := NeedsRelease(k, false, c.row); got != c.sure {
			t.Errorf("%s: got %v, want %v", c.name, got, c.sure)
		}
		if got := NeedsRelease(k, true, c.row); got != c.unsure {
			t.Errorf("%s, uncertain: got %v, want %v", c.name, got, c.unsure)
		}
	}
}

// Guards against two pairs of names that share a row, which would let one
// organisation read or block the claims of another.
func TestKeyIsUnique(t *testing.T) {
	seen := map[string][2]string{}
	names := []string{"", "a", "a/b", "b", "/", "%2F", "%", "a%2Fb", "%25"}
	for _, o := range names {
		for _, k := range names {
			r := Key(o, k)
			if p, ok := seen[r]; ok {
				t.Errorf("%q and %q share row %q", p, [2]string{o, k}, r)
			}
			seen[r] = [2]string{o, k}
		}
	}
}

// Guards against an unreadable row that makes a node panic or permits a call to run.
func FuzzDecode(f *testing.F) {
	f.Add(Encode(Row{Body: 7, Token: "t", Node: "n", State: Done, Status: 200, Response: []byte("a")}))
	f.Add(Encode(Row{State: FailedNotRun}))
	f.Add([]byte{0x98, 1})
	f.Add([]byte{0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		s := Decide(Request{}, store.Row{Version: 1, Value: b})
		if _, err := Decode(b); err != nil && (s.Acquire || s.Verdict.Kind == Run) {
			t.Errorf("unreadable row: got %+v", s)
		}
	})
}
