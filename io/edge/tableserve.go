package edge

// This file defines how a node serves its tables to the nodes that follow it.

import (
	"time"

	"bergamotspring/io/peer"
)

const (
	// newerBy is how much later the store must have confirmed this node's tables than those of
	// a node that queries them to count as news.
	newerBy = 50 * time.Millisecond
	// maxHold bounds how long a query is held.
	maxHold = 5 * time.Second
)

// heldQuery is a query that waits for news.
type heldQuery struct {
	query   peer.TablesQuery
	respond func(peer.Tables)
	timer   *time.Timer
}

// serve responds to a query of another node, at once or when there is news.
func (f *tableFollower) serve(q peer.TablesQuery, respond func(peer.Tables)) {
	if q.Wait <= 0 || f.isNews(q) {
		respond(f.response(q))
		return
	}
	h := &heldQuery{query: q, respond: respond}
	f.mu.Lock()
	if f.held == nil {
		f.held = map[*heldQuery]bool{}
	}
	f.held[h] = true
	h.timer = time.AfterFunc(min(q.Wait, maxHold), func() { f.release(h) })
	f.mu.Unlock()
	if f.isNews(q) { // since the check above
		f.release(h)
	}
}

// release responds to a held query, once.
func (f *tableFollower) release(h *heldQuery) {
	f.mu.Lock()
	ok := f.held[h]
	delete(f.held, h)
	f.mu.Unlock()
	if ok {
		h.timer.Stop()
		h.respond(f.response(h.query))
	}
}

// notify responds to the held queries for which there is news.
func (f *tableFollower) notify() {
	f.mu.Lock()
	var l []*heldQuery
	for h := range f.held {
		l = append(l, h)
	}
	f.mu.Unlock()
	for _, h := range l {
		if f.isNews(h.query) {
			f.release(h)
		}
	}
}

// isNews reports whether this node's tables are newer than those of a query, or were confirmed
// later. To a node that knows a newer era, nothing is news until this one knows it too.
func (f *tableFollower) isNews(q peer.TablesQuery) bool {
	changed := false
	for _, v := range q.Have {
		w := f.tables.find(v.Table)
		if w == nil {
			continue
		}
		if w.version().Era < v.Era {
			return false
		}
		changed = changed || w.changedAfter(v.Era, v.Version)
	}
	if changed {
		return true
	}
	known, own := f.tables.confirmedAt(q.Have), f.tables.confirmedAt(f.tables.versions())
	return own.After(known.Add(newerBy))
}

// response returns the tables that a query requests.
func (f *tableFollower) response(q peer.TablesQuery) peer.Tables {
	f.mu.Lock()
	t := peer.Tables{Reader: f.reader}
	t.Failures = f.outages.Failures(time.Now())
	if time.Since(f.regainedAt) < regainedTime {
		t.RegainedAt = f.regainedAt
	}
	f.mu.Unlock()
	for _, v := range q.Have {
		w := f.tables.find(v.Table)
		if w == nil {
			continue
		}
		if q.Changes {
			t.Tables = append(t.Tables, w.after(v.Era, v.Version))
		} else if own := w.version(); own.Era > v.Era || own.Era == v.Era && own.Version > v.Version {
			t.Tables = append(t.Tables, w.after(own.Era, 0)) // of a node that takes whole tables only
		}
	}
	return t
}
