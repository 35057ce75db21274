package rollout

// This file defines the side of a node.

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// Agent decides for each request of a node which version it goes to, and counts the responses. The
// zero value is ready to use, with a clock that stands still, and admits all versions until it is told
// the versions of a service. It is safe for concurrent use.
type Agent struct {
	Now         func() time.Time
	Node        string
	Incarnation string
	// Held returns how many batches and stored results the node, as coordinator, has at servers of a
	// service whose version is not the given one. It may be nil.
	Held func(service, not string) int64

	mu       sync.Mutex // held while services is replaced; before the lock of a service
	services atomic.Pointer[map[string]*service]
}

func (a *Agent) now() time.Time {
	if a.Now == nil {
		return time.Time{}
	}
	return a.Now()
}

// find returns a service, nil if it is not known.
func (a *Agent) find(name string) *service {
	m := a.services.Load()
	if m == nil {
		return nil
	}
	return (*m)[name]
}

// findOrAdd returns a service. The lock is held.
func (a *Agent) findOrAdd(name string) *service {
	if s := a.find(name); s != nil {
		return s
	}
	m := map[string]*service{}
	if p := a.services.Load(); p != nil {
		m = maps.Clone(*p)
	}
	s := &service{name: name}
	s.update(time.Time{})
	m[name] = s
	a.services.Store(&m)
	return s
}

// forget drops a service without versions, order and attempts. The lock is held.
func (a *Agent) forget(s *service) {
	if len(s.versions) > 0 || s.tally != nil || s.inFlightTotal() > 0 {
		return
	}
	m := maps.Clone(*a.services.Load())
	delete(m, s.name)
	a.services.Store(&m)
}

// SetOrders replaces the orders in force.
func (a *Agent) SetOrders(l []Order) {
	a.mu.Lock()
	defer a.mu.Unlock()
	ordered := map[string]bool{}
	for _, o := range l {
		ordered[o.Service] = true
		s := a.findOrAdd(o.Service)
		s.mu.Lock()
		if s.tally == nil || !o.continues(s.tally.order, s.tally.state) {
			s.tally = newTally(a.now(), s.established == o.To)
		}
		s.tally.order = o
		s.update(a.now())
		s.mu.Unlock()
	}
	for name, s := range *a.servicesOrNone() {
		if ordered[name] {
			continue
		}
		s.mu.Lock()
		s.tally = nil
		s.update(a.now())
		a.forget(s)
		s.mu.Unlock()
	}
}

func (a *Agent) servicesOrNone() *map[string]*service {
	if m := a.services.Load(); m != nil {
		return m
	}
	return &map[string]*service{}
}

// SetVersions replaces the registered versions of a service. Without any, the service is forgotten
// once it has no order.
func (a *Agent) SetVersions(service string, l []Version) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.findOrAdd(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions = append([]Version(nil), l...)
	s.dropCounters()
	s.update(a.now())
	a.forget(s)
}

// SetStatus tells the state of the rollout of a service to a version as the store has it, with the era
// and version of the status row. One that is not newer than the order's row is about an earlier order.
// A final state of an order ends its reports.
func (a *Agent) SetStatus(service, to string, state State, era, version uint64) {
	s := a.find(service)
	if s == nil || !state.Final() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.tally
	if t == nil || t.order.To != to || era < t.order.Era || era == t.order.Era && version <= t.order.Version {
		return
	}
	t.state, t.known, t.written = state, true, true
	t.strata = nil
	s.update(a.now())
}

// Take decides for the first attempt of a request, and counts the request. It uses up allowance if the
// rule is New.
func (a *Agent) Take(service, route string) Rule {
	s := a.find(service)
	if s == nil {
		return Rule{Service: service}
	}
	if r := s.rule.Load(); r != nil {
		return *r
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.tally
	if t == nil { // the order ended meanwhile
		return *s.rule.Load()
	}
	t.countRequest()
	now := a.now()
	if t.takes(route, now) {
		t.exposed++
		return Rule{Service: service, Version: t.order.To, New: true, Focus: t.focus, tally: t, grant: t.grant}
	}
	return s.otherwise(now)
}

// Return takes back a rule under which nothing was sent. The request may call Take again.
func (a *Agent) Return(r Rule) { a.giveBack(r, 1) }

// ReturnAllowance takes back a rule under which nothing was sent. The request stays counted, and may call Retry.
func (a *Agent) ReturnAllowance(r Rule) { a.giveBack(r, 0) }

func (a *Agent) giveBack(r Rule, credit int64) {
	s := a.find(r.Service)
	if s == nil || r.tally == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r.tally.credit += credit
	if r.New && r.tally.granted(r) {
		r.tally.allowance++
		r.tally.exposed--
	}
}

// Retry returns the rule for another attempt after one under r. It is that of the old version, except in
// the last step of Moving: retries would keep the old servers busy for ever there.
func (a *Agent) Retry(r Rule) Rule {
	s := a.find(r.Service)
	if s == nil {
		return Rule{Service: r.Service}
	}
	if r := s.rule.Load(); r != nil {
		return *r
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t, now := s.tally, a.now()
	if t == nil {
		return *s.rule.Load()
	}
	if t.state == Moving && t.step == allSteps && now.Before(t.until) {
		t.exposed++
		return Rule{Service: s.name, Version: t.order.To, New: true, tally: t}
	}
	return s.otherwise(now)
}

// Begin counts an attempt under a rule as in flight at a server of a version.
func (a *Agent) Begin(r Rule, version string) Flight {
	s := a.find(r.Service)
	if s == nil {
		return Flight{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.inFlight[version]
	if c == nil {
		if s.inFlight == nil {
			s.inFlight = map[string]*atomic.Int64{}
		}
		c = new(atomic.Int64)
		s.inFlight[version] = c
	}
	c.Add(1)
	return Flight{c}
}

// Flight is an attempt in flight. The zero value is one that is not counted.
type Flight struct{ count *atomic.Int64 }

// End ends the attempt. It may be called more than once.
func (f *Flight) End() {
	if f.count != nil {
		f.count.Add(-1)
		f.count = nil
	}
}

// Observe counts how an attempt under a rule ended.
func (a *Agent) Observe(r Rule, o Observation) {
	s := a.find(r.Service)
	if s == nil || r.tally == nil || o.Cold {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.tally == s.tally {
		r.tally.observe(r.New, o)
	}
}

// Report returns the report to send about the order of a service, and false if there is nothing to
// report. The time of the call counts as that at which the report is sent. The allowance of the node
// ends with it.
func (a *Agent) Report(service string) (Report, bool) {
	s := a.find(service)
	if s == nil {
		return Report{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.tally
	if t == nil || t.written {
		return Report{}, false
	}
	s.seq++
	r := t.report(s.seq, a.now())
	r.Node, r.Incarnation = a.Node, a.Incarnation
	r.OldInFlight = s.inFlightExcept(t.order.To)
	if a.Held != nil {
		r.OldInFlight += a.Held(service, t.order.To)
	}
	return r, true
}

// OnReply takes the answer to the last report. Others, and repeated ones, are ignored.
func (a *Agent) OnReply(r Reply) {
	s := a.find(r.Order.Service)
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.tally
	if t == nil || r.Seq != s.seq || r.Seq == t.grant || !t.order.equal(r.Order) {
		return
	}
	t.onReply(r)
	s.update(a.now())
}
