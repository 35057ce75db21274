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
)

// Completion is one completion call. The answer is put together in an
// stage.Assembler, from whose Next and Text it resumes.
type Completion struct {
	Model     string
	Prompt    []byte // JSON string with its quotes
	MaxTokens int
	Priority  int
	First     time.Duration // longest wait for the first event, 0: no bound
	Stall     time.Duration // longest silence after it, 0: no bound
	// Token receives the JSON string of each token, in order, once. It must not
	// keep the slice.
	Token func(index int, text []byte) error
}

// StreamTimes are the times of one stream, from the first byte sent.
type StreamTimes struct {
	First   time.Duration // until the first event, 0 if there was none
	Service time.Duration // whole stream
	Tokens  int           // tokens passed on
}

// stream is one completion under way.
type stream struct {
	x      *exchange
	r      *Completion
	a      *stage.Assembler
	stall  *time.Timer
	events events
	outer  *parser
	inner  *parser
	times  StreamTimes
}

// Complete runs one completion until its end marker. After an error the stream
// can be resumed with another call and the same assembler.
func (c *Client) Complete(ctx context.Context, k *Call, r *Completion, a *stage.Assembler) (StreamTimes, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s := &stream{r: r, a: a}
	s.stall = time.AfterFunc(bound(r.First), func() { cancel(errStalled) })
	defer s.stall.Stop()
	p := completionBody(k, r, a)
	x, resp, err := c.send(ctx, k, http.MethodPost, "/v1/completions", p)
	s.x = x
	if err == nil {
		err = s.read(resp)
		_ = resp.Body.Close()
	}
	s.times.Service = x.send.service()
	var e *Error
	if errors.As(err, &e) && e.Sent && e.Kind != Status {
		c.cancel(k.Address, k.ID)
	}
	return s.times, err
}

// drainTime bounds the wait for the end of the body behind the end marker.
// net/http reuses the connection only if the body was read to its end.
const drainTime = 5 * time.Millisecond

// noBound stands for a wait without bound; a timer needs some duration.
const noBound = 24 * time.Hour

func bound(d time.Duration) time.Duration {
	if d <= 0 {
		return noBound
	}
	return d
}

// completionBody returns the JSON body. The prompt is not copied.
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
	return &parts{b, r.Prompt, closing}
}

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, 2048) }}

func (s *stream) read(p *http.Response) error {
	br := readers.Get().(*bufio.Reader)
	br.Reset(p.Body)
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
			return s.ended(err)
		}
		if s.times.First == 0 {
			s.times.First = max(s.x.send.service(), 1)
		}
		s.stall.Reset(bound(s.r.Stall))
		if bytes.Equal(b, doneMarker) {
			return s.done()
		}
		if err := s.event(b); err != nil {
			return err
		}
	}
}

var doneMarker = []byte("[DONE]")

// done takes the end marker.
func (s *stream) done() error {
	if !s.a.End() {
		return s.x.fault(Skipped, nil)
	}
	s.stall.Reset(drainTime)
	_, _ = s.events.next()
	return nil
}

// ended converts an end of the stream without end marker.
func (s *stream) ended(err error) error {
	switch {
	case errors.Is(err, io.EOF):
		return s.x.fault(NoEnd, nil)
	case errors.Is(err, errEvent):
		return s.x.fault(Malformed, err)
	case s.x.ctx.Err() != nil:
		return s.x.failed(err)
	}
	return s.x.fault(Truncated, err)
}

// chunk is one decoded event. Its slices are parts of the event.
type chunk struct {
	id, text []byte
	index    int
	last     bool
}

var errIndex = errors.New("index is not a whole number")

// decode reads {id,index,choices:[{text,finish_reason}]}.
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

// parseIndex returns -1 for anything but a whole number below 10^9.
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

// event handles one token event.
func (s *stream) event(b []byte) error {
	c, err := s.decode(b)
	if err != nil {
		return s.x.fault(Malformed, err)
	}
	if !s.outer.equal(c.id, s.x.call.ID) {
		s.x.client.errorCounts[Crossed].Add(1)
		return nil
	}
	switch s.a.Accept(c.index, c.last) {
	case stage.Duplicate:
		return nil
	case stage.Gap:
		return s.x.fault(Skipped, nil)
	}
	if s.a.Text, err = jsontext.AppendUnquote(s.a.Text, c.text); err != nil {
		return s.x.fault(Malformed, err)
	}
	s.times.Tokens++
	if err := s.r.Token(c.index, c.text); err != nil {
		return s.x.fault(Receiver, err)
	}
	return nil
}

// cancel tells the engine to stop call id. It does not wait.
func (c *Client) cancel(address, id string) {
	select {
	case c.cancels <- struct{}{}:
	default:
		return
	}
	if !c.begin() {
		<-c.cancels
		return
	}
	go func() {
		defer c.running.Done()
		defer func() { <-c.cancels }()
		ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
		defer stop()
		k := &Call{ID: id, Address: address, Fresh: true}
		_, r, err := c.send(ctx, k, http.MethodDelete, "/v1/completions/"+url.PathEscape(id), nil)
		if err == nil {
			_ = r.Body.Close()
		}
	}()
}
