package main

// This file defines the case of a configuration whose last tenant is removed.

import (
	"net/http"
	"time"
)

// applyTime is config-apply-ms.
const applyTime = 2500 * time.Millisecond

// tenants removes the only tenant, and then sends requests with its key and with one that nobody ever had.
func tenants(r *rig) int {
	r.configure(7, nil)
	var workers []*worker
	for z := range regions {
		w, err := r.addWorker(z)
		if err != nil {
			return r.fail(err)
		}
		workers = append(workers, w)
	}
	if err := r.addNodes(); err != nil {
		return r.fail(err)
	}
	h := &http.Client{Timeout: 3 * time.Second}
	holder, stranger := &consumers{rig: r, key: apiKey}, &consumers{rig: r, key: "nobody0s0key000000x"}
	stranger.next.Store(1 << 32) // ids of its own
	for _, n := range r.nodes {
		holder.send(h, n, http.MethodPost, "/log/find", "")
		stranger.send(h, n, http.MethodPost, "/log/find", "")
	}
	if r.disrupts {
		r.tenants = []any{}
	}
	r.configure(9, nil)
	time.Sleep(applyTime + time.Second)
	sentAt := time.Now()
	for _, n := range r.nodes {
		if r.disrupts {
			holder.send(h, n, http.MethodPost, "/log/find", "")
		}
		stranger.send(h, n, http.MethodPost, "/log/find", "")
	}
	dropped, unknown := 0, 0
	for _, w := range workers {
		for _, x := range w.since(sentAt) {
			switch {
			case stranger.nodeOf(x.id) != nil:
				unknown++
			case holder.nodeOf(x.id) != nil:
				dropped++
			}
		}
	}
	r.note("%d requests ran with the key that was dropped", dropped)
	return r.verdict("ROUTE", unknown, 0)
}
