package main

// This file defines the case of a request that crashes workers, after the loss of all nodes.

import (
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// crashesKnown is how many crashes by one request the rule allows before nodes have to refuse it, and
	// retriesAllowed how many retries of it may still reach workers after that.
	crashesKnown   = 3
	retriesAllowed = 3
	// atOnce is how many requests come at once: those of two consumers that each repeat three more times.
	atOnce = 8
)

// rounds is when the consumers come, from the first time on: the later ones are beyond contact-ms after the first.
var rounds = []time.Duration{0, 4300 * time.Millisecond, 5300 * time.Millisecond}

var errFewCrashes = errors.New("the request did not crash enough workers")

// crashTime returns when the request of a consumer crashed a worker for the nth time, zero if it did not.
func crashTime(c *consumers, workers []*worker, n int) time.Time {
	var l []time.Time
	for _, w := range workers {
		for _, x := range w.since(time.Time{}) {
			if c.nodeOf(x.id) != nil {
				l = append(l, x.at)
			}
		}
	}
	if len(l) < n {
		return time.Time{}
	}
	slices.SortFunc(l, time.Time.Compare)
	return l[n-1]
}

// deadlyAtOnce sends a deadly request from two consumers that repeat it at once.
func deadlyAtOnce(r *rig) int { return deadly(r, deadlyBody, r.disrupts) }

// deadlyLate sends requests one after the other that crash workers in the middle of long answers.
func deadlyLate(r *rig) int { return deadly(r, lateDeadlyBody, false) }

// deadly sends a request that crashes workers some times, all together or one after the other, and again some seconds
// later.
func deadly(r *rig, body string, together bool) int {
	r.configure(7, nil)
	var workers []*worker
	for range 2 {
		for z := range regions {
			w, err := r.addWorker(z)
			if err != nil {
				return r.fail(err)
			}
			w.work = 100 * time.Millisecond
			workers = append(workers, w)
		}
	}
	if err := r.addNodes(); err != nil {
		return r.fail(err)
	}
	h := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	c := &consumers{rig: r, key: apiKey}
	others, stop := &consumers{rig: r, key: apiKey}, make(chan struct{})
	others.next.Store(1 << 32) // ids of its own
	for _, n := range r.nodes {
		others.load(n, http.MethodPost, "/log/find", 2, stop)
	}
	time.Sleep(2 * time.Second)
	start := time.Now()
	for _, at := range rounds {
		time.Sleep(time.Until(start.Add(at)))
		var w sync.WaitGroup
		for i := range atOnce {
			if !together {
				c.send(h, r.nodes[i], http.MethodPost, "/read/page", body)
				time.Sleep(restartTime / 2)
				continue
			}
			w.Go(func() { c.send(h, r.nodes[i], http.MethodPost, "/read/page", body) })
		}
		w.Wait()
	}
	time.Sleep(time.Second)
	close(stop)
	others.done.Wait()
	third := crashTime(c, workers, crashesKnown)
	if third.IsZero() {
		return r.fail(errFewCrashes)
	}
	reached, lost := map[string]bool{}, 0
	for _, w := range workers {
		for _, x := range w.since(third.Add(contactTime)) {
			if c.nodeOf(x.id) != nil {
				reached[x.id] = true
			}
		}
		lost += others.lostWork("/log/find", w, third.Add(contactTime))
	}
	r.note("%d unsafe requests of others ran meanwhile and got no answer of their worker", lost)
	return r.verdict("BUDGET", len(reached), retriesAllowed)
}
