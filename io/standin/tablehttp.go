package standin

// This file serves the table stand-in over HTTP, with the JSON of the table protocol.

import (
	"encoding/json"
	"errors"
	"net/http"

	"bergamotspring/core/store"
)

// maxTableRequestBytes limits the body of a request of the table protocol.
const maxTableRequestBytes = 32 << 20

type tableCondition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

type tableWrite struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

type tableTransact struct {
	Conditions []tableCondition `json:"conditions"`
	Writes     []tableWrite     `json:"writes"`
}

type tableQuery struct {
	Keys     []string `json:"keys"`
	Prefixes []string `json:"prefixes"`
	Since    uint64   `json:"since"`
}

type tableRead struct {
	Rows     []tableReadRow `json:"rows"`
	Sequence uint64         `json:"sequence"`
}

type tableReadRow struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
}

// Handler serves POST /v1/transact and POST /v1/read. A fault that closes the
// connection aborts the handler.
func (t *Table) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/transact", t.serveTransact)
	m.HandleFunc("POST /v1/read", t.serveRead)
	return m
}

func (t *Table) serveTransact(w http.ResponseWriter, r *http.Request) {
	var b tableTransact
	if !decodeBody(w, r, &b) {
		return
	}
	var x store.Tx
	for _, c := range b.Conditions {
		x.Conditions = append(x.Conditions, store.Condition(c))
	}
	for _, c := range b.Writes {
		x.Writes = append(x.Writes, store.Write(c))
	}
	n, err := t.transactWithFault(r.Context(), r.RemoteAddr, x)
	if c, ok := errors.AsType[*store.ConflictError](err); ok {
		writeJSON(w, http.StatusConflict, map[string]any{"failed": c.Keys})
		return
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, map[string]any{"sequence": n})
}

func (t *Table) serveRead(w http.ResponseWriter, r *http.Request) {
	var b tableQuery
	if !decodeBody(w, r, &b) {
		return
	}
	s, err := t.readWithFault(r.Context(), r.RemoteAddr, store.Query(b))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	a := tableRead{Sequence: s.Sequence, Rows: []tableReadRow{}}
	for _, x := range s.Rows {
		a.Rows = append(a.Rows, tableReadRow{Key: x.Key, Version: x.Version, Value: x.Value})
	}
	writeJSON(w, http.StatusOK, a)
}

func decodeBody(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxTableRequestBytes)).Decode(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the connection broke; the client sees it
}
