// Package peer carries messages between nodes: frames of msgpack over TCP, links that
// detect silence, and a mesh of links to the nodes that a node communicates with.
//
// This file defines frames: 4 bytes of length, then the msgpack array [type, seq, body].
package peer

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"sync"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	headerBytes = 4
	// DefaultMaxFrame is the limit on the bytes of a frame after its header. It must hold
	// the largest message: a configuration document, or a response of claim.MaxResponse
	// bytes.
	DefaultMaxFrame = 4 << 20
	// maxHelloFrame bounds frames of a sender that is not authenticated yet.
	maxHelloFrame = 1 << 10
	// maxElements bounds the array elements of a frame. An element of one byte can decode
	// into a struct of a hundred bytes, so the limit on the size of a frame does not bound
	// the memory.
	maxElements = 1 << 16
	maxDepth    = 8 // of nested arrays in a body
)

// FrameError reports bytes that are no valid message. An invalid frame or request closes
// the link; an invalid body of a response only fails its request.
type FrameError struct {
	Cause string
}

func (e *FrameError) Error() string { return "peer: bad frame: " + e.Cause }

// OversizedError reports a frame or a name above its limit. A received frame closes the
// link; an outgoing message is not sent.
type OversizedError struct {
	Size, Limit int
}

func (e *OversizedError) Error() string { return "peer: frame exceeds the limit" }

// buffer holds one encoded frame.
type buffer struct {
	bytes.Buffer
	enc *msgpack.Encoder
}

var buffers = sync.Pool{New: func() any {
	b := &buffer{}
	b.enc = msgpack.NewEncoder(&b.Buffer)
	b.enc.UseArrayEncodedStructs(true)
	b.enc.UseCompactInts(true)
	return b
}}

// maxPooledBytes is the largest buffer that is reused, so that a rare large frame does
// not stay in memory.
const maxPooledBytes = 64 << 10

func (b *buffer) free() {
	if b.Cap() <= maxPooledBytes {
		buffers.Put(b)
	}
}

// encode returns the frame of a message. Body is a pointer to a type of schema/wire.
func encode(t Type, seq uint64, body any) (*buffer, error) {
	b := buffers.Get().(*buffer)
	b.Reset()
	b.Write(make([]byte, headerBytes))
	// Writes to a buffer fail only for types that msgpack cannot encode.
	_ = b.enc.EncodeArrayLen(3)
	_ = b.enc.EncodeUint(uint64(t))
	_ = b.enc.EncodeUint(seq)
	if err := b.enc.Encode(body); err != nil {
		b.free()
		return nil, err
	}
	binary.BigEndian.PutUint32(b.Bytes(), uint32(b.Len()-headerBytes))
	return b, nil
}

// decoder decodes bodies; it is reused.
type decoder struct {
	r bytes.Reader
	d *msgpack.Decoder
}

var decoders = sync.Pool{New: func() any {
	d := &decoder{}
	d.d = msgpack.NewDecoder(&d.r)
	return d
}}

// decode reads a body that parse has accepted into a type of schema/wire.
func decode(body []byte, v any) error {
	d := decoders.Get().(*decoder)
	defer decoders.Put(d)
	d.r.Reset(body)
	d.d.Reset(&d.r)
	if err := d.d.Decode(v); err != nil {
		return &FrameError{Cause: err.Error()}
	}
	return nil
}

// message is a received frame. Body is valid until the next read.
type message struct {
	kind Type
	seq  uint64
	body []byte
	size int // of the whole frame
}

// readFrame reads one frame into the reused buffer b.
func readFrame(r io.Reader, b *[]byte, limit int) (message, error) {
	var h [headerBytes]byte
	if _, err := io.ReadFull(r, h[:]); err != nil {
		return message{}, err
	}
	n := int(binary.BigEndian.Uint32(h[:]))
	if n > limit {
		return message{}, &OversizedError{Size: n, Limit: limit}
	}
	if cap(*b) < n || cap(*b) > maxPooledBytes && n <= maxPooledBytes {
		*b = make([]byte, max(n, 512))
	}
	p := (*b)[:n]
	_, err := io.ReadFull(r, p)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF // the header promised more
	}
	if err != nil {
		return message{}, err
	}
	return parse(p)
}

// parse splits a frame and checks the structure of its body, so that decoding it
// allocates no more than its size justifies.
func parse(p []byte) (message, error) {
	s := scanner{rest: p, elements: maxElements}
	if n, err := s.array(); err != nil || n != 3 {
		return message{}, &FrameError{Cause: "not an array of three"}
	}
	t, err := s.uint()
	if err != nil || t >= uint64(typeEnd) {
		return message{}, &FrameError{Cause: "unknown type"}
	}
	seq, err := s.uint()
	if err != nil {
		return message{}, err
	}
	m := message{kind: Type(t), seq: seq, body: s.rest, size: headerBytes + len(p)}
	if err := s.value(maxDepth); err != nil {
		return message{}, err
	}
	if len(s.rest) > 0 {
		return message{}, &FrameError{Cause: "bytes after the body"}
	}
	return m, nil
}
