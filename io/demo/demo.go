package demo

// This file implements the demo command: it sends requests while planned changes are made
// to a deployment, and prints their outcomes.

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/core/record"
	"bergamotspring/examples"
	"bergamotspring/schema"
)

const (
	demoDomain       = "muc-b"
	demoTimeout      = 20 * time.Second // for one condition
	demoPollInterval = 50 * time.Millisecond
	demoRequests     = 24
	demoSendInterval = 30 * time.Millisecond
)

// demoRun is one run of the demo.
type demoRun struct {
	fleet *Fleet
	out   io.Writer
	org   string
	class string
}

// Run starts the Logwerk example, sends requests while a failure domain is taken out and
// brought back and while a node stops, and prints their outcomes. The error names the
// first step that failed.
func Run(ctx context.Context, w io.Writer) error {
	d, err := schema.Decode("examples/logwerk.json", examples.Logwerk)
	if err != nil {
		return err
	}
	t := &demoRun{
		out: w, org: d.Organisations[0].Name, class: d.Classes[0].Name,
		fleet: &Fleet{
			Declaration: d, Seed: 1, Drain: 6 * time.Second,
			Nodes: []NodeSpec{{"n1", "muc-a"}, {"n2", "muc-b"}, {"n3", "nue-a"}, {"n4", "muc-a"}},
		},
	}
	defer t.fleet.Stop()
	for _, f := range []func(context.Context) error{t.start, t.stream, t.resendKeyed, t.takeOut, t.bringBack, t.stopNode} {
		if err := f(ctx); err != nil {
			return err
		}
	}
	t.printf("Every step ended as it should.")
	return nil
}

func (t *demoRun) printf(format string, a ...any) {
	_, _ = fmt.Fprintf(t.out, format+"\n", a...) // an error of the output is ignored
}

// waitUntil polls a condition until it holds or demoTimeout is over.
func (t *demoRun) waitUntil(ctx context.Context, what string, ok func() bool) error {
	end := time.Now().Add(demoTimeout)
	for !ok() {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if time.Now().After(end) {
			return fmt.Errorf("demo: %s did not happen within %v", what, demoTimeout)
		}
		time.Sleep(demoPollInterval)
	}
	return nil
}

func (t *demoRun) start(ctx context.Context) error {
	d := t.fleet.Declaration
	s := time.Now()
	if err := t.fleet.Start(); err != nil {
		return err
	}
	n := len(fleet.NewView(d, 1).Groups) + len(d.Links)
	err := t.waitUntil(ctx, "the election of homes", func() bool { return t.fleet.eventCount(record.LeaseGained, "") >= n })
	if err != nil {
		return err
	}
	t.printf("Started %d nodes in %d regions before %d backend servers in %d failure domains.",
		len(t.fleet.Nodes), len(d.Regions), len(d.Servers), len(d.Domains))
	t.printf("  After %v each of %d groups has one home that grants all permits for its servers.", time.Since(s).Round(time.Millisecond), n)
	time.Sleep(500 * time.Millisecond) // lease holders collect the held permits from all nodes
	return nil
}

func (t *demoRun) request(path string, tokens int) Request {
	return Request{Path: path, Organisation: t.org, Class: t.class, Timeout: 3 * time.Second, Stream: tokens > 0, Tokens: tokens}
}

func (t *demoRun) stream(ctx context.Context) error {
	r := t.fleet.Send(ctx, t.request("pipelines/trail-hint", 24))
	if r.Outcome != "ok" {
		return fmt.Errorf("demo: streamed request: %s: %s", r.Outcome, r.Message)
	}
	t.printf("Streamed a trail hint (encode, retrieve, rerank, generate): first token after %v, %d tokens, whole after %v.",
		r.FirstToken.Round(time.Millisecond), len(strings.Fields(r.Text)), r.Took.Round(time.Millisecond))
	return nil
}

func (t *demoRun) resendKeyed(ctx context.Context) error {
	q := t.request("services/logbook/log-find", 0)
	q.Key, q.Input, q.Node = "find-4711", `{"cache":"GC4711"}`, "n1"
	a := t.fleet.Send(ctx, q)
	time.Sleep(500 * time.Millisecond) // responses are recorded in batches
	q.Node = "n3"
	b := t.fleet.Send(ctx, q)
	runs := 0
	for _, s := range t.fleet.JSON {
		runs += s.Runs(t.org + "/" + q.Key)
	}
	t.printf("Logged a find through node n1 (%s) and sent it again through n3 in the other region (%s): it ran %d time.", a.Outcome, b.Outcome, runs)
	if a.Outcome != "ok" || b.Outcome != "ok" || runs != 1 {
		return fmt.Errorf("demo: non-repeatable call: %s, then %s, %d runs", a.Outcome, b.Outcome, runs)
	}
	return nil
}

