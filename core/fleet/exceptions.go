package fleet

import (
	"fmt"
	"time"
)

// OldException is the age from which an exception is listed for review.
const OldException = 30 * 24 * time.Hour

// Finding names an exception that operators should review, and why.
type Finding struct {
	Exception Exception
	Why       string
}

func (e *Exception) key() string { return string(e.Target) + " " + e.Name }

// Review lists the exceptions of d that are old at time now, or that change
// nothing. The declaration must be valid.
func Review(d *Declaration, now time.Time) []Finding {
	w := NewView(d, 0)
	var l []Finding
	for _, e := range d.Exceptions {
		if age := now.Sub(e.Since); age >= OldException {
			l = append(l, Finding{e, fmt.Sprintf("in force for %d days", age/(24*time.Hour))})
		}
		if why := unused(w, &e); why != "" {
			l = append(l, Finding{e, why})
		}
	}
	return l
}

// unused returns why an exception changes nothing, or "" if it changes something.
func unused(w *View, e *Exception) string {
	switch e.Target {
	case TargetDomain:
		for _, s := range w.Servers {
			if s.Domain == e.Name {
				return ""
			}
		}
		return "changes nothing: the failure domain has no servers"
	case TargetServer:
		if e.Out || e.Limit != limitWithout(w, w.Servers[e.Name]) {
			return ""
		}
		return "changes nothing: the server has this limit without it"
	case TargetPool:
		if e.Limit == w.Pools[e.Name].Limit {
			return "changes nothing: the pool declares this limit"
		}
	case TargetOrganisation:
		if e.Weight == max(w.Orgs[e.Name].Weight, 1) {
			return "changes nothing: the organisation declares this weight"
		}
	}
	return ""
}

// limitWithout returns the limit of s with exceptions for its pool only.
func limitWithout(w *View, s *BackendServer) int {
	for _, e := range w.Declaration.Exceptions {
		if e.Target == TargetPool && e.Name == s.Pool && e.Limit > 0 {
			return e.Limit
		}
	}
	return w.Pools[s.Pool].Limit
}

// WithTakenOut returns a copy of d in which target t named n is taken out, with a
// reason. An exception that exists for it keeps its other overrides.
func (d *Declaration) WithTakenOut(t Target, n, reason string, now time.Time) *Declaration {
	c := *d
	c.Exceptions = append([]Exception(nil), d.Exceptions...)
	for i := range c.Exceptions {
		e := &c.Exceptions[i]
		if e.Target != t || e.Name != n {
			continue
		}
		if !e.Out {
			e.Out, e.Since, e.Reason = true, now, reason+"; before: "+e.Reason
		}
		return &c
	}
	c.Exceptions = append(c.Exceptions, Exception{Target: t, Name: n, Out: true, Reason: reason, Since: now})
	return &c
}

// WithBroughtBack returns a copy of d in which target t named n is no longer taken out. An
// exception that overrides something else stays.
func (d *Declaration) WithBroughtBack(t Target, n string) *Declaration {
	c := *d
	c.Exceptions = nil
	for _, e := range d.Exceptions {
		if e.Target == t && e.Name == n {
			e.Out = false
			if e.Limit == 0 && e.Weight == 0 {
				continue
			}
		}
		c.Exceptions = append(c.Exceptions, e)
	}
	return &c
}
