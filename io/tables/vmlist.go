package tables

// This file defines the client of the platform's VM list.

import (
	"context"
	"encoding/json"
	"net/http"
)

// VMState is the state of a VM in the list.
type VMState string

// The states of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
	VMGone    VMState = "gone"
)

// VM is one entry of the list, which lags behind the platform.
type VM struct {
	Name  string
	State VMState
}

type listedVM struct {
	VM    string `json:"vm"`
	State string `json:"state"`
}

// VMs reads the list. Entries in a state that the protocol does not define are left out.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	u := endpoint(c.List, "/v1/vms")
	a, err := c.exchange(ctx, http.MethodGet, u, nil)
	if err != nil && a.reused && ctx.Err() == nil {
		a, err = c.exchange(ctx, http.MethodGet, u, nil)
	}
	if err != nil {
		return nil, err
	}
	if a.status != http.StatusOK {
		return nil, statusError(a)
	}
	var l []listedVM
	if err := json.Unmarshal(a.body, &l); err != nil {
		return nil, err
	}
	return vmsOf(l), nil
}

func vmsOf(l []listedVM) []VM {
	s := make([]VM, 0, len(l))
	for _, v := range l {
		switch t := VMState(v.State); t {
		case VMLive, VMLeaving, VMGone:
			s = append(s, VM{Name: v.VM, State: t})
		}
	}
	return s
}
