package edge

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	platformstandin "bergamotspring/platform/standin"
)

// targetFleet is a fleet with routes that split others, to a second plain service.
type targetFleet struct {
	*testFleet
	mu      sync.Mutex
	targets map[string]string // of the requests that reached a plain server, by id, after its service
}

// splitRoutes adds a public route behind one that needs a key, and a safe one behind an unsafe one.
func splitRoutes(w *testFleet) *targetFleet {
	f := &targetFleet{testFleet: w, targets: map[string]string{}}
	for i, d := range []string{"a", "b"} {
		s := w.newServer("desk", "desk-"+d, fmt.Sprintf("10.1.0.%d:80", 98+i))
		w.servers[s.ID] = s
		w.serve(s.Address, f.recording("desk", s))
		w.register(s, "desk", d, "ready", 0)
	}
	w.configure(2, func(c map[string]any) {
		route := func(name, prefix, kind string, public bool) map[string]any {
			return map[string]any{
				"name": name, "host": "fleet.example", "prefix": prefix, "route-kind": kind, "service": "desk", "timeout-ms": 4000,
				"latency-goal-ms": 1000, "priority": 1, "max-attempts": 2, "public": public,
			}
		}
		c["route-table"] = append(c["route-table"].([]any), route("open", "/read/open/", "safe", true), route("again", "/file/again/", "safe", false))
	})
	time.Sleep(2 * time.Second)
	return f
}

// recording serves a server and records the targets that it gets.
func (f *targetFleet) recording(service string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		f.targets[r.Header.Get("X-Bergamotspring-Request-Id")] = service + " " + r.Host + " " + r.RequestURI
		f.mu.Unlock()
		h.ServeHTTP(w, r)
	})
}

// sendTarget sends a request with a target that is written as it is, and returns its status.
func (w *testFleet) sendTarget(method, target, host, key, id string) (int, error) {
	c, err := w.net.Dialer("10.8.0.1")(w.t.Context(), "tcp", w.nodes["a1"].node.Settings.Callers)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	_, err = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Bergamotspring-Request-Id: %s\r\nX-Bergamotspring-Deadline-Ms: 4000\r\nApi-Key: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", method, target, host, id, key)
	if err != nil {
		return 0, err
	}
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, a.Body)
	return a.StatusCode, err
}

// servicesOf returns the services at which a request has run.
func (w *testFleet) servicesOf(id string) []string {
	var l []string
	for _, service := range []string{"plain", "desk"} {
		for name, s := range w.servers {
			if service != name[:len(name)-2] {
				continue
			}
			if slices.ContainsFunc(s.Runs(), func(r platformstandin.Run) bool { return r.ID == id }) {
				l = append(l, service)
			}
		}
	}
	return l
}

// Guards against a route that is chosen by another path than the one that is forwarded: with an encoded slash, requests
// with unknown keys ran by the route of another service. The prefix begins the path as it was sent.
func TestRouteOfTargetAsSent(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		f := splitRoutes(w)
		for i, c := range []struct {
			target, key string
			status      int
			service     string // empty: it must not run
		}{
			{"/read/open%2Fx", "no", 401, ""},
			{"/read/open%2fx", "no", 401, ""},
			{"/read%2Fopen/x", "no", 404, ""},
			{"/%72ead/open/x", "no", 404, ""},
			{"/read/%6Fpen/x", "no", 401, ""},
			{"/read/x?/read/open/", "no", 401, ""},
			{"/read/open%3F/x", "no", 401, ""},
			{"/read/x#/read/open/x", "no", 401, ""},
			{"//read/open/x", "no", 404, ""},
			{"http://fleet.example/read/open%2Fx", "no", 401, ""},
			{"http://other.example/read/open/x", "no", 404, ""},
			{"http://fleet.example", "no", 404, ""},
			{"*", "key", 404, ""},
			{"/read/open%2Fx", "key", 200, "plain"},
			{"/read/x%2Fopen/", "key", 200, "plain"},
			{"/read/%6Fpen/x", "key", 200, "plain"},
			{"/read/open/x", "no", 200, "desk"},
			{"/read/open/a%2Fb?c=%2F&d", "no", 200, "desk"},
			{"/read/open/../x", "no", 200, "desk"},
			{"/read/open//x", "no", 200, "desk"},
			{"http://fleet.example/read/open/x?y", "no", 200, "desk"},
			{"http://fleet.example/read/x", "key", 200, "plain"},
		} {
			id, method := fmt.Sprint("t", i), http.MethodGet
			if c.target == "*" {
				method = http.MethodOptions
			}
			status, err := w.sendTarget(method, c.target, "fleet.example", c.key, id)
			if got := w.servicesOf(id); status != c.status || err != nil || fmt.Sprint(got) != fmt.Sprint(slices.DeleteFunc([]string{c.service}, func(s string) bool { return s == "" })) {
				t.Errorf("%s with key %s: got %d %v, run by %v, want %d, by %s", c.target, c.key, status, err, got, c.status, c.service)
			}
			want := "desk fleet.example " + targetWithoutHost(c.target)
			if got := f.targets[id]; c.service == "desk" && got != want {
				t.Errorf("%s: the server got %q, want %q", c.target, got, want)
			}
		}
	})
}

// targetWithoutHost returns a target as a server gets it, which is no proxy.
func targetWithoutHost(target string) string {
	return strings.TrimPrefix(target, "http://fleet.example")
}

// Guards against a request that is taken for one that may run again, by a route that it is not of.
func TestKindOfTargetAsSent(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		splitRoutes(w)
		for _, s := range w.servers {
			s.SharedFault = func() platformstandin.Fault { return platformstandin.FaultLose }
		}
		for i, target := range []string{"/file/again%2Fx", "/file/%61gain/x", "/file/x"} {
			id := fmt.Sprint("k", i)
			if status, err := w.sendTarget(http.MethodPost, target, "fleet.example", "key", id); status != 502 || w.runCount(id) != 1 {
				t.Errorf("%s: got %d %v, %d runs, want 502 and one run", target, status, err, w.runCount(id))
			}
		}
	})
}
