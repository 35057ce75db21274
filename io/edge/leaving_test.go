package edge

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	platformstandin "bergamotspring/platform/standin"
)

// registerProcess writes the entry of a server's process that started at the given time. With an odd
// sequence it has a slot more, so that nodes take it for a change.
func (w *testFleet) registerProcess(s *platformstandin.Server, service, domain string, startedAt, sequence int) {
	w.store.Put("servers", s.ID, map[string]any{
		"service": service, "address": s.Address, "zone": domain, "slots": 6 + sequence%2, "state": "ready", "sequence": sequence, "born": startedAt,
	})
}

// leaving is the Leaving of a server whose responses all state that it is leaving.
func leaving() bool { return true }

// A server whose responses state that it is leaving gets no more requests from a node that saw one,
// though its entry says ready, until another process has its ID.
func TestServerLeavingInResponse(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		s := w.servers["plain-a"]
		w.registerProcess(s, "plain", "a", 1000, 1)
		time.Sleep(2 * time.Second)
		s.Leaving = leaving
		get := func(id string) {
			t.Helper()
			if r := w.request("a1", http.MethodGet, "/read/x", id); r.status != 200 {
				t.Errorf("%s: got %d, want 200", id, r.status)
			}
		}
		get("first")
		w.registerProcess(s, "plain", "a", 1000, 2)
		for i := range 5 {
			get(fmt.Sprint("later", i))
			time.Sleep(time.Second)
		}
		if n := len(s.Runs()); n != 1 {
			t.Errorf("got %d runs at the leaving server, want 1", n)
		}
		s.Leaving = nil
		w.registerProcess(s, "plain", "a", int(time.Now().UnixMilli()), 1)
		time.Sleep(2 * time.Second)
		get("restarted")
		if n := len(s.Runs()); n != 2 {
			t.Errorf("got %d runs after the server started again, want 2", n)
		}
		if got := len(w.log.matching(`"server_leaving"`)); got != 1 {
			t.Errorf("got %d log lines, want 1", got)
		}
	})
}

// A coordinator takes the removal of a server's entry for the effect of an outage, as after a freeze, and
// goes on granting the server: nodes that saw the entry go do not send there.
func TestGrantOfServerWhoseEntryIsGone(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		w.stream("b1", "/draft/x", "first")
		var s *platformstandin.Server // which the next requests with these prompt segments prefer
		for _, x := range w.servers {
			if x.Events > 0 && len(x.Runs()) > 0 {
				s = x
			}
		}
		w.nodes["a1"].node.cache.Reconnected(time.Now())
		w.store.Remove("servers", s.ID)
		time.Sleep(time.Second)
		for i := range 2 {
			id := fmt.Sprint("g", i)
			if r := w.stream("b1", "/draft/x", id); r.status != 200 || r.body != fullStream(6) {
				t.Errorf("request %d: got %d %v %q", i, r.status, r.err, r.body)
			}
		}
		if got := len(s.Runs()); got != 1 {
			t.Errorf("got %d runs at the server that left, want the one before", got)
		}
	})
}

// A refusal with the header counts too.
func TestServerLeavingInRefusal(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		s := w.servers["plain-a"]
		s.Leaving = leaving
		reject := func() platformstandin.Fault { return platformstandin.FaultReject }
		s.SharedFault = reject
		for i := range 3 {
			if r := w.request("a1", http.MethodPost, "/file/x", fmt.Sprint(i)); r.status != 200 {
				t.Errorf("got %d, want 200", r.status)
			}
		}
		if got := len(w.log.matching(`"send_failed"`, "plain-a")); got != 1 {
			t.Errorf("got %d requests at the leaving server, want 1", got)
		}
	})
}

