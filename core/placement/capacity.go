package placement

// This file defines the capacity for results at a server: what this scheduler has reserved,
// what others store there, and how results are released.

import (
	"slices"
	"strings"
	"time"

	"bergamotspring/core/relay"
)

const (
	// releaseRetryDelay is the delay after a server did not confirm a release.
	releaseRetryDelay = 200 * time.Millisecond
	// maxReleaseHandles bounds the handles of one ReleaseResults.
	maxReleaseHandles = 200
)

// capacity returns the bytes that new results may take at a server.
func (m *stageServer) capacity(w *relay.BatchSpec, now time.Time) int64 {
	n := w.CapacityBytes - m.reserved
	if now.Before(m.untrackedUntil) {
		n -= m.untrackedBytes
	}
	if now.Before(m.expectedUntil) {
		n -= m.expectedBytes
	}
	return n
}

// queueRelease queues a result for release. Its bytes stay reserved until the server confirms
// or the TTL has passed. Nothing is queued for a server whose process has ended.
func (m *stageServer) queueRelease(handle string, bytes int64, now time.Time) {
	if !m.lost {
		m.releasable = append(m.releasable, unusedResult{handle: handle, bytes: bytes, since: now})
	}
}

// addStored reserves the bytes of a result that was stored for another scheduler and now
// belongs to this one.
func (m *stageServer) addStored(bytes int64, now time.Time) {
	m.reserved += bytes
	if now.Before(m.untrackedUntil) {
		m.untrackedBytes = max(0, m.untrackedBytes-bytes)
	}
	m.expectedBytes = max(0, m.expectedBytes-bytes)
}

// releaseResults adds the queued releases to the work, one message to a server at a time.
func (h *Scheduler) releaseResults() {
	now := h.Now()
	for _, q := range h.sortedPools() {
		for _, m := range q.releasing(now) {
			n := min(len(m.releasable), maxReleaseHandles)
			f := &pendingRelease{stageServer: m, results: slices.Clone(m.releasable[:n])}
			m.releasable = m.releasable[n:]
			m.releasing = true
			h.lastNumber++
			h.releases[h.lastNumber] = f
			h.work.Releases = append(h.work.Releases, ReleaseResults{Number: h.lastNumber, Server: *m.server, Handles: f.handles()})
		}
	}
}

// releasing returns the registered servers, sorted by ID, to which results can be released now.
func (q *stagePool) releasing(now time.Time) []*stageServer {
	var l []*stageServer
	for _, m := range q.stageServers {
		if !m.releasing && !m.unregistered && len(m.releasable) > 0 && !now.Before(m.releaseAfter) && !now.Before(m.heldUntil) {
			l = append(l, m)
		}
	}
	slices.SortFunc(l, func(a, b *stageServer) int { return strings.Compare(a.server.ID, b.server.ID) })
	return l
}

func (f *pendingRelease) handles() []string {
	l := make([]string, 0, len(f.results))
	for _, r := range f.results {
		l = append(l, r.handle)
	}
	return l
}

// expireResults drops unused results that their servers have deleted after the TTL.
func (q *stagePool) expireResults(w *relay.BatchSpec, now time.Time) {
	for _, m := range q.stageServers {
		for len(m.releasable) > 0 && w.TTL > 0 && now.Sub(m.releasable[0].since) > w.TTL {
			m.reserved -= m.releasable[0].bytes
			m.releasable = m.releasable[1:]
		}
	}
}

// OnRelease handles the end of a ReleaseResults.
func (h *Scheduler) OnRelease(number uint64, status MessageStatus) {
	h.init()
	f := h.releases[number]
	if f == nil {
		return
	}
	delete(h.releases, number)
	m := f.stageServer
	m.releasing = false
	switch {
	case m.lost:
	case status == MessageDone:
		for _, r := range f.results {
			m.reserved -= r.bytes
		}
	case status == MessageRefused:
		h.onProcessEnded(m)
	default:
		m.releasable = append(f.results, m.releasable...)
		m.releaseAfter = h.Now().Add(releaseRetryDelay)
	}
	h.dispatch()
}

// onProcessEnded backs off from a server whose process has ended, and replaces its state.
func (h *Scheduler) onProcessEnded(m *stageServer) {
	for _, q := range h.sortedPools() {
		if q.stageServers[m.server.ID] == m {
			h.backOff(m)
			h.replaceStageServer(q, m, m.server)
		}
	}
}

// queryCapacity adds a CapacityQuery to the work unless one is in flight. It also shows
// whether the server's process runs.
func (h *Scheduler) queryCapacity(m *stageServer) {
	if m.querying {
		return
	}
	m.querying = true
	h.lastNumber++
	h.queries[h.lastNumber] = m
	h.work.Queries = append(h.work.Queries, CapacityQuery{Number: h.lastNumber, Server: *m.server})
}

// OnCapacity handles the response to a CapacityQuery with the bytes that are free. Only the first
// response of a server counts: servers report their free capacity late, so a later one misses what
// was released or stored a moment ago.
func (h *Scheduler) OnCapacity(number uint64, status MessageStatus, free int64) {
	h.init()
	m := h.queries[number]
	if m == nil {
		return
	}
	delete(h.queries, number)
	m.querying = false
	s := h.View().Config.Services[m.server.Service]
	if status == MessageDone && !m.queried && s != nil && s.Batching != nil {
		m.untrackedBytes = max(0, s.Batching.CapacityBytes-free-m.reserved)
		m.untrackedUntil = h.Now().Add(s.Batching.TTL)
	}
	m.queried = m.queried || status == MessageDone
	if status == MessageRefused && !m.lost {
		h.onProcessEnded(m)
	}
	h.dispatch()
}
