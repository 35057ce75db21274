package placement

// This file defines the shares of organisations, and within them of routes, in the stage services.
//
// It answers a burst of one organisation or route beside others at their usual rate. While more is
// asked of a service than its servers can do, each organisation has a share of the rate that its
// priority gets: weighted max-min, so that what some do not ask for goes to the others. The share of
// an organisation is divided among its routes in the same way. Work beyond it goes behind that of
// the same priority that is within its share. Priorities of the configuration go before shares.

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// shareWindow is the time constant over which the work of an owner is counted, and the time for
	// which shares stay in force after a service is contended no more.
	shareWindow = time.Second
	// shareInterval is how often shares are computed anew.
	shareInterval = 50 * time.Millisecond
	// shareForgetBelow is the number of tasks in shareWindow below which an owner is removed.
	shareForgetBelow = 0.05
	// shareQueue is the time that work that waits for a service may take before shares come into force. If that
	// within the shares of a priority takes longer, less is divided until it has shrunk, as servers do not
	// always do their full rate.
	shareQueue = 800 * time.Millisecond
	// begunDebt is the debt, as time at the owner's share, that a request with work done may leave: practically
	// unlimited, so that it is finished.
	begunDebt = time.Hour
	// minProtected is the part of the rate of a priority that owners within their shares must ask for, or
	// shares are not in force: if all ask for more than they can get, none gains by them.
	minProtected = 0.05
)

// shareKey identifies an owner of work in a service.
type shareKey struct {
	priority            int
	organisation, route string
}

func (k shareKey) compare(o shareKey) int {
	return cmp.Or(cmp.Compare(k.priority, o.priority), strings.Compare(k.organisation, o.organisation), strings.Compare(k.route, o.route))
}

// shareCount is the work of an owner in a service, in tasks, which take equal server time there.
type shareCount struct {
	offered  inflow  // also of refused requests
	share    float64 // tasks a second
	credit   float64 // tasks that may still be admitted as within the share; negative: owed
	filledAt time.Time
}

// shares counts the work of the owners in one service. The zero value is ready to use.
type shares struct {
	owners         map[shareKey]*shareCount
	computedAt     time.Time
	inForce        map[int]bool // by priority
	contendedUntil time.Time
}

// offer counts tasks that were asked for.
func (s *shares) offer(k shareKey, tasks int, now time.Time) {
	if s.owners == nil {
		s.owners = map[shareKey]*shareCount{}
	}
	c := s.owners[k]
	if c == nil {
		c = &shareCount{}
		s.owners[k] = c
	}
	c.offered.add(tasks, now, shareWindow)
}

// within reports whether an owner may have tasks admitted as within its share. The size of the request
// does not count: one that is larger than the credit leaves a debt. It may owe the share of a duration.
func (c *shareCount) within(now time.Time, debt time.Duration) bool {
	if c.offered.rate(now, shareWindow) <= c.share {
		return true
	}
	c.fill(now)
	return c.credit >= -c.share*debt.Seconds()
}

// fill adds the credit for the time since the last call, up to that of shareWindow.
func (c *shareCount) fill(now time.Time) {
	c.credit = min(c.credit+c.share*now.Sub(c.filledAt).Seconds(), c.share*shareWindow.Seconds())
	c.filledAt = now
}

// setShare changes the share. A new owner has the credit of shareWindow.
func (c *shareCount) setShare(share float64, now time.Time) {
	if c.filledAt.IsZero() {
		c.credit, c.filledAt = share*shareWindow.Seconds(), now
	}
	c.fill(now)
	c.share = share
}

// computeShares divides a rate among the owners: by priority, within a priority among the organisations, and
// within an organisation among its routes.
func (b *backlog) computeShares(rate float64, weight func(organisation, route string) float64, now time.Time) {
	s := &b.shares
	if now.Sub(s.computedAt) < shareInterval {
		return
	}
	s.computedAt, s.inForce = now, map[int]bool{}
	left := rate
	for _, l := range s.claims(weight, now) {
		if left < minSpareShare*rate {
			return // more urgent work takes all: nothing to share
		}
		excess := float64(b.within(l.priority)) - rate*shareQueue.Seconds()
		usable := left - min(max(0, excess)/shareWindow.Seconds(), left/2)
		left -= divide(usable, l.organisations, now)
		s.inForce[l.priority] = l.protected() >= minProtected*usable
	}
}

// within returns the tasks of a priority that wait within their shares.
func (b *backlog) within(priority int) int {
	return b.tasks[rank{priority: priority}] + b.tasks[rank{priority: priority, late: true}]
}

// priorityClaims is what is asked for at a priority.
type priorityClaims struct {
	priority      int
	organisations []*claimant
}

