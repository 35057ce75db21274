package backend

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEvent bounds one event of a stream, in bytes, and what lies between two events.
const maxEvent = 64 << 10

var errEventTooLong = errors.New("event is over " + strconv.Itoa(maxEvent) + " bytes")

// eventReader reads the data of server-sent events. Fields other than data are ignored.
type eventReader struct {
	r    *bufio.Reader
	data []byte // of the current event
	line []byte // holds a line that exceeds the reader's buffer
}

// next returns the data of the next event, valid until the next call. It returns
// io.EOF if the stream ends between events and io.ErrUnexpectedEOF if it ends within one.
func (e *eventReader) next() ([]byte, error) {
	e.data = e.data[:0]
	hasData := false
	ignored := 0 // bytes of lines that hold no data
	for {
		l, err := e.readLine()
		if errors.Is(err, io.EOF) && (hasData || len(l) > 0) {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		if len(l) == 0 && hasData {
			return e.data, nil
		}
		d, ok := bytes.CutPrefix(l, dataField)
		if !ok {
			if ignored += len(l) + 1; ignored > maxEvent {
				return nil, errEventTooLong
			}
			continue
		}
		if hasData {
			e.data = append(e.data, '\n')
		}
		hasData = true
		e.data = append(e.data, bytes.TrimPrefix(d, space)...)
		if len(e.data) > maxEvent {
			return nil, errEventTooLong
		}
	}
}

var (
	dataField = []byte("data:")
	space     = []byte(" ")
)

// readLine returns a line without its line ending. With an error it returns the bytes
// read so far.
func (e *eventReader) readLine() ([]byte, error) {
	l, err := e.r.ReadSlice('\n')
	if err != nil {
		e.line = append(e.line[:0], l...)
		l = e.line
	}
	for errors.Is(err, bufio.ErrBufferFull) {
		var m []byte
		m, err = e.r.ReadSlice('\n')
		e.line = append(e.line, m...)
		l = e.line
		if len(l) > maxEvent {
			return nil, errEventTooLong
		}
	}
	if err != nil {
		return l, err
	}
	l = l[:len(l)-1]
	return bytes.TrimSuffix(l, carriageReturn), nil
}

var carriageReturn = []byte("\r")
