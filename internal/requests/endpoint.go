package requests

import (
	"hash/fnv"
	"slices"
	"strconv"

	"valvecove/dispatch"
)

// Endpoint is one entry of the endpoint list, as discovery gives it.
type Endpoint struct {
	ID          string  `json:"instanceId"`
	Addr        string  `json:"hostPort"` // a removed endpoint may have none
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"` // "up", "removed", or a state in which it takes no new requests
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"` // Unix time in milliseconds
}

// EndpointList is discovery's list of endpoints: the whole list, or the entries that have changed.
type EndpointList struct {
	Revision  int64      `json:"generation"`
	Reset     bool       `json:"reset"` // it is the whole list
	Endpoints []Endpoint `json:"instances"`
	Receipt   Receipt    `json:"-"`
}

// States of an endpoint that matter here.
const (
	lifecycleUp      = "up"
	lifecycleRemoved = "removed"
)

// NameTable has the names of classes, tenants, zones and machine types, which the policy knows by index.
type NameTable struct{ Classes, Tenants, Zones, MachineTypes []string }

// maxRemovedEndpoints is how many endpoints beyond twice the listed ones are remembered before removed ones are
// forgotten.
const maxRemovedEndpoints = 1 << 14

// endpointTable gives each endpoint its number. The numbers must agree between schedulers, as the policy hashes them to
// assign workers: they follow from the endpoint's id and not from the order of arrival.
type endpointTable struct {
	numbers  map[string]uint64
	byNumber map[uint64]Endpoint
	starts   startTimes
	hash     func(id string) uint64
}

func newEndpointTable() endpointTable {
	return endpointTable{numbers: map[string]uint64{}, byNumber: map[uint64]Endpoint{}, starts: newStartTimes(), hash: hashID}
}

// assignNumber returns the number of an endpoint, which it gets now if it has none. It is never 0.
func (t *endpointTable) assignNumber(id string) uint64 {
	if number, known := t.numbers[id]; known {
		return number
	}
	number := t.hash(id)
	// Two ids of one hash must not share a number. The second one is hashed again with a suffix.
	for salt := 1; number == 0 || t.byNumber[number].ID != ""; salt++ {
		number = t.hash(id + "#" + strconv.Itoa(salt))
	}
	t.numbers[id] = number
	t.byNumber[number] = Endpoint{ID: id}
	return number
}

// hashID is the FNV-1a hash of an id.
func hashID(id string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(id))
	return hash.Sum64()
}

// apply enters the endpoints of a list, and returns them as the policy's workers. Endpoints without an id are skipped. known is
// how many were listed before.
func (t *endpointTable) apply(list EndpointList, names NameTable, known int) []dispatch.Worker {
	t.starts.observe(list, known)
	workers := make([]dispatch.Worker, 0, len(list.Endpoints))
	for _, endpoint := range list.Endpoints {
		if endpoint.ID == "" {
			continue
		}
		number := t.assignNumber(endpoint.ID)
		if endpoint.Addr == "" {
			endpoint.Addr = t.byNumber[number].Addr // a removal need not repeat the address
		}
		t.byNumber[number] = endpoint
		worker := endpoint.worker(number, names)
		worker.BootAt = t.starts.startedAt(number, endpoint.StartedAtMs)
		workers = append(workers, worker)
	}
	return workers
}

// worker is the endpoint as the policy knows it, but for when it started.
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

// prune forgets the endpoints that are neither listed nor in use, if there are too many.
func (t *endpointTable) prune(listed map[uint64]dispatch.Worker, isInUse func(number uint64) bool) {
	if len(t.byNumber) <= 2*len(listed)+maxRemovedEndpoints {
		return
	}
	for number, endpoint := range t.byNumber {
		if _, isListed := listed[number]; !isListed && !isInUse(number) {
			delete(t.byNumber, number)
			delete(t.starts.byWorker, number)
			delete(t.numbers, endpoint.ID)
		}
	}
}
