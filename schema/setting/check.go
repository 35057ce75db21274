package setting

import (
	"fmt"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"bergamotspring/schema"
)

// Problem is one error in a setting. Name is the name of the setting, Flag the flag or
// environment variable that sets it, and Unit the unit of its values.
type Problem struct {
	Name  string
	Flag  string
	Unit  string
	Cause string
}

// Error lists all problems of the settings, in the order of the schema. It contains no
// secret.
type Error struct {
	Problems []Problem
}

func (e *Error) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "settings: %d faults", len(e.Problems))
	for _, f := range e.Problems {
		fmt.Fprintf(&b, "\n  %s (%s): %s", f.Flag, f.Unit, f.Cause)
	}
	return b.String()
}

// Line is one setting in force, with secrets masked.
type Line struct {
	Name  string
	Value string
	Unit  string
	Given bool // by flag, environment variable or file; false: the default
}

// reader collects the values and problems of settings, by name.
type reader struct {
	f        *Flags
	value    map[string]any
	problems map[string][]string
}

func (r *reader) addProblem(name, format string, a ...any) {
	r.problems[name] = append(r.problems[name], fmt.Sprintf(format, a...))
}

// Node checks all settings and returns them, or an *Error with every problem.
func (f *Flags) Node() (Node, error) {
	r, err := f.read()
	if err != nil {
		return Node{}, err
	}
	if e := r.err(); e != nil {
		return Node{}, e
	}
	return toNode(r.value)
}

// Lines returns the settings in force, in the order of the schema, also if some are
// invalid; the error then is that of Node.
func (f *Flags) Lines() ([]Line, error) {
	r, err := f.read()
	if err != nil {
		return nil, err
	}
	var l []Line
	for i := range f.properties {
		l = append(l, f.line(&f.properties[i], r))
	}
	if e := r.err(); e != nil {
		return l, e
	}
	return l, nil
}

func (f *Flags) line(p *property, r *reader) Line {
	v, ok := r.value[p.name]
	n := Line{Name: p.name, Unit: p.Unit}
	switch s, _ := v.(string); {
	case p.Secret:
		n.Value, n.Given = NewSecret(s).String(), s != ""
		return n
	case !ok:
		n.Value = redacted(strings.Join(f.raw(p), ","))
	case p.Type == "array":
		n.Value = strings.Trim(fmt.Sprint(v), "[]")
	default:
		n.Value = redacted(text(v))
	}
	n.Given = len(f.raw(p)) > 0
	return n
}

func (f *Flags) read() (*reader, error) {
	r := &reader{f: f, value: map[string]any{}, problems: map[string][]string{}}
	for i := range f.properties {
		r.readProperty(&f.properties[i])
	}
	l, err := schema.CheckSettings(r.value)
	if err != nil {
		return nil, err
	}
	for _, q := range l {
		name, _, _ := strings.Cut(q.Path, "[")
		if name != "" && len(r.problems[name]) == 0 {
			r.addProblem(name, "%s", q.Cause)
		}
	}
	for i := range f.properties {
		p := &f.properties[i]
		if _, ok := r.value[p.name]; !ok && p.required && len(r.problems[p.name]) == 0 {
			r.addProblem(p.name, "is missing")
		}
	}
	r.checkCombinations()
	return r, nil
}

// readProperty reads one setting and checks what JSON Schema cannot express.
func (r *reader) readProperty(p *property) {
	if p.Secret {
		r.readSecret(p)
		return
	}
	l := r.f.raw(p)
	if len(l) == 0 {
		if p.Default != nil {
			r.value[p.name] = p.Default
		}
		return
	}
	if p.Type == "integer" {
		n, err := strconv.ParseInt(l[0], 10, 64)
		if err != nil {
			r.addProblem(p.name, "%q is not a whole number", l[0])
			return
		}
		r.value[p.name] = n
		return
	}
	for _, s := range l {
		if cause := kindChecks[p.Kind](s); cause != "" {
			r.addProblem(p.name, "%q %s", redacted(s), cause)
		}
	}
	if p.Type == "array" {
		a := make([]any, len(l))
		for i, s := range l {
			a[i] = s
		}
		r.value[p.name] = a
		return
	}
	r.value[p.name] = l[0]
}

