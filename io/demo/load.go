package demo

// This file implements the load command: it sends requests at a steady rate to the nodes
// that are ready, as the platform's load balancer does, and summarises the responses.

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bergamotspring/core/record"
	"bergamotspring/io/operator/command"
	"bergamotspring/io/standin"
)

const (
	probeInterval = 200 * time.Millisecond // of /readyz
	probeTimeout  = time.Second
	// loadTimeout is longer than every deadline, so that the node ends requests first.
	loadTimeout = 15 * time.Second
	loadSamples = 10
)

// Outcomes assigned by the load generator, beside those that nodes report.
const (
	notConnected  = "not_connected" // no connection was made, so nothing ran
	noReadyNode   = "no_ready_node"
	wrongResponse = "wrong_answer"
)

type load struct {
	command.Load
	client *http.Client
	runID  string // makes prompts and keys unique
	ready  []atomic.Bool

	mu                          sync.Mutex
	report                      *command.Report
	firstToken, tokenGap, total *hdrhistogram.Histogram
	lastOK                      time.Time
}

// SendLoad sends requests until the duration of the load is over or ctx ends, and waits
// for the requests in flight.
func SendLoad(ctx context.Context, c command.Load) (*command.Report, error) {
	l := &load{
		Load: c, runID: rand.Text()[:8], ready: make([]atomic.Bool, len(c.Nodes)), lastOK: time.Now(),
		report:     &command.Report{Outcomes: map[string]int{}, Nodes: map[string]map[string]int{}, Samples: []string{}},
		firstToken: newHistogram(), tokenGap: newHistogram(), total: newHistogram(),
	}
	t := &http.Transport{DisableKeepAlives: true}
	if c.CAFile != "" {
		p, err := loadCertPool(c.CAFile)
		if err != nil {
			return nil, err
		}
		t.TLSClientConfig = &tls.Config{RootCAs: p, MinVersion: tls.VersionTLS12}
	}
	l.client = &http.Client{Transport: t}
	for i := range c.Nodes {
		l.probe(ctx, i)
	}
	l.send(ctx)
	l.finish()
	return l.report, nil
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, loadTimeout.Microseconds(), 3)
}

func loadCertPool(file string) (*x509.CertPool, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	p := x509.NewCertPool()
	if !p.AppendCertsFromPEM(b) {
		return nil, fmt.Errorf("%s holds no PEM certificate", file)
	}
	return p, nil
}

// send starts requests at the given rate.
func (l *load) send(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, l.For)
	defer cancel()
	var w sync.WaitGroup
	for i := range l.Nodes {
		w.Go(func() { l.watchReadiness(ctx, i) })
	}
	t := time.NewTicker(time.Duration(float64(time.Second) / l.Rate))
	defer t.Stop()
	for i := 0; ctx.Err() == nil; i++ {
		w.Go(func() { l.sendOne(i) })
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}
	w.Wait()
}

// watchReadiness probes the readiness of a node until ctx ends.
func (l *load) watchReadiness(ctx context.Context, i int) {
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			l.probe(ctx, i)
		case <-ctx.Done():
			return
		}
	}
}

func (l *load) probe(ctx context.Context, i int) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, l.Nodes[i]+"/readyz", nil)
	if err != nil {
		return
	}
	a, err := l.client.Do(r)
	if err == nil {
		_ = a.Body.Close() // only the status matters
	}
	l.ready[i].Store(err == nil && a.StatusCode == http.StatusOK)
}

// pickNode returns a ready node by round robin, "" if there is none.
func (l *load) pickNode(i int) string {
	for k := range l.Nodes {
		if j := (i + k) % len(l.Nodes); l.ready[j].Load() {
			return l.Nodes[j]
		}
	}
	return ""
}

// sendOne sends request i and counts its outcome.
func (l *load) sendOne(i int) {
	node := l.pickNode(i)
	in := fmt.Sprintf("%s %d", l.runID, i)
	r := Response{Outcome: noReadyNode}
	if node != "" {
		r = l.exchange(node, i, in)
	}
	if r.Outcome == "ok" && !l.isComplete(in, r) {
		r.Outcome, r.Message = wrongResponse, r.Text
	}
	l.count(node, r)
}

