package requests

import "valvecove/dispatch"

// UpdateEndpoints applies an update of the endpoint list from discovery. It ends the wait of AwaitEndpoints.
func (t *Table) UpdateEndpoints(list EndpointList) {
	t.awaitUntil = 0
	kind := dispatch.ListDelta
	if list.Reset {
		kind = dispatch.ListFull
	}
	t.applyEndpoints(list, kind)
}

// DiscoveryFailed is called when a call to discovery has failed, or when the watch has ended. It ends the wait of
// AwaitEndpoints; the list stays unchanged.
func (t *Table) DiscoveryFailed() {
	t.awaitUntil = 0
	t.policy.addEvent(dispatch.WorkerList{Kind: dispatch.ListUnavailable})
}

// WatchEndpoints makes the transport watch the endpoint list for changes since its current revision.
func (t *Table) WatchEndpoints() { t.transport.Watch(t.endpoints.revision) }

// ResetRevision is called when the source of the endpoint list is replaced. The list stays unchanged until the first update
// from the new source, but its revision is not valid there.
func (t *Table) ResetRevision() { t.endpoints.resetRevision() }

// Revision returns the revision of the endpoint list, or 0 if discovery can't list the changes since the current list.
func (t *Table) Revision() int64 { return t.endpoints.revision }

// Endpoint returns a worker's endpoint as it was last listed. Its ID is empty if the worker is unknown.
func (t *Table) Endpoint(worker uint64) Endpoint { return t.endpoints.endpoint(worker) }

// WorkerNumber returns the policy's number for an endpoint. known is false if it was never listed, or is forgotten.
func (t *Table) WorkerNumber(endpointID string) (worker uint64, known bool) {
	return t.endpoints.number(endpointID)
}

// IsAwaitingEndpoints reports whether requests wait for the first update of the endpoint list; see AwaitEndpoints.
func (t *Table) IsAwaitingEndpoints() bool { return t.awaitUntil > 0 }

// Ready reports whether a request that arrived now could be forwarded at once.
func (t *Table) Ready() bool { return !t.IsAwaitingEndpoints() && t.HasReadyWorker() }

// HasReadyWorker reports whether a listed worker is ready and not cordoned.
func (t *Table) HasReadyWorker() bool {
	return t.endpoints.hasReady(t.cordons)
}

// IsAvailable reports whether a worker is listed as ready, and not cordoned, according to the current list. It is called when
// the connection of an attempt is established, as the list may have changed since the attempt was started.
func (t *Table) IsAvailable(worker uint64) bool {
	return t.endpoints.isReady(worker) && !t.cordons.contains(worker)
}

// ListedCount returns the number of workers in the endpoint list.
func (t *Table) ListedCount() int { return t.endpoints.listedCount() }

// applyEndpoints applies an endpoint list and passes it to the policy.
func (t *Table) applyEndpoints(list EndpointList, kind dispatch.ListKind) {
	isFull := kind != dispatch.ListDelta
	workers := t.endpoints.apply(list, isFull)
	t.policy.addEvent(dispatch.WorkerList{Kind: kind, Workers: workers, Revision: list.Revision})
	t.endpoints.prune(t.isEndpointInUse)
}

// isEndpointInUse reports whether an endpoint is cordoned or has an attempt in flight.
func (t *Table) isEndpointInUse(worker uint64) bool {
	return t.cordons.contains(worker) || t.attempts.usesEndpoint(t.Endpoint(worker).ID)
}
