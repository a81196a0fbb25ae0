package requests

import (
	"cmp"
	"maps"
	"slices"

	"valvecove/dispatch"
)

// WorkerNumber is what the module knows a host by that was ever listed.
func (l *Table) WorkerNumber(id string) (worker uint64, known bool) {
	worker, known = l.endpoints.numbers[id]
	return worker, known
}

// knownState is what a module is told that knows nothing, or goes on elsewhere: the bans, and the host group as it is held.
func (l *Table) knownState() (events []dispatch.Event) {
	for _, id := range slices.Sorted(maps.Keys(l.cordoned)) {
		events = append(events, dispatch.Cordoned{Worker: id})
	}
	list := dispatch.WorkerList{Kind: dispatch.ListCached, Revision: l.revision}
	for _, w := range l.listed {
		list.Workers = append(list.Workers, w)
	}
	slices.SortFunc(list.Workers, func(a, b dispatch.Worker) int { return cmp.Compare(a.ID, b.ID) })
	return append(events, list)
}

// UpdateEndpoints takes news of the host group.
func (l *Table) UpdateEndpoints(g EndpointList) {
	l.awaitUntil = 0
	kind := dispatch.ListDelta
	if g.Reset {
		kind = dispatch.ListFull
	}
	l.applyEndpoints(g, kind)
}

func (l *Table) applyEndpoints(g EndpointList, kind dispatch.ListKind) {
	l.revision = g.Revision
	list := l.endpoints.apply(g, l.names)
	l.countChanges(list, kind != dispatch.ListDelta)
	if kind != dispatch.ListDelta {
		clear(l.listed)
	}
	for _, w := range list {
		if delete(l.listed, w.ID); !w.Removed {
			l.listed[w.ID] = w
		}
	}
	l.pendingEvents = append(l.pendingEvents, dispatch.WorkerList{Kind: kind, Workers: list, Revision: g.Revision})
	l.endpoints.prune(l.listed, func(n uint64) bool {
		if l.cordoned[n] {
			return true
		}
		for k := range l.inFlight {
			if k.endpointID == l.endpoints.byNumber[n].ID {
				return true
			}
		}
		return false
	})
}

// ResetRevision tells that the host group comes from elsewhere from now on. The list at hand holds until that speaks,
// but its generation is of no use there.
func (l *Table) ResetRevision() { l.revision = 0 }

// WatchEndpoints has the host group followed from the list at hand on, whatever the module has asked for.
func (l *Table) WatchEndpoints() { l.transport.Watch(l.revision) }

// Revision is the version of the list at hand; 0: none that discovery could tell the changes since.
func (l *Table) Revision() int64 { return l.revision }

// DiscoveryFailed tells that a call to discovery failed or the watch ended.
func (l *Table) DiscoveryFailed() {
	l.awaitUntil = 0
	l.pendingEvents = append(l.pendingEvents, dispatch.WorkerList{Kind: dispatch.ListUnavailable})
}

// Endpoint gives a worker's entry in the host group as it was last seen.
func (l *Table) Endpoint(worker uint64) Endpoint { return l.endpoints.byNumber[worker] }

// HasReadyWorker tells whether a query that came now could be sent anywhere.
func (l *Table) HasReadyWorker() bool {
	for _, w := range l.listed {
		if w.Ready && !l.cordoned[w.ID] {
			return true
		}
	}
	return false
}

// ListedCount counts the worker nodes in the list.
func (l *Table) ListedCount() int { return len(l.listed) }
