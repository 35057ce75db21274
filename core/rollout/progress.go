package rollout

// This file defines the progress of one order at the decider.

import (
	"math/rand/v2"
	"time"
)

// defaultStopWithin is the bound of a deployment that states none.
const defaultStopWithin = 5 * time.Second

// rollout is an order at the decider.
type rollout struct {
	order        Order
	limits       Limits
	writer, name string
	rec          Record // as it is to be
	row          row
	clock        time.Duration // of the store, at clockAt
	clockAt      time.Time
	since        time.Time // when this decider began with the order
	random       *rand.Rand
	logs         []string

	nodes    map[string]bool // registered
	interval time.Duration
	servers  []Server
	domains  map[string]bool // those with servers of both versions
	noOld    time.Time       // since when no server of another version is registered

	members  map[string]*member // by node and incarnation
	ordered  []*member          // in the order of their first report
	floor    int64              // requests that an earlier decider counted
	ledger   ledger
	evidence evidence
	pacing   pacing

	reports      uint64 // that had responses of the new version
	judged       uint64 // reports at the last verdict
	verdict      verdict
	unclearSince time.Time
	bad          float64
	firstBad     time.Duration
	decided      time.Duration
	stopped      time.Duration

	step      int // of Moving, 0 before the store has it
	stepSince time.Time
}

func (r *rollout) stopWithin() time.Duration {
	if r.limits.StopWithin <= 0 {
		return defaultStopWithin
	}
	return r.limits.StopWithin
}

func (r *rollout) log(line string) { r.logs = append(r.logs, line) }

func (r *rollout) takeLogs() []string {
	l := r.logs
	r.logs = nil
	return l
}

// storeTime returns the store's clock.
func (r *rollout) storeTime(now time.Time) time.Duration { return r.clock + now.Sub(r.clockAt) }

// setServers replaces the servers.
func (r *rollout) setServers(l []Server) {
	r.servers = l
	seen := map[string][2]bool{}
	for _, s := range l {
		x := seen[s.Domain]
		if s.Version == r.order.To {
			x[1] = true
		} else {
			x[0] = true
		}
		seen[s.Domain] = x
	}
	r.domains = map[string]bool{}
	for d, x := range seen {
		r.domains[d] = x[0] && x[1]
	}
}

// requests returns those of the service since the order, as far as they are known.
func (r *rollout) requests() int64 {
	n := int64(0)
	for _, m := range r.ordered {
		n += m.requests
	}
	return max(n, r.floor)
}

// exposed returns the requests that went to the new version, as reported.
func (r *rollout) exposed() int64 {
	n := int64(0)
	for _, m := range r.ordered {
		n += m.exposed
	}
	return n
}

// rate returns the requests per second, and the nodes that report.
func (r *rollout) rate(now time.Time) (rate float64, l []*member) {
	for _, m := range r.ordered {
		if !r.silent(m, now) {
			rate += m.rate
			l = append(l, m)
		}
	}
	return rate, l
}

// silent reports whether three reports of a node are missing.
func (r *rollout) silent(m *member, now time.Time) bool {
	return now.Sub(m.seen) > max(AllowanceLife, 3*r.interval)
}

// latest returns the present incarnations of the registered nodes that have reported.
func (r *rollout) latest() []*member {
	byNode := map[string]*member{}
	for _, m := range r.ordered {
		if old := byNode[m.node]; old == nil || old.seen.Before(m.seen) {
			byNode[m.node] = m
		}
	}
	var l []*member
	for node, m := range byNode {
		if len(r.nodes) == 0 || r.nodes[node] {
			l = append(l, m)
		}
	}
	return l
}

// silentNodes returns the number of registered nodes without a recent report.
func (r *rollout) silentNodes(now time.Time) int {
	n := len(r.nodes)
	for _, m := range r.latest() {
		if n > 0 && !r.silent(m, now) {
			n--
		}
	}
	return n
}

