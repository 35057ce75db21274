package caller

import (
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"bergamotspring/core/outcome"
)

var errSlowReader = errors.New("the caller reads too slowly")

// output is the buffer between the worker that produces a stream and the goroutine
// of the connection that writes it. Only limit and wake must be set.
type output struct {
	limit int // bytes
	wake  chan struct{}

	mu        sync.Mutex
	pending   []byte
	inFlight  int // bytes that the writer has taken and not yet written
	hasEvents bool
	total     int // bytes taken by the writer so far
}

func newOutput(limit int) *output { return &output{limit: limit, wake: make(chan struct{}, 1)} }

// token appends one token event; text is a JSON string.
func (o *output) token(index int, text []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.pending)+o.inFlight+len(text) > o.limit {
		return errSlowReader
	}
	b := append(o.pending, "event: token\ndata: {\"index\":"...)
	b = strconv.AppendInt(b, int64(index), 10)
	b = append(b, `,"text":`...)
	b = append(b, text...)
	o.pending = append(b, "}\n\n"...)
	o.signal()
	return nil
}

// done appends the last event of a complete stream.
func (o *output) done(tokens int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	b := append(o.pending, "event: done\ndata: {\"outcome\":\""...)
	b = append(b, outcome.OK.String()...)
	b = append(b, `","tokens":`...)
	b = strconv.AppendInt(b, int64(tokens), 10)
	o.pending = append(b, "}\n\n"...)
	o.signal()
}

// fail appends the last event of a failed stream.
func (o *output) fail(e *RequestError) {
	o.mu.Lock()
	defer o.mu.Unlock()
	b := append(o.pending, "event: error\ndata: "...)
	b = appendError(b, e)
	o.pending = append(b, "\n\n"...)
	o.signal()
}

// started reports whether any event was produced.
func (o *output) started() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.hasEvents
}

// signal wakes the writer. It is called with mu held.
func (o *output) signal() {
	o.hasEvents = true
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// swap returns the pending events and reuses b, which has been written, as the next buffer.
func (o *output) swap(b []byte) []byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	f := o.pending
	o.pending = b[:0]
	o.inFlight = len(f)
	o.total += len(f)
	return f
}

// writeTo writes events to w until end is closed and the buffer is empty. It returns
// the first write error.
func (o *output) writeTo(w http.ResponseWriter, c *http.ResponseController, end <-chan struct{}) error {
	var b []byte
	last := false
	for {
		b = o.swap(b)
		if len(b) > 0 {
			if _, err := w.Write(b); err != nil {
				return err
			}
			if err := c.Flush(); err != nil {
				return err
			}
			continue
		}
		if last {
			return nil
		}
		select {
		case <-o.wake:
		case <-end:
			last = true
		}
	}
}

// startStream sends the headers of a streamed response.
func startStream(w http.ResponseWriter, c *http.ResponseController, until time.Time) {
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	_ = c.SetWriteDeadline(until) // not supported by test recorders
	w.WriteHeader(http.StatusOK)
}
