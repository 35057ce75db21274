package exchange

// This file recognises heads and bodies that go over into another response.

import (
	"bytes"
	"net/http"
	"regexp"
	"slices"
)

var statusLine = regexp.MustCompile(`HTTP/1\.[01] \d{3}`)

// holdsStatusLine reports whether another response begins inside a head: the server stopped there, and went on with
// that response. The head has the status of the one and fields of both.
func holdsStatusLine(a *http.Response) bool {
	if statusLine.MatchString(a.Status) {
		return true
	}
	for _, l := range a.Header {
		if slices.ContainsFunc(l, statusLine.MatchString) {
			return true
		}
	}
	return false
}

// maxLine is how much of the end of a line is kept, in bytes: more than a status line or an id field has.
const maxLine = 512

// bodyScan looks for the head of another response in a body. The body has gone over into it if that response names
// a request of its connection, as nothing else holds the ids of these in that form.
type bodyScan struct {
	echo   string // name of the field with the id; empty: nothing is looked for
	seen   ids    // of the requests of the connection
	line   []byte // the end of the last line, as far as it was read
	inHead bool   // a status line was found, and no empty line since
}

// found reports whether the body, of which b is the next part, has gone over into another response.
func (s *bodyScan) found(b []byte) bool {
	if s.echo == "" {
		return false
	}
	for {
		part, rest, ended := bytes.Cut(b, []byte("\n"))
		s.line = append(s.line, part[max(0, len(part)-maxLine):]...)
		s.line = append(s.line[:0], s.line[max(0, len(s.line)-maxLine):]...)
		if !ended {
			return false
		}
		if s.endsLine(bytes.TrimSuffix(s.line, []byte("\r"))) {
			return true
		}
		s.line, b = s.line[:0], rest
	}
}

// endsLine takes account of a whole line and reports whether it names a request of the connection in a head.
func (s *bodyScan) endsLine(l []byte) bool {
	if !s.inHead {
		s.inHead = bytes.Contains(l, []byte("HTTP/1.")) && statusLine.Match(l)
		return false
	}
	s.inHead = len(l) > 0
	name, value, ok := bytes.Cut(l, []byte(":"))
	return ok && bytes.EqualFold(name, []byte(s.echo)) && s.seen.has(string(bytes.TrimSpace(value)))
}

// joins reports whether the body has gone over into another response whose head goes on after the end of the body,
// with rest. A response that begins after the end is one of its own.
func (s *bodyScan) joins(rest []byte) bool {
	x := *s // more of the rest may come
	x.line = slices.Clone(s.line)
	return x.join(rest)
}

func (s *bodyScan) join(rest []byte) bool {
	if !s.inHead {
		line, _, _ := bytes.Cut(rest, []byte("\n"))
		at := statusLine.FindIndex(slices.Concat(s.line, line))
		if at == nil || at[0] >= len(s.line) {
			return false
		}
	}
	return s.found(rest)
}

// headStart is how much of a status line at the end of a body counts as the start of a head.
const headStart = "HTTP/1."

// endsInHead reports whether the body, as far as it was read, ends inside a head or its first line.
func (s *bodyScan) endsInHead() bool {
	return s.echo != "" && (s.inHead || bytes.Contains(s.line, []byte(headStart)))
}
