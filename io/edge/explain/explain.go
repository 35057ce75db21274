// Package explain tells from the log lines of all nodes what became of a request, and why.
//
// It knows the events and fields that io/edge and io/proxy log. This file defines how lines
// are read and which of them belong to a request.
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
	// around is how long before and after a request the lines about its servers, its nodes
	// and the stages that it waited for may explain it.
	around = 2 * time.Second
	// maxLine bounds a line of the log in bytes.
	maxLine = 1 << 20
)

// Line is one line of the log.
type Line struct {
	At     time.Time
	Node   string
	Event  string
	Fields map[string]any
}

// text returns a field as text, empty if there is none.
func (l *Line) text(name string) string {
	if v, ok := l.Fields[name]; ok {
		return fmt.Sprint(v)
	}
	return ""
}

// number returns a field as a number, 0 if there is none.
func (l *Line) number(name string) float64 {
	n, _ := l.Fields[name].(float64) // 0 says the same as a missing field
	return n
}

// span returns a field that holds seconds.
func (l *Line) span(name string) time.Duration {
	return time.Duration(l.number(name) * float64(time.Second)).Round(100 * time.Microsecond)
}

// NotFoundError reports that no line is about a request.
type NotFoundError struct {
	Request string
	Lines   int // that were read
}

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no line is about request %q; %d lines were read", e.Request, e.Lines)
}

// Read reads lines. What stands before the JSON object of a line, as the bench writes it, and
// lines without one are skipped.
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

// parse decodes one line, and reports whether it is one of a node.
func parse(b []byte) (Line, bool) {
	n := bytes.IndexByte(b, '{')
	if n < 0 {
		return Line{}, false
	}
	var f map[string]any
	if json.Unmarshal(b[n:], &f) != nil {
		return Line{}, false // another program's
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

// Find returns the lines that are about a request, in order of time, and those around it that
// may explain it. The error is a *NotFoundError if there are none.
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
		if x.holds(&l[i]) {
			near = append(near, l[i])
		}
	}
	slices.SortStableFunc(near, byTime)
	return own, near, nil
}

// scope is what is near a request.
type scope struct {
	from, to time.Time
	nodes    map[string]bool // that wrote lines about it
	servers  map[string]bool // that it was placed at or sent to
}

func newScope(own []Line) *scope {
	s := &scope{nodes: map[string]bool{}, servers: map[string]bool{}}
	s.from, s.to = own[0].At, own[len(own)-1].At.Add(around)
	for i := range own {
		x := &own[i]
		s.nodes[x.Node] = true
		if n := x.text("server"); n != "" {
			s.servers[n] = true
		}
		if at := x.At.Add(-max(x.span("after"), x.span("waited"))); at.Before(s.from) {
			s.from = at
		}
	}
	s.from = s.from.Add(-around)
	return s
}

// aboutNodes are the events that change what a node believes or can do.
var aboutNodes = []string{
	"start", "stop", "requests_cut", "configuration_installed", "configuration_unreadable", "store_lost", "store_regained",
	"store_history_lost", "home_changed", "home_silent", "peer_regained", "peer_key_failed", "log_dropped", "piece_repeat_denied", "mirrored",
}

// aboutServers are the events that tell of one server.
var aboutServers = []string{"server_crashed", "server_entry_gone", "server_entry_changed", "server_entry_unreadable"}

func (s *scope) holds(l *Line) bool {
	if l.At.Before(s.from) || l.At.After(s.to) || l.text("request") != "" {
		return false
	}
	return l.Event == "stage_call" && s.nodes[l.Node] ||
		slices.Contains(aboutNodes, l.Event) && s.nodes[l.Node] ||
		slices.Contains(aboutServers, l.Event) && s.servers[l.text("server")]
}
