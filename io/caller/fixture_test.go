package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/core/limit"
	"bergamotspring/core/stage"
	"bergamotspring/io/backend"
	"bergamotspring/io/standin"
)

// fixture is one node with stand-ins on an in-memory network. Every permit request is
// granted unless refuse returns an error.
type fixture struct {
	t        testing.TB
	net      *standin.Network
	node     *Server
	engines  []*standin.Engine
	pools    map[string][]*standin.JSON
	client   *http.Client
	traces   chan *stage.Trace
	servers  []*http.Server
	mu       sync.Mutex
	next     int
	released []limit.Release
	refuse   func(limit.Request) error
}

func declaration() *fleet.Declaration {
	d := &fleet.Declaration{
		Defaults:      fleet.Defaults{Deadline: 4 * time.Second, MaxCall: 10 * time.Second},
		Regions:       []fleet.Region{{Name: "r"}},
		Domains:       []fleet.FailureDomain{{Name: "d", Region: "r"}},
		Organisations: []fleet.Organisation{{Name: "org"}},
		Classes:       []fleet.Class{{Name: "normal"}},
		Pools:         []fleet.Pool{{Name: "llm", Protocol: fleet.ProtocolEngine, Expect: 400 * time.Millisecond, Model: "m"}},
		Services: []fleet.Service{{Name: "filing", Pool: "filing", Operations: []fleet.Operation{
			{Name: "submit"}, {Name: "status", Repeatable: true},
		}}},
		Pipelines: []fleet.Pipeline{
			{Name: "hints", Stages: []fleet.Stage{
				{Name: "encode", Kind: fleet.Encode, Pool: "encode"},
				{Name: "retrieve", Kind: fleet.Retrieve, Pool: "retrieve"},
				{Name: "rerank", Kind: fleet.Rerank, Pool: "rerank"},
				{Name: "generate", Kind: fleet.Generate, Pool: "llm", MaxTokens: 20},
			}},
			{Name: "search", Stages: []fleet.Stage{{Name: "encode", Kind: fleet.Encode, Pool: "encode"}}},
			{Name: "say", Stages: []fleet.Stage{{Name: "generate", Kind: fleet.Generate, Pool: "llm", MaxTokens: 20}}},
		},
	}
	for _, p := range []string{"encode", "retrieve", "rerank", "filing"} {
		d.Pools = append(d.Pools, fleet.Pool{Name: p, Protocol: fleet.ProtocolJSON, Expect: 20 * time.Millisecond})
	}
	for _, p := range d.Pools {
		for _, n := range []string{"1", "2"} {
			d.Servers = append(d.Servers, fleet.BackendServer{Name: p.Name + n, Pool: p.Name, Domain: "d", Address: p.Name + n + ":80"})
		}
	}
	return d
}

func newFixture(t testing.TB) *fixture {
	w := &fixture{t: t, net: &standin.Network{}, pools: map[string][]*standin.JSON{}, traces: make(chan *stage.Trace, 256)}
	v := fleet.NewView(declaration(), 1)
	for _, s := range v.Declaration.Servers {
		crash := func() { w.net.SetHost(s.Name, standin.HostRefuses) }
		if s.Pool == "llm" {
			e := &standin.Engine{Host: standin.Host{Name: s.Name, OnCrash: crash}, Prefill: 50 * time.Millisecond, Gap: 10 * time.Millisecond}
			w.engines = append(w.engines, e)
			w.serve(s.Address, e.Handler())
			continue
		}
		j := &standin.JSON{Host: standin.Host{Name: s.Name, OnCrash: crash}, Service: 10 * time.Millisecond}
		w.pools[s.Pool] = append(w.pools[s.Pool], j)
		w.serve(s.Address, j.Handler())
	}
	base := time.Now()
	clock := backend.Clock{Boot: func() time.Duration { return time.Since(base) }}
	w.node = &Server{
		Node: "n1", Region: "r", Workers: 16, Queue: 16, Clock: clock,
		View:    func() *fleet.View { return v },
		Groups:  func(p string, _ time.Duration) []fleet.GroupID { return []fleet.GroupID{{Pool: p, Domain: "d"}} },
		Acquire: w.acquire, Release: w.release,
		Backend: &backend.Client{Dial: w.net.Dialer("node"), Clock: clock},
		Observe: func(s *stage.Trace) { w.traces <- s },
	}
	h := w.node.HTTP()
	l, err := w.net.Listen("node:80")
	if err != nil {
		t.Fatal(err)
	}
	w.servers = append(w.servers, h)
	go func() { _ = h.Serve(l) }()
	w.client = &http.Client{Transport: &http.Transport{DialContext: w.net.Dialer("caller")}}
	return w
}

