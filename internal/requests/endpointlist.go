package requests

import (
	"cmp"
	"maps"
	"slices"

	"valvecove/dispatch"
)

// UpdateEndpoints takes an update of the endpoint list from discovery. It ends the wait of AwaitEndpoints.
func (t *Table) UpdateEndpoints(list EndpointList) {
	t.awaitUntil = 0
	kind := dispatch.ListDelta
	if list.Reset {
		kind = dispatch.ListFull
	}
	t.applyEndpoints(list, kind)
}

// DiscoveryFailed is called when a call to discovery has failed, or when the watch has ended. It ends the wait of
// AwaitEndpoints; the list stays as it is.
func (t *Table) DiscoveryFailed() {
	t.awaitUntil = 0
	t.addEvent(dispatch.WorkerList{Kind: dispatch.ListUnavailable})
}

// WatchEndpoints has the transport follow the changes of the endpoint list since its revision.
func (t *Table) WatchEndpoints() { t.transport.Watch(t.revision) }

// ResetRevision is called when the endpoint list comes from another source from now on. The list stays as it is until
// that source gives one, but its revision means nothing there.
func (t *Table) ResetRevision() { t.revision = 0 }

// Revision is the revision of the endpoint list; 0 if discovery can't give the changes since.
func (t *Table) Revision() int64 { return t.revision }

// Endpoint returns a worker's endpoint as it was listed last. Its ID is empty if the worker is unknown.
func (t *Table) Endpoint(worker uint64) Endpoint { return t.endpoints.byNumber[worker] }

// WorkerNumber returns the policy's number for an endpoint, if it was ever listed.
func (t *Table) WorkerNumber(endpointID string) (worker uint64, known bool) {
	worker, known = t.endpoints.numbers[endpointID]
	return worker, known
}

// AwaitsEndpoints reports whether requests wait for the first update of the endpoint list; see AwaitEndpoints.
func (t *Table) AwaitsEndpoints() bool { return t.awaitUntil > 0 }

// Ready reports whether a request that arrived now could be forwarded at once.
func (t *Table) Ready() bool { return !t.AwaitsEndpoints() && t.HasReadyWorker() }

// HasReadyWorker reports whether a listed worker is ready and not cordoned.
func (t *Table) HasReadyWorker() bool {
	for _, worker := range t.listed {
		if worker.Ready && !t.cordoned[worker.ID] {
			return true
		}
	}
	return false
}

// MayReceive reports whether a worker is listed as ready, and not cordoned, as far as is known now. An attempt whose
// connection comes up late was started by what was known before.
func (t *Table) MayReceive(worker uint64) bool { return t.listed[worker].Ready && !t.cordoned[worker] }

// ListedCount is the number of workers in the endpoint list.
func (t *Table) ListedCount() int { return len(t.listed) }

// applyEndpoints enters an endpoint list and hands it to the policy.
func (t *Table) applyEndpoints(list EndpointList, kind dispatch.ListKind) {
	isWhole := kind != dispatch.ListDelta
	t.revision = list.Revision
	workers := t.endpoints.apply(list, t.names, len(t.listed))
	t.countChanges(workers, isWhole)
	if isWhole {
		clear(t.listed)
	}
	for _, worker := range workers {
		delete(t.listed, worker.ID)
		if !worker.Removed {
			t.listed[worker.ID] = worker
		}
	}
	t.addEvent(dispatch.WorkerList{Kind: kind, Workers: workers, Revision: list.Revision})
	t.endpoints.prune(t.listed, t.isEndpointInUse)
}

// isEndpointInUse reports whether an endpoint is cordoned or has an attempt in flight.
func (t *Table) isEndpointInUse(worker uint64) bool {
	if t.cordoned[worker] {
		return true
	}
	id := t.endpoints.byNumber[worker].ID
	for key := range t.inFlight {
		if key.endpointID == id {
			return true
		}
	}
	return false
}

// knownState has the events for a policy that knows nothing: the cordoned workers, and the endpoint list.
func (t *Table) knownState() []dispatch.Event {
	var events []dispatch.Event
	for _, worker := range slices.Sorted(maps.Keys(t.cordoned)) {
		events = append(events, dispatch.Cordoned{Worker: worker})
	}
	list := dispatch.WorkerList{Kind: dispatch.ListCached, Revision: t.revision}
	for _, worker := range t.listed {
		list.Workers = append(list.Workers, worker)
	}
	slices.SortFunc(list.Workers, func(a, b dispatch.Worker) int { return cmp.Compare(a.ID, b.ID) })
	return append(events, list)
}
