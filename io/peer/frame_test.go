package peer

import (
	"bytes"
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"bergamotspring/schema/wire"
)

// bodies returns one body of each type, in the order of the types.
func bodies() []any {
	return []any{
		&wire.Hello{}, &wire.Proof{}, &wire.Ping{}, &wire.Done{}, &wire.Fault{}, &wire.Ask{}, &wire.Grant{},
		&wire.Refuse{}, &wire.Releases{}, &wire.Withdraw{}, &wire.HeldQuery{}, &wire.HeldReport{},
		&wire.PromiseAsk{}, &wire.Promise{}, &wire.Handover{}, &wire.Digest{}, &wire.Suspects{},
		&wire.ConfigFetch{}, &wire.Config{}, &wire.LinkAsk{}, &wire.LinkGrant{}, &wire.ClaimAsk{},
		&wire.ClaimVerdict{}, &wire.ClaimEnd{},
		&wire.StateQuery{}, &wire.State{}, &wire.Names{},
		&wire.PlaceAsk{}, &wire.PlaceAnswer{}, &wire.PlaceNote{}, &wire.MirrorAsk{}, &wire.Mirror{}, &wire.Crash{}, &wire.PlaceProgress{}, &wire.CrashCulprits{}, &wire.CrashTrial{}, &wire.PlaceSegments{}, &wire.RolloutReport{}, &wire.RolloutReply{}, &wire.PlaceInquiry{}, &wire.PlaceReadings{},
	}
}

// Guards against bytes from a peer that crash the process: by a panic of the decoder or
// by an allocation of the size in a length field.
func FuzzFrame(f *testing.F) {
	for i, b := range bodies() {
		p, err := encode(Type(i+1), uint64(i), b)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(bytes.Clone(p.Bytes()))
	}
	f.Add([]byte("\x00\x00\x00\x08\x93\x06\x01\xdd\xff\xff\xff\xff"))
	f.Add([]byte("\x00\x00\x00\x0a\x93\x0c\x01\x93\xdd\x00\x01\x00\x00\xc0"))
	f.Add([]byte("\x00\x00\x00\x09\x93\x0b\x01\x91\xc6\xff\xff\xff\xff"))
	f.Add([]byte("\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, p []byte) {
		var b []byte
		m, err := readFrame(bytes.NewReader(p), &b, 1<<16)
		if err != nil {
			return
		}
		for _, v := range append(bodies(), &wire.Ask2{}) {
			err := decode(m.body, v)
			if _, ok := errors.AsType[*FrameError](err); err != nil && !ok {
				t.Errorf("got %v, want *FrameError", err)
			}
		}
	})
}

// Guards against a promise that waits behind a queue of permit requests, and against an
// unbounded queue.
func TestQueue(t *testing.T) {
	c := newConn(nil, nil, &counters{})
	enqueue := func(k Type, seq uint64) error {
		b, err := encode(k, seq, &wire.Done{})
		if err != nil {
			t.Fatal(err)
		}
		return c.enqueue(k, b)
	}
	for i := range uint64(maxQueueFrames - 1) {
		if err := enqueue(TypeAsk, i); err != nil {
			t.Fatal(err)
		}
	}
	if err := enqueue(TypePromise, 7); err != nil {
		t.Fatal(err)
	}
	if err := enqueue(TypeAsk, 0); !errors.Is(err, ErrFull) {
		t.Errorf("full queue: got %v, want %v", err, ErrFull)
	}
	l := c.dequeue(nil)
	if len(l) != 1 || l[0].Bytes()[headerBytes+1] != byte(TypePromise) {
		t.Errorf("first: got %d frames, want the promise", len(l))
	}
	n := 1
	for l = c.dequeue(nil); len(l) > 0; l = c.dequeue(nil) {
		n += len(l)
	}
	if n != maxQueueFrames || c.bytes != 0 {
		t.Errorf("got %d frames and %d bytes left, want %d and 0", n, c.bytes, maxQueueFrames)
	}
}

// Guards against a link that is closed though its peer reads, slowly, what is queued.
func TestSlowReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		c := newConn(near, newReader(near), &counters{})
		for range 40 {
			b := buffers.Get().(*buffer)
			b.Reset()
			b.Write(make([]byte, chunkBytes))
			if err := c.enqueue(TypeMirror, b); err != nil {
				t.Fatal(err)
			}
		}
		go c.write()
		for i := range 40 {
			if _, err := io.ReadFull(far, make([]byte, chunkBytes)); err != nil {
				t.Fatalf("message %d: %v, %v", i, err, c.reason())
			}
			time.Sleep(writeTimeout / 10)
		}
		c.close(ErrClosed)
	})
}

// Guards against a type of message that encode accepts and parse rejects.
func TestTypes(t *testing.T) {
	l := bodies()
	if got, want := len(l), int(typeEnd)-1; got != want {
		t.Errorf("bodies: got %d, want %d", got, want)
	}
	for i, b := range l {
		p, err := encode(Type(i+1), 1, b)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := parse(p.Bytes()[headerBytes:]); err != nil {
			t.Errorf("type %d: got %v", i+1, err)
		}
	}
}

// Guards against a small frame that decodes into a large slice of structs.
func TestElements(t *testing.T) {
	for _, n := range []int{100, maxElements + 1} {
		p := []byte{0x93, byte(TypeReleases), 1, 0x91, 0xdd, 0, byte(n >> 16), byte(n >> 8), byte(n)}
		p = append(p, bytes.Repeat([]byte{0xc0}, n)...)
		if _, err := parse(p); (err == nil) != (n <= maxElements) {
			t.Errorf("array of %d: got %v", n, err)
		}
	}
}

// A connection that ends inside a frame, also just after its header, does not look like one that ends between two frames.
func TestCutFrame(t *testing.T) {
	b, err := encode(TypePing, 1, &wire.Ping{Sent: 1})
	if err != nil {
		t.Fatal(err)
	}
	for n := range b.Len() {
		var buf []byte
		_, err := readFrame(bytes.NewReader(b.Bytes()[:n]), &buf, 100)
		if want := n > 0; err == nil || errors.Is(err, io.EOF) == want {
			t.Errorf("cut after %d of %d bytes: got %v", n, b.Len(), err)
		}
	}
}
