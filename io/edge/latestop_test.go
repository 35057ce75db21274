package edge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	platformstandin "bergamotspring/platform/standin"
)

// lateCaller has an open connection, on which it sends a request later.
type lateCaller struct{ conn net.Conn }

// connect opens a connection to a node.
func (w *testFleet) connect(node string) *lateCaller {
	c, err := w.net.Dialer("10.8.0.1")(context.Background(), "tcp", w.nodes[node].node.Settings.Callers)
	if err != nil {
		w.t.Fatal(err)
	}
	return &lateCaller{c}
}

// send sends a POST request, its body after a pause, and returns its response.
func (c *lateCaller) send(path, id string, pause time.Duration) response {
	const body = "body"
	lines := []string{
		"POST " + path + " HTTP/1.1", "Host: fleet.example", "X-Bergamotspring-Request-Id: " + id, "X-Bergamotspring-Deadline-Ms: 8000", "Api-Key: key",
		fmt.Sprint("Content-Length: ", len(body)),
	}
	for i, m := 0, modelHeaders(id); i < len(m); i += 2 {
		lines = append(lines, m[i]+": "+m[i+1])
	}
	if _, err := io.WriteString(c.conn, strings.Join(lines, "\r\n")+"\r\n\r\n"); err != nil {
		return response{err: err}
	}
	time.Sleep(pause)
	if _, err := io.WriteString(c.conn, body); err != nil {
		return response{err: err}
	}
	a, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(a.Body)
	return response{status: a.StatusCode, close: a.Close, body: string(b), err: err}
}

// A node stops as planned, in calm. A request that is whole only late in the grace, on a connection from before, might
// last longer than the process: it is refused at once, and runs nowhere. One that begins late is not read. Those that
// are whole earlier are served.
func TestRequestsLateInGrace(t *testing.T) {
	const soon, late = 2500 * time.Millisecond, 6500 * time.Millisecond // after the stop
	for _, path := range []string{"/file/x", "/once/x"} {
		for _, c := range []struct {
			name       string
			head, body time.Duration // when they are sent
			status     int           // 0: the connection ends without a response
		}{
			{"soon", soon, soon, 200},
			{"whole soon", 100 * time.Millisecond, soon, 200},
			{"whole late", soon, late, 503},
			{"whole just before the end", soon, 7600 * time.Millisecond, 503},
			{"late", late, late, 0},
		} {
			runFleet(t, func(w *testFleet) {
				w.configure(2, func(c map[string]any) {
					for _, r := range c["route-table"].([]any) {
						r.(map[string]any)["timeout-ms"] = 8000
					}
				})
				for _, d := range []string{"a", "b", "c"} {
					w.servers["plain-"+d].ServiceTime = 2 * time.Second
					w.servers["model-"+d].Gap = 400 * time.Millisecond
				}
				time.Sleep(time.Second)
				start := time.Now()
				w.nodes["b1"].stop()
				time.Sleep(min(c.head, soon))
				x := w.connect("b1")
				time.Sleep(time.Until(start.Add(c.head)))
				sentAt := start.Add(c.body)
				r := x.send(path, "id", time.Until(sentAt))
				if r.status != c.status || (r.err != nil) != (c.status == 0) || c.status != 0 && !r.close {
					t.Errorf("%s, %s: got %d %v, connection closed: %v, want %d", path, c.name, r.status, r.err, r.close, c.status)
				}
				if n := w.runCount("id"); (n > 0) != (c.status == 200) {
					t.Errorf("%s, %s: %d runs for status %d", path, c.name, n, c.status)
				}
				if took := time.Since(sentAt); c.status != 200 && took > 50*time.Millisecond {
					t.Errorf("%s, %s: the end came after %v, want it at once", path, c.name, took)
				}
			})
		}
	}
}

