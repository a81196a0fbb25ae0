package requests

import (
	"hash/fnv"
	"strconv"

	"valvecove/dispatch"
)

// maxRemovedEndpoints bounds the memory for removed endpoints: they are forgotten once more endpoints than twice the listed ones
// plus this number are remembered.
const maxRemovedEndpoints = 1 << 14

// endpointTable holds all endpoints that were listed and are not forgotten, and assigns a number to each. The policy hashes
// these numbers to assign workers to schedulers, so all schedulers must agree on them: a number depends on the endpoint's ID,
// and not on the order of arrival.
type endpointTable struct {
	numbers  map[string]uint64
	byNumber map[uint64]Endpoint
	starts   startTimes
	hash     func(id string) uint64
}

func newEndpointTable() endpointTable {
	return endpointTable{numbers: map[string]uint64{}, byNumber: map[uint64]Endpoint{}, starts: newStartTimes(), hash: hashID}
}

// assignNumber returns the number of an endpoint, and assigns one first if it has none. It is never 0.
func (e *endpointTable) assignNumber(id string) uint64 {
	if number, known := e.numbers[id]; known {
		return number
	}
	number := e.hash(id)
	// Two IDs with the same hash must not share a number. The second one is hashed again with a suffix.
	for salt := 1; number == 0 || e.byNumber[number].ID != ""; salt++ {
		number = e.hash(id + "#" + strconv.Itoa(salt))
	}
	e.numbers[id] = number
	e.byNumber[number] = Endpoint{ID: id}
	return number
}

// hashID returns the FNV-1a hash of an ID.
func hashID(id string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(id))
	return hash.Sum64()
}

// apply stores the endpoints of a list, and returns them as workers of the policy. Endpoints without an ID are skipped.
// listedBefore is the number of workers that were listed before.
func (e *endpointTable) apply(list EndpointList, names NameTable, listedBefore int) []dispatch.Worker {
	e.starts.observe(list, listedBefore)
	workers := make([]dispatch.Worker, 0, len(list.Endpoints))
	for _, endpoint := range list.Endpoints {
		if endpoint.ID == "" {
			continue
		}
		number := e.assignNumber(endpoint.ID)
		if endpoint.Addr == "" {
			endpoint.Addr = e.byNumber[number].Addr // the entry of a removed endpoint need not repeat the address
		}
		e.byNumber[number] = endpoint
		worker := endpoint.worker(number, names)
		worker.BootAt = e.starts.startedAt(number, endpoint.StartedAtMs)
		workers = append(workers, worker)
	}
	return workers
}

// prune forgets the endpoints that are neither listed nor in use, if there are too many of them.
func (e *endpointTable) prune(listed map[uint64]dispatch.Worker, isInUse func(worker uint64) bool) {
	if len(e.byNumber) <= 2*len(listed)+maxRemovedEndpoints {
		return
	}
	for number, endpoint := range e.byNumber {
		if _, isListed := listed[number]; !isListed && !isInUse(number) {
			delete(e.byNumber, number)
			delete(e.starts.byWorker, number)
			delete(e.numbers, endpoint.ID)
		}
	}
}
