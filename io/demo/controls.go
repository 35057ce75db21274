package demo

// This file applies the actions of operators and of the platform, and faults, to a
// running deployment and records them.

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

// platformFaults holds the active faults of the table service and the VM list.
type platformFaults struct {
	mu         sync.Mutex
	tableFault func(standin.TableOperation) standin.TableFault // nil: none
	listDown   bool
	applyCount int
}

func (f *Fleet) installFaultHooks() {
	f.Table.Fault = func(o standin.TableOperation) standin.TableFault {
		f.faults.mu.Lock()
		g := f.faults.tableFault
		f.faults.mu.Unlock()
		var x standin.TableFault
		if g != nil {
			x = g(o)
		}
		f.recordClaimWrites(o, x)
		return x
	}
	f.List.Down = func(string) bool {
		f.faults.mu.Lock()
		defer f.faults.mu.Unlock()
		return f.faults.listDown
	}
}

// SetTableFault sets the function that returns the fault of each table operation; nil:
// no faults. The record names the change with what.
func (f *Fleet) SetTableFault(what string, g func(standin.TableOperation) standin.TableFault) {
	f.faults.mu.Lock()
	f.faults.tableFault = g
	f.faults.mu.Unlock()
	f.RecordNow(record.FaultInjected, record.Event{Actor: "table", Detail: what})
}

// SetTableDown makes the table service unavailable, or ends all table faults.
func (f *Fleet) SetTableDown(down bool) {
	if !down {
		f.SetTableFault("up", nil)
		return
	}
	f.SetTableFault("down", func(standin.TableOperation) standin.TableFault { return standin.TableFault{Down: true} })
}

// SetTableDelay delays each operation on the table.
func (f *Fleet) SetTableDelay(d time.Duration) {
	f.SetTableFault("slow", func(standin.TableOperation) standin.TableFault { return standin.TableFault{Delay: d} })
}

// LoseResponses loses the responses to the next k table writes of keys with a prefix.
// The writes take effect.
func (f *Fleet) LoseResponses(prefix string, k int) {
	var mu sync.Mutex
	f.SetTableFault("answers lost", func(o standin.TableOperation) standin.TableFault {
		mu.Lock()
		defer mu.Unlock()
		for _, x := range o.Keys {
			if o.Write && k > 0 && strings.HasPrefix(x, prefix) {
				k--
				return standin.TableFault{LoseResponse: true}
			}
		}
		return standin.TableFault{}
	})
}

// RestoreTable resets the table to an older state.
func (f *Fleet) RestoreTable(s standin.TableState) {
	f.Table.Restore(s)
	f.RecordNow(record.FaultInjected, record.Event{Actor: "table", Detail: "restored to an older state"})
}

// SetListDown makes the VM list unavailable or available again.
func (f *Fleet) SetListDown(down bool) {
	f.faults.mu.Lock()
	f.faults.listDown = down
	f.faults.mu.Unlock()
	f.RecordNow(record.FaultInjected, record.Event{Actor: "list", Detail: fmt.Sprintf("down: %t", down)})
}

// AnnounceLeaving marks the VM of a backend server as leaving in the VM list.
func (f *Fleet) AnnounceLeaving(server string) {
	for _, s := range f.Declaration.Servers {
		if s.Name == server {
			f.List.Set(s.VM, "leaving")
			f.RecordNow(record.ServerLeaving, record.Event{Actor: "list", Server: server, Domain: s.Domain})
		}
	}
}

// findProcess returns the running process of a node, nil if there is none. If forget is
// set, it also removes the process from those that run.
func (f *Fleet) findProcess(name string, forget bool) *nodeProcess {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.running[name]
	if forget {
		delete(f.running, name)
	}
	return r
}

// Kill ends the process of a node as a crash does: connections are reset, dials are
// refused, and no lease is handed over.
func (f *Fleet) Kill(name string) {
	r := f.findProcess(name, true)
	if r == nil {
		return
	}
	f.RecordNow(record.NodeAway, record.Event{Actor: name, Detail: "killed"})
	r.killed.Store(true)
	f.Network.SetHost(r.host, standin.HostRefuses)
	r.mu.Lock()
	l := r.listeners
	r.mu.Unlock()
	for _, x := range l {
		_ = x.Close() // cannot fail
	}
	r.cancel()
	f.recordLeasesLost(name)
	<-r.node.Done()
}

// recordLeasesLost records the loss of all leases of a process that ended.
func (f *Fleet) recordLeasesLost(name string) {
	f.mu.Lock()
	var l []string
	for g, n := range f.holders {
		if n == name {
			l = append(l, g)
		}
	}
	f.mu.Unlock()
	slices.Sort(l)
	for _, g := range l {
		f.RecordNow(record.LeaseLost, record.Event{Actor: name, Group: g, Detail: "the process ended"})
	}
}

// Restart restarts a node that was killed or stopped.
func (f *Fleet) Restart(name string) error {
	if err := f.StartNode(name); err != nil {
		return err
	}
	f.RecordNow(record.NodeBack, record.Event{Actor: name})
	return nil
}

// StopNode stops a node gracefully and returns when it has ended.
func (f *Fleet) StopNode(name string) {
	r := f.findProcess(name, false)
	if r == nil {
		return
	}
	f.RecordNow(record.NodeAway, record.Event{Actor: name, Detail: record.CutOff})
	r.cancel()
	<-r.node.Done()
	f.recordLeasesLost(name)
	f.findProcess(name, true)
	f.Network.SetHost(r.host, standin.HostRefuses)
}

