package placement

// This file defines how a model server is chosen: the one with the least predicted cost to the request
// and to those that run beside it. Of servers that cost about the same, one in the failure domain of the results
// comes first, and then the one that requests with the same prompt segments go to, so that it reads
// the segments once.

import (
	"cmp"
	"slices"
	"time"

	"bergamotspring/core/load"
	"bergamotspring/core/relay"
	"bergamotspring/core/rollout"
)

const (
	// equalCost is the factor up to which the costs of servers count as the same: they are estimates.
	equalCost = 1.15
	// defaultSlots is the number of requests that a model server is taken to run at once if neither the
	// configuration nor the server says it.
	defaultSlots = 16
	// defaultRunTime is the time of a run before one was measured, defaultPace that between two events.
	defaultRunTime = time.Second
	defaultPace    = 30 * time.Millisecond
	// lateStreamCost is the cost of making one stream late by a pause that is longer than its route's
	// longest time between events; pauseShare is the cost of a shorter one, as a part of the pause for each stream.
	lateStreamCost = 100 * time.Millisecond
	pauseShare     = 0.1
	// smallRemoteCost is the cost of a server in another failure domain than the results of a job, if these are
	// small; remotePenalty is that for large ones.
	smallRemoteCost = remotePenalty / 4
	// fetchShare is the time to fetch a prompt segment from another server, as a part of that to read it.
	fetchShare = 0.5
	// coldRateFraction is the share of a cold server's rate that one coordinator uses: two
	// coordinators may use a server at once, of two regions or an old and a new one.
	coldRateFraction = 0.4
	// noServerRetryAfter is the RetryAfter of a request without a usable server.
	noServerRetryAfter = 500 * time.Millisecond
	// modelServerBackoff is the first backoff of a model server that failed a request; it
	// doubles with each failure up to modelServerBackoffMax.
	modelServerBackoff    = 500 * time.Millisecond
	modelServerBackoffMax = 4 * time.Second
)

// modelServer is the scheduler's state of a model server.
type modelServer struct {
	server       *relay.Server
	load         load.Server
	held         kvHolding
	unread       int                   // tokens of granted prompts that had no event yet
	gaps         map[time.Duration]int // granted requests, by their EventGap
	loss         loss
	backoffUntil time.Time
	backoff      time.Duration
	coldGrants   []time.Time // times of grants in the last second, while cold
}

// model is what was learned of the runs of a service.
type model struct {
	first     load.Work // time to the first event over what was predicted, in seconds
	pace      load.Work // time between events
	run       load.Work // time of a run
	tokens    float64   // average of the requests that state them
	released  inflow    // tokens of ended requests
	ungranted int       // tokens of jobs that are not granted yet
}

// grantState is what a job's grant counts for at its server.
type grantState struct {
	send    *load.Send
	at      time.Time
	tokens  int
	unread  int           // tokens of its prompt, until the first event
	nominal time.Duration // predicted time to the first event at a server of usual speed
	firstAt time.Time
}

func (h *Scheduler) model(service string) *model {
	m := h.models[service]
	if m == nil {
		m = &model{first: load.Work{Default: time.Second}, pace: load.Work{Default: defaultPace}, run: load.Work{Default: defaultRunTime}}
		h.models[service] = m
	}
	return m
}

// usable reports whether a job may be granted to the server now: it is not backing off, it
// is not in the job's Avoid list, and, while cold, it is below this coordinator's part of
// its cold rate. It also removes old entries of coldGrants.
func (e *modelServer) usable(now time.Time, s *relay.Service, j *job) bool {
	if now.Before(e.backoffUntil) || slices.Contains(j.request.Avoid, e.server.ID) {
		return false
	}
	if s == nil || s.ColdRate <= 0 || !e.server.Cold(now) {
		return true
	}
	n := len(e.coldGrants)
	for n > 0 && now.Sub(e.coldGrants[len(e.coldGrants)-n]) > time.Second {
		n--
	}
	e.coldGrants = e.coldGrants[len(e.coldGrants)-n:]
	return float64(n) < s.ColdRate*coldRateFraction
}

// addGrant counts a job that is granted to a server in its load and memory and, while the server is cold, in its
// cold rate.
func (h *Scheduler) addGrant(j *job, e *modelServer) {
	now, m := h.Now(), h.model(j.request.Service)
	j.granted = e
	unread := h.unreadTokens(j, e)
	j.grant = grantState{at: now, tokens: h.tokens(j), unread: unread, nominal: nominalFirst(e, m, e.load.Expect(now), unread)}
	j.grant.send = e.load.Send(&m.run, now)
	e.held.add(&j.request, j.grant.tokens)
	e.unread += j.grant.unread
	if e.gaps == nil {
		e.gaps = map[time.Duration]int{}
	}
	e.gaps[j.request.EventGap]++
	if e.server.Cold(now) {
		e.coldGrants = append(e.coldGrants, now)
	}
	if n := float64(j.request.Tokens); n > 0 {
		m.tokens += tokensWeight * (n - m.tokens)
	}
}

