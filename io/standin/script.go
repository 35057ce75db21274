package standin

// This file defines a server that sends given bytes as its responses.

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Cut at the end of a response of a Script is not sent, but closes the connection.
const Cut = "(cut)"

// later separates the parts of a response that Later returns.
const later = "(later)"

// Later returns a response of a Script whose rest is sent some time after its start.
func Later(start string, after time.Duration, rest string) string {
	if rest == "" {
		return start
	}
	return start + later + after.String() + later + rest
}

// Script is a server that answers the next request on any of its connections with the next of its
// responses, sent as it is. It closes the connection after one that is empty or says that it does. The
// fields must be set before Serve, and Responses closed after the last request.
type Script struct {
	Responses <-chan string
	Answers   func(*http.Request) bool // false closes the connection in place of a response
}

// Serve serves the connections of a listener until it closes.
func (s *Script) Serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

func (s *Script) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if !s.Answers(r) {
			return
		}
		x, rest, _ := strings.Cut(<-s.Responses, later)
		if rest != "" {
			after, part, _ := strings.Cut(rest, later)
			d, _ := time.ParseDuration(after)
			_, _ = io.WriteString(c, x) // an error shows in the next write
			time.Sleep(d)
			x = part
		}
		x, end := strings.CutSuffix(x, Cut)
		if _, err := io.WriteString(c, x); err != nil || end || x == "" || strings.Contains(x, "Connection: close") {
			return
		}
	}
}

// Framings returns a response of the given head, which lacks its empty line, three times: with a body
// that ends with the connection ("neither"), one with a length ("length") and one in chunks ("chunks").
func Framings(head, body string) map[string]string {
	chunk := ""
	if body != "" {
		chunk = fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	}
	return map[string]string{
		"neither": head + "\r\n" + body,
		"length":  fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body),
		"chunks":  head + "Transfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\n\r\n",
	}
}