func (w *fixture) serve(addr string, h http.Handler) {
	l, err := w.net.Listen(addr)
	if err != nil {
		w.t.Fatal(err)
	}
	s := &http.Server{Handler: h}
	w.servers = append(w.servers, s)
	go func() { _ = s.Serve(l) }()
}

func (w *fixture) acquire(_ context.Context, a limit.Request, _ bool) (limit.Permit, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.refuse != nil {
		if err := w.refuse(a); err != nil {
			return limit.Permit{}, err
		}
	}
	for range 2 {
		w.next++
		s := a.Group.Pool + string('1'+byte(w.next%2))
		if !slices.Contains(a.Avoid, s) {
			return limit.Permit{ID: a.ID, RequestID: a.ID, Group: a.Group, Server: s, Address: s + ":80", SendBy: 500 * time.Millisecond}, nil
		}
	}
	return limit.Permit{}, &limit.RefusedError{Group: a.Group, Reason: limit.RefusedNoServer}
}

func (w *fixture) release(r limit.Release) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.released = append(w.released, r)
}

// close stops everything that runs in the synctest bubble. It also checks that the node
// drains: if it does not, close blocks and the test fails.
func (w *fixture) close() {
	<-w.node.Drain()
	w.node.Backend.Close()
	w.client.CloseIdleConnections()
	for _, s := range w.servers {
		_ = s.Close()
	}
}

// result is a response as a caller sees it.
type result struct {
	status int
	body   string
	text   string
	tokens int
	last   string // name of the last event
	data   string // its data
	id     string // request ID that the node returned
	err    error
}

// post sends one request; header holds pairs of name and value.
func (w *fixture) post(ctx context.Context, path, body string, header ...string) result {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://node/v1/"+path, strings.NewReader(body))
	if err != nil {
		w.t.Fatal(err)
	}
	r.Header.Set("X-Organisation", "org")
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	p, err := w.client.Do(r)
	if err != nil {
		return result{err: err}
	}
	defer p.Body.Close()
	if p.Header.Get("Content-Type") == "text/event-stream" {
		return w.events(p)
	}
	b, err := io.ReadAll(p.Body)
	return result{status: p.StatusCode, body: string(b), id: p.Header.Get("X-Request-Id"), err: err}
}

// events reads a stream and checks that its tokens arrive in order, once each.
func (w *fixture) events(p *http.Response) result {
	res := result{status: p.StatusCode, id: p.Header.Get("X-Request-Id")}
	sc := bufio.NewScanner(p.Body)
	for sc.Scan() {
		if n, ok := strings.CutPrefix(sc.Text(), "event: "); ok {
			res.last = n
		}
		d, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		res.data = d
		if res.last != "token" {
			continue
		}
		var tok struct {
			Index int
			Text  string
		}
		if err := json.Unmarshal([]byte(d), &tok); err != nil {
			w.t.Error(err)
		}
		if tok.Index != res.tokens {
			w.t.Errorf("token index = %d, want %d", tok.Index, res.tokens)
		}
		res.tokens++
		res.text += tok.Text
	}
	res.err = sc.Err()
	return res
}

func (w *fixture) sse(path, body string) result {
	return w.post(context.Background(), path, body, "Accept", "text/event-stream")
}
