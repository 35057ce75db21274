package edge

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	platformstandin "bergamotspring/platform/standin"
)

var endlessProgram = flag.String("endless_program", "", "path of the program that TestEndlessServersOfProgram starts; empty: it is not run")

const (
	programMemoryMB   = 284 // of the smallest VM
	programCallers    = 60  // at the same time
	programCaseTime   = 2 * time.Second
	programReadyTime  = 10 * time.Second
	programHost       = "127.77.1."
	programDeadlineMS = "1500"
)

// TestEndlessServersOfProgram plays TestEndlessServers with the program itself, on loopback addresses: its resident
// memory stays below that of the smallest VM, it does not end, and requests to other servers are served. It is started by hand, as it
// takes minutes and depends on the host:
//
//	go test ./io/edge -run TestEndlessServersOfProgram -endless_program target/bergamotspring -v
func TestEndlessServersOfProgram(t *testing.T) {
	if *endlessProgram == "" {
		t.Skip("started by hand with -endless_program")
	}
	p := startEndlessProgram(t)
	for _, kind := range []string{"read", "file", "draft", "stage"} {
		for _, e := range endlessResponses {
			p.bad.Store(&e)
			most, sound := p.play(t, kind)
			t.Logf("%s, %s: %d MB at most, %d sound requests", kind, e.name, most>>20, sound)
			if most > programMemoryMB*1e6 {
				t.Errorf("%s, %s: %d bytes are resident, want %d MB at most", kind, e.name, most, programMemoryMB)
			}
			if sound == 0 {
				t.Errorf("%s, %s: no sound request was served", kind, e.name)
			}
		}
	}
}

// endlessFleet is a node in a process of its own, with servers whose responses do not end and a sound one.
type endlessFleet struct {
	bad    atomic.Pointer[endlessResponse]
	pid    int
	exited atomic.Bool
	next   atomic.Int64 // id of the next request
}

func startEndlessProgram(t *testing.T) *endlessFleet {
	p := &endlessFleet{}
	store := &platformstandin.Store{}
	listenAndServe(t, programHost+"1:7000", store)
	bad := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { p.bad.Load().serve(w, r, 0) })
	sound := &platformstandin.Server{ID: "sound", Address: programHost + "9:8000", ServiceTime: 5 * time.Millisecond}
	p.addServer(t, store, "sound", sound.Address, "desk", sound)
	for i, service := range []string{"plain", "model", "encode"} {
		p.addServer(t, store, service, fmt.Sprintf("%s%d:8000", programHost, 10+i), service, bad)
	}
	store.Put("op", "config", endlessConfiguration())
	b, err := json.Marshal(map[string]any{
		"node-name": "n", "role": "edge", "ip": programHost + "2", "zone": "a", "region": "north", "zones": map[string]string{"a": "north"},
		"listen":     map[string]string{"front": programHost + "2:80", "readiness": programHost + "2:81", "control": programHost + "2:82"},
		"port-range": []int{9000, 9100}, "limits": map[string]any{"memory-mb": programMemoryMB, "cpu-share": 0.4, "cores": 1},
		"bounds":   map[string]any{"grace-s": 8, "retry-ratio": 0.2, "retry-window-s": 10, "retry-slack": 10000},
		"platform": map[string]any{"address": programHost + "1:7000", "form": "table"},
	})
	path := filepath.Join(t.TempDir(), "settings.json")
	if err == nil {
		err = os.WriteFile(path, b, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	c := exec.Command(*endlessProgram, "edge")
	c.Env = append(os.Environ(), "BERGAMOTSPRING_BOOT="+path)
	c.Stdout = io.Discard
	c.Stderr = os.Stderr
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	p.pid = c.Process.Pid
	done := make(chan struct{})
	go func() {
		_ = c.Wait() // killed at the end
		p.exited.Store(true)
		close(done)
	}()
	t.Cleanup(func() {
		_ = c.Process.Kill()
		<-done
	})
	for end := time.Now().Add(programReadyTime); !p.request("sound", time.Second); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the program does not serve")
		}
	}
	return p
}

