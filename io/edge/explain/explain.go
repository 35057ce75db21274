// Package explain reconstructs from the log lines of all nodes how a request ended, and why.
//
// It depends on the events and fields that io/edge and io/proxy log. This file defines how lines
// are read and which of them are relevant to a request.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"
)

const (
	// window is how long before and after a request the lines about its servers, nodes and
	// stages may explain it and are included.
	window = 2 * time.Second
	// maxLine is the longest line of the log in bytes.
	maxLine = 1 << 20
)

// Line is one line of the log.
type Line struct {
	At     time.Time
	Node   string
	Event  string
	Fields map[string]any
}

// text returns a field as text, or "" if there is none.
func (l *Line) text(name string) string {
	if v, ok := l.Fields[name]; ok {
		return fmt.Sprint(v)
	}
	return ""
}

// number returns a field as a number, or 0 if there is none.
func (l *Line) number(name string) float64 {
	n, _ := l.Fields[name].(float64) // 0 means the same as a missing field
	return n
}

// duration returns a field that holds seconds as a duration.
func (l *Line) duration(name string) time.Duration {
	return time.Duration(l.number(name) * float64(time.Second)).Round(100 * time.Microsecond)
}

// NotFoundError reports that no line mentions a request.
type NotFoundError struct {
	Request string
	Lines   int // number of lines read
}

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no line is about request %q; %d lines were read", e.Request, e.Lines)
}

// Read reads lines. Text before the JSON object of a line, such as a prefix that a test harness
// adds, is skipped, and so are lines without an object.
func Read(r io.Reader) ([]Line, error) {
	var l []Line
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		if x, ok := parse(s.Bytes()); ok {
			l = append(l, x)
		}
	}
	if err := s.Err(); err != nil {
		return nil, fmt.Errorf("log: %w", err)
	}
	return l, nil
}

// parse decodes one line, and reports whether a node wrote it.
func parse(b []byte) (Line, bool) {
	n := bytes.IndexByte(b, '{')
	if n < 0 {
		return Line{}, false
	}
	var f map[string]any
	if json.Unmarshal(b[n:], &f) != nil {
		return Line{}, false // of another program
	}
	l := Line{Fields: f}
	l.Event, l.Node = l.text("msg"), l.text("node")
	at, err := time.Parse(time.RFC3339Nano, l.text("at"))
	if err != nil || l.Event == "" {
		return Line{}, false
	}
	l.At = at
	for _, k := range []string{"msg", "node", "at", "level"} {
		delete(f, k)
	}
	return l, true
}

// Find returns the lines of a request, and the lines near it that may explain it, each in order
// of time. The error is a *NotFoundError if the request has none.
func Find(l []Line, request string) (own, near []Line, err error) {
	if request == "" {
		return nil, nil, errors.New("a request id is needed")
	}
	for i := range l {
		if l[i].text("request") == request {
			own = append(own, l[i])
		}
	}
	if len(own) == 0 {
		return nil, nil, &NotFoundError{Request: request, Lines: len(l)}
	}
	byTime := func(a, b Line) int { return a.At.Compare(b.At) }
	slices.SortStableFunc(own, byTime)
	x := newScope(own)
	for i := range l {
		if x.contains(&l[i]) {
			near = append(near, l[i])
		}
	}
	slices.SortStableFunc(near, byTime)
	return own, near, nil
}

// scope is the time span, nodes and servers of a request.
type scope struct {
	from, to time.Time
	nodes    map[string]bool // that logged the request
	servers  map[string]bool // that the request was placed at or sent to
}

func newScope(own []Line) *scope {
	s := &scope{nodes: map[string]bool{}, servers: map[string]bool{}}
	s.from, s.to = own[0].At, own[len(own)-1].At.Add(window)
	for i := range own {
		x := &own[i]
		s.nodes[x.Node] = true
		if n := x.text("server"); n != "" {
			s.servers[n] = true
		}
		if at := x.At.Add(-max(x.duration("after"), x.duration("waited"))); at.Before(s.from) {
			s.from = at
		}
	}
	s.from = s.from.Add(-window)
	return s
}

// nodeEvents are the events about the state of a node.
var nodeEvents = []string{
	"start", "stop", "requests_cut", "configuration_installed", "configuration_unreadable", "store_lost", "store_regained", "outage_ended",
	"store_history_lost", "table_restored", "home_changed", "home_silent", "peer_regained", "peer_key_failed", "log_dropped", "piece_repeat_denied", "mirrored",
	"tables_source", "mirror_failed",
}

// serverEvents are the events about one server.
var serverEvents = []string{"server_crashed", "server_entry_gone", "server_entry_changed", "server_entry_unreadable"}

func (s *scope) contains(l *Line) bool {
	if l.At.Before(s.from) || l.At.After(s.to) || l.text("request") != "" {
		return false
	}
	return l.Event == "stage_call" && s.nodes[l.Node] ||
		slices.Contains(nodeEvents, l.Event) && s.nodes[l.Node] ||
		slices.Contains(serverEvents, l.Event) && s.servers[l.text("server")]
}
