package main

// This file defines the case of a worker that restarted in place and is leaving.

import (
	"net/http"
	"time"
)

const (
	drainTime  = 2500 * time.Millisecond // drain-ms
	outageTime = 4500 * time.Millisecond
)

// leaving restarts a worker under its id, lets it leave at once, and takes the store away before its entry is read.
func leaving(r *rig) int {
	r.configure(7, nil)
	var workers []*worker
	for _, z := range []string{"muc-a", "muc-b", "nue-a"} {
		w, err := r.addWorker(z)
		if err != nil {
			return r.fail(err)
		}
		workers = append(workers, w)
	}
	if err := r.addNodes(); err != nil {
		return r.fail(err)
	}
	stop := make(chan struct{})
	c := &consumers{rig: r, key: apiKey}
	for _, n := range r.nodes {
		c.load(n, http.MethodPost, "/log/find", 6, stop)
	}
	time.Sleep(3 * time.Second)
	w := workers[0]
	r.awaitPoll()
	if r.disrupts {
		w.crash()
		time.Sleep(50 * time.Millisecond)
		if err := w.start(); err != nil {
			return r.fail(err)
		}
	}
	w.leaving.Store(true)
	time.Sleep(50 * time.Millisecond)
	if r.disrupts {
		w.offline.Store(true)
		r.store.Refuse("127.0.0.1", true)
		r.note("the store refuses all calls")
	} else {
		w.draining.Store(true)
		w.register()
	}
	said := time.Now()
	time.Sleep(outageTime)
	r.store.Refuse("127.0.0.1", false)
	time.Sleep(heartbeat)
	w.draining.Store(true)
	w.offline.Store(false)
	w.register()
	time.Sleep(2 * time.Second)
	close(stop)
	c.done.Wait()
	return r.verdict("DRAIN", len(w.since(said.Add(drainTime+100*time.Millisecond))), 0)
}
