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
	switch r.IntN(4) {
	case 0:
		b.wire = b.content
		b.reset = true // nothing else shows that it is cut
	case 1:
		b.head = fmt.Sprintf("Content-Length: %d\r\n", len(b.content))
		b.wire = b.content
	default:
		size := pick(bodySizes[2:])
		if r.IntN(2) == 0 {
			b.buffer = size * (1 + r.IntN(3))
		}
		b.head = "Transfer-Encoding: chunked\r\n"
		b.wire, ends = chunks(b.content, size)
	}
	b.whole = r.IntN(4) == 0
	if !b.whole {
		b.cut(r, ends)
	}
	b.segments = []int{pick(bodySizes), pick(bodySizes), 1 << 20}
	return b
}

// chunks returns content in chunks of a size, and where each of them ends.
func chunks(content string, size int) (wire string, ends []int) {
	for content != "" {
		n := min(size, len(content))
		wire += fmt.Sprintf("%x\r\n%s\r\n", n, content[:n])
		ends = append(ends, len(wire))
		content = content[n:]
	}
	return wire + "0\r\n\r\n", ends
}

// cut cuts the body off: anywhere, or at the end of a chunk, after which the server may go on with bytes that are no chunk.
func (b *drawnBody) cut(r *rand.Rand, ends []int) {
	if len(ends) == 0 || r.IntN(3) == 0 {
		b.wire = b.wire[:r.IntN(len(b.wire))]
		return
	}
	next := []string{"", "server error: worker thread ended\r\n", "\r\n", "zz\r\n", "HTTP/1.1 500 Internal Server Error\r\n\r\n"}
	b.wire = b.wire[:ends[r.IntN(len(ends))]] + next[r.IntN(len(next))]
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

// drawnAddress is that of the servers of drawn bodies.
const drawnAddress = "10.0.0.2:80"

// listen serves the body to each request until the network is closed. It returns a function that waits for the responses.
func (b *drawnBody) listen(s *script) (wait func()) {
	l, err := s.net.Listen(drawnAddress)
	if err != nil {
		s.t.Fatal(err)
	}
	var serving sync.WaitGroup
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			serving.Go(func() { b.serve(c) })
		}
	}()
	return serving.Wait
}

// request returns a request for the body.
func (b *drawnBody) request(id string) *Request {
	return &Request{Address: drawnAddress, Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"Id": {id}}}
}

// testRead checks what a reader gets of the body of a response that is handed out.
func (b *drawnBody) testRead(s *script, name string) {
	q := b.request(name)
	q.Echo = "Id"
	a, err := s.pool.Do(context.Background(), q)
	if err != nil {
		if b.whole {
			s.t.Errorf("%s: got %v for a whole response", name, err)
		}
		return
	}
	defer func() { _ = a.Body.Close() }()
	got, end := readers[name](b, a.Body)
	if end == io.EOF != b.whole || b.whole && got != b.content || !strings.HasPrefix(b.content, got) { //nolint:errorlint // a broken body may wrap io.EOF
		s.t.Errorf("%s: got %d of %d bytes and the end %v, whole: %v", name, len(got), len(b.content), end, b.whole)
	}
	if _, again := a.Body.Read(make([]byte, 1)); (again == io.EOF) != b.whole {
		s.t.Errorf("%s: the end is %v, and %v when it is read once more", name, end, again)
	}
}

// testWhole checks what Whole returns of the body.
func (b *drawnBody) testWhole(s *script) {
	_, got, err := s.pool.Whole(context.Background(), b.request("whole"), 1<<20, func(int, []byte) (string, error) { return "", nil })
	if (err == nil) != b.whole || b.whole && string(got) != b.content {
		s.t.Errorf("Whole returned %d of %d bytes and %v, whole: %v", len(got), len(b.content), err, b.whole)
	}
}

// A server sends a body in any framing, chunks and segments, and cuts it off or goes on with other bytes anywhere. However
// it is read, it ends as complete only if all of it came, and its end stays the same. Guards against successes with a part
// of the body (review case 11).
func FuzzEndOfBody(f *testing.F) {
	for seed := range uint64(400) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		b := drawBody(rand.New(rand.NewPCG(seed, 0)))
		run(t, func(s *script) {
			defer b.listen(s)()
			for name := range readers {
				b.testRead(s, name)
			}
			b.testWhole(s)
		})
	})
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
