package record

import (
	"testing"
	"time"
)

func at(ms int) time.Time { return time.UnixMilli(int64(ms)) }

var rules = Rules{
	MaxColdCalls:  map[string]int{"s1": 1},
	ColdNotice:    time.Second,
	OutWithin:     5 * time.Second,
	InForceWithin: 5 * time.Second,
	Nodes:         []string{"n1"},
	EndSlack:      250 * time.Millisecond,
}

// good is a record without violations.
var good = []Event{
	{At: at(0), Actor: "operator", Kind: ConfigAccepted, Version: 2},
	{At: at(1), Actor: "n1", Kind: ConfigInstalled, Version: 2},
	{At: at(1), Actor: "n1", Kind: LeaseGained, Group: "g"},
	{At: at(2), Actor: "s1", Kind: ServerCold, Server: "s1"},
	{At: at(3), Actor: "c", Kind: RequestSent, Request: "r1", Limit: time.Second},
	{At: at(4), Actor: "s1", Kind: CallStarted, Request: "r1", Server: "s1", Domain: "d1", Key: "o/k"},
	{At: at(5), Actor: "s1", Kind: CallEnded, Request: "r1", Server: "s1"},
	{At: at(6), Actor: "c", Kind: ResponseRead, Request: "r1", ResponseTo: "r1", Outcome: "ok"},
	{At: at(7), Actor: "n1", Kind: LeaseLost, Group: "g"},
	{At: at(8), Actor: "n2", Kind: LeaseGained, Group: "g"},
	{At: at(9), Actor: "operator", Kind: DomainOut, Domain: "d1"},
	{At: at(9000), Actor: "operator", Kind: DomainIn, Domain: "d1"},
}

// Guards against a checker that misses a violation: each case adds events that violate
// exactly one rule.
func TestCheckFindsEachViolation(t *testing.T) {
	if got := Check(good, rules); len(got) != 0 {
		t.Fatalf("Check(good) = %v, want none", got)
	}
	start := Event{At: at(9100), Actor: "s1", Kind: CallStarted, Server: "s1", Domain: "d1", Request: "r2"}
	cases := map[string][]Event{
		"at_most_once":  {{At: at(9100), Kind: CallStarted, Server: "s2", Key: "o/k"}},
		"cold_start":    {start, start},
		"taken_out":     {{At: at(9100), Kind: DomainOut, Domain: "d2"}, {At: at(14101), Kind: CallStarted, Domain: "d2", Server: "s2"}},
		"version_falls": {{At: at(9100), Actor: "n1", Kind: ConfigInstalled, Version: 1}},
		"in_force":      {{At: at(9100), Kind: ConfigAccepted, Version: 3}, {At: at(14101), Actor: "n1", Kind: ConfigInstalled, Version: 3}},
		"answer":        {{At: at(9100), Kind: ResponseRead, Request: "r2", ResponseTo: "r1", Outcome: "ok"}},
		"true_refusal": {
			{At: at(9100), Kind: CallSent, Request: "n2", Call: "c2"},
			{At: at(9100), Actor: "s1", Kind: CallStarted, Server: "s1", Domain: "d1", Call: "c2"},
			{At: at(9101), Kind: RequestEnded, Request: "n2", Outcome: "shed"},
		},
		"ends":     {{At: at(9100), Kind: RequestSent, Request: "r3"}},
		"deadline": {{At: at(9100), Kind: RequestSent, Request: "r3", Limit: time.Second}, {At: at(10351), Kind: ResponseRead, Request: "r3", Outcome: "shed"}},
		"cut":      {{At: at(9100), Kind: RequestSent, Request: "r3"}, {At: at(9101), Kind: ResponseRead, Request: "r3", Outcome: LostConnection}},
		"one_home": {{At: at(9100), Actor: "n3", Kind: LeaseGained, Group: "g"}},
	}
	for want, more := range cases {
		e := append(append([]Event(nil), good...), more...)
		v := Check(e, rules)
		if len(v) != 1 || v[0].Rule != want {
			t.Errorf("case %s: got %v, want one violation of that rule", want, v)
		}
	}
}
