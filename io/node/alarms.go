package node

// This file determines which alarms a node reports, and for how long.

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotspring/core/member"
	"bergamotspring/io/operator"
)

const (
	// eventAlarmDuration is how long the alarm of an event without an end is reported.
	eventAlarmDuration = 5 * time.Minute
	tableDownDelay     = 5 * time.Second // without a response before the table service counts as down
	noHolderDelay      = 10 * time.Second
)

// alarms holds the alarms of a node. No other lock is taken while its lock is held.
type alarms struct {
	mu      sync.Mutex
	expires map[string]time.Time // end of event alarms, by text
	current []string             // conditions that held in the last check
	since   map[string]time.Time // start of conditions that hold, by name
}

// raise reports an event for eventAlarmDuration.
func (a *alarms) raise(name string, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.expires == nil {
		a.expires = map[string]time.Time{}
	}
	a.expires[name+": "+err.Error()] = time.Now().Add(eventAlarmDuration)
}

// set replaces the conditions that hold now, and returns those that are new.
func (a *alarms) set(l []string) (fresh []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, x := range l {
		if !slices.Contains(a.current, x) {
			fresh = append(fresh, x)
		}
	}
	a.current = l
	return fresh
}

// hasLasted records whether a condition holds now, and reports whether it has held for d.
func (a *alarms) hasLasted(name string, holds bool, d time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !holds {
		delete(a.since, name)
		return false
	}
	if a.since == nil {
		a.since = map[string]time.Time{}
	}
	t, ok := a.since[name]
	if !ok {
		t = time.Now()
		a.since[name] = t
	}
	return time.Since(t) >= d
}

func (a *alarms) list() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := slices.Clone(a.current)
	for x, t := range a.expires {
		if time.Now().Before(t) {
			l = append(l, x)
		} else {
			delete(a.expires, x)
		}
	}
	slices.Sort(l)
	return l
}

// checkAlarms evaluates every alarm condition and logs those that are new.
func (n *Node) checkAlarms() {
	l := append(n.configAlarms(), n.serverAlarms()...)
	if n.health.Down() > tableDownDelay {
		l = append(l, operator.AlarmTableDown+": no answer for 5 s")
	}
	if n.caller.Active() > 0 && n.alarms.hasLasted("drain", n.leaving.Load(), n.Settings.Drain/2) {
		l = append(l, operator.AlarmSlowDrain+": requests still run")
	}
	slices.Sort(l)
	for _, x := range n.alarms.set(l) {
		n.Log.Warn("alarm", zap.String("alarm", x))
	}
}

func (n *Node) configAlarms() (l []string) {
	s := n.watch.State()
	switch s.Config {
	case member.Unconfirmed:
		l = append(l, operator.AlarmUnconfirmed+": not confirmed for 5 s")
	case member.Isolated:
		l = append(l, operator.AlarmRegionClosed+": not confirmed for 60 s")
	}
	if s.Regressed {
		l = append(l, operator.AlarmTableRegressed+": the table answers with an older state")
	}
	v := n.view.Load()
	if v == nil {
		return l
	}
	for _, e := range operator.Exceptions(v.Declaration, time.Now()) {
		for _, r := range e.Review {
			l = append(l, fmt.Sprintf("%s: %s %s: %s", operator.AlarmException, e.Exception.Target, e.Exception.Name, r))
		}
	}
	for id, g := range v.Groups {
		r := n.leases.RecordOf(id)
		none := g.Region == n.self.Region && (r.Epoch == 0 || n.members.Dead(r.Holder))
		if n.alarms.hasLasted("home "+id.String(), none, noHolderDelay) {
			l = append(l, operator.AlarmNoHome+": "+id.String())
		}
	}
	return l
}

func (n *Node) serverAlarms() (l []string) {
	for _, h := range n.limiters.Status() {
		cold, free := 0, 0
		for _, s := range h.Servers {
			switch serverState(s, h.Ready) {
			case "ejected":
				l = append(l, operator.AlarmEjected+": "+s.Name)
			case "cold":
				cold++
				free++
			case "warm":
				free++
			}
		}
		if len(h.Servers) > 0 && free == 0 && h.Ready {
			l = append(l, operator.AlarmNoServers+": "+h.Group.String())
		}
		// Idle servers stay cold, so cold servers raise an alarm only while requests are queued.
		if 2*cold > len(h.Servers) && h.Queued > 0 {
			l = append(l, operator.AlarmCold+": "+h.Group.String())
		}
	}
	return l
}

// raisePoisonAlarm raises the alarm of a request, or of a prompt prefix, that is refused as
// poison. What names the kind of the hash.
func (n *Node) raisePoisonAlarm(what string, hash uint64) {
	n.alarms.raise(operator.AlarmPoison, fmt.Errorf("%s %016x: %w", what, hash, errPoison))
}

var errPoison = errors.New("crashed servers and is refused")
