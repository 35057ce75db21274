package httpbody

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

var errCut = errors.New("cut")

// forgetful is a source that returns its error together with the last bytes, and io.EOF afterwards, as net/http's readers do.
type forgetful struct {
	rest []byte
	err  error
}

func (f *forgetful) Read(p []byte) (int, error) {
	n := copy(p, f.rest)
	f.rest = f.rest[n:]
	if len(f.rest) > 0 {
		return n, nil
	}
	err := f.err
	f.err = io.EOF
	return n, err
}

// Whatever the sizes of a body and of the buffers, its end is the same in all ways of reading it. Guards against an error
// that is lost with the last bytes of a buffer, and against io.EOF in a read after it.
func TestEndIsKept(t *testing.T) {
	for _, end := range []error{io.EOF, errCut, io.ErrUnexpectedEOF} {
		for size := range 20 {
			body := bytes.Repeat([]byte("x"), size)
			for buffer := 1; buffer < 22; buffer++ {
				r := &Reader{Source: &forgetful{rest: body, err: end}}
				got, err := 0, error(nil)
				for err == nil {
					var n int
					n, err = Fill(r, make([]byte, buffer))
					got += n
				}
				_, again := r.Read(make([]byte, 1))
				if got != size || !errors.Is(err, end) || !errors.Is(again, end) || r.Complete() != (end == io.EOF) || r.Length() != int64(size) { //nolint:errorlint // see Complete
					t.Errorf("%d bytes that end with %v, in buffers of %d: got %d, %v, %v", size, end, buffer, got, err, again)
				}
			}
			for _, length := range []int64{-1, int64(size)} {
				b, err := ReadAll(&Reader{Source: &forgetful{rest: body, err: end}}, length, 100)
				if (err == nil) != (end == io.EOF) || err == nil && len(b) != size { //nolint:errorlint // see Complete
					t.Errorf("ReadAll of %d bytes that end with %v: got %d, %v", size, end, len(b), err)
				}
			}
		}
	}
}

// A body as long as the limit is read, a longer one is not, whether or not its message states the length.
func TestReadAllLimit(t *testing.T) {
	const limit = 10
	for size := range 13 {
		for _, length := range []int64{-1, int64(size)} {
			b, err := ReadAll(iotest.OneByteReader(strings.NewReader(strings.Repeat("x", size))), length, limit)
			if e, ok := errors.AsType[*TooLongError](err); ok != (size > limit) || ok && e.Limit != limit || !ok && len(b) != size {
				t.Errorf("%d bytes, stated length %d: got %d, %v", size, length, len(b), err)
			}
		}
	}
}

// The end is told once the last bytes were returned, so that what they are read from is not used for something else before.
func TestEndAfterLastBytes(t *testing.T) {
	ended := false
	r := &Reader{Source: &forgetful{rest: []byte("body"), err: io.EOF}, OnEnd: func(error) { ended = true }}
	if n, err := r.Read(make([]byte, 4)); n != 4 || err != nil || ended || r.Complete() {
		t.Errorf("got %d bytes, %v, ended: %v", n, err, ended)
	}
	if r.Abandon(); !ended || !r.Complete() {
		t.Errorf("a body whose bytes were all read ended: %v, complete: %v", ended, r.Complete())
	}
}

// A body that is not read to its end is not complete.
func TestAbandon(t *testing.T) {
	var ends []error
	r := &Reader{Source: strings.NewReader("body"), OnEnd: func(end error) { ends = append(ends, end) }}
	_, _ = r.Read(make([]byte, 4))
	r.Abandon()
	r.Abandon()
	if _, err := r.Read(make([]byte, 4)); !errors.Is(err, ErrClosed) || r.Complete() || len(ends) != 1 || !errors.Is(r.End(), ErrClosed) {
		t.Errorf("got %v, complete: %v, ends %v", err, r.Complete(), ends)
	}
}

func ExampleReader() {
	r := &Reader{Source: io.MultiReader(strings.NewReader("half of it"), iotest.ErrReader(errCut))}
	p := make([]byte, 10)
	n, err := Fill(r, p)
	fmt.Println(n, err)
	n, err = Fill(r, p)
	fmt.Println(n, err, r.Complete())
	// Output:
	// 10 <nil>
	// 0 cut false
}