// onReport takes a report and returns the reply. The reply to a repeated report is repeated too.
func (r *rollout) onReport(rp Report, now time.Time) (Reply, bool) {
	key := rp.Node + "/" + rp.Incarnation
	m := r.members[key]
	if m == nil {
		m = &member{node: rp.Node, strata: map[stratumKey]total{}}
		r.members[key] = m
		r.ordered = append(r.ordered, m)
		r.learn(rp, now)
	}
	if rp.Seq <= m.seq {
		return m.reply, rp.Seq == m.seq
	}
	r.ledger.settle(m.grant, max(0, rp.Exposed-m.exposed))
	m.grant = 0
	m.update(rp, now)
	for _, s := range rp.Strata {
		r.count(m.gained(s), now)
	}
	r.date(rp, now)
	r.acknowledge(now)
	m.reply = r.reply(rp, m, now)
	return m.reply, true
}

// learn takes in what an earlier decider told a node, in case the store has lost it.
func (r *rollout) learn(rp Report, now time.Time) {
	if !rp.Known || rp.Opened == 0 {
		return
	}
	if !r.rec.State.Final() && rp.State.Final() {
		r.end(rp.State, "node "+rp.Node+" was told so", now)
	}
	if r.rec.State == Testing && rp.State == Moving { // nodes are told after it was written
		r.rec.State, r.rec.Step = Moving, rp.Step
		r.row.dirty = true
	}
	if rp.Opened < r.rec.Opened {
		r.rec.Opened = rp.Opened
		r.row.dirty = true
	}
	r.ledger.reserve(rp.Ceiling)
	r.rec.Ceiling = max(r.rec.Ceiling, rp.Ceiling)
}

// date takes in when a node learned of the order: that may be before a decider could read the row. What is
// more than a duration before is not believed.
func (r *rollout) date(rp Report, now time.Time) {
	if rp.Age <= r.storeTime(now)-r.rec.Opened+r.order.Duration {
		r.rec.Opened = min(r.rec.Opened, r.storeTime(now)-rp.Age)
	}
}

// count takes in what a stratum gained.
func (r *rollout) count(s Stratum, now time.Time) {
	if s.Responses <= 0 {
		return
	}
	domain := s.Domain
	if !r.domains[domain] {
		domain = ""
	}
	at := r.storeTime(now)
	r.evidence.add(s, domain, int(at/time.Second))
	if !s.New {
		return
	}
	r.reports++
	bad := float64(s.Failed) + slowOf(&s.Took, &r.evidence.routes[s.Route].took).bad
	if r.bad += bad; r.firstBad == 0 && bad >= 1 {
		r.firstBad = at
	}
}

// acknowledge notes when all nodes that report know that the rollout was rolled back.
func (r *rollout) acknowledge(now time.Time) {
	if r.rec.State != RolledBack || r.stopped != 0 {
		return
	}
	for _, m := range r.latest() {
		if !r.silent(m, now) && m.state != RolledBack {
			return
		}
	}
	r.stopped = r.storeTime(now)
	r.log("all responding nodes have stopped")
}

// reply makes the answer to a report.
func (r *rollout) reply(rp Report, m *member, now time.Time) Reply {
	p := Reply{
		Decider: r.name, Seq: rp.Seq, Order: rp.Order, State: r.rec.State,
		Ceiling: r.ledger.ceiling, Opened: r.rec.Opened, Interval: r.interval,
	}
	stored := r.row.stored != nil && r.row.stored.State == r.rec.State
	switch {
	case r.rec.State == Moving && !stored:
		p.State = Testing
	case r.rec.State == Completed && !stored:
		p.State = Moving
	}
	switch {
	case !r.valid(now):
	case p.State == Testing:
		r.allow(m, &p)
	case p.State == Moving && r.step > 0:
		p.Share, p.Allowance, p.Step = r.moveShare(), unlimited, r.step
	}
	return p
}

// end ends the rollout unless it has ended. A stop takes effect at once, a completion once it is written.
func (r *rollout) end(s State, reason string, now time.Time) {
	if r.rec.State.Final() {
		return
	}
	r.rec.State, r.rec.Reason = s, reason
	r.row.dirty = true
	r.decided = r.storeTime(now)
	line := s.String()
	if reason != "" {
		line += ": " + reason
	}
	r.log(line)
}

