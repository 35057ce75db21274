package demo

// This file sends requests as callers do and records the responses.

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"bergamotspring/core/outcome"
	"bergamotspring/core/record"
	"bergamotspring/io/httpbody"
	"bergamotspring/io/standin"
)

// Request is one request of a caller.
type Request struct {
	Node         string // node to send to, empty: the load balancer chooses
	Path         string // pipelines/NAME or services/NAME/OPERATION
	Organisation string
	Class        string
	Key          string
	Timeout      time.Duration
	Input        string // JSON value, empty: a value unique to the request
	Stream       bool
	ReadDelay    time.Duration // before the caller reads the response
	Tokens       int           // of the whole response, 0: not generated
}

// Response is what a caller received.
type Response struct {
	ID         string // request id of the caller
	Node       string // node that the request was sent to
	RequestID  string // request id of the node
	Status     int
	Outcome    string
	Message    string
	Ran        string // ran field of an error response
	Text       string
	FirstToken time.Duration // until the first token
	Took       time.Duration
	Gaps       []time.Duration // between tokens
}

// Send sends a request, waits for the response and records both.
func (f *Fleet) Send(ctx context.Context, q Request) Response {
	f.mu.Lock()
	f.requestCount++
	id := fmt.Sprintf("r%04d", f.requestCount)
	f.mu.Unlock()
	if q.Input == "" {
		q.Input = `"` + id + ` ` + q.Path + `"`
	}
	name, host := f.pickNode(q.Node)
	start := time.Now()
	f.Record(record.Event{At: start, Actor: "caller", Kind: record.RequestSent, Request: id, Key: q.Key, Limit: q.Timeout, Detail: q.Path, Node: name})
	r := Response{ID: id, Node: name}
	err := f.exchange(ctx, host, q, start, &r)
	r.Took = time.Since(start)
	if err != nil {
		r.Outcome, r.Message = record.LostConnection, err.Error()
	}
	if ctx.Err() != nil {
		r.Outcome = outcome.Cancelled.String()
	}
	e := record.Event{At: time.Now(), Actor: "caller", Kind: record.ResponseRead, Request: id, Call: r.RequestID, Key: q.Key, Outcome: r.Outcome, Detail: r.Ran}
	if r.Outcome == "ok" && f.isComplete(q, r) {
		e.ResponseTo = id
	}
	f.Record(e)
	return r
}

// isComplete reports whether r is the whole response to q.
func (f *Fleet) isComplete(q Request, r Response) bool {
	if q.Tokens == 0 {
		return r.Text == q.Input
	}
	var in string
	if json.Unmarshal([]byte(q.Input), &in) != nil {
		return false
	}
	return r.Text == standin.Text(in, q.Tokens)
}

// pickNode returns the node with the name if it runs, else a node that is ready, as the
// platform's load balancer does.
func (f *Fleet) pickNode(name string) (node, host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r := f.running[name]; r != nil {
		return name, r.host
	}
	for i := range f.Nodes {
		s := f.Nodes[(f.requestCount+i)%len(f.Nodes)].Name
		r := f.running[s]
		if r != nil && !r.paused.Load() && r.node.Ready() == nil {
			return s, r.host
		}
	}
	i := f.requestCount % len(f.Nodes)
	return f.Nodes[i].Name, f.nodeHost(i)
}

func (f *Fleet) exchange(ctx context.Context, host string, q Request, start time.Time, r *Response) error {
	h, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+callerPort+"/v1/"+q.Path, strings.NewReader(q.Input))
	if err != nil {
		return err
	}
	h.Header.Set("Content-Type", "application/json")
	h.Header.Set("X-Organisation", q.Organisation)
	h.Header.Set("X-Class", q.Class)
	if q.Key != "" {
		h.Header.Set("Idempotency-Key", q.Key)
	}
	if q.Timeout > 0 {
		h.Header.Set("X-Timeout", q.Timeout.String())
	}
	if q.Stream {
		h.Header.Set("Accept", "text/event-stream")
	}
	// Without keep-alive: net/http may resend a request after a reused connection
	// broke, and only the caller may decide to resend.
	c := &http.Client{Transport: &http.Transport{DialContext: f.Network.Dialer(callerHost), DisableKeepAlives: true}}
	a, err := c.Do(h)
	if err != nil {
		return err
	}
	defer func() { _ = a.Body.Close() }()
	r.Status, r.RequestID = a.StatusCode, a.Header.Get("X-Request-Id")
	time.Sleep(q.ReadDelay)
	if strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream") {
		return readStream(a.Body, start, r)
	}
	return readBody(a.Body, q.Tokens > 0, r)
}

type responseBody struct {
	Outcome string          `json:"outcome"`
	Message string          `json:"message"`
	Ran     string          `json:"ran"`
	Output  json.RawMessage `json:"output"`
	Text    string          `json:"text"`
}

// maxResponse bounds a response that is not streamed, in bytes.
const maxResponse = 16 << 20

func readBody(b io.Reader, generated bool, r *Response) error {
	text, err := httpbody.ReadAll(b, -1, maxResponse)
	if err != nil {
		return err
	}
	var a responseBody
	if err := json.Unmarshal(text, &a); err != nil {
		return err
	}
	r.Outcome, r.Message, r.Ran = a.Outcome, a.Message, a.Ran
	r.Text = string(a.Output)
	if generated && len(a.Output) > 0 {
		return json.Unmarshal(a.Output, &r.Text)
	}
	return nil
}

var errStreamTruncated = errors.New("the stream ended without its last event")

// readStream reads an event stream up to its last event.
func readStream(b io.Reader, start time.Time, r *Response) error {
	s := bufio.NewScanner(b)
	var event string
	last := start
	for s.Scan() {
		l := s.Text()
		if e, ok := strings.CutPrefix(l, "event: "); ok {
			event = e
			continue
		}
		d, ok := strings.CutPrefix(l, "data: ")
		if !ok {
			continue
		}
		var a responseBody
		if err := json.Unmarshal([]byte(d), &a); err != nil {
			return err
		}
		if event != "token" {
			r.Outcome, r.Message, r.Ran = a.Outcome, a.Message, a.Ran
			return nil
		}
		now := time.Now()
		if r.FirstToken == 0 {
			r.FirstToken = now.Sub(start)
		} else {
			r.Gaps = append(r.Gaps, now.Sub(last))
		}
		last = now
		r.Text += a.Text
	}
	if s.Err() != nil {
		return s.Err()
	}
	return errStreamTruncated
}
