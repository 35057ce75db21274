package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// excusedTime is how long after the SIGTERM a request may be sent that may be cut off at the end of the grace period.
	excusedTime   = 3 * time.Second
	stopCallers   = 40
	stopInterval  = 3 * time.Millisecond // between the requests of two callers
	streamEvents  = 56
	streamPause   = 190 * time.Millisecond // between two events; the sheet allows 400 ms
	streamTimeout = 15 * time.Second
)

// streamServer is a model server that takes its time for a stream, with a pause between events that is on time.
type streamServer struct {
	fleet *fleet
	id    string
	mu    sync.Mutex
	ran   map[string]bool // ids of the requests that it began to run
}

func (s *streamServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	id := r.Header.Get("X-Bergamotspring-Request-Id")
	h.Set("X-Bergamotspring-Instance-Id", s.id)
	if id == "" {
		return
	}
	h.Set("X-Bergamotspring-Request-Id", id)
	if r.Header.Get("X-Bergamotspring-Expect-Instance") != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	s.mu.Lock()
	s.ran[id] = true
	s.mu.Unlock()
	s.fleet.printf("server %s runs %s", s.id, id)
	h.Set("X-Bergamotspring-Server-Stamp", "stamp."+s.id+"."+id)
	h.Set("Content-Type", "text/event-stream")
	c := http.NewResponseController(w)
	for n := 1; n <= streamEvents; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n)
		_ = c.Flush()
		select {
		case <-time.After(streamPause):
		case <-r.Context().Done():
			s.fleet.printf("server %s: connection of %s closed after event %d of %d", s.id, id, n, streamEvents)
			return
		}
	}
	s.fleet.printf("server %s has sent all of %s", s.id, id)
}

func (s *streamServer) hasRun(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[id]
}

// runStop stops a node by SIGTERM and sends it streams on kept connections a little later than 3 s after that.
func runStop(f *fleet, trouble bool) (int, error) {
	const host = "jepu9.example"
	f.putConfiguration(7, []route{
		{name: "r-hint", host: host, prefix: "/cufi501/fi50/", kind: "streaming", service: "huvo11a", timeout: streamTimeout, goal: 2200 * time.Millisecond, attempts: 1},
	}, []map[string]any{{
		"name": "huvo11a", "health-path": "/healthz", "max-conns": 390, "protocol": "h1", "tls": false, "cold-start-s": 3.0, "cold-per-s": 10.0,
		"engine": map[string]any{"slots": 96, "kv-capacity": 223436, "kv-bytes": 131072, "link-mbps": 1100000.0, "stride": 5, "models": []any{map[string]any{"name": "m"}}},
	}})
	var servers []*streamServer
	for i, z := range []string{"cuyo-centro", "cuyo-centro", "pampa-norte"} {
		s := &streamServer{fleet: f, id: fmt.Sprintf("i-%d", i+1), ran: map[string]bool{}}
		l, err := net.Listen("tcp", f.ip(101+i)+":0")
		if err != nil {
			return 0, err
		}
		f.serve(l, s)
		f.putServer(s.id, "huvo11a", l.Addr().String(), z, 96)
		servers = append(servers, s)
	}
	for _, z := range []string{"cuyo-centro", "cuyo-centro", "pampa-norte"} {
		if _, err := f.addNode(z); err != nil {
			return 0, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return 0, err
	}
	time.Sleep(5 * time.Second) // all nodes know each other and have been undisturbed for contact-ms
	return f.callStopping(f.nodes[0], host, servers, trouble)
}

// callStopping opens kept connections to a node, stops it if stop is set, and sends a stream on each of them.
func (f *fleet) callStopping(n *node, host string, servers []*streamServer, stop bool) (int, error) {
	var conns []net.Conn
	for k := range stopCallers {
		c, err := net.DialTimeout("tcp", n.callers, time.Second)
		if err != nil {
			return 0, err
		}
		defer func() { _ = c.Close() }()
		// The first request on each connection is to no route: it is answered with 404, and the connection is kept.
		if a := exchange(c, bufio.NewReader(c), request{method: http.MethodGet, host: "none.example", path: "/", id: fmt.Sprintf("%016x", 1<<44+k), timeout: time.Second}); a.err != nil || a.status != http.StatusNotFound {
			return 0, fmt.Errorf("first request on a connection: status %d, error %w", a.status, a.err)
		}
		conns = append(conns, c)
	}
	if stop {
		if err := n.signal(syscall.SIGTERM); err != nil {
			return 0, err
		}
	}
	began := time.Now()
	var broken, served atomic.Int64
	var w sync.WaitGroup
	for k, c := range conns {
		w.Go(func() {
			time.Sleep(time.Until(began.Add(excusedTime + 5*time.Millisecond + time.Duration(k)*stopInterval)))
			q := request{method: http.MethodPost, host: host, path: "/cufi501/fi50/2f", id: fmt.Sprintf("%016x", 1<<40+k), timeout: streamTimeout, body: "trail"}
			a := exchange(c, bufio.NewReader(c), q)
			ran := false
			for _, s := range servers {
				ran = ran || s.hasRun(q.id)
			}
			f.printf("caller sent %s %.3f s after the signal: status %d, %d bytes, error %v, run by a server: %v, ended %.3f s after the signal",
				q.id, a.sentAt.Sub(began).Seconds(), a.status, len(a.body), a.err, ran, a.endedAt.Sub(began).Seconds())
			switch {
			case ran && a.err != nil:
				broken.Add(1)
				f.printf("LOST: the node has passed %s on to a server and closed the connection without a whole answer", q.id)
			case a.err == nil && a.status == http.StatusOK:
				served.Add(1)
			}
		})
	}
	w.Wait()
	if !stop && served.Load() < stopCallers {
		return 0, fmt.Errorf("only %d of %d streams were served", served.Load(), stopCallers)
	}
	return int(broken.Load()), nil
}
