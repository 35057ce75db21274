package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	chunkedBody   = 4800 // bytes, the largest response of the plain kinds in the site file
	chunkSize     = 4096 // bytes, the buffer in which the server writes its response
	spoilInterval = 50   // one response in so many is spoilt by the faulty server
	chunkRequests = 600
	chunkCallers  = 6
)

// chunkServer is a plain server that sends its responses in chunks of chunkSize.
type chunkServer struct {
	fleet  *fleet
	id     string
	faulty bool // cuts off some responses after a chunk, and goes on with bytes that are no response
	ran    atomic.Int64
	spoilt atomic.Int64
}

// wholeBody returns the body of the response to a request.
func wholeBody(id string) []byte {
	return bytes.Repeat([]byte("answer to "+id+"\n"), chunkedBody/8)[:chunkedBody]
}

func (s *chunkServer) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go s.serveConn(c)
	}
}

func (s *chunkServer) serveConn(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !s.respond(c, r) {
			return
		}
	}
}

// respond responds to a request and reports whether the connection can be used again.
func (s *chunkServer) respond(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("X-Bergamotspring-Request-Id")
	if id == "" { // a status check
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Bergamotspring-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id)
		return err == nil
	}
	n := s.ran.Add(1)
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\nX-Bergamotspring-Request-Id: %s\r\nX-Bergamotspring-Server-Stamp: stamp.%s.%s\r\n", id, s.id, id)
	b.WriteString("Content-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n")
	body := wholeBody(id)
	_, _ = fmt.Fprintf(&b, "%x\r\n%s\r\n", chunkSize, body[:chunkSize])
	spoil := s.faulty && n%spoilInterval == 0
	if spoil {
		s.spoilt.Add(1)
		b.WriteString("server error: worker thread ended\r\n")
	} else {
		_, _ = fmt.Fprintf(&b, "%x\r\n%s\r\n0\r\n\r\n", len(body)-chunkSize, body[chunkSize:])
	}
	_, err := io.WriteString(c, b.String())
	s.fleet.printf("server %s runs %s; response cut off after %d of %d bytes: %v", s.id, id, chunkSize, chunkedBody, spoil)
	return err == nil && !spoil
}

// runChunks lets a server cut off responses after a chunk that fills the first buffer of the node, and go on with bytes
// that are no response.
func runChunks(f *fleet, trouble bool) (int, error) {
	host := "jepu9.example"
	f.putConfiguration(7, []route{
		{name: "r-read", host: host, prefix: "/wuhu344/", kind: "safe", service: "xano55b", timeout: 800 * time.Millisecond, goal: 150 * time.Millisecond, attempts: 2},
		{name: "r-file", host: host, prefix: "/bobo563/", kind: "unsafe", service: "xano55b", timeout: 800 * time.Millisecond, goal: 150 * time.Millisecond, attempts: 1},
	}, []map[string]any{{"name": "xano55b", "health-path": "/healthz", "max-conns": 49, "protocol": "h1", "tls": false, "cold-start-s": 0.0, "cold-per-s": 0.0}})
	for i, z := range []string{"pampa-norte", "pampa-sur", "cuyo-centro"} {
		s := &chunkServer{fleet: f, id: fmt.Sprintf("i-%d", i+1), faulty: trouble && i == 0}
		l, err := net.Listen("tcp", f.ip(101+i)+":0")
		if err != nil {
			return 0, err
		}
		f.closed = append(f.closed, l)
		go s.serve(l)
		f.putServer(s.id, "xano55b", l.Addr().String(), z, 6)
	}
	n, err := f.addNode("pampa-norte")
	if err != nil {
		return 0, err
	}
	if err := f.awaitReady(); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second) // the entries of the servers are read
	return f.callChunks(n, host)
}

// callChunks sends requests from several callers and counts successes whose body is not that of the server.
func (f *fleet) callChunks(n *node, host string) (int, error) {
	var broken, good atomic.Int64
	done := make(chan struct{})
	for k := range chunkCallers {
		go func() {
			defer func() { done <- struct{}{} }()
			for i := k; i < chunkRequests; i += chunkCallers {
				q := request{method: http.MethodGet, host: host, path: "/wuhu344/2f", id: fmt.Sprintf("%016x", 1<<40+i), timeout: 1500 * time.Millisecond}
				if i%2 == 1 {
					q.method, q.path, q.body = http.MethodPost, "/bobo563/lo7/2f", "find"
				}
				a := call(n.callers, q)
				whole := bytes.Equal(a.body, wholeBody(q.id))
				f.printf("caller sent %s %s: status %d, stamp %q, %d bytes, error %v, whole body %v", q.method, q.id, a.status, a.stamp, len(a.body), a.err, whole)
				switch {
				case a.err != nil || a.status/100 != 2:
				case whole:
					good.Add(1)
				default:
					broken.Add(1)
					f.printf("MIXED: the caller of %s got %d of %d bytes as a complete success", q.id, len(a.body), chunkedBody)
				}
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	for range chunkCallers {
		<-done
	}
	if good.Load() < chunkRequests/2 {
		return 0, fmt.Errorf("only %d of %d requests were served", good.Load(), chunkRequests)
	}
	return int(broken.Load()), nil
}