// sendRequests sends demoRequests requests at a steady rate and returns how many
// succeeded.
func (t *demoRun) sendRequests(ctx context.Context) int {
	var w sync.WaitGroup
	var mu sync.Mutex
	ok := 0
	for range demoRequests {
		w.Go(func() {
			r := t.fleet.Send(ctx, t.request("pipelines/trail-hint", 24))
			mu.Lock()
			defer mu.Unlock()
			if r.Outcome == "ok" {
				ok++
			}
		})
		time.Sleep(demoSendInterval)
	}
	w.Wait()
	return ok
}

// sendUnder is sendRequests once a version is in force. It also returns how many calls went to demoDomain.
func (t *demoRun) sendUnder(ctx context.Context, version uint64) (ok, calls int, err error) {
	if err := t.waitInForce(ctx, version); err != nil {
		return 0, 0, err
	}
	s := time.Now()
	ok = t.sendRequests(ctx)
	return ok, t.fleet.callsStartedSince(s, demoDomain), nil
}

func (t *demoRun) takeOut(ctx context.Context) error {
	a, err := t.fleet.Apply(ctx, "n1", "demo: planned work", func(d *fleet.Declaration) *fleet.Declaration {
		for _, p := range fleet.CapacityWithout(d, demoDomain) {
			if p.Pool == "language-model" && p.Region == "" {
				t.printf("Taking out failure domain %s leaves pool %s with %d of %d slots.", demoDomain, p.Pool, p.After, p.Before)
			}
		}
		return d.WithTakenOut(fleet.TargetDomain, demoDomain, "demo: planned work on the rack", time.Now())
	})
	if err != nil {
		return err
	}
	ok, k, err := t.sendUnder(ctx, a.Version)
	if err != nil {
		return err
	}
	t.printf("  While it is out: %d of %d requests answered in full, %d calls went to %s.", ok, demoRequests, k, demoDomain)
	if ok != demoRequests || k != 0 {
		return fmt.Errorf("demo: with %s out: %d of %d answered, %d calls there", demoDomain, ok, demoRequests, k)
	}
	return nil
}

func (t *demoRun) bringBack(ctx context.Context) error {
	a, err := t.fleet.Apply(ctx, "n3", "demo: work done", func(d *fleet.Declaration) *fleet.Declaration {
		return d.WithBroughtBack(fleet.TargetDomain, demoDomain)
	})
	if err != nil {
		return err
	}
	ok, k, err := t.sendUnder(ctx, a.Version)
	if err != nil {
		return err
	}
	t.printf("Brought %s back; its servers start cold and ramp up: %d of %d requests answered in full, %d calls went there.", demoDomain, ok, demoRequests, k)
	if ok != demoRequests || k == 0 {
		return fmt.Errorf("demo: with %s back: %d of %d answered, %d calls there", demoDomain, ok, demoRequests, k)
	}
	return nil
}

// waitInForce waits until every node has installed a version and prints the time taken.
func (t *demoRun) waitInForce(ctx context.Context, v uint64) error {
	s := time.Now()
	err := t.waitUntil(ctx, "the version in force everywhere", func() bool {
		return t.fleet.installedCount(v) >= len(t.fleet.Nodes)
	})
	if err == nil {
		t.printf("  Version %d is in force on all %d nodes %v after it was accepted.", v, len(t.fleet.Nodes), time.Since(s).Round(time.Millisecond))
	}
	return err
}

func (t *demoRun) stopNode(ctx context.Context) error {
	q := t.request("pipelines/trail-hint", 24)
	q.Node = "n2"
	c := make(chan Response, 1)
	go func() { c <- t.fleet.Send(ctx, q) }()
	time.Sleep(100 * time.Millisecond)
	s := time.Now()
	t.fleet.StopNode("n2")
	r := <-c
	t.printf("Stopped node n2 while it streamed: the stream ended %s, the node left after %v and handed its homes over.", r.Outcome, time.Since(s).Round(10*time.Millisecond))
	if r.Outcome != "ok" {
		return fmt.Errorf("demo: stream on a stopping node: %s: %s", r.Outcome, r.Message)
	}
	return nil
}

func (f *Fleet) eventCount(k record.Kind, actor string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, e := range f.events {
		if e.Kind == k && (actor == "" || e.Actor == actor) {
			n++
		}
	}
	return n
}

// installedCount returns how many nodes have installed version v or a later one.
func (f *Fleet) installedCount(v uint64) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := map[string]bool{}
	for _, e := range f.events {
		if e.Kind == record.ConfigInstalled && e.Version >= v {
			m[e.Actor] = true
		}
	}
	return len(m)
}

// callsStartedSince returns how many calls started on servers of a failure domain after t.
func (f *Fleet) callsStartedSince(t time.Time, domain string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, e := range f.events {
		if e.Kind == record.CallStarted && e.Domain == domain && e.At.After(t) {
			n++
		}
	}
	return n
}