// tick judges the version and goes on with the state.
func (r *rollout) tick(now time.Time) {
	if r.rec.State.Final() {
		return
	}
	slowest := 0.0
	for _, e := range r.evidence.routes {
		if e.took.total() > 0 {
			slowest = max(slowest, e.took.quantile(0.99))
		}
	}
	s := plan(r.rec.Opened, r.order.Duration, r.interval, duration(slowest))
	if !r.current() {
		r.judge(now, s)
	}
	switch {
	case r.rec.State.Final():
	case r.rec.State == Moving:
		r.move(now, s)
	case s.short:
		r.end(RolledBack, "the duration of the order is too short for a test", now)
	default:
		r.test(now, s)
	}
}

// judge evaluates the evidence. If it stays unclear, too few servers having evidence, the version is bad
// in time for the bound of the deployment.
func (r *rollout) judge(now time.Time, s schedule) {
	minTail := float64(firstTail)
	if r.storeTime(now) >= s.testEnd {
		minTail = lastTail
	}
	if r.judged != r.reports || r.verdict.minTail != minTail {
		r.judged = r.reports
		_, warm := r.usable()
		r.verdict = r.evidence.judge(int(r.storeTime(now)/time.Second), len(warm), minTail)
	}
	if !r.verdict.unclear {
		r.unclearSince = time.Time{}
	} else if r.unclearSince.IsZero() {
		r.unclearSince = now
	}
	switch {
	case r.verdict.bad:
		r.end(RolledBack, r.verdict.reason, now)
	case r.verdict.unclear && r.bad >= stopAfterBad && now.Sub(r.unclearSince) >= r.stopWithin()/2:
		r.end(RolledBack, "bad responses, of too few servers to tell whether all are bad", now)
	}
}

// test goes on with Testing.
func (r *rollout) test(now time.Time, s schedule) {
	at := r.storeTime(now)
	old, warm := r.usable()
	if old > 0 || len(warm) == 0 {
		r.noOld = time.Time{}
	} else if r.noOld.IsZero() {
		r.noOld = now
	}
	switch {
	case !r.noOld.IsZero() && now.Sub(r.noOld) >= goneAfter, r.current() && at-r.rec.Opened >= minTest:
		r.rec.State, r.rec.Step = Moving, allSteps
		r.row.dirty = true
		r.log("nothing to test: no other version is established")
	case at >= s.limit && now.Sub(r.since) >= AllowanceLife: // what nodes know has arrived
		r.end(RolledBack, "no evidence before the time limit", now)
	case at >= s.testEnd && len(warm) > 0 && r.tested() && !r.verdict.unclear && (!r.verdict.suspect || at >= s.testEnd+s.step):
		r.rec.State = Moving
		r.row.dirty = true
		r.log("moving")
	default:
		r.pace(now, s)
	}
}

// current reports whether the version was the established one before the order, as most nodes say: an
// operator replaced an order by one to the old version. One node may be wrong, if it started after the old
// servers did.
func (r *rollout) current() bool {
	n, all := 0, 0
	for _, m := range r.latest() {
		if all++; m.current {
			n++
		}
	}
	return 2*n > max(all, len(r.nodes))
}

// tested reports whether there is enough evidence to move on. Routes with little traffic get theirs in the
// steps of Moving. So does a service of which each node expects less than one request, as most allowances are
// returned unused there: while half of the bound is left, the first step exposes no more than a test may.
func (r *rollout) tested() bool {
	old := 0.0
	for _, e := range r.evidence.routes {
		old += e.oldAll
	}
	few := min(minEvidence, old/4)
	if 2*float64(r.exposed()) < r.limits.Share*float64(r.requests())+r.limits.Slack {
		return r.evidence.newResponses() >= few
	}
	return r.evidence.newResponses() >= min(max(evidenceRate*old, few), maxEvidence)
}

func (r *rollout) info(now time.Time) Info {
	i := Info{
		Record: r.rec, Exposed: r.exposed(), Outstanding: r.ledger.outstanding, Step: r.step, Silent: r.silentNodes(now),
		Bad: int64(r.bad), FirstBad: r.firstBad, Decided: r.decided, Stopped: r.stopped,
	}
	s := plan(r.rec.Opened, r.order.Duration, r.interval, 0)
	passed := float64(r.storeTime(now)-r.rec.Opened) / float64(max(s.testEnd-r.rec.Opened, 1))
	i.Budget = int64(r.limits.budget(r.requests(), passed))
	for _, m := range r.latest() {
		i.OldInFlight += m.oldInFlight
	}
	return i
}
