package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a caller got on its connection.
type answer struct {
	status  int
	stamp   string
	body    []byte
	err     error // the response is not whole
	sentAt  time.Time
	endedAt time.Time
}

// request is one attempt of a caller.
type request struct {
	method, host, path, id string
	timeout                time.Duration
	header                 map[string]string
	body                   string
}

func (q request) bytes() string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Bergamotspring-Request-Id: %s\r\nX-Bergamotspring-Deadline-Ms: %d\r\n", q.method, q.path, q.host, q.id, q.timeout.Milliseconds())
	for k, v := range q.header {
		_, _ = fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	if q.method != http.MethodGet {
		_, _ = fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	return b.String() + "\r\n" + q.body
}

// call sends a request on a new connection to a node and reads the whole response.
func call(address string, q request) answer {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err, sentAt: time.Now(), endedAt: time.Now()}
	}
	defer func() { _ = c.Close() }()
	return exchange(c, bufio.NewReader(c), q)
}

// exchange sends a request on a connection and reads the whole response.
func exchange(c net.Conn, in *bufio.Reader, q request) (a answer) {
	a.sentAt = time.Now()
	defer func() { a.endedAt = time.Now() }()
	_ = c.SetDeadline(time.Now().Add(q.timeout + time.Second))
	if _, err := io.WriteString(c, q.bytes()); err != nil {
		a.err = err
		return a
	}
	r, err := http.ReadResponse(in, &http.Request{Method: q.method})
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = r.Body.Close() }()
	a.status, a.stamp = r.StatusCode, r.Header.Get("X-Bergamotspring-Server-Stamp")
	a.body, a.err = io.ReadAll(r.Body)
	return a
}
