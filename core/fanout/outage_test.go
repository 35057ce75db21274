package fanout

import (
	"testing"
	"time"
)

// A response of the store ends an outage only if it responded to no node for some time, and if calls of
// this node or of two others failed since.
func TestEndOfOutage(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }
	for _, c := range []struct {
		name   string
		failed []Failure // after the store responded at 0
		end    int
		want   bool
	}{
		{"own failure", []Failure{{"self", at(1600)}}, 2000, true},
		{"failures of two others", []Failure{{"a", at(900)}, {"b", at(1500)}}, 2000, true},
		{"failures of one other", []Failure{{"a", at(900)}, {"a", at(1500)}}, 2000, false},
		{"loss of the reader", nil, 6000, false},
		{"earlier failures", []Failure{{"self", at(-500)}, {"a", at(-100)}, {"b", at(-200)}}, 2000, false},
		{"short", []Failure{{"self", at(900)}}, 1400, false},
	} {
		o := Outages{Self: "self"}
		o.OnResponse(at(0))
		for _, f := range c.failed {
			o.OnFailure(f)
		}
		if got := o.EndsWith(at(c.end)); got != c.want {
			t.Errorf("%s: got end of an outage %v, want %v", c.name, got, c.want)
		}
		if got, want := o.IsUnclear(at(c.end)), !c.want && c.end >= 1500; got != want {
			t.Errorf("%s: got unclear %v, want %v", c.name, got, want)
		}
	}
}

// A node that was without the store alone reports the end of an outage: the others do not take it up, as
// the store responded to them.
func TestAdmits(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }
	for _, c := range []struct {
		responses []int // ms
		end       int
		want      bool
	}{
		{nil, 3000, true},
		{[]int{0}, 3000, true},
		{[]int{0}, 1000, false},
		{[]int{0, 1000, 2000, 3100}, 3000, false},
		{[]int{0, 3000}, 3000, true},
		{[]int{0, 3000, 4000}, 3050, true},
		{[]int{0, 3000, 4000}, 3500, false},
	} {
		var o Outages
		for _, ms := range c.responses {
			o.OnResponse(at(ms))
		}
		if got := o.Admits(at(c.end)); got != c.want {
			t.Errorf("responses at %v, end at %v: got %v, want %v", c.responses, c.end, got, c.want)
		}
	}
}
