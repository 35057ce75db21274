package placement

// This file defines how a model server is chosen: requests that share prompt parts go
// to the same server while its load allows, so that the parts are read once.

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"bergamotspring/core/relay"
)

const (
	// loadFactor and loadSlack bound the load of the preferred server over the mean.
	loadFactor = 1.3
	loadSlack  = 8
	// coldShare of a cold server's rate is used by one home, since the homes of two
	// regions, or an old and a new home, may use a server at once.
	coldShare = 0.4
	// retryNoServer is when a request without any usable server may come back.
	retryNoServer = 500 * time.Millisecond
	// modelServerBackoff is the first pause of a model server that broke off a request.
	modelServerBackoff    = 500 * time.Millisecond
	modelServerBackoffMax = 4 * time.Second
	// tokensPerRun weighs a request in load as one run for each so many tokens.
	tokensPerRun = 4000
)

// modelServer is a model server as the home knows it.
type modelServer struct {
	server  *relay.Server
	running int
	tokens  int // of the running requests
	until   time.Time
	backoff time.Duration
	cold    []time.Time // of grants in the last second, while cold
}

func (e *modelServer) load() float64 { return float64(e.running) + float64(e.tokens)/tokensPerRun }

// usable reports whether the server may get one more request.
func (e *modelServer) usable(now time.Time, v *relay.View, j *job) bool {
	if now.Before(e.until) || slices.Contains(j.request.Avoid, e.server.ID) {
		return false
	}
	s := v.Config.Services[e.server.Service]
	if s == nil || s.ColdRate <= 0 || !e.server.Cold(now) {
		return true
	}
	n := len(e.cold)
	for n > 0 && now.Sub(e.cold[len(e.cold)-n]) > time.Second {
		n--
	}
	e.cold = e.cold[len(e.cold)-n:]
	return float64(n) < s.ColdRate*coldShare
}

// take counts a granted request.
func (e *modelServer) take(now time.Time, tokens int) {
	e.running++
	e.tokens += tokens
	if e.server.Cold(now) {
		e.cold = append(e.cold, now)
	}
}

// saw learns from the end of a run.
func (e *modelServer) saw(now time.Time, r RunStatus) {
	switch r {
	case RunStarted, RunDone:
		e.backoff = 0
	case RunConnectionLost, RunNotSent:
		e.backoff = min(max(2*e.backoff, modelServerBackoff), modelServerBackoffMax)
		e.until = now.Add(e.backoff)
	}
}

// modelServer returns the state of a model server, in its present entry.
func (h *Scheduler) modelServer(s *relay.Server) *modelServer {
	e := h.modelServers[s.ID]
	if e == nil {
		e = &modelServer{}
		h.modelServers[s.ID] = e
	}
	if e.server != nil && e.server.StartedAt != s.StartedAt {
		h.prompts.forget(s.ID)
	}
	e.server = s
	return e
}

// candidates returns the usable model servers for a job: those of the home's region,
// or of others if there is none.
func (h *Scheduler) candidates(j *job) []*modelServer {
	v := h.View()
	if v.Config == nil {
		return nil
	}
	now := h.Now()
	var l []*modelServer
	for _, s := range v.Servers[j.request.Service] {
		if !j.allows(s.Region) {
			continue
		}
		if e := h.modelServer(s); e.usable(now, v, j) {
			l = append(l, e)
		}
	}
	return nearest(l, func(e *modelServer) bool { return e.server.Region == h.Region })
}

// choice is a model server for a job, nil if there is none, and what it was chosen from.
type choice struct {
	*modelServer
	candidates int
	mean       float64 // load of the candidates
}

// chooseModelServer returns the model server for a job. Servers in the failure domain of the
// job's results come first, then the order of the prompt's group.
func (h *Scheduler) chooseModelServer(j *job) choice {
	l := h.candidates(j)
	if len(l) == 0 {
		return choice{}
	}
	sum := 0.0
	for _, e := range l {
		sum += e.load()
	}
	c := choice{candidates: len(l), mean: sum / float64(len(l))}
	bound := loadFactor*c.mean + loadSlack
	slices.SortFunc(l, func(a, b *modelServer) int {
		return cmp.Or(
			cmp.Compare(j.away(a), j.away(b)),
			cmp.Compare(weight(j.request.group(), b.server.ID), weight(j.request.group(), a.server.ID)),
		)
	})
	for _, e := range l {
		if e.load() < bound {
			c.modelServer = e
			return c
		}
	}
	c.modelServer = slices.MinFunc(l, func(a, b *modelServer) int { return cmp.Compare(a.load(), b.load()) })
	return c
}

// fetch returns the address of the server from which the chosen one should fetch parts
// of a job's prompt, or an empty text.
func (h *Scheduler) fetch(j *job, e *modelServer) string {
	v, now := h.View(), h.Now()
	id := h.prompts.source(j.request.Segments, e.server.ID, now, func(id string) bool {
		o := h.modelServers[id]
		return o != nil && !now.Before(o.until) && o.server.Region == e.server.Region && slices.Contains(v.Servers[j.request.Service], o.server)
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

// group returns the hash of all shared parts of a prompt, 0: none.
func (a *Request) group() uint64 {
	if n := len(a.Segments); n > 0 {
		return a.Segments[n-1].Hash
	}
	return 0
}

// away orders servers outside the failure domain of the job's results last.
func (j *job) away(e *modelServer) int {
	if j.domain == "" || e.server.Domain == j.domain {
		return 0
	}
	return 1
}

// weight is the rendezvous hash of a prompt group and a server.
func weight(group uint64, id string) uint64 {
	f := fnv.New64a()
	var b [8]byte
	for i := range b {
		b[i] = byte(group >> (8 * i))
	}
	_, _ = f.Write(b[:]) // never fails
	_, _ = f.Write([]byte(id))
	x := f.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
