package demo

// This file runs sessions: short functions that drive a fleet under a fake clock. The
// record of each is checked against the invariants and compared with a golden file.

import (
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/core/record"
	"bergamotspring/schema"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// session is a scenario with one golden file per example declaration.
type session struct {
	name             string
	tune             func(*Fleet)
	run              func(*sessionRun)
	losesConnections bool // callers may lose their connections
}

// sessionRun is a running session, with names from its declaration.
type sessionRun struct {
	*Fleet
	t           *testing.T
	start       time.Time
	pools       []string // of the stages of pipeline, in order
	enginePool  string   // pool of the last stage
	servicePool string   // pool of the plain service
	pipeline    Request
	read        Request // of a repeatable operation
	write       Request // of a non-idempotent operation
	inFlight    sync.WaitGroup
	unlisted    int // number of first requests that are counted but not listed
}

func loadExample(t *testing.T, name string) *fleet.Declaration {
	t.Helper()
	b, err := os.ReadFile("../../examples/" + name + ".json")
	if err != nil {
		t.Fatal(err)
	}
	d, err := schema.Decode(name, b)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func newSessionRun(t *testing.T, declared string, s session) *sessionRun {
	d := loadExample(t, declared)
	var l []NodeSpec
	for i, x := range d.Domains {
		l = append(l, NodeSpec{fmt.Sprintf("n%d", i+1), x.Name})
	}
	p := &sessionRun{t: t, Fleet: buildFleet(d, l)}
	for _, x := range d.Pipelines[0].Stages {
		p.pools = append(p.pools, x.Pool)
	}
	p.enginePool = p.pools[len(p.pools)-1]
	c := d.Services[0]
	p.servicePool = c.Pool
	q := Request{Organisation: d.Organisations[0].Name, Class: d.Classes[0].Name, Timeout: 4 * time.Second}
	p.pipeline, p.read, p.write = q, q, q
	p.pipeline.Path, p.pipeline.Tokens, p.pipeline.Stream = "pipelines/"+d.Pipelines[0].Name, 24, true
	for _, o := range slices.Backward(c.Operations) {
		x := &p.write
		if o.Repeatable {
			x = &p.read
		}
		x.Path = "services/" + c.Name + "/" + o.Name
	}
	if s.tune != nil {
		s.tune(p.Fleet)
	}
	return p
}

// send sends a request and waits for the response.
func (p *sessionRun) send(q Request) { p.Send(context.Background(), q) }

// sendAsync sends a request without waiting for the response. It returns a little later,
// so that no two requests start at the same time.
func (p *sessionRun) sendAsync(q Request) {
	p.inFlight.Go(func() { p.send(q) })
	time.Sleep(3137 * time.Microsecond) // no service time is a multiple of it
}

// warmUp sends requests that warm the servers and fill the retry budget. They are not
// listed.
func (p *sessionRun) warmUp(rounds int) {
	for range rounds {
		for range 12 {
			p.sendAsync(p.pipeline)
		}
		p.inFlight.Wait()
	}
	p.unlisted = 12 * rounds
}

// lastServer returns the server of a pool that got the most recent call.
func (p *sessionRun) lastServer(pool string) string {
	for _, e := range slices.Backward(p.Events()) {
		if e.Kind == record.CallStarted && strings.HasPrefix(e.Server, pool+"-") {
			return e.Server
		}
	}
	p.t.Errorf("no call to pool %s", pool)
	return ""
}

// onNode returns q addressed to a node.
func onNode(node string, q Request) Request {
	q.Node = node
	return q
}

// withKey returns q with a key and an input.
func withKey(key, input string, q Request) Request {
	q.Key, q.Input = key, input
	return q
}

// TestSessions compares whole sessions with their golden files.
func TestSessions(t *testing.T) {
	for _, s := range sessions {
		for i, d := range []string{"logwerk", "ferrando"} {
			if raceDetector && i != len(s.name)%2 {
				continue // too slow for both; .ci/run has a step without the detector
			}
			t.Run(s.name+"/"+d, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { runSession(t, s, d) })
			})
		}
	}
}

func runSession(t *testing.T, s session, declared string) {
	p := newSessionRun(t, declared, s)
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(10 * time.Second) // until all groups have a lease holder
	p.start = time.Now()
	s.run(p)
	p.inFlight.Wait()
	time.Sleep(time.Second) // until late calls have ended
	e := record.Sort(p.Events())
	p.Stop()
	r := rulesOf(p.Declaration, p.Nodes)
	r.Crashed = s.losesConnections
	for _, v := range record.Check(e, r) {
		t.Error(v)
	}
	compareGolden(t, s.name+"."+declared, render(e, p.start, p.unlisted))
}