func (p *endlessFleet) addServer(t *testing.T, store *platformstandin.Store, id, address, service string, h http.Handler) {
	listenAndServe(t, address, h)
	store.Put("servers", id, map[string]any{"service": service, "address": address, "zone": "a", "slots": 200, "state": "ready", "cold-left-ms": 0, "sequence": 1})
}

func listenAndServe(t *testing.T, address string, h http.Handler) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
}

func endlessConfiguration() map[string]any {
	route := func(name, kind, service string, stages ...any) map[string]any {
		return map[string]any{
			"name": name, "host": "fleet.example", "prefix": "/" + name + "/", "route-kind": kind, "service": service, "timeout-ms": 4000,
			"latency-goal-ms": 1000, "priority": 1, "max-attempts": 2, "resumable": true, "itl-target-ms": 400, "stages": stages,
		}
	}
	batching := map[string]any{"slots": 4, "queue": 2, "batch": 8, "call-ms": 200, "item-ms": 10, "headroom-mb": 12, "handle-s": 4}
	return map[string]any{
		"version": 1,
		"route-table": []any{
			route("read", "safe", "plain"), route("file", "unsafe", "plain"), route("sound", "safe", "desk"), route("draft", "streaming", "model"),
			route("stage", "streaming", "model", map[string]any{"service": "encode", "after": []int{}, "size-bytes": 1000}),
		},
		"services": []any{
			map[string]any{"name": "plain", "max-conns": 500}, map[string]any{"name": "desk", "max-conns": 500},
			map[string]any{"name": "model", "max-conns": 500, "engine": map[string]any{"slots": 96, "kv-capacity": 1000000}},
			map[string]any{"name": "encode", "max-conns": 500, "segments": batching},
		},
		"limits": map[string]any{"max-body-bytes": 1 << 20},
	}
}

// request sends a request on a route, reads all of the response until a time limit, and reports whether it was a success.
func (p *endlessFleet) request(route string, limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+programHost+"2:80/"+route+"/x", strings.NewReader("body"))
	if err != nil {
		return false
	}
	r.Host = "fleet.example"
	for k, v := range map[string]string{
		"X-Bergamotspring-Request-Id": fmt.Sprint("q", p.next.Add(1)), "X-Bergamotspring-Deadline-Ms": programDeadlineMS, "X-Bergamotspring-Model": "m",
		"X-Bergamotspring-Token-Usage": "100,10", "X-Bergamotspring-Prefix-Hash": "aa:100", "X-Bergamotspring-Chunks": "2", "X-Bergamotspring-Chunk-Key": "k",
	} {
		r.Header.Set(k, v)
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = a.Body.Close() }()
	_, err = io.Copy(io.Discard, a.Body)
	return err == nil && a.StatusCode == http.StatusOK
}

// play sends requests on a route beside sound ones for programCaseTime, and returns the program's largest resident
// memory in bytes, and how many sound requests were served.
func (p *endlessFleet) play(t *testing.T, route string) (most int64, sound int) {
	end := time.Now().Add(programCaseTime)
	var g sync.WaitGroup
	for range programCallers {
		g.Go(func() {
			for time.Now().Before(end) {
				p.request(route, 2*time.Second)
			}
		})
	}
	for time.Now().Before(end) {
		if p.request("sound", time.Second) {
			sound++
		}
		most = max(most, p.resident())
	}
	g.Wait()
	if p.exited.Load() {
		t.Fatal("the program has ended")
	}
	return most, sound
}

// resident returns the resident memory of the program in bytes, 0 if it is not known.
func (p *endlessFleet) resident() int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(b), "VmRSS:")
	f := strings.Fields(rest)
	if len(f) == 0 {
		return 0
	}
	n, _ := strconv.ParseInt(f[0], 10, 64) // 0 if it is no number
	return n << 10
}
