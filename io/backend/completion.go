package backend

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/go-json-experiment/json/jsontext"

	"bergamotspring/core/stage"
	"bergamotspring/io/httpbody"
)

// Completion is a completion request. The response is assembled in a stage.Assembler;
// a resumed stream continues from the assembler's Next and Text.
type Completion struct {
	Model        string
	Prompt       []byte // JSON string with its quotes
	MaxTokens    int
	Priority     int
	FirstTimeout time.Duration // longest wait for the first event, 0: none
	StallTimeout time.Duration // longest silence after any event, 0: none
	// Token receives the JSON string of each token, once and in order. It must not
	// retain the slice.
	Token func(index int, text []byte) error
}

// StreamTimes holds the durations of one stream, measured from the first byte sent.
type StreamTimes struct {
	First   time.Duration // time to the first event, 0 if there was none
	Service time.Duration // duration of the whole stream
	Tokens  int           // tokens passed to Completion.Token
}

// stream is a completion in progress.
type stream struct {
	exchange   *exchange
	completion *Completion
	assembler  *stage.Assembler
	stall      *time.Timer
	events     eventReader
	outer      *parser
	inner      *parser
	times      StreamTimes
}

// Complete runs a completion until its end marker. After an error the stream can be
// resumed with a new call and the same assembler.
func (c *Client) Complete(ctx context.Context, k *Call, r *Completion, a *stage.Assembler) (StreamTimes, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s := &stream{completion: r, assembler: a}
	s.stall = time.AfterFunc(timeoutOrNone(r.FirstTimeout), func() { cancel(errStalled) })
	defer s.stall.Stop()
	p := completionBody(k, r, a)
	x, resp, err := c.send(ctx, k, http.MethodPost, "/v1/completions", p)
	s.exchange = x
	if err == nil {
		if err = s.read(resp); err != nil {
			x.gate.discard()
		}
		_ = resp.Body.Close()
	}
	s.times.Service = x.gate.service()
	var e *Error
	if errors.As(err, &e) && e.Sent && e.Kind != Status {
		c.cancel(k.Address, k.ID)
	}
	return s.times, err
}

// drainTime bounds the wait for the end of the body after the end marker. net/http
// reuses a connection only if the body was read to its end.
const drainTime = 5 * time.Millisecond

// noTimeout is used for a wait without timeout, since a timer needs a duration.
const noTimeout = 24 * time.Hour

func timeoutOrNone(d time.Duration) time.Duration {
	if d <= 0 {
		return noTimeout
	}
	return d
}

// completionBody returns the JSON request body. The prompt is not copied.
func completionBody(k *Call, r *Completion, a *stage.Assembler) *parts {
	b := make([]byte, 0, 192+len(a.Text)+len(a.Text)/8)
	b = append(b, `{"model":`...)
	b = appendString(b, r.Model)
	b = append(b, `,"stream":true,"max_tokens":`...)
	b = strconv.AppendInt(b, int64(r.MaxTokens), 10)
	b = append(b, `,"priority":`...)
	b = strconv.AppendInt(b, int64(r.Priority), 10)
	b = append(b, `,"request_id":`...)
	b = appendString(b, k.ID)
	b = append(b, `,"resume_from":`...)
	b = strconv.AppendInt(b, int64(a.Next), 10)
	b = append(b, `,"text_so_far":`...)
	b = appendString(b, a.Text)
	b = append(b, `,"prompt":`...)
	return &parts{b, r.Prompt, closingBrace}
}

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, 2048) }}

func (s *stream) read(p *http.Response) error {
	br := readers.Get().(*bufio.Reader)
	br.Reset(&httpbody.Reader{Source: p.Body})
	defer func() {
		br.Reset(nil)
		readers.Put(br)
	}()
	s.outer, s.inner = parsers.Get().(*parser), parsers.Get().(*parser)
	defer parsers.Put(s.outer)
	defer parsers.Put(s.inner)
	s.events.r = br
	for {
		b, err := s.events.next()
		if err != nil {
			return s.endError(err)
		}
		if bytes.Equal(b, doneMarker) {
			return s.onDone()
		}
		if err := s.onEvent(b); err != nil {
			return err
		}
	}
}

