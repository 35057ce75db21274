package fleet

import (
	"fmt"
	"time"
)

// ReviewAge is the age at which an exception is due for review.
const ReviewAge = 30 * 24 * time.Hour

// Finding is an exception that operators should review, with the reason.
type Finding struct {
	Exception Exception
	Reason    string
}

func (e *Exception) key() string { return string(e.Target) + " " + e.Name }

// Review returns the exceptions of d that have reached ReviewAge at now, and those
// that change nothing. The declaration must be valid.
func Review(d *Declaration, now time.Time) []Finding {
	w := NewView(d, 0)
	var l []Finding
	for _, e := range d.Exceptions {
		if age := now.Sub(e.Since); age >= ReviewAge {
			l = append(l, Finding{e, fmt.Sprintf("in force for %d days", age/(24*time.Hour))})
		}
		if why := noEffectReason(w, &e); why != "" {
			l = append(l, Finding{e, why})
		}
	}
	return l
}

// noEffectReason returns why an exception changes nothing, or "" if it has an effect.
func noEffectReason(w *View, e *Exception) string {
	switch e.Target {
	case TargetDomain:
		for _, s := range w.Servers {
			if s.Domain == e.Name {
				return ""
			}
		}
		return "changes nothing: the failure domain has no servers"
	case TargetServer:
		if e.Out || e.Limit != poolLimit(w, w.Servers[e.Name]) {
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

// poolLimit returns the limit of s without an exception for the server itself.
func poolLimit(w *View, s *BackendServer) int {
	for _, e := range w.Declaration.Exceptions {
		if e.Target == TargetPool && e.Name == s.Pool && e.Limit > 0 {
			return e.Limit
		}
	}
	return w.Pools[s.Pool].Limit
}

// WithTakenOut returns a copy of d in which target t named n is taken out for
// the given reason. An existing exception for the target keeps its other overrides.
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

// WithBroughtBack returns a copy of d in which target t named n is not taken out. Its
// exception stays if it overrides something else.
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
