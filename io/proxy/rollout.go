package proxy

// This file defines which version of its service's servers a request goes to during a rollout, and how
// the attempts are counted for the verdict.

import (
	"errors"
	"net/http"
	"slices"
	"time"

	"bergamotspring/core/relay"
	"bergamotspring/core/rollout"
	"bergamotspring/io/exchange"
)

// maxRuleAge is how long before its send the rule of a model request may have been taken. That of a request whose stages take
// longer is renewed: a stop of the rollout must reach it.
const maxRuleAge = rollout.AllowanceLife / 4

// maxMoves bounds the placements of a request beyond maxPlacements that a change of its rule causes.
const maxMoves = 2

// versioned is the state of a request under the rules of rollouts. The zero value is that of a deployment without any.
type versioned struct {
	rule    rollout.Rule
	takenAt time.Time
	flight  rollout.Flight // of the attempt in progress
	moves   int            // placements that were given up as the rule changed
	late    bool           // the rule of the first attempt is taken when the request is placed
	unread  bool           // the server cut the attempt off as its response was not read
	long    longAttempt    // at a plain server
}

// longAttempt is an attempt whose response is longer than what is buffered. It is counted at the end of the response.
type longAttempt struct {
	began time.Time
	took  time.Duration // until the first part was there
}

// takeRule takes the rule of the first attempt. A request whose stages run first waits for its placement longer than
// allowances live: it is placed on the old version, and takes its rule then.
func (q *request) takeRule() {
	a := q.server.Rollouts
	if a == nil {
		return
	}
	if q.late = slices.ContainsFunc(q.meta.Tasks, func(n int) bool { return n > 0 }); q.late {
		q.rule = a.Retry(rollout.Rule{Service: q.service})
		return
	}
	q.rule, q.takenAt = a.Take(q.service, q.route.Name), time.Now()
}

// nextRule takes the rule of another attempt. The one before it is taken back if nothing was sent under it.
func (q *request) nextRule(unsent bool) {
	a := q.server.Rollouts
	if a == nil {
		return
	}
	if unsent && q.rule.New {
		a.ReturnAllowance(q.rule)
	}
	q.rule = a.Retry(q.rule)
}

// fallBack replaces a rule that no server of the new version can serve now, and reports whether it did.
func (q *request) fallBack() bool {
	if !q.rule.New {
		return false
	}
	q.nextRule(true)
	return !q.rule.New
}

// admits reports whether a request may be sent to the server that it was placed on. It takes or renews the rule of one
// that has waited for that. If not, the request is placed again under its rule.
func (q *request) admits(t *relay.Server) bool {
	a := q.server.Rollouts
	if a == nil || q.sends > 0 {
		return true
	}
	switch {
	case q.late:
		q.late = false
		q.rule, q.takenAt = a.Take(q.service, q.route.Name), time.Now()
	case !q.rule.Admits(t.Version): // no server of the new version can take it
		q.fallBack()
	case time.Since(q.takenAt) >= maxRuleAge:
		q.rule, q.takenAt = a.Renew(q.rule), time.Now()
	}
	if q.rule.Admits(t.Version) {
		return true
	}
	q.moves++
	return false
}

// beginAttempt counts an attempt as in flight at a server until endAttempt.
func (q *request) beginAttempt(t *relay.Server) {
	q.endAttempt()
	q.unread = false
	if a := q.server.Rollouts; a != nil {
		q.flight = a.Begin(q.rule, t.Version)
	}
}

func (q *request) endAttempt() { q.flight.End() }

// observe counts how an attempt ended that began at a time. Pace is the time per event of a stream.
func (q *request) observe(t *relay.Server, began time.Time, failed bool, took, pace time.Duration) {
	if a := q.server.Rollouts; a != nil {
		a.Observe(q.rule, rollout.Observation{
			Route: q.route.Name, Domain: t.Domain, Server: t.ID, Failed: failed, Took: took, Pace: pace, Cold: q.isCold(t, began),
		})
	}
}

// isCold reports whether a server was in its cold start. Grants do not tell it.
func (q *request) isCold(t *relay.Server, at time.Time) bool {
	for _, s := range q.server.View().Servers[t.Service] {
		if s.ID == t.ID {
			return s.Cold(at)
		}
	}
	return t.Cold(at)
}

// observePlain counts how an attempt at a plain server ended, unless the server has nothing to do with it.
func (q *request) observePlain(a *attempt, t *relay.Server, began time.Time, disconnected bool) {
	if disconnected || a.unsent() || a.moved() {
		return
	}
	if a.err == nil && a.hasMore {
		q.long = longAttempt{began: began, took: time.Since(began)}
		return
	}
	q.observe(t, began, a.err != nil || a.response.Status >= http.StatusInternalServerError, time.Since(began), 0)
}

// unsent reports whether no byte of the request was sent.
func (a *attempt) unsent() bool {
	u := (*exchange.UnsentError)(nil)
	return errors.As(a.err, &u)
}

// streamTimes are when the events of one attempt came.
type streamTimes struct {
	began, first, last time.Time
	events             int // of the request, when the attempt began
}

// note notes that events came.
func (s *streamTimes) note(now time.Time) {
	if s.first.IsZero() {
		s.first = now
	}
	s.last = now
}

// observeRun counts how an attempt at a model server ended: by the time to its first event and the pace of the
// others, or, of a whole response, by the time to its end.
func (q *request) observeRun(s *streamTimes, a *attempt, t *relay.Server, e runOutcome, left bool) {
	if left || q.unread || e == runNotSent || e == runInputLost || a.moved() {
		return
	}
	end, pace := time.Now(), time.Duration(0)
	if !s.first.IsZero() {
		end = s.first
		if n := q.events - s.events; n > 1 {
			pace = s.last.Sub(s.first) / time.Duration(n-1)
		}
	}
	failed := e != runDone || a.response != nil && a.response.Status >= http.StatusInternalServerError
	q.observe(t, s.began, failed, end.Sub(s.began), pace)
}
