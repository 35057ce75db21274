package command

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"flag"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/io/operator"
	"bergamotspring/io/standin"
	"bergamotspring/schema/setting"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// fakeNode is a small fake of a node behind the operator API.
type fakeNode struct {
	stored        []operator.Stored // by version - 1
	ids           map[string]uint64
	lagPolls      int // status calls until node n2 runs the newest version; below 0: never
	lostResponses int // responses to applies still to be lost
	onApply       func(*fakeNode)
}

// last returns the declaration in force, version 0 if there is none.
func (n *fakeNode) last() operator.Stored {
	if len(n.stored) == 0 {
		return operator.Stored{Declaration: &fleet.Declaration{}}
	}
	return n.stored[len(n.stored)-1]
}

func (n *fakeNode) push(r operator.ApplyRequest) operator.Applied {
	v := n.last().Version + 1
	n.ids[r.ID] = v
	n.stored = append(n.stored, operator.Stored{Version: v, ApplyID: r.ID, Reason: r.Reason, At: start, Declaration: r.Declaration})
	return operator.Applied{Version: v}
}

func (n *fakeNode) apply(_ context.Context, r operator.ApplyRequest) (operator.Applied, error) {
	if f := n.onApply; f != nil {
		n.onApply = nil
		f(n)
	}
	if v, ok := n.ids[r.ID]; ok {
		return operator.Applied{Version: v, Repeated: true}, nil
	}
	if r.Expected != n.last().Version {
		return operator.Applied{}, &operator.Error{Code: operator.CodeConflict}
	}
	return n.push(r), nil
}

func (n *fakeNode) status(context.Context) (operator.Status, error) {
	v := n.last().Version
	self := operator.NodeStatus{Node: "n1", Domain: "muc-a", Region: "oberbayern", Operator: "n1:1", Version: v, Confirmed: true, State: operator.NodeReady}
	other := self
	other.Node, other.Domain, other.Operator = "n2", "muc-b", "n2:1"
	if n.lagPolls != 0 {
		other.Version, other.Confirmed = v-1, false
		n.lagPolls--
	}
	third := operator.NodeStatus{Node: "n3", Domain: "nue-a", Region: "franken", Version: 1, State: operator.NodeUnreachable}
	g := fleet.GroupID{Pool: "logbook", Domain: "muc-a"}
	return operator.Status{
		Node: self, Version: v, Confirmed: true, Table: "ok", Alarms: []string{"node n3 is unreachable"},
		Nodes:      []operator.NodeStatus{self, other, third},
		Homes:      []operator.HomeStatus{{Group: g, Home: "n1", Deputy: "n2", Epoch: 3, Authority: "lease", Remaining: 2 * time.Second}},
		Servers:    []operator.ServerStatus{{Server: "logbook-1", Pool: "logbook", Domain: "muc-a", State: "cold", Limit: 2, FullLimit: 16, InFlight: 1}},
		Permits:    []operator.PermitStatus{{Group: g, Server: "logbook-1", ID: 9, Epoch: 3, Remaining: time.Second}},
		Exceptions: operator.Exceptions(n.last().Declaration, start),
	}, nil
}

func (n *fakeNode) server(name string) *operator.Server {
	return &operator.Server{
		Token: setting.NewSecret(token), Apply: n.apply, Status: n.status,
		Current: func(context.Context) (operator.Stored, error) {
			if len(n.stored) == 0 {
				return operator.Stored{}, &operator.Error{Code: operator.CodeNotFound}
			}
			return n.last(), nil
		},
		History: func(_ context.Context, v uint64) (operator.Stored, error) {
			if v < 1 || v > uint64(len(n.stored)) {
				return operator.Stored{}, &operator.Error{Code: operator.CodeNotFound, Message: "no such version"}
			}
			return n.stored[v-1], nil
		},
		Explain: func(_ context.Context, r string) (operator.Trace, error) {
			if name != "n2:1" || r != "r-7" {
				return operator.Trace{}, &operator.Error{Code: operator.CodeNotFound, Message: "this node ran no such request"}
			}
			return operator.Trace{Request: r, Node: "n2", Target: "trail-hint", Organisation: "isar-cacher", Class: "interactive", Started: start, Took: time.Second, Outcome: "ok",
				Events: []operator.TraceEvent{{After: time.Millisecond, Stage: "embed", Event: "permit", Group: "note-encoder@muc-a", Server: "note-encoder-1", Cause: "same failure domain"}}}, nil
		},
		Release: func(context.Context, fleet.GroupID, string) error { return nil },
		Now:     func() time.Time { return start },
	}
}

