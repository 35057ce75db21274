package fleet

import (
	"fmt"
	"strings"
	"time"
)

// ChangeKind is the kind of a difference between two declarations.
type ChangeKind string

// The kinds of change.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two declarations. Changed sets Field, Before and
// After; Added sets After and Removed sets Before to the content of the entry.
type Change struct {
	Kind    ChangeKind
	Section string // section of the document, such as "servers"
	Name    string // empty for "defaults" and for the name of the declaration
	Field   string
	Before  string
	After   string
}

// String returns the change as one line for operators.
func (c Change) String() string {
	n := strings.TrimSpace(c.Section + " " + c.Name)
	switch c.Kind {
	case Added:
		return "+ " + n + ": " + c.After
	case Removed:
		return "- " + n + ": " + c.Before
	}
	return fmt.Sprintf("~ %s: %s: %s -> %s", n, c.Field, orNone(c.Before), orNone(c.After))
}

func orNone(s string) string {
	if s == "" {
		return "(none)"
	}
	return s
}

// Diff returns the changes from a to b: added and changed entries in the order of b,
// then removed ones in the order of a. The order of entries in a section has no
// meaning and is not compared; the order of the stages of a pipeline is.
func Diff(a, b *Declaration) []Change {
	x, y := parts(a), parts(b)
	before := map[string]part{}
	for _, p := range x {
		before[p.key()] = p
	}
	after := map[string]part{}
	var l []Change
	for _, p := range y {
		after[p.key()] = p
		if q, ok := before[p.key()]; ok {
			l = append(l, q.compare(p)...)
			continue
		}
		l = append(l, Change{Kind: Added, Section: p.section, Name: p.name, After: p.text()})
	}
	for _, p := range x {
		if _, ok := after[p.key()]; !ok {
			l = append(l, Change{Kind: Removed, Section: p.section, Name: p.name, Before: p.text()})
		}
	}
	return l
}

// part is a named entry of a declaration with its fields as text.
type part struct {
	section, name string
	fields        []field
}

type field struct{ name, value string }

func (p part) key() string { return p.section + " " + p.name }

// text lists the fields with values other than zero.
func (p part) text() string {
	var l []string
	for _, f := range p.fields {
		if f.value != "" && f.value != "0" && f.value != "false" {
			l = append(l, f.name+"="+f.value)
		}
	}
	if len(l) == 0 {
		return "declared"
	}
	return strings.Join(l, " ")
}

// compare returns the fields that differ. Both entries must be of one section, so
// that they have the same fields.
func (p part) compare(q part) []Change {
	var l []Change
	for i, f := range p.fields {
		g := q.fields[i]
		if f.value != g.value {
			l = append(l, Change{Kind: Changed, Section: p.section, Name: p.name, Field: f.name, Before: f.value, After: g.value})
		}
	}
	return l
}

func numberText[N int | int64 | float64](n N) string { return fmt.Sprint(n) }

func boolText(b bool) string { return fmt.Sprint(b) }

func durationText(t time.Duration) string {
	if t == 0 {
		return ""
	}
	return t.String()
}

func parts(d *Declaration) []part {
	f := d.Defaults
	l := []part{
		{"name", "", []field{{"name", d.Name}}},
		{"defaults", "", []field{
			{"max_call", durationText(f.MaxCall)}, {"deadline", durationText(f.Deadline)},
			{"retry_share", numberText(f.RetryShare)}, {"weights_per_minute", numberText(f.WeightsPerMin)},
		}},
	}
	for _, r := range d.Regions {
		l = append(l, part{"regions", r.Name, nil})
	}
	for _, f := range d.Domains {
		l = append(l, part{"failure_domains", f.Name, []field{{"region", f.Region}}})
	}
	for _, k := range d.Links {
		l = append(l, part{"links", k.From + ">" + k.To, []field{{"bytes_per_second", numberText(k.BytesPerSecond)}}})
	}
	for _, p := range d.Pools {
		l = append(l, part{"pools", p.Name, poolFields(p)})
	}
	for _, s := range d.Servers {
		l = append(l, part{"servers", s.Name, []field{
			{"pool", s.Pool}, {"failure_domain", s.Domain}, {"address", s.Address}, {"vm", s.VM},
		}})
	}
	return append(l, requestParts(d)...)
}

func poolFields(p Pool) []field {
	return []field{
		{"protocol", string(p.Protocol)}, {"limit", numberText(p.Limit)}, {"cold_limit", numberText(p.ColdLimit)},
		{"cold_factor", numberText(p.ColdFactor)}, {"reports_load", boolText(p.ReportsLoad)},
		{"checks_fencing", boolText(p.ChecksFencing)}, {"expect", durationText(p.Expect)}, {"model", p.Model},
		{"adapter", p.Adapter}, {"model_version", p.ModelVersion}, {"role", p.Role},
	}
}

// requestParts returns the sections that requests refer to, and the exceptions.
func requestParts(d *Declaration) []part {
	var l []part
	for _, p := range d.Pipelines {
		l = append(l, part{"pipelines", p.Name, []field{{"deadline", durationText(p.Deadline)}, {"stages", stagesText(p.Stages)}}})
	}
	for _, s := range d.Services {
		l = append(l, part{"services", s.Name, []field{{"pool", s.Pool}}})
		for _, o := range s.Operations {
			l = append(l, part{"operations", s.Name + "/" + o.Name, []field{{"repeatable", boolText(o.Repeatable)}}})
		}
	}
	for _, o := range d.Organisations {
		l = append(l, part{"organisations", o.Name, []field{{"weight", numberText(o.Weight)}}})
	}
	for _, c := range d.Classes {
		l = append(l, part{"classes", c.Name, []field{{"weight", numberText(c.Weight)}, {"priority", numberText(c.Priority)}}})
	}
	for _, e := range d.Exceptions {
		l = append(l, part{"exceptions", e.key(), []field{
			{"out", boolText(e.Out)}, {"limit", numberText(e.Limit)}, {"weight", numberText(e.Weight)},
			{"reason", e.Reason}, {"since", e.Since.UTC().Format(time.RFC3339)},
		}})
	}
	return l
}

func stagesText(l []Stage) string {
	t := make([]string, len(l))
	for i, s := range l {
		t[i] = fmt.Sprintf("%s(%s on %s", s.Name, s.Kind, s.Pool)
		if s.MaxTokens > 0 {
			t[i] += fmt.Sprintf(", %d tokens", s.MaxTokens)
		}
		t[i] += ")"
	}
	return strings.Join(t, " > ")
}
