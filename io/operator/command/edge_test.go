package command

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"strings"
	"testing"
)

// Guards against a command that does not pass on its flags, and against settings with
// which a node cannot run that end the command with another code than ExitUsage.
func TestEdge(t *testing.T) {
	for _, c := range []struct {
		args []string
		err  error
		got  EdgeOptions
		code int
	}{
		{[]string{"edge"}, nil, EdgeOptions{}, ExitOK},
		{[]string{"edge", "--settings", "f", "--metrics-port", "7"}, nil, EdgeOptions{Settings: "f", MetricsPort: 7}, ExitOK},
		{[]string{"edge"}, &SettingsError{Cause: errors.New("ip: is missing")}, EdgeOptions{}, ExitUsage},
		{[]string{"edge"}, errors.New("the listener failed"), EdgeOptions{}, ExitFailure},
		{[]string{"edge", "--metrics-port", "x"}, nil, EdgeOptions{}, ExitUsage},
	} {
		var got EdgeOptions
		a := &App{Out: &bytes.Buffer{}, Err: &bytes.Buffer{}, Edge: func(_ context.Context, o EdgeOptions) error {
			got = o
			return c.err
		}}
		if n := a.Main(c.args); n != c.code || got != c.got {
			t.Errorf("%v: got exit code %d and %+v, want %d and %+v", c.args, n, got, c.code, c.got)
		}
	}
}

// Guards against log lines of other programs that keep a request from being explained.
func TestExplainFromLog(t *testing.T) {
	const log = `built in 5 s
   1.0 edge-1 {"level":"info","at":"2026-06-11T10:50:48Z","msg":"place_refused","node":"edge-1","request":"r1","reason":"no usable server","waited":0.25,"retry_after":0.5}
{"level":"info","at":"2026-06-11T10:50:48.01Z","msg":"refused","node":"edge-2","request":"r1","service":"model","after":0.26,"sends":0,"reason":"no usable server"}
{"not":"a line of ours"}
`
	for _, c := range []struct {
		args []string
		want string
		code int
	}{
		{[]string{"explain", "r1", "--log", "-"}, "Refused by edge-2 after 260ms: no usable server. No server ran it. The home edge-1 had kept it for 250ms.", ExitOK},
		{[]string{"explain", "r2", "--log", "-"}, `no line is about request "r2"; 2 lines were read`, ExitNotFound},
		{[]string{"explain", "r1", "--log", "testdata/none"}, "no such file", ExitUsage},
	} {
		var out bytes.Buffer
		a := &App{Out: &out, Err: &out, In: strings.NewReader(log)}
		if n := a.Main(c.args); n != c.code || !strings.Contains(out.String(), c.want) {
			t.Errorf("%v: got exit code %d and\n%swant %d and %q", c.args, n, out.String(), c.code, c.want)
		}
	}
	var out bytes.Buffer
	a := &App{Out: &out, Err: &out, In: strings.NewReader(log)}
	var v struct {
		Verdict string
		Lines   []struct{ Event string }
	}
	if n := a.Main([]string{"explain", "r1", "--log", "-", "-o", "json"}); n != ExitOK || json.Unmarshal(out.Bytes(), &v) != nil || len(v.Lines) != 2 || v.Lines[1].Event != "refused" {
		t.Errorf("as JSON: got exit code %d and %s", n, out.String())
	}
}

// Guards against a check of the files of the users' platform that does not list all
// problems.
func TestCheckPlatformFiles(t *testing.T) {
	for _, c := range []struct {
		as       string
		problems []error
		want     string
		code     int
	}{
		{"settings", nil, "f: valid: fine", ExitOK},
		{"settings", []error{errors.New("ip: bad"), errors.New("zone: is missing")}, "f: ip: bad\nf: zone: is missing\nbergamotspring: f: 2 faults", ExitUsage},
		{"configuration", []error{errors.New("route x: names no service")}, "f: route x: names no service", ExitInvalid},
		{"nothing", nil, "must be one of", ExitUsage},
	} {
		var out bytes.Buffer
		a := &App{
			Out: &out, Err: &out, ReadFile: func(string) ([]byte, error) { return []byte("text"), nil },
			CheckEdge: func(as string, b []byte) (string, []error) {
				if as != c.as || string(b) != "text" {
					t.Errorf("got %s %q to check, want %s", as, b, c.as)
				}
				return "fine", c.problems
			},
		}
		if n := a.Main([]string{"check", "f", "--as", c.as}); n != c.code || !strings.Contains(out.String(), c.want) {
			t.Errorf("%s with %d faults: got exit code %d and\n%swant %d and %q", c.as, len(c.problems), n, out.String(), c.code, c.want)
		}
	}
}
