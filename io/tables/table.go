package tables

// This file defines the client of the table service.

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strings"

	"bergamotspring/core/store"
)

type condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

type write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

type transaction struct {
	Conditions []condition `json:"conditions"`
	Writes     []write     `json:"writes"`
}

type transactResult struct {
	Sequence uint64 `json:"sequence"`
}

type conflict struct {
	Failed []string `json:"failed"`
}

type query struct {
	Keys     []string `json:"keys,omitempty"`
	Prefixes []string `json:"prefixes,omitempty"`
	Since    uint64   `json:"since,omitempty"`
}

type row struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

type result struct {
	Rows     []row  `json:"rows"`
	Sequence uint64 `json:"sequence"`
}

// Store returns the table service behind the interface of core/store.
func (c *Client) Store() store.Table {
	return store.Table{Transact: c.transact, Read: c.read}
}

// transact sends a transaction at most once. A failure to connect shows that it had no
// effect; after any later failure its effect is unknown.
func (c *Client) transact(ctx context.Context, t store.Tx) (uint64, error) {
	b, err := json.Marshal(transactionOf(t))
	if err != nil {
		return 0, &store.UnsentError{Cause: err}
	}
	a, err := c.exchange(ctx, http.MethodPost, endpoint(c.Table, "/v1/transact"), b)
	if err != nil && !a.sent {
		return 0, &store.UnsentError{Cause: err}
	}
	if err != nil {
		return 0, err
	}
	q, err := transactResponse(a)
	if k, ok := errors.AsType[*store.ConflictError](err); ok && !conditionsOf(t, k.Keys) {
		return 0, c.foreign()
	}
	return q, err
}

// conditionsOf reports whether a transaction has conditions on all keys.
func conditionsOf(t store.Tx, keys []string) bool {
	return !slices.ContainsFunc(keys, func(k string) bool {
		return !slices.ContainsFunc(t.Conditions, func(c store.Condition) bool { return c.Key == k })
	})
}

// errForeign reports a response that names keys for which it was not asked.
var errForeign = errors.New("tables: response to another request")

// foreign closes the idle connections, since the response that was asked for may still come on one, and
// returns errForeign.
func (c *Client) foreign() error {
	c.client().CloseIdleConnections()
	return errForeign
}

func transactResponse(a response) (uint64, error) {
	if a.status == http.StatusConflict {
		var f conflict
		if err := json.Unmarshal(a.body, &f); err != nil {
			return 0, err
		}
		return 0, &store.ConflictError{Keys: f.Failed}
	}
	if a.status != http.StatusOK {
		return 0, statusError(a)
	}
	var s transactResult
	if err := json.Unmarshal(a.body, &s); err != nil {
		return 0, err
	}
	return s.Sequence, nil
}

// read sends a query. If a reused connection failed, it retries once, as a rule on a new
// connection, since exchange closes the idle ones after an error.
func (c *Client) read(ctx context.Context, q store.Query) (store.Result, error) {
	b, err := json.Marshal(query(q))
	if err != nil {
		return store.Result{}, err
	}
	u := endpoint(c.Table, "/v1/read")
	a, err := c.exchange(ctx, http.MethodPost, u, b)
	if err != nil && a.reused && ctx.Err() == nil {
		a, err = c.exchange(ctx, http.MethodPost, u, b)
	}
	if err != nil {
		return store.Result{}, err
	}
	if a.status != http.StatusOK {
		return store.Result{}, statusError(a)
	}
	var s result
	if err := json.Unmarshal(a.body, &s); err != nil {
		return store.Result{}, err
	}
	if slices.ContainsFunc(s.Rows, func(r row) bool { return !asksFor(q, r.Key) }) {
		return store.Result{}, c.foreign()
	}
	return resultOf(s), nil
}

// asksFor reports whether a query selects a key.
func asksFor(q store.Query, key string) bool {
	return slices.Contains(q.Keys, key) || slices.ContainsFunc(q.Prefixes, func(p string) bool { return strings.HasPrefix(key, p) })
}

func transactionOf(t store.Tx) transaction {
	x := transaction{Conditions: make([]condition, len(t.Conditions)), Writes: make([]write, len(t.Writes))}
	for i, c := range t.Conditions {
		x.Conditions[i] = condition(c)
	}
	for i, w := range t.Writes {
		x.Writes[i] = write(w)
	}
	return x
}

func resultOf(s result) store.Result {
	r := store.Result{Sequence: s.Sequence, Rows: make([]store.Row, len(s.Rows))}
	for i, x := range s.Rows {
		r.Rows[i] = store.Row{Key: x.Key, Version: x.Version, Value: x.Value}
	}
	return r
}

func endpoint(base, path string) string { return strings.TrimSuffix(base, "/") + path }
