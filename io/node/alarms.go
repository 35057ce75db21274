package node

// This file decides which alarms a node shows, and for how long.

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
	// alarmLinger is how long an event that has no end stays an alarm.
	alarmLinger = 5 * time.Minute
	tableGrace  = 5 * time.Second // without an answer before the table counts as down
	homeGrace   = 10 * time.Second
)

// alarms holds the alarms of a node. Its lock is a leaf.
type alarms struct {
	mu    sync.Mutex
	until map[string]time.Time // text to end
	now   []string             // conditions of the last check
	since map[string]time.Time // conditions seen, from when
}

// raise shows an event for a while.
func (a *alarms) raise(name string, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.until == nil {
		a.until = map[string]time.Time{}
	}
	a.until[name+": "+err.Error()] = time.Now().Add(alarmLinger)
}

// set shows conditions that hold now, and returns those that are new.
func (a *alarms) set(l []string) (fresh []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, x := range l {
		if !slices.Contains(a.now, x) {
			fresh = append(fresh, x)
		}
	}
	a.now = l
	return fresh
}

// lasting reports whether a condition has held for d.
func (a *alarms) lasting(name string, holds bool, d time.Duration) bool {
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
	l := slices.Clone(a.now)
	for x, t := range a.until {
		if time.Now().Before(t) {
			l = append(l, x)
		} else {
			delete(a.until, x)
		}
	}
	slices.Sort(l)
	return l
}

// checkAlarms looks at every condition and logs those that are new.
func (n *Node) checkAlarms() {
	l := append(n.configAlarms(), n.serverAlarms()...)
	if n.health.Down() > tableGrace {
		l = append(l, operator.AlarmTableDown+": no answer for 5 s")
	}
	if n.caller.Active() > 0 && n.alarms.lasting("drain", n.leaving.Load(), n.Settings.Drain/2) {
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
		l = append(l, operator.AlarmTableBack+": the table answers with an older state")
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
		if n.alarms.lasting("home "+id.String(), none, homeGrace) {
			l = append(l, operator.AlarmNoHome+": "+id.String())
		}
	}
	return l
}

func (n *Node) serverAlarms() (l []string) {
	for _, h := range n.limiters.Status() {
		cold, free := 0, 0
		for _, s := range h.Servers {
			switch serverState(s, h.Open) {
			case "ejected":
				l = append(l, operator.AlarmEjected+": "+s.Name)
			case "cold":
				cold++
				free++
			case "warm":
				free++
			}
		}
		if len(h.Servers) > 0 && free == 0 && h.Open {
			l = append(l, operator.AlarmNoServers+": "+h.Group.String())
		}
		// Idle servers stay cold, which is no reason for an alarm.
		if 2*cold > len(h.Servers) && h.Queued > 0 {
			l = append(l, operator.AlarmCold+": "+h.Group.String())
		}
	}
	return l
}

// poisoned raises the alarm of a condemned request.
func (n *Node) poisoned(fingerprint uint64) {
	n.alarms.raise(operator.AlarmPoison, fmt.Errorf("fingerprint %016x: %w", fingerprint, errPoison))
}

var errPoison = errors.New("crashed servers and is refused")