// SetPaused disconnects a node's host from the network, as a pause of its VM does, or
// reconnects it. Bytes in transit arrive after the pause.
func (f *Fleet) SetPaused(name string, on bool) {
	r := f.findProcess(name, false)
	if r == nil {
		return
	}
	k, s := record.NodeBack, standin.HostUp
	if on {
		k, s = record.NodeAway, standin.HostGone
	}
	f.RecordNow(k, record.Event{Actor: name, Detail: "paused"})
	r.paused.Store(on)
	f.Network.SetHost(r.host, s)
}

// CutRegions cuts all paths between two regions, or heals the cut.
func (f *Fleet) CutRegions(a, b string, on bool) {
	f.mu.Lock()
	var x, y []string
	for h, d := range f.hostDomains {
		switch f.region(d) {
		case a:
			x = append(x, h)
		case b:
			y = append(y, h)
		}
	}
	f.mu.Unlock()
	f.RecordNow(record.FaultInjected, record.Event{Actor: "network", Detail: fmt.Sprintf("%s and %s cut off: %t", a, b, on)})
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
		if r := f.region(s.Domain); r != f.region(f.hostDomains[platformHost]) && (r == a || r == b) {
			f.RecordNow(k, record.Event{Actor: s.Name, Detail: record.CutOff})
		}
	}
}

// Operator returns a client of the operator API of the node that pickNode returns.
func (f *Fleet) Operator(name string) *operator.Client {
	_, h := f.pickNode(name)
	t := &http.Transport{DialContext: f.Network.Dialer(callerHost), DisableKeepAlives: true}
	return &operator.Client{URL: "http://" + h + operatorPort, Token: setting.NewSecret(OperatorToken), HTTP: &http.Client{Transport: t}}
}

// Apply applies a change to the declaration in force through a node, and records that
// it was accepted.
func (f *Fleet) Apply(ctx context.Context, name, reason string, change func(*fleet.Declaration) *fleet.Declaration) (operator.Applied, error) {
	f.faults.mu.Lock()
	f.faults.applyCount++
	id := fmt.Sprintf("apply-%d", f.faults.applyCount)
	f.faults.mu.Unlock()
	c := f.Operator(name)
	s, err := c.Current(ctx)
	if err != nil {
		return operator.Applied{}, err
	}
	a, err := c.Apply(ctx, operator.ApplyRequest{ID: id, Expected: s.Version, Reason: reason, Declaration: change(s.Declaration)})
	if err == nil {
		f.RecordNow(record.ConfigAccepted, record.Event{Actor: "operator", Version: a.Version, Detail: reason})
	}
	return a, err
}

// TakeOut takes a failure domain out and records it.
func (f *Fleet) TakeOut(ctx context.Context, name, domain string) error {
	_, err := f.Apply(ctx, name, domain+" out", func(d *fleet.Declaration) *fleet.Declaration {
		return d.WithTakenOut(fleet.TargetDomain, domain, "maintenance", time.Now())
	})
	if err == nil {
		f.RecordNow(record.DomainOut, record.Event{Actor: "operator", Domain: domain})
	}
	return err
}

// BringBack brings a failure domain back that TakeOut took out. It is recorded before
// the change is applied, since calls may start there as soon as it is.
func (f *Fleet) BringBack(ctx context.Context, name, domain string) error {
	f.RecordNow(record.DomainIn, record.Event{Actor: "operator", Domain: domain})
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

func (f *Fleet) listenFor(r *nodeProcess, address string) (net.Listener, error) {
	l, err := f.Network.Listen(address)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listeners = append(r.listeners, l)
	return l, nil
}

func (f *Fleet) recordFrom(r *nodeProcess, e record.Event) {
	if !r.killed.Load() {
		f.Record(e)
	}
}

// recordExpiredLease records the loss of a group by its previous lease holder when
// another node gains the lease and the previous holder's authority has expired. The
// previous holder cannot record it itself while it is paused.
func (f *Fleet) recordExpiredLease(e record.Event) {
	if e.Kind != record.LeaseGained {
		return
	}
	f.mu.Lock()
	old := f.holders[e.Group]
	r := f.running[old]
	f.mu.Unlock()
	if r == nil || old == e.Actor {
		return
	}
	if _, remaining := r.node.Authority(parseGroup(e.Group)); remaining <= 0 {
		f.Record(record.Event{At: e.At, Actor: old, Kind: record.LeaseLost, Group: e.Group, Detail: "authority lapsed"})
	}
}

func parseGroup(s string) fleet.GroupID {
	i := strings.LastIndexByte(s, '@')
	return fleet.GroupID{Pool: s[:i], Domain: s[i+1:]}
}

// WatchHolders polls, until ctx ends, for nodes that may grant the permits of a group
// without being its recorded lease holder, and records them as lease holders.
func (f *Fleet) WatchHolders(ctx context.Context, every time.Duration) {
	v := fleet.NewView(f.Declaration, 1)
	wait.Every(ctx, every, func() {
		for _, s := range f.Nodes {
			r := f.findProcess(s.Name, false)
			if r == nil {
				continue
			}
			for g := range v.Groups {
				f.watchHolder(s.Name, r, g)
			}
		}
	})
}

func (f *Fleet) watchHolder(name string, r *nodeProcess, g fleet.GroupID) {
	_, remaining := r.node.Authority(g)
	f.mu.Lock()
	recorded := f.holders[g.String()] == name
	f.mu.Unlock()
	if remaining > 0 && !recorded && !r.killed.Load() {
		f.RecordNow(record.LeaseGained, record.Event{Actor: name, Group: g.String(), Detail: "authority without a gain"})
	}
}

// Events returns a copy of the record so far.
func (f *Fleet) Events() []record.Event {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]record.Event(nil), f.events...)
}