// RoundTrip calls the handler of the node that the URL names, without a network.
func (n *fakeNode) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Host == "down:1" {
		return nil, errors.New("connection refused")
	}
	w := httptest.NewRecorder()
	n.server(r.URL.Host).Handler().ServeHTTP(w, r)
	if r.Method == "POST" && r.URL.Path == "/v1/declaration" && n.lostResponses > 0 {
		n.lostResponses--
		httptrace.ContextClientTrace(r.Context()).WroteHeaders()
		return nil, errors.New("connection reset")
	}
	return w.Result(), nil
}

const token = "operator-token-0001"

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// session runs command lines against n and records them with their output.
type session struct {
	t   *testing.T
	app *App
	out bytes.Buffer
}

func newSession(t *testing.T, n *fakeNode) *session {
	s := &session{t: t}
	s.app = &App{Out: &s.out, Err: &s.out, Version: "test", Now: func() time.Time { return start }, HTTP: &http.Client{Transport: n}}
	t.Setenv("BERGAMOTSPRING_OPERATOR", "http://n1:1")
	t.Setenv("BERGAMOTSPRING_OPERATOR_TOKEN", token)
	b, err := os.ReadFile("../../../examples/logwerk.json")
	if err != nil {
		t.Fatal(err)
	}
	files := map[string]string{
		"base.json": string(b), "token": "wrong\n",
		"more.json": strings.Replace(string(b), `"limit": 16, "cold_limit": 2, "cold_factor"`, `"limit": 24, "cold_limit": 2, "cold_factor"`, 1),
		"bad.json":  strings.Replace(string(b), `"pool": "logbook"`, `"pool": "logbok"`, 1),
	}
	s.app.ReadFile = func(p string) ([]byte, error) {
		if f, ok := files[p]; ok {
			return []byte(f), nil
		}
		return nil, errors.New("no file " + p)
	}
	d, err := s.app.loadDeclaration("base.json")
	if err != nil {
		t.Fatal(err)
	}
	n.ids = map[string]uint64{}
	n.stored = []operator.Stored{{Version: 1, Reason: "first", At: start, Declaration: d}}
	return s
}

func (s *session) run(args ...string) int {
	fmt.Fprintf(&s.out, "$ bergamotspring %s\n", strings.Join(args, " "))
	n := s.app.Main(args)
	fmt.Fprintf(&s.out, "exit %d\n\n", n)
	return n
}

