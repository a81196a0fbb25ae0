package requests

import (
	"slices"

	"valvecove/dispatch"
)

// maxCordoned bounds the endpoints that are cordoned at once. A cordon is never dropped to make room for another.
const maxCordoned = 4096

// Cordon has no attempt start at an endpoint until Uncordon, whatever the endpoint list says. known is false if the
// endpoint was never listed, full is true if too many are cordoned; neither changes anything.
func (t *Table) Cordon(endpointID string) (known, full bool) {
	worker, known := t.endpoints.numbers[endpointID]
	if !known || t.cordoned[worker] {
		return known, false
	}
	if len(t.cordoned) >= maxCordoned {
		return true, true
	}
	t.cordoned[worker] = true
	t.addEvent(dispatch.Cordoned{Worker: worker})
	return true, false
}

// Uncordon ends a cordon, however often it was asked for. An endpoint that is not cordoned stays as it is. known is
// false if the endpoint was never listed.
func (t *Table) Uncordon(endpointID string) (known bool) {
	worker, known := t.endpoints.numbers[endpointID]
	if known && t.cordoned[worker] {
		delete(t.cordoned, worker)
		t.addEvent(dispatch.Uncordoned{Worker: worker})
		t.transport.CloseIdleConnections(worker) // they lead to a process that has gone
	}
	return known
}

// Cordoned returns the ids of the cordoned endpoints, sorted.
func (t *Table) Cordoned() []string {
	var ids []string
	for worker := range t.cordoned {
		ids = append(ids, t.endpoints.byNumber[worker].ID)
	}
	slices.Sort(ids)
	return ids
}

// SetCordoned makes these endpoints the cordoned ones, and no others, whether they were ever listed or not. Those
// beyond the limit are skipped.
func (t *Table) SetCordoned(endpointIDs []string) {
	wanted := map[uint64]bool{}
	for _, id := range endpointIDs {
		if id != "" && len(wanted) < maxCordoned {
			wanted[t.endpoints.assignNumber(id)] = true
		}
	}
	for _, id := range t.Cordoned() {
		if !wanted[t.endpoints.numbers[id]] {
			t.Uncordon(id)
		}
	}
	for _, id := range endpointIDs {
		t.Cordon(id)
	}
}
