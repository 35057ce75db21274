package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	contactTime    = 4 * time.Second         // contact-ms
	allowedRetries = 3                       // of a deadly request, later than contactTime after its third crash
	backTime       = 3 * time.Second         // until a worker that crashed is back
	entryTime      = 3600 * time.Millisecond // until the entry of a silent worker is removed
	deadlyTime     = 22 * time.Second        // for which the deadly request comes again and again
	deadlyPause    = 700 * time.Millisecond  // between an answer and the next request
	workTime       = 15 * time.Millisecond
	deadlyPath     = "/wuhu344/deadly"
)

// darkServer is a plain server on a VM that goes dark while it runs a deadly request: it answers nothing, and the packets
// that open a connection are dropped.
type darkServer struct {
	fleet   *fleet
	log     *deadlyLog
	zone    string
	address string

	mu      sync.Mutex
	boots   int
	id      string
	dark    chan struct{} // closed when the VM goes dark
	dead    chan struct{} // closed when the process of before is gone for good
	conns   []net.Conn
	socket  net.Listener
	fillers []net.Conn
}

// deadlyLog is when the deadly request reached and crashed workers.
type deadlyLog struct {
	mu      sync.Mutex
	reached []time.Time
	crashes []time.Time
	lost    int // sound requests in progress at the crashes
}

// listenSmall listens with a queue of one connection, so that it can be filled.
func listenSmall(address string) (net.Listener, error) {
	a, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return nil, err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer func() { _ = file.Close() }() // the listener has a copy
	s := &syscall.SockaddrInet4{Port: a.Port}
	copy(s.Addr[:], a.IP.To4())
	err = errors.Join(syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1), syscall.Bind(fd, s), syscall.Listen(fd, 1))
	if err != nil {
		return nil, err
	}
	return net.FileListener(file)
}

// start starts a process of the server under a new id.
func (s *darkServer) start() error {
	l, err := listenSmall(s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.boots++
	s.address, s.socket = l.Addr().String(), l
	s.id = fmt.Sprintf("i-%s-%d", strings.TrimPrefix(s.address, s.fleet.subnet), s.boots)
	s.dark, s.dead, s.conns, s.fillers = make(chan struct{}), make(chan struct{}), nil, nil
	id, dark, dead := s.id, s.dark, s.dead
	s.mu.Unlock()
	go s.accept(l, id, dark, dead)
	s.fleet.putServer(id, "xano55b", s.address, s.zone, 6)
	s.fleet.printf("worker %s starts", id)
	return nil
}

func (s *darkServer) accept(l net.Listener, id string, dark, dead chan struct{}) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns = append(s.conns, c)
		s.mu.Unlock()
		go s.serveConn(c, id, dark, dead)
	}
}

func (s *darkServer) serveConn(c net.Conn, id string, dark, dead chan struct{}) {
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		rid := r.Header.Get("X-Bergamotspring-Request-Id")
		if e := r.Header.Get("X-Bergamotspring-Expect-Instance"); e != "" && e != id {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Bergamotspring-Request-Id: %s\r\nX-Bergamotspring-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", rid, id)
			continue
		}
		select {
		case <-dark:
			<-dead
			return
		default:
		}
		if r.URL.Path == deadlyPath && s.log != nil {
			s.fleet.printf("worker %s begins to run the deadly %s", id, rid)
			s.crash(id)
			<-dead
			return
		}
		select {
		case <-time.After(workTime):
		case <-dark:
			s.log.addLost()
			s.fleet.printf("worker %s went dark with %s", id, rid)
			<-dead
			return
		}
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Bergamotspring-Request-Id: %s\r\nX-Bergamotspring-Server-Stamp: stamp.%s\r\nContent-Length: %d\r\n\r\n%s", rid, id, len(rid), rid); err != nil {
			return
		}
	}
}

func (l *deadlyLog) addLost() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost++
}