// claims returns what is asked for, by priority, and drops owners that ask for nothing any more.
func (s *shares) claims(weight func(organisation, route string) float64, now time.Time) []*priorityClaims {
	var l []*priorityClaims
	var last shareKey
	for _, k := range slices.SortedFunc(maps.Keys(s.owners), shareKey.compare) {
		c := s.owners[k]
		demand := c.offered.rate(now, shareWindow)
		if c.offered.tasks < shareForgetBelow {
			delete(s.owners, k)
			continue
		}
		if len(l) == 0 || k.priority != last.priority {
			l = append(l, &priorityClaims{priority: k.priority})
		}
		p := l[len(l)-1]
		if len(p.organisations) == 0 || k.organisation != last.organisation {
			p.organisations = append(p.organisations, &claimant{weight: weight(k.organisation, "")})
		}
		o := p.organisations[len(p.organisations)-1]
		o.demand += demand
		o.routes = append(o.routes, &claimant{demand: demand, weight: weight(k.organisation, k.route), count: c})
		last = k
	}
	return l
}

// protected returns what is asked for within the shares, in tasks a second.
func (p *priorityClaims) protected() float64 {
	n := 0.0
	for _, o := range p.organisations {
		for _, r := range o.routes {
			if r.demand <= r.count.share {
				n += r.demand
			}
		}
	}
	return n
}

// claimant is an organisation or one of its routes while a rate is divided.
type claimant struct {
	demand, weight float64
	routes         []*claimant // of an organisation
	count          *shareCount // of a route
}

// divide divides a rate by weighted max-min, and returns the sum of the demands that it covers. Each
// claimant that asks for more than its share gets the same for its weight; what the others leave over
// is divided too.
func divide(rate float64, l []*claimant, now time.Time) (used float64) {
	slices.SortStableFunc(l, func(a, b *claimant) int { return cmp.Compare(a.demand/a.weight, b.demand/b.weight) })
	weights := 0.0
	for _, c := range l {
		weights += c.weight
	}
	for _, c := range l {
		// One that asks for less keeps the level, so that it is not beyond its share when it asks for
		// a little more.
		share := (rate - used) * c.weight / weights
		if c.count != nil {
			c.count.setShare(share, now)
		}
		divide(share, c.routes, now)
		used += min(share, c.demand)
		weights -= c.weight
	}
	return used
}

// shareKey returns the owner of a job's work.
func (j *job) shareKey() shareKey {
	return shareKey{priority: j.request.Priority, organisation: j.request.Organisation, route: j.request.Route}
}

// judge decides whether a waiting job goes beyond its share, and charges its owner otherwise. It does so
// once while one of the services that the job needs is contended. The owner may owe the share of debt.
func (h *Scheduler) judge(j *job, debt time.Duration, now time.Time) {
	type charge struct {
		count *shareCount
		tasks int
	}
	var charges []charge
	j.judged, j.rank.over = false, false
	for _, s := range j.stages {
		n := s.remaining - s.inBatch
		if n <= 0 || !h.contended(s.request.Service, now) {
			continue
		}
		c := h.shareCount(s.request.Service, j, now)
		if c == nil {
			continue
		}
		j.judged = true
		j.rank.over = j.rank.over || !c.within(now, debt)
		charges = append(charges, charge{c, n})
	}
	if j.rank.over {
		if j.rank.priority == starvedPriority && !h.fairness.starved(j.request.fairnessKeys(), fairMinRatioOver) {
			j.rank.priority = j.request.Priority
		}
		j.rank.over = j.rank.priority != starvedPriority
		return
	}
	for _, c := range charges {
		c.count.credit -= float64(c.tasks)
	}
}

// shareCount returns the work of a job's owner in a service, with its share as of now, or nil if shares
// are not in force at its priority or the owner asked for nothing recently.
func (h *Scheduler) shareCount(service string, j *job, now time.Time) *shareCount {
	rate, _ := h.rate(service)
	b := h.backlog(service)
	b.computeShares(rate, h.weight, now)
	if !b.shares.inForce[j.request.Priority] {
		return nil
	}
	return b.shares.owners[j.shareKey()]
}

// weight returns the weight of an organisation, or of one of its routes.
func (h *Scheduler) weight(organisation, route string) float64 {
	if h.Weight == nil {
		return 1
	}
	return h.Weight(organisation, route)
}

// rejudge judges a waiting job that was admitted before its services were contended, and ends the
// judgement of others once they are contended no more.
func (h *Scheduler) rejudge(j *job, now time.Time) {
	contended := slices.ContainsFunc(j.stages, func(s *jobStage) bool {
		return s.remaining > s.inBatch && h.contended(s.request.Service, now)
	})
	switch {
	case !contended:
		j.judged, j.rank.over = false, false
	case !j.judged:
		debt := shareWindow
		if j.begun() {
			debt = begunDebt
		}
		h.judge(j, debt, now)
		if j.rank.over {
			j.admittedLate = h.behindGoal(j, now) // one that can no longer be in time is refused at once
		}
	}
}

// contended reports whether shares are in force in a service: more is asked of it than its servers can
// do, or was within shareWindow.
func (h *Scheduler) contended(service string, now time.Time) bool {
	if !h.Shares {
		return false
	}
	s := &h.backlog(service).shares
	if now.Before(s.contendedUntil) && now.Add(shareWindow).Sub(s.contendedUntil) < shareInterval {
		return true // found a moment ago
	}
	if h.exceeded(service, now) {
		s.contendedUntil = now.Add(shareWindow)
	}
	return now.Before(s.contendedUntil)
}
