package requests

import (
	"slices"

	"valvecove/dispatch"
)

// Endpoint is one entry of the endpoint list, as discovery lists it. Its JSON form is that of discovery, and of stored snapshots.
type Endpoint struct {
	ID          string  `json:"instanceId"`
	Addr        string  `json:"hostPort"` // may be empty in the entry of a removed endpoint
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"` // "up", "removed", or a state in which it accepts no new requests
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"` // Unix time in milliseconds
}

// EndpointList is the endpoint list of discovery, or an update of it with the entries that have changed.
type EndpointList struct {
	Revision  int64      `json:"generation"`
	Reset     bool       `json:"reset"` // it is the full list
	Endpoints []Endpoint `json:"instances"`
	Receipt   Receipt    `json:"-"`
}

// Lifecycles that the table distinguishes.
const (
	lifecycleUp      = "up"
	lifecycleRemoved = "removed"
)

// NameTable lists the names of classes, tenants, zones and machine types. The policy identifies each by its index.
type NameTable struct{ Classes, Tenants, Zones, MachineTypes []string }

// worker returns the endpoint in the form of the policy, without its start time.
func (e *Endpoint) worker(number uint64, names NameTable) dispatch.Worker {
	return dispatch.Worker{
		ID:      number,
		Kind:    slices.Index(names.MachineTypes, e.MachineType),
		Ready:   e.Lifecycle == lifecycleUp,
		Removed: e.Lifecycle == lifecycleRemoved,
		Size:    e.Weight,
		Cell:    e.Cell,
		Zone:    slices.Index(names.Zones, e.Zone),
	}
}
