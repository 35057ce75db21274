package backend

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-json-experiment/json/jsontext"

	"bergamotspring/io/httpbody"
)

// Response is the complete response to a JSON call.
type Response struct {
	Output  []byte // JSON; aliases the buffer of the response body
	Cold    bool   // the server reported itself as cold
	Service time.Duration
}

// parts is a request body of three slices. Request.GetBody is not set for it, so
// net/http cannot send it a second time.
type parts [3][]byte

func (p *parts) Read(b []byte) (int, error) {
	n := 0
	for i := range p {
		m := copy(b[n:], p[i])
		p[i] = p[i][m:]
		n += m
	}
	if n == 0 && len(b) > 0 {
		return 0, io.EOF
	}
	return n, nil
}

// Close implements io.Closer.
func (p *parts) Close() error { return nil }

func (p *parts) size() int64 { return int64(len(p[0]) + len(p[1]) + len(p[2])) }

// Invoke calls an operation of a pool or plain service with a JSON input.
func (c *Client) Invoke(ctx context.Context, k *Call, operation string, input []byte) (Response, error) {
	b := make([]byte, 0, 64+len(k.ID)+len(k.Organisation))
	b = append(b, `{"call_id":`...)
	b = appendString(b, k.ID)
	b = append(b, `,"organisation":`...)
	b = appendString(b, k.Organisation)
	b = append(b, `,"input":`...)
	p := &parts{b, input, closingBrace}
	x, r, err := c.send(ctx, k, http.MethodPost, "/v1/"+operation, p)
	if err != nil {
		return Response{Service: x.gate.service()}, err
	}
	defer func() { _ = r.Body.Close() }()
	body, err := readBody(r)
	a := Response{Service: x.gate.service()}
	if err != nil {
		if ctx.Err() != nil {
			return a, x.transportError(err)
		}
		return a, x.newError(Truncated, err)
	}
	if ctx.Err() != nil {
		return a, x.newError(Late, context.Cause(ctx))
	}
	err = x.parse(body, &a)
	if err != nil {
		x.gate.discard()
	}
	return a, err
}

var closingBrace = []byte("}")

func readBody(r *http.Response) ([]byte, error) {
	return httpbody.ReadAll(&httpbody.Reader{Source: r.Body}, r.ContentLength, maxResponse)
}

var errShape = errors.New("unexpected JSON value")

// parse fills a from {call_id,output,end,cold}. The output is not copied.
func (x *exchange) parse(body []byte, a *Response) error {
	p := parsers.Get().(*parser)
	defer parsers.Put(p)
	idMatches, hasEnd := false, false
	err := p.object(body, func(name, value []byte) error {
		switch string(name) {
		case `"call_id"`:
			idMatches = p.stringEqual(value, x.call.ID)
		case `"output"`:
			a.Output = value
		case `"end"`:
			hasEnd = string(value) == "true"
		case `"cold"`:
			a.Cold = string(value) == "true"
		}
		return nil
	})
	switch {
	case err != nil:
		return x.newError(Malformed, err)
	case !idMatches:
		a.Output = nil
		return x.newError(Crossed, nil)
	case !hasEnd || a.Output == nil:
		a.Output = nil
		return x.newError(NoEnd, nil)
	}
	return nil
}

// parser reads JSON, without allocating once its buffers have grown.
type parser struct {
	buf     bytes.Buffer
	dec     *jsontext.Decoder
	scratch []byte
}

var parsers = sync.Pool{New: func() any { return newParser() }}

func newParser() *parser {
	p := &parser{}
	p.dec = jsontext.NewDecoder(&p.buf)
	return p
}

// object calls member for each member of the JSON object b, with the raw name and the
// raw value. Both alias b.
func (p *parser) object(b []byte, member func(name, value []byte) error) error {
	p.buf = *bytes.NewBuffer(b)
	p.dec.Reset(&p.buf)
	t, err := p.dec.ReadToken()
	if err != nil {
		return err
	}
	if t.Kind() != '{' {
		return errShape
	}
	for p.dec.PeekKind() == '"' {
		n, err := p.dec.ReadValue()
		if err != nil {
			return err
		}
		i := p.dec.InputOffset()
		name := b[i-int64(len(n)) : i]
		v, err := p.dec.ReadValue()
		if err != nil {
			return err
		}
		i = p.dec.InputOffset()
		if err := member(name, b[i-int64(len(v)):i]); err != nil {
			return err
		}
	}
	if _, err := p.dec.ReadToken(); err != nil {
		return err
	}
	if _, err := p.dec.ReadToken(); !errors.Is(err, io.EOF) {
		return errShape
	}
	return nil
}

// stringEqual reports whether the JSON string b encodes s.
func (p *parser) stringEqual(b []byte, s string) bool {
	if len(b) < 2 || b[0] != '"' {
		return false
	}
	if string(b[1:len(b)-1]) == s && bytes.IndexByte(b, '\\') < 0 {
		return true
	}
	t, err := jsontext.AppendUnquote(p.scratch[:0], b)
	p.scratch = t
	return err == nil && string(t) == s
}

// appendString appends s as a JSON string. Invalid UTF-8 is replaced.
func appendString[T ~[]byte | ~string](b []byte, s T) []byte {
	b, _ = jsontext.AppendQuote(b, s)
	return b
}