// tokensWeight is the weight of the newest request in the average of tokens.
const tokensWeight = 0.05

// endGrant takes back what the grant of a job counts for, if it has one.
func (h *Scheduler) endGrant(j *job) {
	e, g := j.granted, &j.grant
	if e == nil {
		return
	}
	now := h.Now()
	g.send.End(now, false)
	e.held.remove(&j.request, g.tokens)
	e.unread -= g.unread
	if e.gaps[j.request.EventGap]--; e.gaps[j.request.EventGap] == 0 {
		delete(e.gaps, j.request.EventGap)
	}
	h.model(j.request.Service).released.add(g.tokens, now, releaseWindow)
	j.granted, j.grant = nil, grantState{}
}

// observeRun learns from the report on a granted job's run.
func (h *Scheduler) observeRun(j *job, r Report) {
	e, g, m, now := j.granted, &j.grant, h.model(j.request.Service), h.Now()
	switch r.Status {
	case RunConnectionLost:
		h.observeLoss(e, now)
	case RunStarted:
		if g.firstAt.IsZero() && g.nominal > 0 {
			e.load.Measure(&m.first, time.Duration(float64(now.Sub(g.at))/g.nominal.Seconds()), now)
		}
		g.firstAt = now
		e.unread -= g.unread
		g.unread = 0
	case RunDone:
		m.run.Observe(now.Sub(g.at))
		if r.Events > 1 && !g.firstAt.IsZero() {
			e.load.Measure(&m.pace, now.Sub(g.firstAt)/time.Duration(r.Events-1), now)
		}
	}
}

// observe updates load and backoff from a report on a run.
func (e *modelServer) observe(now time.Time, r Report) {
	if r.Load != nil {
		x := *r.Load
		x.At, x.Counted = now, e.load.InFlight()
		e.load.Observe(x, now)
	}
	switch r.Status {
	case RunStarted, RunDone:
		e.backoff = 0
	case RunConnectionLost, RunNotSent:
		e.backoff = min(max(2*e.backoff, modelServerBackoff), modelServerBackoffMax)
		e.backoffUntil = now.Add(e.backoff)
	}
}

// modelServer returns the state of a model server, with its current registration. A restarted
// server holds no prompt segments, and its load is not known.
func (h *Scheduler) modelServer(s *relay.Server) *modelServer {
	e := h.modelServers[s.ID]
	if e == nil {
		e = &modelServer{}
		h.modelServers[s.ID] = e
	}
	if e.server != nil && e.server.StartedAt != s.StartedAt {
		h.segments.removeServer(s.ID)
		e.load.Restart()
	}
	e.server = s
	return e
}

// modelSlots returns the number of requests that a server runs at once, unless it says otherwise.
func modelSlots(c *relay.Service, s *relay.Server) int {
	if c != nil && c.ModelSlots > 0 {
		return c.ModelSlots
	}
	return cmp.Or(s.Slots, defaultSlots)
}

// candidates returns the usable model servers for a job: those of the scheduler's region, or
// those of all allowed regions if it has none.
func (h *Scheduler) candidates(j *job) []*modelServer {
	l := h.candidatesUnder(j, j.request.Rule)
	if len(l) == 0 && j.request.AnyVersion {
		return h.candidatesUnder(j, rollout.Rule{})
	}
	return l
}

// candidatesUnder returns the usable model servers that a rule admits.
func (h *Scheduler) candidatesUnder(j *job, r rollout.Rule) []*modelServer {
	v := h.View()
	if v.Config == nil {
		return nil
	}
	now := h.Now()
	all, c := v.Servers[j.request.Service], v.Config.Services[j.request.Service]
	l := make([]*modelServer, 0, len(all))
	for _, s := range all {
		if !j.allows(s.Region) || !r.Admits(s.Version) {
			continue
		}
		if e := h.modelServer(s); e.usable(now, c, j) {
			e.load.SetSlots(modelSlots(c, s))
			l = append(l, e)
		}
	}
	l = nearest(l, func(e *modelServer) bool { return e.server.Region == h.Region })
	return nearest(l, func(e *modelServer) bool { return r.Prefers(e.server.ID) })
}

// choice is the model server chosen for a job, nil if there is none, and what it was chosen from.
type choice struct {
	*modelServer
	candidates int // that have the memory
	usable     int
	cost       time.Duration
	mean       time.Duration // cost of the candidates
}

