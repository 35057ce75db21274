package peer

import (
	"math/rand/v2"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"bergamotspring/core/claim"
	"bergamotspring/core/lease"
	"bergamotspring/core/limit"
	"bergamotspring/core/member"
	"bergamotspring/schema/wire"
)

// fill sets every field below v to a random value that is not zero, except those at
// the paths in skip.
func fill(r *rand.Rand, v reflect.Value, path string, skip []string) {
	if slices.Contains(skip, path) {
		return
	}
	if v.Type() == reflect.TypeFor[time.Duration]() {
		v.SetInt(int64(1+r.IntN(1e9)) * int64(time.Microsecond))
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fill(r, v.Field(i), strings.TrimPrefix(path+"."+v.Type().Field(i).Name, "."), skip)
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fill(r, v.Index(0), path, skip)
		fill(r, v.Index(1), path, skip)
	case reflect.String:
		v.SetString(strconv.Itoa(1 + r.IntN(1e6)))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Uint8:
		v.SetUint(1 + r.Uint64N(5))
	case reflect.Uint64:
		v.SetUint(r.Uint64() | 1)
	default:
		v.SetInt(1 + r.Int64N(1e6))
	}
}

// roundTrip sends x through its wire type and returns what arrives.
func roundTrip[D, W any](t *testing.T, x D, to func(D) *W, from func(W) D) D {
	b, err := encode(TypeAsk, 7, to(x))
	if err != nil {
		t.Fatal(err)
	}
	m, err := parse(b.Bytes()[headerBytes:])
	if err != nil || m.seq != 7 {
		t.Fatalf("parse: got %v, %v", m, err)
	}
	var w W
	if err := decode(m.body, &w); err != nil {
		t.Fatal(err)
	}
	return from(w)
}

// check compares random values before and after a round trip. Fields at the paths in
// skip are zero in both.
func check[D, W any](t *testing.T, to func(D) *W, from func(W) D, skip ...string) {
	t.Helper()
	r := rand.New(rand.NewPCG(1, 1))
	for range 20 {
		var x D
		fill(r, reflect.ValueOf(&x).Elem(), "", skip)
		if got := roundTrip(t, x, to, from); !reflect.DeepEqual(got, x) {
			t.Errorf("got %+v, want %+v", got, x)
		}
	}
	var zero D
	if got := roundTrip(t, zero, to, from); !reflect.DeepEqual(got, zero) {
		t.Errorf("zero value: got %+v", got)
	}
}

// Guards against a field of a domain type that the codec omits.
func TestCodecs(t *testing.T) {
	h := lease.Instance{Node: "n", Incarnation: "1"}
	var request limit.Request
	var n numbering
	peerNames := func() *names { // as the peer receives them
		l := make([]string, len(n.numbers))
		for s, i := range n.numbers {
			l[i-1] = s
		}
		return &names{list: l}
	}
	check(t, func(a limit.Request) *wire.Ask { return wireRequest(a, &n) }, func(w wire.Ask) limit.Request {
		a := requestOf(w, h, peerNames())
		if a.Node != "n/1" {
			t.Errorf("requester: got %q", a.Node)
		}
		a.Node = ""
		return a
	}, "Node")
	check(t, func(p limit.Permit) *wire.Grant { return wireGrant(p, limit.Summary{}, &n) },
		func(w wire.Grant) limit.Permit { return permitOf(w, request, peerNames()) }, "RequestID", "Group")
	check(t, func(s limit.Summary) *wire.Refuse { return wireRefuse(&limit.RefusedError{}, s) },
		func(w wire.Refuse) limit.Summary { return summaryOf(w.Summary) })
	check(t, func(e limit.RefusedError) *wire.Refuse { return wireRefuse(&e, limit.Summary{}) },
		func(w wire.Refuse) limit.RefusedError { return *refusedOf(w, request.Group) }, "Group")
	check(t, func(r limit.Release) *wire.Release { w := wireRelease(r, &n); return &w },
		func(w wire.Release) limit.Release { return releaseOf(w, peerNames()) })
	check(t, wirePromiseRequest, promiseRequestOf)
	check(t, wirePromise, promiseOf)
	check(t, func(r lease.Record) *wire.Record { w := wireRecord(r); return &w }, recordOf)
	check(t, wireDigest, digestOf)
	check(t, wireClaim, claimOf)
	check(t, wireVerdict, func(w wire.ClaimVerdict) claim.Verdict { return verdictOf(w, claim.Request{}) }, "Ticket")
	check(t, func(n member.SuspectUpdate) *wire.Suspect { w := wireSuspectUpdate(n); return &w }, suspectUpdateOf)
	check(t, wireHeldReport, func(w wire.HeldReport) limit.HeldReport {
		r := heldReportOf(w, request.Group)
		for i := range r.Held {
			r.Held[i].Node = "" // that of the report
		}
		return r
	},
		"Held.Node", "Held.Permit.Group", "Held.Permit.SendBy", "Held.Permit.HoldUntil")
}

// Guards against a name that the peer decodes as another one: when numbers start over,
// when a message with new names is not queued, and when names are too long.
func TestNames(t *testing.T) {
	var n numbering
	var peer names
	var last int
	full := false
	enqueue := func(k Type, b *buffer) error {
		if full {
			return ErrFull
		}
		m, err := parse(b.Bytes()[headerBytes:])
		if err == nil && k == TypeNames {
			err = peer.add(m.body)
		}
		if err != nil {
			t.Fatalf("peer closes the link: %v", err)
		}
		return nil
	}
	r := rand.New(rand.NewPCG(1, 1))
	for range 50000 {
		s := strconv.Itoa(r.IntN(200000))
		full = r.IntN(15000) == 0
		if r.IntN(15000) == 0 {
			s = strings.Repeat("x", maxNameBytes+1)
		}
		err := sendNamed(&n, TypeWithdraw, 0, named(func(n *numbering) any {
			last = n.number(s)
			return &wire.Withdraw{Group: last}
		}), enqueue)
		if err == nil && (len(s) > maxNameBytes || peer.name(last) != s) {
			t.Fatalf("name %q: got %q", s, peer.name(last))
		}
	}
	if peer.err != nil || len(peer.list) > maxNames {
		t.Errorf("got %v and %d names, want none and at most %d", peer.err, len(peer.list), maxNames)
	}
	if peer.name(maxNames + 1); peer.err == nil {
		t.Error("number without a name: got no error")
	}
}