func (l *load) isPipeline() bool { return strings.HasPrefix(l.Target, "pipelines/") }

// isComplete reports whether r is the whole response to in.
func (l *load) isComplete(in string, r Response) bool {
	if l.isPipeline() {
		return r.Text == standin.Text(in, responseTokens)
	}
	return r.Text == in || r.Text == quoted(in)
}

func quoted(s string) string {
	b, _ := json.Marshal(s) // a string always encodes
	return string(b)
}

func (l *load) exchange(node string, i int, in string) Response {
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	var r Response
	start := time.Now()
	err := l.roundTrip(ctx, node, i, in, start, &r)
	r.Took = time.Since(start)
	if err != nil {
		r.Outcome, r.Message = record.LostConnection, err.Error()
		if e, ok := errors.AsType[*net.OpError](err); ok && e.Op == "dial" {
			r.Outcome = notConnected
		}
	}
	return r
}

func (l *load) roundTrip(ctx context.Context, node string, i int, in string, start time.Time, r *Response) error {
	h, err := http.NewRequestWithContext(ctx, http.MethodPost, node+"/v1/"+l.Target, strings.NewReader(quoted(in)))
	if err != nil {
		return err
	}
	h.Header.Set("Content-Type", "application/json")
	h.Header.Set("X-Organisation", l.Orgs[i%len(l.Orgs)])
	if l.Class != "" {
		h.Header.Set("X-Class", l.Class)
	}
	if l.isPipeline() {
		h.Header.Set("Accept", "text/event-stream")
	} else {
		h.Header.Set("Idempotency-Key", strings.ReplaceAll(in, " ", "-"))
	}
	a, err := l.client.Do(h)
	if err != nil {
		return err
	}
	defer func() { _ = a.Body.Close() }() // read to its end or given up
	r.Status, r.RequestID = a.StatusCode, a.Header.Get("X-Request-Id")
	if strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream") {
		return readStream(a.Body, start, r)
	}
	return readBody(a.Body, false, r)
}

func (l *load) count(node string, r Response) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.report
	p.Sent++
	p.Outcomes[r.Outcome]++
	if node != "" {
		if p.Nodes[node] == nil {
			p.Nodes[node] = map[string]int{}
		}
		p.Nodes[node][r.Outcome]++
	}
	if r.Outcome != "ok" {
		if len(p.Samples) < loadSamples {
			p.Samples = append(p.Samples, fmt.Sprintf("%s %s %s after %v: %s", node, r.RequestID, r.Outcome, r.Took.Round(time.Millisecond), r.Message))
		}
		return
	}
	l.recordOK()
	_ = l.total.RecordValue(r.Took.Microseconds()) // below loadTimeout, so within the range
	if r.FirstToken > 0 {
		_ = l.firstToken.RecordValue(r.FirstToken.Microseconds())
	}
	for _, g := range r.Gaps {
		_ = l.tokenGap.RecordValue(g.Microseconds())
	}
}

// recordOK updates the longest time without a successful response.
func (l *load) recordOK() {
	n := time.Now()
	l.report.LongestGap = max(l.report.LongestGap, roundedMilliseconds(n.Sub(l.lastOK).Microseconds()))
	l.lastOK = n
}

func (l *load) finish() {
	p := l.report
	p.FirstToken, p.TokenGap, p.WholeResponse = percentiles(l.firstToken), percentiles(l.tokenGap), percentiles(l.total)
}

func roundedMilliseconds(us int64) float64 { return float64(us/100) / 10 }

func percentiles(h *hdrhistogram.Histogram) command.Percentiles {
	q := func(p float64) float64 { return roundedMilliseconds(h.ValueAtQuantile(p)) }
	return command.Percentiles{P50: q(50), P95: q(95), P99: q(99), Max: roundedMilliseconds(h.Max())}
}
