package exchange

// This file tests that the end of a body is never lost between the layers that read it.

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"bergamotspring/io/standin"
)

// drawnBody is a response body as a server sends it, drawn from a seed: its framing, the sizes of its chunks, where it is
// cut and what follows then, and the segments in which all of that is sent.
type drawnBody struct {
	content  string
	head     string // fields that state the framing
	wire     string // what is sent after the head
	whole    bool   // wire holds the whole body
	reset    bool   // the connection is reset after it, not closed
	buffer   int    // size in bytes of the first buffer of a reader that fills buffers
	segments []int  // sizes in bytes, one after the other; the last one repeats
	pause    time.Duration
}

// bodySizes are lengths of bodies and chunks about the sizes of buffers.
var bodySizes = []int{1, 7, 100, 4095, 4096, 4097, 4800, 8192, 12288, 12289, 28672, 30000}

func drawBody(r *rand.Rand) drawnBody {
	pick := func(l []int) int { return l[r.IntN(len(l))] }
	b := drawnBody{content: strings.Repeat("0123456789abcdef", 1+pick(bodySizes)/16), pause: time.Duration(r.IntN(2)) * time.Millisecond, reset: r.IntN(4) == 0, buffer: pick(bodySizes[2:])}
	var ends []int // where chunks end in wire
	if r.IntN(3) == 0 {
		b.head = fmt.Sprintf("Content-Length: %d\r\n", len(b.content))
		b.wire = b.content
	} else {
		b.head = "Transfer-Encoding: chunked\r\n"
		size := pick(bodySizes[2:])
		if r.IntN(2) == 0 {
			b.buffer = size * (1 + r.IntN(3))
		}
		for rest := b.content; rest != ""; {
			n := min(size, len(rest))
			b.wire += fmt.Sprintf("%x\r\n%s\r\n", n, rest[:n])
			ends = append(ends, len(b.wire))
			rest = rest[n:]
		}
		b.wire += "0\r\n\r\n"
	}
	switch cut := r.IntN(4); {
	case cut == 0:
		b.whole = true
	case cut == 1 && len(ends) > 0: // the server goes on with bytes that are no chunk
		garbage := []string{"server error: worker thread ended\r\n", "\r\n", "zz\r\n", "HTTP/1.1 500 Internal Server Error\r\n\r\n"}
		b.wire = b.wire[:ends[r.IntN(len(ends))]] + garbage[r.IntN(len(garbage))]
	case cut == 2 && len(ends) > 0: // at the end of a chunk
		b.wire = b.wire[:ends[r.IntN(len(ends))]]
	default:
		b.wire = b.wire[:r.IntN(len(b.wire))]
	}
	b.segments = []int{pick(bodySizes), pick(bodySizes), 1 << 20}
	return b
}

// serve sends the body as the response to one request.
func (b *drawnBody) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	l := b.segments
	for rest := fmt.Sprintf("HTTP/1.1 200 OK\r\nConnection: close\r\nId: %s\r\n%s\r\n%s", q.Header.Get("Id"), b.head, b.wire); rest != ""; {
		n := min(l[0], len(rest))
		if _, err := io.WriteString(c, rest[:n]); err != nil {
			return
		}
		rest = rest[n:]
		l = l[min(1, len(l)-1):]
		time.Sleep(b.pause)
	}
	if b.reset && !b.whole {
		_ = c.(*standin.Conn).SetLinger(0)
	}
}

// readers read a body in the ways that layers above do. Each returns what it read, and the first end that it was told of.
var readers = map[string]func(b *drawnBody, in io.Reader) (string, error){
	"all": func(_ *drawnBody, in io.Reader) (string, error) {
		b, err := io.ReadAll(in)
		if err == nil {
			err = io.EOF
		}
		return string(b), err
	},
	"full buffers": func(x *drawnBody, in io.Reader) (string, error) {
		var b strings.Builder
		for size := x.buffer; ; size *= 2 {
			p := make([]byte, size)
			n, err := io.ReadFull(in, p)
			b.Write(p[:n])
			if err == io.ErrUnexpectedEOF { // that of io.ReadFull: the body ended with io.EOF
				err = io.EOF
			}
			if err != nil {
				return b.String(), err
			}
		}
	},
	"small buffers": func(x *drawnBody, in io.Reader) (string, error) {
		var b strings.Builder
		p := make([]byte, 1+x.buffer/10)
		for {
			n, err := in.Read(p)
			b.Write(p[:n])
			if err != nil {
				return b.String(), err
			}
		}
	},
}

// A server sends a body in any framing, chunks and segments, and cuts it off or goes on with other bytes anywhere. However
// it is read, it ends as complete only if all of it came, and its end stays the same. Guards against successes with a part
// of the body (review case 11).
func FuzzEndOfBody(f *testing.F) {
	for seed := range uint64(200) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		b := drawBody(rand.New(rand.NewPCG(seed, 0)))
		run(t, func(s *script) {
			const own = "10.0.0.2:80"
			l, err := s.net.Listen(own)
			if err != nil {
				t.Fatal(err)
			}
			var serving sync.WaitGroup
			defer serving.Wait()
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					serving.Go(func() { b.serve(c) })
				}
			}()
			for name, read := range readers {
				for _, whole := range []bool{false, true} {
					if whole {
						wantWhole(t, s, own, name, &b)
						continue
					}
					a, err := s.pool.Do(context.Background(), &Request{Address: own, Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"Id": {name}}, Echo: "Id"})
					if err != nil {
						if b.whole {
							t.Errorf("seed %d, %s: got %v for a whole response", seed, name, err)
						}
						continue
					}
					got, end := read(&b, a.Body)
					if end == io.EOF != b.whole || b.whole && got != b.content || !strings.HasPrefix(b.content, got) { //nolint:errorlint // a broken body may wrap io.EOF
						t.Errorf("seed %d, %s: got %d of %d bytes and the end %v, whole: %v", seed, name, len(got), len(b.content), end, b.whole)
					}
					if _, again := a.Body.Read(make([]byte, 1)); (again == io.EOF) != b.whole {
						t.Errorf("seed %d, %s: the end is %v, and %v when it is read once more", seed, name, end, again)
					}
					_ = a.Body.Close()
				}
			}
		})
	})
}

// wantWhole checks what Whole returns of the body.
func wantWhole(t *testing.T, s *script, address, id string, b *drawnBody) {
	r := &Request{Address: address, Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"Id": {id + " whole"}}}
	_, got, err := s.pool.Whole(context.Background(), r, 1<<20, func(int, []byte) (string, error) { return "", nil })
	if (err == nil) != b.whole || b.whole && string(got) != b.content {
		t.Errorf("%s: Whole returned %d of %d bytes and %v, whole: %v", id, len(got), len(b.content), err, b.whole)
	}
}

// A body that was closed before its end never looks complete.
func TestClosedBodyIsNotComplete(t *testing.T) {
	run(t, func(s *script) {
		s.responses <- "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nhello"
		a, err := s.open(http.MethodGet, "1")
		if err != nil {
			t.Fatal(err)
		}
		_ = a.Body.Close()
		if n, err := a.Body.Read(make([]byte, 9)); n > 0 || err == nil || err == io.EOF {
			t.Errorf("got %d bytes and %v, want an error", n, err)
		}
	})
}
