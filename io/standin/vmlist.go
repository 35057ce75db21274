package standin

// This file defines the platform's list of live and leaving VMs, which may lag behind
// the actual state.

import (
	"cmp"
	"net/http"
	"slices"
	"sync"
	"time"
)

// VM is one entry of the list. State is "live", "leaving" or "gone".
type VM struct {
	VM    string `json:"vm"`
	State string `json:"state"`
}

// VMList is a stand-in of the VM list. The zero value is an empty list without lag.
type VMList struct {
	Lag  time.Duration       // age of the state that the list shows
	Now  func() time.Time    // nil: time.Now
	Down func(r string) bool // whether to close the connection of a remote address

	mu      sync.Mutex
	changes []vmChange // in time order
}

type vmChange struct {
	at time.Time
	vm VM
}

func (l *VMList) now() time.Time {
	if l.Now == nil {
		return time.Now()
	}
	return l.Now()
}

// Set changes the state of a VM. The list shows it after Lag.
func (l *VMList) Set(vm, state string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes = append(l.changes, vmChange{at: l.now(), vm: VM{VM: vm, State: state}})
}

// List returns what the list shows now, sorted by VM.
func (l *VMList) List() []VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	end := l.now().Add(-l.Lag)
	m := map[string]VM{}
	for _, c := range l.changes {
		if !c.at.After(end) {
			m[c.vm.VM] = c.vm
		}
	}
	s := make([]VM, 0, len(m))
	for _, v := range m {
		s = append(s, v)
	}
	slices.SortFunc(s, func(a, b VM) int { return cmp.Compare(a.VM, b.VM) })
	return s
}

// Handler serves GET /v1/vms.
func (l *VMList) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/vms", func(w http.ResponseWriter, r *http.Request) {
		if l.Down != nil && l.Down(r.RemoteAddr) {
			panic(http.ErrAbortHandler)
		}
		writeJSON(w, http.StatusOK, l.List())
	})
	return m
}