// readSecret reads a secret from its environment variable or from the file that the
// setting <name>_file names. Causes never contain the secret.
func (r *reader) readSecret(p *property) {
	s := r.f.getenv(p.env())
	file := r.f.raw(&property{name: p.name + "_file"})
	if len(file) > 0 {
		if s != "" {
			r.addProblem(p.name, "%s and %s-file are both set", p.env(), p.flag())
			return
		}
		b, err := r.f.readFile(file[0])
		if err != nil {
			r.addProblem(p.name, "%v", err)
			return
		}
		s = strings.TrimRight(string(b), "\r\n")
		if s == "" {
			r.addProblem(p.name, "the file %s is empty", file[0])
			return
		}
	}
	if s != "" {
		r.value[p.name] = s
	}
}

// kindChecks maps x-kind to a check that returns the cause of a problem, or "".
var kindChecks = map[string]func(string) string{
	"":         func(string) string { return "" },
	"listen":   checkListen,
	"address":  checkAddress,
	"url":      checkURL,
	"duration": checkDuration,
}

func checkListen(s string) string {
	if strings.HasPrefix(s, ":") {
		s = "[::]" + s
	}
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		return "is not [IP]:port"
	}
	if a.Port() == 0 {
		return "has port 0, which other processes could not find"
	}
	return ""
}

func checkAddress(s string) string {
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		return "is not IP:port"
	}
	if a.Port() == 0 || a.Addr().IsUnspecified() {
		return "cannot be connected to"
	}
	return ""
}

func checkURL(s string) string {
	u, err := url.Parse(s)
	switch {
	case err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https":
		return "is not an http or https URL"
	case u.User != nil:
		return "holds user information; use the token setting"
	}
	return ""
}

// redacted hides the password of a URL.
func redacted(s string) string {
	if u, err := url.Parse(s); err == nil && u.User != nil {
		return u.Redacted()
	}
	return s
}

func checkDuration(s string) string {
	t, err := time.ParseDuration(s)
	if err != nil {
		return `is not a Go duration such as "30s"`
	}
	if t <= 0 {
		return "is not above 0s"
	}
	return ""
}

func (r *reader) text(name string) string {
	s, _ := r.value[name].(string)
	return s
}

// checkCombinations checks settings that depend on each other.
func (r *reader) checkCombinations() {
	r.requireAllOrNone("tls_cert_file", "tls_key_file")
	r.requireAllOrNone("peer_tls_cert_file", "peer_tls_key_file", "peer_tls_ca_file")
	seen := map[string]string{}
	for _, n := range []string{"caller_listen", "peer_listen", "operator_listen", "metrics_listen"} {
		s := r.text(n)
		if o, dup := seen[s]; dup {
			r.addProblem(n, "%q is also the address of %s", s, (&property{name: o}).flag())
		}
		seen[s] = n
	}
	inFlight, _ := strconv.ParseFloat(text(r.value["in_flight_bytes"]), 64)
	for _, n := range []string{"body_bytes", "stream_bytes"} {
		v, _ := strconv.ParseFloat(text(r.value[n]), 64)
		if v > inFlight && inFlight > 0 {
			r.addProblem(n, "%.0f is above --in-flight-bytes %.0f", v, inFlight)
		}
	}
}

// requireAllOrNone reports a problem for each missing setting of names if any is set.
func (r *reader) requireAllOrNone(names ...string) {
	set := ""
	for _, n := range names {
		if r.text(n) != "" {
			set = n
		}
	}
	for _, n := range names {
		if set != "" && r.text(n) == "" {
			r.addProblem(n, "is missing, as %s is set", (&property{name: set}).flag())
		}
	}
}

func (r *reader) err() error {
	e := &Error{}
	for i := range r.f.properties {
		p := &r.f.properties[i]
		for _, c := range r.problems[p.name] {
			e.Problems = append(e.Problems, Problem{Name: p.name, Flag: p.label(), Unit: p.Unit, Cause: c})
		}
	}
	if len(e.Problems) == 0 {
		return nil
	}
	return e
}
