package placement

// This file defines how a coordinator learns whether results of an earlier process may still be read that others have
// granted: coordinators of other regions, or the one before it, which may be gone. Nodes know what their requests read,
// coordinators what their batches read. So all nodes are asked before the first batch of a process that started lately;
// occupants.go keeps it from batches until they have answered.
//
// Once all have answered that nothing is read, the process is proven for good: none of them begins to read results of an
// earlier one any more, and nodes that start later have none. The coordinator tells them all, so that the next one need
// not ask, and it asks before there are requests, as nodes may not answer later.

import (
	"maps"
	"slices"
	"time"

	"bergamotspring/core/relay"
)

const (
	// inquiryInterval is the minimum time between two inquiries about a process.
	inquiryInterval = 250 * time.Millisecond
	// silentPatience is the shortest time after a process was first seen at which an inquiry counts that not all nodes
	// answer, see readLimit.
	silentPatience = 3 * time.Second
)

// Maker is a process of a stage server and its address, IP:port. Processes at one address may give out the same handles.
type Maker struct {
	Address string
	relay.Process
}

// follows reports whether m is known to have taken the place of o.
func (m Maker) follows(o Maker) bool {
	return m.Address == o.Address && o.StartedAt > 0 && m.StartedAt > o.StartedAt
}

// mayFollow reports whether m may have taken the place of o.
func (m Maker) mayFollow(o Maker) bool {
	if m.Address != o.Address || m.Process == o.Process {
		return false
	}
	return m.StartedAt == 0 || o.StartedAt == 0 || m.StartedAt > o.StartedAt
}

// Inquiry asks all nodes for how long results of earlier processes may be read in the places of some.
type Inquiry struct {
	Number uint64
	Makers []Maker
}

func (m *stageServer) maker() Maker {
	return Maker{Address: m.server.Address, Process: m.server.Process()}
}

// makers returns the processes that made the results which a job gives to its model server, each once.
func (j *job) makers() []Maker {
	var l []Maker
	for _, s := range j.stages {
		if j.hasFollower(s.index) {
			continue
		}
		for _, p := range s.tasks {
			if p.stageServer != nil && !slices.Contains(l, p.stageServer.maker()) {
				l = append(l, p.stageServer.maker())
			}
		}
	}
	return l
}

// proof is what the coordinator knows of a process that started lately.
type proof struct {
	seenAt    time.Time // when it was first looked at
	proven    bool      // results of earlier processes are not read
	expired   bool      // some node was silent for readLimit; all others read nothing
	inquiring bool      // an Inquiry is in flight
	inquireAt time.Time // earliest time of the next one
}

// isProven reports whether a process may store results, as far as others may read those of earlier ones.
func (h *Scheduler) isProven(p Maker) bool {
	if h.StartedLately == nil {
		return true
	}
	x := h.proofs[p]
	if x == nil {
		x = &proof{seenAt: h.Now()}
		h.proofs[p] = x
	}
	x.proven = x.proven || !h.StartedLately(p.Process)
	return x.proven || x.expired
}

// scope is what the processes that need a proof depend on.
type scope struct {
	view        *relay.View
	coordinates bool
	states      int // of stage servers that were created
}

// inquire adds an inquiry about the processes that wait for one to the work: those in use and, at the coordinator of the
// region, all that it would use.
func (h *Scheduler) inquire() {
	if h.StartedLately == nil {
		return
	}
	now := scope{h.View(), h.Coordinates(), h.states}
	if now == h.proven {
		return
	}
	k, left := Inquiry{}, 0
	for _, p := range h.usedMakers(now) {
		if h.isProven(p) {
			continue
		}
		left++
		if x := h.proofs[p]; !x.inquiring && !h.Now().Before(x.inquireAt) {
			x.inquiring = true
			k.Makers = append(k.Makers, p)
		}
	}
	if left == 0 {
		h.proven = now
	}
	if len(k.Makers) == 0 {
		return
	}
	h.lastNumber++
	k.Number = h.lastNumber
	h.inquiries[k.Number] = k.Makers
	h.work.Inquiries = append(h.work.Inquiries, k)
}

