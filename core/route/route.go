// Package route decides to which group of a pool a call goes, and how many bytes
// may cross a link between regions.
//
// A node chooses the group; the home of the group chooses the server. See
// docs/decisions/004-routing-by-group.md.
package route

import (
	"math/rand/v2"
	"sync"
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/core/limit"
)

const (
	// waitHalf is the age at which an announced wait counts half: queues of
	// stages that take tens of milliseconds change within a second or two.
	waitHalf = 2 * time.Second
	// unusableFor is how long a group that said that it takes no work goes last.
	unusableFor = 2 * time.Second
	// spillFrom is the part of the budget from which on calls begin to leave a
	// nearer tier. Between it and the whole budget the share that leaves grows, or
	// all nodes of a domain would leave and come back together.
	spillFrom = 0.75
	// smoothing is the share of a new announcement in the wait that counts.
	smoothing = 0.5
	// wantFrom is the part of the budget from which on bytes of links are asked for,
	// so that they are there when calls leave the region.
	wantFrom = 0.25
	// sameNews is the difference in time within which two announcements are one that
	// is told twice; taking it twice would undo the smoothing.
	sameNews = 5 * time.Millisecond
	// Other regions get nothing from a node that has not confirmed its
	// configuration for so long: a domain there may have been taken out.
	confirmWithin = time.Minute
	// maxGroups bounds the groups that Order ranks, so that it needs no allocation.
	maxGroups = 32
)

// hop is the round trip to each tier before any was measured.
var hop = [3]time.Duration{200 * time.Microsecond, time.Millisecond, 24 * time.Millisecond}

// Router ranks the groups of each pool for one node. Set the fields before use; the
// zero value ranks nothing until Configure. It is safe for concurrent use. Its lock
// is a leaf: the function fields are called before it is taken.
type Router struct {
	Domain string // failure domain of the node
	Region string
	Now    func() time.Time // nil: the clock stands still
	// Unconfirmed returns for how long the node has not confirmed its
	// configuration. nil: it is confirmed.
	Unconfirmed func() time.Duration
	// LinkBytes returns the bytes that the node may send to a region now. nil:
	// nothing goes to other regions.
	LinkBytes func(region string) int64
	// RequestLinkBytes asks for bytes to a region that calls may soon need. nil: not asked.
	RequestLinkBytes func(region string, bytes int64)
	// Seed makes the choices of nodes differ.
	Seed uint64

	mu      sync.Mutex
	random  rand.PCG
	seeded  bool
	pools   map[string][]*group
	groups  map[fleet.GroupID]*group
	regions []string // other regions with groups
}

// group is what the node knows of one group.
type group struct {
	id       fleet.GroupID
	tier     int // 0 same domain, 1 same region, 2 other region
	region   int // index in Router.regions, -1: own
	out      bool
	expect   time.Duration // declared service time
	wait     time.Duration // smoothed announced wait
	call     time.Duration // wait that one more call adds
	typical  time.Duration
	free     int
	slots    int
	at       time.Time // of the announcement, zero: none
	unusable time.Time // until then
	hop      time.Duration
	own      int // calls of this node in flight
	ownAt    int // own at the announcement
}

// Request is a call to be routed.
type Request struct {
	Pool      string
	Remaining time.Duration // budget of the stage
	Bytes     int64         // of the call, for links between regions
}

// Configure puts a view in force. Groups that stay keep what is known of them.
func (r *Router) Configure(v *fleet.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.groups
	r.groups = map[fleet.GroupID]*group{}
	r.pools = map[string][]*group{}
	r.regions = nil
	for p, l := range v.ByPool {
		for _, d := range l {
			g := old[d.ID]
			if g == nil {
				g = &group{id: d.ID}
			}
			g.out = groupOut(v, d)
			g.expect = d.Pool.Expect
			g.tier, g.region = r.place(d)
			r.groups[d.ID] = g
			r.pools[p] = append(r.pools[p], g)
		}
	}
}

func groupOut(v *fleet.View, d *fleet.Group) bool {
	for _, s := range d.Servers {
		if !v.ServerOut(s) {
			return false
		}
	}
	return true
}

func (r *Router) place(d *fleet.Group) (tier, region int) {
	if d.ID.Domain == r.Domain {
		return 0, -1
	}
	if d.Region == r.Region {
		return 1, -1
	}
	for i, n := range r.regions {
		if n == d.Region {
			return 2, i
		}
	}
	r.regions = append(r.regions, d.Region)
	return 2, len(r.regions) - 1
}

// Update takes over what a home announced, age ago. News that is not newer changes
// nothing.
func (r *Router) Update(id fleet.GroupID, s limit.Summary, age time.Duration) {
	n := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.groups[id]
	if g == nil || !g.at.IsZero() && n.Add(-age).Sub(g.at) < sameNews {
		return
	}
	old := g.agedWait(n)
	g.wait = s.Wait
	if !g.at.IsZero() {
		g.wait = old + time.Duration(smoothing*float64(s.Wait-old))
	}
	g.typical, g.free, g.slots = s.MedianService, s.Free, s.Slots
	g.call = s.MedianService / time.Duration(max(1, s.Slots))
	g.at, g.ownAt = n.Add(-age), g.own
	g.unusable = time.Time{}
	if !s.Usable {
		g.unusable = g.at.Add(unusableFor)
	}
}

// Refused takes over a home's refusal.
func (r *Router) Refused(e *limit.RefusedError) {
	n := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.groups[e.Group]
	if g == nil {
		return
	}
	switch e.Reason {
	case limit.RefusedNoServer, limit.RefusedMoved, limit.RefusedNotHome:
		g.unusable = n.Add(unusableFor)
	case limit.RefusedDeadline, limit.RefusedFull:
		g.wait, g.at, g.ownAt, g.free = max(e.Wait, g.agedWait(n)), n, g.own, 0
	case limit.RefusedPoison, limit.RefusedBudget:
	}
}

// Sent counts a call of this node to a group until Ended.
func (r *Router) Sent(id fleet.GroupID) { r.count(id, 1) }

// Ended ends what Sent counted.
func (r *Router) Ended(id fleet.GroupID) { r.count(id, -1) }

func (r *Router) count(id fleet.GroupID, d int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if g := r.groups[id]; g != nil {
		g.own = max(0, g.own+d)
	}
}

// RoundTrip takes over a measured round trip to the home of a group.
func (r *Router) RoundTrip(id fleet.GroupID, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if g := r.groups[id]; g != nil {
		g.hop = g.trip() + (d-g.trip())/8
	}
}

func (r *Router) now() time.Time {
	if r.Now == nil {
		return time.Time{}
	}
	return r.Now()
}

func (g *group) trip() time.Duration {
	if g.hop > 0 {
		return g.hop
	}
	return hop[g.tier]
}

// agedWait is the announced wait, discounted by its age.
func (g *group) agedWait(now time.Time) time.Duration {
	if g.wait == 0 {
		return 0
	}
	a := float64(now.Sub(g.at)) / float64(waitHalf)
	return time.Duration(float64(g.wait) / (1 + a*a))
}

// finish is the expected time until the whole answer: wait, calls of this node that
// the announcement did not count, a round trip each for the permit and the call, and
// service.
func (g *group) finish(now time.Time) time.Duration {
	f := g.agedWait(now) + 2*g.trip()
	if n := g.own - g.ownAt - g.free; n > 0 {
		f += time.Duration(n) * g.call
	}
	if g.typical > 0 {
		return f + g.typical
	}
	return f + g.expect
}
