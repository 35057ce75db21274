package caller

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/core/limit"
	"bergamotspring/io/backend"
	"bergamotspring/io/standin"
)

// Each benchmark alternates within one run between the node and a plain net/http relay,
// or a direct connection, against the same stand-in.

// listen serves h on a loopback port.
func listen(b *testing.B, h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	b.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// benchNode starts a node for declaration d. All servers of a pool are at address(pool).
func benchNode(b *testing.B, d *fleet.Declaration, address func(pool string) string) string {
	v := fleet.NewView(d, 1)
	s := &Server{
		Node: "n1", Region: "r", Workers: 2048,
		View:   func() *fleet.View { return v },
		Groups: func(p string, _ time.Duration) []fleet.GroupID { return []fleet.GroupID{{Pool: p, Domain: "d"}} },
		Acquire: func(_ context.Context, a limit.Request, _ bool) (limit.Permit, error) {
			return limit.Permit{ID: a.ID, Group: a.Group, Server: "s", Address: address(a.Group.Pool), SendBy: time.Second}, nil
		},
		Release: func(limit.Release) {},
		Backend: &backend.Client{},
	}
	b.Cleanup(func() { <-s.Drain(); s.Backend.Close() })
	return listen(b, s)
}

func cpu() time.Duration {
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

func post(b *testing.B, c *http.Client, url, body string, stream bool) *http.Response {
	r, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	r.Header.Set("X-Organisation", "org")
	if stream {
		r.Header.Set("Accept", "text/event-stream")
	}
	p, err := c.Do(r)
	if err != nil {
		b.Fatal(err)
	}
	if p.StatusCode != http.StatusOK {
		b.Fatalf("status = %d", p.StatusCode)
	}
	return p
}

// BenchmarkStageCall compares the CPU time of a pipeline of four JSON stages with that of
// a relay that makes the same four calls with a plain http.Client.
func BenchmarkStageCall(b *testing.B) {
	const stages, callers, each = 4, 16, 20
	at := listen(b, (&standin.JSON{}).Handler())
	d := declaration()
	p := fleet.Pipeline{Name: "four"}
	for range stages {
		p.Stages = append(p.Stages, fleet.Stage{Name: "encode", Kind: fleet.Encode, Pool: "encode"})
	}
	d.Pipelines = append(d.Pipelines, p)
	node := benchNode(b, d, func(string) string { return at })
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	relay := listen(b, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		in, _ := io.ReadAll(r.Body)
		for range stages {
			body := append(append([]byte(`{"call_id":"c","organisation":"org","input":`), in...), '}')
			p, err := c.Post("http://"+at+"/v1/encode", "application/json", bytes.NewReader(body))
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.ReadAll(p.Body)
			_ = p.Body.Close()
		}
		_, _ = w.Write(in)
	}))
	body := `"` + strings.Repeat("x", 1024) + `"`
	run := func(url string) time.Duration {
		t := cpu()
		var g sync.WaitGroup
		for range callers {
			g.Go(func() {
				for range each {
					p := post(b, c, url, body, false)
					_, _ = io.Copy(io.Discard, p.Body)
					_ = p.Body.Close()
				}
			})
		}
		g.Wait()
		return cpu() - t
	}
	urls := []string{"http://" + node + "/v1/pipelines/four", "http://" + relay + "/"}
	run(urls[0])
	run(urls[1])
	var n, r time.Duration
	b.ResetTimer()
	for range b.N {
		n += run(urls[0])
		r += run(urls[1])
	}
	per := func(d time.Duration) float64 {
		return float64(d.Nanoseconds()) / 1000 / float64(b.N*callers*each*stages)
	}
	b.ReportMetric(per(n), "node-cpu-us/stage")
	b.ReportMetric(per(r), "relay-cpu-us/stage")
	b.ReportMetric(per(n-r), "added-cpu-us/stage")
	b.ReportMetric(float64(n)/float64(r), "ratio")
}

// BenchmarkToken compares the allocations and the CPU time per relayed token with those of
// a direct connection to the same model server.
func BenchmarkToken(b *testing.B) {
	const tokens = 1000
	at := listen(b, (&standin.Engine{Gap: 100 * time.Microsecond}).Handler())
	d := declaration()
	d.Pipelines[2].Stages[0].MaxTokens = tokens
	node := benchNode(b, d, func(string) string { return at })
	c := &http.Client{Transport: &http.Transport{}}
	run := func(url, body string) (allocs uint64, used time.Duration) {
		var x, y runtime.MemStats
		runtime.ReadMemStats(&x)
		t := cpu()
		p := post(b, c, url, body, true)
		if n, _ := io.Copy(io.Discard, p.Body); n < tokens*20 {
			b.Fatalf("response has %d bytes", n)
		}
		_ = p.Body.Close()
		used = cpu() - t
		runtime.ReadMemStats(&y)
		return y.Mallocs - x.Mallocs, used
	}
	direct := `{"prompt":"why","max_tokens":1000,"request_id":"r"}`
	var an, ad uint64
	var cn, cd time.Duration
	for i := range b.N + 1 {
		a1, t1 := run("http://"+node+"/v1/pipelines/say", `"why"`)
		a2, t2 := run("http://"+at+"/v1/completions", direct)
		if i > 0 { // the first round opens connections
			an, ad, cn, cd = an+a1, ad+a2, cn+t1, cd+t2
		}
	}
	per := func(v float64) float64 { return v / float64(b.N*tokens) }
	b.ReportMetric(per(float64(an)), "node-allocs/token")
	b.ReportMetric(per(float64(ad)), "direct-allocs/token")
	b.ReportMetric(per(float64(an)-float64(ad)), "added-allocs/token")
	b.ReportMetric(per(float64((cn-cd).Nanoseconds()))/1000, "added-cpu-us/token")
}

// BenchmarkOpenStream compares the memory per open, mostly idle stream with that of a
// direct connection to the same model server.
func BenchmarkOpenStream(b *testing.B) {
	const streams = 500
	at := listen(b, (&standin.Engine{Gap: 800 * time.Millisecond}).Handler())
	d := declaration()
	d.Defaults.MaxCall = time.Minute
	d.Pipelines[2].Deadline = time.Minute
	node := benchNode(b, d, func(string) string { return at })
	used := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapInuse + m.StackInuse
	}
	run := func(url, body string) float64 {
		c := &http.Client{Transport: &http.Transport{}}
		u := used()
		var open []*http.Response
		for range streams {
			p := post(b, c, url, body, true)
			_, _ = p.Body.Read(make([]byte, 8))
			open = append(open, p)
		}
		v := used()
		for _, p := range open {
			_ = p.Body.Close()
		}
		c.CloseIdleConnections()
		time.Sleep(100 * time.Millisecond)
		return (float64(v) - float64(u)) / streams / 1024
	}
	var sn, sr float64
	for range b.N {
		sn += run("http://"+node+"/v1/pipelines/say", `"why"`)
		sr += run("http://"+at+"/v1/completions", `{"prompt":"why","max_tokens":20,"request_id":"r"}`)
	}
	n := float64(b.N)
	b.ReportMetric(sn/n, "node-KiB/stream")
	b.ReportMetric(sr/n, "direct-KiB/stream")
	b.ReportMetric((sn-sr)/n, "added-KiB/stream")
}