var doneMarker = []byte("[DONE]")

// onDone handles the end marker.
func (s *stream) onDone() error {
	if !s.assembler.End() {
		return s.exchange.newError(Skipped, nil)
	}
	s.stall.Reset(drainTime)
	_, _ = s.events.next()
	return nil
}

// endError returns the error of a stream that ended with err before its end marker.
func (s *stream) endError(err error) error {
	switch {
	case errors.Is(err, io.EOF):
		return s.exchange.newError(NoEnd, nil)
	case errors.Is(err, errEventTooLong):
		return s.exchange.newError(Malformed, err)
	case s.exchange.ctx.Err() != nil:
		return s.exchange.transportError(err)
	}
	return s.exchange.newError(Truncated, err)
}

// chunk is a decoded event. Its slices alias the event data.
type chunk struct {
	id, text []byte
	index    int
	last     bool
}

var (
	errIndex      = errors.New("index is not a whole number")
	errNotResumed = errors.New("stream does not begin at resume_from")
)

// decode parses {id,index,choices:[{text,finish_reason}]}.
func (s *stream) decode(b []byte) (c chunk, err error) {
	c.index = -1
	err = s.outer.object(b, func(name, value []byte) error {
		switch string(name) {
		case `"id"`:
			c.id = value
		case `"index"`:
			c.index = parseIndex(value)
		case `"choices"`:
			return s.inner.object(bytes.Trim(value, "[] \t\r\n"), func(name, value []byte) error {
				switch string(name) {
				case `"text"`:
					c.text = value
				case `"finish_reason"`:
					c.last = value[0] == '"'
				}
				return nil
			})
		}
		return nil
	})
	if err != nil {
		return c, err
	}
	if c.index < 0 {
		return c, errIndex
	}
	if len(c.text) == 0 || c.text[0] != '"' {
		return c, errShape
	}
	return c, nil
}

// parseIndex returns -1 for anything but a decimal integer from 0 to 999999999.
func parseIndex(b []byte) int {
	n := 0
	if len(b) == 0 || len(b) > 9 {
		return -1
	}
	for _, d := range b {
		if d < '0' || d > '9' {
			return -1
		}
		n = n*10 + int(d-'0')
	}
	return n
}

// onEvent handles one token event.
func (s *stream) onEvent(b []byte) error {
	c, err := s.decode(b)
	if err != nil {
		return s.exchange.newError(Malformed, err)
	}
	if !s.outer.stringEqual(c.id, s.exchange.call.ID) {
		s.exchange.client.errorCounts[Crossed].Add(1)
		return nil
	}
	if s.times.First == 0 && c.index < s.assembler.Next {
		return s.exchange.newError(Malformed, errNotResumed)
	}
	switch s.assembler.Accept(c.index, c.last) {
	case stage.Duplicate:
		return nil
	case stage.Gap:
		return s.exchange.newError(Skipped, nil)
	}
	// Repeated events and those of other calls are no progress: they must not hold off a stall.
	if s.times.First == 0 {
		s.times.First = max(s.exchange.gate.service(), 1)
	}
	s.stall.Reset(timeoutOrNone(s.completion.StallTimeout))
	if s.assembler.Text, err = jsontext.AppendUnquote(s.assembler.Text, c.text); err != nil {
		return s.exchange.newError(Malformed, err)
	}
	s.times.Tokens++
	if err := s.completion.Token(c.index, c.text); err != nil {
		return s.exchange.newError(Receiver, err)
	}
	return nil
}

// cancel asks the model server to stop call id. It does not wait for the response.
func (c *Client) cancel(address, id string) {
	select {
	case c.cancelSlots <- struct{}{}:
	default:
		return
	}
	if !c.beginCancel() {
		<-c.cancelSlots
		return
	}
	go func() {
		defer c.cancelsRunning.Done()
		defer func() { <-c.cancelSlots }()
		ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
		defer stop()
		k := &Call{ID: id, Address: address, Fresh: true}
		_, r, err := c.send(ctx, k, http.MethodDelete, "/v1/completions/"+url.PathEscape(id), nil)
		if err == nil {
			_ = r.Body.Close()
		}
	}()
}
