package demo

// This file does to a running deployment what operators, the platform and faults do
// to it, and records it.

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"bergamotspring/core/fleet"
	"bergamotspring/core/record"
	"bergamotspring/io/operator"
	"bergamotspring/io/standin"
	"bergamotspring/io/wait"
	"bergamotspring/schema/setting"
)

// controls holds the faults that are in force at the platform.
type controls struct {
	mu       sync.Mutex
	table    func(standin.TableOperation) standin.TableFault // nil: none
	listDown bool
	applies  int
}

func (f *Fleet) connectControls() {
	f.Table.Fault = func(o standin.TableOperation) standin.TableFault {
		f.faults.mu.Lock()
		g := f.faults.table
		f.faults.mu.Unlock()
		var x standin.TableFault
		if g != nil {
			x = g(o)
		}
		f.recordClaims(o, x)
		return x
	}
	f.List.Down = func(string) bool {
		f.faults.mu.Lock()
		defer f.faults.mu.Unlock()
		return f.faults.listDown
	}
}

// SetTable sets what goes wrong with each operation on the table, nil: nothing.
func (f *Fleet) SetTable(what string, g func(standin.TableOperation) standin.TableFault) {
	f.faults.mu.Lock()
	f.faults.table = g
	f.faults.mu.Unlock()
	f.Note(record.FaultInjected, record.Event{Actor: "table", Detail: what})
}

// TableDown takes the table service down or brings it back.
func (f *Fleet) TableDown(down bool) {
	if !down {
		f.SetTable("up", nil)
		return
	}
	f.SetTable("down", func(standin.TableOperation) standin.TableFault { return standin.TableFault{Down: true} })
}

// TableSlow delays each operation on the table.
func (f *Fleet) TableSlow(d time.Duration) {
	f.SetTable("slow", func(standin.TableOperation) standin.TableFault { return standin.TableFault{Delay: d} })
}

// LoseAnswers loses the table's answers to the next k writes of keys with a prefix,
// after they took effect.
func (f *Fleet) LoseAnswers(prefix string, k int) {
	var mu sync.Mutex
	f.SetTable("answers lost", func(o standin.TableOperation) standin.TableFault {
		mu.Lock()
		defer mu.Unlock()
		for _, x := range o.Keys {
			if o.Write && k > 0 && strings.HasPrefix(x, prefix) {
				k--
				return standin.TableFault{LoseAnswer: true}
			}
		}
		return standin.TableFault{}
	})
}

// RestoreTable puts the table back to an older state.
func (f *Fleet) RestoreTable(s standin.TableState) {
	f.Table.Restore(s)
	f.Note(record.FaultInjected, record.Event{Actor: "table", Detail: "restored to an older state"})
}

// ListDown takes the VM list down or brings it back.
func (f *Fleet) ListDown(down bool) {
	f.faults.mu.Lock()
	f.faults.listDown = down
	f.faults.mu.Unlock()
	f.Note(record.FaultInjected, record.Event{Actor: "list", Detail: fmt.Sprintf("down: %t", down)})
}

// Leave lets the platform announce that the VM of a backend server leaves.
func (f *Fleet) Leave(server string) {
	for _, s := range f.Declaration.Servers {
		if s.Name == server {
			f.List.Set(s.VM, "leaving")
			f.Note(record.ServerLeaving, record.Event{Actor: "list", Server: server, Domain: s.Domain})
		}
	}
}

// take returns the running process of a node, nil if there is none, and forgets it
// if forget is set.
func (f *Fleet) take(name string, forget bool) *running {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.running[name]
	if forget {
		delete(f.running, name)
	}
	return r
}

// Kill ends the process of a node as a crash does: connections reset, dials are
// refused, and nothing is handed over.
func (f *Fleet) Kill(name string) {
	r := f.take(name, true)
	if r == nil {
		return
	}
	f.Note(record.NodeAway, record.Event{Actor: name, Detail: "killed"})
	r.dead.Store(true)
	f.Network.SetHost(r.host, standin.HostRefuses)
	r.mu.Lock()
	l := r.listeners
	r.mu.Unlock()
	for _, x := range l {
		_ = x.Close() // cannot fail
	}
	r.cancel()
	f.dropHomes(name)
	<-r.node.Done()
}

// dropHomes records that a process that ended is home of nothing.
func (f *Fleet) dropHomes(name string) {
	f.mu.Lock()
	var l []string
	for g, n := range f.home {
		if n == name {
			l = append(l, g)
		}
	}
	f.mu.Unlock()
	slices.Sort(l)
	for _, g := range l {
		f.Note(record.HomeLost, record.Event{Actor: name, Group: g, Detail: "the process ended"})
	}
}

// Restart starts a node again that was killed or stopped.
func (f *Fleet) Restart(name string) error {
	if err := f.StartNode(name); err != nil {
		return err
	}
	f.Note(record.NodeBack, record.Event{Actor: name})
	return nil
}

// StopNode stops a node as planned and returns when it has ended.
func (f *Fleet) StopNode(name string) {
	r := f.take(name, false)
	if r == nil {
		return
	}
	f.Note(record.NodeAway, record.Event{Actor: name, Detail: record.CutOff})
	r.cancel()
	<-r.node.Done()
	f.dropHomes(name)
	f.take(name, true)
	f.Network.SetHost(r.host, standin.HostRefuses)
}

// Freeze keeps a node's host off the network, as a pause of its VM does, or ends
// that. What was under way arrives after the end.
func (f *Fleet) Freeze(name string, on bool) {
	r := f.take(name, false)
	if r == nil {
		return
	}
	k, s := record.NodeBack, standin.HostUp
	if on {
		k, s = record.NodeAway, standin.HostGone
	}
	f.Note(k, record.Event{Actor: name, Detail: "paused"})
	r.away.Store(on)
	f.Network.SetHost(r.host, s)
}