// crash makes the VM go dark, unless it is already, and brings it back later.
func (s *darkServer) crash(id string) {
	now := time.Now()
	s.log.mu.Lock()
	s.log.reached = append(s.log.reached, now)
	s.log.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.dark:
		return
	default:
	}
	close(s.dark)
	s.log.mu.Lock()
	s.log.crashes = append(s.log.crashes, now)
	s.log.mu.Unlock()
	if os.Getenv("CRASH") == "refuse" {
		_ = s.socket.Close()
		for _, c := range s.conns {
			_ = c.Close()
		}
	} else {
		_ = s.socket.(*net.TCPListener).SetDeadline(time.Unix(1, 0)) // accepts no more
		for range 3 {
			if c, err := net.DialTimeout("tcp", s.address, 50*time.Millisecond); err == nil {
				s.fillers = append(s.fillers, c)
			}
		}
	}
	time.AfterFunc(backTime, func() { s.comeBack() })
	time.AfterFunc(entryTime, func() { s.fleet.store.Remove("servers", id) })
}

// comeBack starts the next process.
func (s *darkServer) comeBack() {
	s.end()
	if err := s.start(); err != nil {
		s.fleet.printf("worker at %s did not start again: %v", s.address, err)
	}
}

// end ends the process and resets its connections.
func (s *darkServer) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.dead)
	_ = s.socket.Close()
	for _, c := range append(s.conns, s.fillers...) {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// runDark sends a request that crashes the workers that run it, again and again, beside sound ones.
func runDark(f *fleet, trouble bool) (int, error) {
	const host = "pule25.example"
	var l *deadlyLog
	if trouble {
		l = &deadlyLog{}
	}
	f.putConfiguration(7, []route{
		{name: "r-read", host: host, prefix: "/wuhu344/", kind: "safe", service: "xano55b", timeout: 800 * time.Millisecond, goal: 150 * time.Millisecond, attempts: 2},
	}, []map[string]any{{"name": "xano55b", "health-path": "/healthz", "max-conns": 49, "protocol": "h1", "tls": false, "cold-start-s": 0.0, "cold-per-s": 0.0}})
	for i := range 9 {
		s := &darkServer{fleet: f, log: l, zone: []string{"pampa-norte", "pampa-sur", "cuyo-centro"}[i%3], address: f.ip(101+i) + ":0"}
		if err := s.start(); err != nil {
			return 0, err
		}
	}
	for _, z := range []string{"pampa-norte", "pampa-sur", "cuyo-centro", "pampa-norte"} {
		if _, err := f.addNode(z); err != nil {
			return 0, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return 0, err
	}
	time.Sleep(contactTime + time.Second)
	return f.callDeadly(host, l)
}

// callDeadly plays the callers, and returns by how many requests the bound was exceeded.
func (f *fleet) callDeadly(host string, l *deadlyLog) (int, error) {
	end := time.Now().Add(deadlyTime)
	var w sync.WaitGroup
	served := make([]int, len(f.nodes))
	for i, n := range f.nodes {
		w.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				a := call(n.callers, request{method: http.MethodGet, host: host, path: "/wuhu344/2f", id: fmt.Sprintf("%016x", 1<<44+i<<20+k), timeout: 1500 * time.Millisecond})
				if a.err == nil && a.status == http.StatusOK {
					served[i]++
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	for k := 0; time.Now().Before(end); k++ {
		n := f.nodes[k%len(f.nodes)]
		q := request{method: http.MethodGet, host: host, path: deadlyPath, id: fmt.Sprintf("%016x", 1<<40+k), timeout: 1500 * time.Millisecond}
		f.printf("caller sends the deadly %s to %s", q.id, n.name)
		a := call(n.callers, q)
		f.printf("caller got for %s: status %d, error %v, after %.3f s", q.id, a.status, a.err, a.endedAt.Sub(a.sentAt).Seconds())
		time.Sleep(deadlyPause)
	}
	w.Wait()
	for i, n := range served {
		f.printf("%s served %d sound requests", f.nodes[i].name, n)
		if n == 0 {
			return 0, errors.New("a node served no sound request")
		}
	}
	if l == nil {
		return 0, nil
	}
	return f.judgeDeadly(l), nil
}

func (f *fleet) judgeDeadly(l *deadlyLog) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	f.printf("the deadly request reached workers %d times, in %d crashes; %d sound requests were in progress there", len(l.reached), len(l.crashes), l.lost)
	if len(l.crashes) < 3 {
		return 0
	}
	late := 0
	for _, t := range l.reached {
		if t.Sub(l.crashes[2]) > contactTime {
			late++
		}
	}
	f.printf("BUDGET: %d requests reached workers later than %v after the third crash, %d are allowed", late, contactTime, allowedRetries)
	return max(0, late-allowedRetries)
}
