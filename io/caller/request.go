package caller

import (
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-json-experiment/json/jsontext"

	"bergamotspring/core/fleet"
	"bergamotspring/core/outcome"
	"bergamotspring/io/httpbody"
)

// maxKeyBytes bounds an operation key, which becomes part of a key in the table service.
const maxKeyBytes = 128

// input is a request that was read and validated.
type input struct {
	organisation string
	class        *fleet.Class
	timeout      time.Duration // 0: none requested
	key          string
	stream       bool
	target       string
	body         []byte
	reserved     int64 // bytes reserved of the limit on all bodies
}

// read reads and validates what requests for pipelines and services have in common.
// After a success, the caller of read must release input.reserved.
func (s *Server) read(w http.ResponseWriter, r *http.Request, v *fleet.View) (*input, *RequestError) {
	in, err := s.readHeader(r, v)
	if err != nil {
		return nil, err
	}
	if err := s.readBody(w, r, in); err != nil {
		s.bytes.Add(-in.reserved)
		return nil, err
	}
	return in, nil
}

func (s *Server) readHeader(r *http.Request, v *fleet.View) (*input, *RequestError) {
	if headerSize(r) > orDefault(s.MaxHeader, DefaultMaxHeader) {
		return nil, badRequest(http.StatusRequestHeaderFieldsTooLarge, "header", "the headers are too large")
	}
	in := &input{target: strings.TrimPrefix(r.URL.Path, "/v1/")}
	var err *RequestError
	single := func(name string) string {
		l := r.Header.Values(name)
		if len(l) > 1 && err == nil {
			err = badRequest(0, name, "the header is given more than once")
		}
		return r.Header.Get(name)
	}
	in.organisation = single("X-Organisation")
	class := single("X-Class")
	timeout := single("X-Timeout")
	in.key = single("Idempotency-Key")
	in.stream = strings.Contains(r.Header.Get("Accept"), "text/event-stream")
	if err != nil {
		return nil, err
	}
	if v.Orgs[in.organisation] == nil {
		return nil, badRequest(0, "X-Organisation", "the organisation is not declared")
	}
	if in.class, err = classOf(v, class); err != nil {
		return nil, err
	}
	if in.timeout, err = timeoutOf(timeout); err != nil {
		return nil, err
	}
	return in, checkKey(in.key)
}

func headerSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for k, l := range r.Header {
		for _, v := range l {
			n += len(k) + len(v) + 4
		}
	}
	return n
}

// classOf returns the class of that name, or the first declared class if name is empty.
func classOf(v *fleet.View, name string) (*fleet.Class, *RequestError) {
	if l := v.Declaration.Classes; name == "" && len(l) > 0 {
		return &l[0], nil
	}
	c := v.Classes[name]
	if c == nil {
		return nil, badRequest(0, "X-Class", "the class is not declared")
	}
	return c, nil
}

func timeoutOf(h string) (time.Duration, *RequestError) {
	if h == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(h)
	if err != nil || d <= 0 {
		return 0, badRequest(0, "X-Timeout", "the timeout must be a duration over 0, such as 4s")
	}
	return d, nil
}

func checkKey(key string) *RequestError {
	if len(key) > maxKeyBytes {
		return badRequest(0, "Idempotency-Key", "the key is over 128 bytes")
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return badRequest(0, "Idempotency-Key", "the key must be printable ASCII without spaces")
		}
	}
	return nil
}

var errBusy = &RequestError{Outcome: outcome.Shed, Message: "this node holds as many requests as it may"}

// readBody reads the whole body into one slice.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, in *input) *RequestError {
	m := orDefault(s.MaxBody, DefaultMaxBody)
	n := int64(m)
	if r.ContentLength >= 0 {
		n = r.ContentLength
	}
	if n > int64(m) {
		return badRequest(http.StatusRequestEntityTooLarge, "body", "the body is too large")
	}
	in.reserved = n
	if s.bytes.Add(n) > orDefault(s.MaxInflight, DefaultMaxInflight) {
		return errBusy
	}
	c := http.NewResponseController(w)
	_ = c.SetReadDeadline(s.now().Add(bodyTimeout)) // not supported by test recorders
	var err error
	in.body, err = httpbody.ReadAll(&httpbody.Reader{Source: http.MaxBytesReader(w, r.Body, int64(m))}, r.ContentLength, int64(m))
	_ = c.SetReadDeadline(time.Time{})
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return badRequest(http.StatusRequestEntityTooLarge, "body", "the body is too large")
	}
	if err != nil {
		return badRequest(0, "body", "the body could not be read to its end")
	}
	s.bytes.Add(int64(len(in.body)) - n)
	in.reserved = int64(len(in.body))
	if !jsontext.Value(in.body).IsValid() {
		return badRequest(0, "body", "the body must be one JSON value")
	}
	return nil
}

// fingerprint returns a hash of organisation, target and body.
func (in *input) fingerprint() uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(in.organisation)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(in.target)
	_, _ = d.WriteString("\x00")
	_, _ = d.Write(in.body)
	return d.Sum64()
}