// Any response to a request counts, whatever became of it, if one of its fields says 1.
func TestServerLeavingInAnyResponse(t *testing.T) {
	const text, events = "Content-Length: 2\r\n\r\nok", "Content-Type: text/event-stream\r\nContent-Length: 99\r\n\r\nid: 1\ndata: 1\n\nid: 2\nda"
	for _, c := range []struct {
		kind, method, path, status, fields, body string
		want                                     bool
	}{
		{"plain", "GET", "/read/x", "200 OK", "Server-Leaving: 1\r\n", text, true},
		{"plain", "GET", "/read/x", "200 OK", "SERVER-leaving:1\r\n", text, true},
		{"plain", "GET", "/read/x", "200 OK", "Server-Leaving: 1\r\nServer-Leaving: 1\r\n", text, true},
		{"plain", "GET", "/read/x", "200 OK", "Server-Leaving: 0\r\nServer-Leaving: 1\r\n", text, true},
		{"plain", "GET", "/read/x", "200 OK", "Server-Leaving: 1\r\nConnection: Server-Leaving\r\n", text, true},
		{"plain", "GET", "/read/x", "200 OK", "Server-Leaving: 0\r\n", text, false},
		{"plain", "HEAD", "/read/x", "200 OK", "Server-Leaving: 1\r\n", "Content-Length: 2\r\n\r\n", true},
		{"plain", "GET", "/read/x", "404 Not Found", "Server-Leaving: 1\r\n", text, true},
		{"plain", "POST", "/file/x", "500 Internal Server Error", "Server-Leaving: 1\r\n", text, true},
		{"plain", "GET", "/read/x", "500 Internal Server Error", "Server-Leaving: 0\r\n", text, false},
		{"plain", "POST", "/file/x", "503 Service Unavailable", "Server-Leaving: 1\r\n", text, true},
		{"plain", "GET", "/read/x", "421 Misdirected Request", "Server-Leaving: 1\r\n", text, true},
		{"plain", "GET", "/read/x", "200 OK", "Server-Leaving: 1\r\n", "Content-Length: 9\r\n\r\nok", true}, // broken off
		{"model", "POST", "/draft/x", "200 OK", "Server-Leaving: 1\r\n", events, true},                      // resumed elsewhere
		{"model", "POST", "/draft/x", "200 OK", "Server-Leaving: 0\r\n", events, false},
		{"model", "POST", "/draft/x", "500 Internal Server Error", "Server-Leaving: 1\r\n", text, true},
	} {
		runFleet(t, func(w *testFleet) {
			var s *platformstandin.Server // that has answered so
			for _, x := range w.all(c.kind) {
				x.Raw = func(r platformstandin.Run) string {
					if r.ID != "first" || s != nil {
						return ""
					}
					s = x
					return "HTTP/1.1 " + c.status + "\r\nX-Bergamotspring-Request-Id: first\r\n" + c.fields + c.body
				}
			}
			w.request("a1", c.method, c.path, "first")
			before := len(s.Runs())
			for i := range 40 { // for longer than all backoffs
				w.request("a1", c.method, c.path, fmt.Sprint("later", i))
				time.Sleep(250 * time.Millisecond)
			}
			if got := len(s.Runs()) == before; got != c.want {
				t.Errorf("%s %s with %q: got %d more requests, want none: %v", c.method, c.status, c.fields, len(s.Runs())-before, c.want)
			}
		})
	}
}

// Model requests are placed by another node, which did not see the response: it places none at the
// server for this node, and one that it has placed there already is not sent.
func TestModelServerLeavingInResponse(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		w.stream("a2", "/draft/x", "0")
		s := w.used("model")
		runs := len(s.Runs())
		s.Leaving = leaving
		w.streamTogether(t, "a2", 4) // of the later ones some are placed after the first response
		if got := len(w.log.matching(`"send_failed"`, s.ID, "server is leaving")); got == 0 {
			t.Errorf("got no placement at %s after its response", s.ID)
		}
		if got := len(s.Runs()) - runs; got < 1 || got > 2 {
			t.Errorf("got %d runs at %s, want those placed with the first one", got, s.ID)
		}
		runs, unsent := len(s.Runs()), len(w.log.matching(`"send_failed"`, s.ID))
		time.Sleep(6 * time.Second) // longer than all backoffs
		for i := range 4 {
			if r := w.stream("a2", "/draft/x", fmt.Sprint("later", i)); r.status != 200 {
				t.Errorf("got %d, want 200", r.status)
			}
		}
		if got := len(s.Runs()) - runs; got != 0 {
			t.Errorf("got %d more runs at %s, want 0", got, s.ID)
		}
		if got := len(w.log.matching(`"send_failed"`, s.ID)) - unsent; got != 0 {
			t.Errorf("got %d more placements at %s, want 0", got, s.ID)
		}
		if got := len(w.log.matching(`"repeated"`)); got != 0 {
			t.Errorf("got %d retries from the budget, want 0", got)
		}
	})
}

