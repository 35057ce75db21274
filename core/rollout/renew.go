package rollout

// This file defines what becomes of rules that were taken some time before their request is sent.

// Renew returns the rule under which a request that took one may be sent now. A rule for the new version holds
// while an allowance does; the request was counted as exposed and stays so. One for the old version holds until
// all requests go to the new one.
func (a *Agent) Renew(r Rule) Rule {
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
	if t == nil { // the order ended meanwhile
		return *s.rule.Load()
	}
	if r.tally != t || t.state.Final() || t.allowance <= 0 && r.grant != t.grant || !now.Before(t.until) {
		return s.otherwise(now)
	}
	switch {
	case r.New && r.grant == t.grant:
		return r
	case !r.New && (t.state != Moving || t.share < 1):
		return s.otherwise(now)
	case !r.New:
		t.exposed++
	}
	t.allowance--
	return Rule{Service: r.Service, Version: t.order.To, New: true, Focus: t.focus, tally: t, grant: t.grant}
}

// Open reports whether servers of a version may get requests of a service now. Take decides on each of them.
func (a *Agent) Open(service, version string) bool {
	s := a.find(service)
	if s == nil {
		return true
	}
	if r := s.rule.Load(); r != nil {
		return r.Admits(version)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.tally
	if t == nil || version != t.order.To || t.state == Completed || !s.hadOld {
		return true
	}
	return !t.state.Final() && t.allowance > 0 && a.now().Before(t.until)
}
