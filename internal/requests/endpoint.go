package requests

import (
	"hash/fnv"
	"slices"
	"strconv"
	"time"

	"valvecove/dispatch"
)

// Endpoint is one entry of a host group, in discovery's own words.
type Endpoint struct {
	ID          string  `json:"instanceId"`
	Addr        string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
}

// EndpointList is discovery's list of worker nodes, whole or in part.
type EndpointList struct {
	Revision  int64      `json:"generation"`
	Reset     bool       `json:"reset"`
	Endpoints []Endpoint `json:"instances"`
}

// States of a host.
const (
	lifecycleUp      = "up"
	lifecycleRemoved = "removed"
)

// NameTable are the words that stand for the indices which the module knows.
type NameTable struct{ Classes, Tenants, Zones, MachineTypes []string }

// endpointTable gives each host its number. The numbers must agree between schedulers, since the module hashes
// them to share out cold worker nodes: they follow from the host's own id, never from the order of arrival.
type endpointTable struct {
	numbers  map[string]uint64
	byNumber map[uint64]Endpoint
}

func (t *endpointTable) assignNumber(id string) uint64 {
	if n, ok := t.numbers[id]; ok {
		return n
	}
	n := hashID(id)
	// Two ids with one hash must not share a number. In 64 bits that hardly happens; the second moves on.
	for salt := 1; n == 0 || t.byNumber[n].ID != ""; salt++ {
		n = hashID(id + "#" + strconv.Itoa(salt))
	}
	t.numbers[id] = n
	t.byNumber[n] = Endpoint{ID: id}
	return n
}

// maxRemovedEndpoints is how many hosts that have left are remembered, besides as many as are listed.
const maxRemovedEndpoints = 1 << 14

// prune forgets hosts that have left, if there are too many. Of those in use nothing is forgotten, nor of those out by hand.
func (t *endpointTable) prune(listed map[uint64]dispatch.Worker, inUse func(n uint64) bool) {
	if len(t.byNumber) <= 2*len(listed)+maxRemovedEndpoints {
		return
	}
	for n, h := range t.byNumber {
		if _, is := listed[n]; !is && !inUse(n) {
			delete(t.byNumber, n)
			delete(t.numbers, h.ID)
		}
	}
}

var hashID = func(id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return h.Sum64()
}

// apply enters a group and returns it as the module's entries.
func (t *endpointTable) apply(g EndpointList, names NameTable) []dispatch.Worker {
	list := make([]dispatch.Worker, 0, len(g.Endpoints))
	for _, h := range g.Endpoints {
		if h.ID == "" {
			continue
		}
		n := t.assignNumber(h.ID)
		if h.Addr == "" {
			h.Addr = t.byNumber[n].Addr // a removal need not repeat the address
		}
		t.byNumber[n] = h
		list = append(list, dispatch.Worker{
			ID: n, Kind: slices.Index(names.MachineTypes, h.MachineType), Ready: h.Lifecycle == lifecycleUp,
			Removed: h.Lifecycle == lifecycleRemoved, Size: h.Weight, Cell: h.Cell, Zone: slices.Index(names.Zones, h.Zone),
			BootAt: time.Duration(max(0, h.StartedAtMs)) * time.Millisecond,
		})
	}
	return list
}