// chooseModelServer returns the model server for a job. Servers without memory for it are left out if
// withMemory is set.
func (h *Scheduler) chooseModelServer(j *job, withMemory bool) choice {
	l := h.candidates(j)
	c := choice{usable: len(l)}
	m, memory, least, sum := h.model(j.request.Service), 0, time.Duration(0), time.Duration(0)
	if withMemory {
		memory = h.memory(j.request.Service)
	}
	h.costs = h.costs[:0]
	l = slices.DeleteFunc(l, func(e *modelServer) bool {
		x := e.load.Expect(h.Now())
		if !h.fits(j, e, x, memory) {
			return true
		}
		d := h.cost(j, e, m, x)
		h.costs = append(h.costs, d)
		sum += d
		if len(h.costs) == 1 || d < least {
			least = d
		}
		return false
	})
	if c.candidates = len(l); len(l) == 0 {
		return c
	}
	c.mean = sum / time.Duration(len(l))
	group := j.request.promptGroup()
	inDomain, weight := false, uint64(0)
	for i, e := range l {
		if h.costs[i] > least && float64(h.costs[i]) > equalCost*float64(least) {
			continue
		}
		d, w := j.inDomain(e), rendezvousWeight(group, e.server.ID)
		if c.modelServer == nil || d && !inDomain || d == inDomain && w > weight {
			c.modelServer, c.cost, inDomain, weight = e, h.costs[i], d, w
		}
	}
	return c
}

// cost predicts what it costs to run a job at a server: the time to its first event and that of the run,
// the pauses of the streams beside it, and the transfer of its results.
func (h *Scheduler) cost(j *job, e *modelServer, m *model, x load.Expectation) time.Duration {
	unread := h.unreadTokens(j, e)
	slow := x.Assumed()
	first := m.first.Time().Seconds() * slow
	run := m.run.Time().Seconds() * slow * (1 + x.Requests/float64(x.Slots))
	d := time.Duration(first*float64(nominalFirst(e, m, x, unread)) + run*float64(time.Second))
	pause := time.Duration(first * float64(time.Duration(unread+e.unread)*prefillPerToken))
	for gap, n := range e.gaps {
		if gap > 0 && pause > gap {
			d += time.Duration(n) * lateStreamCost
		}
		d += time.Duration(pauseShare * float64(n) * float64(pause))
	}
	switch {
	case j.inDomain(e) || len(j.stages) == 0:
	case j.leafBytes() >= localResultBytes:
		d += remotePenalty
	default:
		d += smallRemoteCost
	}
	return d
}

// nominalFirst predicts the time to the first event of a job of which a server has some tokens to read, at
// the usual speed: behind the prompts that it still has to read and, if all of its slots are taken, behind the
// runs of others.
func nominalFirst(e *modelServer, m *model, x load.Expectation, unread int) time.Duration {
	wait := max(0, x.Requests+1-float64(x.Slots)) / float64(x.Slots) * m.run.Time().Seconds()
	return firstEventBase + time.Duration(unread+e.unread)*prefillPerToken + time.Duration(wait*float64(time.Second))
}

// unreadTokens returns the tokens of a job's prompt that a server has to read. A segment that it can fetch
// counts for the time that takes.
func (h *Scheduler) unreadTokens(j *job, e *modelServer) int {
	n, now := j.request.Prompt, h.Now()
	for _, s := range j.request.Segments {
		here, other := h.segments.holders(s.Hash, e.server.ID, now)
		switch {
		case here:
			n -= s.Tokens
		case other:
			n -= int((1 - fetchShare) * float64(s.Tokens))
		default:
			return max(0, n)
		}
	}
	return max(0, n)
}

// kvSource returns the address of the server from which the chosen one should fetch the KV
// cache of shared prompt segments, or "". A server of another region is asked only if it may serve the job. The server is
// of the same version, as another one may store the cache differently.
func (h *Scheduler) kvSource(j *job, e *modelServer) string {
	v, now := h.View(), h.Now()
	id := h.segments.source(j.request.Segments, e.server.ID, now, func(id string) bool {
		o := h.modelServers[id]
		return o != nil && !now.Before(o.backoffUntil) && j.allows(o.server.Region) && o.server.Version == e.server.Version && slices.Contains(v.Servers[j.request.Service], o.server)
	})
	if id == "" {
		return ""
	}
	return h.modelServers[id].server.Address
}

// allows reports whether a job may be served in a region.
func (j *job) allows(region string) bool {
	return len(j.request.Regions) == 0 || slices.Contains(j.request.Regions, region)
}

// promptGroup returns the hash of all shared segments of a prompt, 0 if there are none.
func (a *Request) promptGroup() uint64 {
	if n := len(a.Segments); n > 0 {
		return a.Segments[n-1].Hash
	}
	return 0
}

// inDomain reports whether a server is in the failure domain of the job's results.
func (j *job) inDomain(e *modelServer) bool { return j.domain == "" || e.server.Domain == j.domain }

// rendezvousWeight is the rendezvous hash of a prompt group and a server.
func rendezvousWeight(group uint64, id string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211 // of 64-bit FNV-1a
	x := uint64(offset)
	for i := range 8 {
		x = (x ^ group>>(8*i)&0xff) * prime
	}
	for i := range len(id) {
		x = (x ^ uint64(id[i])) * prime
	}
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