func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	f := "testdata/" + name + ".golden"
	if *update {
		if err := os.WriteFile(f, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	b, err := os.ReadFile(f)
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Split(string(b), "\n")
	for i, l := range strings.Split(got, "\n") {
		if i >= len(want) || l != want[i] {
			t.Errorf("%s:%d: got\n%s\nwant\n%s", f, i+1, l, strings.Join(want[min(i, len(want)):min(i+1, len(want))], ""))
			return
		}
	}
	if n := len(strings.Split(got, "\n")); n != len(want) {
		t.Errorf("%s: got %d lines, want %d", f, n, len(want))
	}
}

// requestNames maps the request ids of nodes and the call ids to request ids of callers,
// and the call ids to nodes.
type requestNames struct{ request, call, node map[string]string }

func nameRequests(e []record.Event) requestNames {
	n := requestNames{map[string]string{}, map[string]string{}, map[string]string{}}
	for _, x := range e {
		if x.Kind == record.ResponseRead && x.Call != "" {
			n.request[x.Call] = x.Request
		}
	}
	for _, x := range e {
		switch x.Kind {
		case record.CallSent:
			n.node[x.Call] = x.Actor
			n.call[x.Call] = n.request[x.Request]
		case record.CallStarted:
			var s string
			if json.Unmarshal([]byte(x.Detail), &s) != nil {
				s = x.Detail
			}
			if n.call[x.Call] == "" {
				n.call[x.Call], _, _ = strings.Cut(s, " ")
			}
		}
	}
	return n
}

// render formats the events since start as lines, ordered by time and actor, else in the
// order of e.
func render(e []record.Event, start time.Time, hide int) string {
	type line struct {
		at    time.Duration
		actor string
		text  string
	}
	var l []line
	n := nameRequests(e)
	hidden := fmt.Sprintf(" r%04d", hide)
	counts := map[string]int{}
	open := map[string]int{} // number of requests in flight by key
	for _, x := range e {
		s := n.eventText(x)
		switch x.Kind {
		case record.RequestSent:
			open[x.Key]++
		case record.ResponseRead:
			open[x.Key]--
		case record.TableWrite: // writes after the last response have random times
			if _, k, _ := strings.Cut(x.Key, "/"); open[k] == 0 {
				continue
			}
		}
		if s == "" || x.At.Before(start) {
			continue
		}
		if x.Kind == record.ResponseRead {
			counts[x.Outcome]++
		}
		if i := strings.Index(s, " r0"); i < 0 || s[i:i+6] > hidden {
			l = append(l, line{x.At.Sub(start), x.Actor, s})
		}
	}
	slices.SortStableFunc(l, func(x, y line) int {
		return cmp.Or(cmp.Compare(x.at, y.at), cmp.Compare(x.actor, y.actor))
	})
	var b strings.Builder
	for _, k := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(&b, "%d %s\n", counts[k], k)
	}
	for _, x := range l {
		fmt.Fprintf(&b, "%8.3f %-22s %s\n", x.at.Seconds(), x.actor, x.text)
	}
	return b.String()
}

// eventText returns the text of an event, "" if the golden files omit it.
func (n requestNames) eventText(x record.Event) string {
	var s []string
	switch x.Kind {
	case record.RequestSent:
		s = []string{x.Request, x.Detail, x.Key}
	case record.ResponseRead:
		s = []string{x.Request, x.Outcome, x.Detail}
		if x.ResponseTo != "" {
			s = append(s, "its whole answer")
		}
	case record.RequestEnded:
		s = []string{n.request[x.Request], x.Outcome, x.Detail}
	case record.CallStarted:
		s = []string{n.call[x.Call], "from " + n.node[x.Call], x.Key}
	case record.CallEnded, record.CallCancelled:
		s = []string{n.call[x.Call]}
	case record.FaultInjected:
		s = []string{n.call[x.Call], x.Detail}
	case record.ServerCold, record.ServerWarm, record.ServerLeaving, record.NodeAway, record.NodeBack, record.TableWrite,
		record.DomainOut, record.DomainIn:
		s = []string{x.Server, x.Key, x.Domain, x.Detail}
	default:
		return ""
	}
	return string(x.Kind) + " " + strings.Join(slices.DeleteFunc(s, func(s string) bool { return s == "" }), " ")
}