// A stage server that states that it is leaving in its response to a batch gets no more batches. When all do,
// requests are refused at once.
func TestStageServerLeavingInResponse(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		w.stream("a1", "/draft/x", "0")
		s := w.used("encode")
		before := len(s.BatchSizes())
		s.Leaving = leaving
		for i := range 8 {
			if r := w.stream("a1", "/draft/x", fmt.Sprint("later", i)); r.status != 200 {
				t.Errorf("got %d, want 200", r.status)
			}
		}
		if got := len(s.BatchSizes()) - before; got > 1 {
			t.Errorf("got %d batches at the leaving server, want at most 1", got)
		}
		for _, x := range w.all("encode") {
			x.Leaving = leaving
		}
		var r response
		for i := range 3 { // the first two are served by the others
			r = w.stream("a1", "/draft/x", fmt.Sprint("last", i))
		}
		if r.status != 503 || r.header.Get("Retry-After") == "" || r.took > 20*time.Millisecond {
			t.Errorf("got %d %v after %v when all had said so, want a refusal at once", r.status, r.header, r.took)
		}
	})
}

// Requests with a stage whose servers' entries are gone wait for them for as long as entries take to return after an
// outage, and are refused at once from then on. While the store is silent nothing tells whether they return.
func TestStageServersGone(t *testing.T) {
	for _, silent := range []bool{false, true} {
		runFleet(t, func(w *testFleet) {
			for _, s := range w.all("encode") {
				w.store.Remove("servers", s.ID)
			}
			time.Sleep(2 * time.Second) // the nodes have read it
			for _, n := range w.nodes {
				w.store.Refuse(n.node.Settings.IP, silent)
			}
			r := w.stream("a1", "/draft/x", "waiting")
			if r.status != 503 || (r.took > 3*time.Second) != silent {
				t.Errorf("store silent: %v: got %d after %v for a request that waited", silent, r.status, r.took)
			}
			r = w.stream("a1", "/draft/x", "later")
			if r.status != 503 || r.header.Get("Retry-After") == "" || (r.took > 20*time.Millisecond) != silent {
				t.Errorf("store silent: %v: got %d %v after %v", silent, r.status, r.header, r.took)
			}
		})
	}
}

// A server starts again under its id, and its responses state that it is leaving before any node reads its entry, which
// says ready; the store is away meanwhile. Nodes that saw a response send nothing more. A server that starts again after
// the statement gets requests as before.
func TestLeavingBeforeEntryIsRead(t *testing.T) {
	runFleet(t, func(w *testFleet) {
		s := w.servers["plain-a"]
		w.registerProcess(s, "plain", "a", 1000, 1)
		time.Sleep(2 * time.Second)
		for _, x := range w.nodes {
			w.store.Refuse(x.node.Settings.IP, true)
		}
		w.registerProcess(s, "plain", "a", int(time.Now().UnixMilli()), 1)
		time.Sleep(100 * time.Millisecond)
		s.Leaving = leaving
		all := func(what string) {
			for i, node := range []string{"a1", "a2", "b1", "c1"} {
				for j := range 6 {
					w.wantOK(w.request(node, http.MethodGet, "/read/x", fmt.Sprint(what, i, j)), "%s at %s", what, node)
				}
			}
		}
		all("stated")
		stated := len(s.Runs())
		time.Sleep(4 * time.Second)
		for _, x := range w.nodes {
			w.store.Refuse(x.node.Settings.IP, false)
		}
		time.Sleep(2 * time.Second)
		all("after the outage")
		if n := len(s.Runs()); stated == 0 || n != stated {
			t.Errorf("got %d runs, %d of them before the outage ended, want no more", n, stated)
		}
		s.Leaving = nil
		w.registerProcess(s, "plain", "a", int(time.Now().UnixMilli()), 1)
		time.Sleep(2 * time.Second)
		all("started again")
		if n := len(s.Runs()); n == stated {
			t.Error("the server got nothing after it started again")
		}
	})
}
