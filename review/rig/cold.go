package main

// This file defines the case of a plain worker that returns cold.

import (
	"slices"
	"time"
)

const (
	coldTime    = 3 * time.Second // cold-start-s
	coldRate    = 2               // cold-per-s
	coldOverage = 1.5             // cold-overage
	coldSlack   = 5               // cold-slack
)

// cold restarts a plain worker, which is then cold. If it gets more requests in a second than the rule allows, it
// crashes.
func cold(r *rig) int {
	r.configure(7, map[string]any{"cold-start-s": coldTime.Seconds(), "cold-per-s": coldRate})
	var workers []*worker
	for _, z := range []string{"muc-a", "muc-b", "nue-a"} {
		w, err := r.addWorker(z)
		if err != nil {
			return r.fail(err)
		}
		w.work, w.coldTime = 60*time.Millisecond, coldTime
		workers = append(workers, w)
	}
	if err := r.addNodes(); err != nil {
		return r.fail(err)
	}
	stop := make(chan struct{})
	c := &consumers{rig: r, key: apiKey}
	for _, n := range r.nodes {
		c.load(n, "GET", "/read/page", 1, stop)
		c.load(n, "POST", "/log/find", 1, stop)
	}
	time.Sleep(8 * time.Second)
	w := workers[0]
	if r.disrupts {
		w.crash()
		time.Sleep(2 * time.Second)
		w.mu.Lock()
		w.id, w.cold, w.limit = w.id+"-next", true, int(coldRate*coldOverage+coldSlack)
		w.mu.Unlock()
		if err := w.start(); err != nil {
			return r.fail(err)
		}
	}
	time.Sleep(coldTime + time.Second)
	close(stop)
	c.done.Wait()
	most := 0
	if r.disrupts {
		most = w.mostInSecond(w.born, w.born.Add(coldTime))
	}
	if r.disrupts {
		r.note("%d unsafe requests ran on the cold worker and got no answer of it, as it crashed", c.lostWork("/log/find", w, w.born))
	}
	return r.verdict("FAILBACK", most, int(coldRate*coldOverage+coldSlack))
}

// mostInSecond returns the most requests that reached a worker in any second between two moments.
func (w *worker) mostInSecond(from, to time.Time) int {
	l := slices.DeleteFunc(w.since(from), func(x arrival) bool { return x.at.After(to) })
	most := 0
	for i, first := range l {
		n := 0
		for _, x := range l[i:] {
			if x.at.Sub(first.at) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
