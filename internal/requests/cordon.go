package requests

import (
	"maps"
	"slices"

	"valvecove/dispatch"
)

// maxCordoned bounds the number of cordoned endpoints. A cordon is never dropped to make room for another one.
const maxCordoned = 4096

// cordonSet is the set of cordoned workers, by number.
type cordonSet map[uint64]struct{}

// contains reports whether a worker is cordoned.
func (c cordonSet) contains(worker uint64) bool {
	_, isCordoned := c[worker]
	return isCordoned
}

// isFull reports whether no further worker can be cordoned.
func (c cordonSet) isFull() bool { return len(c) >= maxCordoned }

// add cordons a worker.
func (c cordonSet) add(worker uint64) { c[worker] = struct{}{} }

// remove uncordons a worker.
func (c cordonSet) remove(worker uint64) { delete(c, worker) }

// sorted returns the numbers of the cordoned workers in ascending order.
func (c cordonSet) sorted() []uint64 { return slices.Sorted(maps.Keys(c)) }

// Cordon prevents attempts from being started at an endpoint until Uncordon, regardless of the endpoint list. Attempts in
// flight continue. known is false if the endpoint was never listed, and full is true if maxCordoned endpoints are cordoned; in
// both cases nothing changes. Cordoning a cordoned endpoint has no effect.
func (t *Table) Cordon(endpointID string) (known, full bool) {
	worker, known := t.WorkerNumber(endpointID)
	if !known || t.cordons.contains(worker) {
		return known, false
	}
	if t.cordons.isFull() {
		return true, true
	}
	t.cordons.add(worker)
	t.policy.addEvent(dispatch.Cordoned{Worker: worker})
	return true, false
}

// Uncordon ends a cordon, regardless of how often Cordon was called. An endpoint that is not cordoned is left unchanged. known
// is false if the endpoint was never listed.
func (t *Table) Uncordon(endpointID string) (known bool) {
	worker, known := t.WorkerNumber(endpointID)
	if known && t.cordons.contains(worker) {
		t.cordons.remove(worker)
		t.policy.addEvent(dispatch.Uncordoned{Worker: worker})
		t.transport.CloseIdleConnections(worker) // the worker may have been restarted meanwhile
	}
	return known
}

// Cordoned returns the IDs of the cordoned endpoints, sorted.
func (t *Table) Cordoned() []string {
	var ids []string
	for worker := range t.cordons {
		ids = append(ids, t.Endpoint(worker).ID)
	}
	slices.Sort(ids)
	return ids
}

// SetCordoned cordons the given endpoints, which need not have been listed, and uncordons all others. IDs beyond maxCordoned are
// skipped.
func (t *Table) SetCordoned(endpointIDs []string) {
	wanted := map[uint64]bool{}
	for _, id := range endpointIDs {
		if id != "" && len(wanted) < maxCordoned {
			wanted[t.endpoints.assignNumber(id)] = true
		}
	}
	for _, id := range t.Cordoned() {
		if worker, _ := t.WorkerNumber(id); !wanted[worker] {
			t.Uncordon(id)
		}
	}
	for _, id := range endpointIDs {
		t.Cordon(id)
	}
}
