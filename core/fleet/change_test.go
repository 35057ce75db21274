package fleet_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/schema"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func loadExample(t testing.TB) *fleet.Declaration {
	t.Helper()
	b, err := os.ReadFile("../../examples/logwerk.json")
	if err != nil {
		t.Fatal(err)
	}
	d, err := schema.Decode("logwerk.json", b)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

var now = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// Guards against a change that is missing from the text for operators, and against an
// output order that depends on map iteration.
func TestDiffText(t *testing.T) {
	a, b := loadExample(t), loadExample(t)
	b.Defaults.RetryShare = 0
	b.Pools[0].Limit, b.Pools[0].ChecksFencing = 24, false
	b.Servers = b.Servers[1:]
	b.Servers[0].Address = "10.20.2.99:8000"
	b.Servers[3], b.Servers[4] = b.Servers[4], b.Servers[3]
	b.Pipelines[1].Stages = b.Pipelines[1].Stages[1:]
	b.Services[0].Operations[2].Repeatable = true
	b.Links = append(b.Links[:1], fleet.Link{From: "franken", To: "new", BytesPerSecond: 1})
	b.Organisations = append(b.Organisations, fleet.Organisation{Name: "new"})
	b = b.WithTakenOut(fleet.TargetDomain, "muc-a", "switch replaced", now)
	var l []string
	for _, c := range fleet.Diff(a, b) {
		l = append(l, c.String())
	}
	l = append(l, "", "capacity:")
	for _, c := range fleet.Capacity(a, b) {
		l = append(l, fmt.Sprintf("%s %s %d -> %d, %.2f, %d servers", c.Pool, c.Region, c.Before, c.After, c.Share(), c.Servers))
	}
	got := strings.Join(l, "\n") + "\n"
	const g = "testdata/diff.golden"
	if *update {
		if err := os.WriteFile(g, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(g)
	if err != nil || got != string(want) {
		t.Errorf("got:\n%s\nwant:\n%s\n%v", got, want, err)
	}
	if got := fleet.Diff(a, loadExample(t)); len(got) != 0 {
		t.Errorf("equal declarations differ: %v", got)
	}
}

// Guards against an old or ineffective exception missing from the review, and against
// a recent, effective one listed in it.
func TestReview(t *testing.T) {
	d := loadExample(t)
	day := 24 * time.Hour
	add := func(k fleet.Target, n string, limit, weight int, age time.Duration) {
		d.Exceptions = append(d.Exceptions, fleet.Exception{Target: k, Name: n, Limit: limit, Weight: weight, Reason: "r", Since: now.Add(-age)})
	}
	add(fleet.TargetPool, "logbook", 8, 0, 30*day)
	add(fleet.TargetServer, "logbook-1", 16, 0, 30*day-time.Second)
	add(fleet.TargetServer, "logbook-2", 8, 0, 0)
	add(fleet.TargetPool, "trackable", 16, 0, 0)
	add(fleet.TargetOrganisation, "isar-cacher", 0, 4, 40*day)
	add(fleet.TargetOrganisation, "frankendosen", 0, 2, 0)
	want := []string{
		"logbook: in force for 30 days",
		"logbook-2: changes nothing: the server has this limit without it",
		"trackable: changes nothing: the pool declares this limit",
		"isar-cacher: in force for 40 days",
		"isar-cacher: changes nothing: the organisation declares this weight",
	}
	var got []string
	for _, n := range fleet.Review(d, now) {
		got = append(got, n.Exception.Name+": "+n.Reason)
	}
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("got %q, want %q", got, want)
	}
}

// Guards against WithBroughtBack dropping another override of the same target, and
// against taking out and bringing back that does not restore the declaration.
func TestTakenOutAndBroughtBack(t *testing.T) {
	d := loadExample(t)
	d.Exceptions = []fleet.Exception{{Target: fleet.TargetServer, Name: "logbook-1", Limit: 8, Reason: "slow disk", Since: now}}
	e := d.WithTakenOut(fleet.TargetServer, "logbook-1", "disk replaced", now).WithTakenOut(fleet.TargetDomain, "nue-a", "power", now)
	if err := e.Validate(); err != nil {
		t.Fatal(err)
	}
	w := fleet.NewView(e, 1)
	if !w.ServerOut(w.Servers["logbook-1"]) || !w.ServerOut(w.Servers["logbook-3"]) || len(d.Exceptions) != 1 {
		t.Errorf("exceptions %+v, before %+v", e.Exceptions, d.Exceptions)
	}
	f := e.WithBroughtBack(fleet.TargetServer, "logbook-1").WithBroughtBack(fleet.TargetDomain, "nue-a")
	if got := f.Exceptions; len(got) != 1 || got[0].Out || got[0].Limit != 8 {
		t.Errorf("got %+v, want only the limit override", got)
	}
}

func ExampleCapacityWithout() {
	d := &fleet.Declaration{
		Regions: []fleet.Region{{Name: "oberbayern"}},
		Domains: []fleet.FailureDomain{{Name: "muc-a", Region: "oberbayern"}, {Name: "muc-b", Region: "oberbayern"}},
		Pools:   []fleet.Pool{{Name: "logbook", Limit: 16}},
		Servers: []fleet.BackendServer{
			{Name: "a1", Pool: "logbook", Domain: "muc-a"}, {Name: "a2", Pool: "logbook", Domain: "muc-a"},
			{Name: "b1", Pool: "logbook", Domain: "muc-b"},
		},
	}
	c := fleet.CapacityWithout(d, "muc-a")[0]
	fmt.Printf("%s: %d of %d calls in flight (%.0f%%)\n", c.Pool, c.After, c.Before, 100*c.Share())
	// Output: logbook: 16 of 48 calls in flight (33%)
}