// stopFaults are what may hold up a node that stops: calls to the store that are fast, slow and never answered, other nodes that
// are silent, and a hand-over that waits for batches without an end. Sound says that requests are served in time all the same.
var stopFaults = []struct {
	name  string
	sound bool
	begin func(w *testFleet, node string)
}{
	{"fast store", true, func(*testFleet, string) {}},
	{"slow store", true, func(w *testFleet, _ string) { w.store.Delay(800 * time.Millisecond) }},
	{"silent store", true, func(w *testFleet, _ string) { w.store.Delay(platformstandin.NoResponse) }},
	{"silent nodes", false, func(w *testFleet, node string) {
		for name, n := range w.nodes {
			if name != node {
				w.net.SetCut(w.nodes[node].node.Settings.IP, n.node.Settings.IP, true)
				w.net.SetCut(n.node.Settings.IP, w.nodes[node].node.Settings.IP, true)
			}
		}
	}},
	{"silent stage servers", false, func(w *testFleet, _ string) {
		for _, s := range w.all("encode") {
			s.BatchTime = time.Hour
		}
	}},
}

// A node stops as planned. A request on a kept connection that is sent later than 3 s after the signal might be cut, so no
// server gets it, whatever holds the node up; one that is sent earlier and ends in time is served, and the node ends within its
// grace. Guards against review case 14: the 3 s began when the store had answered.
func TestStopCountsFromSignal(t *testing.T) {
	for _, fault := range stopFaults {
		for _, node := range []string{"a1", "b1"} { // a1 is the coordinator, which hands over
			runFleet(t, func(w *testFleet) { w.testStop(fault.name, node, fault.sound, fault.begin) })
		}
	}
}

func (w *testFleet) testStop(fault, node string, sound bool, begin func(*testFleet, string)) {
	const streamTime = 3500 * time.Millisecond // of a request that the grace leaves time for if it is sent before 3 s
	w.configure(2, func(c map[string]any) {
		for _, r := range c["route-table"].([]any) {
			r.(map[string]any)["timeout-ms"] = 8000
		}
	})
	for _, d := range []string{"a", "b", "c"} {
		w.servers["plain-"+d].ServiceTime = streamTime
		w.servers["model-"+d].Gap = streamTime / 6
	}
	time.Sleep(2 * time.Second)
	begin(w, node)
	start := time.Now()
	w.nodes[node].stop()
	var g sync.WaitGroup
	for i, ms := range []int{1500, 2500, 2800, 3001, 3005, 3030, 3060, 3200, 3900, 4500, 5500, 7000} {
		for _, path := range []string{"/file/x", "/once/x"} {
			x, at := w.connect(node), time.Duration(ms)*time.Millisecond
			g.Go(func() {
				time.Sleep(at)
				id := fmt.Sprint(i, path)
				r := x.send(path, id, 0)
				served, n := r.status == http.StatusOK && r.err == nil, w.runCount(id)
				if late := at > 3*time.Second; late && n > 0 || !late && sound && !served {
					w.t.Errorf("%s, %s, %s sent %v after the signal: got %d %v after %d runs", fault, node, path, at, r.status, r.err, n)
				}
			})
		}
	}
	g.Wait()
	<-w.nodes[node].done
	if took := time.Since(start); took > 8*time.Second {
		w.t.Errorf("%s: %s ended %v after the signal, want 8 s at most", fault, node, took)
	}
	w.nodes[node].done <- nil // for close
	w.store.Delay(0)
}

// The coordinator stops as planned while the store's calls take any time: what the other nodes of its region have asked it,
// or ask it then, is served in time, as before the stop.
func TestRequestsAtStoppingCoordinator(t *testing.T) {
	for _, fault := range stopFaults {
		if !fault.sound {
			continue
		}
		runFleet(t, func(w *testFleet) {
			for _, d := range []string{"a", "b", "c"} {
				w.servers["encode-"+d].BatchTime = 600 * time.Millisecond // so that requests wait in batches
			}
			fault.begin(w, "a1")
			var g sync.WaitGroup
			for i := range 24 {
				if i == 6 {
					w.nodes["a1"].stop()
				}
				for _, node := range []string{"a2", "b1"} {
					g.Go(func() {
						id := fmt.Sprint(node, "-", i)
						w.wantStream(w.stream(node, "/once/x", id), "%s, %s", fault.name, id)
					})
				}
				time.Sleep(400 * time.Millisecond)
			}
			g.Wait()
			w.store.Delay(0)
		})
	}
}
