package exchange

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"time"
)

// verified sends a request to a process after a handshake. Bodies of responses name the process, or are marks.
func (s *script) verified(process string) (string, error) {
	_, b, err := s.sendSame(process, "")
	return b, err
}

// sendSame is verified for the process with the name same, if that is not empty. It returns the name of the process that got the
// request.
func (s *script) sendSame(process, same string) (name, body string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r := &Request{
		Address: address, Method: http.MethodPost, Target: "/x", Host: "h", Process: process, Same: same,
		OnProcess: func(n string) { name = n },
		Handshake: &Handshake{
			Request:  &Request{Address: address, Method: http.MethodGet, Target: "/who", Host: "h"},
			Identify: func(_ int, b []byte) (string, error) { return string(b), nil },
		},
	}
	_, b, err := s.pool.Whole(ctx, r, 100, func(_ int, b []byte) (string, error) { return string(b), nil })
	return name, string(b), err
}

// A request reaches the process that it is meant for only. There is one handshake for each connection.
func TestHandshake(t *testing.T) {
	const closes = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\na" + cut
	for _, c := range []struct {
		name      string
		process   string
		responses []string
		want      string
		other     string // process that the error names
		conns     int
	}{
		{"the process", "a", []string{okResponse("", "a"), okResponse("", "m1")}, "m1", "", 1},
		{"another one", "a", []string{okResponse("", "b")}, "", "b", 1},
		{"one that does not say", "a", []string{okResponse("", ""), okResponse("", "m1")}, "m1", "", 2}, // with a witness
		{"none is known", "", []string{okResponse("", "a")}, "", "a", 1},
		{"the handshake's response comes twice", "a", []string{okResponse("", "a") + okResponse("", "a"), okResponse("", "m1")}, "m1", "", 1},
		{"the connection ends after the handshake", "a", []string{closes, okResponse("", "a"), okResponse("", "m1")}, "m1", "", 2},
	} {
		run(t, func(s *script) {
			for _, r := range c.responses {
				s.responses <- r
			}
			got, err := s.verified(c.process)
			o, ok := errors.AsType[*OtherProcessError](err)
			if got != c.want || ok != (c.other != "") || ok && o.Process != c.other || s.conns != c.conns {
				t.Errorf("%s: got %q %v on %d connections, want %q from process %q on %d", c.name, got, err, s.conns, c.want, c.other, c.conns)
			}
			if _, ok := errors.AsType[*UnsentError](err); err != nil && !ok {
				t.Errorf("%s: got %T, want a request that was not sent", c.name, err)
			}
		})
	}
}

// A server that closes each connection after the handshake gets no request, and not a handshake after the other.
func TestHandshakesWithoutEnd(t *testing.T) {
	run(t, func(s *script) {
		for range 2 * maxHandshakes {
			s.responses <- "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\na" + cut
		}
		if _, err := s.verified("a"); !errors.Is(err, errNoHandshake) || s.conns != maxHandshakes {
			t.Errorf("got %v on %d connections, want %v on %d", err, s.conns, errNoHandshake, maxHandshakes)
		}
	})
}

// A connection carries the requests to its process without another handshake, and none to the next one.
func TestConnectionOfProcess(t *testing.T) {
	run(t, func(s *script) {
		for i, c := range []struct {
			process   string
			responses []string
			want      string
			conns     int
		}{
			{"a", []string{okResponse("", "a"), okResponse("", "m1")}, "m1", 1},
			{"a", []string{okResponse("", "m2")}, "m2", 1},
			{"b", []string{okResponse("", "b"), okResponse("", "m1")}, "m1", 2},
			{"b", []string{okResponse("", "m2")}, "m2", 2},
			{"a", []string{okResponse("", "m3")}, "m3", 2},
		} {
			for _, r := range c.responses {
				s.responses <- r
			}
			if got, err := s.verified(c.process); got != c.want || err != nil || s.conns != c.conns {
				t.Errorf("request %d: got %q %v on %d connections, want %q on %d", i, got, err, s.conns, c.want, c.conns)
			}
		}
	})
}

// A process that tells no name is known again on a new connection as long as it responds on an earlier one, which has
// carried nothing before. Otherwise a request that is meant for it is not sent.
func TestWitness(t *testing.T) {
	const unnamed = ""
	last := "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nm1" + cut
	for _, c := range []struct {
		name    string
		witness string // response; the next ones are sent on the new connection
		wait    time.Duration
		next    []string
		err     error
	}{
		{"it responds", okResponse("", unnamed), 0, []string{okResponse("", "m2")}, nil},
		{"its connection ended", cut, 0, []string{okResponse("", unnamed), okResponse("", "m2")}, ErrUnproven},
		{"it is silent", "", 0, []string{"for the witness, too late", okResponse("", unnamed), okResponse("", "m2")}, ErrUnproven},
		{"it is too old", okResponse("", unnamed), 2 * witnessAge, []string{okResponse("", "m2")}, ErrUnproven},
	} {
		run(t, func(s *script) {
			s.responses <- okResponse("", unnamed)
			s.responses <- last
			name, b, err := s.sendSame("a", "")
			if b != "m1" || err != nil || name == "" {
				t.Fatalf("%s: got %q %v by %q", c.name, b, err, name)
			}
			time.Sleep(c.wait)
			s.pool.Sweep()
			if c.witness != "" {
				s.responses <- c.witness
			}
			var g sync.WaitGroup
			g.Go(func() {
				time.Sleep(witnessTimeout + time.Millisecond)
				for _, r := range c.next {
					s.responses <- r
				}
			})
			got, b, err := s.sendSame("a", name)
			if !errors.Is(err, c.err) || err == nil && (got != name || b != "m2") {
				t.Errorf("%s: got %q %v by %q, want %v by %q", c.name, b, err, got, c.err, name)
			}
			g.Wait()
		})
	}
}

// A witness gives way to a request for which no other connection may be opened, and takes no connection from one.
func TestWitnessGivesWay(t *testing.T) {
	run(t, func(s *script) {
		s.pool.MaxConnections = func(string) int { return 2 }
		s.responses <- okResponse("", "")
		s.responses <- okResponse("", "m1")
		if _, b, err := s.sendSame("a", ""); b != "m1" || err != nil || len(s.pool.witnesses) != 1 {
			t.Fatalf("got %q %v with %d witnesses, want m1 with one", b, err, len(s.pool.witnesses))
		}
		for i, want := range []int{1, 0} { // witnesses that are left; the first request takes the place of an idle connection
			s.responses <- "HTTP/1.1 200 OK\r\nId: x\r\nContent-Length: 9\r\n\r\n"
			r, err := s.open(http.MethodGet, "x")
			if err != nil {
				t.Fatalf("request %d: %v", i, err)
			}
			defer func() { _ = r.Body.Close() }()
			if n := len(s.pool.witnesses); n != want || s.pool.open[address] != 2 {
				t.Errorf("request %d: %d witnesses are left and %d connections open, want %d and 2", i, n, s.pool.open[address], want)
			}
		}
	})
}
