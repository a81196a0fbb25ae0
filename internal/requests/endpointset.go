package requests

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"

	"valvecove/dispatch"
)

// endpointSet holds the current endpoint list, and all endpoints that are remembered.
type endpointSet struct {
	names      NameTable
	logger     *slog.Logger
	revision   int64                      // of the endpoint list; 0: discovery can't list the changes since it
	listed     map[uint64]dispatch.Worker // the endpoint list in the form of the policy
	remembered endpointTable
	changes    endpointChanges
}

func newEndpointSet(names NameTable, logger *slog.Logger) endpointSet {
	return endpointSet{
		names:      names,
		logger:     logger,
		listed:     map[uint64]dispatch.Worker{},
		remembered: newEndpointTable(),
	}
}

// endpoint returns a worker's endpoint as it was last listed. Its ID is empty if the worker is unknown.
func (e *endpointSet) endpoint(worker uint64) Endpoint { return e.remembered.byNumber[worker] }

// number returns the number of an endpoint. known is false if it is not remembered.
func (e *endpointSet) number(endpointID string) (worker uint64, known bool) {
	worker, known = e.remembered.numbers[endpointID]
	return worker, known
}

// assignNumber returns the number of an endpoint, and assigns one first if it has none. The endpoint need not have been listed.
func (e *endpointSet) assignNumber(endpointID string) uint64 {
	return e.remembered.assignNumber(endpointID)
}

// listedCount returns the number of workers in the endpoint list.
func (e *endpointSet) listedCount() int { return len(e.listed) }

// isReady reports whether a worker is listed as ready.
func (e *endpointSet) isReady(worker uint64) bool { return e.listed[worker].Ready }

// hasReady reports whether a worker that is not cordoned is listed as ready.
func (e *endpointSet) hasReady(cordons cordonSet) bool {
	for _, worker := range e.listed {
		if worker.Ready && !cordons.contains(worker.ID) {
			return true
		}
	}
	return false
}

// resetRevision clears the revision, which is not valid at the source of the next list.
func (e *endpointSet) resetRevision() { e.revision = 0 }

// apply applies the full endpoint list, or an update of it, and returns its entries as workers of the policy.
func (e *endpointSet) apply(list EndpointList, isFull bool) []dispatch.Worker {
	e.revision = list.Revision
	workers := e.remembered.apply(list, e.names, len(e.listed))
	e.countChanges(workers, isFull)
	if isFull {
		clear(e.listed)
	}
	for _, worker := range workers {
		delete(e.listed, worker.ID)
		if !worker.Removed {
			e.listed[worker.ID] = worker
		}
	}
	return workers
}

// prune forgets the endpoints that are neither listed nor in use, if there are too many of them.
func (e *endpointSet) prune(isInUse func(worker uint64) bool) { e.remembered.prune(e.listed, isInUse) }

// cachedList returns the event for a policy that has no endpoint list, with the workers in order of their numbers.
func (e *endpointSet) cachedList() dispatch.WorkerList {
	list := dispatch.WorkerList{Kind: dispatch.ListCached, Revision: e.revision}
	for _, worker := range e.listed {
		list.Workers = append(list.Workers, worker)
	}
	slices.SortFunc(list.Workers, func(a, b dispatch.Worker) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// addToState sets the fields of a snapshot that the endpoint set owns.
func (e *endpointSet) addToState(state *State) {
	state.Revision = e.revision
	state.Starts = e.remembered.starts.snapshot(e.remembered.byNumber)
	state.LeastAge = e.remembered.starts.leastAge
	for _, worker := range slices.Sorted(maps.Keys(e.remembered.byNumber)) {
		endpoint := e.remembered.byNumber[worker]
		state.Endpoints = append(state.Endpoints, endpoint)
		if _, isListed := e.listed[worker]; isListed {
			state.ListedIDs = append(state.ListedIDs, endpoint.ID)
		}
	}
}

// restore adds the endpoints of another process's snapshot that are not remembered here, and returns its endpoint list, which the
// caller applies if it is newer.
func (e *endpointSet) restore(state State) EndpointList {
	isListed := map[string]bool{}
	for _, id := range state.ListedIDs {
		isListed[id] = true
	}
	list := EndpointList{Revision: state.Revision, Reset: true}
	for _, endpoint := range state.Endpoints {
		if endpoint.ID == "" {
			continue
		}
		if _, known := e.remembered.numbers[endpoint.ID]; !known {
			e.remembered.byNumber[e.remembered.assignNumber(endpoint.ID)] = endpoint
		}
		if isListed[endpoint.ID] {
			list.Endpoints = append(list.Endpoints, endpoint)
		}
	}
	return list
}

// restoreStarts replaces start times by those of another process's snapshot. The policy of that process may be restored here,
// and must find its start times unchanged.
func (e *endpointSet) restoreStarts(state State) {
	starts := &e.remembered.starts
	starts.restore(state, e.remembered.numbers)
	for number, worker := range e.listed {
		worker.BootAt = starts.startedAt(number, e.remembered.byNumber[number].StartedAtMs)
		e.listed[number] = worker
	}
}
