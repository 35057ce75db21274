package peer

// This file checks the structure of msgpack before it is decoded: the decoder allocates
// what a length field says, before it has read that many bytes.

import "encoding/binary"

// scanner reads msgpack values of the kinds that messages use: integers, booleans, nil,
// strings, bytes and arrays.
type scanner struct {
	rest     []byte
	elements int // array elements still allowed
}

var (
	errShort = &FrameError{Cause: "value ends early"}
	errKind  = &FrameError{Cause: "kind of value not used in messages"}
	errMany  = &FrameError{Cause: "too many elements"}
	errDeep  = &FrameError{Cause: "values nested too deep"}
)

func (s *scanner) next(n uint64) ([]byte, error) {
	if n > uint64(len(s.rest)) {
		return nil, errShort
	}
	p := s.rest[:n]
	s.rest = s.rest[n:]
	return p, nil
}

// number reads n bytes as an unsigned number.
func (s *scanner) number(n uint64) (uint64, error) {
	p, err := s.next(n)
	if err != nil {
		return 0, err
	}
	var b [8]byte
	copy(b[8-n:], p)
	return binary.BigEndian.Uint64(b[:]), nil
}

func (s *scanner) code() (byte, error) {
	p, err := s.next(1)
	if err != nil {
		return 0, err
	}
	return p[0], nil
}

// array reads the header of an array and returns its length.
func (s *scanner) array() (uint64, error) {
	c, err := s.code()
	if err != nil {
		return 0, err
	}
	return s.arrayOf(c)
}

func (s *scanner) arrayOf(c byte) (uint64, error) {
	n, err := uint64(c&0x0f), error(nil)
	switch {
	case c&0xf0 == 0x90:
	case c == 0xdc:
		n, err = s.number(2)
	case c == 0xdd:
		n, err = s.number(4)
	default:
		return 0, errKind
	}
	if err != nil {
		return 0, err
	}
	if n > uint64(s.elements) {
		return 0, errMany
	}
	s.elements -= int(n)
	return n, nil
}

// uint reads a value that must be an unsigned integer.
func (s *scanner) uint() (uint64, error) {
	c, err := s.code()
	if err != nil {
		return 0, err
	}
	if c < 0x80 {
		return uint64(c), nil
	}
	if c < 0xcc || c > 0xcf {
		return 0, errKind
	}
	return s.number(1 << (c - 0xcc))
}

// value skips one value.
func (s *scanner) value(depth int) error {
	c, err := s.code()
	if err != nil {
		return err
	}
	switch {
	case c < 0x80, c >= 0xe0, c == 0xc0, c == 0xc2, c == 0xc3:
		return nil
	case c >= 0xcc && c <= 0xd3: // unsigned and signed integers of 1 to 8 bytes
		_, err = s.next(1 << ((c - 0xcc) & 3))
		return err
	case c&0xe0 == 0xa0:
		_, err = s.next(uint64(c & 0x1f))
		return err
	case c >= 0xc4 && c <= 0xc6:
		return s.text(1 << (c - 0xc4))
	case c >= 0xd9 && c <= 0xdb:
		return s.text(1 << (c - 0xd9))
	}
	return s.values(c, depth)
}

// text skips a string or bytes whose length takes n bytes.
func (s *scanner) text(n uint64) error {
	l, err := s.number(n)
	if err != nil {
		return err
	}
	_, err = s.next(l)
	return err
}

func (s *scanner) values(c byte, depth int) error {
	n, err := s.arrayOf(c)
	if err != nil {
		return err
	}
	if depth == 0 {
		return errDeep
	}
	for ; n > 0; n-- {
		if err := s.value(depth - 1); err != nil {
			return err
		}
	}
	return nil
}
