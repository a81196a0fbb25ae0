package requests

import (
	"slices"

	"valvecove/dispatch"
)

// maxCordoned bounds the hosts that are out by hand at once. A ban is never dropped to make room: one more is refused.
const maxCordoned = 4096

// Cordon takes a host out by hand: no attempt begins there until Restore, whatever the list says. known is false for one
// that was never listed; full, if there is no room for another ban. Neither changes anything.
func (l *Table) Cordon(id string) (known, full bool) {
	n, known := l.endpoints.numbers[id]
	if !known || l.cordoned[n] {
		return known, false
	}
	if len(l.cordoned) >= maxCordoned {
		return true, true
	}
	l.cordoned[n] = true
	l.pendingEvents = append(l.pendingEvents, dispatch.Cordoned{Worker: n})
	return true, false
}

// Uncordon ends that, however often the host was taken out. One that is not out stays as it is.
func (l *Table) Uncordon(id string) (known bool) {
	n, known := l.endpoints.numbers[id]
	if known && l.cordoned[n] {
		delete(l.cordoned, n)
		l.pendingEvents = append(l.pendingEvents, dispatch.Uncordoned{Worker: n})
		l.transport.CloseIdleConnections(n) // they lead to a process that has gone
	}
	return known
}

// Cordoned are the ids of the hosts that are out, sorted.
func (l *Table) Cordoned() (ids []string) {
	for n := range l.cordoned {
		ids = append(ids, l.endpoints.byNumber[n].ID)
	}
	slices.Sort(ids)
	return ids
}

// SetCordoned takes over what another process was told: these hosts are out and no others, listed here or not.
func (l *Table) SetCordoned(ids []string) {
	out := map[uint64]bool{}
	for _, id := range ids {
		if id != "" && len(out) < maxCordoned {
			l.endpoints.assignNumber(id)
			out[l.endpoints.numbers[id]] = true
		}
	}
	for _, id := range l.Cordoned() {
		if !out[l.endpoints.numbers[id]] {
			l.Uncordon(id)
		}
	}
	for _, id := range ids {
		l.Cordon(id)
	}
}
