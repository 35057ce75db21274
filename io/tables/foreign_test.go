package tables

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"bergamotspring/core/store"
	"bergamotspring/io/standin"
)

// withRepeatingTable runs f with a table with rows a/1 and b/1, whose service sends each response once
// more while the repeater is on.
func withRepeatingTable(t *testing.T, f func(t *testing.T, s store.Table, r *standin.Repeater)) {
	synctest.Test(t, func(t *testing.T) {
		n, r := &standin.Network{}, &standin.Repeater{}
		l, err := n.Listen("t:80")
		if err != nil {
			t.Fatal(err)
		}
		h := &http.Server{Handler: (&standin.Table{}).Handler()}
		go func() { _ = h.Serve(r.Wrap(l)) }() // until Close
		c := &Client{Table: "http://t:80", Dial: n.Dialer("node")}
		for _, k := range []string{"a/1", "b/1"} {
			if _, err := c.Store().Transact(t.Context(), put(k)); err != nil {
				t.Fatal(err)
			}
		}
		f(t, c.Store(), r)
		c.Close()
		_ = h.Close()
		n.Close()
	})
}

// The service sends the rows of one query once more when another arrives: they are not taken for that
// one's.
func TestForeignRows(t *testing.T) {
	withRepeatingTable(t, func(t *testing.T, s store.Table, r *standin.Repeater) {
		r.On.Store(true)
		failed := 0
		for i := range 10 {
			k := []string{"a/1", "b/1"}[i%2]
			q := store.Query{Keys: []string{k}}
			if i%4 > 1 {
				q = store.Query{Prefixes: []string{k[:2]}}
			}
			got, err := s.Read(t.Context(), q)
			if err == nil && (len(got.Rows) != 1 || got.Rows[0].Key != k) {
				t.Errorf("query %d for %s: got %+v", i, k, got.Rows)
			}
			if err != nil {
				failed++
			}
			synctest.Wait() // until net/http has seen which connections are closed
		}
		if failed > 5 {
			t.Errorf("%d of 10 queries failed, want every other one at most", failed)
		}
	})
}

// The service reports one transaction's conflict once more as another is sent, which takes effect: that one
// does not count as without effect.
func TestForeignConflict(t *testing.T) {
	withRepeatingTable(t, func(t *testing.T, s store.Table, r *standin.Repeater) {
		r.On.Store(true)
		if _, err := s.Transact(t.Context(), put("a/1")); err == nil {
			t.Fatal("no conflict")
		}
		_, err := s.Transact(t.Context(), put("c/1"))
		if _, ok := errors.AsType[*store.ConflictError](err); ok {
			t.Errorf("got %v for a transaction that took effect", err)
		}
	})
}

// A call that was cancelled leaves its response to no other call.
func TestCancelledCall(t *testing.T) {
	withTable(t, func(t *testing.T, b *standin.Table, n *standin.Network, c *Client) {
		s := c.Store()
		for _, k := range []string{"a", "b"} {
			if _, err := s.Transact(t.Context(), put(k)); err != nil {
				t.Fatal(err)
			}
		}
		b.Fault = func(o standin.TableOperation) standin.TableFault {
			if slices.Contains(o.Keys, "a") {
				return standin.TableFault{Delay: 100 * time.Millisecond}
			}
			return standin.TableFault{}
		}
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		if _, err := s.Read(ctx, store.Query{Keys: []string{"a"}}); err == nil {
			t.Error("the call was not cancelled")
		}
		for range 2 {
			got, err := s.Read(t.Context(), store.Query{Keys: []string{"b"}})
			if err != nil || len(got.Rows) != 1 || got.Rows[0].Key != "b" {
				t.Errorf("got %+v, %v, want row b", got, err)
			}
			time.Sleep(200 * time.Millisecond)
		}
		if got := n.Dials("t:80"); got != 2 {
			t.Errorf("got %d connections, want a new one after the cancelled call", got)
		}
	})
}
