// Package route selects the group of a pool for a call, and limits the bytes that cross
// a link between regions.
//
// A node selects the group; the lease holder of the group selects the server. See
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
	// waitHalfAge is the age at which an announced wait counts half: queues of stages
	// that take tens of milliseconds change within a second or two.
	waitHalfAge = 2 * time.Second
	// unusableFor is how long a group is ranked last after it announced that it takes no
	// work, or refused a call for that reason; a newer announcement ends it.
	unusableFor = 2 * time.Second
	// spillFrom is the fraction of the budget above which calls begin to leave a nearer
	// tier. The share that leaves grows up to the whole budget; with a sharp threshold
	// all nodes of a domain would leave and return together.
	spillFrom = 0.75
	// smoothing is the weight of a new announcement in the smoothed wait.
	smoothing = 0.5
	// requestLinksFrom is the fraction of the budget above which link bytes are
	// requested, so that they are available when calls leave the region.
	requestLinksFrom = 0.25
	// sameUpdateWithin is the time difference below which two announcements count as
	// one that was received twice; applying it twice would undo the smoothing.
	sameUpdateWithin = 5 * time.Millisecond
	// confirmWithin is the time without confirmation of its configuration after which a
	// node sends nothing to other regions: a domain there may have been taken out.
	confirmWithin = time.Minute
	// maxGroups bounds the groups that Order ranks, so that it does not allocate.
	maxGroups = 32
)

// defaultRTT is the round-trip time to each tier until one is measured.
var defaultRTT = [3]time.Duration{200 * time.Microsecond, time.Millisecond, 24 * time.Millisecond}

// Router ranks the groups of each pool for one node. Set the fields before use; the
// zero value ranks nothing until Configure. It is safe for concurrent use. Its lock
// is a leaf: the function fields are called before it is taken.
type Router struct {
	Domain string // failure domain of the node
	Region string
	Now    func() time.Time // nil: time does not advance
	// Unconfirmed returns the time since the node last confirmed its configuration.
	// nil: always confirmed.
	Unconfirmed func() time.Duration
	// LinkBytes returns the bytes that the node may send to a region now. nil:
	// nothing goes to other regions.
	LinkBytes func(region string) int64
	// RequestLinkBytes requests bytes to a region that calls may soon need. nil: none are
	// requested.
	RequestLinkBytes func(region string, bytes int64)
	// Seed seeds the random choices; it should differ between nodes.
	Seed uint64

	mu      sync.Mutex
	random  rand.PCG
	seeded  bool
	pools   map[string][]*group
	groups  map[fleet.GroupID]*group
	regions []string // other regions that have groups
}

// group is the routing state of one group.
type group struct {
	id               fleet.GroupID
	tier             int // 0 same domain, 1 same region, 2 other region
	region           int // index in Router.regions, -1: the node's own
	out              bool
	expect           time.Duration // declared service time
	wait             time.Duration // smoothed announced wait
	waitPerCall      time.Duration // wait added by one more call
	medianService    time.Duration
	free             int
	slots            int
	updatedAt        time.Time // time of the last announcement, zero: none
	unusableUntil    time.Time // ranked last until this time
	rtt              time.Duration
	inFlight         int // calls of this node
	inFlightAtUpdate int // inFlight at the last announcement
}

// Request describes a call to be routed.
type Request struct {
	Pool      string
	Remaining time.Duration // budget of the stage
	Bytes     int64         // size of the call, for links between regions
}

// Configure installs a view. Groups that it still contains keep their state.
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
			g.tier, g.region = r.locate(d)
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

func (r *Router) locate(d *fleet.Group) (tier, region int) {
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

// Update applies an announcement of a lease holder that is age old. It ignores one that
// is not newer than the last.
func (r *Router) Update(id fleet.GroupID, s limit.Summary, age time.Duration) {
	n := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.groups[id]
	if g == nil || !g.updatedAt.IsZero() && n.Add(-age).Sub(g.updatedAt) < sameUpdateWithin {
		return
	}
	old := g.agedWait(n)
	g.wait = s.Wait
	if !g.updatedAt.IsZero() {
		g.wait = old + time.Duration(smoothing*float64(s.Wait-old))
	}
	g.medianService, g.free, g.slots = s.MedianService, s.Free, s.Slots
	g.waitPerCall = s.MedianService / time.Duration(max(1, s.Slots))
	g.updatedAt, g.inFlightAtUpdate = n.Add(-age), g.inFlight
	g.unusableUntil = time.Time{}
	if !s.Usable {
		g.unusableUntil = g.updatedAt.Add(unusableFor)
	}
}

// OnRefused applies a refusal of a lease holder.
func (r *Router) OnRefused(e *limit.RefusedError) {
	n := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.groups[e.Group]
	if g == nil {
		return
	}
	switch e.Reason {
	case limit.RefusedNoServer, limit.RefusedMoved, limit.RefusedNotHolder:
		g.unusableUntil = n.Add(unusableFor)
	case limit.RefusedDeadline, limit.RefusedFull:
		g.wait, g.updatedAt, g.inFlightAtUpdate, g.free = max(e.Wait, g.agedWait(n)), n, g.inFlight, 0
	case limit.RefusedPoison, limit.RefusedBudget:
	}
}

// OnSent counts a call of this node to a group as in flight until OnEnded.
func (r *Router) OnSent(id fleet.GroupID) { r.count(id, 1) }

// OnEnded counts the end of a call that OnSent counted.
func (r *Router) OnEnded(id fleet.GroupID) { r.count(id, -1) }

func (r *Router) count(id fleet.GroupID, d int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if g := r.groups[id]; g != nil {
		g.inFlight = max(0, g.inFlight+d)
	}
}

// ObserveRoundTrip adds a measured round-trip time to the lease holder of a group to the
// moving average.
func (r *Router) ObserveRoundTrip(id fleet.GroupID, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if g := r.groups[id]; g != nil {
		g.rtt = g.roundTrip() + (d-g.roundTrip())/8
	}
}

func (r *Router) now() time.Time {
	if r.Now == nil {
		return time.Time{}
	}
	return r.Now()
}

func (g *group) roundTrip() time.Duration {
	if g.rtt > 0 {
		return g.rtt
	}
	return defaultRTT[g.tier]
}

// agedWait returns the smoothed wait, discounted by the age of the announcement.
func (g *group) agedWait(now time.Time) time.Duration {
	if g.wait == 0 {
		return 0
	}
	a := float64(now.Sub(g.updatedAt)) / float64(waitHalfAge)
	return time.Duration(float64(g.wait) / (1 + a*a))
}

// expectedFinish returns the expected time until the end of the response: the wait, the
// calls of this node that the announcement did not include, one round trip each for the
// permit and the call, and the service time.
func (g *group) expectedFinish(now time.Time) time.Duration {
	f := g.agedWait(now) + 2*g.roundTrip()
	if n := g.inFlight - g.inFlightAtUpdate - g.free; n > 0 {
		f += time.Duration(n) * g.waitPerCall
	}
	if g.medianService > 0 {
		return f + g.medianService
	}
	return f + g.expect
}
