package placement

// This file defines what a node knows of the results that its granted requests read.

import (
	"maps"
	"sync"
	"time"
)

// ReadTime is how long after its end results of a process may be read: the longest time limit of a request.
const ReadTime = 30 * time.Second

// Readings holds the processes whose results the granted requests of a node may still read. A request that was given up is
// kept until its deadline, as its model server may go on with it. The zero value is ready to use, with a clock that stands
// still. It is safe for concurrent use.
type Readings struct {
	Now func() time.Time

	mu       sync.Mutex
	requests map[grantKey]reading
	present  map[string]presence // by address
}

// grantKey identifies a grant of a request.
type grantKey struct {
	Key
	attempt int
}

type reading struct {
	makers []Maker
	until  time.Time
}

// presence is the newest process that was stated to be at an address.
type presence struct {
	Maker
	since time.Time
}

func (r *Readings) now() time.Time {
	if r.Now == nil {
		return time.Time{}
	}
	return r.Now()
}

// Begin records that a granted request may read results until a time. It returns false, and records nothing, if one of the
// processes that made them has ended: another one may have given out its handles again.
func (r *Readings) Begin(k Key, attempt int, makers []Maker, until time.Time) bool {
	if len(makers) == 0 {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range makers {
		if r.present[m.Address].follows(m) {
			return false
		}
	}
	if r.requests == nil {
		r.requests = map[grantKey]reading{}
	}
	r.requests[grantKey{k, attempt}] = reading{makers, until}
	return true
}

// End records that a request has read its inputs, or never will.
func (r *Readings) End(k Key, attempt int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.requests, grantKey{k, attempt})
}

// ReadFor returns for how long, at most, results of earlier processes may be read in the place of one. From then on, no
// request begins to read these.
func (r *Readings) ReadFor(p Maker) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.expire(now)
	if x, ok := r.present[p.Address]; !ok || p.follows(x.Maker) {
		if r.present == nil {
			r.present = map[string]presence{}
		}
		r.present[p.Address] = presence{p, now}
	}
	var until time.Time
	for _, x := range r.requests {
		for _, m := range x.makers {
			if p.mayFollow(m) && x.until.After(until) {
				until = x.until
			}
		}
	}
	return max(0, until.Sub(now))
}

// expire deletes what cannot matter any more. The lock is held.
func (r *Readings) expire(now time.Time) {
	maps.DeleteFunc(r.requests, func(_ grantKey, x reading) bool { return !now.Before(x.until) })
	maps.DeleteFunc(r.present, func(_ string, x presence) bool { return now.Sub(x.since) > 2*ReadTime })
}