// usedMakers returns the processes of stage servers that this scheduler uses, or would use as coordinator, each once.
func (h *Scheduler) usedMakers(s scope) []Maker {
	used := map[Maker]bool{}
	var l []Maker
	add := func(p Maker) {
		if !used[p] {
			used[p] = true
			l = append(l, p)
		}
	}
	if s.coordinates {
		for _, p := range h.makersOf(s.view) {
			add(p)
		}
	}
	for _, q := range h.sortedPools() {
		for _, m := range h.nearestStageServers(q) {
			add(m.maker())
		}
	}
	return l
}

// makersOf returns the processes of the nearest stage servers in a view.
func (h *Scheduler) makersOf(v *relay.View) []Maker {
	var l []Maker
	for _, n := range slices.Sorted(maps.Keys(v.Config.Services)) {
		if v.Config.Services[n].Batching == nil {
			continue
		}
		for _, s := range nearest(slices.Clone(v.Servers[n]), func(s *relay.Server) bool { return s.Region == h.Region }) {
			l = append(l, Maker{s.Address, s.Process()})
		}
	}
	return l
}

// OnInquiry handles the end of an inquiry: for how long, at most, results may be read in the place of each process, and
// whether some node did not answer.
func (h *Scheduler) OnInquiry(number uint64, read []time.Duration, silent bool) {
	now := h.Now()
	for i, p := range h.inquiries[number] {
		x := h.proofs[p]
		if x == nil {
			continue // the process was removed
		}
		x.inquiring, x.inquireAt = false, now.Add(inquiryInterval)
		if i >= len(read) || read[i] > 0 {
			continue
		}
		x.expired = silent && now.Sub(x.seenAt) >= h.readLimit()
		if !silent {
			x.proven = true
			h.work.Proven = append(h.work.Proven, p)
		}
	}
	delete(h.inquiries, number)
	h.dispatch()
}

// readLimit returns how long after its end results of a process may be read by requests of a node that does not answer: the
// longest time limit of a request that has stages. A node that is silent may be frozen, or cut off from this one only; its
// requests then go on at their model servers, and it delivers their responses.
func (h *Scheduler) readLimit() time.Duration {
	limit := silentPatience
	c := h.View().Config
	if c == nil {
		return limit
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		switch {
		case len(r.Stages) == 0:
		case r.Timeout <= 0:
			return ReadTime
		default:
			limit = max(limit, min(r.Timeout, ReadTime))
		}
	}
	return limit
}

// OnProven records processes of which another coordinator has found that results of earlier ones are not read any more.
func (h *Scheduler) OnProven(l []Maker) {
	h.init()
	for _, p := range l {
		h.isProven(p)
		if x := h.proofs[p]; x != nil {
			x.proven = true
		}
	}
	h.dispatch()
}

// pruneProofs forgets proofs of processes that have run long enough to need none.
func (h *Scheduler) pruneProofs() {
	now := h.Now()
	maps.DeleteFunc(h.proofs, func(p Maker, x *proof) bool {
		return now.Sub(x.seenAt) > 2*ReadTime && !x.inquiring && !h.StartedLately(p.Process)
	})
}

// ReadFor returns for how long, at most, batches or granted requests of this coordinator may read results of earlier processes
// in the place of one. It takes the process for the present one, so that nothing new reads results of those.
func (h *Scheduler) ReadFor(p Maker) time.Duration {
	h.init()
	now := h.Now()
	var until time.Time
	replaced := false
	for _, o := range slices.Clone(h.occupants[p.Address]) {
		if !p.mayFollow(o.maker()) {
			continue
		}
		if p.follows(o.maker()) && h.isCurrent(o) {
			h.observeReplacement(h.pool(o.server.Service), o, p.Process)
			replaced = true
		}
		for _, t := range o.readers {
			if t.After(until) {
				until = t
			}
		}
	}
	if replaced {
		h.dispatch()
	}
	return max(0, until.Sub(now))
}
