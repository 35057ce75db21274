package edge

// This file tests uploads that end before they are whole.

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"
)

// upload sends a POST request whose body has a framing as given, and returns the status of the response, 0 if there is none.
// Unless the body is whole, its caller closes the connection then.
func (w *testFleet) upload(path, id, framing, body string, whole bool) int {
	c := w.connect("a1").conn
	defer func() { _ = c.Close() }()
	head := []string{
		"POST " + path + " HTTP/1.1", "Host: fleet.example", "X-Bergamotspring-Request-Id: " + id, "X-Bergamotspring-Deadline-Ms: 2000",
		"Api-Key: key", "Connection: close", framing,
	}
	if _, err := io.WriteString(c, strings.Join(head, "\r\n")+"\r\n\r\n"+body); err != nil {
		return 0
	}
	if !whole {
		time.Sleep(10 * time.Millisecond)
		return 0
	}
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_ = a.Body.Close()
	return a.StatusCode
}

// A caller's upload is cut off anywhere, or goes on with bytes that are no chunk, at the ends of chunks and buffers too: no
// server gets it. One that is whole runs with the body that was sent. Guards against unsafe work with a part of its input.
func TestCutUploads(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		w.configure(2, func(c map[string]any) { c["limits"].(map[string]any)["max-body-bytes"] = 1 << 20 })
		time.Sleep(time.Second)
		r := rand.New(rand.NewPCG(11, 0))
		for i := range 300 {
			size, chunk := []int{1, 4095, 4096, 4097, 8192, 12288, 20000}[r.IntN(7)], []int{7, 4096, 8192, 12288}[r.IntN(4)]
			content := strings.Repeat("x", size)
			framing, body := fmt.Sprint("Content-Length: ", size), content
			var ends []int
			if r.IntN(3) > 0 {
				framing, body = "Transfer-Encoding: chunked", ""
				for at := 0; at < size; at += chunk {
					n := min(chunk, size-at)
					body += fmt.Sprintf("%x\r\n%s\r\n", n, content[at:at+n])
					ends = append(ends, len(body))
				}
				body += "0\r\n\r\n"
			}
			whole := false
			switch cut := r.IntN(4); {
			case cut == 0:
				whole = true
			case cut == 1 && len(ends) > 0:
				body = body[:ends[r.IntN(len(ends))]] + "no chunk\r\n"
			case cut == 2 && len(ends) > 0:
				body = body[:ends[r.IntN(len(ends))]]
			default:
				body = body[:r.IntN(len(body))]
			}
			id := fmt.Sprint("upload", i)
			status := w.upload("/file/x", id, framing, body, whole)
			time.Sleep(50 * time.Millisecond)
			if runs := w.runCount(id); whole != (status == http.StatusOK) || whole != (runs == 1) || runs > 1 {
				t.Errorf("%d: %s, %d of %d bytes, whole %v: got status %d after %d runs", i, framing, len(body), size, whole, status, runs)
			}
		}
	})
}
