package limit

import (
	"slices"
	"time"
)

// This file decides which servers temporarily get no work: outliers, by comparing
// their responses with those of the group, and servers that refuse connections.

const (
	ejectMinResponses = 8                // with fewer responses a server is not judged
	ejectErrorShare   = 0.5              // share of errors above which a server is an outlier
	ejectSlowFactor   = 3                // times the group's median
	ejectWindow       = 30 * time.Second // older responses do not count
	ejectMinBackoff   = 5 * time.Second
	ejectMaxBackoff   = 60 * time.Second
	// A crashed server is retried soon, with one call at a time: most servers restart
	// within seconds, and until then the others carry its load.
	downMinBackoff = 250 * time.Millisecond
	downMaxBackoff = 4 * time.Second
)

type response struct {
	at      time.Duration
	service time.Duration
	failed  bool
}

// health holds the recent responses of one server and its backoffs. The zero value is
// a server without responses that takes work.
type health struct {
	ring         [16]response
	n            int
	ejectedUntil time.Duration // end of the ejection
	backoff      time.Duration // duration of the last ejection
	downUntil    time.Duration // no connection is tried until then
	downBackoff  time.Duration
}

func (h *health) record(a response) {
	h.ring[h.n%len(h.ring)] = a
	h.n++
}

func (h *health) ejected(now time.Duration) bool { return now < h.ejectedUntil }

func (h *health) down(now time.Duration) bool { return now < h.downUntil }

// isOutlier reports whether the responses in the window have too many errors or are too
// slow compared with the group's median service time.
func (h *health) isOutlier(now, median time.Duration) bool {
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
	if n < ejectMinResponses {
		return false
	}
	if float64(bad) > ejectErrorShare*float64(n) {
		return true
	}
	slices.Sort(b[:k])
	return k >= ejectMinResponses && median > 0 && b[k/2] > ejectSlowFactor*median
}

// eject starts a backoff, twice as long as the last one if that ended less than
// ejectMaxBackoff ago.
func (h *health) eject(now time.Duration) {
	if h.backoff > 0 && now-h.ejectedUntil < ejectMaxBackoff {
		h.backoff = min(2*h.backoff, ejectMaxBackoff)
	} else {
		h.backoff = ejectMinBackoff
	}
	h.ejectedUntil = now + h.backoff
	h.n = 0
}

// onUnreachable records that the server crashed or refused a connection. All calls that
// fail during one backoff count as one failure.
func (h *health) onUnreachable(now time.Duration) {
	if h.down(now) {
		return
	}
	h.downBackoff = min(max(downMinBackoff, 2*h.downBackoff), downMaxBackoff)
	h.downUntil = now + h.downBackoff
}

func (h *health) onReachable() {
	h.downBackoff, h.downUntil = 0, 0
}

// ejectIfOutlier ejects s if it is an outlier, unless more than a third of the eligible
// servers would then be ejected: when many look bad the cause is rarely the servers, and
// the rest could not carry the load.
func (h *Limiter) ejectIfOutlier(s *server) {
	if s.health.ejected(h.now) || !s.eligible() {
		return
	}
	if !s.health.isOutlier(h.now, h.median()) {
		return
	}
	if h.ejectedCount()+1 > h.eligibleCount()/3 {
		return
	}
	s.health.eject(h.now)
	s.markCold(h.now)
}

// restoreEjected ends ejections until at most a third of the servers are ejected, which
// is needed after the group shrank. Ejections that would end first are ended first.
func (h *Limiter) restoreEjected() {
	for h.ejectedCount() > h.eligibleCount()/3 {
		var b *server
		for _, s := range h.servers {
			if !s.eligible() || !s.health.ejected(h.now) {
				continue
			}
			if b == nil || s.health.ejectedUntil < b.health.ejectedUntil {
				b = s
			}
		}
		b.health.ejectedUntil = h.now
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
