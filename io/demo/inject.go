package demo

// This file injects faults into single calls and connections.

import (
	"cmp"
	"slices"
	"strings"

	"bergamotspring/core/fleet"
	"bergamotspring/core/record"
	"bergamotspring/io/standin"
)

// Fault is a fault to inject into the calls to servers that it matches.
type Fault struct {
	standin.Fault
	Pool   string // empty: any
	Server string // empty: any
	Input  string // substring of the input of the call
	Times  int    // remaining calls to inject it into, negative: no limit
}

// Inject adds a fault for later calls.
func (f *Fleet) Inject(x Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.callFaults = append(f.callFaults, x)
}

func (f *Fleet) takeFault(b *fleet.BackendServer, input string) standin.Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.callFaults {
		x := &f.callFaults[i]
		if x.Times != 0 && (x.Pool == "" || x.Pool == b.Pool) && (x.Server == "" || x.Server == b.Name) && strings.Contains(input, x.Input) {
			x.Times--
			return x.Fault
		}
	}
	return standin.Fault{}
}

// recordClaimWrites records the writes of claims sent to the table, with their fault.
func (f *Fleet) recordClaimWrites(o standin.TableOperation, x standin.TableFault) {
	d := ""
	switch {
	case x.Down, x.Silent:
		d = "not taken"
	case x.LoseResponse, x.LoseSilent:
		d = "answer lost"
	}
	k := slices.Compact(slices.Sorted(slices.Values(o.Keys)))
	for _, k := range k {
		if o.Write && strings.HasPrefix(k, "claim/") {
			f.RecordNow(record.TableWrite, record.Event{Actor: "table", Key: strings.TrimPrefix(k, "claim/"), Detail: d})
		}
	}
}

// Silence makes the open connections to a backend server, "" for all servers, drop
// everything written from now on, without an error.
func (f *Fleet) Silence(server string) {
	f.RecordNow(record.FaultInjected, record.Event{Actor: "network", Detail: "open connections silent: " + cmp.Or(server, "all")})
	for _, b := range f.Declaration.Servers {
		if server == "" || b.Name == server {
			f.Network.Silence(standin.To(hostName(b.Address)))
		}
	}
}
