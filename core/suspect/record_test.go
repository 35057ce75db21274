package suspect

import (
	"reflect"
	"testing"
	"time"
)

// recordedCounter returns a counter with a culprit that three crashes show, one that it has adopted, and a crash of
// sound requests, and its clock.
func recordedCounter() (*Counter, *time.Time) {
	now := time.Unix(1e9, 0)
	c := &Counter{Now: func() time.Time { return now }, Domain: func(string) string { return "a" }}
	for _, s := range []string{"s1", "s2", "s3"} {
		c.ObserveCrash(s, []Request{{Fingerprint: 7}})
		now = now.Add(4 * time.Second)
	}
	c.ObserveCrash("s4", []Request{{Fingerprint: 8, Segments: []uint64{1, 2}}, {Fingerprint: 9, Segments: []uint64{2, 3}}})
	c.Adopt("n", []Notice{{Culprit: Culprit{Segments: []uint64{5}, Crashes: 4}, CrashedAt: now, RenewedAt: now, Trials: 1}})
	return c, &now
}

// A node that starts with the record knows what the one that wrote it knew, and counts on from there.
func TestRecord(t *testing.T) {
	c, now := recordedCounter()
	r, _ := c.Record()
	n := &Counter{Now: c.Now}
	if added := n.Restore("store", r); added != 4 {
		t.Errorf("%d crashes added, want 4", added)
	}
	for _, q := range []Request{{Fingerprint: 7}, {Fingerprint: 1, Segments: []uint64{5}}} {
		if _, ok := n.IsPoison(q); !ok {
			t.Errorf("%+v is no culprit for the next node", q)
		}
	}
	for range 2 { // with that of s4 the third one
		*now = now.Add(4 * time.Second)
		n.ObserveCrash("s5"+now.String(), []Request{{Fingerprint: 8}})
	}
	if _, ok := n.IsPoison(Request{Fingerprint: 8}); !ok {
		t.Error("crashes before and after the restart do not add up")
	}
	if added := n.Restore("store", r); added != 0 {
		t.Errorf("%d crashes added from the same record", added)
	}
	if got, _ := c.Record(); !reflect.DeepEqual(got.Crashes, r.Crashes) {
		t.Errorf("got %+v, want %+v", got.Crashes, r.Crashes)
	}
}

// A record lacks what a node has learned since, and nothing that a response has cleared.
func TestLacks(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(*Counter)
		want bool
	}{
		{"nothing", func(*Counter) {}, false},
		{"a crash", func(c *Counter) { c.ObserveCrash("s5", []Request{{Fingerprint: 1}}) }, true},
		{"a request in a crash", func(c *Counter) { c.ObserveCrash("s4", []Request{{Fingerprint: 1}}) }, true},
		{"a request that it has", func(c *Counter) { c.ObserveCrash("s4", []Request{{Fingerprint: 9}}) }, false},
		{"a cleared request", func(c *Counter) { c.ObserveSuccess(Request{Fingerprint: 8, Segments: []uint64{1, 2}}) }, false},
		{"a culprit of another node", func(c *Counter) {
			c.Adopt("n", []Notice{{Culprit: Culprit{Fingerprint: 1, Crashes: 3}, CrashedAt: c.Now(), RenewedAt: c.Now()}})
		}, true},
	} {
		x, _ := recordedCounter()
		r, before := x.Record()
		c.do(x)
		if got := x.Lacks(r); got != c.want {
			t.Errorf("%s: lacks %v, want %v", c.name, got, c.want)
		}
		if v := x.Revision(); c.want && v.Learned == before.Learned {
			t.Errorf("%s: no new revision", c.name)
		}
	}
}

// Guards against a record that blames sound requests: one that is older than their response does not undo it.
func TestRestoreKeepsCleared(t *testing.T) {
	c, now := recordedCounter()
	r, v := c.Record()
	*now = now.Add(time.Second)
	c.ObserveSuccess(Request{Fingerprint: 7})
	c.ObserveResponse(Request{Segments: []uint64{2, 5}})
	if c.Revision() == v {
		t.Error("no new revision")
	}
	if added := c.Restore("store", r); added != 0 {
		t.Errorf("%d crashes of the older record were added", added)
	}
	for _, q := range []Request{{Fingerprint: 7}, {Fingerprint: 1, Segments: []uint64{5}}} {
		if k, ok := c.IsPoison(q); ok {
			t.Errorf("%+v is refused for %+v again", q, k)
		}
	}
	if after, _ := c.Record(); len(after.Crashes) != 1 || len(after.Crashes[0].Requests) != 2 {
		t.Errorf("got crashes %+v, want that of s4", after.Crashes)
	}
}

// What is in a record may be anything: times to come, expired crashes, crashes of nothing.
func TestRestoreOddRecord(t *testing.T) {
	now := time.Unix(1e9, 0)
	c := Counter{Now: func() time.Time { return now }}
	q := []Request{{Fingerprint: 1}}
	later, old := now.Add(time.Second), now.Add(-countedFor-time.Second)
	added := c.Restore("store", Record{
		Crashes: []RecordedCrash{{Server: "s", At: later, Requests: q}, {Server: "s", At: old, UsedAt: old, Requests: q}, {Server: "s", At: now}, {}},
		Notices: []Notice{{}, {Culprit: Culprit{Fingerprint: 1, Crashes: 3}, CrashedAt: later, RenewedAt: later}},
	})
	if _, ok := c.IsPoison(q[0]); ok || added != 0 {
		t.Errorf("%d crashes added, refused %v, want nothing", added, ok)
	}
}

// A record is bounded; crashes of culprits are kept first.
func TestRecordIsBounded(t *testing.T) {
	c, now := recordedCounter()
	for i := range 100 {
		*now = now.Add(4 * time.Second)
		var l []Request
		for j := range 70 {
			l = append(l, Request{Fingerprint: uint64(1000 + 100*i + j)})
		}
		c.ObserveCrash(now.String(), l)
	}
	r, _ := c.Record()
	n := 0
	for _, x := range r.Crashes {
		n += len(x.Requests)
	}
	if n > maxRecorded || n < maxRecorded-70 {
		t.Errorf("%d requests, want %d at most, and about that", n, maxRecorded)
	}
	next := Counter{Now: c.Now}
	next.Restore("store", r)
	if _, ok := next.IsPoison(Request{Fingerprint: 7}); !ok {
		t.Error("the culprit is not in the record")
	}
}