// Guards against commands that change more than they print, that return another exit
// code than the documented one, or whose output changes unnoticed.
func TestSession(t *testing.T) {
	n := &fakeNode{}
	s := newSession(t, n)
	synctest.Test(t, func(*testing.T) {
		s.run("version")
		s.run("check", "base.json")
		s.run("check", "bad.json")
		s.run("check", "absent.json")
		s.run("diff", "base.json", "more.json", "--exit-code")
		n.lagPolls = 3
		s.run("apply", "more.json", "--reason", "longer evenings")
		s.run("apply", "more.json", "--reason", "again")
		n.lagPolls = -1
		s.run("apply", "base.json", "--reason", "n2 hangs", "--wait", "2s")
		n.lagPolls = 0
		s.run("apply", "more.json", "--reason", "old file", "--expect", "1")
		s.run("domain", "out", "muc-a", "--reason", "switch replaced", "--dry-run")
		s.run("domain", "out", "muc-a", "--reason", "switch replaced")
		s.run("domain", "out", "muc-a", "--reason", "switch replaced")
		s.run("domain", "out", "muc-z", "--reason", "typing error")
		s.run("domain", "in", "muc-a", "--reason", "switch works")
		n.onApply = func(n *fakeNode) {
			n.push(operator.ApplyRequest{ID: "x", Reason: "race", Declaration: n.stored[1].Declaration})
		}
		s.run("server", "out", "logbook-1", "--reason", "disk")
		n.lostResponses = 1
		s.run("server", "in", "logbook-1", "--reason", "disk replaced")
		n.lostResponses = 3
		s.run("apply", "base.json", "--reason", "lost", "--id", "apply-1")
		s.run("status")
		n.stored[0].Declaration = n.stored[0].Declaration.WithTakenOut(fleet.TargetServer, "logbook-2", "disk full", start.Add(-40*24*time.Hour))
		n.stored = n.stored[:1]
		s.run("status", "--permits")
		s.run("diff", "base.json")
		s.run("-o", "json", "apply", "more.json", "--reason", "old file", "--expect", "9")
		s.run("-o", "json", "check", "bad.json")
		s.run("group", "release", "logbook@muc-a", "--reason", "both VMs lost")
		s.run("group", "release", "logbook@muc-a", "--reason", "both VMs lost", "--stopped")
		s.run("explain", "r-7")
		s.run("explain", "r-8")
		s.run("export", "--revision", "99")
		s.run("export", "--operator", "http://down:1")
		s.run("export", "--operator", "http://n1:1")
		s.run("apply", "more.json", "--reason", "r", "--operator", "http://down:1")
		s.run("apply", "more.json")
		s.run("-o", "json", "domain", "in", "muc-a", "--reason", "r")
		s.run("-o", "json", "explain", "r-7")
		s.run("node", "--workers=0", "--node-id=n1")
		s.run("settings", "--node-id=n1", "--region=franken")
		s.run("-o", "json", "nodes")
	})
	t.Setenv("BERGAMOTSPRING_OPERATOR_TOKEN", "")
	s.run("status", "--token-file", "token")
	const g = "testdata/session.golden"
	got := s.out.String()
	if strings.Contains(got, token) {
		t.Error("the operator token is in the output")
	}
	if *update {
		if err := os.WriteFile(g, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(g)
	if err != nil || got != string(want) {
		t.Errorf("got:\n%s\nwant:\n%s\n%v", got, want, err)
	}
}

// Guards against a change that leaves a pool without servers although --force is not set.
func TestRefusesToEmptyPool(t *testing.T) {
	n := &fakeNode{}
	s := newSession(t, n)
	d := n.stored[0].Declaration
	d = d.WithTakenOut(fleet.TargetDomain, "muc-a", "r", start).WithTakenOut(fleet.TargetDomain, "muc-b", "r", start)
	n.stored[0].Declaration = d
	if got, want := s.run("domain", "out", "nue-a", "--reason", "r"), ExitRefused; got != want || len(n.stored) != 1 {
		t.Errorf("got exit %d and version %d, want exit %d and version 1", got, n.last().Version, want)
	}
	if got := s.run("domain", "out", "nue-a", "--reason", "r", "--force"); got != ExitOK || len(n.stored) != 2 {
		t.Errorf("with --force: got exit %d and version %d, want 0 and 2", got, n.last().Version)
	}
}

// Guards against a new fleet for which no first declaration can be applied.
func TestFirstApply(t *testing.T) {
	n := &fakeNode{}
	s := newSession(t, n)
	n.stored = nil
	for _, args := range [][]string{{"diff", "base.json"}, {"apply", "base.json", "--reason", "first"}} {
		if got := s.run(args...); got != ExitOK {
			t.Errorf("%v: got exit %d, want 0", args, got)
		}
	}
	if got := n.last().Version; got != 1 {
		t.Errorf("got version %d, want 1\n%s", got, s.out.String())
	}
}

// Guards against commands that trust any certificate, or do not trust the authority given
// with --ca-file.
func TestCAFile(t *testing.T) {
	a, err := standin.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	cert, key, err := a.Issue("127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	pair, err := tls.X509KeyPair(cert, key)
	if err != nil {
		t.Fatal(err)
	}
	n := &fakeNode{}
	s := newSession(t, n)
	v := httptest.NewUnstartedServer(n.server("n1:1").Handler())
	v.Config.ErrorLog = log.New(io.Discard, "", 0)
	v.TLS = &tls.Config{Certificates: []tls.Certificate{pair}}
	v.StartTLS()
	defer v.Close()
	s.app.HTTP = nil
	s.app.ReadFile = func(string) ([]byte, error) { return a.PEM, nil }
	if got := s.run("status", "--operator", v.URL, "--ca-file", "ca"); got != ExitOK {
		t.Errorf("with the authority: got exit %d, want 0\n%s", got, s.out.String())
	}
	if got := s.run("status", "--operator", v.URL); got != ExitUnreachable {
		t.Errorf("without the authority: got exit %d, want %d", got, ExitUnreachable)
	}
}

// Guards against a first signal that does not wait for draining, and a second one that is
// ignored.
func TestSignals(t *testing.T) {
	for _, second := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			sig := make(chan os.Signal, 2)
			exit := 0
			a := &App{Out: io.Discard, Err: io.Discard, Signals: func() <-chan os.Signal { return sig }, Exit: func(n int) { exit = n }}
			drained := false
			a.Demo = func(ctx context.Context, _ io.Writer) error {
				<-ctx.Done()
				time.Sleep(time.Minute)
				drained = true
				return ctx.Err()
			}
			sig <- os.Interrupt
			if second {
				go func() {
					time.Sleep(time.Second)
					sig <- os.Interrupt
				}()
			}
			got := a.Main([]string{"demo"})
			want, code := ExitOK, 0
			if second {
				want, code = ExitSignal, ExitSignal
			}
			if got != want || exit != code || !drained {
				t.Errorf("second %v: got code %d, exit %d, drained %v; want %d, %d, true", second, got, exit, drained, want, code)
			}
		})
	}
}
