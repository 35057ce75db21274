package limit

import (
	"slices"
	"time"
)

// This file decides which servers get no work for a while: outliers, by their
// answers against those of the group, and servers that do not take connections.

const (
	ejectAnswers = 8                // fewer answers say too little about a server
	ejectErrors  = 0.5              // share of errors above which a server is an outlier
	ejectSlow    = 3                // times the group's median
	ejectWindow  = 30 * time.Second // older answers do not count
	ejectFirst   = 5 * time.Second
	ejectLast    = 60 * time.Second
	// A crashed server is tried again soon, by one call at a time: most restart
	// within seconds, and the load it leaves behind weighs on the others.
	downFirst = 250 * time.Millisecond
	downLast  = 4 * time.Second
)

type answer struct {
	at      time.Duration
	service time.Duration
	failed  bool
}

// health is what a home knows of the late answers of one server. The zero value
// knows nothing and takes work.
type health struct {
	ring      [16]answer
	n         int
	outUntil  time.Duration // ejected until
	backoff   time.Duration // of the last ejection
	downUntil time.Duration // not connected to until
	downFor   time.Duration
}

func (h *health) record(a answer) {
	h.ring[h.n%len(h.ring)] = a
	h.n++
}

func (h *health) ejected(now time.Duration) bool { return now < h.outUntil }

func (h *health) down(now time.Duration) bool { return now < h.downUntil }

// outlier judges the answers of the window against the group's median service time.
func (h *health) outlier(now, median time.Duration) bool {
	var b [16]time.Duration
	n, bad, k := 0, 0, 0
	for _, a := range h.ring[:min(h.n, len(h.ring))] {
		if now-a.at > ejectWindow {
			continue
		}
		n++
		if a.failed {
			bad++
			continue
		}
		b[k] = a.service
		k++
	}
	if n < ejectAnswers {
		return false
	}
	if float64(bad) > ejectErrors*float64(n) {
		return true
	}
	slices.Sort(b[:k])
	return k >= ejectAnswers && median > 0 && b[k/2] > ejectSlow*median
}

// eject starts a backoff, twice the last one if the server was back for less than
// ejectLast.
func (h *health) eject(now time.Duration) {
	if h.backoff > 0 && now-h.outUntil < ejectLast {
		h.backoff = min(2*h.backoff, ejectLast)
	} else {
		h.backoff = ejectFirst
	}
	h.outUntil = now + h.backoff
	h.n = 0
}

// fail notes that the server crashed or refused a connection. All calls of one
// fault count as one failure.
func (h *health) fail(now time.Duration) {
	if h.down(now) {
		return
	}
	h.downFor = min(max(downFirst, 2*h.downFor), downLast)
	h.downUntil = now + h.downFor
}

func (h *health) reached() {
	h.downFor, h.downUntil = 0, 0
}

// judge ejects s if it is an outlier and the group can spare it: never more than a
// third of the servers that may take work, because when many look bad the cause is
// rarely the servers, and the rest could not carry the load.
func (h *Limiter) judge(s *server) {
	if s.health.ejected(h.now) || !s.eligible() {
		return
	}
	if !s.health.outlier(h.now, h.median()) {
		return
	}
	if h.ejectedCount()+1 > h.eligibleCount()/3 {
		return
	}
	s.health.eject(h.now)
	s.sawCold(h.now)
}

// restoreEjected lets servers back until the bound holds, after the group shrank.
// Those whose backoff ends first come back first.
func (h *Limiter) restoreEjected() {
	for h.ejectedCount() > h.eligibleCount()/3 {
		var b *server
		for _, s := range h.servers {
			if !s.eligible() || !s.health.ejected(h.now) {
				continue
			}
			if b == nil || s.health.outUntil < b.health.outUntil {
				b = s
			}
		}
		b.health.outUntil = h.now
	}
}

func (h *Limiter) ejectedCount() int {
	n := 0
	for _, s := range h.servers {
		if s.eligible() && s.health.ejected(h.now) {
			n++
		}
	}
	return n
}

func (h *Limiter) eligibleCount() int {
	n := 0
	for _, s := range h.servers {
		if s.eligible() {
			n++
		}
	}
	return n
}