// CutRegions cuts two regions off from each other, or heals the cut.
func (f *Fleet) CutRegions(a, b string, on bool) {
	f.mu.Lock()
	var x, y []string
	for h, d := range f.place {
		switch f.region(d) {
		case a:
			x = append(x, h)
		case b:
			y = append(y, h)
		}
	}
	f.mu.Unlock()
	f.Note(record.FaultInjected, record.Event{Actor: "network", Detail: fmt.Sprintf("%s and %s cut off: %t", a, b, on)})
	for _, h := range x {
		for _, i := range y {
			f.Network.SetCut(h, i, on)
		}
	}
	k := record.NodeBack
	if on {
		k = record.NodeAway
	}
	for _, s := range f.Nodes {
		if r := f.region(s.Domain); r != f.region(f.place[platformHost]) && (r == a || r == b) {
			f.Note(k, record.Event{Actor: s.Name, Detail: record.CutOff})
		}
	}
}

// Operator returns a client of a node's operator API.
func (f *Fleet) Operator(name string) *operator.Client {
	_, h := f.balance(name)
	t := &http.Transport{DialContext: f.Network.Dialer(callerHost), DisableKeepAlives: true}
	return &operator.Client{URL: "http://" + h + operatorPort, Token: setting.NewSecret(OperatorToken), HTTP: &http.Client{Transport: t}}
}

// Apply applies a change of the declaration in force through a node, and records
// that it was accepted.
func (f *Fleet) Apply(ctx context.Context, name, reason string, change func(*fleet.Declaration) *fleet.Declaration) (operator.Applied, error) {
	f.faults.mu.Lock()
	f.faults.applies++
	id := fmt.Sprintf("apply-%d", f.faults.applies)
	f.faults.mu.Unlock()
	c := f.Operator(name)
	s, err := c.Current(ctx)
	if err != nil {
		return operator.Applied{}, err
	}
	a, err := c.Apply(ctx, operator.ApplyRequest{ID: id, Expected: s.Version, Reason: reason, Declaration: change(s.Declaration)})
	if err == nil {
		f.Note(record.ConfigAccepted, record.Event{Actor: "operator", Version: a.Version, Detail: reason})
	}
	return a, err
}

// TakeOut takes a failure domain out, BringIn brings it back.
func (f *Fleet) TakeOut(ctx context.Context, name, domain string) error {
	_, err := f.Apply(ctx, name, domain+" out", func(d *fleet.Declaration) *fleet.Declaration {
		return d.WithTakenOut(fleet.TargetDomain, domain, "maintenance", time.Now())
	})
	if err == nil {
		f.Note(record.DomainOut, record.Event{Actor: "operator", Domain: domain})
	}
	return err
}

// BringIn ends what TakeOut did.
func (f *Fleet) BringIn(ctx context.Context, name, domain string) error {
	f.Note(record.DomainIn, record.Event{Actor: "operator", Domain: domain})
	_, err := f.Apply(ctx, name, domain+" in", func(d *fleet.Declaration) *fleet.Declaration {
		return d.WithBroughtBack(fleet.TargetDomain, domain)
	})
	return err
}

// Host returns the stand-in of a backend server.
func (f *Fleet) Host(server string) *standin.Host {
	if e := f.Engines[server]; e != nil {
		return &e.Host
	}
	if j := f.JSON[server]; j != nil {
		return &j.Host
	}
	return nil
}

func (f *Fleet) listenFor(r *running, address string) (net.Listener, error) {
	l, err := f.Network.Listen(address)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listeners = append(r.listeners, l)
	return l, nil
}

func (f *Fleet) recordOf(r *running, e record.Event) {
	if !r.dead.Load() {
		f.Record(e)
	}
}

// settleHome records that an earlier home of a group lost it when another gains it
// and the earlier one has no authority left: a paused home does not know yet.
func (f *Fleet) settleHome(e record.Event) {
	if e.Kind != record.HomeGained {
		return
	}
	f.mu.Lock()
	old := f.home[e.Group]
	r := f.running[old]
	f.mu.Unlock()
	if r == nil || old == e.Actor {
		return
	}
	if _, left := r.node.Authority(groupOf(e.Group)); left <= 0 {
		f.Record(record.Event{At: e.At, Actor: old, Kind: record.HomeLost, Group: e.Group, Detail: "authority lapsed"})
	}
}

func groupOf(s string) fleet.GroupID {
	i := strings.LastIndexByte(s, '@')
	return fleet.GroupID{Pool: s[:i], Domain: s[i+1:]}
}

// WatchHomes looks again and again, until ctx ends, whether a node that is not home
// of a group by the record may grant its permits, and records it as home then.
func (f *Fleet) WatchHomes(ctx context.Context, every time.Duration) {
	v := fleet.NewView(f.Declaration, 1)
	wait.Every(ctx, every, func() {
		for _, s := range f.Nodes {
			r := f.take(s.Name, false)
			if r == nil {
				continue
			}
			for g := range v.Groups {
				f.watchHome(s.Name, r, g)
			}
		}
	})
}

func (f *Fleet) watchHome(name string, r *running, g fleet.GroupID) {
	_, left := r.node.Authority(g)
	f.mu.Lock()
	known := f.home[g.String()] == name
	f.mu.Unlock()
	if left > 0 && !known && !r.dead.Load() {
		f.Note(record.HomeGained, record.Event{Actor: name, Group: g.String(), Detail: "authority without a gain"})
	}
}

// Events returns what was recorded so far.
func (f *Fleet) Events() []record.Event {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]record.Event(nil), f.events...)
}
