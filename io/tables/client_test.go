package tables

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"bergamotspring/core/store"
	"bergamotspring/io/standin"
)

// serve runs h at an address of n until the returned function is called.
func serve(t *testing.T, n *standin.Network, at string, h http.Handler) (stop func()) {
	t.Helper()
	l, err := n.Listen(at)
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: h}
	go s.Serve(l)
	return func() { s.Close() }
}

// withTable runs f in a synctest bubble against a table at t:80.
func withTable(t *testing.T, f func(*testing.T, *standin.Table, *standin.Network, *Client)) {
	synctest.Test(t, func(t *testing.T) {
		n := &standin.Network{}
		b := &standin.Table{}
		stop := serve(t, n, "t:80", b.Handler())
		defer stop()
		c := &Client{Table: "http://t:80", Dial: n.Dialer("node")}
		defer c.Close()
		f(t, b, n, c)
	})
}

func put(key string) store.Tx {
	return store.Tx{
		Conditions: []store.Condition{{Key: key}},
		Writes:     []store.Write{{Key: key, Value: []byte("x")}},
	}
}

// Guards against an error type that tells callers that a transaction had no effect when it
// may have had one, or the reverse.
func TestTransactErrors(t *testing.T) {
	withTable(t, func(t *testing.T, b *standin.Table, n *standin.Network, c *Client) {
		s, ctx := c.Store(), t.Context()
		if got, err := s.Transact(ctx, put("a")); got != 1 || err != nil {
			t.Fatalf("first write: got %d, %v, want 1", got, err)
		}
		_, err := s.Transact(ctx, put("a"))
		k, ok := errors.AsType[*store.ConflictError](err)
		if !ok || len(k.Keys) != 1 || k.Keys[0] != "a" {
			t.Errorf("second write: got %v, want a conflict for a", err)
		}
		b.Fault = func(standin.TableOperation) standin.TableFault { return standin.TableFault{LoseResponse: true} }
		_, err = s.Transact(ctx, put("b"))
		if _, ok := errors.AsType[*store.UnsentError](err); err == nil || ok {
			t.Errorf("lost response: got %v, want an error of unknown effect", err)
		}
		if got, want := b.Counts().Transactions, int64(2); got != want {
			t.Errorf("transactions: got %d, want %d", got, want)
		}
		n.Refuse = func(string, string) bool { return true }
		_, err = s.Transact(ctx, put("c"))
		if _, ok := errors.AsType[*store.UnsentError](err); !ok {
			t.Errorf("refused connection: got %v, want *store.UnsentError", err)
		}
	})
}

// Guards against net/http resending a transaction when a reused connection breaks: a
// transaction without conditions would take effect twice.
func TestTransactNotResent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &standin.Network{}
		var requests atomic.Int32
		stop := serve(t, n, "t:80", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body)
			if requests.Add(1) > 1 {
				panic(http.ErrAbortHandler)
			}
			io.WriteString(w, `{"sequence":1}`)
		}))
		defer stop()
		c := &Client{Table: "http://t:80", Dial: n.Dialer("node")}
		defer c.Close()
		s := c.Store()
		if _, err := s.Transact(t.Context(), put("a")); err != nil {
			t.Fatal(err)
		}
		if _, err := s.Transact(t.Context(), put("a")); err == nil {
			t.Error("broken connection: got no error")
		}
		if got := requests.Load(); got != 2 {
			t.Errorf("requests at the table: got %d, want 2", got)
		}
	})
}

// Guards against a silent connection that blocks reads or writes forever.
func TestSilentConnection(t *testing.T) {
	withTable(t, func(t *testing.T, _ *standin.Table, n *standin.Network, c *Client) {
		s := c.Store()
		if _, err := s.Transact(t.Context(), put("a")); err != nil {
			t.Fatal(err)
		}
		n.Silence(func(string, string) bool { return true })
		b := time.Now()
		r, err := s.Read(t.Context(), store.Query{Keys: []string{"a"}})
		if err != nil || len(r.Rows) != 1 || r.Rows[0].Version != 1 {
			t.Errorf("read: got %v, %v, want row a", r, err)
		}
		if got, want := time.Since(b), 1500*time.Millisecond; got != want {
			t.Errorf("silent connection found after %v, want %v", got, want)
		}
		n.Silence(func(string, string) bool { return true })
		_, err = s.Transact(t.Context(), put("b"))
		if _, ok := errors.AsType[*SilentError](err); !ok {
			t.Errorf("write: got %v, want *SilentError", err)
		}
		if _, err = s.Transact(t.Context(), put("b")); err != nil {
			t.Errorf("write on a new connection: got %v", err)
		}
	})
}

// Guards against a slow table that counts as down for as long as it is slow.
func TestSlowTable(t *testing.T) {
	withTable(t, func(t *testing.T, b *standin.Table, _ *standin.Network, c *Client) {
		b.Fault = func(standin.TableOperation) standin.TableFault { return standin.TableFault{Delay: 4 * time.Second} }
		s, failed := c.Store(), 0
		for range 5 {
			if _, err := s.Read(t.Context(), store.Query{}); err != nil {
				failed++
			}
		}
		if failed != 2 {
			t.Errorf("failed reads of 5: got %d, want 2", failed)
		}
	})
}

// Guards against an endless response that fills the memory, and against an undefined
// response that counts as success.
func TestBadResponses(t *testing.T) {
	tests := []struct {
		name   string
		status int
		body   string
	}{
		{"oversized", 200, `{"sequence":1,"rows":[],"x":"0123456789012345678901234567890123456789"}`},
		{"no JSON", 200, `{"sequence"`},
		{"redirect", 307, `{"sequence":1}`},
		{"unavailable", 503, `{"sequence":1}`},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &standin.Network{}
				stop := serve(t, n, "t:80", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					w.Header().Set("Location", "/v1/other")
					w.WriteHeader(c.status)
					io.WriteString(w, c.body)
				}))
				defer stop()
				p := &Client{Table: "http://t:80", Dial: n.Dialer("node"), MaxResponseBytes: 40}
				defer p.Close()
				if _, err := p.Store().Read(t.Context(), store.Query{}); err == nil {
					t.Error("read: got no error")
				}
				if _, err := p.Store().Transact(t.Context(), store.Tx{}); err == nil {
					t.Error("transact: got no error")
				}
			})
		})
	}
}

// Guards against the list showing changes before its lag, and against a lost
// bearer token.
func TestVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &standin.Network{}
		l := &standin.VMList{Lag: 30 * time.Second}
		var token atomic.Value
		stop := serve(t, n, "l:80", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			token.Store(r.Header.Get("Authorization"))
			l.Handler().ServeHTTP(w, r)
		}))
		defer stop()
		c := &Client{List: "http://l:80", Dial: n.Dialer("node"), Token: "k"}
		defer c.Close()
		l.Set("a", "live")
		time.Sleep(20 * time.Second)
		l.Set("a", "leaving")
		time.Sleep(15 * time.Second)
		got, err := c.VMs(context.Background())
		if err != nil || len(got) != 1 || got[0] != (VM{Name: "a", State: VMLive}) {
			t.Errorf("list: got %v, %v, want a live", got, err)
		}
		if got := token.Load(); got != "Bearer k" {
			t.Errorf("authorisation: got %q", got)
		}
	})
}
